//! Tells entries which jobs of other entries the agent holds, so that a copy of such a job does not
//! run beside it.
//!
//! Most jobs are over before their callers may submit them again, and are not mentioned.

use {
    super::{Ledger, Run},
    std::collections::BTreeSet,
    sycamorerail_wire::{ids::Incarnation, runs::CallerJobId},
};

impl Ledger {
    /// Returns the jobs of other entries that their callers may have submitted again at this one,
    /// and those of runs that an earlier process of the agent has left. These end with its leases:
    /// an upstream that doesn't answer is not known to run them for long.
    ///
    /// A run that its entry stops is over before a caller submits the job again after the end of an
    /// attempt, and prevents no copy.
    #[must_use]
    pub fn jobs_of_others(&self, entry: Incarnation, now_ms: u64) -> BTreeSet<CallerJobId> {
        let is_shared = |run: &&Run| {
            run.owner != entry
                && run.stop.is_none()
                && now_ms >= run.share_from_ms
                && self.shares_jobs_of(run.owner, now_ms)
        };
        let held = self.runs.values().filter(is_shared).map(|run| run.task.job);
        let leftovers = self.leftovers.keys().filter(|_| self.is_trusted(now_ms));
        held.chain(leftovers.map(|(task, _)| task.job)).collect()
    }

    /// Whether an entry was heard so lately that other entries are told of its jobs. One that is
    /// silent may be gone, and its callers submit their jobs elsewhere.
    #[must_use]
    pub fn shares_jobs_of(&self, owner: Incarnation, now_ms: u64) -> bool {
        let silent_ms = self.limits.share_jobs_until_silent_ms();
        self.owners.is_fresh(owner, now_ms, silent_ms)
    }
}

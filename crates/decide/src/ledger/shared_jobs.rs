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
    /// Returns the jobs of other entries that their callers may have submitted again at this one.
    ///
    /// A run that is being stopped is over before a copy may come, and prevents none.
    #[must_use]
    pub fn jobs_of_others(&self, entry: Incarnation, now_ms: u64) -> BTreeSet<CallerJobId> {
        let is_shared =
            |run: &&Run| run.owner != entry && run.stop.is_none() && now_ms >= run.share_from_ms;
        self.runs.values().filter(is_shared).map(|run| run.task.job).collect()
    }
}

//! Load shedding: which jobs are refused when the load exceeds the capacity for seconds.
//!
//! A forecast alone refuses the wrong jobs: long and less urgent ones have the looser objective,
//! so they are always accepted and hold the room that short urgent ones need. At 10 % over
//! capacity, half of the urgent jobs were refused, but only 4 % of the least urgent ones, which
//! are 28 % of the work. Shedding refuses the less urgent jobs first and at once, in proportion
//! to the share of more urgent jobs that are refused or late.

use {
    super::{AgentView, Dispatch, Job, kinds::KindRecord},
    std::sync::Arc,
};

/// Tolerated share of refused and late jobs, in percent: estimates that are off by 40 % make a
/// few jobs late at any load.
const TOLERATED_STRAIN_PERCENT: f64 = 10.0;
/// Jobs shed for each preceding one that is refused or late beyond the tolerated share. With one,
/// room becomes free too slowly for a burst of a few seconds; with three, more jobs are shed than
/// needed.
const SHED_GAIN: f64 = 2.0;
/// Among kinds of the same priority, those with less work by this factor go first: each shed job
/// makes room for this many.
const SMALLER_WORK_FACTOR: f64 = 3.0;
/// Time without shedding after half of the agents have reconnected, in milliseconds: callers
/// whose connections broke retry 1.3 s later, all at once and only once.
const AFTER_RECONNECT_MS: u64 = 2_500;

impl Dispatch {
    /// Whether to shed the job in favour of those that precede it.
    ///
    /// A job that need not wait takes room from nobody. The share of the others is spread evenly:
    /// each adds its fraction, and one job is shed whenever the sum reaches a whole.
    pub(super) fn is_shed(&mut self, job: &Job, wait_ms: u64, strain_percent: f64) -> bool {
        if wait_ms == 0 {
            return false;
        }
        let share =
            ((strain_percent - TOLERATED_STRAIN_PERCENT) * SHED_GAIN / 100.0).clamp(0.0, 1.0);
        let kind = Arc::clone(&job.request.kind);
        self.kind_record(&kind.name).add_shed_fraction(share)
    }

    /// Recent share of refused or late jobs, in percent, of the kind with the highest one among
    /// those that precede this job.
    pub(super) fn strain_percent(&self, job: &Job, now_ms: u64) -> f64 {
        if self.is_after_mass_reconnect(now_ms) {
            return 0.0;
        }
        let priority = job.request.kind.priority;
        let work_milli_ms = job.work_milli_ms() as f64;
        let precedes = |record: &&KindRecord| {
            let is_smaller = record.work_milli_ms() * SMALLER_WORK_FACTOR < work_milli_ms;
            record.priority() < priority || (record.priority() == priority && is_smaller)
        };
        let before = self.kinds.values().filter(precedes);
        before.map(|record| record.strain_percent(now_ms)).fold(0.0, f64::max)
    }

    fn is_after_mass_reconnect(&self, now_ms: u64) -> bool {
        let connected = |agent: &&AgentView| agent.is_linked();
        let is_new = |agent: &&AgentView| now_ms < agent.connected_ms + AFTER_RECONNECT_MS;
        let all = self.agents.values().filter(connected).count();
        let new = self.agents.values().filter(connected).filter(is_new).count();
        new * 2 >= all
    }
}

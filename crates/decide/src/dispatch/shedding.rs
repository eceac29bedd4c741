//! Who is turned away when more comes than fits for seconds.
//!
//! A forecast alone turns the wrong jobs away: long and less urgent ones have the
//! looser objective, so they are always taken and hold the room that short urgent ones
//! need. At a tenth more than fits half of the urgent jobs were refused, and 4 % of the
//! least urgent ones that are 28 % of the work. Here those are turned away first, at
//! once, in the measure in which jobs before them are refused or late.

use {
    super::{AgentView, Dispatch, Job, kinds::KindRecord},
    std::sync::Arc,
};

/// Share of refused and late jobs, in percent, that is borne: estimates that are off by
/// 40 % make a few jobs late at any load.
const BORNE_PERCENT: f64 = 10.0;
/// Jobs turned away for each one before them that is refused or late beyond that. With
/// one the room comes back too slowly for a burst of a few seconds, with three more is
/// turned away than needed (models `burst` and `lasting-overload`).
const GAIN: f64 = 2.0;
/// Among kinds as urgent those go before a job whose jobs are smaller by this factor:
/// one job turned away serves so many.
const SMALLER_BY: f64 = 3.0;
/// After half of the agents have connected anew nothing is turned away by this rule for
/// so long, in milliseconds: callers whose connections broke come again 1.3 s later,
/// all at once and once only.
const AFTER_OUTAGE_MS: u64 = 2_500;

impl Dispatch {
    /// Whether the job is to be turned away for those that go before it.
    ///
    /// One that need not wait takes nobody's room. Of the others the share is spread
    /// evenly: each adds its part, and a whole one is turned away.
    pub(super) fn is_shed(&mut self, job: &Job, wait_ms: u64, strain_percent: f64) -> bool {
        if wait_ms == 0 {
            return false;
        }
        let share = ((strain_percent - BORNE_PERCENT) * GAIN / 100.0).clamp(0.0, 1.0);
        let kind = Arc::clone(&job.request.kind);
        self.kind(&kind.name).add_to_shed(share)
    }

    /// Share of jobs, in percent, that were refused or late lately, of the kind that goes
    /// before this job and suffers most.
    pub(super) fn strain_percent(&self, job: &Job, now_ms: u64) -> f64 {
        if self.is_after_outage(now_ms) {
            return 0.0;
        }
        let priority = job.request.kind.priority;
        let work_milli_ms = job.work_milli_ms() as f64;
        let goes_before = |record: &&KindRecord| {
            let is_smaller = record.work_milli_ms() * SMALLER_BY < work_milli_ms;
            record.priority() < priority || (record.priority() == priority && is_smaller)
        };
        let before = self.kinds.values().filter(goes_before);
        before.map(|record| record.strain_percent(now_ms)).fold(0.0, f64::max)
    }

    fn is_after_outage(&self, now_ms: u64) -> bool {
        let connected = |agent: &&AgentView| agent.is_linked();
        let is_new = |agent: &&AgentView| now_ms < agent.connected_ms + AFTER_OUTAGE_MS;
        let all = self.agents.values().filter(connected).count();
        let new = self.agents.values().filter(connected).filter(is_new).count();
        new * 2 >= all
    }
}

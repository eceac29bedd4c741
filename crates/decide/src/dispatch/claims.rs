//! Claims on jobs, as the dispatch needs them: a job waits until its claim is granted, and gives
//! the claim up as it ends.

use {
    super::{AgentKey, Dispatch, Ending, Job, JobKey, NoResultReason},
    sycamorerail_wire::runs::CallerJobId,
};

/// Longest time after a look at what is due in which tasks are placed, in milliseconds: claims may
/// have become too old since.
pub const MAX_TICK_MS: u64 = 100;

/// A job that has ended at this entry, or is being ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedJob {
    /// Its id.
    pub id: CallerJobId,
    /// Whether the entry waits for agents to say that its runs are over. They are, a while after
    /// it was given up, whether agents say so or not.
    pub is_ending: bool,
    /// Whether runs of it may go on, at agents that have not said that they are over.
    pub may_run: bool,
    /// Whether a task was started, or may have been. Otherwise, its caller may submit it again at
    /// once.
    pub may_have_run: bool,
    /// Agents that have tasks of it.
    pub agents: Vec<AgentKey>,
}

impl ReleasedJob {
    pub(super) fn new(job: &Job, is_ending: bool) -> Self {
        let may_run = job.has_placed();
        Self {
            id: job.request.id,
            is_ending,
            may_run,
            may_have_run: job.may_have_run || may_run,
            agents: job.agents(),
        }
    }
}

impl Dispatch {
    /// Places a job that no other entry has.
    pub fn claim_granted(&mut self, key: JobKey, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.is_claimed = true;
        self.place_job(key, now_ms);
    }

    /// Places no more tasks of a job until its claim is confirmed again.
    pub fn hold_claim(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.is_claimed = false;
        }
    }

    /// Places no more tasks until claims are granted again.
    pub fn suspend_claims(&mut self) {
        let claimed = self.jobs.values_mut().filter(|job| job.needs_claim);
        claimed.for_each(|job| job.is_claimed = false);
    }

    /// Whether claims may be too old to place tasks by, as this process may have stood still.
    pub(super) fn may_have_stood_still(&self, now_ms: u64) -> bool {
        now_ms > self.ticked_ms + MAX_TICK_MS
    }

    /// Ends a job that another entry has.
    pub fn claim_denied(&mut self, key: JobKey) {
        if self.jobs.get(key).is_some_and(|job| job.ending.is_none()) {
            self.begin_ending(key, Ending::GivenUp(NoResultReason::HeldElsewhere));
        }
    }

    /// Lets a job wait as long as its caller, as another entry's claim on it is about to end.
    pub fn claim_postponed(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.wait_as_long_as_caller();
        }
    }

    /// Ends a job whose claim is not confirmed: another entry may soon be granted it.
    pub fn claim_lapsed(&mut self, key: JobKey) {
        if self.jobs.get(key).is_some_and(|job| job.ending.is_none()) {
            self.begin_ending(key, Ending::GivenUp(NoResultReason::NoMajority));
        }
    }

    /// Returns the jobs that have ended since the last call.
    pub fn take_released(&mut self) -> Vec<ReleasedJob> {
        std::mem::take(&mut self.released)
    }
}

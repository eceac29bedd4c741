//! Jobs that other entries have, as agents report them.
//!
//! A caller may submit a job here while its first attempt is open at another entry, which does not
//! know that the caller has left, or has not left. Neither entry may run it beside the other.

use {
    super::{AgentKey, AgentView, Dispatch, Job, JobKey},
    std::collections::BTreeSet,
    sycamorerail_wire::runs::CallerJobId,
};

impl Dispatch {
    /// Returns the jobs here that their callers may have submitted to another entry.
    #[must_use]
    pub fn old_jobs(&self, now_ms: u64) -> BTreeSet<CallerJobId> {
        let old_from_ms = |job: &Job| job.request.arrived_ms + self.limits.share_job_after_ms;
        let is_old = |job: &&Job| job.ending.is_none() && now_ms >= old_from_ms(job);
        self.jobs.values().filter(is_old).map(|job| job.request.id).collect()
    }

    /// Records changes to the jobs of other entries that an agent holds.
    pub fn update_jobs_of_others(
        &mut self,
        key: AgentKey,
        held: Vec<CallerJobId>,
        over: &[CallerJobId],
    ) {
        let Some(view) = self.agents.get_mut(key) else { return };
        for job in over {
            view.jobs_of_others.remove(job);
        }
        view.jobs_of_others.extend(held);
    }

    /// Whether another entry has a job, as agents report. What an agent reported counts until the
    /// agent has been silent for so long that the other entry may be gone, with its runs.
    pub(super) fn is_held_elsewhere(&self, job: CallerJobId, now_ms: u64) -> bool {
        let limit_ms = self.limits.forget_jobs_after_ms;
        let is_held_at = |view: &AgentView| {
            view.jobs_of_others.contains(&job) && view.observed_silence_ms(now_ms) < limit_ms
                || view.jobs_before_reconnect.contains(&job)
                    && now_ms < view.heard_before_reconnect_ms + limit_ms
        };
        self.agents.values().any(is_held_at)
    }

    /// Whether a job without a task at an agent waits until another entry no longer has it.
    pub(super) fn must_wait_for_other_entry(&self, key: JobKey, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let has_begun = job.may_have_run || job.has_placed();
        !has_begun && self.is_held_elsewhere(job.request.id, now_ms)
    }
}

//! Jobs that other entries have, as agents report them.
//!
//! A caller may submit a job here while its first attempt is open at another entry, which does not
//! know that the caller has left, or has not left. Neither entry may run it beside the other.

use {
    super::{AgentKey, AgentView, Dispatch, JobKey},
    sycamorerail_wire::runs::CallerJobId,
};

impl Dispatch {
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

    /// Whether another entry has a job at an agent. What an agent held counts until it has been
    /// silent for so long that the runs there have ended.
    pub(super) fn is_held_elsewhere(&self, job: CallerJobId, now_ms: u64) -> bool {
        let is_current =
            |view: &&AgentView| now_ms < view.last_heard_ms + self.limits.run_after_contact_ms;
        let mut current = self.agents.values().filter(is_current);
        current.any(|view| view.jobs_of_others.contains(&job))
    }

    /// Whether a job without a task at an agent waits until another entry no longer has it.
    pub(super) fn is_waiting_for_other_entry(&self, key: JobKey, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let has_begun = job.may_have_run || job.has_placed();
        !has_begun && self.is_held_elsewhere(job.request.id, now_ms)
    }
}

//! Recall of tasks that wait at one agent while another has room.

use {
    super::{AgentKey, Command, Dispatch, Job, JobKey, job::TaskState},
    std::collections::BTreeMap,
    sycamorerail_wire::runs::TaskKey,
};

/// A task without a start after this time counts as waiting: starts are usually reported within 5
/// ms. The time doubles with each run number; otherwise tasks would circulate between full
/// upstreams, as several entries claim the same room.
const RECALL_AFTER_MS: u64 = 15;
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 6;

/// Part of an agent's free room, in percent, for recalled tasks beside which nothing is more
/// urgent. Several entries claim the same room, and such a task has no time to wait a second time.
const MOST_URGENT_ROOM_PERCENT: u64 = 50;

/// A task that waits at an agent.
struct WaitingTask {
    job: JobKey,
    task: TaskKey,
    at: AgentKey,
    need_milli: u32,
    priority: u8,
    end_by_ms: u64,
}

impl Dispatch {
    /// Recalls tasks that wait at other agents, for the room of this one, the most urgent first.
    ///
    /// A job waits for its slowest task, and run times are off by 40 %: without recalls some
    /// tasks queue at one upstream while others have room again.
    pub(super) fn recall_for(&mut self, agent: AgentKey, now_ms: u64) {
        let Some(view) = self.agents.get(agent) else { return };
        if !view.is_usable(now_ms, self.limits.suspect_ms) || view.load.waiting > 0 {
            return;
        }
        let Some(instance) = &view.instance else { return };
        let free_milli = u64::from(view.free_cpu_milli());
        let mut waiting = self.waiting_elsewhere(agent, now_ms);
        if waiting.is_empty() {
            return;
        }
        let load = self.pool_load(&instance.pool, now_ms);
        waiting.sort_unstable_by_key(|waiting| (waiting.priority, waiting.end_by_ms));
        let mut recalled_milli = 0;
        let mut by_agent: BTreeMap<AgentKey, Vec<TaskKey>> = BTreeMap::new();
        for WaitingTask { job, task, at, need_milli, priority, .. } in waiting {
            let with_this_milli = recalled_milli + u64::from(need_milli);
            let offered_percent = offered_percent(load.more_urgent_percent(priority));
            if with_this_milli > free_milli * offered_percent / 100 {
                // Less urgent tasks must not take the room that more urgent ones wait for.
                break;
            }
            recalled_milli = with_this_milli;
            by_agent.entry(at).or_default().push(task);
            let Some(job) = self.jobs.get_mut(job) else { continue };
            let state = &mut job.tasks[usize::from(task.step)][usize::from(task.index)].state;
            if let TaskState::Placed { recalled, .. } = state {
                *recalled = true;
            }
        }
        let recalls = by_agent.into_iter().map(|(at, tasks)| Command::Withdraw(at, tasks));
        self.commands.extend(recalls);
    }

    /// Tells agents to go on with the last tasks of jobs that have mostly started.
    pub(super) fn announce_mostly_started(&mut self, now_ms: u64) {
        let is_unannounced = |job: &Job| {
            job.ending.is_none()
                && job.may_have_run
                && !job.told_mostly_started
                && job.has_mostly_started()
        };
        for job in self.jobs.values_mut().filter(|job| is_unannounced(job)) {
            job.told_mostly_started = true;
            let left_ms = job.end_by_ms().saturating_sub(now_ms);
            let give_up_in_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
            let id = job.request.id;
            let finish = |agent| Command::JobMostlyStarted(agent, id, give_up_in_ms);
            self.commands.extend(job.agents_with_unstarted_tasks().into_iter().map(finish));
        }
    }

    /// Tasks that have waited at other agents for a while and could run at this one.
    fn waiting_elsewhere(&self, agent: AgentKey, now_ms: u64) -> Vec<WaitingTask> {
        let is_queue = |at: AgentKey| {
            at != agent && self.agents.get(at).is_some_and(|view| view.load.waiting > 0)
        };
        if !self.agents.keys().any(is_queue) {
            return Vec::new();
        }
        let view = &self.agents[agent];
        let mut found = Vec::new();
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.ending.is_none()) {
            for (step, step_request) in job.request.steps.iter().enumerate() {
                let label = step_request.required_label.as_deref();
                if view.can_run(&job.request.kind.pool, &step_request.need, label) {
                    let waiting = waiting_tasks(key, job, step, now_ms);
                    found.extend(waiting.filter(|waiting| is_queue(waiting.at)));
                }
            }
        }
        found
    }
}

/// Part of an agent's free room that is offered to a task, in percent. Room that more urgent work
/// takes as it arrives is left for it.
fn offered_percent(more_urgent_percent: u64) -> u64 {
    if more_urgent_percent == 0 { MOST_URGENT_ROOM_PERCENT } else { 100 - more_urgent_percent }
}

/// Tasks of a step that an agent has held for long enough without a start.
fn waiting_tasks(
    key: JobKey,
    job: &Job,
    step: usize,
    now_ms: u64,
) -> impl Iterator<Item = WaitingTask> + '_ {
    let need_milli = job.request.steps[step].need.cpu_milli;
    let (priority, end_by_ms) = (job.request.kind.priority, job.objective_ms);
    job.tasks[step].iter().enumerate().filter_map(move |(index, task)| {
        let TaskState::Placed { agent: at, started: false, since_ms, recalled: false } = task.state
        else {
            return None;
        };
        let min_wait_ms = RECALL_AFTER_MS << task.run.saturating_sub(1).min(MAX_DOUBLINGS);
        if now_ms < since_ms + min_wait_ms {
            return None;
        }
        let task = job.key_of(step, index)?;
        Some(WaitingTask { job: key, task, at, need_milli, priority, end_by_ms })
    })
}

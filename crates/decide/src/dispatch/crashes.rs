//! Crashes of upstreams, recorded by the task that ran there. They come from reports of agents
//! and from runs that ended at this entry. They decide which jobs are given up and whether their
//! tasks are the likely cause.

use {
    super::{
        AgentKey, Dispatch, Job, JobAnswer, JobKey, NoResultReason,
        job::{Ending, SUSPECT_CRASHES},
    },
    crate::ledger::CRASH_RETENTION_MS,
    std::collections::{HashMap, HashSet},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, TaskCrashes, TaskKey},
    },
};

/// Maximum number of tasks with known crashes; those with the oldest crash are dropped. Holds all
/// tasks of 240 upstreams with ten tasks each, in less than 1 MB.
const MAX_TASKS_WITH_CRASHES: usize = 4_096;
/// Crashes of upstreams within this time of each other may have a common cause.
const COMMON_CAUSE_MS: u64 = 500;
/// Maximum number of unrelated upstreams that crash at about the same time if the task is the
/// likely cause. One or two flapping upstreams are tolerated, a loss of dozens within a second is
/// not.
const MAX_UNRELATED_UPSTREAMS: usize = 2;
/// Time after its last crash before a job may be called failed. An agent that only sees refused
/// connections reports a crash as the leases end, up to 1,040 ms later. If dozens of upstreams are
/// lost within a second, six crash within the 260 ms that remain.
const VERDICT_DELAY_MS: u64 = 1_300;

/// Crashes of one agent's upstream while a task ran there.
#[derive(Clone, Copy, Debug)]
struct AgentCrashes {
    agent: Incarnation,
    count: u8,
    /// Time of the last crash; negative if it was before this entry's clock began.
    last_ms: i64,
}

/// Known crashes by task.
#[derive(Debug, Default)]
pub(super) struct Crashes(HashMap<TaskKey, Vec<AgentCrashes>>);

impl Crashes {
    /// Records a crash that ended a run of this entry, unless the agent has already reported it.
    fn record_ended_run(
        &mut self,
        task: TaskKey,
        own_crashes: u8,
        agent: Incarnation,
        now_ms: u64,
    ) {
        if self.count(task) < own_crashes {
            let known = self.of_task(task).find(|known| known.agent == agent);
            let count = known.map_or(1, |known| known.count.saturating_add(1));
            self.record(task, AgentCrashes { agent, count, last_ms: now_ms as i64 });
        }
    }

    /// Records how often an agent's upstream crashed under a task. Returns whether that was not
    /// known.
    fn record(&mut self, task: TaskKey, told: AgentCrashes) -> bool {
        let known = self.0.entry(task).or_default();
        match known.iter_mut().find(|known| known.agent == told.agent) {
            Some(known) if known.count < told.count => *known = told,
            Some(_) => return false,
            None => known.push(told),
        }
        if self.0.len() > MAX_TASKS_WITH_CRASHES {
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, known)| last_ms(known)).map(|(task, _)| *task);
        oldest.map(|task| self.0.remove(&task));
    }

    fn expire(&mut self, now_ms: u64) {
        self.0.retain(|_, known| (now_ms as i64) < last_ms(known) + CRASH_RETENTION_MS);
    }

    fn of_task(&self, task: TaskKey) -> impl Iterator<Item = &AgentCrashes> {
        self.0.get(&task).into_iter().flatten()
    }

    /// The known crashes of a task, as reports to agents.
    fn reports_of(&self, task: TaskKey, now_ms: u64) -> impl Iterator<Item = TaskCrashes> {
        self.of_task(task).map(move |&AgentCrashes { agent, count, last_ms }| {
            TaskCrashes::from_last_crash(last_ms, (agent, task, count), now_ms)
        })
    }

    /// Number of times that upstreams crashed while the task ran there.
    fn count(&self, task: TaskKey) -> u8 {
        self.of_task(task).fold(0, |sum, known| sum.saturating_add(known.count))
    }

    /// Whether the task is the likely cause of its crashes: at about those times only few
    /// upstreams crashed that ran nothing of its job.
    fn is_likely_cause(&self, task: TaskKey) -> bool {
        let job_agents = self.agents_of(task.job);
        self.of_task(task).all(|crash| {
            self.unrelated_upstreams_at(crash.last_ms, &job_agents) <= MAX_UNRELATED_UPSTREAMS
        })
    }

    fn agents_of(&self, job: CallerJobId) -> HashSet<Incarnation> {
        let of_job = self.0.iter().filter(|(task, _)| task.job == job);
        of_job.flat_map(|(_, known)| known).map(|crash| crash.agent).collect()
    }

    fn unrelated_upstreams_at(&self, at_ms: i64, job_agents: &HashSet<Incarnation>) -> usize {
        let about = |crash: &&AgentCrashes| crash.last_ms.abs_diff(at_ms) <= COMMON_CAUSE_MS;
        let agents = self.0.values().flatten().filter(about).map(|crash| crash.agent);
        agents.filter(|agent| !job_agents.contains(agent)).collect::<HashSet<_>>().len()
    }
}

fn last_ms(known: &[AgentCrashes]) -> i64 {
    known.iter().map(|crash| crash.last_ms).max().unwrap_or(i64::MIN / 2)
}

impl Dispatch {
    /// Records crashes that an agent reports, whichever entry placed the tasks. Returns what is
    /// new of suspect tasks, to be sent to all agents, which pass it on to other entries.
    pub fn record_crash_reports(&mut self, told: &[TaskCrashes], now_ms: u64) -> Vec<TaskCrashes> {
        let mut suspects = Vec::new();
        for told in told {
            let &TaskCrashes { agent, task, crashes: count, .. } = told;
            let last_ms = told.last_crash_ms(now_ms);
            let is_new = self.crashes.record(task, AgentCrashes { agent, count, last_ms });
            if is_new && self.crashes.count(task) >= SUSPECT_CRASHES {
                suspects.extend(self.crashes.reports_of(task, now_ms));
            }
            self.apply_crash_count(task, now_ms);
        }
        suspects
    }

    fn apply_crash_count(&mut self, task: TaskKey, now_ms: u64) {
        let Some(&key) = self.by_id.get(&task.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.set_reported_crashes(task, self.crashes.count(task));
        if job.ending.is_none() && job.is_crashing(task) {
            self.give_up_crashing(key, now_ms);
        }
    }

    /// Records a crash that ended a run of this entry.
    pub(super) fn record_crash_of_run(
        &mut self,
        key: JobKey,
        task: TaskKey,
        agent: AgentKey,
        now_ms: u64,
    ) {
        let Some(agent) = self.agents.get(agent).map(|view| view.process.incarnation) else {
            return;
        };
        let Some(own_crashes) = self.jobs.get(key).and_then(|job| job.own_crashes(task)) else {
            return;
        };
        self.crashes.record_ended_run(task, own_crashes, agent, now_ms);
    }

    /// Applies the known crashes to a job that is being submitted. Returns its answer if one of
    /// its tasks has already crashed too many upstreams.
    pub(super) fn apply_known_crashes(&self, job: &mut Job, now_ms: u64) -> Option<JobAnswer> {
        if self.crashes.0.is_empty() {
            return None;
        }
        let keys: Vec<_> = job.keys().collect();
        for &task in &keys {
            job.set_reported_crashes(task, self.crashes.count(task));
        }
        let crashing: Vec<_> = keys.into_iter().filter(|task| job.is_crashing(*task)).collect();
        let last_ms = crashing.iter().flat_map(|task| self.crashes.of_task(*task));
        let last_ms = last_ms.map(|crash| crash.last_ms).max()?;
        let is_verdict_due = now_ms as i64 >= last_ms + VERDICT_DELAY_MS as i64;
        Some(self.crash_answer(job, is_verdict_due))
    }

    /// Gives up a job with a task under which too many upstreams crashed.
    pub(super) fn give_up_crashing(&mut self, key: JobKey, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.verdict_at_ms = Some(now_ms + VERDICT_DELAY_MS);
        }
        self.begin_ending(key, Ending::GivenUp(NoResultReason::Crashing));
    }

    /// Answers crashing jobs whose last crash is long enough ago.
    pub(super) fn answer_crashing(&mut self, now_ms: u64) {
        self.crashes.expire(now_ms);
        let is_due =
            |job: &Job| job.verdict_at_ms.is_some_and(|verdict_at_ms| now_ms >= verdict_at_ms);
        let due = self.jobs.iter().filter(|(_, job)| is_due(job));
        let due: Vec<_> = due.map(|(key, _)| key).collect();
        for key in due {
            self.jobs[key].verdict_at_ms = None;
            self.try_finish_ending(key);
        }
    }

    /// The answer is `Failed` if one of the job's tasks is the likely cause of its crashes.
    /// Otherwise the crashes are no evidence against the job.
    pub(super) fn crash_answer(&self, job: &Job, is_verdict_due: bool) -> JobAnswer {
        let mut crashing = job.keys().filter(|task| job.is_crashing(*task));
        if is_verdict_due && crashing.any(|task| self.crashes.is_likely_cause(task)) {
            JobAnswer::Failed
        } else {
            JobAnswer::Unknown { reason: NoResultReason::Crashing }
        }
    }
}

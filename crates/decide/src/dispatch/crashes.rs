//! Crashes of upstreams by the task that ran there, as agents told and as runs ended here:
//! which jobs are given up, and whether their tasks are the likely cause.

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

/// Tasks of which crashes are known, at most; those that crashed last. All that runs on 240
/// upstreams of ten tasks each fits, in less than 1 MB.
const MAX_TASKS: usize = 4_096;
/// Crashes of upstreams within so long of each other may have one cause.
const TOGETHER_MS: u64 = 500;
/// Other upstreams that crash about then, at most, where the task is the likely cause: a
/// flapping upstream or two are borne, a loss of dozens in a second is not.
const MAX_OTHERS: usize = 2;
/// A job is called failed no sooner than this after its last crash: upstreams that are lost
/// by dozens in a second crash six times meanwhile.
const JUDGED_AFTER_MS: u64 = 250;

/// Crashes of one agent's upstream under a task.
#[derive(Clone, Copy, Debug)]
struct AtAgent {
    agent: Incarnation,
    count: u8,
    /// When the last one was, maybe before this entry's clock began.
    last_ms: i64,
}

/// Crashes that are known.
#[derive(Debug, Default)]
pub(super) struct Crashes(HashMap<TaskKey, Vec<AtAgent>>);

impl Crashes {
    /// Takes note of one that ended a run here, unless its agent has told of it before.
    fn ended_run(&mut self, task: TaskKey, seen_here: u8, agent: Incarnation, now_ms: u64) {
        if self.count(task) < seen_here {
            let known = self.of(task).find(|known| known.agent == agent);
            let count = known.map_or(1, |known| known.count.saturating_add(1));
            self.learn(task, AtAgent { agent, count, last_ms: now_ms as i64 });
        }
    }

    /// Takes note of how often an agent's upstream crashed under a task. Returns whether
    /// that is news.
    fn learn(&mut self, task: TaskKey, told: AtAgent) -> bool {
        let known = self.0.entry(task).or_default();
        match known.iter_mut().find(|known| known.agent == told.agent) {
            Some(known) if known.count < told.count => *known = told,
            Some(_) => return false,
            None => known.push(told),
        }
        if self.0.len() > MAX_TASKS {
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

    fn of(&self, task: TaskKey) -> impl Iterator<Item = &AtAgent> {
        self.0.get(&task).into_iter().flatten()
    }

    /// What is known of a task, to be told.
    fn told_of(&self, task: TaskKey, now_ms: u64) -> impl Iterator<Item = TaskCrashes> {
        self.of(task).map(move |&AtAgent { agent, count, last_ms }| {
            TaskCrashes::from_last_crash(last_ms, (agent, task, count), now_ms)
        })
    }

    /// How often upstreams crashed while a task ran there.
    fn count(&self, task: TaskKey) -> u8 {
        self.of(task).fold(0, |sum, known| sum.saturating_add(known.count))
    }

    /// Whether a task is the likely cause of its crashes: few other upstreams crashed about
    /// then that ran nothing of its job.
    fn is_likely_cause(&self, task: TaskKey) -> bool {
        let met = self.agents_of(task.job);
        self.of(task).all(|crash| self.others_about(crash.last_ms, &met) <= MAX_OTHERS)
    }

    fn agents_of(&self, job: CallerJobId) -> HashSet<Incarnation> {
        let of_job = self.0.iter().filter(|(task, _)| task.job == job);
        of_job.flat_map(|(_, known)| known).map(|crash| crash.agent).collect()
    }

    fn others_about(&self, at_ms: i64, met: &HashSet<Incarnation>) -> usize {
        let about = |crash: &&AtAgent| crash.last_ms.abs_diff(at_ms) <= TOGETHER_MS;
        let agents = self.0.values().flatten().filter(about).map(|crash| crash.agent);
        agents.filter(|agent| !met.contains(agent)).collect::<HashSet<_>>().len()
    }
}

fn last_ms(known: &[AtAgent]) -> i64 {
    known.iter().map(|crash| crash.last_ms).max().unwrap_or(i64::MIN / 2)
}

impl Dispatch {
    /// An agent tells of tasks under which upstreams crashed, whoever had placed them.
    /// Returns what is new of suspects, for all agents: they tell it to other entries.
    pub fn record_crash_reports(&mut self, told: &[TaskCrashes], now_ms: u64) -> Vec<TaskCrashes> {
        let mut suspects = Vec::new();
        for told in told {
            let &TaskCrashes { agent, task, crashes: count, .. } = told;
            let last_ms = told.last_crash_ms(now_ms);
            let is_news = self.crashes.learn(task, AtAgent { agent, count, last_ms });
            if is_news && self.crashes.count(task) >= SUSPECT_CRASHES {
                suspects.extend(self.crashes.told_of(task, now_ms));
            }
            self.note_crashes(task, now_ms);
        }
        suspects
    }

    fn note_crashes(&mut self, task: TaskKey, now_ms: u64) {
        let Some(&key) = self.by_id.get(&task.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.crashes_told(task, self.crashes.count(task));
        if job.ending.is_none() && job.is_crashing(task) {
            self.give_up_crashing(key, now_ms);
        }
    }

    /// Takes note of a crash that ended a run of a job here.
    pub(super) fn crash_ended_run(
        &mut self,
        key: JobKey,
        task: TaskKey,
        agent: AgentKey,
        now_ms: u64,
    ) {
        let Some(agent) = self.agents.get(agent).map(|view| view.incarnation) else { return };
        let Some(seen_here) = self.jobs.get(key).and_then(|job| job.crashes_here(task)) else {
            return;
        };
        self.crashes.ended_run(task, seen_here, agent, now_ms);
    }

    /// What is known of a job's tasks as it comes; its answer, if one of them has crashed too
    /// many upstreams already.
    pub(super) fn recall_crashes(&self, job: &mut Job, now_ms: u64) -> Option<JobAnswer> {
        if self.crashes.0.is_empty() {
            return None;
        }
        let keys: Vec<_> = job.keys().collect();
        for &task in &keys {
            job.crashes_told(task, self.crashes.count(task));
        }
        let crashing: Vec<_> = keys.into_iter().filter(|task| job.is_crashing(*task)).collect();
        let last_ms = crashing.iter().flat_map(|task| self.crashes.of(*task));
        let last_ms = last_ms.map(|crash| crash.last_ms).max()?;
        let is_judged = now_ms as i64 >= last_ms + JUDGED_AFTER_MS as i64;
        Some(self.crash_answer(job, is_judged))
    }

    /// Ends a job with a task under which too many upstreams crashed.
    pub(super) fn give_up_crashing(&mut self, key: JobKey, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.judged_ms = Some(now_ms + JUDGED_AFTER_MS);
        }
        self.end(key, Ending::GivenUp(NoResultReason::Crashing));
    }

    /// Judges jobs whose last crash is long enough ago.
    pub(super) fn judge_crashing(&mut self, now_ms: u64) {
        self.crashes.expire(now_ms);
        let is_due = |job: &Job| job.judged_ms.is_some_and(|judged_ms| now_ms >= judged_ms);
        let due = self.jobs.iter().filter(|(_, job)| is_due(job));
        let due: Vec<_> = due.map(|(key, _)| key).collect();
        for key in due {
            self.jobs[key].judged_ms = None;
            self.finish_ending(key);
        }
    }

    /// Failed, where one of its tasks is the likely cause of its crashes. Otherwise nothing
    /// is known against the job but that upstreams crash.
    pub(super) fn crash_answer(&self, job: &Job, is_judged: bool) -> JobAnswer {
        let mut crashing = job.keys().filter(|task| job.is_crashing(*task));
        if is_judged && crashing.any(|task| self.crashes.is_likely_cause(task)) {
            JobAnswer::Failed
        } else {
            JobAnswer::Unknown { reason: NoResultReason::Crashing }
        }
    }
}

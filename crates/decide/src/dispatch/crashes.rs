//! Crashes of upstreams by the task that ran there, as runs ended here: which
//! jobs are given up, and whether their tasks are the likely cause.

use {
    super::{AgentKey, Dispatch, GiveUp, Job, JobAnswer, JobKey, job::Ending},
    std::collections::{HashMap, HashSet},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerId, TaskKey},
    },
};

/// Tasks of which crashes are known, at most; those that crashed last. All that runs on 240
/// upstreams of ten tasks each fits, in less than 1 MB.
const MAX_TASKS: usize = 4_096;
/// Crashes count for so long: callers whose entry died hand a job in again within seconds.
const KEPT_MS: u64 = 60_000;
/// Crashes of upstreams within so long of each other may have one cause.
const TOGETHER_MS: u64 = 500;
/// Other upstreams that crash about then, at most, where the task is the likely cause: a
/// flapping upstream or two are borne, a loss of dozens in a second is not.
const MAX_OTHERS: usize = 2;
/// A job is called failed no sooner than this after its last crash: upstreams that are lost
/// by dozens in a second crash six times meanwhile.
const JUDGED_AFTER_MS: u64 = 250;

/// A crash of an agent's upstream.
#[derive(Clone, Copy, Debug)]
struct Crash {
    agent: Incarnation,
    at_ms: u64,
}

/// Crashes that are known.
#[derive(Debug, Default)]
pub(super) struct Crashes(HashMap<TaskKey, Vec<Crash>>);

impl Crashes {
    /// Takes note of one that ended a run here.
    fn ended_run(&mut self, task: TaskKey, agent: Incarnation, now_ms: u64) {
        self.0.entry(task).or_default().push(Crash { agent, at_ms: now_ms });
        if self.0.len() > MAX_TASKS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, known)| last_ms(known)).map(|(task, _)| *task);
        oldest.map(|task| self.0.remove(&task));
    }

    fn expire(&mut self, now_ms: u64) {
        self.0.retain(|_, known| now_ms < last_ms(known) + KEPT_MS);
    }

    fn of(&self, task: TaskKey) -> impl Iterator<Item = &Crash> {
        self.0.get(&task).into_iter().flatten()
    }

    /// Whether a task is the likely cause of its crashes: few other upstreams crashed about
    /// then that ran nothing of its job.
    fn is_likely_cause(&self, task: TaskKey) -> bool {
        let met = self.agents_of(task.job);
        self.of(task).all(|crash| self.others_about(crash.at_ms, &met) <= MAX_OTHERS)
    }

    fn agents_of(&self, job: CallerId) -> HashSet<Incarnation> {
        let of_job = self.0.iter().filter(|(task, _)| task.job == job);
        of_job.flat_map(|(_, known)| known).map(|crash| crash.agent).collect()
    }

    fn others_about(&self, at_ms: u64, met: &HashSet<Incarnation>) -> usize {
        let about = |crash: &&Crash| crash.at_ms.abs_diff(at_ms) <= TOGETHER_MS;
        let agents = self.0.values().flatten().filter(about).map(|crash| crash.agent);
        agents.filter(|agent| !met.contains(agent)).collect::<HashSet<_>>().len()
    }
}

fn last_ms(known: &[Crash]) -> u64 {
    known.iter().map(|crash| crash.at_ms).max().unwrap_or(0)
}

impl Dispatch {
    /// Takes note of a crash that ended a run of a job here.
    pub(super) fn crash_ended_run(&mut self, task: TaskKey, agent: AgentKey, now_ms: u64) {
        let Some(agent) = self.agents.get(agent).map(|view| view.incarnation) else { return };
        self.crashes.ended_run(task, agent, now_ms);
    }

    /// Ends a job with a task under which too many upstreams crashed.
    pub(super) fn give_up_crashing(&mut self, key: JobKey, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.judged_ms = Some(now_ms + JUDGED_AFTER_MS);
        }
        self.end(key, Ending::GivenUp(GiveUp::Crashing));
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
    pub(super) fn crash_answer(&self, job: &Job) -> JobAnswer {
        let mut crashing = job.keys().filter(|task| job.is_crashing(*task));
        if job.judged_ms.is_none() && crashing.any(|task| self.crashes.is_likely_cause(task)) {
            JobAnswer::Failed
        } else {
            JobAnswer::Unknown { why: GiveUp::Crashing }
        }
    }
}

//! Fencing of lost homes: detecting that a home is lost, asking the agents about its jobs, and
//! drawing conclusions from their answers.
//!
//! [`home_watch::HomeWatch`] tells when a home may be fenced. [`collector::Collector`] asks the
//! agents of the roster, with one message per agent for many jobs, and keeps their answers.
//! [`conclude`] draws the conclusion for one job.
//!
//! # Why a conclusion is final
//!
//! Every agent that the home may have used is in the roster, or the roster is marked as not
//! whole. An agent that has answered a fence starts nothing more for that home. A task that the
//! agent has no record of is therefore never started there, and for a running task only the end
//! is open. `complete`, `failed` and `not_run` each require evidence that rules out the other
//! two, whichever entry collects it: see `job`.

mod agents;
pub mod collector;
pub mod home_watch;

use {
    std::collections::{BTreeMap, BTreeSet},
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd, TaskRecord},
        ids::{ContentHash, Incarnation},
        message::FencedJob,
    },
};

/// The agents that must answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Every agent that the home may have used, including dead ones.
    pub agents: Vec<Incarnation>,
    /// Whether the roster is known to name all of them.
    pub whole: bool,
}

/// The agents' answers about one job.
#[derive(Clone, Copy, Debug)]
pub struct AgentAnswers<'a> {
    /// The records of the job, by agent.
    pub held: &'a BTreeMap<Incarnation, FencedJob>,
    /// Number of agents in the roster that have not answered.
    pub silent_agents: usize,
    /// Agents that answered once and are unreachable since: the ends of tasks that ran there
    /// cannot be learnt.
    pub gone: &'a BTreeSet<Incarnation>,
    /// Whether the roster is known to name all agents.
    pub whole: bool,
}

/// What the inquirer knows of the job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobFacts {
    /// Hash of the submission that the inquirer received, if it received one.
    pub content: Option<ContentHash>,
    /// The submission is known to be a job, so each task had only one attempt.
    pub single_attempt: bool,
}

/// The conclusion drawn from the agents' answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Another submission was made under this id; this one never runs. Final.
    Conflict,
    /// Every task finished. Final.
    Complete(Vec<Payload>),
    /// A task definitely failed, or some tasks started and another never will. Final.
    Failed {
        /// Why the job failed.
        reason: Reason,
        /// Details for a human reader.
        detail: String,
        /// The agent at which the task failed.
        agent: Option<Incarnation>,
        /// Number of tasks known to have started.
        tasks_started: u16,
    },
    /// No task started, and none ever will. Final.
    NotRun,
    /// A task is still running.
    Running {
        /// Number of tasks known to have started.
        tasks_started: u16,
    },
    /// An agent that has not answered may still do so.
    Waiting {
        /// Number of tasks known to have started.
        tasks_started: u16,
    },
    /// The outcome cannot be determined; a later answer may change that.
    Unknown {
        /// Why the outcome is unknown.
        reason: Reason,
        /// Number of tasks known to have started.
        tasks_started: u16,
        /// Number of agents that did not answer.
        silent_agents: usize,
    },
}

impl Conclusion {
    /// Whether no later answer can change the conclusion.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Conflict | Self::Complete(_) | Self::Failed { .. } | Self::NotRun)
    }
}

/// State of one task over all agents and attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct TaskState<'a> {
    finished: Option<&'a Payload>,
    failed: Option<(Reason, &'a str, Incarnation)>,
    running: bool,
    /// The task started, and its end cannot be learnt.
    end_unknown: bool,
}

impl<'a> TaskState<'a> {
    fn add_record(&mut self, record: &'a TaskRecord, agent: Incarnation, is_gone: bool) {
        match record {
            TaskRecord::NeverStarted => {}
            TaskRecord::Running if is_gone => self.end_unknown = true,
            TaskRecord::Running => self.running = true,
            TaskRecord::Ended(TaskEnd::Finished(result)) => {
                self.finished.get_or_insert(result);
            }
            TaskRecord::Ended(TaskEnd::Failed { reason, detail }) => {
                self.failed.get_or_insert((*reason, detail, agent));
            }
            TaskRecord::EndDropped | TaskRecord::Broken(_) => self.end_unknown = true,
        }
    }

    fn started(&self) -> bool {
        self.finished.is_some() || self.failed.is_some() || self.running || self.end_unknown
    }

    /// Returns the failure if no attempt can have finished. `only_attempt`: the task had no
    /// other attempt. `all_answered`: all agents answered.
    fn failure(
        &self,
        only_attempt: bool,
        all_answered: bool,
    ) -> Option<(Reason, &'a str, Incarnation)> {
        let others_failed = all_answered && !self.running && !self.end_unknown;
        let definite = self.finished.is_none() && (only_attempt || others_failed);
        self.failed.filter(|_| definite)
    }
}

/// Draws the conclusion for one job. `is_time_up`: agents that have not answered are no longer
/// waited for.
#[must_use]
pub fn conclude(answers: AgentAnswers<'_>, facts: JobFacts, is_time_up: bool) -> Conclusion {
    let jobs = || answers.held.iter().map(|(agent, job)| (*agent, job));
    if jobs().any(|(_, job)| facts.content.is_some_and(|content| content != job.content)) {
        return Conclusion::Conflict;
    }
    let silent_agents = answers.silent_agents;
    let all_answered = answers.whole && silent_agents == 0;
    let task_count = jobs().map(|(_, job)| job.task_count).max().unwrap_or(0);
    let states = task_states(jobs(), answers.gone, task_count);
    let started = states.iter().filter(|state| state.started()).count();
    let tasks_started = u16::try_from(started).unwrap_or(u16::MAX);

    let only_attempt = facts.single_attempt || task_count > 1;
    let failure = states.iter().find_map(|state| state.failure(only_attempt, all_answered));
    if let Some((reason, detail, agent)) = failure {
        let detail = detail.to_owned();
        return Conclusion::Failed { reason, detail, agent: Some(agent), tasks_started };
    }
    if task_count > 0 && states.iter().all(|state| state.finished.is_some()) {
        return Conclusion::Complete(results(&states));
    }
    if states.iter().any(|state| state.running && state.finished.is_none()) {
        return Conclusion::Running { tasks_started };
    }
    if !all_answered {
        if silent_agents > 0 && !is_time_up {
            return Conclusion::Waiting { tasks_started };
        }
        return Conclusion::Unknown { reason: Reason::HomeLost, tasks_started, silent_agents };
    }
    match started {
        0 => Conclusion::NotRun,
        started if started < states.len() => partly_started(tasks_started, task_count),
        _ => Conclusion::Unknown { reason: Reason::ResultDropped, tasks_started, silent_agents },
    }
}

fn task_states<'a>(
    jobs: impl Iterator<Item = (Incarnation, &'a FencedJob)>,
    gone: &BTreeSet<Incarnation>,
    task_count: u16,
) -> Vec<TaskState<'a>> {
    let mut states = vec![TaskState::default(); task_count.into()];
    for (agent, job) in jobs {
        for report in &job.tasks {
            if let Some(state) = states.get_mut(usize::from(report.task.index)) {
                state.add_record(&report.record, agent, gone.contains(&agent));
            }
        }
    }
    states
}

fn results(states: &[TaskState<'_>]) -> Vec<Payload> {
    states.iter().filter_map(|state| state.finished.cloned()).collect()
}

fn partly_started(tasks_started: u16, task_count: u16) -> Conclusion {
    let detail =
        format!("the home was lost; {tasks_started} of {task_count} tasks started, the rest never");
    Conclusion::Failed { reason: Reason::HomeLost, detail, agent: None, tasks_started }
}

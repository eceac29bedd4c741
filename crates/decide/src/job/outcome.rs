//! Derives a job's outcome from the states of its tasks, and builds the answer.
//!
//! `complete` needs a result of each task. `not_run` needs proof for each task that it never
//! starts. `failed` needs a definite failure, or one task that started beside one that never
//! starts. These exclude each other whoever collects the states, so a home entry and the entry
//! that fences it cannot contradict each other. `unknown` asserts nothing.

use {
    super::{Failure, Job, LostEnd, Phase, State},
    std::mem,
    sycamorerail_wire::answer::{Answer, Outcome, Payload, Reason, Step},
};

/// Status of one task over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskStatus {
    Finished,
    Failed,
    NeverStarts,
    /// May still be decided.
    Pending,
    /// Cannot be decided here; `started` if an attempt is known to have started.
    Undecidable {
        started: bool,
    },
}

/// Number of tasks of a job by status.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TaskCounts {
    finished: u16,
    failed: u16,
    never: u16,
    pending: u16,
    started_without_end: u16,
    undecidable: u16,
}

impl TaskCounts {
    /// Whether no awaited event can decide some task.
    pub(super) fn has_undecidable(&self) -> bool {
        self.undecidable > 0
    }
}

impl Job {
    /// The outcome that can be given now, if any.
    pub(super) fn decide_outcome(&self, counts: TaskCounts, now_ms: u64) -> Option<Outcome> {
        if counts.failed > 0 {
            return Some(Outcome::Failed);
        }
        if counts.finished == self.parameters.task_count {
            return Some(Outcome::Complete);
        }
        match self.phase {
            Phase::Running => None,
            Phase::Stopping { decide_by_ms, .. } => {
                self.stopped_outcome(counts, now_ms >= decide_by_ms)
            }
            Phase::Answered(Outcome::Unknown) => self.stopped_outcome(counts, true),
            Phase::Answered(_) => None,
        }
    }

    fn stopped_outcome(&self, counts: TaskCounts, time_up: bool) -> Option<Outcome> {
        if counts.never == self.parameters.task_count {
            return Some(Outcome::NotRun);
        }
        if counts.never > 0 && counts.finished + counts.started_without_end > 0 {
            return Some(Outcome::Failed);
        }
        (time_up || counts.pending == 0).then_some(Outcome::Unknown)
    }

    pub(super) fn task_counts(&self) -> TaskCounts {
        let mut counts = TaskCounts::default();
        for index in 0..self.parameters.task_count {
            match self.task_status(index) {
                TaskStatus::Finished => counts.finished += 1,
                TaskStatus::Failed => counts.failed += 1,
                TaskStatus::NeverStarts => counts.never += 1,
                TaskStatus::Pending => counts.pending += 1,
                TaskStatus::Undecidable { started } => {
                    counts.undecidable += 1;
                    counts.started_without_end += u16::from(started);
                }
            }
        }
        counts
    }

    fn task_status(&self, index: u16) -> TaskStatus {
        if self.results[usize::from(index)].is_some() {
            return TaskStatus::Finished;
        }
        let states = || self.states_of(index);
        if states().any(State::is_awaited) {
            return TaskStatus::Pending;
        }
        let ended = states().any(|state| state == State::Failed);
        let broken = states().any(|state| state == State::EndLost(LostEnd::EndUnknown));
        if states().all(|state| state == State::NeverStarts) {
            TaskStatus::NeverStarts
        } else if states().all(|state| matches!(state, State::NeverStarts | State::Failed)) {
            TaskStatus::Failed
        } else {
            TaskStatus::Undecidable { started: ended || broken }
        }
    }

    fn states_of(&self, index: u16) -> impl Iterator<Item = State> {
        let first = usize::from(index);
        let last = if self.parameters.task_count == 1 { self.attempts.len() } else { first + 1 };
        self.attempts[first..last].iter().map(|attempt| attempt.state)
    }

    /// Number of tasks that are known to have started.
    #[must_use]
    pub fn tasks_started(&self) -> u16 {
        let counts = self.task_counts();
        counts.finished + counts.failed + counts.started_without_end
    }

    /// Whether all attempts wait at the entry: none has started, and none was sent and may start.
    #[must_use]
    pub fn is_entirely_waiting(&self) -> bool {
        let is_unplaced = |state| matches!(state, State::Waiting | State::NeverStarts);
        self.phase == Phase::Running
            && self.attempts.iter().all(|attempt| is_unplaced(attempt.state))
    }

    /// Whether it is proven that no task has started or will start.
    #[must_use]
    pub fn no_start_possible(&self) -> bool {
        self.phase != Phase::Running
            && self.attempts.iter().all(|attempt| attempt.state == State::NeverStarts)
    }

    pub(super) fn answer(&mut self, outcome: Outcome) -> Answer {
        let answer = match outcome {
            Outcome::Complete => return Answer::complete(self.take_results()),
            Outcome::Failed => self.failed_answer(),
            _ => self.stopped_answer(outcome),
        };
        Answer { tasks_started: Some(self.tasks_started()), ..answer }
    }

    fn take_results(&mut self) -> Vec<Payload> {
        self.results.iter_mut().flatten().map(mem::take).collect()
    }

    fn failed_answer(&self) -> Answer {
        match (&self.failure, &self.stopped) {
            (Some(failure), None) => self.failure_answer(failure),
            (Some(failure), Some(_)) if failure.reason != Reason::Cancelled => {
                self.failure_answer(failure)
            }
            _ => self.stopped_answer(Outcome::Failed),
        }
    }

    fn failure_answer(&self, failure: &Failure) -> Answer {
        let detail = format!("task {}: {}", failure.index, failure.detail);
        Answer::without_results(Outcome::Failed, failure.reason, Step::Run)
            .at_peer(&*failure.peer)
            .with_detail(detail)
    }

    fn stopped_answer(&self, outcome: Outcome) -> Answer {
        let (reason, peer) = match &self.stopped {
            Some((reason, peer)) => (*reason, peer.clone()),
            None => (Reason::DeadlinePassed, None),
        };
        let mut answer = Answer::without_results(outcome, reason, step_for_reason(reason));
        answer.peer = peer.map(|peer| peer.to_string());
        let may_retry = outcome != Outcome::Failed && reason != Reason::NeverPlaceable;
        answer.retry_after_ms = may_retry.then_some(self.parameters.retry_after_ms.into());
        answer
    }
}

/// The step at which a stop for this reason arises.
fn step_for_reason(reason: Reason) -> Step {
    match reason {
        Reason::Cancelled | Reason::Revoked => Step::Revoke,
        Reason::Fenced | Reason::HomeLost => Step::Fence,
        Reason::AgentLost => Step::Start,
        Reason::UpstreamBroken | Reason::UpstreamTimeout | Reason::ResultDropped => Step::Run,
        Reason::NeverPlaceable | Reason::NoUpstream | Reason::Overloaded | Reason::Evacuated => {
            Step::Admit
        }
        _ => Step::Place,
    }
}

//! What can be said of a job, and the answer that says it.
//!
//! `complete` needs a result of each task, `not_run` the proof for each that
//! it never starts, `failed` a definite failure, or a started task beside one
//! that never starts. These exclude each other whoever collects them; a home
//! and an entry that fences it cannot contradict. `unknown` claims nothing.

use {
    super::{Failure, Job, Phase, State, Without},
    std::mem,
    sycamorerail_wire::answer::{Answer, Outcome, Payload, Reason, Step},
};

/// How one task stands over its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Finished,
    Failed,
    Never,
    /// May still be decided.
    Pending,
    /// Cannot be decided here; `started` if some attempt surely started.
    Undecidable {
        started: bool,
    },
}

/// Tasks of a job by standing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    finished: u16,
    failed: u16,
    never: u16,
    pending: u16,
    started_without_end: u16,
    undecidable: u16,
}

impl Tally {
    /// Whether some task can't be decided by anything that is awaited.
    pub(super) fn has_undecidable(&self) -> bool {
        self.undecidable > 0
    }
}

impl Job {
    /// The outcome that can be given now, if any.
    pub(super) fn verdict(&self, tally: Tally, now_ms: u64) -> Option<Outcome> {
        if tally.failed > 0 {
            return Some(Outcome::Failed);
        }
        if tally.finished == self.parameters.task_count {
            return Some(Outcome::Complete);
        }
        match self.phase {
            Phase::Running => None,
            Phase::Stopping { decide_by_ms, .. } => {
                self.stopped_verdict(tally, now_ms >= decide_by_ms)
            }
            Phase::Answered(Outcome::Unknown) => self.stopped_verdict(tally, true),
            Phase::Answered(_) => None,
        }
    }

    fn stopped_verdict(&self, tally: Tally, time_up: bool) -> Option<Outcome> {
        if tally.never == self.parameters.task_count {
            return Some(Outcome::NotRun);
        }
        if tally.never > 0 && tally.finished + tally.started_without_end > 0 {
            return Some(Outcome::Failed);
        }
        (time_up || tally.pending == 0).then_some(Outcome::Unknown)
    }

    pub(super) fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for index in 0..self.parameters.task_count {
            match self.standing(index) {
                Standing::Finished => tally.finished += 1,
                Standing::Failed => tally.failed += 1,
                Standing::Never => tally.never += 1,
                Standing::Pending => tally.pending += 1,
                Standing::Undecidable { started } => {
                    tally.undecidable += 1;
                    tally.started_without_end += u16::from(started);
                }
            }
        }
        tally
    }

    fn standing(&self, index: u16) -> Standing {
        if self.results[usize::from(index)].is_some() {
            return Standing::Finished;
        }
        let states = || self.states_of(index);
        if states().any(State::is_awaited) {
            return Standing::Pending;
        }
        let ended = states().any(|state| state == State::Failed);
        let broken = states().any(|state| state == State::Without(Without::EndUnknown));
        if states().all(|state| state == State::Never) {
            Standing::Never
        } else if states().all(|state| matches!(state, State::Never | State::Failed)) {
            Standing::Failed
        } else {
            Standing::Undecidable { started: ended || broken }
        }
    }

    fn states_of(&self, index: u16) -> impl Iterator<Item = State> {
        let first = usize::from(index);
        let last = if self.parameters.task_count == 1 { self.attempts.len() } else { first + 1 };
        self.attempts[first..last].iter().map(|attempt| attempt.state)
    }

    /// Tasks that surely started.
    #[must_use]
    pub fn tasks_started(&self) -> u16 {
        let tally = self.tally();
        tally.finished + tally.failed + tally.started_without_end
    }

    /// Whether all of it waits at the entry: nothing has started, or was sent and may.
    #[must_use]
    pub fn is_entirely_waiting(&self) -> bool {
        let waits = |state| matches!(state, State::Waiting | State::Never);
        self.phase == Phase::Running && self.attempts.iter().all(|attempt| waits(attempt.state))
    }

    /// Whether it is proven that no task started or ever will.
    #[must_use]
    pub fn no_start_possible(&self) -> bool {
        self.phase != Phase::Running
            && self.attempts.iter().all(|attempt| attempt.state == State::Never)
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
        let mut answer = Answer::without_results(outcome, reason, step_of(reason));
        answer.peer = peer.map(|peer| peer.to_string());
        let comes_back = outcome != Outcome::Failed && reason != Reason::NeverPlaceable;
        answer.retry_after_ms = comes_back.then_some(self.parameters.retry_after_ms.into());
        answer
    }
}

/// The step at which a stop for this reason arises.
fn step_of(reason: Reason) -> Step {
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

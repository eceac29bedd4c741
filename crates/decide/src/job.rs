//! One job at its home, as a state machine: events in, actions out.
//!
//! A task is placed again only with proof that no earlier placement of it can
//! start. Attempts above 0 exist only for requests of repeatable kinds; then
//! the job has one task. Late and doubled events change nothing.

mod attempt;
mod types;
mod verdict;

use {
    crate::view::UpstreamKey,
    attempt::{Attempt, State, Without},
    std::{collections::BTreeMap, mem, sync::Arc},
    sycamorerail_wire::answer::{Outcome, Payload, Reason, TaskEnd, TaskRecord},
};

pub use types::{
    Action, Event, JobParameters, PlacementKey, Reply, RetryKind, RetryPacer, TaskAttempt,
};

/// Shortest time for which a refused attempt avoids the upstream, in
/// milliseconds, so that it does not bounce there at once.
const MIN_AVOID_MS: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// Nothing is placed any more; reports are awaited until the time given.
    Stopping {
        reason: Reason,
        decide_by_ms: u64,
    },
    Answered(Outcome),
}

#[derive(Clone, Debug)]
struct Failure {
    index: u16,
    reason: Reason,
    detail: String,
    peer: Arc<str>,
}

/// One job at its home.
#[derive(Debug)]
pub struct Job {
    parameters: JobParameters,
    phase: Phase,
    /// In the order of indices; further attempts of a request follow.
    attempts: Vec<Attempt>,
    results: Vec<Option<Payload>>,
    failure: Option<Failure>,
    /// The first loss of an attempt's end, and at whom it arose.
    lost: Option<(Reason, Arc<str>)>,
    /// When a hedge was last asked for.
    hedge_from_ms: u64,
    /// Why placing was stopped, and at whom that arose.
    stopped: Option<(Reason, Option<Arc<str>>)>,
}

impl Job {
    /// A job of which every task waits; enqueue each of [`Job::first_attempts`].
    #[must_use]
    pub fn new(parameters: JobParameters) -> Self {
        let count = usize::from(parameters.task_count);
        let attempts = (0..parameters.task_count).map(|index| Attempt::new(index, 0)).collect();
        Self {
            parameters,
            phase: Phase::Running,
            attempts,
            results: vec![None; count],
            failure: None,
            lost: None,
            hedge_from_ms: 0,
            stopped: None,
        }
    }

    /// The first attempts of all tasks.
    pub fn first_attempts(&self) -> impl Iterator<Item = TaskAttempt> + use<> {
        (0..self.parameters.task_count).map(|index| TaskAttempt { index, attempt: 0 })
    }

    /// The parameters.
    #[must_use]
    pub fn parameters(&self) -> &JobParameters {
        &self.parameters
    }

    /// Whether an answer was given.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self.phase, Phase::Answered(_))
    }

    /// Whether the attempt still waits for an upstream.
    #[must_use]
    pub fn is_waiting(&self, task: TaskAttempt) -> bool {
        self.phase == Phase::Running
            && self.attempt(task).is_some_and(|attempt| attempt.state == State::Waiting)
    }

    /// Upstreams that the attempt must avoid now: those which refused it, those
    /// at which another attempt is open, and those at which one has just ended.
    #[must_use]
    pub fn upstreams_to_avoid(&self, task: TaskAttempt, now_ms: u64) -> Vec<UpstreamKey> {
        let Some(attempt) = self.attempt(task) else {
            return Vec::new();
        };
        let others = self
            .attempts
            .iter()
            .filter(|other| other.key.index == task.index && other.key.attempt != task.attempt);
        attempt.avoided(now_ms).chain(others.filter_map(|other| other.occupies(now_ms))).collect()
    }

    /// Takes leave to send a waiting attempt to `upstream`; `None` if it must
    /// not be placed any more.
    pub fn open_placement(
        &mut self,
        task: TaskAttempt,
        upstream: UpstreamKey,
        now_ms: u64,
    ) -> Option<PlacementKey> {
        if !self.is_waiting(task) || now_ms >= self.parameters.deadline_at_ms {
            return None;
        }
        let attempt = self.attempt_mut(task)?;
        Some(attempt.open(upstream, now_ms))
    }

    /// Takes leave to send a placement without a reply once more, to the same
    /// run of the agent, which is there again. If there is none, ask by a
    /// revoke what became of it.
    pub fn resend_placement(&mut self, placement: PlacementKey) -> bool {
        let running = self.phase == Phase::Running;
        let attempt = self.attempt_mut(placement.task);
        let open = attempt.filter(|attempt| attempt.is_open(placement.serial));
        let Some(attempt) = open.filter(|attempt| running && !attempt.is_revoked()) else {
            return false;
        };
        attempt.set_unreachable(false);
        true
    }

    /// When [`Event::Tick`] is next due, in monotonic milliseconds.
    #[must_use]
    pub fn wake_at_ms(&self, now_ms: u64) -> Option<u64> {
        match self.phase {
            Phase::Answered(_) => None,
            Phase::Stopping { decide_by_ms, .. } => Some(decide_by_ms),
            Phase::Running => {
                let hedge_at_ms = self.hedge_at_ms(now_ms).unwrap_or(u64::MAX);
                Some(self.parameters.deadline_at_ms.min(hedge_at_ms))
            }
        }
    }

    /// Takes an event.
    pub fn handle_event(
        &mut self,
        event: Event,
        now_ms: u64,
        pacer: &mut RetryPacer<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut turn = Turn { now_ms, pacer, actions: &mut actions };
        self.take(event, &mut turn);
        self.settle(&mut turn);
        actions
    }

    fn take(&mut self, event: Event, turn: &mut Turn<'_, '_>) {
        match event {
            Event::Replied { placement, peer, reply } => {
                self.on_reply(placement, &peer, reply, turn);
            }
            Event::ConnectionBroke { placement } => self.on_connection_broke(placement, turn),
            Event::AgentUnreachable { placement, peer } => {
                self.on_agent_unreachable(placement, &peer, turn);
            }
            Event::AgentLost { placement, peer } => self.on_agent_lost(placement, &peer, turn),
            Event::Reported { upstream, task, peer, record } => {
                self.on_report(upstream, task, &peer, record, turn);
            }
            Event::RevokeFailed { upstream, task } => self.on_revoke_failed(upstream, task),
            Event::Cancel => self.stop(Reason::Cancelled, None, turn),
            Event::Fenced => self.stop(Reason::Fenced, None, turn),
            Event::GiveUp(reason) => self.stop(reason, None, turn),
            Event::Tick => self.on_tick(turn),
        }
    }

    fn on_reply(
        &mut self,
        placement: PlacementKey,
        peer: &Arc<str>,
        reply: Reply,
        turn: &mut Turn<'_, '_>,
    ) {
        if !self.is_open(placement) {
            return;
        }
        match reply {
            Reply::Ended(end) => self.on_end(placement.task, peer, end, turn),
            Reply::Broken(reason) => self.on_broken(placement.task, reason, peer, turn),
            Reply::NotStarted { reason, never, retry_after_ms } => {
                self.on_not_started(placement, peer, (reason, never, retry_after_ms), turn);
            }
        }
    }

    fn on_end(
        &mut self,
        task: TaskAttempt,
        peer: &Arc<str>,
        end: TaskEnd,
        turn: &mut Turn<'_, '_>,
    ) {
        match end {
            TaskEnd::Finished(payload) => {
                self.set_state(task, State::Finished);
                self.results[usize::from(task.index)].get_or_insert(payload);
                self.revoke_open(turn, |attempt| attempt.key.index == task.index);
                self.drop_waiting(task.index);
            }
            TaskEnd::Failed { reason, detail } => {
                self.set_state(task, State::Failed);
                self.note_end(task, turn.now_ms);
                self.failure.get_or_insert(Failure {
                    index: task.index,
                    reason,
                    detail,
                    peer: Arc::clone(peer),
                });
                self.try_again(reason, turn);
            }
        }
    }

    fn on_broken(
        &mut self,
        task: TaskAttempt,
        reason: Reason,
        peer: &Arc<str>,
        turn: &mut Turn<'_, '_>,
    ) {
        self.set_state(task, State::Without(Without::EndUnknown));
        self.note_end(task, turn.now_ms);
        self.lost_end(reason, peer, turn);
    }

    /// The attempt stays open, as a reply may still come, but is not waited for.
    fn on_agent_unreachable(
        &mut self,
        placement: PlacementKey,
        peer: &Arc<str>,
        turn: &mut Turn<'_, '_>,
    ) {
        if !self.is_open(placement) {
            return;
        }
        if let Some(attempt) = self.attempt_mut(placement.task) {
            attempt.set_unreachable(true);
        }
        self.lost_end(Reason::AgentUnreachable, peer, turn);
    }

    fn on_agent_lost(&mut self, placement: PlacementKey, peer: &Arc<str>, turn: &mut Turn<'_, '_>) {
        if !self.is_open(placement) {
            return;
        }
        self.set_state(placement.task, State::Without(Without::StartUnknown));
        self.lost_end(Reason::AgentLost, peer, turn);
    }

    /// The end of an attempt cannot be had: only another one can make up for it.
    fn lost_end(&mut self, reason: Reason, peer: &Arc<str>, turn: &mut Turn<'_, '_>) {
        self.lost.get_or_insert_with(|| (reason, Arc::clone(peer)));
        self.try_again(reason, turn);
    }

    /// Gives up where nothing awaited can decide a task any more, rather than
    /// at the deadline.
    fn stop_hopeless(&mut self, turn: &mut Turn<'_, '_>) {
        let (reason, peer) = match &self.lost {
            Some((reason, peer)) => (*reason, Some(Arc::clone(peer))),
            None => (Reason::AgentUnreachable, None),
        };
        self.stop(reason, peer, turn);
    }

    fn on_not_started(
        &mut self,
        placement: PlacementKey,
        peer: &Arc<str>,
        (reason, never, retry_after_ms): (Reason, bool, u32),
        turn: &mut Turn<'_, '_>,
    ) {
        let resent = self.attempt(placement.task).is_some_and(Attempt::is_resent);
        if resent && reason == Reason::WrongIncarnation {
            return self.on_agent_lost(placement, peer, turn);
        }
        if resent && !never {
            // An earlier copy may still be on its way within the agent; only
            // a tombstone there proves that it never starts.
            return self.revoke_open(turn, |attempt| attempt.key == placement.task);
        }
        let until_ms = if never {
            u64::MAX
        } else {
            turn.now_ms + u64::from(retry_after_ms.max(MIN_AVOID_MS))
        };
        self.return_to_queue(placement.task, until_ms, reason, turn);
        if reason == Reason::Fenced {
            self.stop(Reason::Fenced, Some(Arc::clone(peer)), turn);
        }
    }

    /// The attempt is proven not started where it was placed.
    fn return_to_queue(
        &mut self,
        task: TaskAttempt,
        avoid_until_ms: u64,
        cause: Reason,
        turn: &mut Turn<'_, '_>,
    ) {
        let running = self.phase == Phase::Running;
        let finished = self.results[usize::from(task.index)].is_some();
        let Some(attempt) = self.attempt_mut(task) else {
            return;
        };
        let refusals = attempt.refused(avoid_until_ms);
        if !running || finished {
            attempt.state = State::Never;
            return;
        }
        attempt.state = State::Waiting;
        let after_ms = (turn.pacer)(RetryKind::RefusedPlacement { refusals }).unwrap_or(0);
        turn.actions.push(Action::Enqueue { task, cause: Some(cause), after_ms });
    }

    fn on_connection_broke(&mut self, placement: PlacementKey, turn: &mut Turn<'_, '_>) {
        if !self.is_open(placement) {
            return;
        }
        if let Some(attempt) = self.attempt_mut(placement.task) {
            attempt.set_resent();
        }
        self.try_again(Reason::AgentUnreachable, turn);
    }

    fn on_report(
        &mut self,
        upstream: UpstreamKey,
        task: TaskAttempt,
        peer: &Arc<str>,
        record: TaskRecord,
        turn: &mut Turn<'_, '_>,
    ) {
        if !self.attempt(task).is_some_and(|attempt| attempt.is_open_at(upstream)) {
            return;
        }
        match record {
            TaskRecord::NeverStarted => {
                self.return_to_queue(task, u64::MAX, Reason::Revoked, turn);
            }
            // Its placement is still to be replied to.
            TaskRecord::Running => {}
            TaskRecord::Ended(end) => self.on_end(task, peer, end, turn),
            TaskRecord::EndDropped => self.on_broken(task, Reason::ResultDropped, peer, turn),
            TaskRecord::Broken(reason) => self.on_broken(task, reason, peer, turn),
        }
    }

    fn on_revoke_failed(&mut self, upstream: UpstreamKey, task: TaskAttempt) {
        if let Some(attempt) = self.attempt_mut(task)
            && attempt.is_open_at(upstream)
        {
            attempt.set_unreachable(true);
        }
    }

    fn on_tick(&mut self, turn: &mut Turn<'_, '_>) {
        if turn.now_ms >= self.parameters.deadline_at_ms {
            self.stop(Reason::DeadlinePassed, None, turn);
        } else if self.hedge_at_ms(turn.now_ms).is_some_and(|at_ms| turn.now_ms >= at_ms) {
            self.try_again(Reason::Hedged, turn);
            // Refused, it is asked for again after as long a time.
            self.hedge_from_ms = turn.now_ms;
        }
    }

    fn hedge_at_ms(&self, now_ms: u64) -> Option<u64> {
        let after_ms = u64::from(self.parameters.hedge_after_ms?);
        if self.attempts.len() != 1 || self.parameters.max_attempts < 2 {
            return None;
        }
        match self.attempts[0].state {
            State::Open { since_ms, .. } => Some(since_ms.max(self.hedge_from_ms) + after_ms),
            State::Waiting => Some(now_ms + after_ms),
            _ => None,
        }
    }

    /// Adds an attempt to a repeatable request, if it may still help.
    fn try_again(&mut self, cause: Reason, turn: &mut Turn<'_, '_>) {
        let waiting = self.attempts.iter().any(|attempt| attempt.state == State::Waiting);
        let attempts_made = self.attempts.len();
        let may = self.phase == Phase::Running
            && self.parameters.task_count == 1
            && attempts_made < usize::from(self.parameters.max_attempts)
            && !waiting
            && self.results[0].is_none()
            && turn.now_ms < self.parameters.deadline_at_ms;
        let Some(attempts_made) = u8::try_from(attempts_made).ok().filter(|_| may) else {
            return;
        };
        let Some(after_ms) = (turn.pacer)(RetryKind::FurtherAttempt { cause, attempts_made })
        else {
            return;
        };
        let attempt = Attempt::new(0, attempts_made);
        turn.actions.push(Action::Enqueue { task: attempt.key, cause: Some(cause), after_ms });
        self.attempts.push(attempt);
    }

    /// Places nothing more and revokes what may still run.
    fn stop(&mut self, reason: Reason, peer: Option<Arc<str>>, turn: &mut Turn<'_, '_>) {
        if self.phase != Phase::Running {
            return;
        }
        let wait_ms = u64::from(self.parameters.report_wait_ms);
        let decide_by_ms = if reason == Reason::Fenced {
            // What runs may well finish; only placing is over.
            self.parameters.deadline_at_ms.max(turn.now_ms) + wait_ms
        } else {
            turn.now_ms + wait_ms
        };
        self.phase = Phase::Stopping { reason, decide_by_ms };
        self.stopped = Some((reason, peer));
        for attempt in &mut self.attempts {
            if attempt.state == State::Waiting {
                attempt.state = State::Never;
            }
        }
        if reason != Reason::Fenced {
            self.revoke_open(turn, |_| true);
        }
    }

    fn drop_waiting(&mut self, index: u16) {
        let waiting = self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.key.index == index && attempt.state == State::Waiting);
        waiting.for_each(|attempt| attempt.state = State::Never);
    }

    fn revoke_open(&mut self, turn: &mut Turn<'_, '_>, which: impl Fn(&Attempt) -> bool) {
        let mut by_upstream: BTreeMap<UpstreamKey, Vec<TaskAttempt>> = BTreeMap::new();
        for attempt in self.attempts.iter_mut().filter(|attempt| which(attempt)) {
            if let Some(upstream) = attempt.revoke() {
                by_upstream.entry(upstream).or_default().push(attempt.key);
            }
        }
        let revokes =
            by_upstream.into_iter().map(|(upstream, tasks)| Action::Revoke { upstream, tasks });
        turn.actions.extend(revokes);
    }

    fn settle(&mut self, turn: &mut Turn<'_, '_>) {
        let mut tally = self.tally();
        if self.phase == Phase::Running && tally.has_undecidable() {
            self.stop_hopeless(turn);
            tally = self.tally();
        }
        let Some(outcome) = self.verdict(tally, turn.now_ms) else {
            return;
        };
        match mem::replace(&mut self.phase, Phase::Answered(outcome)) {
            Phase::Answered(before) if before == outcome => return,
            _ => {}
        }
        self.drop_all_waiting();
        self.revoke_open(turn, |_| true);
        turn.actions.push(Action::Answer(self.answer(outcome)));
    }

    fn drop_all_waiting(&mut self) {
        for index in 0..self.parameters.task_count {
            self.drop_waiting(index);
        }
    }

    fn is_open(&self, placement: PlacementKey) -> bool {
        self.attempt(placement.task).is_some_and(|attempt| attempt.is_open(placement.serial))
    }

    fn set_state(&mut self, task: TaskAttempt, state: State) {
        if let Some(attempt) = self.attempt_mut(task) {
            attempt.state = state;
        }
    }

    fn note_end(&mut self, task: TaskAttempt, now_ms: u64) {
        if let Some(attempt) = self.attempt_mut(task) {
            attempt.ended_at_ms = now_ms;
        }
    }

    fn attempt(&self, task: TaskAttempt) -> Option<&Attempt> {
        self.attempts.get(position(task)).filter(|attempt| attempt.key == task)
    }

    fn attempt_mut(&mut self, task: TaskAttempt) -> Option<&mut Attempt> {
        self.attempts.get_mut(position(task)).filter(|attempt| attempt.key == task)
    }
}

/// Either the attempt or the index is 0.
fn position(task: TaskAttempt) -> usize {
    usize::from(task.index) + usize::from(task.attempt)
}

struct Turn<'a, 'b> {
    now_ms: u64,
    pacer: &'a mut RetryPacer<'b>,
    actions: &'a mut Vec<Action>,
}

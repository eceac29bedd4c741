//! State machine of one job at its home entry: events in, actions out.
//!
//! A task is placed again only with proof that no earlier placement of it can start. Attempts
//! above 0 exist only for requests of repeatable kinds, which have one task. Late and duplicate
//! events change nothing.

mod attempt;
mod outcome;
mod types;

use {
    crate::view::UpstreamKey,
    attempt::{Attempt, LostEnd, State},
    std::{collections::BTreeMap, mem, sync::Arc},
    sycamorerail_wire::answer::{Outcome, Payload, Reason, TaskEnd, TaskRecord},
};

pub use types::{
    Action, Event, JobParameters, PlacementKey, Reply, RetryKind, RetryPacer, TaskAttempt,
};

/// Minimum time for which a refused attempt avoids the upstream, in milliseconds, so that it is
/// not placed there again at once.
const MIN_AVOID_MS: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// Nothing more is placed; the job waits for reports until the given time.
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

/// One job at its home entry.
#[derive(Debug)]
pub struct Job {
    parameters: JobParameters,
    phase: Phase,
    /// Ordered by task index; further attempts of a request follow.
    attempts: Vec<Attempt>,
    results: Vec<Option<Payload>>,
    failure: Option<Failure>,
    /// Why the end of an attempt was first lost, and the agent concerned.
    lost: Option<(Reason, Arc<str>)>,
    /// When a hedge was last requested.
    hedge_from_ms: u64,
    /// Why placing was stopped, and the peer that caused it, if any.
    stopped: Option<(Reason, Option<Arc<str>>)>,
}

impl Job {
    /// Creates a job whose tasks all wait; enqueue each of [`Job::first_attempts`].
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

    /// The parameters of the job.
    #[must_use]
    pub fn parameters(&self) -> &JobParameters {
        &self.parameters
    }

    /// Whether the job has been answered.
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

    /// Upstreams that the attempt must avoid now: those that refused it, those where another
    /// attempt is open, and those where another attempt has just ended without a result.
    #[must_use]
    pub fn upstreams_to_avoid(&self, task: TaskAttempt, now_ms: u64) -> Vec<UpstreamKey> {
        let Some(attempt) = self.attempt(task) else {
            return Vec::new();
        };
        let others = self
            .attempts
            .iter()
            .filter(|other| other.key.index == task.index && other.key.attempt != task.attempt);
        attempt
            .refusing_upstreams(now_ms)
            .chain(others.filter_map(|other| other.upstream_blocked_for_others(now_ms)))
            .collect()
    }

    /// Opens a placement of a waiting attempt at `upstream`. Returns `None` if the attempt must
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
        Some(attempt.start_placement(upstream, now_ms))
    }

    /// Reopens a placement without a reply, to be sent again to the same incarnation of the
    /// agent after it has reconnected. Returns `false` if it must not be sent again; then
    /// revoke it to learn its state.
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

    /// Handles an event and returns the resulting actions.
    pub fn handle_event(
        &mut self,
        event: Event,
        now_ms: u64,
        pacer: &mut RetryPacer<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut context = EventContext { now_ms, pacer, actions: &mut actions };
        self.dispatch_event(event, &mut context);
        self.answer_if_decided(&mut context);
        actions
    }

    fn dispatch_event(&mut self, event: Event, context: &mut EventContext<'_, '_>) {
        match event {
            Event::Replied { placement, peer, reply } => {
                self.on_reply(placement, &peer, reply, context);
            }
            Event::ConnectionBroke { placement } => self.on_connection_broke(placement, context),
            Event::AgentUnreachable { placement, peer } => {
                self.on_agent_unreachable(placement, &peer, context);
            }
            Event::AgentLost { placement, peer } => self.on_agent_lost(placement, &peer, context),
            Event::Reported { upstream, task, peer, record } => {
                self.on_report(upstream, task, &peer, record, context);
            }
            Event::RevokeFailed { upstream, task } => self.on_revoke_failed(upstream, task),
            Event::Cancel => self.stop(Reason::Cancelled, None, context),
            Event::Fenced => self.stop(Reason::Fenced, None, context),
            Event::GiveUp(reason) => self.stop(reason, None, context),
            Event::Tick => self.on_tick(context),
        }
    }

    fn on_reply(
        &mut self,
        placement: PlacementKey,
        peer: &Arc<str>,
        reply: Reply,
        context: &mut EventContext<'_, '_>,
    ) {
        if !self.is_open(placement) {
            return;
        }
        match reply {
            Reply::Ended(end) => self.on_end(placement.task, peer, end, context),
            Reply::Broken(reason) => self.on_broken(placement.task, reason, peer, context),
            Reply::NotStarted { reason, never, retry_after_ms } => {
                self.on_not_started(placement, peer, (reason, never, retry_after_ms), context);
            }
        }
    }

    fn on_end(
        &mut self,
        task: TaskAttempt,
        peer: &Arc<str>,
        end: TaskEnd,
        context: &mut EventContext<'_, '_>,
    ) {
        match end {
            TaskEnd::Finished(payload) => {
                self.set_state(task, State::Finished);
                self.results[usize::from(task.index)].get_or_insert(payload);
                self.revoke_open(context, |attempt| attempt.key.index == task.index);
                self.drop_waiting(task.index);
            }
            TaskEnd::Failed { reason, detail } => {
                self.set_state(task, State::Failed);
                self.set_ended_at(task, context.now_ms);
                self.failure.get_or_insert(Failure {
                    index: task.index,
                    reason,
                    detail,
                    peer: Arc::clone(peer),
                });
                self.try_again(reason, context);
            }
        }
    }

    fn on_broken(
        &mut self,
        task: TaskAttempt,
        reason: Reason,
        peer: &Arc<str>,
        context: &mut EventContext<'_, '_>,
    ) {
        self.set_state(task, State::EndLost(LostEnd::EndUnknown));
        self.set_ended_at(task, context.now_ms);
        self.on_lost_end(reason, peer, context);
    }

    /// The attempt stays open, because a reply may still come, but the job does not wait for it.
    fn on_agent_unreachable(
        &mut self,
        placement: PlacementKey,
        peer: &Arc<str>,
        context: &mut EventContext<'_, '_>,
    ) {
        if !self.is_open(placement) {
            return;
        }
        if let Some(attempt) = self.attempt_mut(placement.task) {
            attempt.set_unreachable(true);
        }
        self.on_lost_end(Reason::AgentUnreachable, peer, context);
    }

    fn on_agent_lost(
        &mut self,
        placement: PlacementKey,
        peer: &Arc<str>,
        context: &mut EventContext<'_, '_>,
    ) {
        if !self.is_open(placement) {
            return;
        }
        self.set_state(placement.task, State::EndLost(LostEnd::StartUnknown));
        self.on_lost_end(Reason::AgentLost, peer, context);
    }

    /// Handles an attempt whose end cannot be learned: only another attempt can replace it.
    fn on_lost_end(&mut self, reason: Reason, peer: &Arc<str>, context: &mut EventContext<'_, '_>) {
        self.lost.get_or_insert_with(|| (reason, Arc::clone(peer)));
        self.try_again(reason, context);
    }

    /// Stops the job as soon as no awaited event can decide one of its tasks, instead of at the
    /// deadline.
    fn stop_undecidable(&mut self, context: &mut EventContext<'_, '_>) {
        let (reason, peer) = match &self.lost {
            Some((reason, peer)) => (*reason, Some(Arc::clone(peer))),
            None => (Reason::AgentUnreachable, None),
        };
        self.stop(reason, peer, context);
    }

    fn on_not_started(
        &mut self,
        placement: PlacementKey,
        peer: &Arc<str>,
        (reason, never, retry_after_ms): (Reason, bool, u32),
        context: &mut EventContext<'_, '_>,
    ) {
        let resent = self.attempt(placement.task).is_some_and(Attempt::is_resent);
        if resent && reason == Reason::WrongIncarnation {
            return self.on_agent_lost(placement, peer, context);
        }
        if resent && !never {
            // An earlier copy may still be in transit within the agent. Only a tombstone there
            // proves that it never starts.
            return self.revoke_open(context, |attempt| attempt.key == placement.task);
        }
        let until_ms = if never {
            u64::MAX
        } else {
            context.now_ms + u64::from(retry_after_ms.max(MIN_AVOID_MS))
        };
        self.return_to_queue(placement.task, until_ms, reason, context);
        if reason == Reason::Fenced {
            self.stop(Reason::Fenced, Some(Arc::clone(peer)), context);
        }
    }

    /// Returns an attempt to the queue after proof that its placement did not start.
    fn return_to_queue(
        &mut self,
        task: TaskAttempt,
        avoid_until_ms: u64,
        cause: Reason,
        context: &mut EventContext<'_, '_>,
    ) {
        let running = self.phase == Phase::Running;
        let finished = self.results[usize::from(task.index)].is_some();
        let Some(attempt) = self.attempt_mut(task) else {
            return;
        };
        let refusals = attempt.record_refusal(avoid_until_ms);
        if !running || finished {
            attempt.state = State::NeverStarts;
            return;
        }
        attempt.state = State::Waiting;
        let after_ms = (context.pacer)(RetryKind::RefusedPlacement { refusals }).unwrap_or(0);
        context.actions.push(Action::Enqueue { task, cause: Some(cause), after_ms });
    }

    fn on_connection_broke(&mut self, placement: PlacementKey, context: &mut EventContext<'_, '_>) {
        if !self.is_open(placement) {
            return;
        }
        if let Some(attempt) = self.attempt_mut(placement.task) {
            attempt.set_resent();
        }
        self.try_again(Reason::AgentUnreachable, context);
    }

    fn on_report(
        &mut self,
        upstream: UpstreamKey,
        task: TaskAttempt,
        peer: &Arc<str>,
        record: TaskRecord,
        context: &mut EventContext<'_, '_>,
    ) {
        if !self.attempt(task).is_some_and(|attempt| attempt.is_open_at(upstream)) {
            return;
        }
        match record {
            TaskRecord::NeverStarted => {
                self.return_to_queue(task, u64::MAX, Reason::Revoked, context);
            }
            // The placement is still open and will be replied to.
            TaskRecord::Running => {}
            TaskRecord::Ended(end) => self.on_end(task, peer, end, context),
            TaskRecord::EndDropped => self.on_broken(task, Reason::ResultDropped, peer, context),
            TaskRecord::Broken(reason) => self.on_broken(task, reason, peer, context),
        }
    }

    fn on_revoke_failed(&mut self, upstream: UpstreamKey, task: TaskAttempt) {
        if let Some(attempt) = self.attempt_mut(task)
            && attempt.is_open_at(upstream)
        {
            attempt.set_unreachable(true);
        }
    }

    fn on_tick(&mut self, context: &mut EventContext<'_, '_>) {
        if context.now_ms >= self.parameters.deadline_at_ms {
            self.stop(Reason::DeadlinePassed, None, context);
        } else if self.hedge_at_ms(context.now_ms).is_some_and(|at_ms| context.now_ms >= at_ms) {
            self.try_again(Reason::Hedged, context);
            // If the hedge was denied, it is requested again after the same time.
            self.hedge_from_ms = context.now_ms;
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
    fn try_again(&mut self, cause: Reason, context: &mut EventContext<'_, '_>) {
        let waiting = self.attempts.iter().any(|attempt| attempt.state == State::Waiting);
        let attempts_made = self.attempts.len();
        let is_allowed = self.phase == Phase::Running
            && self.parameters.task_count == 1
            && attempts_made < usize::from(self.parameters.max_attempts)
            && !waiting
            && self.results[0].is_none()
            && context.now_ms < self.parameters.deadline_at_ms;
        let Some(attempts_made) = u8::try_from(attempts_made).ok().filter(|_| is_allowed) else {
            return;
        };
        let Some(after_ms) = (context.pacer)(RetryKind::FurtherAttempt { cause, attempts_made })
        else {
            return;
        };
        let attempt = Attempt::new(0, attempts_made);
        context.actions.push(Action::Enqueue { task: attempt.key, cause: Some(cause), after_ms });
        self.attempts.push(attempt);
    }

    /// Stops placing and revokes what may still run.
    fn stop(&mut self, reason: Reason, peer: Option<Arc<str>>, context: &mut EventContext<'_, '_>) {
        if self.phase != Phase::Running {
            return;
        }
        let wait_ms = u64::from(self.parameters.report_wait_ms);
        let decide_by_ms = if reason == Reason::Fenced {
            // Running tasks may still finish; only placing ends.
            self.parameters.deadline_at_ms.max(context.now_ms) + wait_ms
        } else {
            context.now_ms + wait_ms
        };
        self.phase = Phase::Stopping { reason, decide_by_ms };
        self.stopped = Some((reason, peer));
        for attempt in &mut self.attempts {
            if attempt.state == State::Waiting {
                attempt.state = State::NeverStarts;
            }
        }
        if reason != Reason::Fenced {
            self.revoke_open(context, |_| true);
        }
    }

    fn drop_waiting(&mut self, index: u16) {
        let waiting = self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.key.index == index && attempt.state == State::Waiting);
        waiting.for_each(|attempt| attempt.state = State::NeverStarts);
    }

    fn revoke_open(
        &mut self,
        context: &mut EventContext<'_, '_>,
        which: impl Fn(&Attempt) -> bool,
    ) {
        let mut by_upstream: BTreeMap<UpstreamKey, Vec<TaskAttempt>> = BTreeMap::new();
        for attempt in self.attempts.iter_mut().filter(|attempt| which(attempt)) {
            if let Some(upstream) = attempt.revoke() {
                by_upstream.entry(upstream).or_default().push(attempt.key);
            }
        }
        let revokes =
            by_upstream.into_iter().map(|(upstream, tasks)| Action::Revoke { upstream, tasks });
        context.actions.extend(revokes);
    }

    fn answer_if_decided(&mut self, context: &mut EventContext<'_, '_>) {
        let mut counts = self.task_counts();
        if self.phase == Phase::Running && counts.has_undecidable() {
            self.stop_undecidable(context);
            counts = self.task_counts();
        }
        let Some(outcome) = self.decide_outcome(counts, context.now_ms) else {
            return;
        };
        match mem::replace(&mut self.phase, Phase::Answered(outcome)) {
            Phase::Answered(before) if before == outcome => return,
            _ => {}
        }
        self.drop_all_waiting();
        self.revoke_open(context, |_| true);
        context.actions.push(Action::Answer(self.answer(outcome)));
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

    fn set_ended_at(&mut self, task: TaskAttempt, now_ms: u64) {
        if let Some(attempt) = self.attempt_mut(task) {
            attempt.ended_at_ms = now_ms;
        }
    }

    fn attempt(&self, task: TaskAttempt) -> Option<&Attempt> {
        self.attempts.get(attempt_position(task)).filter(|attempt| attempt.key == task)
    }

    fn attempt_mut(&mut self, task: TaskAttempt) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt_position(task)).filter(|attempt| attempt.key == task)
    }
}

/// Index of an attempt in `attempts`. Either the attempt number or the task index is 0.
fn attempt_position(task: TaskAttempt) -> usize {
    usize::from(task.index) + usize::from(task.attempt)
}

struct EventContext<'a, 'b> {
    now_ms: u64,
    pacer: &'a mut RetryPacer<'b>,
    actions: &'a mut Vec<Action>,
}

//! Start gate of an agent: decides whether a placement starts, waits, joins
//! an earlier one or is refused, and keeps what became of each task.
//!
//! # Why a task starts at most once
//!
//! A record is made before [`PlacementDecision::Start`] is returned, and a placement of a
//! task with a record joins that record. A record goes away only
//!
//! - with the proof that the upstream was never given the task
//!   ([`Gate::record_not_started`], or dropped from the queue), or
//! - [`Limits::retention_ms`] after its last change, when the home refuses the
//!   job's id as expired and has forgotten it.
//!
//! No late placement can start after its tombstone has expired: only the home
//! places a task, and after it has revoked the task it never places it at this
//! agent again. Copies of an earlier placement come only over a connection
//! that the agent has closed since, and the agent drops those. Incarnations
//! that were fenced are kept for the life of the process.
//!
//! A refusal without a record is no promise about later placements unless it
//! says `never`. An entry therefore sends a task again only over a new
//! connection, or after it has revoked it.
//!
//! A placement that names another run of the agent is refused without `never`:
//! this run cannot tell what that run started, and may start the task when a
//! placement names it. The reply names the run that answers.
//!
//! # Memory
//!
//! Records cost [`RECORD_COST_BYTES`] each, plus the payloads of queued ones.
//! Placements are refused at seven eighths of [`Limits::record_bytes`]; the
//! last eighth is for tombstones, and a revoke that finds it full leaves its
//! task out of the reports, which proves nothing. Results are dropped oldest
//! first beyond [`Limits::kept_result_bytes`]. Fences cost at most
//! [`MAX_FENCED`] × 18 bytes (8 a key and 1 of control, in a table that is at
//! least half full): 1.2 MB.

mod fences;
mod queue;
mod record;
mod types;

use {
    fences::Fences,
    queue::{Queue, Queued},
    record::{Origin, RunTimes, State, Store},
    sycamorerail_wire::{
        answer::{Reason, TaskEnd, TaskRecord, TaskReport},
        ids::{Incarnation, JobId, TaskId},
        message::{AgentReplyBody, FencedJob, Placement},
    },
};

pub use {
    fences::MAX_FENCED,
    record::RECORD_COST_BYTES,
    types::{
        CallPermit, Counts, FenceOutcome, Limits, PlacementDecision, PlacementRefusal,
        RevokeOutcome, SettledTask, TaskStart, UpstreamState,
    },
};

/// Bytes of results that one reply about several tasks may carry. Results
/// beyond it are reported as [`TaskRecord::EndDropped`]; whoever needs them
/// asks again for fewer jobs.
pub const REPLY_RESULT_BYTES: usize = 6 * 1024 * 1024;

const FIRST_RETRY_AFTER_MS: u32 = 50;
const MAX_RETRY_AFTER_MS: u64 = 5_000;
const RUN_TIME_WEIGHT: u64 = 8;
const TOMBSTONE_SHARE: u64 = 8;

/// The start gate of one run of an agent.
#[derive(Debug)]
pub struct Gate {
    agent: Incarnation,
    limits: Limits,
    upstream: UpstreamState,
    draining: bool,
    evacuated: bool,
    fences: Fences,
    store: Store,
    queue: Queue,
    running: usize,
    mean_run_us: u64,
}

impl Gate {
    /// A gate without records, for this run of the agent.
    #[must_use]
    pub fn new(agent: Incarnation, limits: Limits) -> Self {
        Self {
            agent,
            limits,
            upstream: UpstreamState::Absent,
            draining: false,
            evacuated: false,
            fences: Fences::default(),
            store: Store::default(),
            queue: Queue::default(),
            running: 0,
            mean_run_us: 0,
        }
    }

    /// Decides on a placement.
    pub fn place(&mut self, placement: Placement, now_ms: u64) -> PlacementDecision {
        if placement.agent != self.agent {
            return PlacementDecision::Refused(self.refusal(Reason::WrongIncarnation, false));
        }
        if let Some(record) = self.store.get(&placement.task) {
            return record
                .state
                .reply()
                .map_or(PlacementDecision::Joined, PlacementDecision::Settled);
        }
        if let Some(refusal) = self.refuse(&placement) {
            return PlacementDecision::Refused(refusal);
        }
        let queued = Queued::new(placement, now_ms);
        if self.has_free_slot() && self.queue.is_empty() {
            return PlacementDecision::Start(Box::new(self.start(queued, now_ms)));
        }
        self.enqueue(queued)
    }

    fn refuse(&self, placement: &Placement) -> Option<PlacementRefusal> {
        let home = placement.task.job.incarnation;
        let (reason, never) = match self.upstream {
            _ if self.fences.contains(home) => (Reason::Fenced, true),
            _ if self.draining => (Reason::Draining, true),
            _ if self.fences.is_full() => (Reason::MemoryFull, false),
            _ if placement.end_within_ms == 0 => (Reason::DeadlinePassed, false),
            UpstreamState::Absent => (Reason::NoUpstream, false),
            UpstreamState::Leaving => (Reason::Leaving, false),
            _ if self.evacuated => (Reason::Evacuated, false),
            _ if !self.has_memory_for(placement) => (Reason::MemoryFull, false),
            _ if !self.has_place_for(placement) => (Reason::AgentFull, false),
            UpstreamState::Serving { .. } => return None,
        };
        Some(self.refusal(reason, never))
    }

    fn refusal(&self, reason: Reason, never: bool) -> PlacementRefusal {
        PlacementRefusal { reason, never, retry_after_ms: self.retry_after_ms() }
    }

    fn has_memory_for(&self, placement: &Placement) -> bool {
        let for_tombstones = self.limits.record_bytes / TOMBSTONE_SHARE;
        let wanted = RECORD_COST_BYTES + placement.payload.0.len() as u64;
        self.record_bytes() + wanted <= self.limits.record_bytes - for_tombstones
    }

    fn has_place_for(&self, placement: &Placement) -> bool {
        let starts_now = self.has_free_slot() && self.queue.is_empty();
        let may_wait = placement.start_within_ms > 0 && self.queue.len() < self.limits.max_queued;
        starts_now || may_wait
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.slots()
    }

    fn slots(&self) -> usize {
        match self.upstream {
            UpstreamState::Serving { slots } => slots.into(),
            UpstreamState::Absent | UpstreamState::Leaving => 0,
        }
    }

    fn retry_after_ms(&self) -> u32 {
        if self.mean_run_us == 0 || self.slots() == 0 {
            return FIRST_RETRY_AFTER_MS;
        }
        let waiting = self.queue.len() as u64 + 1;
        let expected_ms = self.mean_run_us * waiting / self.slots() as u64 / 1000;
        u32::try_from(expected_ms.clamp(1, MAX_RETRY_AFTER_MS)).unwrap_or(FIRST_RETRY_AFTER_MS)
    }

    fn start(&mut self, queued: Queued, now_ms: u64) -> TaskStart {
        let start = queued.into_start(now_ms);
        let state = State::Running { called: false, queued_ms: start.queued_ms };
        self.store.insert(start.placement.task, Some(Origin::of(&start.placement)), state);
        self.running += 1;
        start
    }

    fn enqueue(&mut self, queued: Queued) -> PlacementDecision {
        let start_by_ms = queued.start_by_ms;
        let task = queued.placement.task;
        let origin = Origin::of(&queued.placement);
        let place = self.queue.push(queued);
        self.store.insert(task, Some(origin), State::Queued(place));
        PlacementDecision::Queued { start_by_ms }
    }

    /// The next queued task to start, if a slot is free: the lowest urgency
    /// number first, then the earliest. Queued ones whose start window passed
    /// are dropped and added to `settled`.
    pub fn take_next(&mut self, now_ms: u64, settled: &mut Vec<SettledTask>) -> Option<TaskStart> {
        while self.has_free_slot() {
            let queued = self.queue.pop()?;
            match queued.lapsed(now_ms) {
                Some(reason) => settled.push(self.drop_queued(&queued, reason, false)),
                None => return Some(self.start(queued, now_ms)),
            }
        }
        None
    }

    /// Drops queued tasks whose start window passed, and forgets records whose
    /// retention passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<SettledTask> {
        self.store.expire(now_ms, self.limits.retention_ms);
        let lapsed = self.queue.remove_where(|queued| queued.lapsed(now_ms).is_some());
        let reason = |queued: &Queued| queued.lapsed(now_ms).unwrap_or(Reason::StartWindowPassed);
        lapsed.iter().map(|queued| self.drop_queued(queued, reason(queued), false)).collect()
    }

    /// Removes the record of a task that has left the queue without a start.
    fn drop_queued(&mut self, queued: &Queued, reason: Reason, never: bool) -> SettledTask {
        let task = queued.placement.task;
        self.store.remove(&task);
        SettledTask { task, reply: self.refusal(reason, never).reply() }
    }

    fn drop_all_queued(&mut self, reason: Reason, never: bool) -> Vec<SettledTask> {
        let all = self.queue.remove_where(|_| true);
        all.iter().map(|queued| self.drop_queued(queued, reason, never)).collect()
    }

    /// Records that the upstream is called for the task from now on.
    pub fn permit_call(&mut self, task: TaskId) -> CallPermit {
        let Some(State::Running { called, .. }) = self.store.state_mut(&task) else {
            return CallPermit::Revoked;
        };
        if std::mem::replace(called, true) {
            CallPermit::AlreadyCalled
        } else {
            CallPermit::Granted
        }
    }

    /// Records the end of a running task. `None` when it was decided before,
    /// as by a revoke.
    pub fn record_end(
        &mut self,
        task: TaskId,
        end: TaskEnd,
        run_us: u64,
        now_ms: u64,
    ) -> Option<SettledTask> {
        let queued_ms = self.running_since_queue(task)?;
        self.note_run_time(run_us);
        let times = RunTimes { run_us, queued_us: queued_ms * 1000 };
        Some(self.finish(task, State::Ended { end, times }, now_ms))
    }

    /// Records that the end of a running task cannot be known.
    pub fn record_broken(
        &mut self,
        task: TaskId,
        reason: Reason,
        now_ms: u64,
    ) -> Option<SettledTask> {
        self.running_since_queue(task)?;
        Some(self.finish(task, State::Broken(reason), now_ms))
    }

    /// Records the proof that the upstream was not given a running task. Its
    /// record goes away: the home may place it again, here or elsewhere.
    pub fn record_not_started(&mut self, task: TaskId, reason: Reason) -> Option<SettledTask> {
        self.running_since_queue(task)?;
        self.running -= 1;
        self.store.remove(&task);
        Some(SettledTask { task, reply: self.refusal(reason, false).reply() })
    }

    fn running_since_queue(&self, task: TaskId) -> Option<u64> {
        match self.store.get(&task)?.state {
            State::Running { queued_ms, .. } => Some(queued_ms),
            _ => None,
        }
    }

    fn finish(&mut self, task: TaskId, state: State, now_ms: u64) -> SettledTask {
        self.running -= 1;
        let reply = state.reply().unwrap_or(AgentReplyBody::Broken(Reason::ResultDropped));
        self.store.settle(task, state, now_ms);
        self.store.drop_results_beyond(self.limits.kept_result_bytes);
        SettledTask { task, reply }
    }

    fn note_run_time(&mut self, run_us: u64) {
        self.mean_run_us = match self.mean_run_us {
            0 => run_us,
            mean => (mean * (RUN_TIME_WEIGHT - 1) + run_us) / RUN_TIME_WEIGHT,
        };
    }

    /// Revokes tasks: one not started never starts here, a running one is
    /// ended as cancelled, an ended one is told.
    ///
    /// A task missing from the reports could not be given a tombstone, because
    /// the memory for records is full; nothing is proved of it.
    pub fn revoke(&mut self, tasks: &[TaskId], now_ms: u64) -> RevokeOutcome {
        let mut revoked = RevokeOutcome::default();
        // Those held first: what they free is there for tombstones of others.
        let (held, new): (Vec<TaskId>, Vec<TaskId>) =
            tasks.iter().partition(|task| self.store.get(task).is_some());
        for task in held.into_iter().chain(new) {
            self.revoke_one(task, now_ms, &mut revoked);
        }
        let known = tasks.iter().filter_map(|task| self.report(*task));
        revoked.reports = within_reply(known);
        revoked
    }

    fn revoke_one(&mut self, task: TaskId, now_ms: u64, revoked: &mut RevokeOutcome) {
        match self.store.get(&task).map(|record| &record.state) {
            Some(&State::Queued(place)) => {
                self.queue.remove(place);
                self.store.settle(task, State::Tombstone, now_ms);
            }
            Some(State::Running { called: false, .. }) => {
                self.running -= 1;
                self.store.settle(task, State::Tombstone, now_ms);
            }
            Some(&State::Running { called: true, queued_ms }) => {
                let settled = self.finish(task, State::cancelled(queued_ms), now_ms);
                revoked.aborted.push(task);
                revoked.settled.push(settled);
                return;
            }
            Some(_) => return,
            None if self.record_bytes() + RECORD_COST_BYTES > self.limits.record_bytes => return,
            None => return self.store.insert_settled(task, State::Tombstone, now_ms),
        }
        revoked
            .settled
            .push(SettledTask { task, reply: self.refusal(Reason::Revoked, true).reply() });
    }

    /// Refuses all placements of a run of an entry from now on, drops those
    /// still queued, and tells what is held of the jobs asked for.
    pub fn fence(&mut self, home: Incarnation, jobs: &[JobId]) -> FenceOutcome {
        self.fences.insert(home);
        let dropped = self.queue.remove_where(|queued| queued.home() == home);
        let settled =
            dropped.iter().map(|queued| self.drop_queued(queued, Reason::Fenced, true)).collect();
        FenceOutcome { jobs: self.held(jobs), settled }
    }

    fn held(&self, jobs: &[JobId]) -> Vec<FencedJob> {
        let mut result_bytes = 0;
        jobs.iter().filter_map(|&job| self.held_job(job, &mut result_bytes)).collect()
    }

    /// A job with tombstones only was never placed here: it is not told.
    fn held_job(&self, job: JobId, result_bytes: &mut usize) -> Option<FencedJob> {
        let origin = self.store.of_job(job).find_map(|(_, record)| record.origin)?;
        let reports = self.store.of_job(job).map(|(&task, record)| {
            let record = record.state.known();
            TaskReport { task, record: within(record, result_bytes) }
        });
        let Origin { task_count, content } = origin;
        Some(FencedJob { job, task_count, content, tasks: reports.collect() })
    }

    fn report(&self, task: TaskId) -> Option<TaskReport> {
        let record = self.store.get(&task)?.state.known();
        Some(TaskReport { task, record })
    }

    /// Takes the upstream's new state. Queued tasks are dropped when it stops
    /// taking work; running ones go on.
    pub fn set_upstream(&mut self, upstream: UpstreamState) -> Vec<SettledTask> {
        self.upstream = upstream;
        match upstream {
            UpstreamState::Serving { .. } => Vec::new(),
            UpstreamState::Leaving => self.drop_all_queued(Reason::Leaving, false),
            UpstreamState::Absent => self.drop_all_queued(Reason::NoUpstream, false),
        }
    }

    /// Takes note of whether the upstream's data centre is evacuated. Queued tasks
    /// are dropped then; running ones go on.
    pub fn set_evacuated(&mut self, evacuated: bool) -> Vec<SettledTask> {
        self.evacuated = evacuated;
        if evacuated { self.drop_all_queued(Reason::Evacuated, false) } else { Vec::new() }
    }

    /// Takes nothing new from now on, and drops what is queued.
    pub fn drain(&mut self) -> Vec<SettledTask> {
        self.draining = true;
        self.drop_all_queued(Reason::Draining, true)
    }

    /// Whether placements of this run of an entry are refused for good.
    #[must_use]
    pub fn is_fenced(&self, home: Incarnation) -> bool {
        self.fences.contains(home)
    }

    /// The upstream's state.
    #[must_use]
    pub fn upstream(&self) -> UpstreamState {
        self.upstream
    }

    /// Counts for load reports and gauges.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            running: self.running,
            queued: self.queue.len(),
            records: self.store.len(),
            record_bytes: self.record_bytes(),
            kept_result_bytes: self.store.kept_result_bytes(),
            fenced: self.fences.len(),
        }
    }

    fn record_bytes(&self) -> u64 {
        self.store.len() as u64 * RECORD_COST_BYTES + self.queue.payload_bytes()
    }
}

fn within_reply(reports: impl Iterator<Item = TaskReport>) -> Vec<TaskReport> {
    let mut result_bytes = 0;
    let cut = |report: TaskReport| TaskReport {
        task: report.task,
        record: within(report.record, &mut result_bytes),
    };
    reports.map(cut).collect()
}

fn within(record: TaskRecord, result_bytes: &mut usize) -> TaskRecord {
    let TaskRecord::Ended(TaskEnd::Finished(result)) = &record else {
        return record;
    };
    let wanted = *result_bytes + result.0.len();
    if wanted > REPLY_RESULT_BYTES {
        return TaskRecord::EndDropped;
    }
    *result_bytes = wanted;
    record
}

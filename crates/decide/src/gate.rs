//! Start gate of an agent: decides whether a placement starts, is queued, joins
//! an earlier placement or is refused, and records the state of each task.
//!
//! # Why a task starts at most once
//!
//! The gate creates a record before [`PlacementDecision::Start`] is returned, and a placement of a
//! task that has a record joins that record. A record is removed only
//!
//! - when it is proven that the upstream never received the task
//!   ([`Gate::record_not_started`], or dropped from the queue), or
//! - [`Limits::retention_ms`] after its last change. By then the home rejects
//!   the job's id as expired and has forgotten the job.
//!
//! A delayed placement cannot start after its tombstone has expired: only the
//! home places a task, and it never places a revoked task at the same agent
//! again. Copies of an earlier placement arrive only over a connection that the
//! agent has closed since, and the agent drops those. Fenced incarnations are
//! kept until the process ends.
//!
//! A refusal creates no record, so it promises nothing about later placements
//! unless it says `never`. An entry therefore sends a task again only over a
//! new connection, or after it has revoked the task.
//!
//! A placement addressed to another run of the agent is refused without
//! `never`: this run does not know what the other run started, and may still
//! start the task when a placement is addressed to it. The reply names the run
//! that answers.
//!
//! # Memory
//!
//! Each record costs [`RECORD_COST_BYTES`], plus the payload while it is queued.
//! Placements are refused once seven eighths of [`Limits::record_bytes`] are
//! used; the last eighth is reserved for tombstones. A revoke that finds no
//! memory for a tombstone leaves its task out of the reports, which proves
//! nothing about the task. Results beyond [`Limits::kept_result_bytes`] are
//! dropped, the oldest first. Fences cost at most [`MAX_FENCED`] × 18 bytes
//! (8 bytes of key and 1 of control per slot, in a table that is at least half
//! full): 1.2 MB.

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

/// Maximum bytes of results in one reply about several tasks. Further results
/// are reported as [`TaskRecord::EndDropped`]; a caller that needs them asks
/// again for fewer jobs.
pub const REPLY_RESULT_BYTES: usize = 6 * 1024 * 1024;

/// Retry delay while no run time is known, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u32 = 50;
/// Longest retry delay, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 5_000;
/// The mean run time is an exponential average in which a new sample has weight 1/8.
const RUN_TIME_SAMPLES: u64 = 8;
/// One part in this many of the record memory is reserved for tombstones.
const TOMBSTONE_DIVISOR: u64 = 8;

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
    /// Creates a gate without records for this run of the agent.
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

    /// Decides whether a placement starts now, waits, joins an earlier placement
    /// or is refused.
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
            _ if !self.has_slot_or_queue_room(placement) => (Reason::AgentFull, false),
            UpstreamState::Serving { .. } => return None,
        };
        Some(self.refusal(reason, never))
    }

    fn refusal(&self, reason: Reason, never: bool) -> PlacementRefusal {
        PlacementRefusal { reason, never, retry_after_ms: self.retry_after_ms() }
    }

    fn has_memory_for(&self, placement: &Placement) -> bool {
        let tombstone_bytes = self.limits.record_bytes / TOMBSTONE_DIVISOR;
        let needed = RECORD_COST_BYTES + placement.payload.0.len() as u64;
        self.record_bytes() + needed <= self.limits.record_bytes - tombstone_bytes
    }

    fn has_slot_or_queue_room(&self, placement: &Placement) -> bool {
        let can_start = self.has_free_slot() && self.queue.is_empty();
        let can_queue = placement.start_within_ms > 0 && self.queue.len() < self.limits.max_queued;
        can_start || can_queue
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
            return DEFAULT_RETRY_AFTER_MS;
        }
        let waiting = self.queue.len() as u64 + 1;
        let expected_ms = self.mean_run_us * waiting / self.slots() as u64 / 1000;
        u32::try_from(expected_ms.clamp(1, MAX_RETRY_AFTER_MS)).unwrap_or(DEFAULT_RETRY_AFTER_MS)
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
        let key = self.queue.push(queued);
        self.store.insert(task, Some(origin), State::Queued(key));
        PlacementDecision::Queued { start_by_ms }
    }

    /// Takes the next queued task to start, if a slot is free: the lowest urgency
    /// number first, then the one queued first. Tasks whose start window has
    /// passed are dropped and added to `settled`.
    pub fn take_next(&mut self, now_ms: u64, settled: &mut Vec<SettledTask>) -> Option<TaskStart> {
        while self.has_free_slot() {
            let queued = self.queue.pop()?;
            match queued.expiry_reason(now_ms) {
                Some(reason) => settled.push(self.drop_queued(&queued, reason, false)),
                None => return Some(self.start(queued, now_ms)),
            }
        }
        None
    }

    /// Drops queued tasks whose start window has passed, and removes records
    /// whose retention time has passed. Returns the dropped tasks.
    pub fn expire(&mut self, now_ms: u64) -> Vec<SettledTask> {
        self.store.expire(now_ms, self.limits.retention_ms);
        let expired = self.queue.remove_where(|queued| queued.expiry_reason(now_ms).is_some());
        let reason =
            |queued: &Queued| queued.expiry_reason(now_ms).unwrap_or(Reason::StartWindowPassed);
        expired.iter().map(|queued| self.drop_queued(queued, reason(queued), false)).collect()
    }

    /// Removes the record of a task that left the queue without being started.
    fn drop_queued(&mut self, queued: &Queued, reason: Reason, never: bool) -> SettledTask {
        let task = queued.placement.task;
        self.store.remove(&task);
        SettledTask { task, reply: self.refusal(reason, never).reply() }
    }

    fn drop_all_queued(&mut self, reason: Reason, never: bool) -> Vec<SettledTask> {
        let all = self.queue.remove_where(|_| true);
        all.iter().map(|queued| self.drop_queued(queued, reason, never)).collect()
    }

    /// Permits one upstream call for the task and records that it begins.
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

    /// Records the end of a running task. Returns `None` if the task is no longer
    /// running, for example because it was revoked.
    pub fn record_end(
        &mut self,
        task: TaskId,
        end: TaskEnd,
        run_us: u64,
        now_ms: u64,
    ) -> Option<SettledTask> {
        let queued_ms = self.queued_ms_if_running(task)?;
        self.update_mean_run_time(run_us);
        let times = RunTimes { run_us, queued_us: queued_ms * 1000 };
        Some(self.finish(task, State::Ended { end, times }, now_ms))
    }

    /// Records that it cannot be known how a running task ended.
    pub fn record_broken(
        &mut self,
        task: TaskId,
        reason: Reason,
        now_ms: u64,
    ) -> Option<SettledTask> {
        self.queued_ms_if_running(task)?;
        Some(self.finish(task, State::Broken(reason), now_ms))
    }

    /// Records that the upstream provably did not receive a running task. The
    /// record is removed, so that the home may place the task again, here or
    /// elsewhere.
    pub fn record_not_started(&mut self, task: TaskId, reason: Reason) -> Option<SettledTask> {
        self.queued_ms_if_running(task)?;
        self.running -= 1;
        self.store.remove(&task);
        Some(SettledTask { task, reply: self.refusal(reason, false).reply() })
    }

    fn queued_ms_if_running(&self, task: TaskId) -> Option<u64> {
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

    fn update_mean_run_time(&mut self, run_us: u64) {
        self.mean_run_us = match self.mean_run_us {
            0 => run_us,
            mean => (mean * (RUN_TIME_SAMPLES - 1) + run_us) / RUN_TIME_SAMPLES,
        };
    }

    /// Revokes tasks: a task that has not started never starts here, a running
    /// one ends as cancelled, and the end of a finished one is reported.
    ///
    /// A task is missing from the reports if the memory for records had no room
    /// for its tombstone; its absence proves nothing.
    pub fn revoke(&mut self, tasks: &[TaskId], now_ms: u64) -> RevokeOutcome {
        let mut revoked = RevokeOutcome::default();
        // Tasks with a record first: the memory they free can hold tombstones of the others.
        let (held, new): (Vec<TaskId>, Vec<TaskId>) =
            tasks.iter().partition(|task| self.store.get(task).is_some());
        for task in held.into_iter().chain(new) {
            self.revoke_one(task, now_ms, &mut revoked);
        }
        let reports = tasks.iter().filter_map(|task| self.report(*task));
        revoked.reports = limit_results(reports);
        revoked
    }

    fn revoke_one(&mut self, task: TaskId, now_ms: u64, revoked: &mut RevokeOutcome) {
        match self.store.get(&task).map(|record| &record.state) {
            Some(&State::Queued(key)) => {
                self.queue.remove(key);
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

    /// Refuses all placements from a run of an entry from now on, drops its
    /// queued tasks, and reports the records of the given jobs.
    pub fn fence(&mut self, home: Incarnation, jobs: &[JobId]) -> FenceOutcome {
        self.fences.insert(home);
        let dropped = self.queue.remove_where(|queued| queued.home() == home);
        let settled =
            dropped.iter().map(|queued| self.drop_queued(queued, Reason::Fenced, true)).collect();
        FenceOutcome { jobs: self.fenced_jobs(jobs), settled }
    }

    /// Reports the records of the given jobs; they share one limit of result bytes.
    fn fenced_jobs(&self, jobs: &[JobId]) -> Vec<FencedJob> {
        let mut result_bytes = 0;
        jobs.iter().filter_map(|&job| self.fenced_job(job, &mut result_bytes)).collect()
    }

    /// Reports the records of a job. `None` if the job was never placed here,
    /// even if tombstones exist for it.
    fn fenced_job(&self, job: JobId, result_bytes: &mut usize) -> Option<FencedJob> {
        let origin = self.store.of_job(job).find_map(|(_, record)| record.origin)?;
        let reports = self.store.of_job(job).map(|(&task, record)| {
            let record = record.state.to_record();
            TaskReport { task, record: limit_result(record, result_bytes) }
        });
        let Origin { task_count, content } = origin;
        Some(FencedJob { job, task_count, content, tasks: reports.collect() })
    }

    fn report(&self, task: TaskId) -> Option<TaskReport> {
        let record = self.store.get(&task)?.state.to_record();
        Some(TaskReport { task, record })
    }

    /// Sets the upstream's state. When the upstream stops accepting work, queued
    /// tasks are dropped and returned; running ones continue.
    pub fn set_upstream(&mut self, upstream: UpstreamState) -> Vec<SettledTask> {
        self.upstream = upstream;
        match upstream {
            UpstreamState::Serving { .. } => Vec::new(),
            UpstreamState::Leaving => self.drop_all_queued(Reason::Leaving, false),
            UpstreamState::Absent => self.drop_all_queued(Reason::NoUpstream, false),
        }
    }

    /// Sets whether the upstream's data centre is evacuated. If it is, queued
    /// tasks are dropped and returned; running ones continue.
    pub fn set_evacuated(&mut self, evacuated: bool) -> Vec<SettledTask> {
        self.evacuated = evacuated;
        if evacuated { self.drop_all_queued(Reason::Evacuated, false) } else { Vec::new() }
    }

    /// Refuses new placements from now on, and drops and returns queued tasks.
    pub fn drain(&mut self) -> Vec<SettledTask> {
        self.draining = true;
        self.drop_all_queued(Reason::Draining, true)
    }

    /// Returns whether this run of an entry is fenced: all its placements are
    /// refused.
    #[must_use]
    pub fn is_fenced(&self, home: Incarnation) -> bool {
        self.fences.contains(home)
    }

    /// Returns the upstream's state, as last set.
    #[must_use]
    pub fn upstream(&self) -> UpstreamState {
        self.upstream
    }

    /// Returns the counts for load reports and gauges.
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

/// Replaces results that exceed the limit of one reply.
fn limit_results(reports: impl Iterator<Item = TaskReport>) -> Vec<TaskReport> {
    let mut result_bytes = 0;
    let limited = |report: TaskReport| TaskReport {
        task: report.task,
        record: limit_result(report.record, &mut result_bytes),
    };
    reports.map(limited).collect()
}

/// Adds the record's result to `result_bytes`, or replaces the record by
/// [`TaskRecord::EndDropped`] if the reply has no room for it.
fn limit_result(record: TaskRecord, result_bytes: &mut usize) -> TaskRecord {
    let TaskRecord::Ended(TaskEnd::Finished(result)) = &record else {
        return record;
    };
    let needed = *result_bytes + result.0.len();
    if needed > REPLY_RESULT_BYTES {
        return TaskRecord::EndDropped;
    }
    *result_bytes = needed;
    record
}

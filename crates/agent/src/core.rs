//! State that all threads of an agent share, and the operations on it.

use {
    crate::{announced_upstream::AnnouncedUpstream, counters, evacuation, tasks::Tasks},
    arc_swap::ArcSwapOption,
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    std::time::Duration,
    sycamorerail_clock::Clock,
    sycamorerail_decide::gate::{
        CallPermit, Counts, Gate, Limits, PlacementDecision, TaskStart, UpstreamState,
    },
    sycamorerail_settings::agent::AgentSettings,
    sycamorerail_telemetry::{
        event,
        invariant::{self, Invariant},
    },
    sycamorerail_wire::{
        answer::{Reason, TaskEnd},
        ids::{Incarnation, JobId, TaskId},
        message::{
            AgentHello, AgentIdentity, AgentReply, AgentReplyBody, ConfigMark, EntryWelcome, Load,
            Placement,
        },
        runs::Evacuations,
    },
    tokio::{
        sync::{oneshot, watch},
        task::AbortHandle,
    },
};

/// A start this long after the upstream began to leave violates invariant I6.
const MAX_START_AFTER_LEAVING_MS: u64 = 2_000;

/// A reply that is ready, or that a task in flight will send.
pub(crate) enum PendingReply {
    Ready(AgentReplyBody),
    InFlight(oneshot::Receiver<AgentReplyBody>),
    /// Like [`Self::InFlight`], for a task that is dropped unless it starts in time.
    Queued {
        reply: oneshot::Receiver<AgentReplyBody>,
        start_within: Duration,
    },
}

/// Spawns the upstream call of a task that the gate has started.
pub(crate) type SpawnCall = Box<dyn Fn(Arc<Core>, TaskStart) -> AbortHandle + Send + Sync>;

pub(crate) struct Core {
    pub(crate) settings: AgentSettings,
    pub(crate) identity: AgentIdentity,
    pub(crate) clock: Clock,
    pub(crate) upstream: ArcSwapOption<AnnouncedUpstream>,
    /// Counts the changes that entries must learn through another hello.
    pub(crate) changes: watch::Sender<u64>,
    /// Evacuations in force, which the agent passes on to entries.
    pub(crate) evacuations: watch::Sender<Evacuations>,
    /// Number of streams whose request was read and whose reply is not delivered.
    pub(crate) replies_due: AtomicUsize,
    /// When the agent last asked an entry for the list of entries.
    members_requested_at_ms: AtomicU64,
    /// When the last placement arrived or the last reply was lost.
    last_activity_ms: AtomicU64,
    spawn_call: SpawnCall,
    tasks: Mutex<Tasks>,
    config_mark: AtomicU64,
    load_sequence: AtomicU64,
    leaving_since_ms: AtomicU64,
    draining: AtomicBool,
}

impl Core {
    pub(crate) fn new(
        settings: AgentSettings,
        identity: AgentIdentity,
        spawn_call: SpawnCall,
    ) -> Self {
        let limits = Limits {
            retention_ms: settings.retention_ms.into(),
            kept_result_bytes: settings.kept_result_bytes,
            record_bytes: settings.record_bytes,
            max_queued: settings.max_queued.into(),
        };
        let gate = Gate::new(identity.incarnation, limits);
        Self {
            settings,
            identity,
            clock: Clock::start(),
            upstream: ArcSwapOption::empty(),
            changes: watch::Sender::new(0),
            evacuations: watch::Sender::default(),
            replies_due: AtomicUsize::new(0),
            members_requested_at_ms: AtomicU64::new(0),
            last_activity_ms: AtomicU64::new(0),
            spawn_call,
            tasks: Mutex::new(Tasks::new(gate)),
            config_mark: AtomicU64::new(0),
            load_sequence: AtomicU64::new(0),
            leaving_since_ms: AtomicU64::new(u64::MAX),
            draining: AtomicBool::new(false),
        }
    }

    /// Updates the tasks, then starts queued tasks while slots are free.
    fn update_tasks<T>(self: &Arc<Self>, update: impl FnOnce(&mut Tasks, u64) -> T) -> T {
        let mut tasks = self.tasks.lock();
        let now_ms = self.clock.now_ms();
        let done = update(&mut tasks, now_ms);
        let mut settled = Vec::new();
        while let Some(start) = tasks.gate.take_next(now_ms, &mut settled) {
            self.call_upstream(&mut tasks, start);
        }
        tasks.settle_all(settled);
        done
    }

    fn call_upstream(self: &Arc<Self>, tasks: &mut Tasks, start: TaskStart) {
        let task = start.placement.task;
        let call = (self.spawn_call)(Arc::clone(self), start);
        tasks.set_call(task, call);
    }

    /// Handles a placement received over a session.
    ///
    /// Returns `None` if the session is no longer current: the entry may have placed the task
    /// again over a later session, and this copy must not be handled after that one.
    pub(crate) fn place(
        self: &Arc<Self>,
        is_current: impl Fn() -> bool,
        placement: Placement,
    ) -> Option<PendingReply> {
        self.raise_config_mark(placement.config_mark);
        self.note_activity();
        let task = placement.task;
        self.update_tasks(|tasks, now_ms| {
            if !is_current() {
                return None;
            }
            let outcome = tasks.gate.place(placement, now_ms);
            counters::placement(&outcome);
            Some(match outcome {
                PlacementDecision::Start(start) => {
                    self.call_upstream(tasks, *start);
                    PendingReply::InFlight(tasks.wait_for(task))
                }
                PlacementDecision::Queued { start_by_ms } => PendingReply::Queued {
                    reply: tasks.wait_for(task),
                    start_within: Duration::from_millis(start_by_ms.saturating_sub(now_ms)),
                },
                PlacementDecision::Joined => PendingReply::InFlight(tasks.wait_for(task)),
                PlacementDecision::Settled(reply) => PendingReply::Ready(reply),
                PlacementDecision::Refused(refusal) => PendingReply::Ready(refusal.reply()),
            })
        })
    }

    /// Drops queued tasks whose start window has passed and records past their retention.
    pub(crate) fn expire(self: &Arc<Self>) {
        self.update_tasks(|tasks, now_ms| {
            let settled = tasks.gate.expire(now_ms);
            tasks.settle_all(settled);
        });
    }

    pub(crate) fn revoke(self: &Arc<Self>, revoked: &[TaskId]) -> AgentReplyBody {
        self.update_tasks(|tasks, now_ms| {
            let revoked = tasks.gate.revoke(revoked, now_ms);
            revoked.aborted.iter().for_each(|task| tasks.abort_call(task));
            tasks.settle_all(revoked.settled);
            AgentReplyBody::Revoked(revoked.reports)
        })
    }

    pub(crate) fn fence(self: &Arc<Self>, home: Incarnation, jobs: &[JobId]) -> AgentReplyBody {
        self.update_tasks(|tasks, _| {
            let fenced = tasks.gate.fence(home, jobs);
            tasks.settle_all(fenced.settled);
            AgentReplyBody::Fenced(fenced.jobs)
        })
    }

    /// Marks the upstream call of a task as begun. Returns whether the agent may make the call:
    /// it must be the first one for the task, and the upstream must not be leaving.
    pub(crate) fn begin_upstream_call(self: &Arc<Self>, task: TaskId) -> bool {
        let (go, now_ms) =
            self.update_tasks(|tasks, now_ms| (tasks.gate.permit_call(task), now_ms));
        let leaving_for_ms = now_ms.saturating_sub(self.leaving_since_ms.load(Ordering::Acquire));
        go != CallPermit::Revoked
            && invariant::check(Invariant::StartsOnce, go == CallPermit::Granted, &task)
            && invariant::check(
                Invariant::NoWorkWhenLeaving,
                leaving_for_ms < MAX_START_AFTER_LEAVING_MS,
                &task,
            )
    }

    pub(crate) fn record_ended(self: &Arc<Self>, task: TaskId, end: TaskEnd, run_us: u64) {
        self.update_tasks(|tasks, now_ms| {
            let settled = tasks.gate.record_end(task, end, run_us, now_ms);
            tasks.settle_all(settled.into_iter().collect());
        });
    }

    pub(crate) fn record_broken(self: &Arc<Self>, task: TaskId, reason: Reason) {
        self.update_tasks(|tasks, now_ms| {
            let settled = tasks.gate.record_broken(task, reason, now_ms);
            tasks.settle_all(settled.into_iter().collect());
        });
    }

    pub(crate) fn record_not_started(self: &Arc<Self>, task: TaskId, reason: Reason) {
        self.update_tasks(|tasks, _| {
            let settled = tasks.gate.record_not_started(task, reason);
            tasks.settle_all(settled.into_iter().collect());
        });
    }

    pub(crate) fn set_upstream_state(self: &Arc<Self>, state: UpstreamState) {
        let now_ms = self.clock.now_ms();
        let leaving_since_ms = if state == UpstreamState::Leaving { now_ms } else { u64::MAX };
        self.leaving_since_ms.store(leaving_since_ms, Ordering::Release);
        self.update_tasks(|tasks, _| {
            let settled = tasks.gate.set_upstream(state);
            tasks.settle_all(settled);
        });
        self.notify_entries();
    }

    /// Applies evacuations received from an entry unless the known ones are newer.
    pub(crate) fn apply_evacuations(self: &Arc<Self>, received: &Evacuations) {
        if !self.evacuations.send_if_modified(|held| held.merge_newer(received)) {
            return;
        }
        let own_evacuated = self.update_tasks(|tasks, _| {
            // Reads the merged list: of two concurrent updates the newer one counts.
            let evacuated = self.evacuations.borrow().contains(&self.identity.data_centre);
            let settled = tasks.gate.set_evacuated(evacuated);
            tasks.settle_all(settled);
            evacuated
        });
        evacuation::log_in_force(received, own_evacuated);
    }

    /// Makes every session send another hello at once.
    pub(crate) fn notify_entries(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Stops accepting tasks and drops the queued ones.
    pub(crate) fn drain(self: &Arc<Self>) {
        self.draining.store(true, Ordering::Release);
        self.update_tasks(|tasks, _| {
            let settled = tasks.gate.drain();
            tasks.settle_all(settled);
        });
        self.notify_entries();
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn counts(&self) -> Counts {
        self.tasks.lock().gate.counts()
    }

    pub(crate) fn upstream_state(&self) -> UpstreamState {
        self.tasks.lock().gate.upstream()
    }

    /// Returns the current load. The sequence number is taken under the same lock as the counts,
    /// so that a load with a higher number is never older.
    pub(crate) fn load(&self) -> Load {
        let tasks = self.tasks.lock();
        let counts = tasks.gate.counts();
        let slots = match tasks.gate.upstream() {
            UpstreamState::Serving { slots } => slots,
            UpstreamState::Absent | UpstreamState::Leaving => 0,
        };
        Load {
            sequence: self.load_sequence.fetch_add(1, Ordering::AcqRel) + 1,
            running: u16::try_from(counts.running).unwrap_or(u16::MAX),
            queued: u16::try_from(counts.queued).unwrap_or(u16::MAX),
            slots,
            leaving: tasks.gate.upstream() == UpstreamState::Leaving || self.is_draining(),
        }
    }

    pub(crate) fn hello(&self) -> AgentHello {
        AgentHello {
            agent: self.identity.clone(),
            upstream: self.upstream.load().as_ref().map(|announced| announced.info.clone()),
            load: self.load(),
            config_mark: self.config_mark(),
            evacuations: self.evacuations.borrow().clone(),
        }
    }

    pub(crate) fn reply(&self, body: AgentReplyBody) -> AgentReply {
        AgentReply {
            agent: self.identity.incarnation,
            load: self.load(),
            config_mark: self.config_mark(),
            body,
        }
    }

    pub(crate) fn config_mark(&self) -> ConfigMark {
        ConfigMark(self.config_mark.load(Ordering::Acquire))
    }

    fn raise_config_mark(&self, mark: ConfigMark) {
        self.config_mark.fetch_max(mark.0, Ordering::AcqRel);
    }

    /// Applies an entry's welcome. Its fences are in force when this returns.
    pub(crate) fn apply_welcome(self: &Arc<Self>, welcome: &EntryWelcome) {
        self.raise_config_mark(welcome.config_mark);
        if let Some(evacuations) = &welcome.evacuations {
            self.apply_evacuations(evacuations);
        }
        for &home in welcome.members.iter().flat_map(|members| &members.fenced) {
            if !self.tasks.lock().gate.is_fenced(home) {
                event!(Info, "home_fenced", home = home);
                self.fence(home, &[]);
            }
        }
    }

    /// Returns when the agent must ask for the list of entries again.
    pub(crate) fn members_request_due_ms(&self) -> u64 {
        self.members_requested_at_ms.load(Ordering::Acquire) + u64::from(self.settings.heartbeat_ms)
    }

    /// Returns whether the calling session is the one that must ask for the list now.
    pub(crate) fn claim_members_request(&self, now_ms: u64) -> bool {
        let requested_at_ms = self.members_requested_at_ms.load(Ordering::Acquire);
        let due = now_ms >= requested_at_ms + u64::from(self.settings.heartbeat_ms);
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        due && self
            .members_requested_at_ms
            .compare_exchange(requested_at_ms, now_ms, success, failure)
            .is_ok()
    }

    /// Records that an entry is asked for the list, as every hello and heartbeat does.
    pub(crate) fn note_members_request(&self, now_ms: u64) {
        self.members_requested_at_ms.fetch_max(now_ms, Ordering::AcqRel);
    }

    /// Records activity after which an entry may still send another request.
    pub(crate) fn note_activity(&self) {
        self.last_activity_ms.fetch_max(self.clock.now_ms(), Ordering::AcqRel);
    }

    pub(crate) fn idle_ms(&self) -> u64 {
        self.clock.now_ms().saturating_sub(self.last_activity_ms.load(Ordering::Acquire))
    }
}

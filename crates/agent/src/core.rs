//! State shared by all threads of an agent, and what is done to it.

use {
    crate::{announced::Announced, counters, evacuation, tasks::Tasks},
    arc_swap::ArcSwapOption,
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    std::time::Duration,
    sycamorerail_clock::Clock,
    sycamorerail_decide::gate::{Counts, Gate, Go, Limits, Placed, Start, UpstreamState},
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

/// A start this long after the upstream announced leaving breaks I6.
const LEAVE_BOUND_MS: u64 = 2_000;

/// A reply that is known, or that a task in flight will give.
pub(crate) enum Pending {
    Now(AgentReplyBody),
    Later(oneshot::Receiver<AgentReplyBody>),
    /// As [`Self::Later`], for a task that is dropped unless it starts in time.
    Queued {
        told: oneshot::Receiver<AgentReplyBody>,
        start_within: Duration,
    },
}

/// Begins the upstream call of a task that the gate told to start.
pub(crate) type BeginCall = Box<dyn Fn(Arc<Core>, Start) -> AbortHandle + Send + Sync>;

pub(crate) struct Core {
    pub(crate) settings: AgentSettings,
    pub(crate) identity: AgentIdentity,
    pub(crate) clock: Clock,
    pub(crate) upstream: ArcSwapOption<Announced>,
    /// Grows with each change that the entries must be told of.
    pub(crate) changes: watch::Sender<u64>,
    /// Evacuated data centres in force, to pass on.
    pub(crate) evacuations: watch::Sender<Evacuations>,
    /// Streams whose request was read and whose reply is not delivered.
    pub(crate) replies_due: AtomicUsize,
    /// When an entry was last asked for the list of entries.
    asked_at_ms: AtomicU64,
    /// When a placement last came, or a reply was last lost.
    active_at_ms: AtomicU64,
    begin_call: BeginCall,
    tasks: Mutex<Tasks>,
    config_mark: AtomicU64,
    load_sequence: AtomicU64,
    left_at_ms: AtomicU64,
    draining: AtomicBool,
}

impl Core {
    pub(crate) fn new(
        settings: AgentSettings,
        identity: AgentIdentity,
        begin_call: BeginCall,
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
            asked_at_ms: AtomicU64::new(0),
            active_at_ms: AtomicU64::new(0),
            begin_call,
            tasks: Mutex::new(Tasks::new(gate)),
            config_mark: AtomicU64::new(0),
            load_sequence: AtomicU64::new(0),
            left_at_ms: AtomicU64::new(u64::MAX),
            draining: AtomicBool::new(false),
        }
    }

    /// Does something to the tasks, then starts those for which slots are free.
    fn change<T>(self: &Arc<Self>, act: impl FnOnce(&mut Tasks, u64) -> T) -> T {
        let mut tasks = self.tasks.lock();
        let now_ms = self.clock.now_ms();
        let done = act(&mut tasks, now_ms);
        let mut settled = Vec::new();
        while let Some(start) = tasks.gate.take_next(now_ms, &mut settled) {
            self.begin(&mut tasks, start);
        }
        tasks.tell_all(settled);
        done
    }

    fn begin(self: &Arc<Self>, tasks: &mut Tasks, start: Start) {
        let task = start.placement.task;
        let call = (self.begin_call)(Arc::clone(self), start);
        tasks.calling(task, call);
    }

    /// Decides on a placement that came over a session.
    ///
    /// `None` when the session is not current any more: the entry may have placed
    /// the task anew over a later one, which this copy must not follow.
    pub(crate) fn place(
        self: &Arc<Self>,
        is_current: impl Fn() -> bool,
        placement: Placement,
    ) -> Option<Pending> {
        self.raise_config_mark(placement.config_mark);
        self.note_activity();
        let task = placement.task;
        self.change(|tasks, now_ms| {
            if !is_current() {
                return None;
            }
            let placed = tasks.gate.place(placement, now_ms);
            counters::placed(&placed);
            Some(match placed {
                Placed::Start(start) => {
                    self.begin(tasks, *start);
                    Pending::Later(tasks.wait_for(task))
                }
                Placed::Queued { start_by_ms } => Pending::Queued {
                    told: tasks.wait_for(task),
                    start_within: Duration::from_millis(start_by_ms.saturating_sub(now_ms)),
                },
                Placed::Joined => Pending::Later(tasks.wait_for(task)),
                Placed::Known(reply) => Pending::Now(reply),
                Placed::Refused(refusal) => Pending::Now(refusal.reply()),
            })
        })
    }

    /// Drops queued tasks and records whose time has passed.
    pub(crate) fn expire(self: &Arc<Self>) {
        self.change(|tasks, now_ms| {
            let settled = tasks.gate.expire(now_ms);
            tasks.tell_all(settled);
        });
    }

    pub(crate) fn revoke(self: &Arc<Self>, revoked: &[TaskId]) -> AgentReplyBody {
        self.change(|tasks, now_ms| {
            let revoked = tasks.gate.revoke(revoked, now_ms);
            revoked.aborted.iter().for_each(|task| tasks.abort(task));
            tasks.tell_all(revoked.settled);
            AgentReplyBody::Revoked(revoked.reports)
        })
    }

    pub(crate) fn fence(self: &Arc<Self>, home: Incarnation, jobs: &[JobId]) -> AgentReplyBody {
        self.change(|tasks, _| {
            let fenced = tasks.gate.fence(home, jobs);
            tasks.tell_all(fenced.settled);
            AgentReplyBody::Fenced(fenced.jobs)
        })
    }

    /// Checks that the task's upstream call is its first, and that the upstream
    /// is not leaving; then the call counts as begun.
    pub(crate) fn go(self: &Arc<Self>, task: TaskId) -> bool {
        let (go, now_ms) = self.change(|tasks, now_ms| (tasks.gate.go(task), now_ms));
        let left_for_ms = now_ms.saturating_sub(self.left_at_ms.load(Ordering::Acquire));
        go != Go::Withdrawn
            && invariant::check(Invariant::StartsOnce, go == Go::Call, &task)
            && invariant::check(Invariant::NoWorkWhenLeaving, left_for_ms < LEAVE_BOUND_MS, &task)
    }

    pub(crate) fn ended(self: &Arc<Self>, task: TaskId, end: TaskEnd, run_us: u64) {
        self.change(|tasks, now_ms| {
            let settled = tasks.gate.ended(task, end, run_us, now_ms);
            tasks.tell_all(settled.into_iter().collect());
        });
    }

    pub(crate) fn broken(self: &Arc<Self>, task: TaskId, reason: Reason) {
        self.change(|tasks, now_ms| {
            let settled = tasks.gate.broken(task, reason, now_ms);
            tasks.tell_all(settled.into_iter().collect());
        });
    }

    pub(crate) fn not_started(self: &Arc<Self>, task: TaskId, reason: Reason) {
        self.change(|tasks, _| {
            let settled = tasks.gate.not_started(task, reason);
            tasks.tell_all(settled.into_iter().collect());
        });
    }

    pub(crate) fn set_upstream_state(self: &Arc<Self>, state: UpstreamState) {
        let now_ms = self.clock.now_ms();
        let left_at_ms = if state == UpstreamState::Leaving { now_ms } else { u64::MAX };
        self.left_at_ms.store(left_at_ms, Ordering::Release);
        self.change(|tasks, _| {
            let settled = tasks.gate.set_upstream(state);
            tasks.tell_all(settled);
        });
        self.tell_entries();
    }

    /// Puts evacuations into force that an entry told, unless those held were true later.
    pub(crate) fn hold_evacuations(self: &Arc<Self>, told: &Evacuations) {
        if !self.evacuations.send_if_modified(|held| held.merge_newer(told)) {
            return;
        }
        let own_evacuated = self.change(|tasks, _| {
            // Of two that come at once the later one holds.
            let evacuated = self.evacuations.borrow().contains(&self.identity.data_centre);
            let settled = tasks.gate.set_evacuated(evacuated);
            tasks.tell_all(settled);
            evacuated
        });
        evacuation::log_in_force(told, own_evacuated);
    }

    /// Makes every session say hello again at once.
    pub(crate) fn tell_entries(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Takes no new work from now on and drops what is queued.
    pub(crate) fn drain(self: &Arc<Self>) {
        self.draining.store(true, Ordering::Release);
        self.change(|tasks, _| {
            let settled = tasks.gate.drain();
            tasks.tell_all(settled);
        });
        self.tell_entries();
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

    /// The load now. Its sequence is taken under the same lock as its counts,
    /// so that a higher one is never older.
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

    /// Takes what an entry tells of the cluster. Its fences are in force when
    /// this returns.
    pub(crate) fn welcomed(self: &Arc<Self>, welcome: &EntryWelcome) {
        self.raise_config_mark(welcome.config_mark);
        if let Some(told) = &welcome.evacuations {
            self.hold_evacuations(told);
        }
        for &home in welcome.members.iter().flat_map(|members| &members.fenced) {
            if !self.tasks.lock().gate.is_fenced(home) {
                event!(Info, "home_fenced", home = home);
                self.fence(home, &[]);
            }
        }
    }

    /// When the list of entries must be asked for again.
    pub(crate) fn ask_at_ms(&self) -> u64 {
        self.asked_at_ms.load(Ordering::Acquire) + u64::from(self.settings.heartbeat_ms)
    }

    /// Whether the caller is the one session that asks for the list now.
    pub(crate) fn takes_turn_to_ask(&self, now_ms: u64) -> bool {
        let asked_at_ms = self.asked_at_ms.load(Ordering::Acquire);
        let due = now_ms >= asked_at_ms + u64::from(self.settings.heartbeat_ms);
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        due && self.asked_at_ms.compare_exchange(asked_at_ms, now_ms, success, failure).is_ok()
    }

    /// Notes that an entry is asked: every hello and heartbeat does.
    pub(crate) fn asks(&self, now_ms: u64) {
        self.asked_at_ms.fetch_max(now_ms, Ordering::AcqRel);
    }

    /// Notes that an entry may still be about to send or ask something.
    pub(crate) fn note_activity(&self) {
        self.active_at_ms.fetch_max(self.clock.now_ms(), Ordering::AcqRel);
    }

    pub(crate) fn idle_ms(&self) -> u64 {
        self.clock.now_ms().saturating_sub(self.active_at_ms.load(Ordering::Acquire))
    }
}

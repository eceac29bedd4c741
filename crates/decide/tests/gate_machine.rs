//! Start gate as a state machine: messages are reordered, duplicated, lost and
//! delayed, and the replies of the gate are compared with the calls that the upstream
//! received.

use {
    proptest::{collection::vec, prelude::*, sample::Index},
    std::collections::{HashMap, HashSet},
    sycamorerail_decide::gate::{
        CallPermit, Gate, Limits, PlacementDecision, RECORD_COST_BYTES, SettledTask, UpstreamState,
    },
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd, TaskRecord, TaskReport},
        ids::{ContentHash, IdKey, Incarnation, JobId, OrganisationKey, TaskId},
        message::{AgentReplyBody, Placement},
    },
};

const AGENT: Incarnation = Incarnation(1);
const HOMES: u64 = 2;
const JOBS: u64 = 12;
const TASKS: u16 = 2;
/// Interval at which each home creates a job id, in milliseconds.
const MINT_EVERY_MS: u64 = 500;
/// Age at which an id is refused as expired and its home forgets it.
const ID_LIFE_MS: u64 = 1_500;
/// Age at which a message is lost because its connection has ended.
const MOST_LATE_MS: u64 = 1_500;
const LIMITS: Limits = Limits {
    retention_ms: ID_LIFE_MS + MOST_LATE_MS,
    kept_result_bytes: 30,
    record_bytes: 11 * RECORD_COST_BYTES,
    max_queued: 3,
};

#[derive(Clone, Debug)]
enum Op {
    Place { task: Index, urgency: u8, start_within_ms: u32 },
    Revoke { tasks: Vec<Index> },
    Fence { home: u64 },
    Deliver(Index),
    Duplicate(Index),
    Lose(Index),
    CallPermit(Index),
    End(Index),
    Break(Index),
    Unreachable(Index),
    Upstream(UpstreamState),
    Evacuated(bool),
    Wait { ms: u64 },
    Drain,
}

#[derive(Clone, Debug)]
enum Message {
    Place(Placement),
    Revoke(Vec<TaskId>),
    Fence(Incarnation, Vec<JobId>),
}

fn op() -> impl Strategy<Value = Op> {
    let any = any::<Index>;
    let upstream = prop_oneof![
        Just(UpstreamState::Absent),
        Just(UpstreamState::Leaving),
        (1..4_u16).prop_map(|slots| UpstreamState::Serving { slots }),
        (1..4_u16).prop_map(|slots| UpstreamState::Serving { slots }),
    ];
    prop_oneof![
        12 => (any(), 0..3_u8, 0..900_u32).prop_map(|(task, urgency, start_within_ms)| {
            Op::Place { task, urgency, start_within_ms }
        }),
        3 => vec(any(), 1..4).prop_map(|tasks| Op::Revoke { tasks }),
        1 => (0..HOMES).prop_map(|home| Op::Fence { home }),
        24 => any().prop_map(Op::Deliver),
        4 => any().prop_map(Op::Duplicate),
        2 => any().prop_map(Op::Lose),
        12 => any().prop_map(Op::CallPermit),
        8 => any().prop_map(Op::End),
        2 => any().prop_map(Op::Break),
        3 => any().prop_map(Op::Unreachable),
        2 => upstream.prop_map(Op::Upstream),
        1 => proptest::bool::ANY.prop_map(Op::Evacuated),
        6 => (1..1_000_u64).prop_map(|ms| Op::Wait { ms }),
        1 => Just(Op::Drain),
    ]
}

fn pick(which: &Index, tasks: &[TaskId]) -> Option<TaskId> {
    (!tasks.is_empty()).then(|| *which.get(tasks))
}

fn all_tasks() -> Vec<TaskId> {
    let key = IdKey::derive("test");
    let address = "127.0.0.1:1".parse().unwrap();
    let jobs = (0..HOMES * JOBS).map(|number| {
        let home = Incarnation(100 + number % HOMES);
        let minted_ms = number / HOMES * MINT_EVERY_MS;
        JobId::mint(&key, address, home, minted_ms, number, OrganisationKey(1))
    });
    jobs.flat_map(|job| (0..TASKS).map(move |index| TaskId { job, index, attempt: 0 })).collect()
}

/// State of the homes, the network and the upstream.
struct World {
    gate: Gate,
    now_ms: u64,
    draining: bool,
    evacuated: bool,
    tasks: Vec<TaskId>,
    /// Messages in flight, with the time of sending.
    sent: Vec<(u64, Message)>,
    /// Tasks that the gate started, with whether the upstream was called.
    running: Vec<(TaskId, bool)>,
    /// Tasks that are placed and have no reply yet.
    waited_for: HashSet<TaskId>,
    revoked_by_home: HashSet<TaskId>,
    /// All tasks for which the upstream was called.
    started: HashSet<TaskId>,
    /// Tasks that, according to the gate, never start.
    never: HashSet<TaskId>,
    ends: HashMap<TaskId, TaskEnd>,
}

impl World {
    fn new() -> Self {
        let mut gate = Gate::new(AGENT, LIMITS);
        gate.set_upstream(UpstreamState::Serving { slots: 2 });
        Self {
            gate,
            now_ms: 0,
            draining: false,
            evacuated: false,
            tasks: all_tasks(),
            sent: Vec::new(),
            running: Vec::new(),
            waited_for: HashSet::new(),
            revoked_by_home: HashSet::new(),
            started: HashSet::new(),
            never: HashSet::new(),
            ends: HashMap::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Place { task, urgency, start_within_ms } => {
                self.send_placement(task, urgency, start_within_ms);
            }
            Op::Revoke { tasks } => {
                let live = self.live_tasks();
                let tasks: Vec<TaskId> =
                    tasks.iter().filter_map(|task| pick(task, &live)).collect();
                self.revoked_by_home.extend(&tasks);
                self.sent.push((self.now_ms, Message::Revoke(tasks)));
            }
            Op::Fence { home } => {
                let home = Incarnation(100 + home);
                let mut jobs: Vec<JobId> = self.live_tasks().iter().map(|task| task.job).collect();
                jobs.retain(|job| job.incarnation == home);
                jobs.dedup();
                self.sent.push((self.now_ms, Message::Fence(home, jobs)));
            }
            Op::Deliver(_) | Op::Duplicate(_) | Op::Lose(_) if self.sent.is_empty() => {}
            Op::Deliver(which) => self.deliver(which),
            Op::Duplicate(which) => self.sent.push(which.get(&self.sent).clone()),
            Op::Lose(which) => drop(self.sent.swap_remove(which.index(self.sent.len()))),
            Op::CallPermit(which) => self.call(which),
            Op::End(which) => self.end(which),
            Op::Break(which) => self.break_off(which),
            Op::Unreachable(which) => self.unreachable(which),
            Op::Upstream(state) => {
                let settled = self.gate.set_upstream(state);
                self.receive_all(settled);
            }
            Op::Evacuated(evacuated) => {
                self.evacuated = evacuated;
                let settled = self.gate.set_evacuated(evacuated);
                self.receive_all(settled);
            }
            Op::Wait { ms } => self.wait(ms),
            Op::Drain => {
                self.draining = true;
                let settled = self.gate.drain();
                self.receive_all(settled);
            }
        }
        self.take_next();
        self.check_bounds();
    }

    /// Returns the tasks whose ids are created and not expired.
    fn live_tasks(&self) -> Vec<TaskId> {
        let lives = |task: &TaskId| {
            let minted_ms = task.job.minted_unix_ms;
            (minted_ms..minted_ms + ID_LIFE_MS).contains(&self.now_ms)
        };
        self.tasks.iter().copied().filter(lives).collect()
    }

    fn send_placement(&mut self, task: Index, urgency: u8, start_within_ms: u32) {
        let mut live = self.live_tasks();
        live.retain(|task| !self.revoked_by_home.contains(task));
        let Some(task) = pick(&task, &live) else {
            return;
        };
        let placement = Placement {
            agent: AGENT,
            task,
            task_count: TASKS,
            content: ContentHash::of(b"content"),
            organisation: "alpenfunk".to_owned(),
            kind: "reach_check".to_owned(),
            payload: Payload("{}".to_owned()),
            start_within_ms,
            end_within_ms: 1_000,
            urgency,
            config_mark: Default::default(),
        };
        self.sent.push((self.now_ms, Message::Place(placement)));
    }

    fn deliver(&mut self, which: Index) {
        let (sent_ms, message) = self.sent.swap_remove(which.index(self.sent.len()));
        if self.now_ms >= sent_ms + MOST_LATE_MS {
            return;
        }
        match message {
            Message::Place(placement) => self.place(placement),
            Message::Revoke(tasks) => {
                let revoked = self.gate.revoke(&tasks, self.now_ms);
                for task in &revoked.aborted {
                    assert!(self.started.contains(task), "aborted a call never made");
                }
                self.receive_all(revoked.settled);
                let full =
                    self.gate.counts().record_bytes + RECORD_COST_BYTES > LIMITS.record_bytes;
                assert!(full || revoked.reports.len() == tasks.len(), "a task without a report");
                revoked.reports.into_iter().for_each(|report| self.receive_report(report));
            }
            Message::Fence(home, jobs) => self.fence(home, &jobs),
        }
    }

    fn place(&mut self, placement: Placement) {
        let task = placement.task;
        match self.gate.place(placement, self.now_ms) {
            PlacementDecision::Start(_) => {
                assert!(!self.evacuated, "started in an evacuated data centre");
                self.waited_for.insert(task);
                self.running.push((task, false));
            }
            PlacementDecision::Queued { .. } => {
                assert!(!self.evacuated, "queued in an evacuated data centre");
                assert!(self.waited_for.insert(task));
            }
            PlacementDecision::Joined => assert!(self.waited_for.contains(&task)),
            PlacementDecision::Settled(reply) => self.receive(task, reply),
            PlacementDecision::Refused(refusal) => self.receive(task, refusal.reply()),
        }
    }

    fn fence(&mut self, home: Incarnation, jobs: &[JobId]) {
        let fenced = self.gate.fence(home, jobs);
        self.receive_all(fenced.settled);
        let reports = fenced.jobs.into_iter().flat_map(|job| job.tasks);
        let mut unlisted: HashSet<TaskId> =
            self.tasks.iter().copied().filter(|task| jobs.contains(&task.job)).collect();
        for report in reports {
            unlisted.remove(&report.task);
            self.receive_report(report);
        }
        unlisted.into_iter().for_each(|task| self.receive_never(task));
    }

    fn call(&mut self, which: Index) {
        let waiting: Vec<usize> =
            (0..self.running.len()).filter(|&at| !self.running[at].1).collect();
        if waiting.is_empty() {
            return;
        }
        let at = *which.get(&waiting);
        let task = self.running[at].0;
        match self.gate.permit_call(task) {
            CallPermit::Granted => {
                assert!(self.started.insert(task), "{task} started twice");
                assert!(!self.never.contains(&task), "{task} started after never");
                self.running[at].1 = true;
            }
            CallPermit::Revoked => drop(self.running.swap_remove(at)),
            CallPermit::AlreadyCalled => panic!("{task} called before"),
        }
    }

    fn called(&mut self, which: Index) -> Option<TaskId> {
        let called: Vec<usize> = (0..self.running.len()).filter(|&at| self.running[at].1).collect();
        if called.is_empty() {
            return None;
        }
        Some(self.running.swap_remove(*which.get(&called)).0)
    }

    fn end(&mut self, which: Index) {
        if let Some(task) = self.called(which) {
            let end = TaskEnd::Finished(Payload(format!("{:08}", self.now_ms)));
            let settled = self.gate.record_end(task, end, 1_000, self.now_ms);
            self.receive_all(settled.into_iter().collect());
        }
    }

    fn break_off(&mut self, which: Index) {
        if let Some(task) = self.called(which) {
            let settled = self.gate.record_broken(task, Reason::UpstreamBroken, self.now_ms);
            self.receive_all(settled.into_iter().collect());
        }
    }

    /// The upstream refuses the connection and does not receive the task.
    fn unreachable(&mut self, which: Index) {
        if let Some(task) = self.called(which) {
            let settled = self.gate.record_not_started(task, Reason::UpstreamUnreachable);
            // An earlier revoke has already reported that the task failed.
            if settled.is_some() {
                self.started.remove(&task);
            }
            self.receive_all(settled.into_iter().collect());
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now_ms += ms;
        let settled = self.gate.expire(self.now_ms);
        self.receive_all(settled);
    }

    fn take_next(&mut self) {
        let mut settled = Vec::new();
        while let Some(start) = self.gate.take_next(self.now_ms, &mut settled) {
            assert!(!self.draining, "started while draining");
            assert!(!self.evacuated, "started from the queue while evacuated");
            self.running.push((start.placement.task, false));
        }
        self.receive_all(settled);
    }

    fn receive_all(&mut self, settled: Vec<SettledTask>) {
        for SettledTask { task, reply } in settled {
            assert!(self.waited_for.remove(&task), "{task} told twice");
            self.receive(task, reply);
        }
    }

    fn receive(&mut self, task: TaskId, reply: AgentReplyBody) {
        match reply {
            AgentReplyBody::Ended { end, .. } => self.receive_end(task, end),
            AgentReplyBody::Broken(_) => assert!(self.started.contains(&task)),
            AgentReplyBody::NotStarted { never: true, .. } => self.receive_never(task),
            AgentReplyBody::NotStarted { .. } => self.receive_not_started(task),
            other => panic!("{other:?}"),
        }
    }

    fn receive_report(&mut self, report: TaskReport) {
        match report.record {
            TaskRecord::NeverStarted => self.receive_never(report.task),
            TaskRecord::Ended(end) => self.receive_end(report.task, end),
            TaskRecord::Running => assert!(self.waited_for.contains(&report.task)),
            TaskRecord::EndDropped | TaskRecord::Broken(_) => {
                assert!(self.started.contains(&report.task));
            }
        }
    }

    fn receive_end(&mut self, task: TaskId, end: TaskEnd) {
        assert!(self.started.contains(&task));
        let before = self.ends.entry(task).or_insert_with(|| end.clone());
        assert_eq!(*before, end, "{task} ended in two ways");
    }

    fn receive_not_started(&mut self, task: TaskId) {
        assert!(!self.started.contains(&task), "{task} said not started, but was");
    }

    fn receive_never(&mut self, task: TaskId) {
        self.receive_not_started(task);
        self.never.insert(task);
    }

    fn check_bounds(&self) {
        let counts = self.gate.counts();
        assert!(counts.record_bytes <= LIMITS.record_bytes);
        assert!(counts.kept_result_bytes <= LIMITS.kept_result_bytes);
        assert!(counts.queued <= LIMITS.max_queued);
        assert_eq!(counts.running + counts.queued, self.waited_for.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn gate_keeps_its_promises(ops in vec(op(), 1..250)) {
        let mut world = World::new();
        ops.into_iter().for_each(|op| world.apply(op));
    }
}

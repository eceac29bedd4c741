//! Orders that were decided for an instance of an upstream, and arrive when there is another one
//! or when it has other labels.

use {
    proptest::{prelude::*, sample::Index},
    std::{collections::HashMap, mem, sync::Arc},
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobRequest, KindParameters, StepRequest,
        },
        ledger::{InstanceEnd, LeaseAnswer, Ledger, LedgerLimits, StartAnswer, StartRefusal},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, NotStarted, Resources, RunEvent, RunReport, StepPlacement,
            TaskKey, UpstreamInstance, UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const AGENT: Incarnation = Incarnation(1);
const POOL: &str = "desk";
const OTHER_POOL: &str = "lab";
const RED: &str = "red";
const BLUE: &str = "blue";
const OTHER_INSTANCE: RunEvent = RunEvent::NotStarted(NotStarted::OtherInstance);
const CAPACITY: Resources =
    Resources { cpu_milli: 1_000_000, memory_mb: 1_000_000, accelerators: 0 };

fn upstream(id: InstanceId, pool: &str, labels: &[&str]) -> UpstreamInstance {
    UpstreamInstance {
        id,
        order_fence: 0,
        pool: pool.to_owned(),
        capacity: CAPACITY,
        labels: labels.iter().map(|&label| label.to_owned()).collect(),
        leaving: false,
    }
}

fn id(id: &str, started_unix_ms: u64) -> InstanceId {
    InstanceId { id: id.to_owned(), started_unix_ms: Some(started_unix_ms) }
}

fn job(number: u64, required_label: Option<&str>, now_ms: u64) -> JobRequest {
    let kind = KindParameters {
        name: "kind".to_owned(),
        pool: POOL.to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        target_ms: 20_000,
    };
    let step = StepRequest {
        count: 1,
        need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
        run_ms: 100,
        required_label: required_label.map(str::to_owned),
        ..StepRequest::default()
    };
    JobRequest {
        id: CallerJobId(number),
        kind: Arc::new(kind),
        spec: "spec".to_owned(),
        steps: vec![step],
        arrived_ms: now_ms,
        deadline_ms: now_ms + 20_000,
    }
}

fn task(job: u64) -> TaskKey {
    TaskKey { job: CallerJobId(job), step: 0, index: 0 }
}

fn usable() -> UpstreamLoad {
    UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    }
}

/// Registers an agent that reports this upstream.
fn connect(entry: &mut Dispatch, name: &str, upstream: UpstreamInstance) -> AgentKey {
    let agent = entry.agent_connected(name, AGENT, None, 1);
    entry.agent_ready(agent, 1);
    entry.set_instance(agent, upstream);
    entry.handle_report(agent, &[], usable(), 1, 1);
    agent
}

fn orders(entry: &mut Dispatch) -> Vec<(AgentKey, StepPlacement)> {
    let placed = entry.take_commands().into_iter().filter_map(|command| match command {
        Command::Place(agent, placement) => Some((agent, placement)),
        _ => None,
    });
    placed.collect()
}

/// Returns the entry's order of a task for the upstream as the entry knows it.
fn order_for(known: UpstreamInstance, required_label: Option<&str>) -> StepPlacement {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    connect(&mut entry, "a", known);
    entry.submit(job(1, required_label, 1), 1).unwrap();
    orders(&mut entry).remove(0).1
}

/// The present instance answers a call, which takes the fence if there is none yet.
fn answer_call(ledger: &mut Ledger, present: &InstanceId, running: &[(TaskKey, u32)], now_ms: u64) {
    let answer = LeaseAnswer {
        instance: present.clone(),
        fence: ledger.fence(),
        sent_ms: now_ms,
        clock_ms: 50_000 + now_ms,
        running: running.to_vec(),
        ..LeaseAnswer::default()
    };
    if ledger.is_fenced() {
        ledger.handle_renewal_answer(&answer, now_ms);
    } else {
        ledger.handle_fence_answer(&answer, now_ms);
    }
}

/// Makes an announced instance usable.
fn make_usable(ledger: &mut Ledger, present: &UpstreamInstance, now_ms: u64) {
    ledger.handle_announcement(present.clone(), now_ms);
    answer_call(ledger, &present.id, &[], now_ms + 1);
    answer_call(ledger, &present.id, &[], now_ms + 2);
    ledger.note_owner_contact(ENTRY, now_ms + 2);
    assert!(ledger.load(now_ms + 2).usable);
}

fn ledger_of(present: &UpstreamInstance) -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    make_usable(&mut ledger, present, 1);
    ledger
}

fn events(ledger: &Ledger) -> Vec<RunEvent> {
    ledger.reports(ENTRY).iter().map(|report| report.event).collect()
}

/// Guards against an order that waits for an entry which stands still, and starts where another
/// kind of upstream has begun meanwhile.
#[test]
fn an_order_for_an_earlier_instance_does_not_start() {
    for next in [id("b", 2_000), id("a", 2_000), InstanceId::without_start("b")] {
        let first = upstream(id("a", 1_000), POOL, &[RED]);
        let mut ledger = ledger_of(&first);
        ledger.end_instance(InstanceEnd::Crashed);
        make_usable(&mut ledger, &upstream(next, POOL, &[BLUE]), 10);
        ledger.place(ENTRY, order_for(first, Some(RED)), 13);
        assert_eq!(ledger.next_start(13), None);
        assert_eq!(events(&ledger), [OTHER_INSTANCE]);
    }
}

/// Guards against the same where the upstream reports no start time, so that nothing but its pool
/// and its labels tells that it is another one.
#[test]
fn an_order_for_another_pool_or_label_under_the_same_id_does_not_start() {
    let first = upstream(InstanceId::without_start("a"), POOL, &[RED]);
    for (pool, label) in [(OTHER_POOL, RED), (POOL, BLUE)] {
        let mut ledger = ledger_of(&first);
        ledger.end_instance(InstanceEnd::Crashed);
        make_usable(&mut ledger, &upstream(first.id.clone(), pool, &[label]), 10);
        ledger.place(ENTRY, order_for(first.clone(), Some(RED)), 13);
        assert_eq!(ledger.next_start(13), None, "{pool} {label}");
        assert_eq!(events(&ledger), [OTHER_INSTANCE]);
    }
}

/// Guards against tasks that wait at the agent for a label which the instance then loses.
#[test]
fn a_waiting_task_does_not_start_once_its_label_is_gone() {
    let first = upstream(id("a", 1_000), POOL, &[RED]);
    let mut ledger = ledger_of(&first);
    ledger.place(ENTRY, order_for(first.clone(), Some(RED)), 4);
    ledger.handle_announcement(UpstreamInstance { labels: vec![BLUE.to_owned()], ..first }, 5);
    assert_eq!(ledger.next_start(6), None);
    assert_eq!(events(&ledger), [OTHER_INSTANCE]);
}

/// Guards against upstreams that do not tell their start, or tell it only in their answers, and get
/// no task at all.
#[test]
fn an_order_without_a_start_time_is_for_any_instance_of_the_id() {
    for present in [InstanceId::without_start("a"), id("a", 1_000)] {
        let mut ledger = ledger_of(&upstream(present, POOL, &[RED]));
        let known = upstream(InstanceId::without_start("a"), POOL, &[RED]);
        ledger.place(ENTRY, order_for(known, Some(RED)), 4);
        assert!(ledger.next_start(4).is_some());
    }
}

/// Guards against tasks that wait at the entry until it has read of the restart.
#[test]
fn a_refused_task_goes_to_another_agent_at_once() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let agents =
        ["a", "b"].map(|name| connect(&mut entry, name, upstream(id(name, 1_000), POOL, &[RED])));
    entry.submit(job(1, Some(RED), 1), 1).unwrap();
    let first = orders(&mut entry).remove(0).0;
    let reports = [RunReport { number: 1, task: task(1), run: 1, event: OTHER_INSTANCE }];
    entry.handle_report(first, &reports, usable(), 2, 2);
    let other = agents.into_iter().find(|agent| *agent != first).unwrap();
    let next: Vec<_> = orders(&mut entry).into_iter().map(|(agent, _)| agent).collect();
    assert_eq!(next, [other]);
}

/// Guards against an order a message while the entry has not read of the restart, where there is no
/// other agent.
#[test]
fn a_refused_task_is_not_sent_again_and_again() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let agent = connect(&mut entry, "a", upstream(id("a", 1_000), POOL, &[RED]));
    entry.submit(job(1, Some(RED), 1), 1).unwrap();
    let mut runs = Vec::new();
    for now_ms in 2..=201 {
        for (_, order) in orders(&mut entry) {
            let (number, run) = (now_ms, order.tasks[0].run);
            runs.push(run);
            let reports = [RunReport { number, task: task(1), run, event: OTHER_INSTANCE }];
            entry.handle_report(agent, &reports, usable(), 2, now_ms);
        }
        entry.agent_heard(agent, "report", now_ms);
        entry.tick(now_ms);
    }
    // Two at once, then one each 50 ms.
    assert!((2..=6).contains(&runs.len()), "{runs:?}");
    // The entry reads of the restart.
    orders(&mut entry);
    entry.set_instance(agent, upstream(id("b", 2_000), POOL, &[BLUE]));
    entry.tick(300);
    assert_eq!(orders(&mut entry), []);
}

/// Message of the agent.
#[derive(Clone, Debug)]
enum ToEntry {
    Upstream(UpstreamInstance),
    Report(Vec<RunReport>, UpstreamLoad),
}

/// How an instance is called, after the one before it.
#[derive(Clone, Copy, Debug)]
enum NextId {
    New,
    NewWithoutStart,
    SameLater,
}

#[derive(Clone, Debug)]
enum Op {
    Submit { label: Option<&'static str> },
    DeliverOrder(Index),
    Report,
    DeliverToEntry(Index),
    Restart { next: NextId, kind: usize },
    Relabel { kind: usize },
    Announce(Index),
    RefuseConnections,
    Renew,
    Wait { ms: u64 },
}

/// Pool and labels of the kinds of upstreams. The last two differ from the first by one thing each.
const KINDS: [(&str, &[&str]); 4] =
    [(POOL, &[RED]), (POOL, &[RED, BLUE]), (POOL, &[BLUE]), (OTHER_POOL, &[RED])];

fn any_op() -> impl Strategy<Value = Op> {
    let label = prop_oneof![Just(None), Just(Some(RED)), Just(Some(BLUE))];
    let next =
        prop_oneof![Just(NextId::New), Just(NextId::NewWithoutStart), Just(NextId::SameLater)];
    prop_oneof![
        4 => label.prop_map(|label| Op::Submit { label }),
        6 => any::<Index>().prop_map(Op::DeliverOrder),
        4 => Just(Op::Report),
        8 => any::<Index>().prop_map(Op::DeliverToEntry),
        2 => (next, 0..KINDS.len()).prop_map(|(next, kind)| Op::Restart { next, kind }),
        1 => (0..KINDS.len()).prop_map(|kind| Op::Relabel { kind }),
        4 => any::<Index>().prop_map(Op::Announce),
        1 => Just(Op::RefuseConnections),
        8 => Just(Op::Renew),
        2 => (1_u64..100).prop_map(|ms| Op::Wait { ms }),
    ]
}

/// An entry, an agent and its upstream. Messages and announcements arrive in any order.
struct Model {
    now_ms: u64,
    entry: Dispatch,
    agent: AgentKey,
    ledger: Ledger,
    /// The instance that lives.
    present: UpstreamInstance,
    running: Vec<(TaskKey, u32)>,
    instances: u64,
    jobs: HashMap<CallerJobId, Option<&'static str>>,
    orders: Vec<StepPlacement>,
    to_entry: Vec<ToEntry>,
    announcements: Vec<UpstreamInstance>,
    last_report: u64,
    heartbeats: u64,
    starts: usize,
}

impl Model {
    fn new() -> Self {
        let present = upstream(id("0", 1_000), POOL, &[RED]);
        let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
        let agent = connect(&mut entry, "a", present.clone());
        Self {
            now_ms: 3,
            entry,
            agent,
            ledger: ledger_of(&present),
            present,
            running: Vec::new(),
            instances: 1,
            jobs: HashMap::new(),
            orders: Vec::new(),
            to_entry: Vec::new(),
            announcements: Vec::new(),
            last_report: 0,
            heartbeats: 0,
            starts: 0,
        }
    }

    fn run(&mut self, op: Op) {
        self.now_ms += 1;
        match op {
            Op::Submit { label } => self.submit(label),
            Op::DeliverOrder(order) => {
                if let Some(order) = take(&mut self.orders, order) {
                    self.place(order);
                }
            }
            Op::Report => self.report(),
            Op::DeliverToEntry(message) => {
                if let Some(message) = take(&mut self.to_entry, message) {
                    self.read(message);
                }
            }
            Op::Restart { next, kind } => self.restart(next, kind),
            Op::Relabel { kind } => self.relabel(kind),
            Op::Announce(announcement) => {
                if let Some(told) = take(&mut self.announcements, announcement) {
                    self.ledger.handle_announcement(told, self.now_ms);
                }
            }
            Op::RefuseConnections => self.ledger.handle_refused_connections(self.now_ms),
            Op::Renew => {
                answer_call(&mut self.ledger, &self.present.id, &self.running, self.now_ms);
            }
            Op::Wait { ms } => self.now_ms += ms,
        }
        self.ledger.check_lease_lapse(self.now_ms);
        self.carry_out();
        self.entry.agent_heard(self.agent, "report", self.now_ms);
        self.entry.tick(self.now_ms);
        self.orders.extend(orders(&mut self.entry).into_iter().map(|(_, order)| order));
    }

    fn submit(&mut self, label: Option<&'static str>) {
        let number = self.jobs.len() as u64;
        self.jobs.insert(CallerJobId(number), label);
        // Refused where the entry knows no upstream for it.
        let _ = self.entry.submit(job(number, label, self.now_ms), self.now_ms);
    }

    fn place(&mut self, order: StepPlacement) {
        self.ledger.note_owner_contact(ENTRY, self.now_ms);
        self.ledger.place(ENTRY, order, self.now_ms);
    }

    fn read(&mut self, message: ToEntry) {
        match message {
            ToEntry::Upstream(told) => self.entry.set_instance(self.agent, told),
            ToEntry::Report(reports, load) => {
                // The agent has heard the entry's last heartbeat.
                self.heartbeats += 1;
                self.entry.message_sent(self.agent, None, self.now_ms);
                let (heard, now_ms) = (self.heartbeats, self.now_ms);
                self.entry.handle_report(self.agent, &reports, load, heard, now_ms);
            }
        }
    }

    fn report(&mut self) {
        let told = self.ledger.proven_instance().cloned();
        self.to_entry.extend(told.map(ToEntry::Upstream));
        let mut reports = self.ledger.reports(ENTRY);
        reports.retain(|report| report.number > self.last_report);
        self.last_report = reports.last().map_or(self.last_report, |last| last.number);
        self.to_entry.push(ToEntry::Report(reports, self.ledger.load(self.now_ms)));
    }

    fn restart(&mut self, next: NextId, kind: usize) {
        self.instances += 1;
        let started_unix_ms = self.instances * 1_000;
        let name = self.instances.to_string();
        let next = match next {
            NextId::NewWithoutStart => InstanceId::without_start(&name),
            // Instances without a start time are told apart by their ids alone.
            NextId::SameLater if self.present.id.started_unix_ms.is_some() => {
                id(&self.present.id.id, started_unix_ms)
            }
            NextId::New | NextId::SameLater => id(&name, started_unix_ms),
        };
        let (pool, labels) = KINDS[kind];
        self.present = upstream(next, pool, labels);
        self.running.clear();
        self.announcements.push(self.present.clone());
    }

    /// The announcements of one instance arrive in order.
    fn relabel(&mut self, kind: usize) {
        let (pool, labels) = KINDS[kind];
        if pool != self.present.pool {
            return;
        }
        self.present = upstream(self.present.id.clone(), pool, labels);
        self.announcements.retain(|told| told.id != self.present.id);
        self.ledger.handle_announcement(self.present.clone(), self.now_ms);
    }

    /// Orders carry the id of the instance that they are for. What becomes of one under way where
    /// the next instance has the same id is up to the fence.
    fn carry_out(&mut self) {
        while let Some(order) = self.ledger.next_start(self.now_ms) {
            let target = self.ledger.current_instance();
            let answer = if target == Some(&self.present.id) {
                self.check_start(order.task);
                self.running.push((order.task, order.run));
                StartAnswer::Started
            } else {
                StartAnswer::Refused(StartRefusal::Fenced)
            };
            self.ledger.handle_start_answer(order.task, order.run, answer, self.now_ms);
        }
        for stopped in self.ledger.stops_due(self.now_ms) {
            self.running.retain(|run| *run != stopped);
            self.ledger.handle_stop_confirmation(stopped.0, stopped.1, self.now_ms);
        }
    }

    fn check_start(&mut self, task: TaskKey) {
        self.starts += 1;
        let label = self.jobs[&task.job];
        let has_label =
            label.is_none_or(|label| self.present.labels.iter().any(|own| own == label));
        assert!(has_label, "{task} requires {label:?} and starts on {:?}", self.present);
        assert_eq!(self.present.pool, POOL, "{task} starts on {:?}", self.present);
    }

    /// All messages arrive, in the order in which they were sent.
    fn settle(&mut self) {
        for _ in 0..10 {
            self.run(Op::Wait { ms: 9 });
            self.ledger.handle_announcement(self.present.clone(), self.now_ms);
            self.run(Op::Renew);
            self.run(Op::Report);
            for message in mem::take(&mut self.to_entry) {
                self.read(message);
            }
            self.run(Op::Wait { ms: 1 });
            for order in mem::take(&mut self.orders) {
                self.place(order);
            }
        }
    }
}

fn take<T>(all: &mut Vec<T>, which: Index) -> Option<T> {
    (!all.is_empty()).then(|| all.remove(which.index(all.len())))
}

proptest! {
    /// Guards against a start without the required label, or in another pool, by any order of
    /// orders, restarts and late messages.
    #[test]
    fn no_task_starts_on_an_instance_without_its_required_label(
        ops in prop::collection::vec(any_op(), 1..80),
    ) {
        let mut model = Model::new();
        ops.into_iter().for_each(|op| model.run(op));
        // Once the entry has read of the present instance, tasks for it start.
        model.settle();
        let before = model.starts;
        model.submit(None);
        model.settle();
        let is_of_pool = model.present.pool == POOL;
        prop_assert_eq!(model.starts > before, is_of_pool, "{:?}", model.present);
    }
}

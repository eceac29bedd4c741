//! Agents with two connections to an entry: an order that is read over the one crosses with the
//! hello of the other.

use {
    std::sync::Arc,
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobRequest, KindParameters, StepRequest,
        },
        ledger::{LeaseAnswer, Ledger, LedgerLimits, StartAnswer, StartOrder},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, Resources, StepPlacement, TaskKey, UpstreamInstance,
            UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const AGENT: Incarnation = Incarnation(1);
const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
const TASKS: u16 = 2;

fn upstream(id: &str) -> UpstreamInstance {
    UpstreamInstance {
        id: InstanceId::without_start(id),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: CAPACITY,
        labels: Vec::new(),
        leaving: false,
    }
}

fn usable() -> UpstreamLoad {
    UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    }
}

fn job() -> JobRequest {
    JobRequest {
        id: CallerJobId(1),
        kind: Arc::new(KindParameters {
            name: "kind".to_owned(),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch: 2.0,
            target_ms: 100,
        }),
        spec: "spec".to_owned(),
        steps: vec![StepRequest {
            count: TASKS,
            need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
            run_ms: 3_000,
            ..StepRequest::default()
        }],
        arrived_ms: 100,
        deadline_ms: 20_000,
    }
}

/// An agent at work, with its upstream.
fn agent(name: &str) -> Ledger {
    let mut agent = Ledger::new(LedgerLimits::default());
    agent.set_upstream(upstream(name));
    agent.note_owner_contact(ENTRY, 100);
    let instance = InstanceId::without_start(name);
    let listed = LeaseAnswer { instance, sent_ms: 100, clock_ms: 50_000, ..LeaseAnswer::default() };
    agent.handle_renewal_answer(&listed, 100);
    agent
}

fn connect(
    entry: &mut Dispatch,
    name: &str,
    held: Option<&[(TaskKey, u32)]>,
    number: u64,
    now_ms: u64,
) -> AgentKey {
    let key = entry.agent_connected(name, AGENT, held, now_ms);
    entry.set_hello(key, number);
    entry.agent_ready(key, now_ms);
    entry.set_instance(key, upstream(name));
    key
}

fn placements(entry: &mut Dispatch) -> Vec<(AgentKey, StepPlacement)> {
    let placed = entry.take_commands().into_iter().filter_map(|command| match command {
        Command::Place(agent, placement) => Some((agent, placement)),
        _ => None,
    });
    placed.collect()
}

/// Starts what waits, and returns its tasks.
fn start_all(agent: &mut Ledger, now_ms: u64) -> Vec<TaskKey> {
    let starts: Vec<StartOrder> = std::iter::from_fn(|| agent.next_start(now_ms)).collect();
    for order in &starts {
        agent.handle_start_answer(order.task, order.run, StartAnswer::Started, now_ms);
    }
    starts.into_iter().map(|order| order.task).collect()
}

/// Guards against two runs of each task of a job: the agent starts what it reads over an earlier
/// connection after the hello of the next one, by which the entry takes it for not held.
#[test]
fn an_order_read_after_the_next_hello_starts_nothing() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let (mut first, mut second) = (agent("a"), agent("b"));
    let first_key = connect(&mut entry, "a", None, 1, 100);
    entry.handle_report(first_key, &[], usable(), 1, 100);
    entry.submit(job(), 100).unwrap();
    let (_, order) = placements(&mut entry).remove(0);
    // The hello of the second connection is on its way as the order is read over the first one.
    let held = first.hold_for_hello(ENTRY, 2);
    first.place_over(ENTRY, 1, order, 102);
    let mut started = start_all(&mut first, 102);
    let second_key = connect(&mut entry, "b", None, 1, 103);
    entry.handle_report(second_key, &[], usable(), 1, 103);
    connect(&mut entry, "a", Some(&held), 2, 104);
    entry.tick(105);
    for (at, order) in placements(&mut entry) {
        assert_eq!(at, second_key);
        second.place_over(ENTRY, 1, order, 106);
    }
    started.extend(start_all(&mut second, 106));
    started.sort_unstable();
    let expected: Vec<_> =
        (0..TASKS).map(|index| TaskKey { job: CallerJobId(1), step: 0, index }).collect();
    assert_eq!(started, expected, "each task runs at one agent");
}

/// Guards against an agent that refuses what comes over its present connection.
#[test]
fn an_order_over_the_last_connection_starts() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let mut agent = agent("a");
    connect(&mut entry, "a", None, 1, 100);
    let held = agent.hold_for_hello(ENTRY, 2);
    let key = connect(&mut entry, "a", Some(&held), 2, 101);
    entry.handle_report(key, &[], usable(), 1, 101);
    entry.submit(job(), 101).unwrap();
    let (_, order) = placements(&mut entry).remove(0);
    agent.place_over(ENTRY, 2, order, 102);
    assert_eq!(start_all(&mut agent, 102).len(), usize::from(TASKS));
}

//! Stalls of the deciding process itself, which are no silence of others.

use {
    std::sync::Arc,
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobRequest, KindParameters,
            StepRequest,
        },
        ledger::{LeaseAnswer, Ledger, LedgerLimits, StartAnswer},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, Resources, RunEvent, RunReport, TaskKey, UpstreamInstance,
            UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const AGENT: Incarnation = Incarnation(1);
const NEXT_AGENT: Incarnation = Incarnation(2);
const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
const JOB: CallerJobId = CallerJobId(1);
const TASK: TaskKey = TaskKey { job: JOB, step: 0, index: 0 };
const LOST_MS: u64 = 1_500;
const STALL_MS: u64 = 2_500;
/// The job has begun at one agent, and all are heard.
const HEARD_MS: u64 = 110;
/// The entry goes on.
const WOKEN_MS: u64 = HEARD_MS + STALL_MS;

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

fn load() -> UpstreamLoad {
    UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    }
}

fn job() -> JobRequest {
    let kind = KindParameters {
        name: "kind".to_owned(),
        pool: "desk".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        target_ms: 20_000,
    };
    let step = StepRequest {
        count: 1,
        need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
        run_ms: 3_000,
        ..StepRequest::default()
    };
    JobRequest {
        id: JOB,
        kind: Arc::new(kind),
        spec: "spec".to_owned(),
        steps: vec![step],
        arrived_ms: 100,
        deadline_ms: 20_000,
    }
}

fn connect(entry: &mut Dispatch, name: &str, agent: Incarnation, now_ms: u64) -> AgentKey {
    let key = entry.agent_connected(name, agent, None, now_ms);
    entry.agent_ready(key, now_ms);
    entry.set_instance(key, upstream(name));
    key
}

fn report(number: u64, event: RunEvent) -> [RunReport; 1] {
    [RunReport { number, task: TASK, run: 1, event }]
}

/// Returns an entry whose job runs at the first of two agents.
fn entry_with_run() -> (Dispatch, AgentKey, AgentKey) {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let first = connect(&mut entry, "a", AGENT, 100);
    entry.handle_report(first, &[], load(), 1, 100);
    entry.submit(job(), 100).unwrap();
    entry.take_commands();
    let other = connect(&mut entry, "b", AGENT, 105);
    entry.handle_report(first, &report(1, RunEvent::Started), load(), 2, HEARD_MS);
    entry.handle_report(other, &[], load(), 1, HEARD_MS);
    (entry, first, other)
}

fn orders(entry: &mut Dispatch) -> Vec<AgentKey> {
    let placed = entry.take_commands().into_iter().filter_map(|command| match command {
        Command::Place(agent, _) => Some(agent),
        _ => None,
    });
    placed.collect()
}

/// Guards against an entry that gives runs up for its own stall, and orders them elsewhere while
/// they go on.
#[test]
fn an_entrys_own_stall_loses_no_run() {
    let (mut entry, first, other) = entry_with_run();
    entry.note_stall(STALL_MS, WOKEN_MS);
    entry.tick(WOKEN_MS);
    entry.handle_report(other, &[], load(), 1, WOKEN_MS + 1);
    assert_eq!(orders(&mut entry), []);
    // What was on its way meanwhile counts.
    let done = report(2, RunEvent::Done { run_ms: 900 });
    entry.handle_report(first, &done, load(), 2, WOKEN_MS + 2);
    let answers = entry.take_commands().into_iter().filter_map(|command| match command {
        Command::Answer(_, answer) => Some(answer),
        _ => None,
    });
    assert_eq!(answers.collect::<Vec<_>>(), [JobAnswer::Completed]);
}

/// Guards against an agent that is gone and never counts as lost, as its entry stands still again
/// and again.
#[test]
fn stalls_one_after_the_other_put_a_loss_off_once() {
    let (mut entry, _, other) = entry_with_run();
    let mut now_ms = HEARD_MS;
    while now_ms < HEARD_MS + LOST_MS + 400 {
        assert_eq!(entry.take_losses(), [], "at {now_ms}");
        now_ms += 420;
        entry.note_stall(400, now_ms);
        entry.handle_report(other, &[], load(), 1, now_ms);
        entry.tick(now_ms);
    }
    assert_eq!(entry.take_losses().len(), 1);
}

/// Guards against the runs of an earlier process of an agent that count as over while their
/// upstream stood still with the entry.
#[test]
fn an_entrys_own_stall_ends_no_run_of_an_earlier_process() {
    let (mut entry, first, _) = entry_with_run();
    connect(&mut entry, "a", NEXT_AGENT, HEARD_MS);
    // The next hello of the same process is read before the stall is noticed.
    connect(&mut entry, "a", NEXT_AGENT, WOKEN_MS);
    entry.note_stall(STALL_MS, WOKEN_MS);
    entry.tick(WOKEN_MS);
    assert_eq!(entry.take_losses(), []);
    entry.agent_heard(first, "report", WOKEN_MS + LOST_MS - 1);
    entry.tick(WOKEN_MS + LOST_MS - 1);
    assert_eq!(entry.take_losses(), []);
    entry.tick(WOKEN_MS + LOST_MS);
    assert_eq!(entry.take_losses().len(), 1);
}

fn listed(running: &[(TaskKey, u32)], sent_ms: u64) -> LeaseAnswer {
    LeaseAnswer {
        instance: InstanceId::without_start("a"),
        sent_ms,
        clock_ms: 50_000 + sent_ms,
        running: running.to_vec(),
        ..LeaseAnswer::default()
    }
}

/// Returns an agent whose task runs, as its upstream said at 60 ms.
fn agent_with_run() -> Ledger {
    let mut agent = Ledger::new(LedgerLimits::default());
    agent.set_upstream(upstream("a"));
    agent.note_owner_contact(ENTRY, 1);
    agent.handle_renewal_answer(&listed(&[], 1), 1);
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let key = connect(&mut entry, "a", AGENT, 1);
    entry.handle_report(key, &[], load(), 1, 1);
    entry.submit(JobRequest { arrived_ms: 1, ..job() }, 1).unwrap();
    let placement = entry.take_commands().into_iter().find_map(|command| match command {
        Command::Place(_, placement) => Some(placement),
        _ => None,
    });
    agent.place(ENTRY, placement.unwrap(), 2);
    agent.next_start(2).unwrap();
    agent.handle_start_answer(TASK, 1, StartAnswer::Started, 3);
    agent.handle_renewal_answer(&listed(&[(TASK, 1)], 60), 60);
    agent
}

fn events(agent: &Ledger) -> Vec<RunEvent> {
    agent.reports(ENTRY).iter().map(|report| report.event).collect()
}

/// Guards against an agent that reports runs as lost for its own stall, before its upstream has
/// had time to answer.
#[test]
fn an_agents_own_stall_loses_no_run() {
    let mut agent = agent_with_run();
    let woken_ms = 60 + STALL_MS;
    agent.note_stall(STALL_MS, woken_ms);
    agent.check_lease_lapse(woken_ms);
    assert_eq!(events(&agent), [RunEvent::Started], "its upstream was not asked yet");
    assert!(!agent.is_trusted(woken_ms), "nothing starts until it answers");
    agent.check_lease_lapse(woken_ms + 1_837);
    assert_eq!(events(&agent), [RunEvent::Started, RunEvent::Lost]);
}

/// Guards against an answer from before the stall, read after it, that brings the lapse forward.
#[test]
fn an_answer_from_before_a_stall_does_not_undo_it() {
    let mut agent = agent_with_run();
    let woken_ms = 100 + STALL_MS;
    agent.note_stall(STALL_MS, woken_ms);
    agent.handle_renewal_answer(&listed(&[(TASK, 1)], 100), woken_ms + 1);
    agent.check_lease_lapse(woken_ms + 25);
    assert_eq!(events(&agent), [RunEvent::Started]);
    agent.handle_renewal_answer(&listed(&[(TASK, 1)], woken_ms + 30), woken_ms + 31);
    agent.check_lease_lapse(woken_ms + 30 + 1_837);
    assert_eq!(events(&agent), [RunEvent::Started, RunEvent::Lost], "the stall is over");
}

/// Guards against an upstream that goes on later than its agent, refuses connections until then,
/// and counts as crashed at once.
#[test]
fn refused_connections_do_not_undo_a_stall() {
    let mut agent = agent_with_run();
    let woken_ms = 100 + STALL_MS;
    agent.note_stall(STALL_MS, woken_ms);
    agent.handle_refused_connections(woken_ms + 20);
    agent.check_lease_lapse(woken_ms + 25);
    assert_eq!(events(&agent), [RunEvent::Started]);
}

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
fn silence_between_stalls_adds_up() {
    let (mut entry, _, other) = entry_with_run();
    let mut now_ms = HEARD_MS;
    for stalls in 1.. {
        now_ms += 500;
        entry.note_stall(400, now_ms);
        entry.handle_report(other, &[], load(), 1, now_ms);
        entry.tick(now_ms);
        let observed_ms = stalls * 100;
        assert_eq!(entry.take_losses().len(), usize::from(observed_ms >= LOST_MS), "{observed_ms}");
        if observed_ms >= LOST_MS {
            return;
        }
    }
}

/// Guards against the runs of an earlier process of an agent that count as over while their
/// upstream stood still with the entry.
#[test]
fn an_entrys_own_stall_ends_no_run_of_an_earlier_process() {
    let (mut entry, first, _) = entry_with_run();
    connect(&mut entry, "a", NEXT_AGENT, HEARD_MS);
    entry.note_stall(STALL_MS, WOKEN_MS);
    entry.tick(WOKEN_MS);
    assert_eq!(entry.take_losses(), []);
    entry.agent_heard(first, WOKEN_MS + 1);
    entry.tick(WOKEN_MS + LOST_MS - 1);
    assert_eq!(entry.take_losses(), []);
    entry.tick(WOKEN_MS + LOST_MS);
    assert_eq!(entry.take_losses().len(), 1);
}

/// Guards against an agent that reports runs as lost for its own stall, before its upstream has
/// had time to answer.
#[test]
fn an_agents_own_stall_loses_no_run() {
    let mut agent = Ledger::new(LedgerLimits::default());
    agent.set_upstream(upstream("a"));
    agent.note_owner_contact(ENTRY, 1);
    let answer = |running: &[(TaskKey, u32)], sent_ms: u64| LeaseAnswer {
        instance: InstanceId::without_start("a"),
        sent_ms,
        clock_ms: 50_000 + sent_ms,
        running: running.to_vec(),
        ..LeaseAnswer::default()
    };
    agent.handle_renewal_answer(&answer(&[], 1), 1);
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
    agent.handle_renewal_answer(&answer(&[(TASK, 1)], 60), 60);
    let events = |agent: &Ledger| -> Vec<_> {
        agent.reports(ENTRY).iter().map(|report| report.event).collect()
    };
    let woken_ms = 60 + STALL_MS;
    agent.note_stall(STALL_MS);
    agent.check_lease_lapse(woken_ms);
    assert_eq!(events(&agent), [RunEvent::Started], "its upstream was not asked yet");
    assert!(!agent.is_trusted(woken_ms), "nothing starts until it answers");
    agent.check_lease_lapse(woken_ms + 1_837);
    assert_eq!(events(&agent), [RunEvent::Started, RunEvent::Lost]);
}

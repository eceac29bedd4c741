//! Runs that go on at an agent where their entry does not want them.

use {
    std::sync::Arc,
    sycamorerail_decide::dispatch::{
        AgentKey, Command, Dispatch, DispatchLimits, JobRequest, KindParameters, StepRequest,
        StrayRun,
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
const CAPACITY: Resources = Resources { cpu_milli: 1_000, memory_mb: 1_000, accelerators: 0 };
const JOB: CallerJobId = CallerJobId(1);
const TASK: TaskKey = TaskKey { job: JOB, step: 0, index: 0 };

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

fn job(arrived_ms: u64) -> JobRequest {
    JobRequest {
        id: JOB,
        kind: Arc::new(KindParameters {
            name: "kind".to_owned(),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch: 2.0,
            target_ms: 1_000,
        }),
        spec: "spec".to_owned(),
        steps: vec![StepRequest {
            count: 1,
            need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
            run_ms: 5_000,
            ..StepRequest::default()
        }],
        arrived_ms,
        deadline_ms: arrived_ms + 20_000,
    }
}

fn connect(entry: &mut Dispatch, name: &str, now_ms: u64) -> AgentKey {
    let key = entry.agent_connected(name, AGENT, None, now_ms);
    entry.agent_ready(key, now_ms);
    entry.set_instance(key, upstream(name));
    entry.handle_report(key, &[], load(), 1, now_ms);
    key
}

fn reports(entry: &mut Dispatch, agent: AgentKey, reports: &[RunReport], now_ms: u64) {
    entry.message_sent(agent, None, now_ms);
    // Covers all messages that were sent so far.
    entry.handle_report(agent, reports, load(), now_ms, now_ms);
}

fn report(number: u64, run: u32, event: RunEvent) -> RunReport {
    RunReport { number, task: TASK, run, event }
}

/// Agents of the tasks that were placed, and of the jobs that were stopped.
fn orders(entry: &mut Dispatch) -> (Vec<AgentKey>, Vec<AgentKey>) {
    let (mut placed, mut stopped) = (Vec::new(), Vec::new());
    for command in entry.take_commands() {
        match command {
            Command::Place(agent, _) => placed.push(agent),
            Command::Stop(agent, JOB) => stopped.push(agent),
            _ => {}
        }
    }
    (placed, stopped)
}

/// An entry whose task runs at the first agent, which falls silent, and then runs at the second.
fn with_a_task_placed_again() -> (Dispatch, AgentKey, AgentKey, u64) {
    let limits = DispatchLimits::default();
    let mut entry = Dispatch::new(limits, ENTRY);
    let (first, second) = (connect(&mut entry, "first", 100), connect(&mut entry, "second", 100));
    entry.submit(job(100), 100).unwrap();
    let (placed, _) = orders(&mut entry);
    let [before] = placed[..] else { panic!("{placed:?}") };
    let after = if before == first { second } else { first };
    reports(&mut entry, before, &[report(1, 1, RunEvent::Started)], 110);
    let mut now_ms = 120;
    let (placed, _) = loop {
        if now_ms % 100 == 0 {
            reports(&mut entry, after, &[], now_ms);
        }
        entry.tick(now_ms);
        let orders = orders(&mut entry);
        if !orders.0.is_empty() {
            break orders;
        }
        assert!(now_ms < 10_000, "the task is not placed again");
        now_ms += 20;
    };
    assert_eq!(placed, [after]);
    entry.take_strays();
    (entry, before, after, now_ms)
}

/// Guards against a run that goes on beside the next one, as its agent still holds it when it
/// connects again.
#[test]
fn a_run_that_is_placed_elsewhere_is_stopped_at_the_agent_that_holds_it() {
    let (mut entry, before, _, now_ms) = with_a_task_placed_again();
    let name = entry.agent_silence(before, now_ms).unwrap().0.to_owned();
    entry.agent_connected(&name, AGENT, Some(&[(TASK, 1)]), now_ms);
    let (placed, stopped) = orders(&mut entry);
    assert_eq!((placed, stopped), (vec![], vec![before]));
    assert_eq!(entry.take_strays(), [StrayRun { agent: before, task: TASK, run: 1 }]);
}

/// The same where the agent reports its start late.
#[test]
fn a_run_that_starts_after_it_was_taken_for_lost_is_stopped() {
    let (mut entry, before, _, now_ms) = with_a_task_placed_again();
    reports(&mut entry, before, &[report(2, 1, RunEvent::Started)], now_ms);
    let (_, stopped) = orders(&mut entry);
    assert_eq!(stopped, [before]);
    assert_eq!(entry.take_strays(), [StrayRun { agent: before, task: TASK, run: 1 }]);
}

/// Guards against a run of an earlier submission that goes on, as its job has come again.
#[test]
fn a_run_of_an_earlier_submission_is_stopped_at_the_agent_that_holds_it() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let agent = connect(&mut entry, "agent", 100);
    let other = connect(&mut entry, "other", 100);
    entry.submit_unclaimed(job(110), 110).unwrap();
    entry.take_commands();
    entry.agent_connected("agent", AGENT, Some(&[(TASK, 1)]), 120);
    entry.agent_connected("other", AGENT, Some(&[]), 120);
    let (placed, stopped) = orders(&mut entry);
    assert_eq!((placed, stopped), (vec![], vec![agent]));
    assert_ne!(agent, other);
}

/// Guards against a stop of a run that is wanted.
#[test]
fn a_run_that_goes_on_where_it_was_placed_is_not_stopped() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let agent = connect(&mut entry, "agent", 100);
    entry.submit(job(100), 100).unwrap();
    entry.take_commands();
    reports(&mut entry, agent, &[report(1, 1, RunEvent::Started)], 110);
    entry.agent_connected("agent", AGENT, Some(&[(TASK, 1)]), 120);
    let (_, stopped) = orders(&mut entry);
    assert_eq!(stopped, []);
    assert_eq!(entry.take_strays(), []);
}

/// Guards against a run that goes on as its job has ended since it was taken for lost.
#[test]
fn a_run_of_a_job_that_has_ended_is_stopped_as_it_starts() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let agent = connect(&mut entry, "agent", 100);
    reports(&mut entry, agent, &[report(1, 1, RunEvent::Started)], 110);
    let (_, stopped) = orders(&mut entry);
    assert_eq!(stopped, [agent]);
    assert_eq!(entry.take_strays(), []);
}

/// Guards against a stop that ends what the same hello has placed again.
#[test]
fn a_run_is_stopped_before_its_task_is_placed_there_again() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let agent = connect(&mut entry, "agent", 100);
    entry.submit(job(100), 100).unwrap();
    entry.take_commands();
    // The run that it was given is lost, and one is held that it was not given.
    entry.agent_connected("agent", AGENT, Some(&[(TASK, 9)]), 120);
    let commands = entry.take_commands();
    assert!(
        matches!(commands[..], [Command::Stop(stopped, JOB), Command::Place(placed, _)]
            if stopped == agent && placed == agent),
        "{commands:?}",
    );
}

//! Agents whose connections to an entry follow each other closely: no run is taken for over while
//! its upstream still runs it.

use {
    std::sync::Arc,
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobRequest, KindParameters, StepRequest,
        },
        ledger::{LeaseAnswer, Ledger, LedgerLimits, StartAnswer},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, Resources, RunEvent, RunReport, StepPlacement, TaskKey,
            UpstreamInstance, UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
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

fn load(usable: bool) -> UpstreamLoad {
    UpstreamLoad { usable, capacity: CAPACITY, slowness_percent: 100, ..UpstreamLoad::default() }
}

fn job() -> JobRequest {
    JobRequest {
        id: JOB,
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
            count: 1,
            need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
            run_ms: 3_000,
            ..StepRequest::default()
        }],
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

fn connect_usable(entry: &mut Dispatch, name: &str, now_ms: u64) -> AgentKey {
    let key = connect(entry, name, FIRST, now_ms);
    entry.handle_report(key, &[], load(true), 1, now_ms);
    key
}

fn placements(entry: &mut Dispatch) -> Vec<(AgentKey, StepPlacement)> {
    let placed = entry.take_commands().into_iter().filter_map(|command| match command {
        Command::Place(agent, placement) => Some((agent, placement)),
        _ => None,
    });
    placed.collect()
}

/// Returns the agents that the entry orders runs of, with the numbers of the runs.
fn ordered(entry: &mut Dispatch) -> Vec<(AgentKey, u32)> {
    let placed = placements(entry).into_iter();
    placed.map(|(agent, placement)| (agent, placement.tasks[0].run)).collect()
}

/// Guards against a second run of a task while the first one runs: the report that an earlier
/// submission of the job did not start is sent again, and taken for one about the present run.
#[test]
fn a_resent_report_of_an_earlier_submission_ends_no_run() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let mut agent = Ledger::new(LedgerLimits::default());
    agent.set_upstream(upstream("a"));
    agent.note_owner_contact(ENTRY, 100);
    let instance = InstanceId::without_start("a");
    let listed = LeaseAnswer { instance, sent_ms: 100, clock_ms: 50_000, ..LeaseAnswer::default() };
    agent.handle_renewal_answer(&listed, 100);
    let key = connect_usable(&mut entry, "a", 100);
    // The caller of the first submission leaves before its task has started.
    let first = entry.submit(job(), 100).unwrap();
    let (_, placement) = placements(&mut entry).remove(0);
    agent.place(ENTRY, placement, 101);
    entry.cancel(first);
    agent.stop_job(ENTRY, JOB);
    entry.handle_report(key, &agent.reports(ENTRY), load(true), 1, 103);
    assert_eq!(entry.job_count(), 0);
    // It comes again before the next heartbeat confirms that report.
    entry.submit(job(), 203).unwrap();
    let (_, placement) = placements(&mut entry).remove(0);
    agent.place(ENTRY, placement, 204);
    agent.next_start(204).unwrap();
    agent.handle_start_answer(TASK, 1, StartAnswer::Started, 205);
    connect_usable(&mut entry, "b", 205);
    // The connection breaks, and the next hello tells what the agent has.
    let held = agent.held_runs(ENTRY);
    assert_eq!(held, [(TASK, 1)]);
    entry.apply_resent_reports("a", FIRST, &agent.reports(ENTRY), 210);
    entry.agent_connected("a", FIRST, Some(&held), 210);
    entry.agent_ready(key, 210);
    entry.tick(220);
    assert_eq!(ordered(&mut entry), [], "run 1 is at work beside the first agent");
}

/// Guards against a second run of a task while the first one still runs under the lease of an
/// earlier agent: the next agent connects twice before it has stopped that run.
#[test]
fn an_agents_second_connection_loses_no_run_of_an_earlier_agent() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let key = connect_usable(&mut entry, "a", 100);
    entry.submit(job(), 100).unwrap();
    entry.take_commands();
    let started = RunReport { number: 1, task: TASK, run: 1, event: RunEvent::Started };
    entry.handle_report(key, &[started], load(true), 2, 110);
    connect_usable(&mut entry, "b", 110);
    connect(&mut entry, "a", SECOND, 600);
    entry.handle_report(key, &[], load(false), 1, 600);
    entry.tick(605);
    assert_eq!(ordered(&mut entry), [], "the upstream may still run it");
    // The second agent has heard this entry, and has no runs of its own.
    entry.agent_disconnected(key);
    entry.agent_connected("a", SECOND, Some(&[]), 610);
    entry.agent_ready(key, 610);
    entry.handle_report(key, &[], load(false), 1, 610);
    entry.tick(615);
    assert_eq!(ordered(&mut entry), [], "as before");
}

/// Guards against a run that nobody stops: its stop went to the connection that the late hello of
/// a killed agent had made.
#[test]
fn a_stop_lost_with_the_connection_of_a_killed_agent_is_sent_again() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let key = connect(&mut entry, "a", SECOND, 100);
    entry.set_hello(key, 1);
    entry.handle_report(key, &[], load(true), 1, 100);
    let job = entry.submit(job(), 100).unwrap();
    entry.take_commands();
    let started = RunReport { number: 1, task: TASK, run: 1, event: RunEvent::Started };
    entry.handle_report(key, &[started], load(true), 2, 110);
    // Late hello of the killed agent.
    assert!(!entry.is_hello_overtaken("a", FIRST, 9));
    entry.agent_connected("a", FIRST, None, 300);
    entry.agent_ready(key, 300);
    // The caller leaves; the stop goes to that dead connection.
    entry.cancel(job);
    entry.take_commands();
    // The present agent connects again and holds the run.
    assert!(!entry.is_hello_overtaken("a", SECOND, 2));
    entry.agent_connected("a", SECOND, Some(&[(TASK, 1)]), 350);
    entry.agent_ready(key, 350);
    let commands = entry.take_commands();
    assert!(commands.contains(&Command::Stop(key, JOB)), "run 1 goes on: {commands:?}");
}

/// Guards against a report that is confirmed and not applied, as the late hello of a killed agent
/// came before it.
#[test]
fn a_report_resent_after_a_killed_agents_late_hello_is_applied() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let key = connect(&mut entry, "a", SECOND, 100);
    entry.handle_report(key, &[], load(true), 1, 100);
    entry.submit(job(), 100).unwrap();
    entry.take_commands();
    let started = RunReport { number: 1, task: TASK, run: 1, event: RunEvent::Started };
    entry.handle_report(key, &[started], load(true), 2, 110);
    entry.agent_connected("a", FIRST, None, 300);
    entry.agent_ready(key, 300);
    let done = RunReport { number: 2, task: TASK, run: 1, event: RunEvent::Done { run_ms: 200 } };
    entry.apply_resent_reports("a", SECOND, &[done], 350);
    entry.agent_connected("a", SECOND, Some(&[]), 350);
    entry.agent_ready(key, 350);
    entry.handle_report(key, &[], load(true), 1, 360);
    entry.tick(2_000);
    assert_eq!(entry.job_count(), 0, "the task is done, and its report confirmed");
}

/// Guards against a run that starts after it was lost: its placement waits to be sent as its agent
/// connects again, and goes over the new connection.
#[test]
fn a_placement_not_sent_before_a_hello_is_not_sent_after_it() {
    check_unsent_placement_is_lost(FIRST, Some(&[]));
}

/// Guards against the same where the agent has started again.
#[test]
fn a_placement_not_sent_before_a_new_agents_hello_is_not_sent_after_it() {
    check_unsent_placement_is_lost(SECOND, None);
}

fn check_unsent_placement_is_lost(process: Incarnation, held: Option<&[(TaskKey, u32)]>) {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    let key = connect_usable(&mut entry, "a", 100);
    entry.submit(job(), 100).unwrap();
    entry.agent_connected("a", process, held, 101);
    entry.agent_ready(key, 101);
    let mut sent = ordered(&mut entry);
    entry.handle_report(key, &[], load(true), 1, 103);
    sent.extend(ordered(&mut entry));
    let lost: Vec<_> = entry.take_losses().iter().map(|loss| (loss.agent, loss.run)).collect();
    assert_eq!(lost, [(key, 1)]);
    assert_eq!(sent, [(key, 2)], "run 1 is lost");
}

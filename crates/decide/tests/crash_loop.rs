//! An agent that starts again and again, and a job that had a task there.

use {
    std::sync::Arc,
    sycamorerail_decide::dispatch::{
        AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobRequest, KindParameters,
        StepRequest,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, Resources, RunEvent, RunReport, TaskKey, UpstreamInstance,
            UpstreamLoad,
        },
    },
};

const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
const JOB: CallerJobId = CallerJobId(1);
const TASK: TaskKey = TaskKey { job: JOB, step: 0, index: 0 };

fn load() -> UpstreamLoad {
    UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    }
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
            target_ms: 10_000,
        }),
        spec: "spec".to_owned(),
        steps: vec![StepRequest {
            count: 1,
            need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
            run_ms: 500,
            ..StepRequest::default()
        }],
        arrived_ms: 100,
        deadline_ms: 20_000,
    }
}

fn connect(entry: &mut Dispatch, name: &str, process: u64, now_ms: u64) -> AgentKey {
    let key = entry.agent_connected(name, Incarnation(process), None, now_ms);
    entry.set_hello(key, 1);
    entry.agent_ready(key, now_ms);
    entry.set_instance(
        key,
        UpstreamInstance {
            id: InstanceId::without_start(name),
            order_fence: 0,
            pool: "desk".to_owned(),
            capacity: CAPACITY,
            labels: Vec::new(),
            leaving: false,
        },
    );
    key
}

/// Returns when the task is ordered elsewhere, if its agent starts again each so many milliseconds
/// from 300 ms on, and never finds its upstream usable.
fn ordered_elsewhere_ms(each_ms: usize) -> Option<u64> {
    let mut entry = Dispatch::new(DispatchLimits::default(), Incarnation(7));
    let key = connect(&mut entry, "a", 1, 100);
    entry.handle_report(key, &[], load(), 1, 100);
    entry.tick(100);
    entry.submit(job(), 100).unwrap();
    entry.take_commands();
    let started = RunReport { number: 1, task: TASK, run: 1, event: RunEvent::Started };
    entry.handle_report(key, &[started], load(), 2, 110);
    let other = connect(&mut entry, "b", 2, 120);
    let starts: Vec<_> = (300..20_000).step_by(each_ms).collect();
    for (heard, now_ms) in (1..).zip((120..20_000).step_by(20)) {
        if starts.contains(&now_ms) {
            connect(&mut entry, "a", 10 + now_ms, now_ms);
        }
        entry.handle_report(other, &[], load(), heard, now_ms);
        entry.tick(now_ms);
        for command in entry.take_commands() {
            match command {
                Command::Place(agent, _) if agent == other => return Some(now_ms),
                Command::Answer(_, answer) => {
                    assert_ne!(answer, JobAnswer::Completed);
                    return None;
                }
                _ => {}
            }
        }
        entry.message_sent(other, None, now_ms);
    }
    None
}

/// The same with an agent that has started again once.
#[test]
fn a_task_of_an_agent_that_has_started_again_is_ordered_elsewhere() {
    let ordered_ms = ordered_elsewhere_ms(100_000);
    assert!(ordered_ms.is_some_and(|ms| ms <= 300 + 1_500 + 20), "{ordered_ms:?}");
}

/// Guards against a job that waits until its deadline though another agent has room: each start of
/// its agent puts off the time by which runs of its earlier processes count as over.
#[test]
fn a_task_of_an_agent_that_starts_again_and_again_is_ordered_elsewhere() {
    let ordered_ms = ordered_elsewhere_ms(1_200);
    assert!(ordered_ms.is_some_and(|ms| ms <= 5_000), "ordered elsewhere at {ordered_ms:?} ms");
}

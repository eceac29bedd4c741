//! A later run of a task that its agent still runs: its entry counts the earlier one as over.

use {
    sycamorerail_decide::ledger::{
        EndKind, LeaseAnswer, Ledger, LedgerLimits, RunEnd, StartAnswer,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, NotStarted, PlacementTarget, Resources, RunEvent,
            StepPlacement, TaskKey, TaskStart, UpstreamInstance,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const TASK: TaskKey = TaskKey { job: CallerJobId(1), step: 0, index: 0 };
const REFUSED: RunEvent = RunEvent::NotStarted(NotStarted::Refused);

fn instance() -> InstanceId {
    InstanceId::without_start("a")
}

fn order(run: u32) -> StepPlacement {
    StepPlacement {
        job: TASK.job,
        step: TASK.step,
        target: PlacementTarget {
            instance: instance(),
            pool: "desk".to_owned(),
            required_label: None,
        },
        spec: "spec".to_owned(),
        tasks: vec![TaskStart { index: TASK.index, run }],
        need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
        run_ms: 300,
        priority: 0,
        objective_in_ms: 1_000,
        give_up_in_ms: 5_000,
        age_ms: 0,
        job_mostly_started: false,
        suspect: false,
    }
}

fn renew(ledger: &mut Ledger, sent_ms: u64, running: &[(TaskKey, u32)], ended: &[RunEnd]) {
    let answer = LeaseAnswer {
        instance: instance(),
        fence: ledger.fence(),
        sent_ms,
        clock_ms: 50_000 + sent_ms,
        running: running.to_vec(),
        ended: ended.to_vec(),
    };
    ledger.handle_renewal_answer(&answer, sent_ms + 1);
}

/// An agent that has this run of the task.
fn agent_with_run() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(UpstreamInstance {
        id: instance(),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: 8_000, memory_mb: 100, accelerators: 0 },
        labels: Vec::new(),
        leaving: false,
    });
    ledger.note_owner_contact(ENTRY, 100);
    renew(&mut ledger, 100, &[], &[]);
    ledger.place(ENTRY, order(1), 102);
    ledger
}

fn events(ledger: &Ledger) -> Vec<(u32, RunEvent)> {
    ledger.reports(ENTRY).iter().map(|report| (report.run, report.event)).collect()
}

/// Guards against two runs of a task: a refusal sends it to another agent while the earlier run,
/// which is the reason, goes on.
#[test]
fn a_later_run_is_refused_once_the_earlier_one_is_over() {
    let mut ledger = agent_with_run();
    ledger.next_start(102).unwrap();
    ledger.handle_start_answer(TASK, 1, StartAnswer::Started, 103);
    ledger.place(ENTRY, order(2), 110);
    assert_eq!(events(&ledger), [(1, RunEvent::Started)], "run 1 goes on");
    assert_eq!(ledger.stops_due(110), [(TASK, 1)]);
    let mut held = ledger.held_runs(ENTRY);
    held.sort_unstable();
    assert_eq!(held, [(TASK, 1), (TASK, 2)], "a hello must not have it placed elsewhere");
    ledger.report_missing_runs(ENTRY, &held);
    assert_eq!(events(&ledger), [(1, RunEvent::Started)]);
    ledger.handle_stop_confirmation(TASK, 1, 111);
    renew(&mut ledger, 112, &[(TASK, 1)], &[]);
    assert_eq!(events(&ledger), [(1, RunEvent::Started)]);
    let end = RunEnd { number: 1, task: TASK, run: 1, kind: EndKind::Stopped };
    renew(&mut ledger, 120, &[], &[end]);
    assert_eq!(events(&ledger), [(1, RunEvent::Started), (1, RunEvent::Stopped), (2, REFUSED)]);
    assert_eq!(ledger.held_runs(ENTRY), []);
}

/// Guards against a detour over another agent: nothing of the earlier run has started.
#[test]
fn a_later_run_takes_the_place_of_one_that_waits() {
    let mut ledger = agent_with_run();
    ledger.place(ENTRY, order(2), 110);
    let start = ledger.next_start(110).unwrap();
    assert_eq!((start.task, start.run), (TASK, 2));
    assert!(ledger.next_start(110).is_none());
}

//! Rates of arriving work, by which entries tell how much of the capacity more urgent work takes.

use {
    sycamorerail_decide::ledger::{Ledger, LedgerLimits},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, PlacementTarget, Resources, StepPlacement, TaskStart,
            UpstreamInstance,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(UpstreamInstance {
        id: InstanceId::without_start("one"),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: CAPACITY,
        labels: Vec::new(),
        leaving: false,
    });
    ledger
}

/// Places a task of 1 core for 100 ms.
fn place(ledger: &mut Ledger, job: u64, priority: u8, now_ms: u64) {
    place_run(ledger, job, 1, priority, now_ms);
}

fn place_run(ledger: &mut Ledger, job: u64, run: u32, priority: u8, now_ms: u64) {
    ledger.note_owner_contact(ENTRY, now_ms);
    let placement = StepPlacement {
        job: CallerJobId(job),
        step: 0,
        target: PlacementTarget {
            instance: InstanceId::without_start("one"),
            pool: "desk".to_owned(),
            required_label: None,
        },
        spec: String::new(),
        tasks: vec![TaskStart { index: 0, run }],
        need: Resources { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 },
        run_ms: 100,
        priority,
        objective_in_ms: 10_000,
        give_up_in_ms: 10_000,
        job_mostly_started: false,
        age_ms: 0,
        suspect: false,
    };
    ledger.place(ENTRY, placement, now_ms);
}

#[test]
fn rate_of_each_class() {
    let mut ledger = ledger();
    // Every 20 ms a task of 0.1 core-seconds: 5 cores.
    for number in 0..200 {
        place(&mut ledger, number, 1, number * 20);
    }
    let [urgent, next, ..] = ledger.load(4_000).arriving_milli;
    assert_eq!(urgent, 0);
    assert!((4_700..=5_300).contains(&next), "{next}");
}

/// A burst that is over must not keep entries from accepting work.
#[test]
fn rate_after_a_burst() {
    let mut ledger = ledger();
    (0..100).for_each(|number| place(&mut ledger, number, 0, number));
    assert!(ledger.load(100).arriving_milli[0] > 10_000);
    assert!(ledger.load(2_600).arriving_milli[0] < 200);
}

/// A message that arrives twice is one task.
#[test]
fn repeated_placement_counts_once() {
    let (mut once, mut twice) = (ledger(), ledger());
    place(&mut once, 1, 0, 0);
    (0..2).for_each(|_| place(&mut twice, 1, 0, 0));
    assert_eq!(once.load(0).arriving_milli, twice.load(0).arriving_milli);
}

/// A task that was recalled from another agent has arrived there already.
#[test]
fn recalled_task_counts_once() {
    let mut ledger = ledger();
    place_run(&mut ledger, 1, 2, 0, 0);
    assert_eq!(ledger.load(0).arriving_milli, [0; 4]);
}

//! Deadlines on the clock of the upstream, which may be slow and stands still while the VM is
//! suspended.

use {
    sycamorerail_decide::ledger::{LeaseAnswer, Ledger, LedgerLimits, StartAnswer},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, PlacementTarget, Resources, RunEvent, StepPlacement, TaskKey,
            TaskStart, UpstreamInstance,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const JOB: CallerJobId = CallerJobId(1);
const TASK: TaskKey = TaskKey { job: JOB, step: 0, index: 0 };
/// The upstream's clock when the agent's clock is at 0.
const CLOCK_MS: u64 = 50_000;

fn renew(ledger: &mut Ledger, now_ms: u64, clock_ms: u64, running: &[(TaskKey, u32)]) {
    let answer = LeaseAnswer {
        instance: InstanceId::without_start("a"),
        sent_ms: now_ms,
        clock_ms,
        running: running.to_vec(),
        ..LeaseAnswer::default()
    };
    ledger.handle_renewal_answer(&answer, now_ms);
}

/// Returns a ledger whose upstream answered a renewal at 1 ms.
fn ready_ledger() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(UpstreamInstance {
        id: InstanceId::without_start("a"),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        leaving: false,
    });
    ledger.note_owner_contact(ENTRY, 1);
    renew(&mut ledger, 1, CLOCK_MS + 1, &[]);
    ledger
}

fn place(ledger: &mut Ledger, now_ms: u64) {
    let placement = StepPlacement {
        job: JOB,
        step: 0,
        target: PlacementTarget {
            instance: InstanceId::without_start("a"),
            pool: "desk".to_owned(),
            required_label: None,
        },
        spec: "spec".to_owned(),
        tasks: vec![TaskStart { index: 0, run: 1 }],
        need: Resources { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 },
        run_ms: 100,
        priority: 1,
        objective_in_ms: 400,
        give_up_in_ms: 20_000,
        job_mostly_started: false,
        age_ms: 0,
        suspect: false,
    };
    ledger.place(ENTRY, placement, now_ms);
}

fn is_lost(ledger: &Ledger) -> bool {
    ledger.reports(ENTRY).iter().any(|report| report.event == RunEvent::Lost)
}

/// Guards against a run that is reported as lost while it runs: the last renewal is carried out
/// late and not answered, and the upstream's clock is as slow as it may be.
#[test]
fn no_run_is_lost_before_a_slow_clock_ends_its_lease() {
    const ANSWERED_MS: u64 = 10;
    const CALL_MS: u64 = 40;
    let lease_ms = LedgerLimits::default().lease_ms;
    let slow_clock_ms = |now_ms: u64| CLOCK_MS + now_ms * 98 / 100;
    let mut ledger = ready_ledger();
    place(&mut ledger, 2);
    ledger.next_start(2).unwrap();
    ledger.handle_start_answer(TASK, 1, StartAnswer::Started, 3);
    renew(&mut ledger, ANSWERED_MS, slow_clock_ms(ANSWERED_MS), &[(TASK, 1)]);
    // The entry is heard all the time, the upstream no more; it carries each call out late.
    let mut granted_clock_ms = 0;
    for now_ms in ANSWERED_MS..5_000 {
        ledger.note_owner_contact(ENTRY, now_ms);
        ledger.check_lease_lapse(now_ms);
        if is_lost(&ledger) {
            let clock_ms = slow_clock_ms(now_ms);
            assert!(
                clock_ms >= granted_clock_ms,
                "{clock_ms} of {granted_clock_ms} at {now_ms} ms"
            );
            return;
        }
        if let Some(until_clock_ms) = ledger.lease_until_clock_ms(now_ms) {
            granted_clock_ms = until_clock_ms.min(slow_clock_ms(now_ms + CALL_MS) + lease_ms);
        }
    }
    panic!("never lost");
}

/// Guards against an order that is carried out long after it was sent: after a suspension the
/// upstream's clock is behind the one that the deadline is computed by.
#[test]
fn a_suspension_does_not_extend_the_time_for_a_start() {
    const SUSPENDED_MS: u64 = 500;
    let mut ledger = ready_ledger();
    let now_ms = 11 + SUSPENDED_MS;
    ledger.note_suspension(SUSPENDED_MS, now_ms);
    ledger.note_owner_contact(ENTRY, now_ms);
    place(&mut ledger, now_ms);
    let order = ledger.next_start(now_ms).unwrap();
    let within_ms = order.late_after_clock_ms - (CLOCK_MS + 11);
    assert!(within_ms <= LedgerLimits::default().start_within_ms, "{within_ms} ms");
}

//! Tests upstreams that restart, under the same id or another: which instance the ledger
//! accepts as the current one, and how orders to the previous instance end.

use {
    proptest::prelude::*,
    sycamorerail_decide::ledger::{
        AnnouncementOutcome, EndKind, InstanceEnd, LeaseAnswer, Ledger, LedgerLimits, RunEnd,
        StartAnswer, StartRefusal, WithdrawalOutcome,
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
/// Start times of instances under one id.
const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 60_000;
const CLOCK_MS: u64 = 50_000;
/// Time after the last answer at which the lease of an upstream has certainly lapsed.
const LAPSE_MS: u64 = 1_837;

fn id(started_unix_ms: u64) -> InstanceId {
    InstanceId { id: "a".to_owned(), started_unix_ms: Some(started_unix_ms) }
}

fn instance(id: InstanceId) -> UpstreamInstance {
    UpstreamInstance {
        id,
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        leaving: false,
    }
}

fn task(index: u16) -> TaskKey {
    TaskKey { job: CallerJobId(1), step: 0, index }
}

/// Returns an answer to a renewal with the current fence.
fn answer(ledger: &Ledger, instance: InstanceId, sent_ms: u64) -> LeaseAnswer {
    let fence = ledger.fence();
    LeaseAnswer { instance, fence, sent_ms, clock_ms: CLOCK_MS + sent_ms, ..LeaseAnswer::default() }
}

fn renew(ledger: &mut Ledger, instance: InstanceId, now_ms: u64) {
    let answer = answer(ledger, instance, now_ms);
    ledger.handle_renewal_answer(&answer, now_ms);
}

/// Returns a ledger that took a fence for its upstream at 1 ms and got an answer to a renewal
/// at 2 ms.
fn ready_ledger() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.handle_announcement(instance(id(FIRST)), 0);
    ledger.note_owner_contact(ENTRY, 1);
    let unfenced = answer(&ledger, id(FIRST), 1);
    ledger.handle_fence_answer(&unfenced, 1);
    renew(&mut ledger, id(FIRST), 2);
    assert!(ledger.load(2).usable);
    ledger
}

/// Otherwise the announcements of an upstream that states its start time only in its answers
/// would be doubted for ever.
#[test]
fn an_announcement_without_a_start_time_is_of_the_current_instance() {
    let mut ledger = ready_ledger();
    let told = UpstreamInstance { leaving: true, ..instance(InstanceId::without_start("a")) };
    assert_eq!(ledger.handle_announcement(told, 3), AnnouncementOutcome::Accepted);
    assert_eq!(ledger.current_instance(), Some(&id(FIRST)));
    assert!(ledger.announced_instance().unwrap().leaving);
}

/// Returns a ready ledger with a task that was ordered at 10 ms.
fn ledger_with_order() -> Ledger {
    let mut ledger = ready_ledger();
    let placement = StepPlacement {
        job: CallerJobId(1),
        step: 0,
        target: PlacementTarget {
            instance: id(FIRST),
            pool: "desk".to_owned(),
            required_label: None,
        },
        spec: "spec".to_owned(),
        tasks: vec![TaskStart { index: 0, run: 1 }],
        need: Resources { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 },
        run_ms: 100,
        priority: 1,
        objective_in_ms: 400,
        give_up_in_ms: 2_000,
        job_mostly_started: false,
        age_ms: 0,
        suspect: false,
    };
    ledger.place(ENTRY, placement, 10);
    ledger.next_start(10).unwrap();
    ledger
}

/// Returns a ready ledger with a task that runs in the first instance.
fn ledger_with_run() -> Ledger {
    let mut ledger = ledger_with_order();
    ledger.handle_start_answer(task(0), 1, StartAnswer::Started, 11);
    let mut listed = answer(&ledger, id(FIRST), 20);
    listed.running.push((task(0), 1));
    ledger.handle_renewal_answer(&listed, 21);
    ledger
}

fn events(ledger: &Ledger) -> Vec<RunEvent> {
    ledger.reports(ENTRY).iter().map(|report| report.event).collect()
}

#[test]
fn another_start_time_in_an_answer_ends_the_instance() {
    let mut ledger = ledger_with_run();
    renew(&mut ledger, id(SECOND), 30);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Crashed]);
    assert_eq!(ledger.current_instance(), Some(&id(SECOND)));
    assert_eq!(ledger.announced_instance(), None, "it has not announced itself");
}

#[test]
fn an_earlier_start_time_in_an_answer_ends_the_instance() {
    let mut ledger = ledger_with_run();
    renew(&mut ledger, id(FIRST - 1), 30);
    assert_eq!(ledger.current_instance(), Some(&id(FIRST - 1)));
}

#[test]
fn an_answer_to_a_call_before_the_restart_does_not_bring_the_old_instance_back() {
    let mut ledger = ledger_with_run();
    let late = answer(&ledger, id(FIRST), 30);
    renew(&mut ledger, id(SECOND), 30);
    ledger.handle_renewal_answer(&late, 35);
    assert_eq!(ledger.current_instance(), Some(&id(SECOND)));
}

#[test]
fn an_announcement_of_another_start_time_is_settled_by_the_next_answer() {
    for (announced, answers) in [(SECOND, SECOND), (SECOND, FIRST), (FIRST - 1, FIRST)] {
        let mut ledger = ledger_with_run();
        assert_eq!(
            ledger.handle_announcement(instance(id(announced)), 30),
            AnnouncementOutcome::Doubted
        );
        assert_eq!(events(&ledger), [RunEvent::Started]);
        renew(&mut ledger, id(answers), 31);
        assert_eq!(ledger.current_instance(), Some(&id(answers)));
        let known = UpstreamInstance { order_fence: ledger.fence(), ..instance(id(answers)) };
        assert_eq!(ledger.announced_instance(), Some(&known));
    }
}

#[test]
fn a_doubt_that_was_settled_is_forgotten() {
    let mut ledger = ledger_with_run();
    ledger.handle_announcement(instance(id(SECOND)), 30);
    renew(&mut ledger, id(FIRST), 31);
    ledger.end_instance(InstanceEnd::Crashed);
    assert_eq!(ledger.current_instance(), None);
}

/// If an announcement of an earlier instance arrived while renewals went unanswered, runs were
/// declared lost long before their lease had lapsed.
#[test]
fn a_silent_instance_is_current_until_its_lease_has_lapsed() {
    for other in [id(SECOND), InstanceId::without_start("b")] {
        let mut ledger = ledger_with_run();
        ledger.check_lease_lapse(1_500);
        assert_eq!(
            ledger.handle_announcement(instance(other.clone()), 1_500),
            AnnouncementOutcome::Doubted
        );
        assert_eq!(events(&ledger), [RunEvent::Started]);
        ledger.check_lease_lapse(20 + LAPSE_MS);
        assert_eq!(
            ledger.handle_announcement(instance(other), 2_000),
            AnnouncementOutcome::Accepted
        );
    }
}

#[test]
fn a_withdrawal_is_settled_by_the_next_answer() {
    let mut ledger = ledger_with_run();
    assert_eq!(ledger.handle_withdrawal("b", 30), WithdrawalOutcome::Ignored);
    assert_eq!(ledger.handle_withdrawal("a", 30), WithdrawalOutcome::Doubted);
    assert!(!ledger.load(30).usable);
    let mut listed = answer(&ledger, id(FIRST), 31);
    listed.running.push((task(0), 1));
    ledger.handle_renewal_answer(&listed, 32);
    assert!(ledger.load(32).usable);
    assert_eq!(events(&ledger), [RunEvent::Started]);
}

#[test]
fn a_withdrawal_that_no_answer_contradicts_ends_with_the_lease() {
    let mut ledger = ledger_with_run();
    ledger.handle_withdrawal("a", 30);
    ledger.check_lease_lapse(20 + LAPSE_MS);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Lost]);
    assert_eq!(ledger.current_instance(), None);
}

#[test]
fn an_order_without_an_answer_waits_for_the_next_instance() {
    let mut ledger = ledger_with_order();
    ledger.handle_start_answer(task(0), 1, StartAnswer::Unanswered, 30);
    renew(&mut ledger, id(SECOND), 31);
    assert_eq!(events(&ledger), [], "the next instance may carry it out");
    assert_eq!(ledger.load(32).taken.cpu_milli, 1_000);
    let unfenced = LeaseAnswer { fence: 1, ..answer(&ledger, id(SECOND), 40) };
    ledger.handle_renewal_answer(&unfenced, 41);
    assert_eq!(events(&ledger), [], "later orders with that fence are carried out");
    renew(&mut ledger, id(SECOND), 50);
    assert_eq!(events(&ledger), [RunEvent::Crashed]);
}

#[test]
fn an_order_that_the_next_instance_carried_out_runs_there() {
    let mut ledger = ledger_with_order();
    renew(&mut ledger, id(SECOND), 31);
    let mut listed = answer(&ledger, id(SECOND), 40);
    listed.running.push((task(0), 1));
    ledger.handle_renewal_answer(&listed, 41);
    assert_eq!(events(&ledger), [RunEvent::Started]);
    let mut over = answer(&ledger, id(SECOND), 50);
    over.ended.push(RunEnd { number: 1, task: task(0), run: 1, kind: EndKind::Done });
    ledger.handle_renewal_answer(&over, 51);
    assert!(matches!(events(&ledger)[..], [RunEvent::Started, RunEvent::Done { .. }]));
}

/// An order that arrived after the restart was answered like one before it: the run was
/// declared lost while the next instance ran it.
#[test]
fn a_start_answered_after_the_last_list_may_run_in_the_next_instance() {
    let mut ledger = ledger_with_order();
    ledger.handle_start_answer(task(0), 1, StartAnswer::Started, 30);
    renew(&mut ledger, id(SECOND), 31);
    assert_eq!(events(&ledger), [RunEvent::Started]);
    renew(&mut ledger, id(SECOND), 40);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Crashed]);
}

#[test]
fn an_order_that_the_next_instance_refuses_did_not_start() {
    let mut ledger = ledger_with_order();
    renew(&mut ledger, id(SECOND), 31);
    let refused = StartAnswer::Refused(StartRefusal::Fenced);
    ledger.handle_start_answer(task(0), 1, refused, 35);
    assert_eq!(events(&ledger), [RunEvent::NotStarted(NotStarted::NoUpstream)]);
}

#[test]
fn an_order_to_an_upstream_that_is_gone_is_lost_with_its_lease() {
    let mut ledger = ledger_with_order();
    ledger.end_instance(InstanceEnd::Crashed);
    assert_eq!(events(&ledger), []);
    ledger.check_lease_lapse(2 + LAPSE_MS);
    assert_eq!(events(&ledger), [RunEvent::Crashed]);
}

#[test]
fn an_order_is_lost_at_once_where_another_id_answers() {
    let mut ledger = ledger_with_order();
    ledger.end_instance(InstanceEnd::Replaced);
    assert_eq!(events(&ledger), [RunEvent::Crashed]);
}

#[test]
fn an_upstream_that_said_that_it_leaves_has_not_crashed() {
    let mut ledger = ledger_with_run();
    ledger.handle_announcement(UpstreamInstance { leaving: true, ..instance(id(FIRST)) }, 25);
    renew(&mut ledger, id(SECOND), 30);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Lost]);
}

#[test]
fn ends_of_the_next_instance_are_numbered_anew() {
    let mut ledger = ledger_with_run();
    let mut over = answer(&ledger, id(FIRST), 30);
    over.ended.push(RunEnd { number: 9, task: task(0), run: 1, kind: EndKind::Done });
    ledger.handle_renewal_answer(&over, 30);
    assert_eq!(ledger.last_acknowledged_end(), 9);
    renew(&mut ledger, id(SECOND), 40);
    assert_eq!(ledger.last_acknowledged_end(), 0);
}

/// Takes fences until one is at least `seen`; returns the number of calls.
fn calls_until_above(ledger: &mut Ledger, seen: u64) -> usize {
    for call in 1..20 {
        if ledger.fence() >= seen {
            return call;
        }
        ledger.handle_fence_refusal(ledger.fence(), CLOCK_MS);
    }
    panic!("{} stays below {seen}", ledger.fence());
}

proptest! {
    /// The time of day may have been set back by years since an earlier agent's last order.
    #[test]
    fn a_fence_left_by_an_earlier_agent_is_overtaken(start in FIRST..2 * FIRST, ahead in 0..FIRST) {
        let mut ledger = Ledger::new(LedgerLimits::default());
        ledger.handle_announcement(instance(id(start)), 0);
        prop_assert!(calls_until_above(&mut ledger, start + CLOCK_MS + ahead) <= 4);
        prop_assert!(ledger.fence() < 1 << 53);
    }

    /// Orders for an earlier instance are refused, whatever the start times of the instances
    /// under the id.
    #[test]
    fn a_fence_never_falls_under_an_id(starts in proptest::collection::vec(0..2 * FIRST, 1..20)) {
        let mut ledger = ready_ledger();
        let mut last = (ledger.fence(), id(FIRST));
        for (number, start) in (0_u64..).zip(starts) {
            renew(&mut ledger, id(start), 100 + 10 * number);
            prop_assert!(ledger.fence() > last.0 || id(start) == last.1);
            last = (ledger.fence(), id(start));
        }
    }
}

#[test]
fn calls_that_were_refused_together_raise_the_fence_once() {
    let mut ledger = ready_ledger();
    let before = ledger.fence();
    for _ in 0..4 {
        ledger.handle_fence_refusal(before, CLOCK_MS + 10);
    }
    assert_eq!(ledger.fence(), FIRST + CLOCK_MS + 11);
}

/// The time of day was set back, and the agent restarted after the upstream. Late orders of the
/// previous agent carried a higher fence and were carried out.
#[test]
fn a_recorded_instance_keeps_late_orders_of_an_earlier_agent_out() {
    let earlier = ready_ledger();
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(instance(id(FIRST)));
    let answer = answer(&ledger, id(FIRST - 100_000), 10);
    ledger.handle_fence_answer(&answer, 11);
    assert!(ledger.is_fenced());
    assert!(ledger.fence() > earlier.fence());
}

/// The next run of the agent knew only the last instance, and orders for the instance before it
/// carried a higher fence.
#[test]
fn the_next_run_of_the_agent_knows_the_fence_of_all_instances() {
    let mut earlier = ready_ledger();
    renew(&mut earlier, id(0), 10);
    earlier.handle_announcement(instance(id(0)), 11);
    let known = earlier.proven_instance().unwrap();
    assert_eq!((&known.id, known.order_fence), (&id(0), earlier.fence()));
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.handle_announcement(known.clone(), 0);
    let answer = answer(&ledger, id(FIRST - 100_000), 10);
    ledger.handle_fence_answer(&answer, 11);
    assert!(ledger.is_fenced());
    assert!(ledger.fence() > earlier.fence());
}

/// The upstream announced itself before the record of its fence was read.
#[test]
fn a_fence_that_is_known_late_is_overtaken() {
    let mut ledger = ready_ledger();
    let above = ledger.fence() + 1_000;
    ledger.restore_fence(&UpstreamInstance { order_fence: above, ..instance(id(SECOND)) });
    assert!(ledger.fence() > above);
    assert_eq!(ledger.proven_instance().unwrap().order_fence, ledger.fence());
}

/// Otherwise each new connection to an entry that repeats this run's own fence would raise the
/// fence, and each raise would be reported again.
#[test]
fn its_own_fence_does_not_raise_the_fence() {
    let mut ledger = ready_ledger();
    let told = ledger.proven_instance().unwrap().clone();
    ledger.restore_fence(&told);
    assert_eq!(ledger.fence(), told.order_fence);
}

/// Otherwise a foreign record could leave no valid number above it.
#[test]
fn a_fence_that_readers_of_json_would_round_is_not_believed() {
    let mut ledger = ready_ledger();
    let before = ledger.fence();
    ledger.restore_fence(&UpstreamInstance { order_fence: u64::MAX, ..instance(id(FIRST)) });
    assert_eq!(ledger.fence(), before);
}

/// Entries placed tasks at an upstream whose load said that it was usable, and the agent handed
/// them back.
#[test]
fn an_instance_that_has_not_announced_itself_is_not_usable() {
    let mut ledger = ledger_with_run();
    renew(&mut ledger, id(SECOND), 30);
    renew(&mut ledger, id(SECOND), 40);
    assert!(!ledger.load(41).usable);
    ledger.handle_announcement(instance(id(SECOND)), 50);
    assert!(ledger.load(51).usable);
}

/// The fence was computed from it, and no later run of the agent could exceed it.
#[test]
fn a_start_time_of_another_writer_raises_no_fence() {
    for start in [1 << 42, 1 << 53, u64::MAX] {
        let mut ledger = Ledger::new(LedgerLimits::default());
        ledger.handle_announcement(instance(id(start)), 0);
        let answer = answer(&ledger, id(FIRST), 1);
        ledger.handle_fence_answer(&answer, 1);
        assert_eq!(ledger.current_instance(), Some(&id(FIRST)), "{start}");
        assert!(ledger.fence() < 2 * FIRST, "{start}: {}", ledger.fence());
    }
}

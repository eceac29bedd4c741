//! Upstreams that start again, under their id or another: which life is believed, and what
//! becomes of what was ordered of the one before.

use {
    proptest::prelude::*,
    sycamorerail_decide::ledger::{
        AnnouncementOutcome, EndKind, InstanceEnd, LeaseAnswer, Ledger, LedgerLimits, RunEnd,
        StartAnswer, StartRefusal, WithdrawalOutcome,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, NotStarted, Resources, RunEvent, StepPlacement, TaskKey,
            TaskStart, UpstreamInstance,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
/// Starts of lives under one id.
const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 60_000;
const CLOCK_MS: u64 = 50_000;
/// From its last answer on the lease of an upstream has surely lapsed.
const LAPSE_MS: u64 = 1_820;

fn id(started_unix_ms: u64) -> InstanceId {
    InstanceId { id: "a".to_owned(), started_unix_ms: Some(started_unix_ms) }
}

fn life(id: InstanceId) -> UpstreamInstance {
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

/// An answer to a renewal with the present fence.
fn answer(ledger: &Ledger, life: InstanceId, sent_ms: u64) -> LeaseAnswer {
    let fence = ledger.fence();
    LeaseAnswer {
        instance: life,
        fence,
        sent_ms,
        clock_ms: CLOCK_MS + sent_ms,
        ..LeaseAnswer::default()
    }
}

fn renew(ledger: &mut Ledger, life: InstanceId, now_ms: u64) {
    let answer = answer(ledger, life, now_ms);
    ledger.handle_renewal_answer(&answer, now_ms);
}

/// A ledger whose upstream was fenced at 1 ms and answered at 2 ms.
fn ready() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.handle_announcement(life(id(FIRST)), 0);
    ledger.note_owner_contact(ENTRY, 1);
    let unfenced = answer(&ledger, id(FIRST), 1);
    ledger.handle_fence_answer(&unfenced, 1);
    renew(&mut ledger, id(FIRST), 2);
    assert!(ledger.load(2).usable);
    ledger
}

/// An upstream that tells its start in its answers only would be doubted for ever.
#[test]
fn an_announcement_without_a_start_is_of_the_present_life() {
    let mut ledger = ready();
    let told = UpstreamInstance { leaving: true, ..life(InstanceId::without_start("a")) };
    assert_eq!(ledger.handle_announcement(told, 3), AnnouncementOutcome::Accepted);
    assert_eq!(ledger.current_instance(), Some(&id(FIRST)));
    assert!(ledger.announced_instance().unwrap().leaving);
}

/// The same with a task that was ordered at 10 ms.
fn ordered() -> Ledger {
    let mut ledger = ready();
    let placement = StepPlacement {
        job: CallerJobId(1),
        step: 0,
        spec: "spec".to_owned(),
        tasks: vec![TaskStart { index: 0, run: 1 }],
        need: Resources { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 },
        run_ms: 100,
        priority: 1,
        objective_in_ms: 400,
        give_up_in_ms: 2_000,
        job_mostly_started: false,
        suspect: false,
    };
    ledger.place(ENTRY, placement, 10);
    ledger.next_start(10).unwrap();
    ledger
}

/// The same, and it runs in the first life.
fn running() -> Ledger {
    let mut ledger = ordered();
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
fn another_start_in_an_answer_ends_the_life() {
    let mut ledger = running();
    renew(&mut ledger, id(SECOND), 30);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Crashed]);
    assert_eq!(ledger.current_instance(), Some(&id(SECOND)));
    assert_eq!(ledger.announced_instance(), None, "what it is was not announced");
}

#[test]
fn an_earlier_start_in_an_answer_ends_the_life() {
    let mut ledger = running();
    renew(&mut ledger, id(FIRST - 1), 30);
    assert_eq!(ledger.current_instance(), Some(&id(FIRST - 1)));
}

#[test]
fn an_answer_sent_before_the_life_was_known_does_not_bring_the_old_one_back() {
    let mut ledger = running();
    let late = answer(&ledger, id(FIRST), 30);
    renew(&mut ledger, id(SECOND), 30);
    ledger.handle_renewal_answer(&late, 35);
    assert_eq!(ledger.current_instance(), Some(&id(SECOND)));
}

#[test]
fn an_announcement_of_another_start_is_settled_by_asking() {
    for (announced, answers) in [(SECOND, SECOND), (SECOND, FIRST), (FIRST - 1, FIRST)] {
        let mut ledger = running();
        assert_eq!(
            ledger.handle_announcement(life(id(announced)), 30),
            AnnouncementOutcome::Doubted
        );
        assert_eq!(events(&ledger), [RunEvent::Started]);
        renew(&mut ledger, id(answers), 31);
        assert_eq!(ledger.current_instance(), Some(&id(answers)));
        let known = UpstreamInstance { order_fence: ledger.fence(), ..life(id(answers)) };
        assert_eq!(ledger.announced_instance(), Some(&known));
    }
}

#[test]
fn a_doubt_that_was_settled_is_forgotten() {
    let mut ledger = running();
    ledger.handle_announcement(life(id(SECOND)), 30);
    renew(&mut ledger, id(FIRST), 31);
    ledger.end_instance(InstanceEnd::Crashed);
    assert_eq!(ledger.current_instance(), None);
}

/// An announcement of an earlier life that came while renewals were not answered for a
/// while had what runs declared lost, long before its lease had lapsed.
#[test]
fn an_unanswered_life_is_present_until_its_lease_has_lapsed() {
    for other in [id(SECOND), InstanceId::without_start("b")] {
        let mut ledger = running();
        ledger.check_lease_lapse(1_500);
        assert_eq!(
            ledger.handle_announcement(life(other.clone()), 1_500),
            AnnouncementOutcome::Doubted
        );
        assert_eq!(events(&ledger), [RunEvent::Started]);
        ledger.check_lease_lapse(20 + LAPSE_MS);
        assert_eq!(ledger.handle_announcement(life(other), 2_000), AnnouncementOutcome::Accepted);
    }
}

#[test]
fn a_withdrawal_is_settled_by_asking() {
    let mut ledger = running();
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
    let mut ledger = running();
    ledger.handle_withdrawal("a", 30);
    ledger.check_lease_lapse(20 + LAPSE_MS);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Lost]);
    assert_eq!(ledger.current_instance(), None);
}

#[test]
fn an_order_without_an_answer_waits_for_the_next_life() {
    let mut ledger = ordered();
    ledger.handle_start_answer(task(0), 1, StartAnswer::Unanswered, 30);
    renew(&mut ledger, id(SECOND), 31);
    assert_eq!(events(&ledger), [], "the next life may carry it out");
    assert_eq!(ledger.load(32).taken.cpu_milli, 1_000);
    let unfenced = LeaseAnswer { fence: 1, ..answer(&ledger, id(SECOND), 40) };
    ledger.handle_renewal_answer(&unfenced, 41);
    assert_eq!(events(&ledger), [], "later orders with that fence are carried out");
    renew(&mut ledger, id(SECOND), 50);
    assert_eq!(events(&ledger), [RunEvent::Crashed]);
}

#[test]
fn an_order_that_the_next_life_carried_out_runs_there() {
    let mut ledger = ordered();
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

/// An order that came after the restart was answered like one of before: the run was declared
/// lost while the next life ran it.
#[test]
fn a_start_answered_after_the_last_list_may_run_in_the_next_life() {
    let mut ledger = ordered();
    ledger.handle_start_answer(task(0), 1, StartAnswer::Started, 30);
    renew(&mut ledger, id(SECOND), 31);
    assert_eq!(events(&ledger), [RunEvent::Started]);
    renew(&mut ledger, id(SECOND), 40);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Crashed]);
}

#[test]
fn an_order_that_is_refused_in_the_next_life_did_not_start() {
    let mut ledger = ordered();
    renew(&mut ledger, id(SECOND), 31);
    let refused = StartAnswer::Refused(StartRefusal::Fenced);
    ledger.handle_start_answer(task(0), 1, refused, 35);
    assert_eq!(events(&ledger), [RunEvent::NotStarted(NotStarted::NoUpstream)]);
}

#[test]
fn an_order_to_an_upstream_that_is_gone_is_lost_with_its_lease() {
    let mut ledger = ordered();
    ledger.end_instance(InstanceEnd::Crashed);
    assert_eq!(events(&ledger), []);
    ledger.check_lease_lapse(2 + LAPSE_MS);
    assert_eq!(events(&ledger), [RunEvent::Crashed]);
}

#[test]
fn an_order_is_lost_at_once_where_another_id_answers() {
    let mut ledger = ordered();
    ledger.end_instance(InstanceEnd::Replaced);
    assert_eq!(events(&ledger), [RunEvent::Crashed]);
}

#[test]
fn an_upstream_that_said_that_it_leaves_has_not_crashed() {
    let mut ledger = running();
    ledger.handle_announcement(UpstreamInstance { leaving: true, ..life(id(FIRST)) }, 25);
    renew(&mut ledger, id(SECOND), 30);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Lost]);
}

#[test]
fn ends_of_the_next_life_count_from_the_first() {
    let mut ledger = running();
    let mut over = answer(&ledger, id(FIRST), 30);
    over.ended.push(RunEnd { number: 9, task: task(0), run: 1, kind: EndKind::Done });
    ledger.handle_renewal_answer(&over, 30);
    assert_eq!(ledger.last_acknowledged_end(), 9);
    renew(&mut ledger, id(SECOND), 40);
    assert_eq!(ledger.last_acknowledged_end(), 0);
}

/// Takes fences until one is above `seen`; returns the calls.
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
    /// The time of day may have gone back by years since an earlier agent's last order.
    #[test]
    fn a_fence_left_by_an_earlier_agent_is_overtaken(start in FIRST..2 * FIRST, ahead in 0..FIRST) {
        let mut ledger = Ledger::new(LedgerLimits::default());
        ledger.handle_announcement(life(id(start)), 0);
        prop_assert!(calls_until_above(&mut ledger, start + CLOCK_MS + ahead) <= 4);
        prop_assert!(ledger.fence() < 1 << 53);
    }

    /// Whatever starts the lives under an id had, orders for an earlier one are refused.
    #[test]
    fn a_fence_never_falls_under_an_id(starts in proptest::collection::vec(0..2 * FIRST, 1..20)) {
        let mut ledger = ready();
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
    let mut ledger = ready();
    let before = ledger.fence();
    for _ in 0..4 {
        ledger.handle_fence_refusal(before, CLOCK_MS + 10);
    }
    assert_eq!(ledger.fence(), FIRST + CLOCK_MS + 11);
}

/// The time of day went back, and the agent started anew after the upstream: late orders of
/// the agent before it had a higher fence and were carried out.
#[test]
fn a_recorded_life_keeps_late_orders_of_an_earlier_agent_off() {
    let earlier = ready();
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(life(id(FIRST)));
    let answer = answer(&ledger, id(FIRST - 100_000), 10);
    ledger.handle_fence_answer(&answer, 11);
    assert!(ledger.is_fenced());
    assert!(ledger.fence() > earlier.fence());
}

/// Only the last life was known to the next run of the agent, and orders of the one before had
/// a higher fence.
#[test]
fn the_fence_of_all_lives_is_known_to_the_next_run_of_the_agent() {
    let mut earlier = ready();
    renew(&mut earlier, id(0), 10);
    earlier.handle_announcement(life(id(0)), 11);
    let known = earlier.proven_instance().unwrap();
    assert_eq!((&known.id, known.order_fence), (&id(0), earlier.fence()));
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.handle_announcement(known.clone(), 0);
    let answer = answer(&ledger, id(FIRST - 100_000), 10);
    ledger.handle_fence_answer(&answer, 11);
    assert!(ledger.is_fenced());
    assert!(ledger.fence() > earlier.fence());
}

/// The upstream announced itself before the record was read.
#[test]
fn a_fence_that_is_known_late_is_overtaken() {
    let mut ledger = ready();
    let above = ledger.fence() + 1_000;
    ledger.restore_fence(&UpstreamInstance { order_fence: above, ..life(id(SECOND)) });
    assert!(ledger.fence() > above);
    assert_eq!(ledger.proven_instance().unwrap().order_fence, ledger.fence());
}

/// Each new connection to an entry that tells what this run told it would raise the fence, and
/// each raise would be told again.
#[test]
fn its_own_fence_does_not_raise_the_fence() {
    let mut ledger = ready();
    let told = ledger.proven_instance().unwrap().clone();
    ledger.restore_fence(&told);
    assert_eq!(ledger.fence(), told.order_fence);
}

/// A record that others wrote would have left no number above it.
#[test]
fn a_fence_that_readers_of_json_would_round_is_not_believed() {
    let mut ledger = ready();
    let before = ledger.fence();
    ledger.restore_fence(&UpstreamInstance { order_fence: u64::MAX, ..life(id(FIRST)) });
    assert_eq!(ledger.fence(), before);
}

/// Entries placed tasks at an upstream that was usable by its load and handed them back.
#[test]
fn a_life_that_has_not_announced_itself_is_not_usable() {
    let mut ledger = running();
    renew(&mut ledger, id(SECOND), 30);
    renew(&mut ledger, id(SECOND), 40);
    assert!(!ledger.load(41).usable);
    ledger.handle_announcement(life(id(SECOND)), 50);
    assert!(ledger.load(51).usable);
}

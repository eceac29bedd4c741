//! How long leases last: never longer than what was heard from the entries allows, so that a run
//! is over before its entry orders the task elsewhere.

use {
    sycamorerail_decide::{
        dispatch::DispatchLimits,
        ledger::{
            InstanceEnd, LeaseAnswer, Ledger, LedgerLimits, SHORTEST_RESUBMIT_MS, StartAnswer,
            StartOrder,
        },
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
const OTHER_ENTRY: Incarnation = Incarnation(8);
/// The upstream's clock when the agent's clock is at 0.
const CLOCK_MS: u64 = 50_000;
/// Callers submit a job again at another entry this long after an attempt without an answer.
const RETRY_MS: u64 = 1_300;

fn instance() -> UpstreamInstance {
    UpstreamInstance {
        id: InstanceId::without_start("a"),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        leaving: false,
    }
}

fn placement(job: u64) -> StepPlacement {
    StepPlacement {
        job: CallerJobId(job),
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
        give_up_in_ms: 2_000,
        job_mostly_started: false,
        age_ms: 0,
        suspect: false,
    }
}

fn task(job: u64) -> TaskKey {
    TaskKey { job: CallerJobId(job), step: 0, index: 0 }
}

/// The upstream answers a renewal at once.
fn renew(ledger: &mut Ledger, now_ms: u64, running: &[(TaskKey, u32)]) {
    let answer = LeaseAnswer {
        instance: ledger.current_instance().cloned().unwrap_or_default(),
        fence: 0,
        sent_ms: now_ms,
        clock_ms: CLOCK_MS + now_ms,
        running: running.to_vec(),
        ended: Vec::new(),
    };
    ledger.handle_renewal_answer(&answer, now_ms);
}

/// Returns a ledger that heard both entries, and its upstream, at 1 ms.
fn ready_ledger() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(instance());
    ledger.note_owner_contact(ENTRY, 1);
    ledger.note_owner_contact(OTHER_ENTRY, 1);
    renew(&mut ledger, 1, &[]);
    ledger
}

/// Returns a ledger with a run of the job 1 of `ENTRY` since 2 ms.
fn ledger_with_run() -> Ledger {
    let mut ledger = ready_ledger();
    ledger.place(ENTRY, placement(1), 2);
    let order = start(&mut ledger, 2).unwrap();
    ledger.handle_start_answer(order.task, 1, StartAnswer::Started, 2);
    ledger
}

fn start(ledger: &mut Ledger, now_ms: u64) -> Option<StartOrder> {
    ledger.next_start(now_ms)
}

/// Returns the end of the lease that is requested now, in the agent's time.
fn lease_end_ms(ledger: &mut Ledger, now_ms: u64) -> Option<u64> {
    ledger.lease_until_clock_ms(now_ms).map(|clock_ms| clock_ms - CLOCK_MS)
}

/// Guards against a run that outlives its silent entry's patience because its agent stands still.
#[test]
fn leases_end_soon_after_the_last_contact_with_an_entry() {
    let mut ledger = ledger_with_run();
    assert_eq!(lease_end_ms(&mut ledger, 100), Some(1_100));
    ledger.note_owner_contact(OTHER_ENTRY, 600);
    renew(&mut ledger, 700, &[(task(1), 1)]);
    assert_eq!(lease_end_ms(&mut ledger, 700), Some(1 + 1_200));
    ledger.note_owner_contact(ENTRY, 650);
    assert_eq!(lease_end_ms(&mut ledger, 700), Some(1_700));
}

/// Guards against other entries' runs that keep the lease of a run alive whose stop is lost.
#[test]
fn no_lease_is_prolonged_until_a_stopped_run_is_over() {
    let mut ledger = ledger_with_run();
    ledger.note_owner_contact(OTHER_ENTRY, 901);
    renew(&mut ledger, 901, &[(task(1), 1)]);
    assert_eq!(ledger.drop_silent_owners(901), [ENTRY]);
    assert_eq!(lease_end_ms(&mut ledger, 910), Some(1 + 1_200));
    ledger.note_owner_contact(OTHER_ENTRY, 1_201);
    renew(&mut ledger, 1_201, &[(task(1), 1)]);
    assert_eq!(lease_end_ms(&mut ledger, 1_201), None);
    ledger.handle_stop_confirmation(task(1), 1, 1_202);
    assert_eq!(lease_end_ms(&mut ledger, 1_202), None);
    renew(&mut ledger, 1_250, &[]);
    assert_eq!(lease_end_ms(&mut ledger, 1_250), Some(2_250));
}

#[test]
fn a_stop_by_the_entry_bounds_the_lease_from_its_last_contact() {
    let mut ledger = ledger_with_run();
    ledger.note_owner_contact(ENTRY, 300);
    ledger.stop_job(ENTRY, CallerJobId(1));
    for entry in [ENTRY, OTHER_ENTRY] {
        ledger.note_owner_contact(entry, 790);
    }
    assert_eq!(lease_end_ms(&mut ledger, 790), Some(300 + 1_200));
}

/// Guards against a start whose own deadline prolongs the lease of a run that must end.
#[test]
fn a_start_prolongs_no_lease_beyond_the_limit() {
    let mut ledger = ledger_with_run();
    ledger.note_owner_contact(OTHER_ENTRY, 1_100);
    renew(&mut ledger, 1_100, &[(task(1), 1)]);
    ledger.drop_silent_owners(1_100);
    ledger.place(OTHER_ENTRY, placement(2), 1_100);
    let order = start(&mut ledger, 1_100).unwrap();
    assert_eq!(order.late_after_clock_ms, CLOCK_MS + 1 + 1_200);
    ledger.place(OTHER_ENTRY, placement(3), 1_201);
    assert_eq!(start(&mut ledger, 1_201), None);
}

/// Guards against a run that starts under a lease longer than its entry's silence allows.
#[test]
fn no_run_starts_under_a_lease_that_is_too_long_for_its_entry() {
    let mut ledger = ready_ledger();
    renew(&mut ledger, 500, &[]);
    for entry in [ENTRY, OTHER_ENTRY] {
        ledger.note_owner_contact(entry, 500);
    }
    assert_eq!(lease_end_ms(&mut ledger, 500), Some(1_500));
    let late = Incarnation(9);
    ledger.introduce_owner(late, 250);
    ledger.place(late, placement(1), 510);
    assert_eq!(start(&mut ledger, 510), None);
    ledger.note_owner_contact(late, 505);
    assert_eq!(start(&mut ledger, 520).unwrap().task, task(1));
}

/// Guards against a start whose lease ends before the next renewal can prolong it.
#[test]
fn nothing_starts_under_a_lease_that_is_about_to_end() {
    let mut ledger = ledger_with_run();
    ledger.note_owner_contact(OTHER_ENTRY, 1_190);
    renew(&mut ledger, 1_190, &[(task(1), 1)]);
    ledger.drop_silent_owners(1_190);
    ledger.place(OTHER_ENTRY, placement(2), 1_190);
    assert_eq!(start(&mut ledger, 1_190), None);
    renew(&mut ledger, 1_250, &[]);
    assert_eq!(start(&mut ledger, 1_250).unwrap().task, task(2));
}

fn events(ledger: &Ledger) -> Vec<RunEvent> {
    ledger.reports(ENTRY).iter().map(|report| report.event).collect()
}

/// Guards against a live upstream that refuses connections for a moment, whose runs were reported
/// as crashed while they went on.
#[test]
fn runs_go_on_while_their_upstream_refuses_connections() {
    let mut ledger = ledger_with_run();
    assert_eq!(lease_end_ms(&mut ledger, 100), Some(1_100));
    ledger.place(ENTRY, placement(2), 110);
    ledger.handle_refused_connections(110);
    assert!(!ledger.load(110).usable);
    let handed_back = RunEvent::NotStarted(NotStarted::NoUpstream);
    assert_eq!(events(&ledger), [RunEvent::Started, handed_back]);
    assert_eq!(lease_end_ms(&mut ledger, 120), None, "a refusal tells nothing of earlier calls");
    ledger.check_lease_lapse(200);
    renew(&mut ledger, 250, &[(task(1), 1)]);
    assert_eq!(events(&ledger), [RunEvent::Started, handed_back]);
    assert!(ledger.load(250).usable);
}

/// Guards against runs of a crashed upstream that nobody ever counts as over, and against an order
/// elsewhere while their lease lasts.
#[test]
fn runs_of_a_refusing_upstream_are_over_as_their_lease_ends() {
    let mut ledger = ledger_with_run();
    assert_eq!(lease_end_ms(&mut ledger, 100), Some(1_100));
    ledger.handle_refused_connections(160);
    // The upstream's clock may be slow.
    ledger.check_lease_lapse(1_100 + 39);
    assert_eq!(events(&ledger), [RunEvent::Started]);
    ledger.check_lease_lapse(1_100 + 40);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Crashed]);
    assert_eq!(ledger.current_instance(), None);
    assert_eq!(ledger.load(1_200).taken, Resources::default());
}

/// Guards against a wait for a lease although another instance shows that the runs are over.
#[test]
fn an_upstream_that_answers_in_place_of_a_refusing_one_ends_its_runs() {
    let mut ledger = ledger_with_run();
    ledger.handle_refused_connections(160);
    let next = UpstreamInstance { id: InstanceId::without_start("b"), ..instance() };
    ledger.handle_announcement(next, 300);
    assert_eq!(events(&ledger), [RunEvent::Started], "an announcement may be late");
    ledger.end_instance(InstanceEnd::Replaced);
    assert_eq!(events(&ledger), [RunEvent::Started, RunEvent::Crashed]);
    assert_eq!(ledger.current_instance(), Some(&InstanceId::without_start("b")));
}

/// Guards against a wait for the lease of an upstream without runs.
#[test]
fn a_refusing_upstream_without_runs_is_gone_at_once() {
    let mut ledger = ready_ledger();
    ledger.handle_refused_connections(160);
    assert_eq!(ledger.current_instance(), None);
}

/// Guards against an entry that is gone and shortens the leases of all other entries' runs.
#[test]
fn a_forgotten_entry_without_runs_bounds_no_lease() {
    let mut ledger = ledger_with_run();
    ledger.forget_settled_owner(ENTRY);
    ledger.forget_settled_owner(OTHER_ENTRY);
    ledger.note_owner_contact(ENTRY, 880);
    renew(&mut ledger, 890, &[(task(1), 1)]);
    assert_eq!(lease_end_ms(&mut ledger, 890), Some(1_890));
    assert_eq!(ledger.held_runs(ENTRY), [(task(1), 1)]);
}

/// Guards against a restarted agent that keeps runs alive which entries count as over.
#[test]
fn runs_of_an_earlier_agent_are_not_renewed() {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(instance());
    ledger.note_owner_contact(ENTRY, 1);
    renew(&mut ledger, 1, &[(task(9), 3)]);
    assert_eq!(lease_end_ms(&mut ledger, 2), None);
    renew(&mut ledger, 60, &[]);
    assert_eq!(lease_end_ms(&mut ledger, 60), Some(1_060));
}

/// Guards against a stall between hello and welcome, after which an entry that has given the agent
/// up counts as just heard.
#[test]
fn a_welcome_is_no_contact_with_a_known_entry() {
    let mut ledger = ledger_with_run();
    ledger.note_owner_contact(OTHER_ENTRY, 850);
    ledger.introduce_owner(ENTRY, 890);
    assert_eq!(ledger.drop_silent_owners(901), [ENTRY]);
    ledger.introduce_owner(ENTRY, 890);
    assert!(ledger.drop_silent_owners(1_000).is_empty());
    // Its run goes on to be stopped.
    assert_eq!(ledger.stops_due(1_000), [(task(1), 1)]);
}

/// Guards against a lease that is too long because the upstream's clock was taken to go on while
/// the VM was suspended.
#[test]
fn a_suspension_does_not_count_towards_the_upstreams_clock() {
    let mut ledger = ledger_with_run();
    renew(&mut ledger, 100, &[(task(1), 1)]);
    for entry in [ENTRY, OTHER_ENTRY] {
        ledger.note_owner_contact(entry, 90);
    }
    ledger.note_suspension(500, 610);
    let lease_ms = 90 + 1_200 - 610;
    assert_eq!(ledger.lease_until_clock_ms(610), Some(CLOCK_MS + 110 + lease_ms));
}

/// Guards against runs that outlive a caller's patience, whatever leases the upstream grants and
/// however soon callers come again.
#[test]
fn runs_are_over_before_callers_come_again() {
    let resubmissions_ms = [SHORTEST_RESUBMIT_MS, 800, 1_000, RETRY_MS, 5_000];
    let leases_ms = [100, 1_000, 15_000, 600_000];
    for (resubmit_ms, longest_lease_ms) in pairs(&resubmissions_ms, &leases_ms) {
        let limits = LedgerLimits::for_upstream(longest_lease_ms, resubmit_ms);
        assert!(limits.lease_ms <= longest_lease_ms);
        assert!(limits.longest_run_after_contact_ms() < resubmit_ms, "{limits:?}");
    }
}

/// Guards against timeouts that let two runs of a task overlap when one of them is changed.
#[test]
fn runs_are_over_before_their_tasks_start_elsewhere() {
    for resubmit_ms in [SHORTEST_RESUBMIT_MS, RETRY_MS, 5_000] {
        let agent = LedgerLimits::for_upstream(1_000, resubmit_ms);
        let entry = DispatchLimits::default();
        let longest_ms = agent.longest_run_after_contact_ms();
        assert!(longest_ms < resubmit_ms, "a copy at another entry");
        assert!(longest_ms < entry.lost_ms, "another order of the same entry");
        assert!(agent.owner_timeout_ms + agent.start_within_ms <= agent.run_after_contact_ms);
    }
}

/// Guards against timeouts that are shorter than what is heard of an entry in calm times, and
/// against limits of the usual deployments that differ from the default.
#[test]
fn an_entry_counts_as_silent_after_several_heartbeats() {
    for resubmit_ms in [SHORTEST_RESUBMIT_MS, 800, RETRY_MS] {
        let limits = LedgerLimits::for_upstream(1_000, resubmit_ms);
        // A message waits for a heartbeat in each direction, and one may be lost.
        assert!(3 * limits.heartbeat_ms() < limits.owner_timeout_ms, "{limits:?}");
        assert!(limits.heartbeat_ms() >= 50, "{limits:?}");
    }
    assert_eq!(LedgerLimits::for_upstream(1_000, RETRY_MS), LedgerLimits::default());
}

fn pairs<'a>(left: &'a [u64], right: &'a [u64]) -> impl Iterator<Item = (u64, u64)> + 'a {
    left.iter().flat_map(|&left| right.iter().map(move |&right| (left, right)))
}

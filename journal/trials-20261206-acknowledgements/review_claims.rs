//! Review of 4fd8e2a, d5e83b7 and b2e7ace.

use {
    std::net::SocketAddr,
    sycamorerail_decide::{
        ack_tracker::AckTracker,
        claims::{ClaimDecision, ClaimLimits, ClaimTable, Claims, holders},
        ledger::LedgerLimits,
        receipts::Receipts,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{AnsweredClaim, CallerJobId, ClaimAnswer, EntryAddress, JobClaim},
    },
};

const LIMITS: ClaimLimits = ClaimLimits {
    run_over_ms: 1_240,
    margin_ms: 400,
    give_up_ms: 860,
    confirm_within_ms: 500,
    stop_within_ms: 400,
    lost_after_ms: 250,
    noticed_within_ms: 1_500,
};
const JOB: CallerJobId = CallerJobId(7);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const GRANTED: ClaimAnswer = ClaimAnswer::Granted { is_alone: true };

fn entry(last: u8) -> EntryAddress {
    EntryAddress {
        address: SocketAddr::from(([10, 0, 0, last], 7_720)),
        data_centre: format!("dc-{}", last % 4),
    }
}

fn entries(count: u8) -> Vec<EntryAddress> {
    (1..=count).map(entry).collect()
}

fn new_claim(for_ms: u64) -> JobClaim {
    JobClaim { job: JOB, number: 1, for_ms, is_granted: false }
}

fn answer(
    claims: &mut Claims,
    answer: ClaimAnswer,
    holder: SocketAddr,
    now_ms: u64,
) -> Option<ClaimDecision> {
    claims.answered(AnsweredClaim { job: JOB, number: 1, answer }, holder, now_ms)
}

fn granted_claim(by: &[usize]) -> (Claims, Vec<SocketAddr>) {
    let mut claims = Claims::new(LIMITS);
    let asked = claims.begin(JOB, &entries(14), 20_000, 0);
    let holders: Vec<_> = asked.into_iter().map(|request| request.holder).collect();
    for &holder in by {
        answer(&mut claims, GRANTED, holders[holder], 1);
    }
    (claims, holders)
}

/// The longest age of an agent's contact with an entry of two that loses the other one for good at
/// `cut_ms`. Its claims, one that the other holder decides and, if `late`, a second one that began
/// just before the cut, are unconfirmed from then on. As in `JobService::tick`,
/// `Link::{take, beat}` and the agent's `Link`; messages take no time; ticks are on time.
fn longest_age_ms(agent_phase: u64, entry_phase: u64, tick_phase: u64, tick_ms: u64, late_ms: Option<u64>, is_held_up: bool) -> u64 {
    let two = entries(2);
    let own = two[1].address;
    let job_of_other = |id: &u64| holders(CallerJobId(*id), &two)[0] != own;
    let mut jobs = (0..).filter(job_of_other).map(CallerJobId);
    let (early_job, late_job) = (jobs.next().unwrap(), jobs.next().unwrap());
    let other = two[0].address;
    let mut claims = Claims::new(LIMITS);
    let mut begin = |claims: &mut Claims, job, now_ms| {
        let asked = claims.begin(job, &two, 20_000, now_ms);
        let number = asked[0].claim.number;
        let decided =
            claims.answered(AnsweredClaim { job, number, answer: GRANTED }, other, now_ms);
        assert_eq!(decided, Some(ClaimDecision::Granted));
        claims.answered(AnsweredClaim { job, number, answer: GRANTED }, own, now_ms);
    };
    begin(&mut claims, early_job, 0);
    let cut_ms = 1_000;
    let (mut receipts, mut passes) = (Receipts::default(), 0);
    let mut acks = AckTracker::new(0);
    let mut longest_ms = 0;
    for now_ms in 0..4_000_u64 {
        if now_ms % 100 == 0 && now_ms < cut_ms {
            claims.confirmed(other, now_ms);
        }
        if late_ms == Some(now_ms) {
            begin(&mut claims, late_job, now_ms);
        }
        if now_ms % 200 == agent_phase {
            acks.record_sent(now_ms);
            receipts.record(passes);
        }
        if now_ms % tick_ms == tick_phase {
            claims.confirmed(own, now_ms);
            claims.take_lapsed(now_ms);
            if !is_held_up || now_ms <= claims.acknowledge_until_ms() {
                passes += 1;
            }
        }
        longest_ms = longest_ms.max(now_ms - acks.acked_sent_ms());
        if now_ms % 200 == entry_phase {
            acks.record_ack(receipts.acknowledgeable(passes));
        }
    }
    longest_ms
}

fn shares_over(late: bool, tick_ms: u64) -> (u64, usize, usize) {
    shares(late.then_some(995), tick_ms, true)
}

/// Worst age, links that count as silent, of so many. The second job's holder is heard last, or the
/// job began, at `late_ms`.
fn shares(late: Option<u64>, tick_ms: u64, is_held_up: bool) -> (u64, usize, usize) {
    let silent_ms = LedgerLimits::default().owner_timeout_ms;
    let (mut worst_ms, mut over, mut all) = (0, 0, 0);
    for agent_phase in (0..200).step_by(10) {
        for entry_phase in (5..200).step_by(10) {
            for tick_phase in [0, 7, 13, 19] {
                let age_ms = longest_age_ms(agent_phase, entry_phase, tick_phase, tick_ms, late, is_held_up);
                worst_ms = worst_ms.max(age_ms);
                over += usize::from(age_ms >= silent_ms);
                all += 1;
            }
        }
    }
    println!("second job {late:?} ticks {tick_ms} ms, held up {is_held_up}: worst {worst_ms} ms, {over} of {all} links silent");
    (worst_ms, over, all)
}

#[test]
fn agents_keep_an_entry_whose_claims_lapse() {
    assert_eq!(shares_over(false, 20).1, 0);
}

#[test]
fn agents_keep_an_entry_whose_claims_lapse_in_turn() {
    assert_eq!(shares_over(true, 20).1, 0);
}

/// Acknowledgements that aren't held up: the state before 4fd8e2a.
#[test]
fn control_without_the_rule() {
    let over = [20, 40, 60, 100, 150].map(|tick_ms| shares(Some(995), tick_ms, false).1);
    assert_eq!(over, [0; 5]);
}

/// Two holders are lost 0.4 s apart, each of which decides a job: what the one holds up is followed
/// at once by what the other does.
#[test]
fn agents_keep_an_entry_that_loses_two_holders_in_turn() {
    assert_eq!(shares(Some(1_300), 20, true).1, 0);
}

/// Ticks that come late, as with few processor shares; below 300 ms no stall is noted.
#[test]
fn agents_keep_an_entry_whose_ticks_are_late() {
    let over = [40, 60, 100, 150].map(|tick_ms| (shares_over(false, tick_ms).1, shares_over(true, tick_ms).1));
    assert_eq!(over, [(0, 0); 4]);
}

/// Two entries; the first one's VM loses power, nothing resets. Agents notice after 900 ms and tell
/// within a heartbeat.
#[test]
fn jobs_go_on_where_the_first_of_two_loses_power() {
    let two = entries(2);
    let asked = holders(JOB, &two);
    let mut second = Claims::new(LIMITS);
    second.begin(JOB, &two, 20_000, 0);
    answer(&mut second, GRANTED, asked[0], 1);
    answer(&mut second, GRANTED, asked[1], 1);
    second.confirmed(asked[0], 1_000);
    second.holder_lost(asked[0], false, 1_220);
    let mut lapsed = Vec::new();
    for now_ms in (1_000..4_000).step_by(20) {
        second.confirmed(asked[1], now_ms);
        // Agents' last contact was up to 440 ms old as it went: 900 - 240 + 200.
        second.set_without_agents(|_| Some(now_ms >= 1_000 + 50 + 900), now_ms);
        lapsed.extend(second.take_lapsed(now_ms).into_iter().map(|_| now_ms));
    }
    assert_eq!(lapsed, [], "given up though nobody else could run it");
}

/// An agent that doesn't know the entry yet (or took it for silent) says hello within a cut, after
/// acknowledgements have ended: the welcome is a contact as of the hello.
#[test]
fn a_hello_within_a_cut_does_not_outlast_the_claim() {
    let (mut claims, holders) = granted_claim(&[0, 1, 2]);
    let cut_ms = 1_000;
    holders.iter().for_each(|&holder| claims.confirmed(holder, cut_ms));
    let mut table = ClaimTable::new(LIMITS);
    table.connected(FIRST, 1, 0);
    table.claim(new_claim(20_000), FIRST, 0);
    table.disconnected(FIRST, 1, cut_ms);
    let hello_ms = cut_ms + 840;
    assert_eq!(claims.take_lapsed(hello_ms), []);
    assert!(claims.acknowledge_until_ms() < hello_ms);
    // The entry welcomes the agent and places a task of the job: `Link::begin`, `agent_ready`.
    let limits = LedgerLimits::default();
    let mut owners = sycamorerail_decide::ledger::Ledger::new(limits.clone());
    owners.introduce_owner(FIRST, hello_ms);
    assert_eq!(owners.silent_owners(hello_ms + limits.owner_timeout_ms - 1), []);
    // It is killed. The agent hears nothing: the run ends by C + 1,240.
    let over_ms = hello_ms + limits.longest_run_after_contact_ms();
    let copy = table.claim(new_claim(2_740), SECOND, over_ms - 1).answer;
    assert_ne!(copy, GRANTED, "a copy is granted by {} ms, the run may go on to {over_ms}", over_ms - 1);
}

/// As `what_holders_that_left_have_granted_counts`, but the claimant does not hear that they leave:
/// it stands still, or is cut off at that time.
#[test]
fn holders_leave_unheard() {
    let (mut first, holders) = granted_claim(&[0, 1]);
    first.holder_lost(holders[2], false, 0);
    let mut second = Claims::new(LIMITS);
    for &holder in &holders[..2] {
        first.confirmed(holder, 1_000);
        second.holder_left(holder, 1_000);
    }
    assert_eq!(first.take_lapsed(1_000), []);
    second.begin(JOB, &entries(14), 3_000, 1_380);
    second.confirmed(holders[2], 1_400);
    let copy = answer(&mut second, GRANTED, holders[2], 1_400);
    let is_given_up = !first.take_lapsed(1_400).is_empty();
    assert!(copy.is_none() || is_given_up, "a copy is granted beside the job");
}

/// The claimant hears it and gives up, but an agent is out of reach, or the claimant is killed right
/// then: runs go on for 1.24 s after the last acknowledgement.
#[test]
fn runs_at_agents_out_of_reach_count_as_holders_leave() {
    let (mut first, holders) = granted_claim(&[0, 1]);
    first.holder_lost(holders[2], false, 0);
    let mut second = Claims::new(LIMITS);
    holders[..2].iter().for_each(|&holder| first.confirmed(holder, 1_000));
    assert_eq!(first.take_lapsed(1_000), []);
    assert!(first.acknowledge_until_ms() >= 1_000);
    holders[..2].iter().for_each(|&holder| second.holder_left(holder, 1_000));
    // The claimant is killed at 1,000 ms.
    let over_ms = 1_000 + LIMITS.run_over_ms;
    second.begin(JOB, &entries(14), 3_000, 1_380);
    second.confirmed(holders[2], 1_400);
    assert_eq!(answer(&mut second, GRANTED, holders[2], 1_400), None, "runs end by {over_ms} ms");
}

/// The third holder had granted it too, was killed, and is back behind a cut: its old vote hides
/// that nobody knows of the job any more.
#[test]
fn a_third_holder_that_has_restarted_knows_nothing() {
    let (mut first, holders) = granted_claim(&[0, 1, 2]);
    first.confirmed(holders[2], 10);
    first.holder_lost(holders[2], true, 10);
    let mut third = ClaimTable::restarted(LIMITS, 50);
    let left_ms = 1_700;
    let mut second = Claims::new(LIMITS);
    holders[..2].iter().for_each(|&holder| first.confirmed(holder, left_ms));
    assert_eq!(first.take_lapsed(left_ms), []);
    for &holder in &holders[..2] {
        first.holder_left(holder, left_ms);
        second.holder_left(holder, left_ms);
    }
    let asked = second.begin(JOB, &entries(14), 4_000, left_ms + 380);
    let copy_ms = left_ms + 400;
    let answered = third.claim(asked[2].claim, SECOND, copy_ms);
    second.confirmed(holders[2], copy_ms);
    let copy = second.answered(answered, holders[2], copy_ms);
    let is_given_up =
        (left_ms..=copy_ms).step_by(20).any(|now_ms| !first.take_lapsed(now_ms).is_empty());
    assert!(copy.is_none() || is_given_up, "a copy is granted beside the job");
}

/// One of the two holders that left is back within 400 ms: the wait of `may_be_granted_alone` is
/// skipped.
#[test]
fn a_holder_that_left_and_is_back_does_not_end_the_wait() {
    let asked = holders(JOB, &entries(14));
    let mut second = Claims::new(LIMITS);
    second.holder_left(asked[0], 1_000);
    second.holder_left(asked[1], 1_000);
    second.begin(JOB, &entries(14), 4_000, 1_150);
    second.holder_reached(asked[0]);
    second.confirmed(asked[0], 1_200);
    second.confirmed(asked[2], 1_200);
    assert_eq!(answer(&mut second, ClaimAnswer::NotYet { in_ms: 1_590 }, asked[0], 1_200), None);
    assert_eq!(answer(&mut second, GRANTED, asked[2], 1_201), None, "0.2 s after both left");
}

/// Three entries: the claimant itself and another holder leave as planned; what the claimant has
/// given up may go on for 1.24 s at agents out of reach, 0.4 s at others.
#[test]
fn a_claimant_that_leaves_with_a_holder_counts() {
    let three = entries(3);
    let asked = holders(JOB, &three);
    let mut third = Claims::new(LIMITS);
    third.holder_left(asked[0], 1_000);
    third.holder_left(asked[1], 1_000);
    third.begin(JOB, &three, 4_000, 1_010);
    third.confirmed(asked[2], 1_010);
    assert_eq!(answer(&mut third, GRANTED, asked[2], 1_010), None, "10 ms after both left");
}

/// As `what_holders_that_left_have_granted_counts` with holders that are killed, and not back:
/// agents show that they have none. The claimant lives on.
#[test]
fn what_killed_holders_have_granted_counts() {
    let (mut first, holders) = granted_claim(&[0, 1]);
    first.holder_lost(holders[2], false, 0);
    let mut second = Claims::new(LIMITS);
    holders[..2].iter().for_each(|&holder| first.confirmed(holder, 1_000));
    assert_eq!(first.take_lapsed(1_000), []);
    let copy_ms = 1_300;
    for claims in [&mut first, &mut second] {
        holders[..2].iter().for_each(|&holder| claims.holder_lost(holder, true, 1_010));
        claims.set_without_agents(|holder| Some(holder != holders[2]), copy_ms);
    }
    second.begin(JOB, &entries(14), 4_000, copy_ms);
    second.confirmed(holders[2], copy_ms);
    let copy = answer(&mut second, GRANTED, holders[2], copy_ms);
    let is_given_up = !first.take_lapsed(copy_ms).is_empty();
    assert!(copy.is_none() || is_given_up, "a copy is granted beside the job");
}

/// Two entries, the first of which stands still for 0.9 s, and goes on: no holder has anything else.
#[test]
fn jobs_go_on_where_the_first_of_two_stands_still_for_900_ms() {
    let two = entries(2);
    let asked = holders(JOB, &two);
    let mut lapsed = Vec::new();
    for give_up_ms in [860, 1_240] {
        let mut second = Claims::new(ClaimLimits { give_up_ms, ..LIMITS });
        second.begin(JOB, &two, 20_000, 0);
        answer(&mut second, GRANTED, asked[0], 1);
        answer(&mut second, GRANTED, asked[1], 1);
        for now_ms in (0..4_000).step_by(20) {
            // The first one stands still from 1,010 to 1,910 ms.
            if now_ms <= 1_000 && now_ms % 100 == 0 || now_ms >= 1_920 {
                second.confirmed(asked[0], now_ms);
            }
            second.confirmed(asked[1], now_ms);
            lapsed.extend(second.take_lapsed(now_ms).into_iter().map(|_| (give_up_ms, now_ms)));
        }
    }
    assert_eq!(lapsed, [], "given up (limit, when)");
}

/// As `a_hello_within_a_cut_does_not_outlast_the_claim`, with the agent's ledger: the lease of the
/// run that the entry has placed there after the hello.
#[test]
fn a_lease_for_a_run_after_a_hello_within_a_cut_ends_with_the_claim() {
    use sycamorerail_decide::ledger::{LeaseAnswer, Ledger, StartAnswer};
    use sycamorerail_wire::runs::{InstanceId, PlacementTarget, Resources, StepPlacement, TaskKey, TaskStart, UpstreamInstance};
    let (mut claims, holders) = granted_claim(&[0, 1, 2]);
    let cut_ms = 1_000;
    holders.iter().for_each(|&holder| claims.confirmed(holder, cut_ms));
    let hello_ms = cut_ms + 800;
    assert_eq!(claims.take_lapsed(hello_ms + 20), [], "the entry has the job, and places tasks");
    assert!(claims.acknowledge_until_ms() < hello_ms);
    let other = Incarnation(9);
    let mut ledger = Ledger::new(LedgerLimits::default());
    let need = Resources { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 };
    let id = InstanceId::without_start("a");
    ledger.set_upstream(UpstreamInstance {
        id: id.clone(), order_fence: 0, pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(), leaving: false,
    });
    let key = TaskKey { job: JOB, step: 0, index: 0 };
    let renew = |ledger: &mut Ledger, now_ms: u64, running: &[(TaskKey, u32)]| {
        let answer = LeaseAnswer {
            instance: ledger.current_instance().cloned().unwrap_or_default(),
            fence: 0, sent_ms: now_ms, clock_ms: now_ms, running: running.to_vec(), ended: Vec::new(),
        };
        ledger.handle_renewal_answer(&answer, now_ms);
    };
    ledger.note_owner_contact(other, hello_ms);
    renew(&mut ledger, hello_ms, &[]);
    // Its hello, welcomed at once.
    ledger.introduce_owner(FIRST, hello_ms);
    ledger.place(FIRST, StepPlacement {
        job: JOB, step: 0,
        target: PlacementTarget { instance: id, pool: "desk".to_owned(), required_label: None },
        spec: "spec".to_owned(), tasks: vec![TaskStart { index: 0, run: 1 }], need, run_ms: 1_500,
        priority: 1, objective_in_ms: 2_000, give_up_in_ms: 4_000, job_mostly_started: false,
        age_ms: 0, suspect: false,
    }, hello_ms + 10);
    let order = ledger.next_start(hello_ms + 10).unwrap();
    ledger.handle_start_answer(order.task, 1, StartAnswer::Started, hello_ms + 10);
    // The entry is killed at once. The agent renews as it does, and stands still at 800 ms later.
    let mut lease_ms = 0;
    for now_ms in (hello_ms + 20..hello_ms + 800).step_by(40) {
        ledger.note_owner_contact(other, now_ms);
        renew(&mut ledger, now_ms, &[(key, 1)]);
        lease_ms = lease_ms.max(ledger.lease_until_clock_ms(now_ms).unwrap_or(0));
    }
    let claim_ends_ms = cut_ms + LIMITS.outlast_ms();
    assert!(lease_ms <= claim_ends_ms, "lease to {lease_ms} ms, the claim ends at {claim_ends_ms} ms");
}

/// Leases of another entry's runs while one entry acknowledges nothing.
#[test]
fn other_entries_leases_while_one_entry_acknowledges_nothing() {
    use sycamorerail_decide::ledger::{LeaseAnswer, Ledger};
    use sycamorerail_wire::runs::{InstanceId, Resources, UpstreamInstance};
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(UpstreamInstance {
        id: InstanceId::without_start("a"), order_fence: 0, pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(), leaving: false,
    });
    let other = Incarnation(9);
    let answer = LeaseAnswer {
        instance: ledger.current_instance().cloned().unwrap_or_default(),
        fence: 0, sent_ms: 1, clock_ms: 1, running: Vec::new(), ended: Vec::new(),
    };
    ledger.handle_renewal_answer(&answer, 1);
    // The last contact before the pause, and just before the next one.
    ledger.note_owner_contact(FIRST, 1_160);
    let mut left = Vec::new();
    for now_ms in [1_400, 1_600, 1_860, 2_000] {
        ledger.note_owner_contact(other, now_ms);
        let answer = LeaseAnswer { sent_ms: now_ms, clock_ms: now_ms, ..answer.clone() };
        ledger.handle_renewal_answer(&answer, now_ms);
        left.push((now_ms, ledger.lease_until_clock_ms(now_ms).map(|end_ms| end_ms - now_ms)));
    }
    println!("lease left for other entries' runs (at, ms): {left:?}");
    assert!(left.iter().all(|(_, left_ms)| left_ms.is_some_and(|left_ms| left_ms >= 700)), "{left:?}");
}

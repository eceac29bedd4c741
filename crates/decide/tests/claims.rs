//! Claims on jobs: who may run a job that several entries are asked for.

use {
    std::net::SocketAddr,
    sycamorerail_decide::{
        claims::{ClaimDecision, ClaimLimits, ClaimRequest, ClaimTable, Claims, HOLDERS, holders},
        dispatch::MAX_TICK_MS,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            AnsweredClaim, CallerJobId, ClaimAnswer, ClaimRelease, ClaimStanding, EntryAddress,
            JobClaim,
        },
    },
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const JOB: CallerJobId = CallerJobId(7);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const DEADLINE_MS: u64 = 1_500;
const GRANTED: ClaimAnswer = ClaimAnswer::Granted;

/// So many entries in four data centres.
fn entries(count: u8) -> Vec<EntryAddress> {
    let entry = |last: u8| EntryAddress {
        address: SocketAddr::from(([10, 0, 0, last], 7_720)),
        data_centre: format!("dc-{}", last % 4),
    };
    (1..=count).map(entry).collect()
}

fn new_claim(for_ms: u64) -> JobClaim {
    JobClaim { job: JOB, number: 1, for_ms, standing: ClaimStanding::New }
}

/// Returns a holder's answer to a claim.
fn ask(table: &mut ClaimTable, claim: JobClaim, claimant: Incarnation, now_ms: u64) -> ClaimAnswer {
    table.claim(claim, claimant, now_ms).answer
}

fn release(after_ms: u64) -> ClaimRelease {
    ClaimRelease { job: JOB, number: 1, after_ms }
}

/// Passes an answer to the first claim on to its claimant.
fn answer(
    claims: &mut Claims,
    holder: SocketAddr,
    answer: ClaimAnswer,
    now_ms: u64,
) -> Option<ClaimDecision> {
    claims.answered(AnsweredClaim { job: JOB, number: 1, answer }, holder, now_ms)
}

/// Returns a claim that began at 0 ms, and its holders.
fn begun() -> (Claims, Vec<SocketAddr>) {
    let mut claims = Claims::new(LIMITS);
    let asked = claims.begin(JOB, &entries(14), DEADLINE_MS, 0);
    (claims, asked.into_iter().map(|request| request.holder).collect())
}

fn granted(claims: &mut Claims, holder: SocketAddr) -> Option<ClaimDecision> {
    answer(claims, holder, GRANTED, 1)
}

/// Passes so much time in the steps of an entry that runs all the while.
fn wait(claims: &mut Claims, until_ms: u64) -> Vec<CallerJobId> {
    (0..=until_ms).step_by(20).flat_map(|now_ms| claims.tick(now_ms).0).collect()
}

/// Guards against entries that ask different holders.
#[test]
fn every_entry_asks_the_same_holders() {
    let mut shuffled = entries(14);
    shuffled.reverse();
    shuffled.push(shuffled[3].clone());
    for id in 0..100 {
        let asked = holders(CallerJobId(id), &entries(14));
        assert_eq!(asked.len(), HOLDERS);
        assert_eq!(asked, holders(CallerJobId(id), &shuffled));
    }
}

/// Guards against one lost entry that holds all jobs up.
#[test]
fn a_majority_grants() {
    let (mut claims, holders) = begun();
    assert_eq!(granted(&mut claims, holders[0]), None);
    assert_eq!(granted(&mut claims, holders[2]), Some(ClaimDecision::Granted));
    assert_eq!(granted(&mut claims, holders[1]), None);
}

/// Guards against a job that runs at two entries.
#[test]
fn a_holder_grants_one_entry() {
    let mut table = ClaimTable::new(LIMITS);
    assert_eq!(ask(&mut table, new_claim(2_740), FIRST, 0), GRANTED);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 1_390), ClaimAnswer::Held);
    assert_eq!(ask(&mut table, new_claim(2_740), FIRST, 1_300), GRANTED);
    let (mut claims, holders) = begun();
    let denied = ClaimDecision::Denied { holder: holders[0] };
    assert_eq!(answer(&mut claims, holders[0], ClaimAnswer::Held, 1), None);
    assert_eq!(answer(&mut claims, holders[1], ClaimAnswer::Held, 1), Some(denied));
}

/// Guards against a job that ends as a holder changes its mind.
#[test]
fn a_granted_claim_is_not_denied() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    granted(&mut claims, holders[1]);
    assert_eq!(answer(&mut claims, holders[2], ClaimAnswer::Held, 2), None);
}

/// Guards against a caller that is refused though its first attempt is over.
#[test]
fn a_released_claim_is_free() {
    let mut table = ClaimTable::new(LIMITS);
    ask(&mut table, new_claim(2_740), FIRST, 0);
    table.release(release(0), SECOND, 50);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 60), ClaimAnswer::Held);
    table.release(release(100), FIRST, 100);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 199), ClaimAnswer::Ending { in_ms: 1 });
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 200), GRANTED);
}

/// Guards against a copy that runs beside what its entry has left, or is refused though that is
/// over soon.
#[test]
fn claims_of_a_dead_entry_end_after_its_runs() {
    let mut table = ClaimTable::new(LIMITS);
    table.connected(FIRST, 1, 0);
    ask(&mut table, new_claim(20_000), FIRST, 0);
    table.disconnected(FIRST, 1, 1_000);
    let over_ms = 1_000 + LIMITS.outlast_ms();
    // A copy that comes as soon as callers come again waits.
    let copy = ask(&mut table, new_claim(2_740), SECOND, 1_000 + 1_300);
    assert_eq!(copy, ClaimAnswer::Ending { in_ms: 240 });
    let ending = ClaimAnswer::Ending { in_ms: 1 };
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, over_ms - 1), ending);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, over_ms), GRANTED);
}

/// Guards against a copy that is denied as another entry's claim ends, or granted beside it.
#[test]
fn a_claim_waits_for_one_that_ends() {
    let (mut claims, holders) = begun();
    let ending = ClaimAnswer::Ending { in_ms: 400 };
    let postponed = Some(ClaimDecision::Postponed);
    assert_eq!(answer(&mut claims, holders[0], ending, 10), postponed);
    assert_eq!(answer(&mut claims, holders[1], ending, 10), postponed);
    assert_eq!(granted(&mut claims, holders[2]), None);
    assert_eq!(claims.tick(109), (Vec::new(), Vec::new()));
    assert_eq!(claims.tick(110).1.len(), 2);
    assert_eq!(granted(&mut claims, holders[0]), Some(ClaimDecision::Granted));
}

/// Guards against a claim that is granted to another entry while its own one, which can't reach its
/// holders, goes on.
#[test]
fn a_claim_outlasts_its_claimant() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    granted(&mut claims, holders[1]);
    claims.confirmed(holders[0], 700);
    claims.confirmed(holders[1], 600);
    claims.confirmed(holders[2], 800);
    assert_eq!(claims.take_lapsed(600 + LIMITS.give_up_ms - 1), []);
    let given_up_ms = 600 + LIMITS.give_up_ms;
    assert_eq!(claims.take_lapsed(given_up_ms), [JOB]);
    assert_eq!(claims.take_lapsed(given_up_ms + 1), []);
    let mut table = ClaimTable::new(LIMITS);
    table.connected(FIRST, 1, 0);
    ask(&mut table, new_claim(20_000), FIRST, 0);
    table.heard(FIRST, 600);
    table.disconnected(FIRST, 1, 600);
    let runs_end_ms = given_up_ms + LIMITS.stop_within_ms();
    assert!(runs_end_ms <= 600 + LIMITS.outlast_ms());
    let before = ask(&mut table, new_claim(2_740), SECOND, 600 + LIMITS.outlast_ms() - 1);
    assert_eq!(before, ClaimAnswer::Ending { in_ms: 1 });
}

/// Guards against jobs that are given up after a stall of their own entry, before holders are
/// asked.
#[test]
fn a_claim_that_is_asked_for_again_has_time() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    granted(&mut claims, holders[1]);
    claims.claim_again(3_000);
    assert_eq!(claims.take_lapsed(3_000 + LIMITS.lost_after_ms - 1), []);
    assert_eq!(claims.take_lapsed(3_000 + LIMITS.lost_after_ms), [JOB]);
}

/// Guards against a data centre whose loss takes the majority of a job's holders along.
#[test]
fn holders_are_in_different_data_centres() {
    let entries = entries(14);
    let data_centre =
        |holder: &SocketAddr| &entries.iter().find(|it| it.address == *holder).unwrap().data_centre;
    for id in 0..100 {
        let holders = holders(CallerJobId(id), &entries);
        let mut data_centres: Vec<_> = holders.iter().map(data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        assert_eq!(data_centres.len(), HOLDERS);
    }
}

/// Guards against jobs that wait until their callers give up at an entry that can't run them.
#[test]
fn an_entry_without_a_majority_says_so() {
    let (mut claims, asked) = begun();
    let entries = entries(14);
    assert!(claims.can_be_granted(JOB, &entries, 0) && !claims.is_apart(&entries, 0));
    claims.holder_lost(asked[0], false, 0);
    claims.holder_lost(asked[1], false, 100);
    assert!(claims.can_be_granted(JOB, &entries, 100 + LIMITS.lost_after_ms - 1));
    assert!(!claims.can_be_granted(JOB, &entries, 100 + LIMITS.lost_after_ms));
    claims.holder_reached(asked[0]);
    assert!(claims.can_be_granted(JOB, &entries, 1_000) && !claims.is_apart(&entries, 1_000));
    let others = entries.iter().map(|entry| entry.address).filter(|entry| *entry != asked[1]);
    let others: Vec<_> = others.take(7).collect();
    others[1..].iter().for_each(|&entry| claims.holder_lost(entry, false, 1_000));
    assert!(!claims.is_apart(&entries, 5_000));
    claims.holder_lost(others[0], false, 5_000);
    assert!(!claims.is_apart(&entries, 5_000 + LIMITS.lost_after_ms - 1));
    assert!(claims.is_apart(&entries, 5_000 + LIMITS.lost_after_ms));
}

/// Guards against one holder of three that decides alone, as the others have left, are gone or have
/// started lately: what they have granted may run.
#[test]
fn one_holder_of_three_decides_nothing() {
    type Lose = fn(&mut Claims, SocketAddr);
    let ways: [Lose; 3] = [
        |claims, holder| claims.holder_left(holder, 5),
        |claims, holder| claims.holder_lost(holder, true, 5),
        |claims, holder| {
            answer(claims, holder, ClaimAnswer::NotYet { in_ms: 1_600 }, 5);
        },
    ];
    for lose in ways {
        let (mut claims, asked) = begun();
        lose(&mut claims, asked[0]);
        lose(&mut claims, asked[1]);
        assert_eq!(granted(&mut claims, asked[2]), None);
        for now_ms in (10..20_000).step_by(20) {
            claims.confirmed(asked[2], now_ms);
            assert_eq!(claims.tick(now_ms).0, [], "granted by one holder at {now_ms} ms");
        }
    }
}

/// Guards against jobs that wait for holders that have said that they end.
#[test]
fn jobs_of_holders_that_have_left_are_refused_at_once() {
    let (mut claims, asked) = begun();
    claims.holder_left(asked[0], 5);
    assert!(claims.can_be_granted(JOB, &entries(14), 5));
    claims.holder_left(asked[1], 5);
    assert!(!claims.can_be_granted(JOB, &entries(14), 5));
    claims.holder_reached(asked[0]);
    assert!(claims.can_be_granted(JOB, &entries(14), 6));
}

/// Guards against two entries of which none serves as they can't reach each other, or both do.
#[test]
fn one_of_two_entries_has_the_casting_vote() {
    let two = entries(2);
    let asked = holders(JOB, &two);
    let claim_at = |own: usize| {
        let mut claims = Claims::new(LIMITS);
        claims.begin(JOB, &two, DEADLINE_MS, 0);
        claims.holder_lost(asked[1 - own], true, 0);
        let decision = granted(&mut claims, asked[own]);
        (decision, claims.can_be_granted(JOB, &two, 10_000))
    };
    assert_eq!(claim_at(0), (Some(ClaimDecision::Granted), true));
    assert_eq!(claim_at(1), (None, false));
}

/// Guards against a job that is given up as a holder is back which has confirmed nothing yet.
#[test]
fn a_holder_that_is_back_ends_no_claim() {
    let (mut claims, asked) = begun();
    granted(&mut claims, asked[0]);
    granted(&mut claims, asked[1]);
    claims.holder_lost(asked[2], true, 0);
    for now_ms in (0..5_000).step_by(20) {
        asked[..2].iter().for_each(|&holder| claims.confirmed(holder, now_ms));
        assert_eq!(claims.take_lapsed(now_ms), []);
    }
    claims.holder_reached(asked[2]);
    claims.confirmed(asked[0], 5_000 + LIMITS.give_up_ms);
    assert_eq!(claims.take_lapsed(4_980 + LIMITS.give_up_ms - 1), []);
    assert_eq!(claims.take_lapsed(4_980 + LIMITS.give_up_ms), [JOB]);
}

/// Guards against a copy that is refused although its first attempt has had no answer until its
/// deadline.
#[test]
fn claims_end_before_callers_come_again() {
    let mut claims = Claims::new(LIMITS);
    let asked = claims.begin(JOB, &entries(3), DEADLINE_MS, 0);
    assert!(asked.iter().all(|request| request.claim.for_ms < DEADLINE_MS + 1_300));
}

/// Guards against claims that end with a connection, as the next one is there already.
#[test]
fn a_second_connection_keeps_claims() {
    let mut table = ClaimTable::new(LIMITS);
    table.connected(FIRST, 1, 0);
    ask(&mut table, new_claim(20_000), FIRST, 0);
    table.connected(FIRST, 2, 100);
    ask(&mut table, JobClaim { standing: ClaimStanding::Granted, ..new_claim(19_900) }, FIRST, 100);
    table.disconnected(FIRST, 1, 200);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 18_000), ClaimAnswer::Held);
    let ending = ClaimAnswer::Ending { in_ms: 1 };
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 19_999), ending);
}

/// Guards against a copy beside a job that a holder has forgotten over its restart.
#[test]
fn a_restarted_holder_grants_nothing_before_earlier_claims_are_over() {
    let mut table = ClaimTable::restarted(LIMITS, 0);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 40), ClaimAnswer::NotYet { in_ms: 1_500 });
    let renewed = JobClaim { standing: ClaimStanding::Granted, ..new_claim(2_000) };
    assert_eq!(ask(&mut table, renewed, FIRST, 50), GRANTED);
    let ending = ClaimAnswer::Ending { in_ms: 510 };
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 1_540), ending);
    let (mut claims, holders) = begun();
    assert_eq!(answer(&mut claims, holders[0], ClaimAnswer::NotYet { in_ms: 100 }, 10), None);
    assert_eq!(claims.tick(109).1, []);
    assert_eq!(claims.tick(110).1.len(), 1);
}

/// Guards against two entries that are granted a job on two sides of a cut.
#[test]
fn a_minority_never_grants() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    claims.holder_lost(holders[1], false, 10);
    claims.holder_lost(holders[2], true, 10);
    assert_eq!(wait(&mut claims, 20_000), []);
}

/// Guards against an entry that knows nothing and runs a job all the same.
#[test]
fn a_claim_without_a_holder_is_not_granted() {
    let (mut claims, _) = begun();
    assert_eq!(wait(&mut claims, 10_000), []);
}

/// Guards against an entry that stood still and takes that time for silence of the holders.
#[test]
fn an_own_stall_grants_nothing() {
    let (mut claims, holders) = begun();
    claims.tick(0);
    granted(&mut claims, holders[0]);
    assert_eq!(claims.tick(3_000).0, []);
    assert_eq!(answer(&mut claims, holders[1], ClaimAnswer::Held, 3_001), None);
    assert_eq!(
        answer(&mut claims, holders[2], ClaimAnswer::Held, 3_001),
        Some(ClaimDecision::Denied { holder: holders[1] })
    );
}

/// Guards against a copy that waits until its deadline: one holder has the job for another entry,
/// and one of the others can't be reached.
#[test]
fn a_claim_that_no_majority_can_grant_is_denied() {
    let (mut claims, holders) = begun();
    assert_eq!(answer(&mut claims, holders[0], ClaimAnswer::Held, 1), None);
    granted(&mut claims, holders[1]);
    claims.holder_lost(holders[2], false, 2);
    assert_eq!(claims.denied(1 + LIMITS.lost_after_ms), []);
    assert_eq!(claims.denied(2 + LIMITS.lost_after_ms), [(JOB, holders[0])]);
}

/// Guards against the loss of all entries but one, which serves nobody.
#[test]
fn the_last_entry_of_the_roster_serves() {
    let own = &entries(1);
    let mut claims = Claims::new(LIMITS);
    for other in &entries(14)[1..] {
        claims.holder_lost(other.address, true, 0);
    }
    claims.begin(JOB, &entries(14), DEADLINE_MS, 10);
    assert_eq!(wait(&mut claims, 2 * LIMITS.lost_after_ms), []);
    claims.set_entries(own, 1_000);
    claims.confirmed(own[0].address, 1_000);
    let granted = answer(&mut claims, own[0].address, GRANTED, 1_001);
    assert_eq!(granted, Some(ClaimDecision::Granted));
    claims.end(JOB);
    assert!(claims.can_be_granted(JOB, own, 1_100));
    let asked = claims.begin(JOB, own, 10_000, 1_100);
    assert_eq!(asked.iter().map(|request| request.holder).collect::<Vec<_>>(), [own[0].address]);
}

/// Guards against a holder that counts as gone after it is back.
#[test]
fn a_holder_that_is_back_has_a_vote() {
    let (mut claims, holders) = begun();
    claims.holder_lost(holders[0], true, 5);
    claims.holder_reached(holders[0]);
    claims.end(JOB);
    claims.begin(JOB, &entries(14), DEADLINE_MS, 10);
    let granted = AnsweredClaim { job: JOB, number: 2, answer: GRANTED };
    assert_eq!(claims.answered(granted, holders[1], 11), None);
    assert_eq!(claims.answered(granted, holders[0], 11), Some(ClaimDecision::Granted));
}

/// Guards against a claim that is granted by the answer to the one before.
#[test]
fn a_late_answer_grants_no_other_claim() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    claims.end(JOB);
    claims.begin(JOB, &entries(14), DEADLINE_MS, 10);
    assert_eq!(granted(&mut claims, holders[0]), None);
    assert_eq!(granted(&mut claims, holders[1]), None);
}

/// Guards against two entries that run a job, as those that granted it to the first are lost.
#[test]
fn a_lost_holder_does_not_make_a_majority() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    claims.holder_lost(holders[1], true, 5);
    claims.holder_lost(holders[2], true, 5);
    assert_eq!(claims.tick(10).0, []);
}

/// Guards against a holder that never learns of a granted claim, as it held the job for another.
#[test]
fn a_granted_claim_is_sent_until_it_is_noted() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    granted(&mut claims, holders[1]);
    answer(&mut claims, holders[2], ClaimAnswer::Held, 2);
    let again = claims.tick(20).1;
    assert_eq!(again.len(), 1);
    assert!(again[0].holder == holders[2] && again[0].claim.standing == ClaimStanding::Granted);
}

/// Guards against a copy that is granted beside a claim which other holders have granted, and which
/// this one held up for an entry that has given the job up since.
#[test]
fn a_claim_that_waits_goes_before_later_ones() {
    let third = Incarnation(3);
    let mut table = ClaimTable::new(LIMITS);
    table.connected(SECOND, 1, 0);
    assert_eq!(ask(&mut table, new_claim(2_740), FIRST, 0), GRANTED);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 10), ClaimAnswer::Held);
    table.release(release(0), FIRST, 20);
    assert_eq!(ask(&mut table, new_claim(2_740), third, 30), ClaimAnswer::Held);
    table.disconnected(SECOND, 1, 40);
    let outlast_ms = u32::try_from(LIMITS.outlast_ms()).unwrap();
    let ending = ClaimAnswer::Ending { in_ms: outlast_ms - 500 };
    assert_eq!(ask(&mut table, new_claim(2_740), third, 540), ending);
}

/// Guards against a majority of which one vote is older than holders keep claims.
#[test]
fn an_old_vote_makes_no_majority() {
    let (mut claims, holders) = begun();
    claims.confirmed(holders[0], 100);
    assert_eq!(granted(&mut claims, holders[0]), None);
    let late_ms = 100 + LIMITS.margin_ms - MAX_TICK_MS;
    claims.confirmed(holders[1], late_ms);
    assert_eq!(answer(&mut claims, holders[1], GRANTED, late_ms), None);
    claims.confirmed(holders[0], late_ms);
    assert_eq!(claims.tick(late_ms).0, [JOB]);
}

/// Guards against a copy that is denied though its job was given up, as its claim was sent again
/// since.
#[test]
fn a_claim_that_ends_is_renewed_as_such() {
    let mut table = ClaimTable::new(LIMITS);
    ask(&mut table, new_claim(2_740), FIRST, 0);
    table.release(release(1_000), FIRST, 100);
    assert_eq!(ask(&mut table, new_claim(900), FIRST, 200), GRANTED);
    let ending = ClaimAnswer::Ending { in_ms: 100 };
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 1_000), ending);
}

/// Guards against an earlier claim that a replaced connection delivers late, and that shortens the
/// present one.
#[test]
fn an_overtaken_claim_changes_nothing() {
    let mut table = ClaimTable::new(LIMITS);
    let next = JobClaim { number: 2, ..new_claim(2_740) };
    assert_eq!(ask(&mut table, next, FIRST, 0), GRANTED);
    assert_eq!(ask(&mut table, new_claim(100), FIRST, 10), ClaimAnswer::Held);
    let ending = ClaimAnswer::Ending { in_ms: 740 };
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 2_000), ending);
}

/// Guards against an entry that goes on with a job which it could not keep its claim on.
#[test]
fn a_claim_that_has_lapsed_is_denied() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    granted(&mut claims, holders[1]);
    assert_eq!(answer(&mut claims, holders[0], ClaimAnswer::Held, 2_000), None);
    let denied = Some(ClaimDecision::Denied { holder: holders[1] });
    assert_eq!(answer(&mut claims, holders[1], ClaimAnswer::Held, 2_000), denied);
}

/// Guards against an entry that asks only those which it knew as the job came.
#[test]
fn entries_that_become_known_are_asked() {
    let mut claims = Claims::new(LIMITS);
    let own = holders(JOB, &entries(14))[0];
    let known: Vec<_> = entries(14).into_iter().filter(|entry| entry.address == own).collect();
    claims.begin(JOB, &known, DEADLINE_MS, 0);
    assert_eq!(claims.set_entries(&entries(14), 10).len(), HOLDERS - 1);
    assert_eq!(answer(&mut claims, own, GRANTED, 11), None);
    let other = holders(JOB, &entries(14))[1];
    assert_eq!(answer(&mut claims, other, GRANTED, 11), Some(ClaimDecision::Granted));
}

/// Guards against a job that one holder grants alone, as the others have started lately and may have
/// granted it to another entry before, and against one that is not granted once they can tell.
#[test]
fn holders_that_have_started_lately_are_waited_for() {
    let (mut claims, holders) = begun();
    let not_yet = ClaimAnswer::NotYet { in_ms: 1_000 };
    assert_eq!(granted(&mut claims, holders[2]), None);
    assert_eq!(answer(&mut claims, holders[0], not_yet, 1), None);
    assert_eq!(answer(&mut claims, holders[1], not_yet, 1), None);
    assert_eq!(claims.tick(1_000), (Vec::new(), Vec::new()));
    assert_eq!(claims.tick(1_001).1.len(), 2);
    holders.iter().for_each(|&holder| claims.confirmed(holder, 1_002));
    assert_eq!(answer(&mut claims, holders[0], GRANTED, 1_002), Some(ClaimDecision::Granted));
}

/// Guards against a copy that is refused as agents have not said that the runs of a job are over
/// which its entry has given up.
#[test]
fn the_claim_on_a_job_that_is_given_up_ends_with_its_runs() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    claims.end_by(JOB, 200 + LIMITS.run_over_ms);
    let renewed = claims.renewals(holders[0], 200);
    assert_eq!(renewed[0].claim.for_ms, LIMITS.run_over_ms);
}

/// Returns a holder that has granted the job to an entry which it hears until 1,000 ms, and looks
/// at what is due until some time.
fn holder_of_a_silent_claim(ticks_until_ms: u64) -> ClaimTable {
    let mut table = ClaimTable::new(LIMITS);
    table.connected(FIRST, 1, 0);
    ask(&mut table, new_claim(20_000), FIRST, 0);
    for now_ms in (0..=ticks_until_ms).step_by(20) {
        if now_ms <= 1_000 {
            table.heard(FIRST, now_ms);
        }
        table.tick(now_ms);
    }
    table
}

/// Guards against a copy that is refused though its entry stands still, and agents have ended its
/// runs.
#[test]
fn claims_of_a_silent_entry_end_after_its_runs() {
    let over_ms = 1_000 + LIMITS.outlast_ms() + 20;
    let mut table = holder_of_a_silent_claim(over_ms - 60);
    let ending = ClaimAnswer::Ending { in_ms: 1 };
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, over_ms - 1), ending);
    let mut table = holder_of_a_silent_claim(over_ms);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, over_ms + 10), GRANTED);
}

/// Guards against a holder that stood still and takes that time for silence of a claimant.
#[test]
fn a_holders_stall_is_no_silence() {
    let mut table = holder_of_a_silent_claim(1_000);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 4_000), ClaimAnswer::Held);
    table.tick(4_000);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 4_010), ClaimAnswer::Held);
}

/// Guards against an entry that stood still and goes on with jobs that others have been granted.
#[test]
fn claims_are_granted_again_after_a_stall() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    granted(&mut claims, holders[1]);
    let again = claims.claim_again(LIMITS.give_up_ms - 1);
    let all_are = |again: &[ClaimRequest], standing| {
        again.len() == HOLDERS && again.iter().all(|request| request.claim.standing == standing)
    };
    assert!(all_are(&again, ClaimStanding::Granted));
    // It may have ended by now.
    let again = claims.claim_again(3_000);
    assert!(all_are(&again, ClaimStanding::Renewed { confirmed_ago_ms: 3_000 }));
    let number = again[0].claim.number;
    let held = AnsweredClaim { job: JOB, number, answer: ClaimAnswer::Held };
    let denied = Some(ClaimDecision::Denied { holder: holders[1] });
    assert_eq!(claims.answered(held, holders[2], 3_001), None);
    assert_eq!(claims.answered(held, holders[1], 3_001), denied);
}

//! Claims on jobs: who may run a job that several entries are asked for.

use {
    std::net::SocketAddr,
    sycamorerail_decide::claims::{
        ClaimDecision, ClaimLimits, ClaimTable, Claims, HOLDERS, holders,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{AnsweredClaim, CallerJobId, ClaimAnswer, ClaimRelease, JobClaim},
    },
};

const LIMITS: ClaimLimits =
    ClaimLimits { run_over_ms: 1_240, patience_ms: 250, forget_holder_ms: 2_740 };
const JOB: CallerJobId = CallerJobId(7);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const DEADLINE_MS: u64 = 1_500;

fn entries(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|last| SocketAddr::from(([10, 0, 0, last], 7_720))).collect()
}

fn new_claim(for_ms: u64) -> JobClaim {
    JobClaim { job: JOB, number: 1, for_ms, is_granted: false }
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
    answer(claims, holder, ClaimAnswer::Granted, 1)
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
    shuffled.push(shuffled[3]);
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
    let mut table = ClaimTable::new(LIMITS.run_over_ms);
    assert_eq!(ask(&mut table, new_claim(2_740), FIRST, 0), ClaimAnswer::Granted);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 1_390), ClaimAnswer::Held);
    assert_eq!(ask(&mut table, new_claim(2_740), FIRST, 1_300), ClaimAnswer::Granted);
    let (mut claims, holders) = begun();
    let denied = ClaimDecision::Denied { holder: holders[0] };
    assert_eq!(answer(&mut claims, holders[0], ClaimAnswer::Held, 1), Some(denied));
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
    let mut table = ClaimTable::new(LIMITS.run_over_ms);
    ask(&mut table, new_claim(2_740), FIRST, 0);
    table.release(release(0), SECOND, 50);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 60), ClaimAnswer::Held);
    table.release(release(100), FIRST, 100);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 199), ClaimAnswer::Held);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 200), ClaimAnswer::Granted);
}

/// Guards against a copy that is refused though its entry is gone, with its runs.
#[test]
fn claims_of_a_dead_entry_end_with_its_runs() {
    let mut table = ClaimTable::new(LIMITS.run_over_ms);
    let connection = table.connected(FIRST, 0);
    ask(&mut table, new_claim(20_000), FIRST, 0);
    table.disconnected(FIRST, connection, 1_000);
    let over_ms = 1_000 + LIMITS.run_over_ms;
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, over_ms - 1), ClaimAnswer::Held);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, over_ms), ClaimAnswer::Granted);
    // Callers come again later.
    const { assert!(LIMITS.run_over_ms < 1_300) };
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
    let mut table = ClaimTable::new(LIMITS.run_over_ms);
    let connection = table.connected(FIRST, 0);
    ask(&mut table, new_claim(20_000), FIRST, 0);
    table.connected(FIRST, 100);
    ask(&mut table, JobClaim { is_granted: true, ..new_claim(19_900) }, FIRST, 100);
    table.disconnected(FIRST, connection, 200);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 19_999), ClaimAnswer::Held);
}

/// Guards against a copy beside a job that a holder has forgotten over its restart.
#[test]
fn a_restarted_holder_grants_nothing_before_earlier_claims_are_over() {
    let mut table = ClaimTable::restarted(LIMITS.run_over_ms, 0);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 40), ClaimAnswer::NotYet { in_ms: 1_350 });
    let renewed = JobClaim { is_granted: true, ..new_claim(2_000) };
    assert_eq!(ask(&mut table, renewed, FIRST, 50), ClaimAnswer::Granted);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 1_390), ClaimAnswer::Held);
    let (mut claims, holders) = begun();
    assert_eq!(answer(&mut claims, holders[0], ClaimAnswer::NotYet { in_ms: 100 }, 10), None);
    assert_eq!(claims.tick(109).1, []);
    assert_eq!(claims.tick(110).1.len(), 1);
}

/// Guards against jobs that are held up for good as two of their holders are silent.
#[test]
fn patience_ends() {
    let (mut claims, holders) = begun();
    granted(&mut claims, holders[0]);
    assert_eq!(wait(&mut claims, LIMITS.patience_ms - 20), []);
    assert_eq!(wait(&mut claims, 2 * LIMITS.patience_ms), [JOB]);
}

/// Guards against an entry that knows nothing and runs a job all the same.
#[test]
fn a_claim_without_a_holder_is_not_granted() {
    let (mut claims, _) = begun();
    assert_eq!(wait(&mut claims, 10_000), []);
}

/// Guards against an entry that stood still and takes that time for silence of the holders.
#[test]
fn an_own_stall_is_no_patience() {
    let (mut claims, holders) = begun();
    claims.tick(0);
    granted(&mut claims, holders[0]);
    assert_eq!(claims.tick(3_000).0, []);
    assert_eq!(
        answer(&mut claims, holders[1], ClaimAnswer::Held, 3_001),
        Some(ClaimDecision::Denied { holder: holders[1] })
    );
}

/// Guards against the loss of all entries but one, which serves nobody.
#[test]
fn the_last_entry_serves() {
    let own = entries(1)[0];
    let mut claims = Claims::new(LIMITS);
    for &other in &entries(14)[1..] {
        claims.holder_lost(other, true, 0);
    }
    claims.begin(JOB, &entries(14), DEADLINE_MS, 10);
    assert_eq!(wait(&mut claims, 2 * LIMITS.patience_ms), [JOB]);
    claims.end(JOB);
    // Once their claims are over they are no holders.
    let asked = claims.begin(JOB, &entries(14), 10_000, LIMITS.forget_holder_ms);
    assert_eq!(asked.iter().map(|request| request.holder).collect::<Vec<_>>(), [own]);
}

/// Guards against a holder that counts as gone after it is back.
#[test]
fn a_holder_that_is_back_has_a_vote() {
    let (mut claims, holders) = begun();
    claims.holder_lost(holders[0], true, 5);
    claims.holder_reached(holders[0]);
    claims.end(JOB);
    claims.begin(JOB, &entries(14), DEADLINE_MS, 10);
    let granted = AnsweredClaim { job: JOB, number: 2, answer: ClaimAnswer::Granted };
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
    assert!(again[0].holder == holders[2] && again[0].claim.is_granted);
}

/// Guards against an earlier claim that a replaced connection delivers late, and that shortens the
/// present one.
#[test]
fn an_overtaken_claim_changes_nothing() {
    let mut table = ClaimTable::new(LIMITS.run_over_ms);
    let next = JobClaim { number: 2, ..new_claim(2_740) };
    assert_eq!(ask(&mut table, next, FIRST, 0), ClaimAnswer::Granted);
    assert_eq!(ask(&mut table, new_claim(100), FIRST, 10), ClaimAnswer::Held);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 2_000), ClaimAnswer::Held);
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
    claims.begin(JOB, &[own], DEADLINE_MS, 0);
    assert_eq!(claims.set_entries(&entries(14), 10).len(), HOLDERS - 1);
    assert_eq!(answer(&mut claims, own, ClaimAnswer::Granted, 11), None);
    let other = holders(JOB, &entries(14))[1];
    assert_eq!(answer(&mut claims, other, ClaimAnswer::Granted, 11), Some(ClaimDecision::Granted));
}

/// Guards against jobs that are held up by stops in turn, after which two holders know nothing.
#[test]
fn a_holder_that_has_not_started_lately_decides() {
    let (mut claims, holders) = begun();
    let not_yet = ClaimAnswer::NotYet { in_ms: 1_000 };
    assert_eq!(answer(&mut claims, holders[0], not_yet, 1), None);
    assert_eq!(answer(&mut claims, holders[1], not_yet, 1), None);
    assert_eq!(granted(&mut claims, holders[2]), Some(ClaimDecision::Granted));
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

/// Returns a holder that has granted the job to an entry which it hears until 1,000 ms, and looks at
/// what is due until some time.
fn holder_of_a_silent_claim(ticks_until_ms: u64) -> ClaimTable {
    let mut table = ClaimTable::new(LIMITS.run_over_ms);
    table.connected(FIRST, 0);
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
fn claims_of_a_silent_entry_end_with_its_runs() {
    let mut table = holder_of_a_silent_claim(2_200);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 2_259), ClaimAnswer::Held);
    let mut table = holder_of_a_silent_claim(2_260);
    assert_eq!(ask(&mut table, new_claim(2_740), SECOND, 2_270), ClaimAnswer::Granted);
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
    let again = claims.claim_again(3_000);
    assert!(again.len() == HOLDERS && again.iter().all(|request| request.claim.is_granted));
    let number = again[0].claim.number;
    let held = AnsweredClaim { job: JOB, number, answer: ClaimAnswer::Held };
    let denied = Some(ClaimDecision::Denied { holder: holders[2] });
    assert_eq!(claims.answered(held, holders[2], 3_001), denied);
}

//! Claims beside cuts, stalls, stops and entries that join: two entries never run a job.

use {
    std::net::SocketAddr,
    sycamorerail_decide::{
        claims::{ClaimDecision, ClaimLimits, ClaimTable, Claims, holders},
        dispatch::MAX_TICK_MS,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{AnsweredClaim, CallerJobId, ClaimAnswer, ClaimStanding, EntryAddress, JobClaim},
    },
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const JOB: CallerJobId = CallerJobId(7);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const GRANTED: ClaimAnswer = ClaimAnswer::Granted;
const STEP_MS: usize = 20;

fn entry(last: u8) -> EntryAddress {
    EntryAddress {
        address: SocketAddr::from(([10, 0, 0, last], 7_720)),
        data_centre: format!("dc-{}", last % 4),
    }
}

/// So many entries in four data centres.
fn entries(count: u8) -> Vec<EntryAddress> {
    (1..=count).map(entry).collect()
}

fn new_claim(for_ms: u64) -> JobClaim {
    JobClaim { job: JOB, number: 1, for_ms, standing: ClaimStanding::New }
}

fn granted(claims: &mut Claims, holder: SocketAddr, now_ms: u64) -> Option<ClaimDecision> {
    claims.answered(AnsweredClaim { job: JOB, number: 1, answer: GRANTED }, holder, now_ms)
}

/// Returns a granted claim that began at 0 ms, and its holders.
fn granted_claim(by: &[usize]) -> (Claims, Vec<SocketAddr>) {
    let mut claims = Claims::new(LIMITS);
    let asked = claims.begin(JOB, &entries(14), 20_000, 0);
    let holders: Vec<_> = asked.into_iter().map(|request| request.holder).collect();
    for &holder in by {
        granted(&mut claims, holders[holder], 1);
    }
    (claims, holders)
}

/// Guards against two runs: an entry is cut off from its holders as it stands still for 400 ms. It
/// counts its wake-up as a confirmation, and gives the job up, whose agents are in contact, when
/// its holders have granted it to another entry.
#[test]
fn a_stall_within_a_cut_does_not_prolong_a_claim() {
    let (mut claims, holders) = granted_claim(&[0, 1, 2]);
    let cut_ms = 1_000;
    let mut table = ClaimTable::new(LIMITS);
    table.connected(FIRST, 1, 0);
    table.claim(new_claim(20_000), FIRST, 0);
    for now_ms in (0..=cut_ms).step_by(STEP_MS) {
        table.heard(FIRST, now_ms);
        table.tick(now_ms);
        holders.iter().for_each(|&holder| claims.confirmed(holder, now_ms));
    }
    let woken_ms = cut_ms + 400;
    claims.claim_again(woken_ms + 40);
    let mut lapses = (woken_ms + 60..).step_by(STEP_MS);
    let given_up_ms = lapses.find(|&now_ms| !claims.take_lapsed(now_ms).is_empty());
    let over_ms = given_up_ms.unwrap() + LIMITS.stop_within_ms();
    let mut copies = (cut_ms + 20..).step_by(STEP_MS).filter(|&now_ms| {
        table.tick(now_ms);
        table.claim(new_claim(2_740), SECOND, now_ms).answer == GRANTED
    });
    let copy_ms = copies.next().unwrap();
    assert!(over_ms <= copy_ms, "runs are over at {over_ms} ms, a copy is granted at {copy_ms} ms");
}

/// Guards against two runs: connections that a claimant has replaced wait at a holder that stood
/// still. It reads them in any order, and takes the end of an older one for that of the claimant,
/// which is connected and heard.
#[test]
fn the_end_of_an_overtaken_connection_does_not_end_claims() {
    let mut table = ClaimTable::new(LIMITS);
    let renewed = JobClaim { standing: ClaimStanding::Granted, ..new_claim(20_000) };
    table.connected(FIRST, 2, 0);
    table.claim(renewed, FIRST, 0);
    // The hello and the claims of the connection before, then its end.
    table.connected(FIRST, 1, 1);
    table.claim(renewed, FIRST, 1);
    table.disconnected(FIRST, 1, 2);
    for now_ms in (0..=3_000).step_by(STEP_MS) {
        table.heard(FIRST, now_ms);
        table.tick(now_ms);
    }
    assert_eq!(table.claim(new_claim(2_740), SECOND, 3_010).answer, ClaimAnswer::Held);
}

/// Guards against two runs: answers of entries that are no holders any more count as votes.
#[test]
fn former_holders_make_no_majority() {
    let few = entries(3);
    let later: Vec<_> = (3..=60).map(entry).collect();
    // A job of which two holders are others as entries become known.
    let moved = |id: &u64| {
        let (before, after) = (holders(CallerJobId(*id), &few), holders(CallerJobId(*id), &later));
        before.iter().filter(|holder| after.contains(holder)).count() == 1
    };
    let job = CallerJobId((0..).find(moved).unwrap());
    let now = holders(job, &later);
    let mut claims = Claims::new(LIMITS);
    let asked = claims.begin(job, &few, 1_500, 0);
    claims.set_entries(&later, 5);
    let decisions = asked.iter().map(|request| {
        let answer = AnsweredClaim { job, number: request.claim.number, answer: GRANTED };
        claims.answered(answer, request.holder, 6)
    });
    let decisions: Vec<_> = decisions.collect();
    let voters = asked.iter().filter(|request| now.contains(&request.holder)).count();
    assert_eq!(voters, 1);
    assert!(decisions.iter().all(Option::is_none), "one of three holders grants: {decisions:?}");
}

/// Guards against the same, with votes that a new connection to former holders gives back to them.
#[test]
fn a_new_connection_makes_no_holder_of_a_former_one() {
    let few = entries(3);
    let later: Vec<_> = (4..=60).map(entry).collect();
    let mut claims = Claims::new(LIMITS);
    let asked = claims.begin(JOB, &few, 1_500, 0);
    let new = claims.set_entries(&later, 5);
    for request in &asked {
        assert!(!claims.renewals(request.holder, 10).is_empty());
        granted(&mut claims, request.holder, 20);
    }
    let decision = granted(&mut claims, new[0].holder, 20);
    assert_eq!((decision, claims.tick(40).0), (None, Vec::new()), "one of three holders grants");
}

/// Guards against two runs without any failure: a second entry joins, ranks first for a job that
/// runs at the first one, and grants itself a copy by its casting vote.
#[test]
fn a_second_entry_does_not_grant_itself_a_running_job() {
    let (one, two) = (entries(1), entries(2));
    let is_second_first = |id: &u64| holders(CallerJobId(*id), &two)[0] == two[1].address;
    let job = CallerJobId((0..).find(is_second_first).unwrap());
    let (mut at_first, mut at_second) =
        (ClaimTable::new(LIMITS), ClaimTable::restarted(LIMITS, 100));
    let mut first = Claims::new(LIMITS);
    let asked = first.begin(job, &one, 20_000, 0);
    let answer = at_first.claim(asked[0].claim, FIRST, 0);
    assert_eq!(first.answered(answer, asked[0].holder, 0), Some(ClaimDecision::Granted));
    // Everything that the first entry sends as it learns of the second one arrives.
    for request in first.set_entries(&two, 200) {
        let table = if request.holder == two[1].address { &mut at_second } else { &mut at_first };
        table.claim(request.claim, FIRST, 200);
    }
    let mut second = Claims::new(LIMITS);
    let decisions = second.begin(job, &two, 20_000, 2_000).into_iter().filter_map(|request| {
        let table = if request.holder == two[1].address { &mut at_second } else { &mut at_first };
        let answer = table.claim(request.claim, SECOND, 2_000);
        second.answered(answer, request.holder, 2_000)
    });
    assert_ne!(decisions.collect::<Vec<_>>().first(), Some(&ClaimDecision::Granted));
}

/// Guards against two runs without any failure: more entries join, and hold a job that others have
/// granted before.
#[test]
fn entries_that_join_know_of_running_jobs() {
    let (few, later) = (entries(3), entries(60));
    let is_moved = |id: &u64| {
        let before = holders(CallerJobId(*id), &few);
        holders(CallerJobId(*id), &later).iter().all(|holder| !before.contains(holder))
    };
    let job = CallerJobId((0..).find(is_moved).unwrap());
    let mut first = Claims::new(LIMITS);
    for request in first.begin(job, &few, 20_000, 0) {
        let answer = AnsweredClaim { job, number: request.claim.number, answer: GRANTED };
        first.answered(answer, request.holder, 1);
    }
    let mut tables: Vec<_> = holders(job, &later)
        .into_iter()
        .map(|holder| (holder, ClaimTable::restarted(LIMITS, 100)))
        .collect();
    for request in first.set_entries(&later, 200) {
        if let Some((_, table)) = tables.iter_mut().find(|(holder, _)| *holder == request.holder) {
            table.claim(request.claim, FIRST, 200);
        }
    }
    let mut second = Claims::new(LIMITS);
    let mut decisions = Vec::new();
    for request in second.begin(job, &later, 20_000, 2_000) {
        let (_, table) = tables.iter_mut().find(|(holder, _)| *holder == request.holder).unwrap();
        let answer = table.claim(request.claim, SECOND, 2_000);
        decisions.extend(second.answered(answer, request.holder, 2_000));
    }
    assert!(!decisions.contains(&ClaimDecision::Granted), "a running job is granted again");
}

/// Returns when the runs of a job are over at an entry, and when a copy is granted by the third
/// holder, if it ever is, which that entry can't reach. The other two, which granted the job, are
/// lost at some time, as `lose` tells the claims of both entries.
fn over_and_copied_ms(lose: impl Fn(&mut Claims, &[SocketAddr], u64)) -> (u64, Option<u64>) {
    let lost_ms = 1_000;
    let (mut first, holders) = granted_claim(&[0, 1]);
    first.holder_lost(holders[2], false, 0);
    let mut second = Claims::new(LIMITS);
    for &holder in &holders[..2] {
        first.confirmed(holder, lost_ms);
        second.confirmed(holder, lost_ms);
    }
    assert_eq!(first.take_lapsed(lost_ms), []);
    lose(&mut first, &holders[..2], lost_ms);
    lose(&mut second, &holders[..2], lost_ms);
    second.begin(JOB, &entries(14), 20_000, lost_ms);
    let mut copied_ms = granted(&mut second, holders[2], lost_ms).map(|_| lost_ms);
    let mut given_up_ms = None;
    for now_ms in (lost_ms..lost_ms + 10_000).step_by(STEP_MS) {
        second.confirmed(holders[2], now_ms);
        let is_granted = !second.tick(now_ms).0.is_empty();
        copied_ms = copied_ms.or(is_granted.then_some(now_ms));
        let is_given_up = !first.take_lapsed(now_ms).is_empty();
        given_up_ms = given_up_ms.or(is_given_up.then_some(now_ms));
    }
    (given_up_ms.unwrap() + LIMITS.stop_within_ms(), copied_ms)
}

/// Guards against two runs: the two holders that granted a job leave as planned, and the third one,
/// which its claimant can't reach, grants it alone.
#[test]
fn what_holders_that_left_have_granted_counts() {
    let (over_ms, copied_ms) = over_and_copied_ms(|claims, holders, now_ms| {
        holders.iter().for_each(|&holder| claims.holder_left(holder, now_ms));
    });
    assert_eq!(copied_ms, None, "runs end by {over_ms} ms");
}

/// Guards against the same where the two are killed.
#[test]
fn what_killed_holders_have_granted_counts() {
    let (over_ms, copied_ms) = over_and_copied_ms(|claims, holders, now_ms| {
        holders.iter().for_each(|&holder| claims.holder_lost(holder, true, now_ms));
    });
    assert_eq!(copied_ms, None, "runs end by {over_ms} ms");
}

/// Guards against two runs for as long as a cut lasts: the first of two entries has left, and
/// starts again on the other side of it.
#[test]
fn an_entry_that_has_left_is_back_behind_a_cut() {
    let two = entries(2);
    let asked = holders(JOB, &two);
    let mut second = Claims::new(LIMITS);
    second.holder_left(asked[0], 0);
    // It does not answer any more, as a cut began while it was away.
    second.holder_lost(asked[0], false, 100);
    (0..10_000).step_by(STEP_MS).for_each(|now_ms| drop(second.tick(now_ms)));
    let claim_at = |claims: &mut Claims, own: SocketAddr| {
        claims.begin(JOB, &two, 20_000, 10_000);
        claims.confirmed(own, 10_000);
        granted(claims, own, 10_000)
    };
    let mut first = Claims::new(LIMITS);
    first.holder_lost(asked[1], false, 500);
    let decisions = [claim_at(&mut first, asked[0]), claim_at(&mut second, asked[1])];
    assert_eq!(decisions.iter().flatten().count(), 1, "{decisions:?}");
}

/// Guards against a job that goes on by the word of one holder of three, as the others have left.
#[test]
fn a_job_does_not_go_on_with_its_last_holder() {
    let (mut claims, holders) = granted_claim(&[0, 1, 2]);
    holders.iter().for_each(|&holder| claims.confirmed(holder, 1_000));
    claims.holder_left(holders[0], 1_000);
    claims.holder_left(holders[1], 1_000);
    let over_ms = 1_000 + LIMITS.give_up_ms;
    claims.confirmed(holders[2], over_ms);
    assert_eq!(claims.take_lapsed(over_ms - 1), []);
    assert_eq!(claims.take_lapsed(over_ms), [JOB]);
    assert!(!claims.can_be_granted(JOB, &entries(14), over_ms));
}

/// Guards against two copies that reach their holders in different orders deny each other.
#[test]
fn one_of_two_copies_is_granted() {
    let mut claimants = [Claims::new(LIMITS), Claims::new(LIMITS)];
    let asked = claimants.each_mut().map(|claims| claims.begin(JOB, &entries(14), 1_500, 0));
    let mut tables = [(); 3].map(|()| ClaimTable::new(LIMITS));
    let incarnations = [FIRST, SECOND];
    let mut answers = Vec::new();
    // The holders hear both within a millisecond; each has another one first.
    for (holder, order) in [[0, 1], [1, 0], [0, 1]].into_iter().enumerate() {
        for claimant in order {
            let claim = asked[claimant][holder].claim;
            let answer = tables[holder].claim(claim, incarnations[claimant], 1);
            answers.push((claimant, asked[claimant][holder].holder, answer));
        }
    }
    // Those that are held come first.
    answers.sort_by_key(|(_, _, answer)| answer.answer != ClaimAnswer::Held);
    let mut is_denied = [false; 2];
    for (claimant, holder, answer) in answers {
        let decision = claimants[claimant].answered(answer, holder, 2);
        is_denied[claimant] |= matches!(decision, Some(ClaimDecision::Denied { .. }));
    }
    assert_ne!(is_denied, [true, true], "each copy is denied for the other's sake");
}

/// Returns when the runs of an entry are over that is killed at some time without contact to its
/// holders since `cut_ms`: so long after the last message of an agent that it acknowledges, or once
/// they are stopped.
fn over_after_kill_ms(claims: &mut Claims, cut_ms: u64, killed_ms: u64) -> u64 {
    let mut acknowledged_ms = cut_ms;
    for now_ms in (cut_ms..killed_ms).step_by(STEP_MS) {
        if !claims.take_lapsed(now_ms).is_empty() {
            return now_ms + LIMITS.stop_within_ms();
        }
        if now_ms <= claims.acknowledge_until_ms() {
            acknowledged_ms = now_ms;
        }
    }
    acknowledged_ms + LIMITS.run_over_ms
}

/// Guards against two runs: an entry that is cut off keeps a job as its agents are in contact, and
/// is killed before it gives the job up. Nobody stops the runs then, and the claim ends before
/// them.
#[test]
fn runs_of_an_entry_that_is_killed_after_a_cut_end_with_its_claim() {
    let cut_ms = 1_000;
    for killed_ms in (cut_ms..cut_ms + 1_700).step_by(STEP_MS) {
        let (mut claims, holders) = granted_claim(&[0, 1, 2]);
        holders.iter().for_each(|&holder| claims.confirmed(holder, cut_ms));
        let mut table = ClaimTable::new(LIMITS);
        table.connected(FIRST, 1, 0);
        table.claim(new_claim(20_000), FIRST, 0);
        table.disconnected(FIRST, 1, cut_ms);
        let over_ms = over_after_kill_ms(&mut claims, cut_ms, killed_ms);
        let copy = table.claim(new_claim(2_740), SECOND, over_ms - 1).answer;
        let is_refused = matches!(copy, ClaimAnswer::Ending { .. } | ClaimAnswer::Held);
        assert!(is_refused, "killed at {killed_ms} ms, over at {over_ms} ms: {copy:?}");
    }
}

/// Guards against the same where the entry stands still within the cut and is killed as it goes on.
#[test]
fn runs_of_an_entry_that_is_killed_after_a_stall_within_a_cut_end_with_its_claim() {
    let (mut claims, holders) = granted_claim(&[0, 1, 2]);
    let (cut_ms, stalled_for_ms) = (1_000, 700);
    holders.iter().for_each(|&holder| claims.confirmed(holder, cut_ms));
    assert_eq!(claims.take_lapsed(cut_ms), []);
    claims.claim_again(cut_ms + stalled_for_ms);
    let acknowledged_ms = claims.acknowledge_until_ms();
    assert!(acknowledged_ms + LIMITS.run_over_ms <= cut_ms + LIMITS.outlast_ms());
}

/// Guards against the same with an agent that connects within the cut: nothing that the entry has
/// acknowledged before limits a task that starts there.
#[test]
fn nothing_is_placed_by_an_unconfirmed_claim() {
    let (mut claims, holders) = granted_claim(&[0, 1, 2]);
    let cut_ms = 1_000;
    holders.iter().for_each(|&holder| claims.confirmed(holder, cut_ms));
    let holds_at = |claims: &mut Claims, now_ms| {
        assert_eq!(claims.take_lapsed(now_ms), []);
        claims.take_holds(now_ms)
    };
    let held_ms = cut_ms + LIMITS.margin_ms - MAX_TICK_MS;
    assert_eq!(holds_at(&mut claims, held_ms - 1), (Vec::new(), Vec::new()));
    assert_eq!(holds_at(&mut claims, held_ms), (vec![JOB], Vec::new()));
    assert_eq!(holds_at(&mut claims, held_ms + 1), (Vec::new(), Vec::new()));
    holders.iter().for_each(|&holder| claims.confirmed(holder, held_ms));
    assert_eq!(holds_at(&mut claims, held_ms + 2), (Vec::new(), vec![JOB]));
}

/// Guards against two runs: a claim on hold is granted again after a stall by slow answers, and is
/// unconfirmed again by the next pass. Tasks are placed by it until it is given up.
#[test]
fn a_claim_on_hold_that_is_granted_again_is_held_again() {
    let (mut claims, holders) = granted_claim(&[0, 1, 2]);
    claims.take_lapsed(500);
    assert_eq!(claims.take_holds(500).0, [JOB]);
    let number = claims.claim_again(640)[0].claim.number;
    let sent_ms = 650;
    let granted_ms = sent_ms + LIMITS.margin_ms - MAX_TICK_MS - 10;
    let again = AnsweredClaim { job: JOB, number, answer: GRANTED };
    let answered = |&holder: &SocketAddr| {
        claims.confirmed(holder, sent_ms);
        claims.answered(again, holder, granted_ms)
    };
    let decisions: Vec<_> = holders[..2].iter().map(answered).collect();
    assert_eq!(decisions, [None, Some(ClaimDecision::Granted)]);
    let passed_ms = sent_ms + LIMITS.margin_ms - MAX_TICK_MS + 10;
    claims.take_lapsed(passed_ms);
    assert_eq!(claims.take_holds(passed_ms).0, [JOB]);
}

/// Guards against an entry that acknowledges nothing any more, so that agents stop all of its runs,
/// once a job without a majority is given up.
#[test]
fn a_job_that_is_given_up_holds_up_no_acknowledgement() {
    let (mut claims, _) = granted_claim(&[0, 1, 2]);
    let given_up_ms = LIMITS.give_up_ms;
    assert!(claims.acknowledge_until_ms() < given_up_ms);
    assert_eq!(claims.take_lapsed(given_up_ms), [JOB]);
    assert_eq!(claims.acknowledge_until_ms(), u64::MAX);
}

/// Guards against two runs: the first of two entries is killed, starts again at once, and grants by
/// its casting vote before the other one's runs are over, which it can't hear as a cut began.
#[test]
fn a_casting_vote_that_has_started_again_waits_for_claims_that_it_cannot_know() {
    let two = entries(2);
    let asked = holders(JOB, &two);
    let cut_ms = 1_000;
    for killed_ms in (cut_ms..cut_ms + 1_700).step_by(STEP_MS) {
        let mut second = Claims::new(LIMITS);
        second.begin(JOB, &two, 20_000, 0);
        granted(&mut second, asked[0], 1);
        second.confirmed(asked[0], cut_ms);
        let over_ms = over_after_kill_ms(&mut second, cut_ms, killed_ms);
        let mut table = ClaimTable::restarted(LIMITS, cut_ms);
        let copy = table.claim(new_claim(2_740), FIRST, over_ms - 1).answer;
        let is_refused = matches!(copy, ClaimAnswer::NotYet { .. });
        assert!(is_refused, "killed at {killed_ms} ms, over at {over_ms} ms: {copy:?}");
    }
}

/// Guards against two runs: both holders that granted a job are killed with its entry, start again,
/// and leave the decision to the third one, which was cut off and knows of no claim.
#[test]
fn a_holder_that_was_cut_off_does_not_decide_alone() {
    let asked = holders(JOB, &entries(14));
    let (killed_ms, now_ms) = (1_000, 1_500);
    let mut restarted = [0, 1].map(|_| ClaimTable::restarted(LIMITS, killed_ms + 100));
    let mut cut_off = ClaimTable::new(LIMITS);
    cut_off.connected(FIRST, 1, 0);
    cut_off.disconnected(FIRST, 1, 10);
    let mut second = Claims::new(LIMITS);
    let claim = second.begin(JOB, &entries(14), 3_000, now_ms)[0].claim;
    let [first, other] = &mut restarted;
    let mut decisions = Vec::new();
    for (holder, table) in asked.into_iter().zip([first, other, &mut cut_off]) {
        let answer = table.claim(claim, SECOND, now_ms);
        decisions.extend(second.answered(answer, holder, now_ms));
    }
    let over_ms = killed_ms + LIMITS.run_over_ms;
    assert_eq!(decisions, [], "granted at {now_ms} ms, runs are over at {over_ms} ms");
}

/// Guards against two runs: an entry stands still for longer than its claim lasts. Two holders have
/// granted a copy meanwhile, and have started again. They take the entry's word that its claim is
/// granted.
#[test]
fn a_claim_that_has_ended_in_a_stall_is_not_granted_by_its_own_word() {
    let (mut claims, holders) = granted_claim(&[0, 1, 2]);
    let stalled_ms = 1_000;
    holders.iter().for_each(|&holder| claims.confirmed(holder, stalled_ms));
    claims.take_lapsed(stalled_ms);
    let woken_ms = stalled_ms + LIMITS.outlast_ms() + 400;
    for request in claims.claim_again(woken_ms) {
        let mut table = ClaimTable::restarted(LIMITS, woken_ms - 10);
        let answer = table.claim(request.claim, FIRST, woken_ms);
        assert_eq!(answer.answer, ClaimAnswer::NotKept);
    }
}

/// Guards against two runs: a claim is granted by answers of which a majority is only as old as its
/// second youngest one, and a task that is placed then at an agent that has just connected lasts
/// longer than its holders keep the claim.
#[test]
fn confirmations_that_are_too_old_grant_nothing() {
    let (young_ms, old_ms) = (150, 100);
    let decision_at = |now_ms| {
        let (mut claims, holders) = granted_claim(&[]);
        claims.confirmed(holders[0], young_ms);
        claims.confirmed(holders[1], old_ms);
        assert_eq!(granted(&mut claims, holders[0], now_ms), None);
        granted(&mut claims, holders[1], now_ms)
    };
    let too_old_ms = old_ms + LIMITS.margin_ms - MAX_TICK_MS;
    assert_eq!(decision_at(too_old_ms - 1), Some(ClaimDecision::Granted));
    assert_eq!(decision_at(too_old_ms), None, "placed until {} ms", too_old_ms + MAX_TICK_MS);
}

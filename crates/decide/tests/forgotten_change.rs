//! Voters that start again, or stand still, beside changes of the list: one side has a majority.

use {
    std::{array, net::SocketAddr},
    sycamorerail_decide::{
        claims::{ClaimDecision, ClaimLimits, Claims},
        voters::{Electorate, RosterEntry, VoterChanges},
    },
    sycamorerail_wire::runs::{AnsweredClaim, CallerJobId, ClaimAnswer, EntryAddress, VoterList},
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const GRANTED: ClaimAnswer = ClaimAnswer::Granted;

fn entry(last: u8) -> EntryAddress {
    EntryAddress {
        address: SocketAddr::from(([10, 0, 0, last], 7_720)),
        data_centre: format!("dc-{last}"),
    }
}

fn list(number: u64, voters: &[u8], next: &[u8]) -> VoterList {
    let entries = |of: &[u8]| of.iter().copied().map(entry).collect();
    VoterList { number, voters: entries(voters), next: entries(next) }
}

fn present(last: u8, voters_number: u64) -> RosterEntry {
    RosterEntry { entry: entry(last), voters_number }
}

/// Guards against two lists in force. A voter adopts the first step of a change and is killed;
/// another one tells its next life the old list and adopts the first step only then. The dead
/// life's key, whose renewal the platform carries out late, counts for the change.
#[test]
fn a_restarted_voter_does_not_bring_an_old_list_back() {
    let [first, restarted, apart] = [1, 2, 3].map(|last| entry(last).address);
    let (old, step) = (list(6, &[1, 2, 3], &[]), list(7, &[1, 2, 3], &[1, 2, 4]));
    // The restarted one knows of no list; both are cut off from the platform from now on.
    let mut restarted_knows = Electorate::new(restarted);
    restarted_knows.told(old.clone());
    // The first one reads the first step now, and is cut off from both.
    let roster = [present(1, 7), present(2, 7), present(4, 7)];
    let mut changes = VoterChanges::new(first, LIMITS, 3_000);
    let mut times_ms = (1_000..20_000_u64).step_by(200);
    let settled = times_ms
        .find_map(|now_ms| changes.next(Some(&step), &roster, now_ms).map(|next| (next, now_ms)));
    let (next, now_ms) = settled.unwrap();
    assert_eq!(next.number, 8);
    // The one that is apart tells the old list, and each answers the other from then on.
    restarted_knows.told(old.clone());
    let mut apart_knows = Electorate::new(apart);
    apart_knows.read(Some(old), 10);
    restarted_knows.answered(apart, apart_knows.answer(now_ms), now_ms);
    apart_knows.answered(restarted, restarted_knows.answer(now_ms), now_ms);
    let by_old = [&mut restarted_knows, &mut apart_knows]
        .map(|knows| (knows.number(), knows.has_vote(now_ms + 10)));
    assert_ne!(by_old, [(6, true); 2], "two of three vote on list 6 as list 8 is written");
}

/// What a claimant decides on a job that it holds itself, if it has three voters and nobody but
/// itself answers.
fn decide_alone(claims: &mut Claims, own: SocketAddr, now_ms: u64) -> Option<ClaimDecision> {
    let voters: [_; 3] = array::from_fn(|n| entry(n as u8 + 1));
    let job = CallerJobId(7);
    let asked = claims.begin(job, &voters[..], now_ms + 2_000, now_ms);
    let number = asked.iter().find(|request| request.holder == own)?.claim.number;
    claims.confirmed(own, now_ms);
    claims.answered(AnsweredClaim { job, number, answer: GRANTED }, own, now_ms)
}

/// Guards against two runs: two of three leave as planned, the third one and its agents stand
/// still for 6 s, in which both are back, and it reads a copy before its first pass.
#[test]
fn entries_that_left_count_again_after_a_stall() {
    let [own, others @ ..] = [1, 2, 3].map(|last| entry(last).address);
    let mut claims = Claims::new(LIMITS);
    claims.tick(1_000);
    others.iter().for_each(|&other| claims.holder_left(other, 1_000));
    assert_eq!(decide_alone(&mut claims, own, 7_000), None);
}

/// The same for entries that were killed.
#[test]
fn entries_that_were_killed_count_after_a_stall() {
    let [own, others @ ..] = [1, 2, 3].map(|last| entry(last).address);
    let mut claims = Claims::new(LIMITS);
    others.iter().for_each(|&other| claims.holder_lost(other, true, 1_000));
    assert_eq!(decide_alone(&mut claims, own, 8_600), None);
}

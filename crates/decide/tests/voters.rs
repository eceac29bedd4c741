//! The list of voters: who votes by it, and when it is changed.

use {
    std::net::SocketAddr,
    sycamorerail_decide::{
        claims::{ClaimDecision, ClaimLimits, Claims, holders},
        voters::{
            CONTACT_WITHIN_MS, Electorate, RosterEntry, RosterLease, VoterChanges, VotersAnswer,
            settle_ms,
        },
    },
    sycamorerail_wire::runs::{
        AnsweredClaim, CallerJobId, ClaimAnswer, ClaimStanding, EntryAddress, VoterList,
    },
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const LEASE_MS: u64 = 3_000;
const LOOK_MS: usize = 200;
/// More than a pair.
const VOTERS: usize = 5;
const IN_FORCE: VotersAnswer = VotersAnswer { number: 3, has_word: true, vouches: false };

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_720))
}

fn entry(last: u8) -> EntryAddress {
    EntryAddress { address: address(last), data_centre: format!("dc-{}", last % 4) }
}

fn entries(numbers: impl IntoIterator<Item = u8>) -> Vec<EntryAddress> {
    numbers.into_iter().map(entry).collect()
}

fn list(number: u64, voters: impl IntoIterator<Item = u8>) -> VoterList {
    VoterList { number, voters: entries(voters), next: Vec::new() }
}

fn roster(numbers: impl IntoIterator<Item = u8>, voters_number: u64) -> Vec<RosterEntry> {
    entries(numbers).into_iter().map(|entry| RosterEntry { entry, voters_number }).collect()
}

/// What an entry writes in place of a list, and when, if the roster stays the same for a minute.
fn next(list: &VoterList, roster: &[RosterEntry]) -> Option<(u64, VoterList)> {
    let mut changes = VoterChanges::new(address(1), LIMITS, LEASE_MS);
    (0..60_000).step_by(LOOK_MS).find_map(|now_ms| {
        let next = changes.next(Some(list), roster, now_ms)?;
        Some((now_ms, next))
    })
}

/// An entry that has read a list, with or without a lease.
fn voter(own: u8, list: VoterList, is_leased: bool) -> Electorate {
    let mut electorate = Electorate::new(address(own));
    electorate.set_lease(is_leased.then_some(RosterLease { revision: 5, until_ms: LEASE_MS }));
    electorate.read(Some(list), 5);
    electorate
}

/// Guards against a side of a cut that leaves the others out as it alone reaches the platform.
#[test]
fn a_minority_changes_nothing() {
    assert_eq!(next(&list(3, 1..=14), &roster(1..=4, 0)), None);
    assert_eq!(next(&list(3, 1..=4), &roster([2], 0)), None);
}

/// Guards against a site of two that serves nobody once the first one is gone for good, and against
/// a half that votes by its own word meanwhile.
#[test]
fn half_of_the_voters_change_the_list_and_a_majority_votes() {
    assert!(next(&list(3, 1..=4), &roster([3, 4], 0)).is_some());
    let mut electorate = voter(1, list(3, 1..=4), false);
    electorate.answered(address(2), IN_FORCE, 1_000);
    assert!(!electorate.has_vote(1_000));
    electorate.answered(address(3), IN_FORCE, 1_000);
    assert!(electorate.has_vote(1_000));
}

/// Guards against a change by the news of a missing entry alone.
#[test]
fn a_missing_entry_stays_a_voter_during_the_change() {
    let (_, joint) = next(&list(3, 1..=5), &roster(1..=4, 0)).unwrap();
    let expected = VoterList { number: 4, voters: entries(1..=5), next: entries(1..=4) };
    assert_eq!(joint, expected);
}

/// Guards against entries that start again, or lose their leases, and are left out for that.
#[test]
fn a_short_absence_changes_nothing() {
    let voters = list(3, 1..=5);
    let mut changes = VoterChanges::new(address(1), LIMITS, LEASE_MS);
    for round in 0..20 {
        for (of_ms, present) in [(0, 4), (1_000, 4), (2_000, 4), (2_400, 5), (2_800, 5)] {
            let now_ms = round * 3_000 + of_ms;
            let next = changes.next(Some(&voters), &roster(1..=present, 0), now_ms);
            assert_eq!(next, None, "at {now_ms} ms");
        }
    }
}

/// Guards against the end of a change that half of the old voters have not adopted.
#[test]
fn a_change_ends_with_the_agreement_of_the_old_voters() {
    let joint = VoterList { next: entries(1..=3), ..list(4, 1..=5) };
    assert_eq!(next(&joint, &roster(1..=3, 3)), None, "nobody has adopted it");
    let (ended_ms, ended) = next(&joint, &roster(1..=3, 4)).unwrap();
    assert_eq!(ended, list(5, 1..=3));
    assert!(ended_ms >= settle_ms(&LIMITS, LEASE_MS, VOTERS), "{ended_ms} ms");
    let others = VoterList { next: entries(3..=5), ..list(4, 1..=5) };
    let mut mixed = roster(3..=4, 4);
    mixed.extend(roster([5], 3));
    assert_eq!(next(&others, &mixed), None, "another voter is in the roster");
}

/// Guards against a change that ends with voters that can't decide any more.
#[test]
fn a_change_under_way_follows_the_roster() {
    let joint = VoterList { next: entries(2..=3), ..list(4, 1..=3) };
    let (_, amended) = next(&joint, &roster([1, 2, 3], 4)).unwrap();
    assert_eq!(amended, VoterList { next: entries(1..=3), ..list(5, 1..=3) });
    let (_, amended) = next(&joint, &roster([2, 3, 9], 4)).unwrap();
    assert_eq!(amended, VoterList { next: entries([2, 3, 9]), ..list(5, 1..=3) });
    let few = VoterList { next: entries([2, 3, 7, 8, 9]), ..list(4, 1..=3) };
    assert!(next(&few, &roster([2, 3], 4)).is_some_and(|(_, list)| !list.next.is_empty()));
}

/// Guards against an agreement that is interrupted, and counts from its first begin.
#[test]
fn a_change_settles_without_interruption() {
    let joint = VoterList { next: entries(1..=3), ..list(4, 1..=4) };
    let mut changes = VoterChanges::new(address(1), LIMITS, LEASE_MS);
    let settle_ms = settle_ms(&LIMITS, LEASE_MS, VOTERS);
    for now_ms in (0..60_000).step_by(LOOK_MS) {
        let is_back = now_ms % settle_ms < 400;
        let mut present = roster(1..=3, 4);
        present.extend(roster([4], 3).into_iter().filter(|_| is_back));
        let ended = changes.next(Some(&joint), &present, now_ms);
        assert!(ended.is_none_or(|list| !list.next.is_empty()), "at {now_ms} ms");
    }
}

/// Guards against entries that write first lists at once, one after the other.
#[test]
fn a_first_list_names_the_entries_of_the_roster() {
    let mut changes = VoterChanges::new(address(1), LIMITS, LEASE_MS);
    let present = roster([1, 2, 3], 0);
    assert_eq!(changes.next(None, &present, 0), None);
    assert_eq!(changes.next(None, &present, 600), Some(list(1, 1..=3)));
}

/// Guards against votes by a list that was read before the lease began: a later one may be in
/// force.
#[test]
fn a_lease_counts_with_a_later_reading_of_the_list() {
    let mut electorate = voter(1, list(3, 1..=3), false);
    electorate.set_lease(Some(RosterLease { revision: 6, until_ms: LEASE_MS }));
    assert!(!electorate.has_vote(10));
    electorate.read(Some(list(3, 1..=3)), 6);
    assert!(electorate.has_vote(10));
    assert!(!electorate.has_vote(LEASE_MS));
}

/// Guards against votes of an entry that is cut off from the platform and from most others.
#[test]
fn a_minority_without_leases_has_no_vote() {
    let mut electorate = voter(1, list(3, 1..=5), false);
    electorate.answered(address(2), IN_FORCE, 1_000);
    assert!(!electorate.has_vote(1_000));
    electorate.answered(address(3), VotersAnswer { number: 2, ..IN_FORCE }, 1_000);
    assert!(!electorate.has_vote(1_000), "an entry with another list counts");
    electorate.answered(address(3), IN_FORCE, 1_000);
    assert!(electorate.has_vote(1_000));
    assert!(!electorate.has_vote(1_000 + CONTACT_WITHIN_MS));
}

/// Guards against an outage of the platform that takes all votes.
#[test]
fn others_are_asked_before_the_lease_ends() {
    let electorate = voter(1, list(3, 1..=5), true);
    assert!(!electorate.needs_contacts(0));
    assert!(electorate.needs_contacts(LEASE_MS - CONTACT_WITHIN_MS));
}

/// Guards against an entry that has adopted a list, starts again, and helps the one before to a
/// majority that entries left out have told it of.
#[test]
fn an_entry_that_has_not_read_the_list_since_its_start_has_no_word() {
    let mut electorate = Electorate::new(address(1));
    assert!(electorate.told(list(3, 1..=3)));
    electorate.answered(address(2), IN_FORCE, 1_000);
    electorate.answered(address(3), VotersAnswer { vouches: true, ..IN_FORCE }, 1_000);
    assert!(!electorate.has_vote(1_000));
    let answer = electorate.answer(1_000);
    assert!(!answer.has_word);
    let mut other = voter(2, list(3, 1..=3), false);
    other.answered(address(1), answer, 1_000);
    assert!(!other.has_vote(1_000), "a majority with an entry that has forgotten");
    electorate.read(Some(list(3, 1..=3)), 5);
    assert!(electorate.has_vote(1_000));
}

/// Guards against a site of two that serves nobody as one of them starts again while the platform
/// is away.
#[test]
fn one_of_two_voters_vouches_for_the_list() {
    let mut second = voter(2, list(3, 1..=2), true);
    assert!(second.has_vote(2_000));
    assert!(!second.answer(5_000).vouches);
    let mut first = Electorate::new(address(1));
    assert!(first.told(list(3, 1..=2)));
    first.answered(address(2), second.answer(4_000), 4_000);
    assert!(first.has_vote(4_000));
}

/// Guards against numbers that go back.
#[test]
fn an_earlier_list_is_not_adopted() {
    let mut electorate = voter(1, list(3, 1..=5), true);
    assert!(!electorate.told(list(2, 1..=5)));
    assert!(!electorate.read(Some(list(2, 1..=5)), 9));
    assert_eq!(electorate.number(), 3);
}

/// Guards against a claim that is granted by the old or the new voters alone during a change.
#[test]
fn a_change_takes_majorities_of_old_and_new_voters() {
    let joint = VoterList { next: entries(11..=25), ..list(4, 1..=5) };
    let job = CallerJobId(7);
    let (old, new) = (holders(job, &joint.voters), holders(job, &joint.next));
    for (granting, is_enough) in [
        (vec![old[0], old[1], old[2]], false),
        (vec![new[0], new[1], new[2]], false),
        (vec![old[0], old[1], new[0]], false),
        (vec![old[0], old[2], new[1], new[2]], true),
    ] {
        let mut claims = Claims::new(LIMITS);
        let asked = claims.begin(job, &joint, 2_000, 0);
        assert_eq!(asked.len(), old.len() + new.len());
        let answer = ClaimAnswer::Granted;
        let answer = AnsweredClaim { job, number: asked[0].claim.number, answer };
        let decisions = granting.iter().filter_map(|&holder| claims.answered(answer, holder, 1));
        let is_granted = decisions.last() == Some(ClaimDecision::Granted);
        assert_eq!(is_granted, is_enough, "{granting:?}");
    }
}

/// Guards against a running job that goes on by the old voters' word, while the new ones that
/// alone decide soon do not know of it.
#[test]
fn a_granted_claim_lapses_without_the_new_voters() {
    let (old, joint) = (list(3, 1..=5), VoterList { next: entries(11..=25), ..list(4, 1..=5) });
    let job = CallerJobId(7);
    let mut claims = Claims::new(LIMITS);
    let asked = claims.begin(job, &old, 20_000, 0);
    for request in &asked {
        let answer = ClaimAnswer::Granted;
        let answer = AnsweredClaim { job, number: request.claim.number, answer };
        claims.answered(answer, request.holder, 1);
    }
    let told = claims.set_entries(&joint, 100);
    assert!(told.iter().all(|request| request.claim.standing == ClaimStanding::Granted));
    let lapsed = (100..10_000).step_by(20).find(|&now_ms| {
        asked.iter().for_each(|request| claims.confirmed(request.holder, now_ms));
        !claims.take_lapsed(now_ms).is_empty()
    });
    assert!(lapsed.unwrap() <= 100 + LIMITS.give_up_ms, "{lapsed:?}");
}

/// Guards against a claim that is granted among the holders of a list that is not in force any more:
/// one that has a vote by a later list answered for it.
#[test]
fn an_entry_votes_on_claims_of_its_own_list_only() {
    let mut electorate = voter(1, list(3, 1..=5), true);
    assert!(electorate.votes_on(3, 100));
    assert!(!electorate.votes_on(2, 100), "an earlier list");
    assert!(!electorate.votes_on(4, 100), "a later list");
    assert!(electorate.told(list(4, 1..=5)));
    electorate.read(Some(list(4, 1..=5)), 6);
    assert!(!electorate.votes_on(3, 100), "its list before");
    assert!(electorate.votes_on(4, 100));
}

//! A pair of voters, of which one starts again beside a change.

use {
    std::net::SocketAddr,
    sycamorerail_decide::{
        claims::ClaimLimits,
        voters::{Electorate, RosterEntry, RosterLease, VoterChanges},
    },
    sycamorerail_wire::runs::{EntryAddress, VoterList},
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const LEASE_MS: u64 = 3_000;

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

/// Guards against two lists in force: the first of two adopts a change at 0 ms, is killed at
/// 4,200 ms and takes the old list from the other one, which has voted until 1,500 ms. The key of
/// its earlier process lives until 7,200 ms.
#[test]
fn a_pair_does_not_go_back_beside_a_change() {
    let [first, other] = [1, 2].map(|last| entry(last).address);
    let (old, step) = (list(6, &[1, 2], &[]), list(7, &[1, 2], &[1, 3]));
    // The other one has the word of the first one, which is sent just before that adopts the step.
    let mut other_knows = Electorate::new(other);
    other_knows.read(Some(old.clone()), 10);
    let mut before = Electorate::new(first);
    before.read(Some(old.clone()), 10);
    other_knows.answered(first, before.answer(0), 0);
    assert!(other_knows.has_vote(1_480));
    // Vouched for after the restart.
    let mut first_knows = Electorate::new(first);
    let at_ms = 4_450;
    first_knows.told(old);
    first_knows.answered(other, other_knows.answer(at_ms), at_ms);
    let votes_by_old = |knows: &mut Electorate, at_ms| knows.number() == 6 && knows.has_vote(at_ms);
    // The entry that joins has the earlier process of the first one in its roster meanwhile.
    let mut changes = VoterChanges::new(entry(3).address, LIMITS, LEASE_MS);
    let written_ms = (0..7_200_u64).step_by(200).find(|&now_ms| {
        let present = |last, voters_number| RosterEntry { entry: entry(last), voters_number };
        changes.next(Some(&step), &[present(1, 7), present(3, 7)], now_ms).is_some()
    });
    let Some(written_ms) = written_ms else { return };
    let mut joined = Electorate::new(entry(3).address);
    joined.read(Some(list(8, &[1, 3], &[])), 30);
    joined.set_lease(Some(RosterLease { revision: 20, until_ms: written_ms + 2_000 }));
    assert!(joined.has_vote(written_ms + 10));
    let goes_back = votes_by_old(&mut first_knows, written_ms + 10);
    assert!(!goes_back, "the first one votes on list 6 beside list 8 at {written_ms} ms");
}

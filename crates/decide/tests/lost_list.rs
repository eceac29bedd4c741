//! Lists of voters that begin anew, or go on by less than a majority, beside others.

use {
    std::net::SocketAddr,
    sycamorerail_decide::{
        claims::ClaimLimits,
        voters::{Electorate, RosterEntry, VoterChanges},
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

fn present(last: u8, voters_number: u64) -> RosterEntry {
    RosterEntry { entry: entry(last), voters_number }
}

fn written(list: Option<&VoterList>, roster: &[RosterEntry]) -> Option<VoterList> {
    let mut changes = VoterChanges::new(roster[0].entry.address, LIMITS, LEASE_MS);
    (0..20_000).step_by(200).find_map(|now_ms| changes.next(list, roster, now_ms))
}

/// Guards against a second list: the key was removed, and an entry that starts has no list, while
/// the roster shows that the others have one.
#[test]
fn no_first_list_is_written_beside_entries_that_have_one() {
    assert_eq!(written(None, &[present(1, 0), present(2, 6), present(3, 6)]), None);
}

/// Guards against two lists in force: a voter, cut off from the platform, takes the two others for
/// gone as no agent is in contact with them, while these change the list without it.
#[test]
fn a_minority_does_not_vote_as_the_others_change_the_list() {
    let step = list(7, &[1, 2, 3], &[2, 3]);
    assert!(written(Some(&step), &[present(2, 7), present(3, 7)]).is_some());
    let mut apart = Electorate::new(entry(1).address);
    apart.read(Some(list(6, &[1, 2, 3], &[])), 10);
    assert!(!apart.has_vote(30_000));
}

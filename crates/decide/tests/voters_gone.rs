//! Changes of the list of voters while entries go for good.

use {
    std::net::SocketAddr,
    sycamorerail_decide::{
        claims::ClaimLimits,
        voters::{RosterEntry, VoterChanges, VoterSets, is_majority},
    },
    sycamorerail_wire::runs::{EntryAddress, VoterList},
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);

fn entry(last: u8) -> EntryAddress {
    let address = SocketAddr::from(([10, 0, 0, last], 7_720));
    EntryAddress { address, data_centre: format!("dc-{last}") }
}

/// Guards against voters who can never agree again: one of three lapses from the roster and is to
/// be no voter, another one goes for good while that is under way, and the first one is back.
#[test]
fn a_change_does_not_end_with_voters_of_whom_most_are_gone() {
    let in_roster = |last| RosterEntry { entry: entry(last), voters_number: 2 };
    let roster = [in_roster(0), in_roster(2)];
    let is_there = |voter: SocketAddr| roster.iter().any(|present| present.entry.address == voter);
    let mut list = VoterList {
        number: 2,
        voters: vec![entry(0), entry(1), entry(2)],
        next: vec![entry(1), entry(2)],
    };
    let mut changes = VoterChanges::new(entry(0).address, LIMITS, 3_000);
    for now_ms in (0..20_000).step_by(200) {
        if let Some(next) = changes.next(Some(&list), &roster, now_ms) {
            list = next;
        }
        let sets = VoterSets::from(&list);
        let present = VoterSets::from(&list.voters);
        assert!(
            present.iter().all(|set| is_majority(set, is_there)),
            "at {now_ms} ms, only a minority is there: {sets:?}"
        );
    }
}

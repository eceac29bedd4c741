//! Lists of voters in the platform that an entry can't read.

mod claimant;

use {
    claimant::{Claimant, VOTERS_NUMBER, holder},
    sycamorerail_decide::voters::{RosterLease, VotersRead},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{EntryAddress, VoterList},
    },
};

const CLAIMANT: Incarnation = Incarnation(1);

/// Guards against two majorities: a vote by a list that a later one, which can't be read, has
/// replaced.
#[tokio::test]
async fn an_entry_has_no_vote_by_the_list_before_an_unreadable_one() {
    let (service, address) = holder().await;
    service.follow_voters(false);
    let entry = |last| EntryAddress {
        address: ([127, 0, 0, last], address.port()).into(),
        data_centre: "hall".to_owned(),
    };
    let voters = vec![entry(1), entry(2), entry(3)];
    let list = VoterList { number: VOTERS_NUMBER, voters, next: Vec::new() };
    service.read_voters(VotersRead::List(list), 1);
    let lease = |revision| Some(RosterLease { revision, until_ms: u64::MAX });
    service.set_roster_lease(lease(1));
    let mut claimant = Claimant::connect(address, CLAIMANT, 1).await;
    assert!(claimant.claim(Vec::new()).await.has_vote);
    service.set_roster_lease(lease(5));
    service.read_voters(VotersRead::Unreadable, 5);
    assert!(!claimant.claim(Vec::new()).await.has_vote);
}

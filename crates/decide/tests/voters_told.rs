//! Lists of voters that other entries tell.

use {
    std::net::SocketAddr,
    sycamorerail_decide::voters::Electorate,
    sycamorerail_wire::runs::{EntryAddress, VoterList},
};

fn entry(last: u8) -> EntryAddress {
    let address = SocketAddr::from(([10, 0, 0, last], 7_720));
    EntryAddress { address, data_centre: format!("dc-{last}") }
}

/// Guards against two majorities: an entry that starts again is told a list by one voter that has
/// missed the change to a later one, which this entry had adopted before.
#[test]
fn one_entry_alone_gives_no_list() {
    let voters = vec![entry(1), entry(2), entry(3)];
    let list = VoterList { number: 1, voters, next: Vec::new() };
    let mut electorate = Electorate::new(entry(1).address);
    assert!(!electorate.told(list.clone(), entry(3).address));
    assert_eq!(electorate.number(), 0);
    assert!(electorate.told(list, entry(2).address));
}

//! Reading of the roster of entries.

use {
    proptest::prelude::*, sycamorerail_membership::roster::RosterReader,
    sycamorerail_platform::KeyValue,
};

fn item(number: u64, value: &str) -> KeyValue {
    KeyValue {
        key: format!("sycamorerail/roster/{number}"),
        value: value.to_owned(),
        created: number,
        modified: number,
        lease: 0,
    }
}

proptest! {
    #[test]
    fn garbage_names_no_entry_and_hides_none(garbage in proptest::collection::vec(".{0,30}", 0..6)) {
        let is_address = |text: &String| text.parse::<std::net::SocketAddr>().is_ok();
        prop_assume!(!garbage.iter().any(is_address));
        let mut items = vec![item(1, "10.0.0.1:7720")];
        items.extend(garbage.iter().zip(2..).map(|(value, number)| item(number, value)));
        items.push(item(100, "10.0.0.2:7720"));
        let addresses = RosterReader::default().addresses(&items);
        let expected = ["10.0.0.1:7720", "10.0.0.2:7720"].map(|text| text.parse().unwrap());
        prop_assert_eq!(addresses, expected);
    }
}

/// Entries and agents dialled it, in place of one that answers.
#[test]
fn an_address_without_a_usable_port_names_no_entry() {
    for port in ["0", "65536", "1000000000", "-1", "1e3", "18446744073709551616"] {
        let odd = format!("10.0.0.9:{port}");
        let items = [item(1, "10.0.0.1:7720"), item(2, &odd), item(3, "[::1]:0")];
        let addresses = RosterReader::default().addresses(&items);
        assert_eq!(addresses, ["10.0.0.1:7720".parse().unwrap()], "{port}");
    }
}

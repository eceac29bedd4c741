//! One odd record of another writer beside those of entries, homes, agents and fences.

use {
    sycamorerail_membership::{
        keys::{AGENTS, ENTRIES, FENCED, HOMES},
        members::Members,
    },
    sycamorerail_platform::{KeyValue, table::Table},
    sycamorerail_wire::ids::Incarnation,
};

const OWN: u64 = 0xab;
const NUMBERS: [&str; 5] =
    ["1e999", "-1", "9007199254740992", "18446744073709551615", "18446744073709551616"];

fn read(records: &[(String, String)]) -> Members {
    let items = records.iter().zip(1..).map(|((key, value), revision)| KeyValue {
        key: key.clone(),
        value: value.clone(),
        created: revision,
        modified: revision,
        lease: 0,
    });
    let mut table = Table::default();
    table.apply_full(1_000, items.collect());
    Members::read(&table)
}

fn entry(port: &str) -> String {
    format!(
        r#"{{"name":"a","data_centre":"d","inner_address":"10.0.0.1:{port}",
        "http_address":"10.0.0.1:2"}}"#
    )
}

fn home(seen: &str) -> String {
    format!(r#"{{"inner_address":"10.0.0.1:1","seen":{seen}}}"#)
}

fn agent(registered_unix_ms: &str, more: &str) -> String {
    format!(
        r#"{{"incarnation":{OWN},"name":"a","address":"10.0.0.1:1","data_centre":"d","rack":"r",
        "registered_unix_ms":{registered_unix_ms}{more}}}"#
    )
}

fn own(prefix: &str) -> String {
    format!("{prefix}{OWN:016x}")
}

/// A record under another spelling of an incarnation stood in for the right one.
#[test]
fn a_record_under_another_spelling_of_an_incarnation_hides_none() {
    for spelling in ["ab", "+ab", "AB", "00000000000000AB", "0000000000000000ab"] {
        let records =
            [(own(HOMES), home("7")), (format!("{HOMES}{spelling}"), home("18446744073709551615"))];
        let homes = read(&records).homes;
        assert_eq!(homes[&Incarnation(OWN)].record.seen, 7, "{spelling}");
        assert_eq!(homes.len(), 1, "{spelling}");
    }
}

#[test]
fn an_entry_without_a_usable_port_is_none() {
    for port in ["0", "65536", "1000000000"] {
        let other = format!("{ENTRIES}{:016x}", 2);
        let entries = read(&[(own(ENTRIES), entry("1")), (other, entry(port))]).entries;
        assert_eq!(entries.keys().collect::<Vec<_>>(), [&Incarnation(OWN)], "{port}");
    }
}

#[test]
fn records_nested_deep_or_with_numbers_too_large_hide_no_others() {
    assert_eq!(read(&[(own(AGENTS), agent("1", ""))]).agents.len(), 1);
    let nested = [100, 200, 10_000, 500_000]
        .map(|depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth)));
    for odd in nested.iter().map(String::as_str).chain(NUMBERS) {
        let more = format!(",\"unread\":{odd}");
        let mut records = vec![
            (own(HOMES), home("7")),
            (own(ENTRIES), entry("1")),
            (own(AGENTS), agent("1", "")),
        ];
        let values = [home(odd), entry("1"), agent(odd, ""), agent("1", &more), odd.to_owned()];
        for (value, number) in values.iter().zip(1_u64..) {
            for prefix in [HOMES, ENTRIES, AGENTS, FENCED] {
                records.push((format!("{prefix}{number:016x}"), value.clone()));
            }
        }
        let members = read(&records);
        assert_eq!(members.homes[&Incarnation(OWN)].record.seen, 7);
        assert!(members.entries.contains_key(&Incarnation(OWN)));
        assert!(members.may_use(Incarnation(OWN), Incarnation(OWN)));
        // A fence holds whatever its value says.
        assert_eq!(members.fenced.len(), values.len());
        assert_eq!(members.last_retirement(), 0);
    }
}

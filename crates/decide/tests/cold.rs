//! Upstreams that announce how long they are slow after their start.

use {
    sycamorerail_decide::ledger::{Ledger, LedgerLimits},
    sycamorerail_wire::runs::{InstanceId, Resources, UpstreamInstance},
};

fn life(id: &InstanceId) -> UpstreamInstance {
    let capacity = Resources { cpu_milli: 32_000, memory_mb: 1_000, accelerators: 0 };
    let pool = "desk".to_owned();
    let (id, labels) = (id.clone(), Vec::new());
    UpstreamInstance { id, order_fence: 0, pool, capacity, labels, leaving: false }
}

fn started(started_unix_ms: u64) -> InstanceId {
    InstanceId { id: "a".to_owned(), started_unix_ms: Some(started_unix_ms) }
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(life(&started(1)));
    ledger
}

#[test]
fn an_instance_is_cold_for_as_long_as_it_last_announced() {
    let mut ledger = ledger();
    assert_eq!(ledger.cold_until_ms(100), None);
    ledger.handle_cold_announcement(started(1), 3_000, 100);
    assert_eq!(ledger.cold_until_ms(3_099), Some(3_100));
    assert_eq!(ledger.cold_until_ms(3_100), None);
    ledger.handle_cold_announcement(started(1), 1_500, 1_600);
    assert_eq!(ledger.cold_until_ms(1_600), Some(3_100));
    ledger.handle_cold_announcement(started(1), 0, 1_700);
    assert_eq!(ledger.cold_until_ms(1_700), None);
}

#[test]
fn one_announcement_counts_for_a_few_seconds_at_most() {
    let mut ledger = ledger();
    ledger.handle_cold_announcement(started(1), u64::MAX, 100);
    assert_eq!(ledger.cold_until_ms(100), Some(5_100));
}

/// The next instance may announce itself before it answers the agent.
#[test]
fn an_announcement_counts_for_its_instance_only() {
    let mut ledger = ledger();
    ledger.handle_cold_announcement(started(2), 3_000, 100);
    assert_eq!(ledger.cold_until_ms(100), None);
    ledger.set_upstream(life(&started(2)));
    assert_eq!(ledger.cold_until_ms(200), Some(3_100));
    ledger.handle_cold_announcement(started(1), 0, 300);
    assert_eq!(ledger.cold_until_ms(300), Some(3_100), "announced by an earlier instance");
}

#[test]
fn an_instance_without_a_start_time_is_known_by_its_id() {
    let mut ledger = ledger();
    ledger.handle_cold_announcement(InstanceId::without_start("a"), 3_000, 100);
    assert_eq!(ledger.cold_until_ms(100), Some(3_100));
}

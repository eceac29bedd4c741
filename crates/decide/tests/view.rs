//! How an entry treats a full upstream between two load reports.

use {
    std::sync::{Arc, atomic::Ordering::Relaxed},
    sycamorerail_decide::view::{
        DataCentreKey, FULL_REPORT_VALID_MS, LiveState, RackKey, UpstreamKey, UpstreamRow,
    },
};

const HEARD_AT_MS: u64 = 1_000;

fn row(slots: u32, running: u32, queued: u32, outstanding: u32) -> UpstreamRow {
    let live = LiveState::default();
    live.slots.store(slots, Relaxed);
    live.running.store(running, Relaxed);
    live.queued.store(queued, Relaxed);
    live.outstanding.store(outstanding, Relaxed);
    live.outstanding_reported.store(outstanding, Relaxed);
    live.heard_at_ms.store(HEARD_AT_MS, Relaxed);
    UpstreamRow {
        key: UpstreamKey(1),
        data_centre: DataCentreKey(0),
        rack: RackKey(0),
        max_task_bytes: 1,
        kinds: Vec::new(),
        live: Arc::new(live),
    }
}

#[test]
fn stale_full_report_yields_one_slot() {
    let full = row(8, 8, 5, 0);
    full.live.assume_slot_if_stale(HEARD_AT_MS + FULL_REPORT_VALID_MS - 1);
    assert_eq!(full.free_slots(), -5, "the report still counts");
    full.live.assume_slot_if_stale(HEARD_AT_MS + FULL_REPORT_VALID_MS);
    assert_eq!(full.free_slots(), 1);
    full.live.outstanding.fetch_add(1, Relaxed);
    full.live.assume_slot_if_stale(HEARD_AT_MS + 10 * FULL_REPORT_VALID_MS);
    assert_eq!(full.free_slots(), 0, "one task may use the slot, and its reply is due");
}

#[test]
fn other_reports_stay_in_force() {
    let late_ms = HEARD_AT_MS + 10 * FULL_REPORT_VALID_MS;
    for (row, free_slots) in [(row(8, 8, 5, 1), -5), (row(8, 3, 0, 0), 5), (row(0, 0, 0, 0), 0)] {
        row.live.assume_slot_if_stale(late_ms);
        assert_eq!(row.free_slots(), free_slots);
    }
}

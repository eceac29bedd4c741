//! What an entry holds an upstream for between two reports.

use {
    std::sync::{Arc, atomic::Ordering::Relaxed},
    sycamorerail_decide::view::{BELIEVED_FULL_MS, DataCentreKey, Live, RackKey, Row, UpstreamKey},
};

const HEARD_AT_MS: u64 = 1_000;

fn row(slots: u32, running: u32, queued: u32, outstanding: u32) -> Row {
    let live = Live::default();
    live.slots.store(slots, Relaxed);
    live.running.store(running, Relaxed);
    live.queued.store(queued, Relaxed);
    live.outstanding.store(outstanding, Relaxed);
    live.outstanding_reported.store(outstanding, Relaxed);
    live.heard_at_ms.store(HEARD_AT_MS, Relaxed);
    Row {
        key: UpstreamKey(1),
        data_centre: DataCentreKey(0),
        rack: RackKey(0),
        max_task_bytes: 1,
        kinds: Vec::new(),
        live: Arc::new(live),
    }
}

#[test]
fn full_doubted() {
    let full = row(8, 8, 5, 0);
    full.live.doubt_full(HEARD_AT_MS + BELIEVED_FULL_MS - 1);
    assert_eq!(full.free_slots(), -5, "believed for a while");
    full.live.doubt_full(HEARD_AT_MS + BELIEVED_FULL_MS);
    assert_eq!(full.free_slots(), 1);
    full.live.outstanding.fetch_add(1, Relaxed);
    full.live.doubt_full(HEARD_AT_MS + 10 * BELIEVED_FULL_MS);
    assert_eq!(full.free_slots(), 0, "one task is risked, and its reply is due");
}

#[test]
fn believed_otherwise() {
    let late_ms = HEARD_AT_MS + 10 * BELIEVED_FULL_MS;
    for (row, free_slots) in [(row(8, 8, 5, 1), -5), (row(8, 3, 0, 0), 5), (row(0, 0, 0, 0), 0)] {
        row.live.doubt_full(late_ms);
        assert_eq!(row.free_slots(), free_slots);
    }
}

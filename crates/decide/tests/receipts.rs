//! Which messages a process acknowledges.

use sycamorerail_decide::receipts::Receipts;

/// Guards against an acknowledgement that goes ahead of what fell due during a stall.
#[test]
fn a_message_is_acknowledged_after_the_next_pass() {
    let mut receipts = Receipts::default();
    receipts.record(4);
    receipts.record(4);
    assert_eq!(receipts.acknowledgeable(4), 0);
    assert_eq!(receipts.acknowledgeable(5), 2);
    receipts.record(5);
    assert_eq!(receipts.acknowledgeable(5), 2);
    receipts.record(5);
    assert_eq!(receipts.acknowledgeable(5), 2);
    assert_eq!(receipts.acknowledgeable(6), 4);
}

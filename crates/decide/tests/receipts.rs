//! Which messages a process acknowledges.

use sycamorerail_decide::receipts::Receipts;

/// Guards against an acknowledgement that goes ahead of what fell due during a stall.
#[test]
fn a_message_is_acknowledged_after_two_passes() {
    let mut receipts = Receipts::default();
    receipts.record(4);
    receipts.record(4);
    assert_eq!(receipts.acknowledgeable(4), 0);
    assert_eq!(receipts.acknowledgeable(5), 0);
    receipts.record(5);
    assert_eq!(receipts.acknowledgeable(6), 2);
    receipts.record(6);
    assert_eq!(receipts.acknowledgeable(7), 3);
    assert_eq!(receipts.acknowledgeable(8), 4);
    receipts.record(8);
    assert_eq!(receipts.acknowledgeable(20), 5);
}

//! Delays of a process's periodic checks.

use sycamorerail_clock::lag::{Lag, MIN_STALL_MS, StallMeter};

#[test]
fn checks_on_time_show_no_delay() {
    let mut lag = Lag::new(50, 0);
    for now_ms in (50..=1_000).step_by(50) {
        assert_eq!(lag.record(now_ms), 0);
    }
    assert_eq!((lag.recent_ms(1_010), lag.unhandled_ms(1_010)), (0, 10));
}

#[test]
fn a_delay_counts_less_as_it_ages() {
    let mut lag = Lag::new(50, 0);
    assert_eq!(lag.record(450), 400);
    assert_eq!(lag.recent_ms(450), 400);
    for now_ms in (500..=1_450).step_by(50) {
        lag.record(now_ms);
    }
    assert_eq!(lag.recent_ms(1_450), 200);
}

/// Guards against a smaller delay that hides a larger one just before it.
#[test]
fn the_largest_recent_delay_counts() {
    let mut lag = Lag::new(50, 0);
    lag.record(450);
    lag.record(530);
    assert!(lag.recent_ms(530) > 350, "{}", lag.recent_ms(530));
}

/// Guards against a signal that counts as new although the process could not read it before.
#[test]
fn events_before_a_late_check_are_unhandled() {
    let mut lag = Lag::new(50, 0);
    lag.record(50);
    // The check and the event are handled together, in either order.
    assert_eq!(lag.unhandled_ms(950), 900);
    lag.record(950);
    assert_eq!(lag.unhandled_ms(950), 900);
    lag.record(1_000);
    assert_eq!(lag.unhandled_ms(1_000), 0);
}

/// Guards against events whose time counts from their handling although they came in a stall.
#[test]
fn events_may_have_waited_for_as_long_as_the_process_stood_still() {
    let mut lag = Lag::new(50, 1_000);
    assert_eq!(lag.stalled_ms(1_060), 0, "a check is due, not late");
    lag.record(1_060);
    assert_eq!(lag.stalled_ms(1_100), 0);
    // Before the check notices the stall, and after it.
    assert_eq!(lag.stalled_ms(1_800), 740);
    lag.record(1_800);
    assert_eq!(lag.stalled_ms(1_801), 741);
    lag.record(1_850);
    assert_eq!(lag.stalled_ms(1_860), 0);
}

/// Guards against short delays, which any busy process has, that count as stalls.
#[test]
fn a_stall_meter_tells_of_long_stalls_only() {
    let mut meter = StallMeter::new(20, 1_000);
    assert_eq!(meter.record(1_020), None);
    assert_eq!(meter.record(1_040 + MIN_STALL_MS - 1), None);
    let before_ms = 1_040 + MIN_STALL_MS - 1;
    assert_eq!(meter.record(before_ms + 20 + 2_000), Some(2_000));
    assert_eq!(meter.record(before_ms + 20 + 2_000 + 25), None);
}

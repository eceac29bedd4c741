//! Pauses before a failed watch is opened again.

use sycamorerail_platform::backoff::Backoff;

#[test]
fn pauses_grow_while_watches_fail_soon() {
    let mut backoff = Backoff::default();
    let pauses: Vec<_> = (0..8).map(|_| backoff.pause_ms(3)).collect();
    assert_eq!(pauses, [50, 100, 200, 400, 800, 1_600, 2_000, 2_000]);
}

#[test]
fn a_sound_watch_is_opened_again_soon() {
    let mut backoff = Backoff::default();
    for _ in 0..8 {
        backoff.pause_ms(0);
    }
    assert_eq!(backoff.pause_ms(3_999), 2_000);
    assert_eq!(backoff.pause_ms(4_000), 50);
    assert_eq!(backoff.pause_ms(0), 100);
}

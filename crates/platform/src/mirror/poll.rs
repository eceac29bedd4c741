//! The slow poll behind the watch.

use {
    super::shared::Shared,
    crate::backoff::jittered,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    sycamorerail_telemetry::event,
    tokio::time::{Instant, sleep, sleep_until},
};

/// Longest pause between polls while the watch is down.
const WATCHLESS_POLL_MS: u64 = 1_000;
/// A mark seen elsewhere is waited for this long before a poll.
const POKE_DELAY_MS: u64 = 50;
/// Least pause between polls.
const POLL_GAP_MS: u64 = 200;

/// Polls as long as the mirror lives. A poll that finds what the watch has not
/// told by the next poll has the watch opened anew.
pub(super) async fn poll_on(shared: Arc<Shared>) {
    let mut owed = 0;
    loop {
        wait_for_poll(&shared).await;
        if owed > shared.watch_told.load(Ordering::Acquire) {
            shared.watch_suspect.notify_one();
        }
        let before = shared.published.load().newest();
        if let Err(error) = shared.poll().await {
            event!(Debug, "platform_poll_failed", prefix = shared.prefix, error = error);
        }
        let after = shared.published.load().newest();
        owed = if after > before { after } else { 0 };
        sleep(Duration::from_millis(POLL_GAP_MS)).await;
    }
}

/// Waits out the pause, or for a wish for a poll that still stands after the
/// watch had time to bring the change.
async fn wait_for_poll(shared: &Shared) {
    let began = Instant::now();
    loop {
        // Anew in each round: the pause is shorter once the watch is down.
        let pause = jittered(pause_ms(shared));
        tokio::select! {
            () = sleep_until(began + pause) => return,
            () = shared.poll_wanted.notified() => {}
        }
        sleep(jittered(POKE_DELAY_MS)).await;
        let seen = shared.seen_elsewhere.load(Ordering::Acquire);
        let poked = shared.poke.swap(false, Ordering::AcqRel);
        if poked || shared.published.load().lacks(seen) {
            return;
        }
    }
}

fn pause_ms(shared: &Shared) -> u64 {
    if shared.watch_up.load(Ordering::Acquire) {
        return shared.poll_ms;
    }
    shared.poll_ms.min(WATCHLESS_POLL_MS)
}

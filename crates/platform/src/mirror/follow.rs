//! The one watch, opened anew after each break.

use {
    super::shared::Shared,
    crate::{
        backoff::{Backoff, jittered},
        error::PlatformError,
        table::{Applied, Change},
        watch::{Told, Watch},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Instant,
    },
    sycamorerail_telemetry::event,
    tokio::time::sleep,
};

/// Follows the prefix by one watch after another as long as the mirror lives.
pub(super) async fn follow(shared: Arc<Shared>) {
    let mut backoff = Backoff::default();
    loop {
        let began = Instant::now();
        if let Err(error) = follow_once(&shared).await {
            event!(Debug, "platform_watch_failed", prefix = shared.prefix, error = error);
        }
        let was_up = shared.watch_up.swap(false, Ordering::AcqRel);
        if was_up {
            shared.poll_wanted.notify_one();
        }
        let up_ms = if was_up { began.elapsed().as_millis() } else { 0 };
        let pause_ms = backoff.pause_ms(u64::try_from(up_ms).unwrap_or(u64::MAX));
        sleep(jittered(pause_ms)).await;
    }
}

async fn follow_once(shared: &Shared) -> Result<(), PlatformError> {
    if !shared.published.load().synced() || shared.full_wanted.swap(false, Ordering::AcqRel) {
        shared.poll().await?;
    }
    let start = shared.published.load().mark();
    let watch = shared.platform.watch(&shared.prefix, start + 1).await?;
    shared.watch_told.store(start, Ordering::Release);
    shared.watch_up.store(true, Ordering::Release);
    tokio::select! {
        ended = take_in(shared, watch, start) => ended,
        () = shared.watch_suspect.notified() => Ok(()),
    }
}

async fn take_in(shared: &Shared, mut watch: Watch, start: u64) -> Result<(), PlatformError> {
    // The watch told everything of the prefix from `start` up to here.
    let mut after = start;
    loop {
        let applied = match watch.next().await? {
            Told::Compacted => Applied::Refused,
            Told::Progress(mark) => {
                let applied = shared.change(|table| table.apply_progress(after, mark));
                after = after.max(mark);
                applied
            }
            Told::Changes(changes) => {
                let applied = shared.change(|table| table.apply_changes(after, &changes));
                let last = changes.iter().map(Change::revision).max().unwrap_or(0);
                after = after.max(last);
                applied
            }
        };
        shared.watch_told.store(after, Ordering::Release);
        if applied == Applied::Refused {
            shared.full_wanted.store(true, Ordering::Release);
            return Ok(());
        }
    }
}

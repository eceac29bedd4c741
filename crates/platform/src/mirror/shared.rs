//! What the tasks of a mirror and its users share.

use {
    crate::{
        client::Platform,
        error::PlatformError,
        table::{Applied, Table},
    },
    arc_swap::ArcSwap,
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    sycamorerail_telemetry::event,
    tokio::sync::{Notify, watch},
};

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) platform: Platform,
    pub(super) prefix: String,
    pub(super) poll_ms: u64,
    /// Taken by whoever changes the copy; readers load `published`.
    pub(super) writing: Mutex<()>,
    pub(super) published: ArcSwap<Table>,
    pub(super) changed: watch::Sender<u64>,
    pub(super) watch_up: AtomicBool,
    pub(super) poll_answered: AtomicBool,
    /// Highest revision that the present watch told of.
    pub(super) watch_told: AtomicU64,
    pub(super) poll_wanted: Notify,
    pub(super) seen_elsewhere: AtomicU64,
    pub(super) poke: AtomicBool,
    pub(super) full_wanted: AtomicBool,
    pub(super) watch_suspect: Notify,
}

impl Shared {
    pub(super) fn new(platform: Platform, prefix: &str, poll_ms: u32) -> Self {
        Self {
            platform,
            prefix: prefix.to_owned(),
            poll_ms: u64::from(poll_ms.max(1)),
            writing: Mutex::new(()),
            published: ArcSwap::default(),
            changed: watch::Sender::new(0),
            watch_up: AtomicBool::new(false),
            poll_answered: AtomicBool::new(false),
            watch_told: AtomicU64::new(0),
            poll_wanted: Notify::new(),
            seen_elsewhere: AtomicU64::new(0),
            poke: AtomicBool::new(false),
            full_wanted: AtomicBool::new(false),
            watch_suspect: Notify::new(),
        }
    }

    /// Changes the copy as a whole, and tells subscribers if anything moved.
    pub(super) fn change(&self, apply: impl FnOnce(&mut Table) -> Applied) -> Applied {
        let _writing = self.writing.lock();
        let old = self.published.load_full();
        let mut table = Table::clone(&old);
        let applied = apply(&mut table);
        let mark = table.mark();
        let moved = applied == Applied::Changed || mark != old.mark();
        if moved || table.synced() != old.synced() {
            self.published.store(Arc::new(table));
            self.changed.send_replace(mark);
        }
        applied
    }

    /// Compares keys and revisions first; fetches values only where they differ.
    pub(super) async fn poll(&self) -> Result<u64, PlatformError> {
        let polled = self.poll_uncounted().await;
        self.poll_answered.store(polled.is_ok(), Ordering::Release);
        polled
    }

    async fn poll_uncounted(&self) -> Result<u64, PlatformError> {
        if self.published.load().synced() {
            let (mark, outline) = self.platform.outline(&self.prefix).await?;
            let mut same = false;
            self.change(|table| {
                same = table.confirm_full(mark, &outline);
                Applied::Unchanged
            });
            if same {
                return Ok(self.published.load().mark());
            }
        }
        let range = self.platform.range(&self.prefix).await?;
        let newest = range.items.iter().map(|item| item.modified).max().unwrap_or(0);
        let mark = range.mark;
        if self.change(|table| table.apply_full(mark, range.items)) == Applied::Refused {
            event!(Debug, "platform_copy_old", prefix = self.prefix, mark = mark, newest = newest);
        }
        Ok(self.published.load().mark())
    }
}

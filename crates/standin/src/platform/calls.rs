//! Counts of calls, as the platform would bill them.

use {
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// A kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Range,
    Txn,
    Grant,
    KeepAlive,
    Watch,
}

impl Call {
    /// Whether it counts as a write.
    pub(super) fn writes(self) -> bool {
        matches!(self, Self::Txn | Self::Grant | Self::KeepAlive)
    }
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Ranges.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Leases granted.
    pub grant: u64,
    /// Renewals of leases.
    pub keep_alive: u64,
    /// Watches opened.
    pub watch: u64,
    /// Watches waiting now.
    pub waiting_watches: u64,
    /// Calls refused by a rate limit.
    pub refused: u64,
    /// Writes whose answer was withheld after they took effect.
    pub lost: u64,
}

impl CallCounts {
    /// Calls of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.range + self.txn + self.grant + self.keep_alive + self.watch
    }
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    range: AtomicU64,
    txn: AtomicU64,
    grant: AtomicU64,
    keep_alive: AtomicU64,
    watch: AtomicU64,
    pub(super) waiting_watches: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) lost: AtomicU64,
}

impl Counters {
    pub(super) fn count(&self, call: Call) {
        let counter = match call {
            Call::Range => &self.range,
            Call::Txn => &self.txn,
            Call::Grant => &self.grant,
            Call::KeepAlive => &self.keep_alive,
            Call::Watch => &self.watch,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn read(&self) -> CallCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            range: read(&self.range),
            txn: read(&self.txn),
            grant: read(&self.grant),
            keep_alive: read(&self.keep_alive),
            watch: read(&self.watch),
            waiting_watches: read(&self.waiting_watches),
            refused: read(&self.refused),
            lost: read(&self.lost),
        }
    }
}

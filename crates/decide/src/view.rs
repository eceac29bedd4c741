//! An entry's view of the upstreams: properties that rarely change, and load that
//! changes with every reply.
//!
//! The set of rows is replaced as a whole (read-copy-update), and the load
//! consists of atomics, so that the request path takes no lock.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

/// Index of an upstream in its entry's arena. It is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// Data centre number, assigned by the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DataCentreKey(pub u16);

/// Rack number, assigned by the entry; unique across data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RackKey(pub u16);

/// Number of an organisation's request kind, assigned by the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindKey(pub u32);

/// Load and availability of one upstream, shared by all threads of the entry.
///
/// It occupies exactly one cache line, so that a placement reads one line per
/// upstream and writes to one upstream do not slow reads of another.
#[derive(Debug, Default)]
#[repr(align(64))]
pub struct LiveState {
    /// Total number of slots, from the last report.
    pub slots: AtomicU32,
    /// Tasks running there, from the last report.
    pub running: AtomicU32,
    /// Tasks queued there, from the last report.
    pub queued: AtomicU32,
    /// Sequence number of the last report applied.
    pub load_sequence: AtomicU64,
    /// Placements of this entry without a reply.
    pub outstanding: AtomicU32,
    /// How many of them the last report already includes.
    pub outstanding_reported: AtomicU32,
    /// When its last packet arrived, in monotonic milliseconds.
    pub heard_at_ms: AtomicU64,
    /// It announced that it leaves; it receives no new work.
    pub leaving: AtomicBool,
    /// Its data centre is evacuated; it receives no new work.
    pub evacuated: AtomicBool,
    /// End of its ejection, in monotonic milliseconds; 0 while not ejected.
    pub ejected_until_ms: AtomicU64,
    /// Maximum number of outstanding placements of this entry while the upstream
    /// returns from ejection; 0 for no bound.
    pub return_window: AtomicU32,
    /// Observed mean run time of a task, in microseconds; 0 when unknown.
    pub mean_run_us: AtomicU64,
}

/// How long a report of a full upstream counts while no reply is due that would
/// carry a newer one, in milliseconds. The duration is a few run times of short
/// tasks; until it has passed, other entries get the slots.
pub const FULL_REPORT_VALID_MS: u64 = 250;

impl LiveState {
    /// Assumes one free slot at an upstream that was reported full some time ago,
    /// if no reply is due that would carry its load.
    ///
    /// Replies carry the load. Under saturation, an entry without a placement at
    /// an upstream learns nothing about it until the next heartbeat, and would
    /// leave all its slots to other entries. The assumption risks one task: it
    /// starts, waits briefly or is refused, and its reply carries the load.
    pub fn assume_slot_if_stale(&self, now_ms: u64) {
        let heard_at_ms = self.heard_at_ms.load(Ordering::Acquire);
        let slots = self.slots.load(Ordering::Acquire);
        let reported = self.running.load(Ordering::Acquire) + self.queued.load(Ordering::Acquire);
        let is_stale = now_ms >= heard_at_ms + FULL_REPORT_VALID_MS;
        let no_reply_due = self.outstanding.load(Ordering::Acquire) == 0;
        if slots > 0 && reported >= slots && is_stale && no_reply_due {
            self.running.store(slots - 1, Ordering::Release);
            self.queued.store(0, Ordering::Release);
        }
    }
}

/// One upstream in a [`View`].
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// Its index in the arena.
    pub key: UpstreamKey,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// Its rack.
    pub rack: RackKey,
    /// Largest task that it can hold, in bytes.
    pub max_task_bytes: u64,
    /// Kinds that it serves; empty means all.
    pub kinds: Vec<KindKey>,
    /// Its load and availability.
    pub live: Arc<LiveState>,
}

impl UpstreamRow {
    /// Returns whether it serves the kind and can hold a task of this size.
    #[must_use]
    pub fn can_serve(&self, kind: KindKey, size_bytes: u64) -> bool {
        size_bytes <= self.max_task_bytes && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }

    /// Returns whether it may receive new work now.
    #[must_use]
    pub fn takes_work(&self, now_ms: u64) -> bool {
        let return_window = self.live.return_window.load(Ordering::Acquire);
        !self.live.leaving.load(Ordering::Acquire)
            && !self.live.evacuated.load(Ordering::Acquire)
            && self.live.ejected_until_ms.load(Ordering::Acquire) <= now_ms
            && (return_window == 0 || self.live.outstanding.load(Ordering::Acquire) < return_window)
    }

    /// Returns the number of tasks there as far as known: the reported ones, and
    /// this entry's placements that the last report does not include.
    #[must_use]
    pub fn assigned(&self) -> u32 {
        let live = &self.live;
        let reported = live.running.load(Ordering::Acquire) + live.queued.load(Ordering::Acquire);
        let unreported = live
            .outstanding
            .load(Ordering::Acquire)
            .saturating_sub(live.outstanding_reported.load(Ordering::Acquire));
        reported + unreported
    }

    /// Returns the free slots as far as known; negative if tasks wait.
    #[must_use]
    pub fn free_slots(&self) -> i64 {
        i64::from(self.live.slots.load(Ordering::Acquire)) - i64::from(self.assigned())
    }

    /// Returns the time until a task sent now would start behind the assigned
    /// ones, in microseconds: `(assigned - slots + 1) * mean run time / slots`,
    /// or 0 while a slot is free. Infinite without slots. `run_hint_us` replaces
    /// the mean run time while none was observed.
    #[must_use]
    pub fn expected_wait_us(&self, run_hint_us: f32) -> f32 {
        let slots = self.live.slots.load(Ordering::Acquire);
        let assigned = self.assigned();
        if assigned < slots {
            return 0.0;
        }
        (assigned - slots + 1) as f32 * self.mean_run_us(run_hint_us) / slots as f32
    }

    /// Returns the tasks per second that it starts when all its slots are always busy.
    #[must_use]
    pub fn starts_per_s(&self, run_hint_us: f32) -> f64 {
        let slots = self.live.slots.load(Ordering::Acquire);
        f64::from(slots) * 1e6 / f64::from(self.mean_run_us(run_hint_us))
    }

    /// Returns the observed mean run time in microseconds, or the hint without one.
    fn mean_run_us(&self, run_hint_us: f32) -> f32 {
        match self.live.mean_run_us.load(Ordering::Relaxed) {
            0 => run_hint_us.max(1.0),
            observed_us => observed_us as f32,
        }
    }
}

/// All upstreams that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Sorted by key.
    pub rows: Vec<UpstreamRow>,
}

impl View {
    /// Finds a row by its key.
    #[must_use]
    pub fn row(&self, key: UpstreamKey) -> Option<&UpstreamRow> {
        self.rows.binary_search_by_key(&key, |row| row.key).ok().map(|index| &self.rows[index])
    }
}

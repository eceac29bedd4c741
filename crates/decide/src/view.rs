//! What an entry knows of upstreams: facts that change seldom, and load that
//! changes with every reply.
//!
//! The set of rows is replaced as a whole (read-copy-update); load is atomic,
//! so that a request's path takes no lock.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

/// Place of an upstream in its entry's arena. Never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// A data centre, numbered by the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DataCentreKey(pub u16);

/// A rack, numbered by the entry; unique over data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RackKey(pub u16);

/// A request kind of an organisation, numbered by the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindKey(pub u32);

/// Load of one upstream, shared by all threads of the entry.
///
/// It fills cache lines of its own, so that a choice reads one line an
/// upstream and writes to one upstream do not slow the reads of another.
#[derive(Debug, Default)]
#[repr(align(64))]
pub struct LiveState {
    /// Slots in all, from the last report.
    pub slots: AtomicU32,
    /// Tasks running there, from the last report.
    pub running: AtomicU32,
    /// Tasks queued there, from the last report.
    pub queued: AtomicU32,
    /// Sequence of the last report taken.
    pub load_sequence: AtomicU64,
    /// Placements of this entry without a reply.
    pub outstanding: AtomicU32,
    /// Of those, how many the last report already counts.
    pub outstanding_reported: AtomicU32,
    /// When a packet of it was last heard, in monotonic milliseconds.
    pub heard_at_ms: AtomicU64,
    /// It announced leaving; no new work goes there.
    pub leaving: AtomicBool,
    /// Its data centre is evacuated; no new work goes there.
    pub evacuated: AtomicBool,
    /// Ejected until this time in monotonic milliseconds; 0 when serving.
    pub ejected_until_ms: AtomicU64,
    /// Most placements of this entry at once while the upstream returns from
    /// ejection; 0 for no bound.
    pub return_window: AtomicU32,
    /// Observed mean run time of a task, in microseconds; 0 when unknown.
    pub mean_run_us: AtomicU64,
}

/// A report of a full upstream is believed for this long, in milliseconds, while
/// none can follow. Others get its slots meanwhile; it is some run times of short
/// tasks.
pub const FULL_REPORT_VALID_MS: u64 = 250;

impl LiveState {
    /// Takes an upstream that was reported full some time ago for one with a
    /// free slot, if no reply is due that would tell.
    ///
    /// Load rides on replies. Under saturation an entry without a placement at
    /// an upstream hears nothing of it until the next heartbeat, and would leave
    /// all its slots to other entries. One task is risked: it starts, waits
    /// shortly, or is refused, and its reply tells the load.
    pub fn assume_slot_if_stale(&self, now_ms: u64) {
        let heard_at_ms = self.heard_at_ms.load(Ordering::Acquire);
        let slots = self.slots.load(Ordering::Acquire);
        let reported = self.running.load(Ordering::Acquire) + self.queued.load(Ordering::Acquire);
        let is_old = now_ms >= heard_at_ms + FULL_REPORT_VALID_MS;
        let none_due = self.outstanding.load(Ordering::Acquire) == 0;
        if slots > 0 && reported >= slots && is_old && none_due {
            self.running.store(slots - 1, Ordering::Release);
            self.queued.store(0, Ordering::Release);
        }
    }
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// Its place in the arena.
    pub key: UpstreamKey,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// Its rack.
    pub rack: RackKey,
    /// Largest task it can hold, in bytes.
    pub max_task_bytes: u64,
    /// Kinds it serves; empty means all.
    pub kinds: Vec<KindKey>,
    /// Its load.
    pub live: Arc<LiveState>,
}

impl UpstreamRow {
    /// Whether it serves the kind and could hold the size.
    #[must_use]
    pub fn can_serve(&self, kind: KindKey, size_bytes: u64) -> bool {
        size_bytes <= self.max_task_bytes && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }

    /// Whether new work may go there now.
    #[must_use]
    pub fn takes_work(&self, now_ms: u64) -> bool {
        let return_window = self.live.return_window.load(Ordering::Acquire);
        !self.live.leaving.load(Ordering::Acquire)
            && !self.live.evacuated.load(Ordering::Acquire)
            && self.live.ejected_until_ms.load(Ordering::Acquire) <= now_ms
            && (return_window == 0 || self.live.outstanding.load(Ordering::Acquire) < return_window)
    }

    /// Tasks there as far as known: reported ones, and own placements which
    /// the last report could not count yet.
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

    /// Slots free as far as known; negative when tasks wait.
    #[must_use]
    pub fn free_slots(&self) -> i64 {
        i64::from(self.live.slots.load(Ordering::Acquire)) - i64::from(self.assigned())
    }

    /// Time until a task sent now would start, in microseconds, if it waited
    /// behind those assigned: `(assigned - slots + 1) * mean run / slots`, and
    /// 0 while a slot is free. `run_hint_us` stands in for the mean run time
    /// while none was observed. Infinite without slots.
    #[must_use]
    pub fn expected_wait_us(&self, run_hint_us: f32) -> f32 {
        let slots = self.live.slots.load(Ordering::Acquire);
        let assigned = self.assigned();
        if assigned < slots {
            return 0.0;
        }
        (assigned - slots + 1) as f32 * self.mean_run_us(run_hint_us) / slots as f32
    }

    /// Tasks a second that all its slots start when none is ever free.
    #[must_use]
    pub fn starts_per_s(&self, run_hint_us: f32) -> f64 {
        let slots = self.live.slots.load(Ordering::Acquire);
        f64::from(slots) * 1e6 / f64::from(self.mean_run_us(run_hint_us))
    }

    /// Observed mean run time in microseconds, the hint while there is none.
    fn mean_run_us(&self, run_hint_us: f32) -> f32 {
        match self.live.mean_run_us.load(Ordering::Relaxed) {
            0 => run_hint_us.max(1.0),
            observed_us => observed_us as f32,
        }
    }
}

/// All upstreams an entry knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// In the order of their keys.
    pub rows: Vec<UpstreamRow>,
}

impl View {
    /// Finds a row by its key.
    #[must_use]
    pub fn row(&self, key: UpstreamKey) -> Option<&UpstreamRow> {
        self.rows.binary_search_by_key(&key, |row| row.key).ok().map(|index| &self.rows[index])
    }
}

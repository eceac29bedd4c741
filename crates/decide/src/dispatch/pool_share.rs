//! Share of an entry in the work that arrives at the linked upstreams of a pool.
//!
//! Agents report what arrives from all entries; an entry knows what it has placed itself.

use {super::pool_load::PoolLoad, crate::decaying_sum::DecayingSum};

/// Window of the share, in milliseconds. An entry places one or two jobs of the rarest kind, which
/// has a third of the work, in the 500 ms over which agents measure.
const SHARE_WINDOW_MS: f64 = 2_000.0;

/// Work that arrives at the linked upstreams of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolShare {
    /// Work placed by this entry.
    own: DecayingSum,
    /// Work placed by all entries, by the rates that agents report.
    all: DecayingSum,
    observed_ms: Option<u64>,
}

impl PoolShare {
    /// Records work that this entry has placed.
    pub(super) fn record_placed(&mut self, work_milli_ms: u64, now_ms: u64) {
        self.own.add(work_milli_ms as f64, SHARE_WINDOW_MS, now_ms);
    }

    /// Records what arrives from all entries, as it was since the last call.
    pub(super) fn observe(&mut self, load: &PoolLoad, now_ms: u64) {
        let since_ms = self.observed_ms.unwrap_or(now_ms);
        let passed_ms = (now_ms.saturating_sub(since_ms) as f64).min(SHARE_WINDOW_MS);
        self.all.add(load.arriving_milli() as f64 * passed_ms, SHARE_WINDOW_MS, now_ms);
        self.observed_ms = Some(now_ms);
    }

    /// Share of this entry, between 0 and 1; 0 while it is not known.
    pub(super) fn share(&self, now_ms: u64) -> f64 {
        let all = self.all.per_ms(SHARE_WINDOW_MS, now_ms);
        if all > 0.0 { (self.own.per_ms(SHARE_WINDOW_MS, now_ms) / all).min(1.0) } else { 0.0 }
    }
}

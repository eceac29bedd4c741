//! Run times and sizes, corrected by observation.
//!
//! Declared values are hints and often wrong by a factor of ten. A hint stands
//! alone until something was observed, and its weight falls with the square of
//! the number of observations, so that it is gone after a handful.
//!
//! Kept by kind, by upstream and by both: a kind's run times as a histogram for
//! percentiles, the rest as means. For a pair not seen yet the kind's mean is
//! scaled by how slow the upstream is with other kinds. A histogram a pair
//! would be exact and cost about 320 bytes times kinds times upstreams.
//!
//! A decaying histogram is taken rather than the P2 algorithm: one structure
//! gives every percentile, old observations fade, and its error is known (a
//! bucket, 19 %), where P2 keeps one percentile and drifts when times change.

mod histogram;
mod mean;

use {
    crate::view::{KindKey, UpstreamKey},
    std::collections::HashMap,
};

pub use {histogram::Histogram, mean::Mean};

/// An observation counts at most as this many times the estimate, so that one
/// straggler does not move it far, and an estimate ten times too low still
/// catches up at once.
const MAX_JUMP: f64 = 8.0;

/// The percentile of run times to be counted on at least.
const LEAST_PERCENTILE: f64 = 5.0;

/// The percentile of sizes to be provided for.
const SIZE_PERCENTILE: f64 = 95.0;

/// Fewer observations give no percentile.
const MIN_OBSERVATIONS: u64 = 20;

/// After this time without an observation, in milliseconds, a low run time is
/// not counted on any more.
const FRESH_MS: u64 = 10_000;

/// What is declared and known of one kind.
#[derive(Clone, Debug)]
struct KindEstimate {
    declared_run_us: f64,
    declared_size_bytes: f64,
    run_us: Mean,
    runs: Histogram,
    sizes: Histogram,
    observed_at_ms: u64,
}

/// What is known of one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamEstimate {
    /// Of all kinds.
    run_us: Mean,
    /// Run time against the mean of the task's kind; 1 for the usual.
    slowness: Mean,
}

/// Estimates of one entry.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    kinds: HashMap<KindKey, KindEstimate>,
    upstreams: HashMap<UpstreamKey, UpstreamEstimate>,
    pairs: HashMap<(KindKey, UpstreamKey), Mean>,
}

impl Estimates {
    /// Takes a kind's declared values, the first ones or changed ones.
    pub fn declare(&mut self, kind: KindKey, run_ms: u32, size_bytes: u64) {
        let declared_run_us = f64::from(run_ms.max(1)) * 1_000.0;
        let declared_size_bytes = size_bytes as f64;
        let new = || KindEstimate {
            declared_run_us,
            declared_size_bytes,
            run_us: Mean::default(),
            runs: Histogram::default(),
            sizes: Histogram::default(),
            observed_at_ms: 0,
        };
        let estimate = self.kinds.entry(kind).or_insert_with(new);
        estimate.declared_run_us = declared_run_us;
        estimate.declared_size_bytes = declared_size_bytes;
    }

    /// Takes the run time of a task that ended.
    ///
    /// Only of tasks that ran to their end: a failure at once says nothing of
    /// run time, and would make a broken upstream look fast.
    pub fn observe_run(&mut self, kind: KindKey, upstream: UpstreamKey, run_us: u64, now_ms: u64) {
        let run_us = run_us.max(1) as f64;
        let of_pair_us = self.run_us(kind, upstream);
        let Some(estimate) = self.kinds.get_mut(&kind) else { return };
        let of_kind_us = estimate.run_us.value_or(estimate.declared_run_us);
        estimate.run_us.observe(run_us.min(MAX_JUMP * of_kind_us));
        estimate.runs.observe(run_us);
        estimate.observed_at_ms = now_ms;
        let of_upstream = self.upstreams.entry(upstream).or_default();
        of_upstream.slowness.observe((run_us / of_kind_us).min(MAX_JUMP));
        let before_us = of_upstream.run_us.value_or(of_pair_us);
        of_upstream.run_us.observe(run_us.min(MAX_JUMP * before_us));
        let of_pair = self.pairs.entry((kind, upstream)).or_default();
        of_pair.observe(run_us.min(MAX_JUMP * of_pair_us));
    }

    /// Takes the size of a task as the upstream told it.
    pub fn observe_size(&mut self, kind: KindKey, size_bytes: u64) {
        if let Some(estimate) = self.kinds.get_mut(&kind) {
            estimate.sizes.observe(size_bytes.max(1) as f64);
        }
    }

    /// Expected run time of a kind at an upstream, in microseconds.
    #[must_use]
    pub fn run_us(&self, kind: KindKey, upstream: UpstreamKey) -> f64 {
        let Some(estimate) = self.kinds.get(&kind) else { return 0.0 };
        let of_kind_us = estimate.run_us.value_or(estimate.declared_run_us);
        let of_upstream = self.upstreams.get(&upstream);
        let slowness = of_upstream.map_or(1.0, |it| it.slowness.value_or(1.0));
        let of_pair = self.pairs.get(&(kind, upstream));
        of_pair.map_or(of_kind_us * slowness, |it| it.value_or(of_kind_us * slowness))
    }

    /// Expected run time of a kind anywhere, in milliseconds, at least 1.
    #[must_use]
    pub fn kind_run_ms(&self, kind: KindKey) -> u32 {
        let run_us = self.kinds.get(&kind).map(|it| it.run_us.value_or(it.declared_run_us));
        ((run_us.unwrap_or(0.0) / 1_000.0).ceil() as u32).max(1)
    }

    /// Mean run time of the tasks of all kinds at an upstream, in microseconds;
    /// 0 while unknown, as [`crate::view::LiveState::mean_run_us`] has it.
    #[must_use]
    pub fn upstream_run_us(&self, upstream: UpstreamKey) -> u64 {
        self.upstreams.get(&upstream).map_or(0, |it| it.run_us.value_or(0.0) as u64)
    }

    /// Percentile of a kind's run times, in microseconds; `None` until enough
    /// of them were observed.
    #[must_use]
    pub fn run_percentile_us(&self, kind: KindKey, percentile: u8) -> Option<u64> {
        let runs = &self.kinds.get(&kind)?.runs;
        let is_known = runs.observations() >= MIN_OBSERVATIONS;
        is_known.then(|| runs.percentile(f64::from(percentile)) as u64)
    }

    /// Run time that a task takes at least, in milliseconds, for refusing what
    /// cannot end in time; 0 while not known from fresh observations. Declared
    /// run times do not count: one that is too long would refuse each request,
    /// and never be corrected.
    #[must_use]
    pub fn least_run_ms(&self, kind: KindKey, now_ms: u64) -> u32 {
        let Some(estimate) = self.kinds.get(&kind) else { return 0 };
        let is_fresh = now_ms.saturating_sub(estimate.observed_at_ms) <= FRESH_MS;
        if !is_fresh || estimate.runs.observations() < MIN_OBSERVATIONS {
            return 0;
        }
        (estimate.runs.lower_percentile(LEAST_PERCENTILE) / 1_000.0) as u32
    }

    /// Size to provide for, in bytes: declared until enough were observed.
    #[must_use]
    pub fn size_bytes(&self, kind: KindKey) -> u64 {
        let Some(estimate) = self.kinds.get(&kind) else { return 0 };
        if estimate.sizes.observations() < MIN_OBSERVATIONS {
            return estimate.declared_size_bytes as u64;
        }
        estimate.sizes.percentile(SIZE_PERCENTILE) as u64
    }

    /// Forgets an upstream that is gone.
    pub fn forget_upstream(&mut self, upstream: UpstreamKey) {
        self.upstreams.remove(&upstream);
        self.pairs.retain(|(_, it), _| *it != upstream);
    }

    /// Forgets a kind that is gone.
    pub fn forget_kind(&mut self, kind: KindKey) {
        self.kinds.remove(&kind);
        self.pairs.retain(|(it, _), _| *it != kind);
    }
}

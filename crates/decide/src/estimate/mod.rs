//! Estimates of run times and sizes, from declarations and observations.
//!
//! Declared values are hints and often wrong by a factor of ten. A hint counts
//! alone until the first observation. Its weight then falls with the square of
//! the number of observations, so that it is negligible after a few.
//!
//! Estimates are kept by kind, by upstream and by pair of both: a histogram of a
//! kind's run times for percentiles, and means for the rest. For a pair without
//! observations, the kind's mean is scaled by the slowness of the upstream with
//! other kinds. A histogram for each pair would be exact, but would cost about
//! 320 bytes times kinds times upstreams.
//!
//! A decaying histogram is used instead of the P2 algorithm: it provides every
//! percentile, old observations lose weight, and its error is known (one bucket,
//! 19 %). P2 tracks a single percentile and drifts when run times change.

mod histogram;
mod mean;

use {
    crate::view::{KindKey, UpstreamKey},
    std::collections::HashMap,
};

pub use {histogram::Histogram, mean::Mean};

/// Observations are capped at this many times the estimate. One straggler then
/// moves the estimate little, and an estimate that is ten times too low still
/// catches up quickly.
const MAX_OBSERVATION_RATIO: f64 = 8.0;

/// Percentile of run times that counts as the shortest expected run time.
const MIN_RUN_PERCENTILE: f64 = 5.0;

/// Percentile of sizes that is used as the size of a task.
const SIZE_PERCENTILE: f64 = 95.0;

/// Observations needed before a percentile is used.
const MIN_OBSERVATIONS: u64 = 20;

/// After this time without an observation, in milliseconds, the shortest run time
/// counts as unknown.
const MAX_OBSERVATION_AGE_MS: u64 = 10_000;

/// Declared and observed values of one kind.
#[derive(Clone, Debug)]
struct KindEstimate {
    declared_run_us: f64,
    declared_size_bytes: f64,
    run_us: Mean,
    runs: Histogram,
    sizes: Histogram,
    observed_at_ms: u64,
}

/// Observed values of one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamEstimate {
    /// Run time over all kinds.
    run_us: Mean,
    /// Run time relative to the mean of the task's kind; 1 is average.
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
    /// Sets a kind's declared values, initially or after a change.
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

    /// Records the run time of a task that ran to its end.
    ///
    /// Immediate failures must not be recorded: they say nothing about the run
    /// time, and would make a broken upstream look fast.
    pub fn observe_run(&mut self, kind: KindKey, upstream: UpstreamKey, run_us: u64, now_ms: u64) {
        let run_us = run_us.max(1) as f64;
        let pair_us = self.run_us(kind, upstream);
        let Some(estimate) = self.kinds.get_mut(&kind) else { return };
        let kind_us = estimate.run_us.value_or(estimate.declared_run_us);
        estimate.run_us.observe(run_us.min(MAX_OBSERVATION_RATIO * kind_us));
        estimate.runs.observe(run_us);
        estimate.observed_at_ms = now_ms;
        let upstream_estimate = self.upstreams.entry(upstream).or_default();
        upstream_estimate.slowness.observe((run_us / kind_us).min(MAX_OBSERVATION_RATIO));
        let previous_us = upstream_estimate.run_us.value_or(pair_us);
        upstream_estimate.run_us.observe(run_us.min(MAX_OBSERVATION_RATIO * previous_us));
        let pair_mean = self.pairs.entry((kind, upstream)).or_default();
        pair_mean.observe(run_us.min(MAX_OBSERVATION_RATIO * pair_us));
    }

    /// Records the size of a task as reported by the upstream.
    pub fn observe_size(&mut self, kind: KindKey, size_bytes: u64) {
        if let Some(estimate) = self.kinds.get_mut(&kind) {
            estimate.sizes.observe(size_bytes.max(1) as f64);
        }
    }

    /// Returns the expected run time of a kind at an upstream, in microseconds; 0 for
    /// an unknown kind.
    #[must_use]
    pub fn run_us(&self, kind: KindKey, upstream: UpstreamKey) -> f64 {
        let Some(estimate) = self.kinds.get(&kind) else { return 0.0 };
        let kind_us = estimate.run_us.value_or(estimate.declared_run_us);
        let upstream_estimate = self.upstreams.get(&upstream);
        let slowness = upstream_estimate.map_or(1.0, |it| it.slowness.value_or(1.0));
        let pair_mean = self.pairs.get(&(kind, upstream));
        pair_mean.map_or(kind_us * slowness, |it| it.value_or(kind_us * slowness))
    }

    /// Returns the expected run time of a kind over all upstreams, in milliseconds,
    /// at least 1.
    #[must_use]
    pub fn kind_run_ms(&self, kind: KindKey) -> u32 {
        let run_us = self.kinds.get(&kind).map(|it| it.run_us.value_or(it.declared_run_us));
        ((run_us.unwrap_or(0.0) / 1_000.0).ceil() as u32).max(1)
    }

    /// Returns the mean run time over all kinds at an upstream, in microseconds; 0
    /// while unknown, as in [`crate::view::LiveState::mean_run_us`].
    #[must_use]
    pub fn upstream_run_us(&self, upstream: UpstreamKey) -> u64 {
        self.upstreams.get(&upstream).map_or(0, |it| it.run_us.value_or(0.0) as u64)
    }

    /// Returns a percentile of a kind's run times, in microseconds; `None` until
    /// enough of them were observed.
    #[must_use]
    pub fn run_percentile_us(&self, kind: KindKey, percentile: u8) -> Option<u64> {
        let runs = &self.kinds.get(&kind)?.runs;
        let is_known = runs.observations() >= MIN_OBSERVATIONS;
        is_known.then(|| runs.percentile(f64::from(percentile)) as u64)
    }

    /// Returns the shortest expected run time of a task, in milliseconds, used to
    /// refuse tasks that cannot end in time; 0 without recent observations.
    /// Declared run times do not count: one that is too long would refuse every
    /// request and never be corrected.
    #[must_use]
    pub fn least_run_ms(&self, kind: KindKey, now_ms: u64) -> u32 {
        let Some(estimate) = self.kinds.get(&kind) else { return 0 };
        let is_fresh = now_ms.saturating_sub(estimate.observed_at_ms) <= MAX_OBSERVATION_AGE_MS;
        if !is_fresh || estimate.runs.observations() < MIN_OBSERVATIONS {
            return 0;
        }
        (estimate.runs.lower_percentile(MIN_RUN_PERCENTILE) / 1_000.0) as u32
    }

    /// Returns the expected size in bytes: the declared one until enough sizes
    /// were observed, then a high percentile of these.
    #[must_use]
    pub fn size_bytes(&self, kind: KindKey) -> u64 {
        let Some(estimate) = self.kinds.get(&kind) else { return 0 };
        if estimate.sizes.observations() < MIN_OBSERVATIONS {
            return estimate.declared_size_bytes as u64;
        }
        estimate.sizes.percentile(SIZE_PERCENTILE) as u64
    }

    /// Removes the estimates of an upstream that no longer exists.
    pub fn forget_upstream(&mut self, upstream: UpstreamKey) {
        self.upstreams.remove(&upstream);
        self.pairs.retain(|(_, it), _| *it != upstream);
    }

    /// Removes the estimates of a kind that no longer exists.
    pub fn forget_kind(&mut self, kind: KindKey) {
        self.kinds.remove(&kind);
        self.pairs.retain(|(it, _), _| *it != kind);
    }
}

//! What is known of each kind, made anew every few milliseconds for the kinds
//! that are asked for.

use {
    super::choose::placement_query,
    crate::{organisations::Kind, shared::Shared},
    dashmap::DashMap,
    sycamorerail_decide::{admission::forecast::Forecast, view::KindKey},
    sycamorerail_settings::template::Priority,
};

/// Numbers older than this are made anew.
const FRESH_MS: u64 = 5;

/// What is known of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindNumbers {
    /// Expected run time.
    pub run_ms: u32,
    /// Shortest run time to be counted on.
    pub least_run_ms: u32,
    /// Size to provide for.
    pub size_bytes: u64,
    /// Run time after which an attempt counts as slow, if it may be hedged.
    pub slow_after_us: Option<u64>,
    /// The fleet as the kind sees it.
    pub forecast: Forecast,
    made_at_ms: u64,
}

/// Numbers by kind.
#[derive(Debug, Default)]
pub(super) struct Kinds(DashMap<KindKey, KindNumbers>);

impl Kinds {
    /// Has all numbers made anew, after the upstreams have changed.
    pub(super) fn forget(&self) {
        self.0.clear();
    }
}

/// The numbers of a kind.
#[must_use]
pub fn numbers(shared: &Shared, kind: &Kind) -> KindNumbers {
    let now_ms = shared.now_ms();
    let kinds = &shared.dispatch.kinds.0;
    if let Some(known) = kinds.get(&kind.key)
        && now_ms < known.made_at_ms + FRESH_MS
    {
        return *known;
    }
    let made = make(shared, kind, now_ms);
    kinds.insert(kind.key, made);
    made
}

fn make(shared: &Shared, kind: &Kind, now_ms: u64) -> KindNumbers {
    let mut made = learnt(shared, kind, now_ms);
    let drain_per_s = shared.dispatch.drain_per_s(now_ms);
    let entries = u32::try_from(shared.members.load().entries.len()).unwrap_or(u32::MAX);
    let view = &shared.upstreams.snapshot().view;
    let query = placement_query(shared, kind, &made, &[], &[]);
    made.forecast = Forecast::new(view, &query, None, entries, now_ms);
    // The queue's own pace is short-sighted where tasks run for longer than it
    // looks back. It counts where it is higher: other entries use less.
    if let Some(drain_per_s) = drain_per_s {
        made.forecast.starts_per_s = made.forecast.starts_per_s.max(drain_per_s);
    }
    made
}

fn learnt(shared: &Shared, kind: &Kind, now_ms: u64) -> KindNumbers {
    let estimates = shared.dispatch.estimates.lock();
    let percentile = kind.hedge_percentile.filter(|_| kind.priority == Priority::Time);
    KindNumbers {
        run_ms: estimates.kind_run_ms(kind.key),
        least_run_ms: estimates.least_run_ms(kind.key, now_ms),
        size_bytes: estimates.size_bytes(kind.key),
        slow_after_us: percentile
            .and_then(|percentile| estimates.run_percentile_us(kind.key, percentile)),
        forecast: Forecast::default(),
        made_at_ms: now_ms,
    }
}

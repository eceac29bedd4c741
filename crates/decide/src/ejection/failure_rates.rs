//! Failure rates by upstream and kind. Older attempts lose weight with time.

use {
    crate::view::{KindKey, UpstreamKey},
    std::collections::HashMap,
};

/// Time after which an attempt has half its weight, in milliseconds.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Peers whose attempts weigh less than this are ignored.
const MIN_PEER_WEIGHT: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Attempts {
    attempts: f64,
    failures: f64,
    updated_ms: u64,
}

impl Attempts {
    fn observe(&mut self, succeeded: bool, now_ms: u64) {
        let remaining = self.remaining_weight(now_ms);
        self.attempts = self.attempts * remaining + 1.0;
        self.failures = self.failures * remaining + f64::from(u8::from(!succeeded));
        self.updated_ms = now_ms;
    }

    fn remaining_weight(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.updated_ms) as f64) / HALF_LIFE_MS).exp2()
    }

    /// Returns the fraction of attempts that failed. Half a successful attempt is
    /// added, so that a single failure at a peer does not count as a rate of one.
    fn failure_rate(&self) -> f64 {
        self.failures / (self.attempts + 0.5)
    }
}

/// Comparison of an upstream with its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Comparison {
    /// Weight of the attempts of kinds that peers serve too.
    pub(super) attempts: f64,
    /// Failure rate of those attempts in excess of the peers' rate.
    pub(super) excess: f64,
}

/// Attempts and failures of all upstreams, by kind.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureRates {
    kinds: HashMap<KindKey, HashMap<UpstreamKey, Attempts>>,
}

impl FailureRates {
    pub(super) fn observe(
        &mut self,
        key: UpstreamKey,
        kind: KindKey,
        succeeded: bool,
        now_ms: u64,
    ) {
        let rates = self.kinds.entry(kind).or_default();
        rates.entry(key).or_default().observe(succeeded, now_ms);
    }

    pub(super) fn remove(&mut self, key: UpstreamKey) {
        self.kinds.values_mut().for_each(|rates| _ = rates.remove(&key));
        self.kinds.retain(|_, rates| !rates.is_empty());
    }

    /// Compares an upstream with the others, kind by kind.
    pub(super) fn compare(&self, key: UpstreamKey, now_ms: u64) -> Comparison {
        let mut comparison = Comparison::default();
        for rates in self.kinds.values() {
            let Some((own, peers)) = rates.get(&key).zip(peer_failure_rate(rates, key, now_ms))
            else {
                continue;
            };
            let attempts = own.attempts * own.remaining_weight(now_ms);
            comparison.attempts += attempts;
            comparison.excess += attempts * (own.failure_rate() - peers);
        }
        comparison.excess /= comparison.attempts.max(1.0);
        comparison
    }
}

/// Returns the mean failure rate of the peers, `None` without peers.
fn peer_failure_rate(
    rates: &HashMap<UpstreamKey, Attempts>,
    key: UpstreamKey,
    now_ms: u64,
) -> Option<f64> {
    let is_peer = |(it, rate): &(&UpstreamKey, &Attempts)| {
        **it != key && rate.attempts * rate.remaining_weight(now_ms) >= MIN_PEER_WEIGHT
    };
    let peers = rates.iter().filter(is_peer);
    let (count, sum) =
        peers.fold((0, 0.0), |(count, sum), (_, it)| (count + 1, sum + it.failure_rate()));
    (count > 0).then(|| sum / f64::from(count))
}

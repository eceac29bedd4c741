//! Failure rates by upstream and kind, fading with time.

use {
    crate::view::{KindKey, UpstreamKey},
    std::collections::HashMap,
};

/// Time in which past attempts lose half of their weight, in milliseconds.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Weight below which a peer's attempts are not counted.
const MIN_PEER_WEIGHT: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    attempts: f64,
    failures: f64,
    at_ms: u64,
}

impl Rate {
    fn observe(&mut self, succeeded: bool, now_ms: u64) {
        let kept = self.kept(now_ms);
        self.attempts = self.attempts * kept + 1.0;
        self.failures = self.failures * kept + f64::from(u8::from(!succeeded));
        self.at_ms = now_ms;
    }

    fn kept(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.at_ms) as f64) / HALF_LIFE_MS).exp2()
    }

    /// Part of the attempts that failed, pulled towards none by half an attempt
    /// so that a single failure at a peer does not excuse everything.
    fn part(&self) -> f64 {
        self.failures / (self.attempts + 0.5)
    }
}

/// An upstream against its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Comparison {
    /// Weight of the attempts at kinds that peers serve too.
    pub(super) attempts: f64,
    /// Failures beyond what peers had, as part of those attempts.
    pub(super) excess: f64,
}

/// Attempts and failures of all upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    kinds: HashMap<KindKey, HashMap<UpstreamKey, Rate>>,
}

impl Tally {
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

    /// Sets an upstream against the others, kind by kind.
    pub(super) fn compare(&self, key: UpstreamKey, now_ms: u64) -> Comparison {
        let mut comparison = Comparison::default();
        for rates in self.kinds.values() {
            let Some((own, peers)) = rates.get(&key).zip(peers_part(rates, key, now_ms)) else {
                continue;
            };
            let attempts = own.attempts * own.kept(now_ms);
            comparison.attempts += attempts;
            comparison.excess += attempts * (own.part() - peers);
        }
        comparison.excess /= comparison.attempts.max(1.0);
        comparison
    }
}

/// Mean failure rate of the others, `None` without others.
fn peers_part(rates: &HashMap<UpstreamKey, Rate>, key: UpstreamKey, now_ms: u64) -> Option<f64> {
    let is_peer = |(it, rate): &(&UpstreamKey, &Rate)| {
        **it != key && rate.attempts * rate.kept(now_ms) >= MIN_PEER_WEIGHT
    };
    let peers = rates.iter().filter(is_peer);
    let (count, sum) = peers.fold((0, 0.0), |(count, sum), (_, it)| (count + 1, sum + it.part()));
    (count > 0).then(|| sum / f64::from(count))
}

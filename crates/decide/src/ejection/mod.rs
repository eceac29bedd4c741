//! Ejecting upstreams that fail what their peers do not.
//!
//! An upstream that fails everything at once is always free, and so draws work.
//! It is judged against its peers *by kind*: the failure rate of each kind there
//! less the mean rate of that kind at the other upstreams. If a kind fails
//! everywhere, the kind is at fault and nobody is ejected; an upstream that is
//! the only one to serve a kind is not judged by it. The peers' rates count
//! alike whatever their load, for an upstream that draws most of the work would
//! else be compared with itself.
//!
//! An absolute bound alone was ruled out (it ejects the whole fleet when a bad
//! kind is published), and consecutive failures alone too (an upstream that
//! fails nine of ten is kept).
//!
//! An ejected upstream gets nothing for a time that doubles with each ejection.
//! Then it gets one repeatable request as a probe. If that succeeds it returns
//! with one task at a time, and one more with each success; a failure meanwhile
//! ejects it again. At most [`max_ejected`] are out at a time, so that a wrong
//! judgement cannot take the fleet away.
//!
//! Judged are ends of tasks that were started, and starts that the upstream's
//! own connection refused. Refusals by the agent's limits, cancellations and
//! lost sessions between agent and entry say nothing of the upstream.

mod tally;

use {
    crate::view::{KindKey, LiveState, UpstreamKey},
    std::{
        collections::{HashMap, HashSet},
        sync::atomic::Ordering,
    },
    tally::{Comparison, Tally},
};

/// First ejection, in milliseconds.
pub const FIRST_EJECTION_MS: u64 = 2_000;

/// Longest ejection, in milliseconds.
pub const MAX_EJECTION_MS: u64 = 300_000;

/// After this time in service, in milliseconds, a new ejection is a first one.
pub const FORGIVE_AFTER_MS: u64 = 600_000;

/// A probe without an end for so long is taken as failed, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 30_000;

/// Failures between two judgements of an upstream: when all fail, each failure
/// would else cost a look at all peers.
const FAILURES_A_JUDGEMENT: u32 = 5;

/// Failures beyond the peers', as part of the attempts, that eject; of few
/// attempts more are needed, see [`is_outlier`].
const MAX_EXCESS: f64 = 0.35;

/// Tasks at once beyond which a returned upstream is in full service.
const FULL_WINDOW: u32 = 32;

/// Most upstreams that may be ejected at a time: three in ten, and one of at
/// least three.
#[must_use]
pub fn max_ejected(upstreams: usize) -> usize {
    let least = usize::from(upstreams >= 3);
    (upstreams * 3 / 10).max(least)
}

/// How an upstream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// In full service.
    Full,
    /// Gets nothing.
    Ejected {
        /// Until then, in monotonic milliseconds; after that a probe.
        until_ms: u64,
    },
    /// Gets nothing but the probe that was sent.
    Probing {
        /// When it was sent, in monotonic milliseconds.
        since_ms: u64,
    },
    /// Gets a few tasks at once.
    Returning {
        /// Most at once from this entry.
        window: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Upstream {
    state: EjectionState,
    /// Ejections in a row.
    ejections: u32,
    ejected_at_ms: u64,
    failures_unjudged: u32,
}

impl Upstream {
    fn is_out(&self) -> bool {
        matches!(self.state, EjectionState::Ejected { .. } | EjectionState::Probing { .. })
    }

    fn ejection_ms(&self) -> u64 {
        let doublings = self.ejections.saturating_sub(1).min(16);
        (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS)
    }
}

/// Ejections as one entry decides them.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    upstreams: HashMap<UpstreamKey, Upstream>,
    out: HashSet<UpstreamKey>,
    tally: Tally,
}

impl Ejections {
    /// Takes part from now on, in full service.
    pub fn add(&mut self, key: UpstreamKey) {
        let new = Upstream {
            state: EjectionState::Full,
            ejections: 0,
            ejected_at_ms: 0,
            failures_unjudged: 0,
        };
        self.upstreams.entry(key).or_insert(new);
    }

    /// It is gone.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.upstreams.remove(&key);
        self.out.remove(&key);
        self.tally.remove(key);
    }

    /// How it stands; in full service if unknown.
    #[must_use]
    pub fn state(&self, key: UpstreamKey) -> EjectionState {
        self.upstreams.get(&key).map_or(EjectionState::Full, |it| it.state)
    }

    /// Upstreams that are ejected or probed.
    #[must_use]
    pub fn ejected_count(&self) -> usize {
        self.out.len()
    }

    /// Takes the end of a task. Returns how the upstream stands if that
    /// changed, to be put into its [`LiveState`] by [`apply`].
    pub fn observe(
        &mut self,
        key: UpstreamKey,
        kind: KindKey,
        succeeded: bool,
        now_ms: u64,
    ) -> Option<EjectionState> {
        self.tally.observe(key, kind, succeeded, now_ms);
        match self.upstreams.get(&key)?.state {
            EjectionState::Full if succeeded => None,
            EjectionState::Full => self.judge(key, now_ms),
            EjectionState::Returning { window } if succeeded => self.widen(key, window),
            EjectionState::Returning { .. } => self.eject(key, now_ms),
            // Tasks placed before the ejection end after it: only the probe's
            // end counts, which `record_probe_end` takes.
            EjectionState::Ejected { .. } | EjectionState::Probing { .. } => None,
        }
    }

    /// An ejected upstream whose time is over and that `could_serve` the
    /// repeatable request at hand, to be probed with it.
    pub fn take_probe(
        &mut self,
        mut could_serve: impl FnMut(UpstreamKey) -> bool,
        now_ms: u64,
    ) -> Option<UpstreamKey> {
        let is_due = |key: &&UpstreamKey| match self.state(**key) {
            EjectionState::Ejected { until_ms } => until_ms <= now_ms,
            EjectionState::Probing { since_ms } => since_ms + PROBE_TIMEOUT_MS <= now_ms,
            EjectionState::Full | EjectionState::Returning { .. } => false,
        };
        let due = self.out.iter().filter(is_due).copied();
        let key = due.filter(|&key| could_serve(key)).min()?;
        self.set(key, EjectionState::Probing { since_ms: now_ms });
        Some(key)
    }

    /// Takes the end of a probe: `None` if it says nothing of the upstream, as
    /// when the agent refused it or the caller cancelled.
    pub fn record_probe_end(
        &mut self,
        key: UpstreamKey,
        succeeded: Option<bool>,
        now_ms: u64,
    ) -> Option<EjectionState> {
        if !matches!(self.state(key), EjectionState::Probing { .. }) {
            return None;
        }
        match succeeded {
            Some(true) => self.set(key, EjectionState::Returning { window: 1 }),
            Some(false) => self.eject(key, now_ms),
            None => self.set(key, EjectionState::Ejected { until_ms: now_ms }),
        }
    }

    /// Lets those return that nobody probed: where no repeatable request comes,
    /// an upstream ejected wrongly would else never return. It does so with one
    /// task at a time, after as long a wait again.
    pub fn return_unprobed(&mut self, now_ms: u64) -> Vec<(UpstreamKey, EjectionState)> {
        let waited = |key: &UpstreamKey| match self.upstreams[key].state {
            EjectionState::Ejected { until_ms } => {
                until_ms + self.upstreams[key].ejection_ms() <= now_ms
            }
            _ => false,
        };
        let returning: Vec<_> = self.out.iter().copied().filter(waited).collect();
        let state = EjectionState::Returning { window: 1 };
        returning.into_iter().filter_map(|key| Some((key, self.set(key, state)?))).collect()
    }

    fn judge(&mut self, key: UpstreamKey, now_ms: u64) -> Option<EjectionState> {
        let upstream = self.upstreams.get_mut(&key)?;
        upstream.failures_unjudged += 1;
        if upstream.failures_unjudged < FAILURES_A_JUDGEMENT {
            return None;
        }
        upstream.failures_unjudged = 0;
        if !is_outlier(&self.tally.compare(key, now_ms)) {
            return None;
        }
        self.eject(key, now_ms)
    }

    fn eject(&mut self, key: UpstreamKey, now_ms: u64) -> Option<EjectionState> {
        let is_out = self.out.contains(&key);
        if !is_out && self.out.len() >= max_ejected(self.upstreams.len()) {
            return None;
        }
        let upstream = self.upstreams.get_mut(&key)?;
        let in_service_ms = now_ms.saturating_sub(upstream.ejected_at_ms);
        if upstream.ejections > 0 && in_service_ms > FORGIVE_AFTER_MS + upstream.ejection_ms() {
            upstream.ejections = 0;
        }
        upstream.ejections += 1;
        upstream.ejected_at_ms = now_ms;
        let until_ms = now_ms + upstream.ejection_ms();
        self.tally.remove(key);
        self.set(key, EjectionState::Ejected { until_ms })
    }

    fn widen(&mut self, key: UpstreamKey, window: u32) -> Option<EjectionState> {
        let wider = window + 1;
        let is_full = wider > FULL_WINDOW;
        self.set(
            key,
            if is_full { EjectionState::Full } else { EjectionState::Returning { window: wider } },
        )
    }

    fn set(&mut self, key: UpstreamKey, state: EjectionState) -> Option<EjectionState> {
        let upstream = self.upstreams.get_mut(&key)?;
        upstream.state = state;
        if upstream.is_out() {
            self.out.insert(key);
        } else {
            self.out.remove(&key);
        }
        Some(state)
    }
}

/// Whether failures beyond the peers' are more than chance: a rate of one half
/// varies by half the root of the attempts, and twice that is allowed for.
fn is_outlier(comparison: &Comparison) -> bool {
    comparison.excess > MAX_EXCESS + 1.0 / comparison.attempts.max(1.0).sqrt()
}

/// Puts how an upstream stands where placement sees it.
pub fn publish(state: EjectionState, live: &LiveState) {
    let (ejected_until_ms, return_window) = match state {
        EjectionState::Full => (0, 0),
        // It stays out beyond its time, until a probe succeeded.
        EjectionState::Ejected { .. } | EjectionState::Probing { .. } => (u64::MAX, 0),
        EjectionState::Returning { window } => (0, window),
    };
    live.return_window.store(return_window, Ordering::Release);
    live.ejected_until_ms.store(ejected_until_ms, Ordering::Release);
}

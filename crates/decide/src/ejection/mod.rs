//! Outlier ejection: stops sending work to upstreams that fail more than their
//! peers.
//!
//! An upstream that fails every task immediately is always free, and so attracts
//! work. The entry compares each upstream with its peers *by kind*: the failure
//! rate of the kind at this upstream, minus the mean rate of the kind at the
//! other upstreams. If a kind fails everywhere, the kind is at fault and no
//! upstream is ejected. A kind that only one upstream serves is not used to
//! evaluate it. All peers have the same weight whatever their load; otherwise an
//! upstream that attracts most of the work would be compared with itself.
//!
//! An absolute failure rate alone would eject the whole fleet when a faulty kind
//! is published. A count of consecutive failures alone would keep an upstream
//! that fails nine tasks of ten.
//!
//! An ejected upstream receives no work for a time that doubles with each
//! ejection. Then it receives one repeatable request as a probe. If the probe
//! succeeds, the upstream returns with one task at a time, and one more after
//! each success; a failure during this phase ejects it again. At most
//! [`max_ejected`] upstreams are ejected at a time, so that wrong ejections
//! cannot disable the fleet.
//!
//! Counted are the ends of started tasks, and starts that failed because the
//! connection to the upstream was refused. Refusals by the agent's limits,
//! cancellations, and lost sessions between agent and entry say nothing about
//! the upstream.

mod failure_rates;

use {
    crate::view::{KindKey, LiveState, UpstreamKey},
    failure_rates::{Comparison, FailureRates},
    std::{
        collections::{HashMap, HashSet},
        sync::atomic::Ordering,
    },
};

/// Duration of the first ejection, in milliseconds.
pub const FIRST_EJECTION_MS: u64 = 2_000;

/// Maximum duration of an ejection, in milliseconds.
pub const MAX_EJECTION_MS: u64 = 300_000;

/// After this time in service, in milliseconds, the next ejection is as short as
/// the first.
pub const RESET_AFTER_MS: u64 = 600_000;

/// A probe that has not ended after this time counts as failed, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 30_000;

/// Failures of an upstream between two evaluations. Evaluating at every failure
/// would compare with all peers each time, which is costly when everything fails.
const FAILURES_PER_EVALUATION: u32 = 5;

/// Failure rate in excess of the peers' above which an upstream is ejected.
/// [`is_outlier`] requires more for few attempts.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.35;

/// Window of concurrent tasks above which a returning upstream is in full service.
const MAX_RETURN_WINDOW: u32 = 32;

/// Returns how many of the upstreams may be ejected at a time: three in ten, and
/// at least one if there are three or more.
#[must_use]
pub fn max_ejected(upstreams: usize) -> usize {
    let least = usize::from(upstreams >= 3);
    (upstreams * 3 / 10).max(least)
}

/// Ejection state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// Receives work without a bound.
    Full,
    /// Receives no work.
    Ejected {
        /// End of the ejection, in monotonic milliseconds; a probe follows.
        until_ms: u64,
    },
    /// Receives no work except the probe that was sent.
    Probing {
        /// When the probe was sent, in monotonic milliseconds.
        since_ms: u64,
    },
    /// Receives a limited number of tasks at a time.
    Returning {
        /// Maximum number of concurrent tasks from this entry.
        window: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Upstream {
    state: EjectionState,
    /// Consecutive ejections.
    ejections: u32,
    ejected_at_ms: u64,
    failures_since_evaluation: u32,
}

impl Upstream {
    fn is_ejected(&self) -> bool {
        matches!(self.state, EjectionState::Ejected { .. } | EjectionState::Probing { .. })
    }

    fn ejection_ms(&self) -> u64 {
        let doublings = self.ejections.saturating_sub(1).min(16);
        (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS)
    }
}

/// Ejection states of all upstreams, as one entry decides them.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    upstreams: HashMap<UpstreamKey, Upstream>,
    ejected: HashSet<UpstreamKey>,
    failure_rates: FailureRates,
}

impl Ejections {
    /// Adds an upstream in full service. A known one keeps its state.
    pub fn add(&mut self, key: UpstreamKey) {
        let new = Upstream {
            state: EjectionState::Full,
            ejections: 0,
            ejected_at_ms: 0,
            failures_since_evaluation: 0,
        };
        self.upstreams.entry(key).or_insert(new);
    }

    /// Removes an upstream that no longer exists.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.upstreams.remove(&key);
        self.ejected.remove(&key);
        self.failure_rates.remove(key);
    }

    /// Returns the state of an upstream; full service if it is unknown.
    #[must_use]
    pub fn state(&self, key: UpstreamKey) -> EjectionState {
        self.upstreams.get(&key).map_or(EjectionState::Full, |it| it.state)
    }

    /// Returns the number of upstreams that are ejected or being probed.
    #[must_use]
    pub fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Records the end of a task. Returns the upstream's state if it changed, for
    /// [`publish`].
    pub fn observe(
        &mut self,
        key: UpstreamKey,
        kind: KindKey,
        succeeded: bool,
        now_ms: u64,
    ) -> Option<EjectionState> {
        self.failure_rates.observe(key, kind, succeeded, now_ms);
        match self.upstreams.get(&key)?.state {
            EjectionState::Full if succeeded => None,
            EjectionState::Full => self.evaluate(key, now_ms),
            EjectionState::Returning { window } if succeeded => self.widen_window(key, window),
            EjectionState::Returning { .. } => self.eject(key, now_ms),
            // These tasks were placed before the ejection. Only the end of the probe
            // counts, see `record_probe_end`.
            EjectionState::Ejected { .. } | EjectionState::Probing { .. } => None,
        }
    }

    /// Chooses an upstream to probe with the current repeatable request: one whose
    /// ejection has ended and for which `could_serve` returns true.
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
        let due = self.ejected.iter().filter(is_due).copied();
        let key = due.filter(|&key| could_serve(key)).min()?;
        self.set_state(key, EjectionState::Probing { since_ms: now_ms });
        Some(key)
    }

    /// Records the end of a probe and returns the new state. `succeeded` is `None`
    /// if the end says nothing about the upstream, for example because the agent
    /// refused the probe or the caller cancelled it.
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
            Some(true) => self.set_state(key, EjectionState::Returning { window: 1 }),
            Some(false) => self.eject(key, now_ms),
            None => self.set_state(key, EjectionState::Ejected { until_ms: now_ms }),
        }
    }

    /// Returns upstreams to service that were not probed: without repeatable
    /// requests, a wrongly ejected upstream would otherwise never return. Such an
    /// upstream waits for the duration of its ejection once more and then returns
    /// with one task at a time.
    pub fn return_unprobed(&mut self, now_ms: u64) -> Vec<(UpstreamKey, EjectionState)> {
        let is_overdue = |key: &UpstreamKey| match self.upstreams[key].state {
            EjectionState::Ejected { until_ms } => {
                until_ms + self.upstreams[key].ejection_ms() <= now_ms
            }
            _ => false,
        };
        let returning: Vec<_> = self.ejected.iter().copied().filter(is_overdue).collect();
        let state = EjectionState::Returning { window: 1 };
        returning.into_iter().filter_map(|key| Some((key, self.set_state(key, state)?))).collect()
    }

    fn evaluate(&mut self, key: UpstreamKey, now_ms: u64) -> Option<EjectionState> {
        let upstream = self.upstreams.get_mut(&key)?;
        upstream.failures_since_evaluation += 1;
        if upstream.failures_since_evaluation < FAILURES_PER_EVALUATION {
            return None;
        }
        upstream.failures_since_evaluation = 0;
        if !is_outlier(&self.failure_rates.compare(key, now_ms)) {
            return None;
        }
        self.eject(key, now_ms)
    }

    fn eject(&mut self, key: UpstreamKey, now_ms: u64) -> Option<EjectionState> {
        let is_ejected = self.ejected.contains(&key);
        if !is_ejected && self.ejected.len() >= max_ejected(self.upstreams.len()) {
            return None;
        }
        let upstream = self.upstreams.get_mut(&key)?;
        let in_service_ms = now_ms.saturating_sub(upstream.ejected_at_ms);
        if upstream.ejections > 0 && in_service_ms > RESET_AFTER_MS + upstream.ejection_ms() {
            upstream.ejections = 0;
        }
        upstream.ejections += 1;
        upstream.ejected_at_ms = now_ms;
        let until_ms = now_ms + upstream.ejection_ms();
        self.failure_rates.remove(key);
        self.set_state(key, EjectionState::Ejected { until_ms })
    }

    fn widen_window(&mut self, key: UpstreamKey, window: u32) -> Option<EjectionState> {
        let wider = window + 1;
        let is_full = wider > MAX_RETURN_WINDOW;
        self.set_state(
            key,
            if is_full { EjectionState::Full } else { EjectionState::Returning { window: wider } },
        )
    }

    fn set_state(&mut self, key: UpstreamKey, state: EjectionState) -> Option<EjectionState> {
        let upstream = self.upstreams.get_mut(&key)?;
        upstream.state = state;
        if upstream.is_ejected() {
            self.ejected.insert(key);
        } else {
            self.ejected.remove(&key);
        }
        Some(state)
    }
}

/// Returns whether the excess failures are more than chance. The standard
/// deviation of a failure rate of one half is `0.5 / sqrt(attempts)`; two
/// standard deviations are tolerated.
fn is_outlier(comparison: &Comparison) -> bool {
    comparison.excess > MAX_EXCESS_FAILURE_RATE + 1.0 / comparison.attempts.max(1.0).sqrt()
}

/// Writes the state of an upstream where placement reads it.
pub fn publish(state: EjectionState, live: &LiveState) {
    let (ejected_until_ms, return_window) = match state {
        EjectionState::Full => (0, 0),
        // The upstream stays ejected beyond the end time, until a probe succeeds.
        EjectionState::Ejected { .. } | EjectionState::Probing { .. } => (u64::MAX, 0),
        EjectionState::Returning { window } => (0, window),
    };
    live.return_window.store(return_window, Ordering::Release);
    live.ejected_until_ms.store(ejected_until_ms, Ordering::Release);
}

//! Hedging: a slow request gets a second attempt that runs beside the first.
//!
//! A hedge costs messages and slots and shortens the tail of the response time. It
//! requires a kind that may run twice and whose parameters prefer time, and a free
//! slot. Each request gets at most one, paid from the retry budget: under overload
//! all attempts are slow, and hedges would make them slower.

use crate::retry::RetryBudget;

/// Shortest run time before a hedge, in microseconds. Below it, a second attempt
/// costs about as much as it could gain.
const MIN_HEDGE_AFTER_US: u64 = 2_000;

/// Properties of a running request that decide about a hedge.
#[derive(Clone, Copy, Debug)]
pub struct RunningRequest {
    /// Whether its kind may run more than once.
    pub repeatable: bool,
    /// Whether its kind's parameters prefer a short response time to low waste.
    pub prefers_time: bool,
    /// Run time after which it counts as slow, in microseconds: a percentile of its
    /// kind's run times; `None` if none is set or known.
    pub slow_after_us: Option<u64>,
    /// Number of attempts so far.
    pub attempts: u8,
    /// Maximum number of attempts that the kind allows.
    pub max_attempts: u8,
    /// When the running attempt was placed, in monotonic milliseconds.
    pub placed_at_ms: u64,
    /// Deadline, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// Decision about a hedge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedge {
    /// Never for this request.
    Never,
    /// Decide again at this time, in monotonic milliseconds.
    RecheckAt(u64),
    /// Now, if an untried upstream is free. The budget has been charged.
    Now,
}

/// Decides whether a running request is hedged.
///
/// `has_free_slot` tells whether a slot is free beyond those that waiting tasks
/// will take. Without a free slot or without budget, the decision is repeated after
/// the same time once more.
#[must_use]
pub fn decide_hedge(
    running: &RunningRequest,
    budget: &RetryBudget,
    has_free_slot: bool,
    now_ms: u64,
) -> Hedge {
    let Some(slow_after_us) = running.slow_after_us.filter(|_| may_hedge(running)) else {
        return Hedge::Never;
    };
    let slow_after_ms = slow_after_us.max(MIN_HEDGE_AFTER_US).div_ceil(1_000);
    let slow_at_ms = running.placed_at_ms + slow_after_ms;
    if slow_at_ms >= running.deadline_ms || now_ms >= running.deadline_ms {
        return Hedge::Never;
    }
    if now_ms < slow_at_ms {
        return Hedge::RecheckAt(slow_at_ms);
    }
    if has_free_slot && budget.spend() {
        return Hedge::Now;
    }
    Hedge::RecheckAt(now_ms + slow_after_ms)
}

/// Returns whether the request may be hedged at all. Only the first attempt is
/// hedged, so that a request has at most one hedge.
fn may_hedge(running: &RunningRequest) -> bool {
    running.repeatable
        && running.prefers_time
        && running.attempts == 1
        && running.attempts < running.max_attempts
}

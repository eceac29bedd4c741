//! When a slow request gets a second attempt beside the first.
//!
//! A hedge trades messages and slots for the tail of the response time. It is
//! made only where the kind may run twice and its parameters prefer time, once
//! a request, while a slot is free, and from the budget of retries: under
//! overload all attempts are slow, and hedges would make them slower.

use crate::retry::RetryBudget;

/// Shortest run time worth a hedge, in microseconds: below, the second attempt
/// costs about as much as it could gain.
const MIN_HEDGE_AFTER_US: u64 = 2_000;

/// A running request, as far as hedging goes.
#[derive(Clone, Copy, Debug)]
pub struct RunningRequest {
    /// Its kind may run more than once.
    pub repeatable: bool,
    /// Its kind's parameters prefer time to waste.
    pub prefers_time: bool,
    /// The percentile of its kind's run times after which it counts as slow,
    /// in microseconds; `None` if none is set or known.
    pub slow_after_us: Option<u64>,
    /// Attempts made.
    pub attempts: u8,
    /// Most attempts that the kind allows.
    pub max_attempts: u8,
    /// When the running attempt was placed, in monotonic milliseconds.
    pub placed_at_ms: u64,
    /// The deadline, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// Whether to hedge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedge {
    /// Never for this request.
    Never,
    /// Look again at this time, in monotonic milliseconds.
    RecheckAt(u64),
    /// Now, if an upstream not tried yet is free; paid for from the budget.
    Now,
}

/// Decides whether a running request is hedged.
///
/// `has_free_slot` tells whether a slot is free beyond those that waiting tasks
/// will take. Without one, or without budget, it is looked at again after as
/// long a time.
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

/// One hedge a request: the second attempt is the last that runs beside.
fn may_hedge(running: &RunningRequest) -> bool {
    running.repeatable
        && running.prefers_time
        && running.attempts == 1
        && running.attempts < running.max_attempts
}

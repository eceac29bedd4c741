//! Retries: backoff and retry budgets.
//!
//! There are two cases. A task that was *provably not started* (refused by an agent,
//! or never sent) may be placed elsewhere. This repeats a message but no work, so
//! the backoff alone limits it. A *repeatable request that failed* repeats work,
//! which adds to the overload that may have caused the failure. Such retries are
//! paid from a budget that successes earn. If everything fails, nothing is earned
//! and the retries end with the budget, which prevents a retry storm.

use {
    rand::{Rng, RngCore},
    std::sync::atomic::{AtomicU32, Ordering},
    sycamorerail_wire::answer::Reason,
};

/// Units that a success earns. A retry costs as much as ten successes earn.
const EARNED_PER_SUCCESS: u32 = 1;
/// Units that a retry or hedge costs.
const COST_PER_RETRY: u32 = 10;

/// Maximum number of retries that a budget holds.
pub const MAX_SAVED_RETRIES: u32 = 20;

/// Upper bound of the pause before the first repetition, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 4;

/// Upper bound of the pause before any repetition, in milliseconds.
const MAX_BACKOFF_MS: u64 = 500;

/// Retry budget, shared by all threads. Each organisation has its own, so that the
/// failures of one do not use up the retries of another.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicU32,
}

impl Default for RetryBudget {
    /// Creates a full budget.
    fn default() -> Self {
        Self { saved: AtomicU32::new(MAX_SAVED_RETRIES * COST_PER_RETRY) }
    }
}

impl RetryBudget {
    /// Adds what a successful request earns.
    pub fn earn(&self) {
        let increase =
            |saved: u32| Some((saved + EARNED_PER_SUCCESS).min(MAX_SAVED_RETRIES * COST_PER_RETRY));
        _ = self.saved.fetch_update(Ordering::AcqRel, Ordering::Acquire, increase);
    }

    /// Charges the budget for a retry or hedge. Returns `false` if it does not suffice.
    #[must_use]
    pub fn spend(&self) -> bool {
        let decrease = |saved: u32| saved.checked_sub(COST_PER_RETRY);
        self.saved.fetch_update(Ordering::AcqRel, Ordering::Acquire, decrease).is_ok()
    }
}

/// A failed attempt at a request.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether its kind may run more than once.
    pub repeatable: bool,
    /// Number of attempts so far, including this one.
    pub attempts: u8,
    /// Maximum number of attempts that the kind allows.
    pub max_attempts: u8,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Shortest expected run time of an attempt, in milliseconds.
    pub least_run_ms: u64,
    /// Reason of the failure.
    pub reason: Reason,
}

/// Decides whether a failed request is retried. Returns the pause before the retry, in
/// milliseconds, and charges the budget for it.
///
/// # Errors
///
/// The reason of the failure if the kind allows no further attempt, `DeadlinePassed` if
/// a retry cannot end in time, `RetryBudget` if the budget is used up.
pub fn retry_after_ms(
    failed: &FailedAttempt,
    budget: &RetryBudget,
    rng: &mut dyn RngCore,
) -> Result<u64, Reason> {
    if !failed.repeatable || failed.attempts >= failed.max_attempts {
        return Err(failed.reason);
    }
    let pause_ms = backoff_ms(failed.attempts, 0, rng);
    if pause_ms + failed.least_run_ms > failed.left_ms {
        return Err(Reason::DeadlinePassed);
    }
    if !budget.spend() {
        return Err(Reason::RetryBudget);
    }
    Ok(pause_ms)
}

/// Returns the pause before a repetition, in milliseconds: `min_ms`, which the peer may
/// have requested, plus a random time up to a bound that doubles with each repetition.
///
/// The whole backoff is random ("full jitter"), so that callers that were refused
/// together do not retry together.
pub fn backoff_ms(repetitions: u8, min_ms: u64, rng: &mut dyn RngCore) -> u64 {
    let doublings = u32::from(repetitions.saturating_sub(1)).min(16);
    let bound_ms = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
    min_ms + rng.random_range(1..=bound_ms)
}

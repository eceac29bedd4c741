//! When to try again, and when to stop.
//!
//! Two cases differ. A task *proven not started* (refused by an agent, or never
//! sent) may be placed elsewhere: that repeats a message, no work, and its
//! backoff alone bounds it. A *repeatable request that failed* repeats work,
//! which feeds an overload that made it fail; such retries are paid from a
//! budget that successes earn. When everything fails nothing is earned, and the
//! retries end with the budget: no storm.

use {
    rand::{Rng, RngCore},
    std::sync::atomic::{AtomicU32, Ordering},
    sycamorerail_wire::answer::Reason,
};

/// A retry costs as much as ten successes earn.
const EARNED_A_SUCCESS: u32 = 1;
const COST_A_RETRY: u32 = 10;

/// Retries at most saved up.
pub const MAX_SAVED_RETRIES: u32 = 20;

/// Longest pause before the first repetition, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 4;

/// Longest pause before any, in milliseconds.
const MAX_BACKOFF_MS: u64 = 500;

/// Retries that may be made, shared by all threads. One an organisation, so
/// that the failures of one do not use up the retries of another.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicU32,
}

impl Default for RetryBudget {
    /// A full budget.
    fn default() -> Self {
        Self { saved: AtomicU32::new(MAX_SAVED_RETRIES * COST_A_RETRY) }
    }
}

impl RetryBudget {
    /// Counts a request that succeeded.
    pub fn earn(&self) {
        let more =
            |saved: u32| Some((saved + EARNED_A_SUCCESS).min(MAX_SAVED_RETRIES * COST_A_RETRY));
        _ = self.saved.fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
    }

    /// Takes a retry or a hedge out of the budget, if there is one.
    #[must_use]
    pub fn spend(&self) -> bool {
        let less = |saved: u32| saved.checked_sub(COST_A_RETRY);
        self.saved.fetch_update(Ordering::AcqRel, Ordering::Acquire, less).is_ok()
    }
}

/// A failed attempt at a request.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Its kind may run more than once.
    pub repeatable: bool,
    /// Attempts made, this one included.
    pub attempts: u8,
    /// Most attempts that the kind allows.
    pub max_attempts: u8,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Run time that an attempt takes at least, in milliseconds.
    pub least_run_ms: u64,
    /// Why it failed.
    pub reason: Reason,
}

/// Decides on another attempt: the pause before it in milliseconds, which it
/// has paid for from the budget.
///
/// # Errors
///
/// Why there is none: the attempt's own reason if the kind allows no more,
/// `DeadlinePassed`, or `RetryBudget`.
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

/// Pause before a repetition, in milliseconds: random below a bound that
/// doubles with each one, and not before the time that the peer told.
///
/// The whole of it is random ("full jitter"): callers refused together must not
/// come back together.
pub fn backoff_ms(repetitions: u8, told_ms: u64, rng: &mut dyn RngCore) -> u64 {
    let doublings = u32::from(repetitions.saturating_sub(1)).min(16);
    let bound_ms = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
    told_ms + rng.random_range(1..=bound_ms)
}

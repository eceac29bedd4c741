//! Whether and when a task or a request is tried again.

use {
    super::kinds::numbers,
    crate::{counters, jobs::JobCell, shared::Shared},
    sycamorerail_decide::{
        hedge::{Hedge, RunningRequest, decide_hedge},
        job::{JobParameters, RetryKind},
        retry::{FailedAttempt, backoff_ms, retry_after_ms},
    },
    sycamorerail_settings::template::Priority,
    sycamorerail_wire::answer::Reason,
};

/// The pause before a repetition, `None` for no further attempt. Called with
/// the job's state locked; `parameters` are the job's.
#[must_use]
pub fn pace(
    shared: &Shared,
    cell: &JobCell,
    parameters: &JobParameters,
    retry: RetryKind,
) -> Option<u32> {
    match retry {
        // Another upstream may well take it: the first time it goes at once.
        RetryKind::RefusedPlacement { refusals: 0 | 1 } => Some(0),
        RetryKind::RefusedPlacement { refusals } => {
            let repetitions = u8::try_from(refusals - 1).unwrap_or(u8::MAX);
            Some(narrow(backoff_ms(repetitions, 0, &mut rand::rng())))
        }
        RetryKind::FurtherAttempt { cause: Reason::Hedged, attempts_made } => {
            may_hedge(shared, cell, parameters, attempts_made)
        }
        RetryKind::FurtherAttempt { cause, attempts_made } => {
            may_retry(shared, cell, parameters, (cause, attempts_made))
        }
    }
}

fn may_retry(
    shared: &Shared,
    cell: &JobCell,
    parameters: &JobParameters,
    (reason, attempts_made): (Reason, u8),
) -> Option<u32> {
    let failed = FailedAttempt {
        repeatable: cell.is_repeatable(),
        attempts: attempts_made,
        max_attempts: parameters.max_attempts,
        left_ms: parameters.deadline_at_ms.saturating_sub(shared.now_ms()),
        least_run_ms: numbers(shared, &cell.kind).least_run_ms.into(),
        reason,
    };
    match retry_after_ms(&failed, &cell.retries, &mut rand::rng()) {
        Ok(pause_ms) => Some(narrow(pause_ms)),
        Err(reason) => {
            counters::refusal(reason);
            None
        }
    }
}

fn may_hedge(
    shared: &Shared,
    cell: &JobCell,
    parameters: &JobParameters,
    attempts_made: u8,
) -> Option<u32> {
    let numbers = numbers(shared, &cell.kind);
    let running = RunningRequest {
        repeatable: cell.is_repeatable(),
        prefers_time: cell.kind.priority == Priority::Time,
        slow_after_us: cell.slow_after_us,
        attempts: attempts_made,
        max_attempts: parameters.max_attempts,
        // The state machine has waited for as long as the kind asks.
        placed_at_ms: 0,
        deadline_ms: parameters.deadline_at_ms,
    };
    let has_free_slot = numbers.forecast.free_slots > shared.dispatch.waiting();
    let decided = decide_hedge(&running, &cell.retries, has_free_slot, shared.now_ms());
    (decided == Hedge::Now).then_some(0)
}

fn narrow(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}

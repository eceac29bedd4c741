//! Whether a submission is taken, and whether an attempt may be repeated.

use {
    crate::{
        jobs::{JobCell, Refused},
        organisations::{Kind, Organisation},
        shared::Shared,
    },
    std::sync::Arc,
    sycamorerail_wire::{answer::Reason, message::Submission},
};

/// When to come back where no upstream is known, in milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// When to come back where the queue is full, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 500;

/// Decides whether a submission is taken.
///
/// # Errors
///
/// Why it is not; its id is then refused for good.
pub fn admit(
    shared: &Shared,
    _organisation: &Arc<Organisation>,
    kind: &Arc<Kind>,
    submission: &Submission,
) -> Result<(), Refused> {
    let snapshot = shared.upstreams.snapshot();
    if snapshot.view.rows.is_empty() {
        return Err(Refused::for_now(Reason::NoUpstream, NO_UPSTREAM_RETRY_MS));
    }
    if !snapshot.view.rows.iter().any(|row| row.could_hold(kind.key, kind.size_bytes)) {
        let detail = format!("no upstream serves {:?} with {} bytes", kind.name, kind.size_bytes);
        return Err(Refused::for_good(Reason::NeverPlaceable, detail));
    }
    let waiting = u64::from(shared.dispatch.waiting()) + submission.payloads.len() as u64;
    if waiting > u64::from(shared.settings.limits.max_queued_tasks) {
        return Err(Refused::for_now(Reason::Overloaded, OVERLOADED_RETRY_MS));
    }
    Ok(())
}

/// Whether another attempt at a repeatable request may be made. Called with
/// the job's state locked.
pub fn allow_retry(_shared: &Shared, _cell: &JobCell, _cause: Reason) -> bool {
    true
}

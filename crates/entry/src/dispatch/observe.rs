//! What is learnt from ends of tasks and jobs.

use {
    crate::{counters, jobs::JobCell, organisations::Kind, shared::Shared, upstreams::Agent},
    std::sync::Arc,
    sycamorerail_wire::answer::{Answer, TaskEnd},
};

/// Weight of a new run time in the mean, as a shift.
const MEAN_SHIFT: u32 = 3;

/// A task ended at an upstream.
pub fn ended(_shared: &Shared, cell: &JobCell, agent: &Agent, _end: &TaskEnd, run_us: u64) {
    let since_us = u64::try_from(cell.accepted_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    counters::dispatch_overhead_us(since_us.saturating_sub(run_us));
    let mean = &agent.live.mean_run_us;
    let _ = mean.fetch_update(
        std::sync::atomic::Ordering::AcqRel,
        std::sync::atomic::Ordering::Acquire,
        |before| {
            Some(if before == 0 {
                run_us
            } else {
                before - (before >> MEAN_SHIFT) + (run_us >> MEAN_SHIFT)
            })
        },
    );
}

/// A job was answered.
pub fn answered(_shared: &Arc<Shared>, _cell: &Arc<JobCell>, _answer: &Arc<Answer>) {}

/// When an attempt at a repeatable request of this kind is joined by a second.
#[must_use]
pub fn hedge_after_ms(_shared: &Shared, _kind: &Kind) -> Option<u32> {
    None
}

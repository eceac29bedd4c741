//! Late binding: a task waits at the entry until a slot is free.

use {
    super::{Choice, PlacementQuery, least_wait},
    crate::view::View,
    rand::RngCore,
};

/// Chooses among upstreams with a known free slot, and leaves the task at the
/// entry if there is none.
///
/// The task goes to the slot that becomes free first, at any upstream. A wrong
/// estimate of the run time then costs nothing, whereas a task queued at a
/// straggler waits for it. The cost is the round trip from the freed slot to the
/// entry and back. Entries share upstreams without coordination, so that two may
/// choose the same last slot; the agent then queues the second task briefly or
/// refuses it.
pub fn late_binding(
    view: &View,
    query: &PlacementQuery<'_>,
    rng: &mut dyn RngCore,
    now_ms: u64,
) -> Choice {
    least_wait(view, &PlacementQuery { max_queued: 0, ..*query }, rng, now_ms)
}

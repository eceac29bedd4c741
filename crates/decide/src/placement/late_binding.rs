//! Late binding: a task stays at the entry until a slot is free.

use {
    super::{Choice, PlacementQuery, least_wait},
    crate::view::View,
    rand::RngCore,
};

/// Chooses among upstreams with a free slot as far as known, and leaves the
/// task at the entry when there is none.
///
/// A task bound late goes to the slot that frees first, wherever that is: a
/// wrong estimate of run time costs nothing, where a task queued at a straggler
/// waits for it. The price is the round trip from the freed slot to the entry
/// and back. Entries share upstreams without asking each other, so two may fill
/// the same last slot: the agent then queues the second shortly or refuses it.
pub fn late_binding(
    view: &View,
    query: &PlacementQuery<'_>,
    rng: &mut dyn RngCore,
    now_ms: u64,
) -> Choice {
    least_wait(view, &PlacementQuery { max_queued: 0, ..*query }, rng, now_ms)
}

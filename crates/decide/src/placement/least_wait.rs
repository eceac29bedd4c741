//! Least expected wait.

use {
    super::{Choice, PlacementQuery, candidate::RowSearch, walk::StridedRows},
    crate::view::View,
    rand::RngCore,
};

/// Chooses the upstream at which the task is expected to start first, by the run
/// times observed there. If several have a free slot, it chooses the one with the
/// most free slots among a few random ones.
///
/// It examines rows in random order until it has found a few free ones, so that
/// the cost falls with the share of free upstreams. If hardly any is free, it
/// examines all rows.
pub fn least_wait(
    view: &View,
    query: &PlacementQuery<'_>,
    rng: &mut dyn RngCore,
    now_ms: u64,
) -> Choice {
    let mut search = RowSearch::new(view, query, now_ms);
    for row in StridedRows::new(&view.rows, rng) {
        if !search.consider(row) {
            break;
        }
    }
    search.choice(view)
}

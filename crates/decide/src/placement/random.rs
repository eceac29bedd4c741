//! Random choice, the baseline of the policies.

use {
    super::{
        Choice, PlacementQuery,
        candidate::{Candidate, RowSearch},
        least_wait,
        walk::any_row,
    },
    crate::view::View,
    rand::RngCore,
};

/// Random rows to try before all rows are examined.
const MAX_PROBES: u32 = 32;

/// Chooses an upstream with room, each with the same probability.
///
/// If the random tries find none, it falls back to [`least_wait()`].
pub fn random(
    view: &View,
    query: &PlacementQuery<'_>,
    rng: &mut dyn RngCore,
    now_ms: u64,
) -> Choice {
    let search = RowSearch::new(view, query, now_ms);
    match draw(view, &search, rng) {
        Some(candidate) => Choice::Place(candidate.key),
        None => least_wait(view, query, rng, now_ms),
    }
}

/// Returns a random candidate that the spread rule prefers; `None` if none of the
/// tries found one.
pub(super) fn draw(
    view: &View,
    search: &RowSearch<'_>,
    rng: &mut dyn RngCore,
) -> Option<Candidate> {
    (0..MAX_PROBES).find_map(|_| search.preferred(any_row(&view.rows, rng)?))
}

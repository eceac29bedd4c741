//! Power of two random choices.

use {
    super::{Choice, PlacementQuery, candidate::RowSearch, least_wait, random::draw},
    crate::view::View,
    rand::RngCore,
};

/// Picks two random upstreams with room and chooses the one with the shorter
/// expected wait.
///
/// Comparing two keeps the longest queue nearly as short as comparing all, at a
/// cost that does not grow with the number of upstreams. Entries with the same
/// stale view also do not all choose the same upstream.
pub fn two_choices(
    view: &View,
    query: &PlacementQuery<'_>,
    rng: &mut dyn RngCore,
    now_ms: u64,
) -> Choice {
    let search = RowSearch::new(view, query, now_ms);
    let first = draw(view, &search, rng);
    let second = draw(view, &search, rng);
    match (first, second) {
        (Some(first), Some(second)) if second.is_better_than(&first) => Choice::Place(second.key),
        (Some(only), _) | (None, Some(only)) => Choice::Place(only.key),
        (None, None) => least_wait(view, query, rng, now_ms),
    }
}

//! Power of two choices.

use {
    super::{Choice, PlacementQuery, candidate::Survey, least_wait, random::draw},
    crate::view::View,
    rand::RngCore,
};

/// Draws two upstreams with room at random and takes the one with the shorter
/// expected wait.
///
/// Looking at two keeps the longest queue nearly as short as looking at all,
/// at a cost that does not grow with the number of upstreams; and entries with
/// the same stale view do not all run to the same upstream.
pub fn two_choices(
    view: &View,
    query: &PlacementQuery<'_>,
    rng: &mut dyn RngCore,
    now_ms: u64,
) -> Choice {
    let survey = Survey::new(view, query, now_ms);
    let first = draw(view, &survey, rng);
    let second = draw(view, &survey, rng);
    match (first, second) {
        (Some(first), Some(second)) if second.is_better_than(&first) => Choice::Place(second.key),
        (Some(only), _) | (None, Some(only)) => Choice::Place(only.key),
        (None, None) => least_wait(view, query, rng, now_ms),
    }
}

//! Least expected wait on the view.

use {
    super::{Choice, PlacementQuery, candidate::Survey, walk::Walk},
    crate::view::View,
    rand::RngCore,
};

/// Chooses the upstream at which the task is expected to start first, by the
/// observed run times there; among those with a free slot the one with most
/// free of a few at random.
///
/// Rows are looked at in a random order until a few free ones are met, so that
/// the cost falls with the share of free upstreams; all are looked at when
/// hardly any is free.
pub fn least_wait(
    view: &View,
    query: &PlacementQuery<'_>,
    rng: &mut dyn RngCore,
    now_ms: u64,
) -> Choice {
    let mut survey = Survey::new(view, query, now_ms);
    for row in Walk::new(&view.rows, rng) {
        if !survey.consider(row) {
            break;
        }
    }
    survey.choice(view)
}

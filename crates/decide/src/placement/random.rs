//! Random choice: the baseline.

use {
    super::{
        Choice, PlacementQuery,
        candidate::{Candidate, Survey},
        least_wait,
        walk::any_row,
    },
    crate::view::View,
    rand::RngCore,
};

/// Rows tried at random before all are looked at.
const MAX_PROBES: u32 = 32;

/// Chooses any upstream with room, each with the same chance.
///
/// Where hardly any has room, it falls back on looking at all.
pub fn random(
    view: &View,
    query: &PlacementQuery<'_>,
    rng: &mut dyn RngCore,
    now_ms: u64,
) -> Choice {
    let survey = Survey::new(view, query, now_ms);
    match draw(view, &survey, rng) {
        Some(candidate) => Choice::Place(candidate.key),
        None => least_wait(view, query, rng, now_ms),
    }
}

/// A random candidate that stands best by the rule of spread, `None` if some
/// draws met none.
pub(super) fn draw(view: &View, survey: &Survey<'_>, rng: &mut dyn RngCore) -> Option<Candidate> {
    (0..MAX_PROBES).find_map(|_| survey.preferred(any_row(&view.rows, rng)?))
}

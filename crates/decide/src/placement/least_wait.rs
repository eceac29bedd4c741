//! Least expected wait on the view.

use {
    super::{Ask, Choice},
    crate::view::{Row, View},
    rand::RngCore,
};

const RETRY_AFTER_MS: u32 = 50;

/// Chooses the upstream at which the task is expected to start first; among
/// equals, one at random.
pub fn least_wait(view: &View, ask: &Ask<'_>, rng: &mut dyn RngCore, now_ms: u64) -> Choice {
    if !view.rows.iter().any(|row| row.could_hold(ask.kind, ask.size_bytes)) {
        return Choice::Never;
    }
    let usable = view.rows.iter().filter(|row| is_usable(row, ask, now_ms));
    let best = usable.min_by_key(|row| (wait_slots(row), rng.next_u32()));
    best.map_or(Choice::Wait { retry_after_ms: RETRY_AFTER_MS }, |row| Choice::Place(row.key))
}

fn is_usable(row: &Row, ask: &Ask<'_>, now_ms: u64) -> bool {
    row.could_hold(ask.kind, ask.size_bytes)
        && row.takes_work(now_ms)
        && !ask.tried.contains(&row.key)
        && row.free_slots() > -i64::from(ask.max_queued)
}

fn wait_slots(row: &Row) -> i64 {
    -row.free_slots()
}

//! Pauses between attempts.

use {rand::Rng, std::time::Duration};

/// Half to all of a pause, at random, so that agents don't act in step.
pub(crate) fn jittered(pause_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(pause_ms / 2..=pause_ms))
}

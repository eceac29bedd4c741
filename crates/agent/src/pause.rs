//! Randomised pauses between attempts.

use {rand::Rng, std::time::Duration};

/// Returns a random duration between half and all of `pause_ms`, so that agents don't retry
/// simultaneously.
pub(crate) fn jittered(pause_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(pause_ms / 2..=pause_ms))
}

//! Monotonic time of the process, and pauses.

use {
    rand::Rng,
    std::time::{Duration, Instant},
};

/// Counts from its making.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now_ms(self) -> u64 {
        u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Half to all of a pause, at random, so that agents don't act in step.
pub(crate) fn jittered(pause_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(pause_ms / 2..=pause_ms))
}

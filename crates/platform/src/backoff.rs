//! Pauses before something is done again.

use {rand::Rng, std::time::Duration};

/// First pause.
const FIRST_MS: u64 = 50;
/// Longest pause.
const MOST_MS: u64 = 2_000;
/// A watch that was up for this long was sound. One that fails sooner is not opened
/// again at once: an outage drew some 30 calls a second of each mirror whose watches
/// fail only after they were opened.
const SOUND_MS: u64 = 2 * MOST_MS;

/// The next pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    next_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next_ms: FIRST_MS }
    }
}

impl Backoff {
    /// The pause after a watch that was up for so long.
    pub fn pause_ms(&mut self, up_ms: u64) -> u64 {
        if up_ms >= SOUND_MS {
            self.next_ms = FIRST_MS;
        }
        let pause_ms = self.next_ms;
        self.next_ms = (pause_ms * 2).min(MOST_MS);
        pause_ms
    }
}

/// Half to all of a pause, at random, so that processes don't act in step.
#[must_use]
pub fn jittered(pause_ms: u64) -> Duration {
    let most_ms = pause_ms.max(1);
    Duration::from_millis(rand::rng().random_range(most_ms.div_ceil(2)..=most_ms))
}

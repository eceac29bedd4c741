//! The process's clock: monotonic time for decisions, Unix time for ids.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Monotonic time in milliseconds. Never 0, which stands for "never".
    #[must_use]
    pub fn now_ms(self) -> u64 {
        1 + u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX - 1)
    }

    /// Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

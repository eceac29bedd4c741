//! A rate limit as the platform would set it.

const MILLI: u64 = 1_000;

/// A token bucket with a burst of one second's worth.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    tokens_milli: u64,
    filled_at_ms: u64,
    per_s: u32,
}

impl RateLimit {
    /// Takes one of `per_s` calls a second; 0 is no limit.
    pub(crate) fn take(&mut self, per_s: u32, now_ms: u64) -> bool {
        if per_s == 0 {
            return true;
        }
        let most = u64::from(per_s) * MILLI;
        if self.per_s != per_s {
            *self = Self { tokens_milli: most, filled_at_ms: now_ms, per_s };
        }
        let since_ms = now_ms.saturating_sub(self.filled_at_ms);
        let filled = self.tokens_milli.saturating_add(since_ms.saturating_mul(u64::from(per_s)));
        self.tokens_milli = filled.min(most);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
        let left = self.tokens_milli.checked_sub(MILLI);
        self.tokens_milli = left.unwrap_or(self.tokens_milli);
        left.is_some()
    }
}

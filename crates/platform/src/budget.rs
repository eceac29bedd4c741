//! A token bucket over calls, so that the fleet stays within the platform's rates.

const MILLI: u64 = 1_000;

/// Calls allowed a second, with a burst of one second's worth.
#[derive(Clone, Debug)]
pub struct CallBudget {
    per_s: u32,
    tokens_milli: u64,
    filled_at_ms: u64,
}

impl CallBudget {
    /// A full bucket.
    #[must_use]
    pub fn new(per_s: u32, now_ms: u64) -> Self {
        Self { per_s, tokens_milli: u64::from(per_s) * MILLI, filled_at_ms: now_ms }
    }

    /// Takes one call. `waiting` watches are charged one call a second each.
    pub fn take(&mut self, now_ms: u64, waiting: u32) -> bool {
        self.fill(now_ms, waiting);
        let Some(left) = self.tokens_milli.checked_sub(MILLI) else { return false };
        self.tokens_milli = left;
        true
    }

    fn fill(&mut self, now_ms: u64, waiting: u32) {
        // At one a second calls go on even where watches use up the budget.
        let rate_per_s = u64::from(self.per_s.saturating_sub(waiting).max(1));
        let since_ms = now_ms.saturating_sub(self.filled_at_ms);
        let most = u64::from(self.per_s.max(1)) * MILLI;
        // `per_s` tokens a second are as many thousandths of a token a millisecond.
        let filled = self.tokens_milli.saturating_add(since_ms.saturating_mul(rate_per_s));
        self.tokens_milli = filled.min(most);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
    }
}

//! A sum of recent amounts, in which older ones count less.

/// Sum in an exponential window.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    /// Adds an amount.
    pub fn add(&mut self, amount: f64, window_ms: f64, now_ms: u64) {
        self.sum = self.decayed(window_ms, now_ms) + amount;
        self.at_ms = now_ms;
    }

    /// Returns the amount per millisecond over the window.
    #[must_use]
    pub fn per_ms(&self, window_ms: f64, now_ms: u64) -> f64 {
        self.decayed(window_ms, now_ms) / window_ms
    }

    fn decayed(&self, window_ms: f64, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-passed_ms / window_ms).exp()
    }
}

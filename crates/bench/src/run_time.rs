//! Run times of tasks: most between a lower and an upper bound of the body,
//! a few in a heavy tail above it.

use {
    rand::Rng,
    serde::{Deserialize, Serialize},
};

/// Distribution of run times: log-uniform body, bounded Pareto tail.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunTimes {
    /// Shortest.
    pub min_ms: u32,
    /// End of the body, where the tail begins.
    pub body_max_ms: u32,
    /// Longest of the tail.
    pub tail_max_ms: u32,
    /// Share of tasks in the tail.
    pub tail_share: f64,
    /// Pareto exponent of the tail; lower is heavier.
    pub tail_alpha: f64,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            min_ms: 50,
            body_max_ms: 1_000,
            tail_max_ms: 8_000,
            tail_share: 0.03,
            tail_alpha: 1.5,
        }
    }
}

impl RunTimes {
    /// Draws a run time in milliseconds.
    pub fn draw_ms(&self, rng: &mut impl Rng) -> u32 {
        let in_tail = rng.random::<f64>() < self.tail_share;
        let share: f64 = rng.random();
        let run_ms = if in_tail { self.tail_ms(share) } else { self.body_ms(share) };
        run_ms.round() as u32
    }

    /// Mean in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.tail_share * self.tail_mean_ms() + (1.0 - self.tail_share) * self.body_mean_ms()
    }

    fn body_ms(&self, share: f64) -> f64 {
        let (low, high) = (f64::from(self.min_ms), f64::from(self.body_max_ms));
        low * (high / low).powf(share)
    }

    fn tail_ms(&self, share: f64) -> f64 {
        let (low, high) = (f64::from(self.body_max_ms), f64::from(self.tail_max_ms));
        let beyond = 1.0 - share * (1.0 - (low / high).powf(self.tail_alpha));
        low / beyond.powf(1.0 / self.tail_alpha)
    }

    fn body_mean_ms(&self) -> f64 {
        let (low, high) = (f64::from(self.min_ms), f64::from(self.body_max_ms));
        if low == high { low } else { (high - low) / (high / low).ln() }
    }

    fn tail_mean_ms(&self) -> f64 {
        let (low, high) = (f64::from(self.body_max_ms), f64::from(self.tail_max_ms));
        if low == high {
            return low;
        }
        let alpha = self.tail_alpha;
        let scale = low.powf(alpha) / (1.0 - (low / high).powf(alpha));
        scale * alpha / (alpha - 1.0) * (low.powf(1.0 - alpha) - high.powf(1.0 - alpha))
    }
}

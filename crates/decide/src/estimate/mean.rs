//! A running mean that adapts to change.

/// Number of observations after which the mean becomes exponentially weighted.
const MAX_OBSERVATIONS: f64 = 32.0;

/// Mean of all observations at first; exponentially weighted once
/// there are many.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    value: f32,
    /// Number of observations, at most [`MAX_OBSERVATIONS`].
    observations: f32,
}

impl Mean {
    /// Adds an observation.
    pub fn observe(&mut self, value: f64) {
        self.observations = (self.observations + 1.0).min(MAX_OBSERVATIONS as f32);
        self.value += (value as f32 - self.value) / self.observations;
    }

    /// Returns the mean, combined with `prior`. The weight of `prior` falls with the
    /// number of observations: 1 without any, a quarter with one, below a hundredth
    /// with ten.
    #[must_use]
    pub fn value_or(&self, prior: f64) -> f64 {
        let weight = 1.0 / (1.0 + f64::from(self.observations)).powi(2);
        weight * prior + (1.0 - weight) * f64::from(self.value)
    }
}

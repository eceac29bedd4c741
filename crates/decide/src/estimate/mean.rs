//! A mean that follows change.

/// Observations after which older ones fade.
const MEMORY: f64 = 32.0;

/// Mean of all observations at first, later an exponentially weighted one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    value: f32,
    /// Up to [`MEMORY`].
    observations: f32,
}

impl Mean {
    /// Takes an observation.
    pub fn observe(&mut self, value: f64) {
        self.observations = (self.observations + 1.0).min(MEMORY as f32);
        self.value += (value as f32 - self.value) / self.observations;
    }

    /// The mean, with `prior` as an observation of falling weight: alone
    /// without any, a fourth with one, below a hundredth with ten.
    #[must_use]
    pub fn value_or(&self, prior: f64) -> f64 {
        let weight = 1.0 / (1.0 + f64::from(self.observations)).powi(2);
        weight * prior + (1.0 - weight) * f64::from(self.value)
    }
}

//! Histogram for percentiles of a positive quantity over several orders of
//! magnitude.

/// Buckets per doubling of the value: each is 19 % wider than the one before.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Covers values up to 2^40: 12 days in microseconds, or a terabyte in bytes.
const BUCKETS: usize = 160;

/// Total weight at which all counts are halved, so that old observations lose
/// weight.
const MAX_WEIGHT: u32 = 4_096;

/// A histogram whose buckets grow by a constant ratio.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Box<[u16; BUCKETS]>,
    weight: u32,
    observations: u64,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: Box::new([0; BUCKETS]), weight: 0, observations: 0 }
    }
}

impl Histogram {
    /// Adds an observation; values below 1 count as 1.
    pub fn observe(&mut self, value: f64) {
        let bucket = (value.max(1.0).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.weight += 1;
        self.observations += 1;
        if self.weight >= MAX_WEIGHT {
            self.halve_counts();
        }
    }

    /// Returns the number of observations, including those that lost their weight.
    #[must_use]
    pub fn observations(&self) -> u64 {
        self.observations
    }

    /// Returns a value that `percent` of the observations do not exceed: the upper
    /// bound of a bucket, or 0 without observations.
    #[must_use]
    pub fn percentile(&self, percent: f64) -> f64 {
        self.bucket_of(percent).map_or(0.0, |bucket| lower_bound(bucket + 1))
    }

    /// Returns the lower bound of the bucket that holds the percentile, or 0 without
    /// observations.
    #[must_use]
    pub fn lower_percentile(&self, percent: f64) -> f64 {
        self.bucket_of(percent).map_or(0.0, lower_bound)
    }

    fn bucket_of(&self, percent: f64) -> Option<usize> {
        let target = (f64::from(self.weight) * percent / 100.0).ceil().max(1.0) as u32;
        let mut cumulative = 0;
        self.counts.iter().position(|&count| {
            cumulative += u32::from(count);
            cumulative >= target
        })
    }

    fn halve_counts(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.weight = self.counts.iter().map(|&count| u32::from(count)).sum();
    }
}

fn lower_bound(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}

//! Percentiles of a positive quantity over several orders of magnitude.

/// Buckets a doubling: each is 19 % wider than the one before.
const BUCKETS_A_DOUBLING: f64 = 4.0;

/// Enough for 2^40: microseconds of 12 days, or bytes of a terabyte.
const BUCKETS: usize = 160;

/// Weight of all observations at which it is halved, so that old ones fade.
const MAX_WEIGHT: u32 = 4_096;

/// A histogram with buckets of equal ratio.
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
    /// Takes an observation; what is below 1 counts as 1.
    pub fn observe(&mut self, value: f64) {
        let bucket = (value.max(1.0).log2() * BUCKETS_A_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.weight += 1;
        self.observations += 1;
        if self.weight >= MAX_WEIGHT {
            self.fade();
        }
    }

    /// Observations taken, the faded ones included.
    #[must_use]
    pub fn observations(&self) -> u64 {
        self.observations
    }

    /// A value that `percent` of the observations do not exceed: the upper
    /// bound of a bucket, 0 without observations.
    #[must_use]
    pub fn percentile(&self, percent: f64) -> f64 {
        self.bucket_of(percent).map_or(0.0, |bucket| bound(bucket + 1))
    }

    /// The lower bound of that bucket.
    #[must_use]
    pub fn lower_percentile(&self, percent: f64) -> f64 {
        self.bucket_of(percent).map_or(0.0, bound)
    }

    fn bucket_of(&self, percent: f64) -> Option<usize> {
        let wanted = (f64::from(self.weight) * percent / 100.0).ceil().max(1.0) as u32;
        let mut below = 0;
        self.counts.iter().position(|&count| {
            below += u32::from(count);
            below >= wanted
        })
    }

    fn fade(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.weight = self.counts.iter().map(|&count| u32::from(count)).sum();
    }
}

fn bound(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_A_DOUBLING).exp2()
}

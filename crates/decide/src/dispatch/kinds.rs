//! What is learnt of each request kind: run times against estimates, and ends of
//! jobs against forecasts.

/// Weight of the newest sample of run times, as one part of this many.
const WORK_PARTS: u32 = 32;
/// Corrections of estimates stay within these bounds, in percent.
const WORK_PERCENT: (u32, u32) = (50, 300);
/// Weight of the newest sample of lateness, as one part of this many: an entry sees
/// 16 jobs of the rarest kind in some 3 s of a burst.
const LATENESS_PARTS: f64 = 16.0;
/// What is known of lateness is halved after each such time without news, in
/// milliseconds: it is of bursts, which last for seconds.
const LATENESS_HALF_LIFE_MS: f64 = 2_000.0;

/// What is learnt of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindRecord {
    /// Observed run times against estimates, in percent; none before the first.
    work_percent: Option<u32>,
    lateness_ms: f64,
    lateness_at_ms: u64,
}

impl KindRecord {
    /// Run times against estimates, in percent.
    #[must_use]
    pub fn work_percent(&self) -> u32 {
        self.work_percent.unwrap_or(100)
    }

    /// Takes note of a run.
    pub fn ran(&mut self, run_ms: u32, estimate_ms: u32) {
        let sample = u64::from(run_ms) * 100 / u64::from(estimate_ms.max(1));
        let sample = sample.clamp(WORK_PERCENT.0.into(), WORK_PERCENT.1.into()) as u32;
        let past = self.work_percent();
        self.work_percent = Some((past * (WORK_PARTS - 1) + sample) / WORK_PARTS);
    }

    /// How much later than forecast jobs end now, in milliseconds; negative when they
    /// end earlier.
    #[must_use]
    pub fn lateness_ms(&self, now_ms: u64) -> i64 {
        self.lateness_at(now_ms) as i64
    }

    fn lateness_at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.lateness_at_ms) as f64;
        self.lateness_ms * (-passed_ms / LATENESS_HALF_LIFE_MS).exp2()
    }

    /// Takes note of a job that ended, or was given up, so much later than forecast.
    /// One job counts for a span at most.
    pub fn ended(&mut self, late_ms: i64, span_ms: u64, now_ms: u64) {
        let span_ms = span_ms as f64;
        let sample = (late_ms as f64).clamp(-span_ms, span_ms);
        let past = self.lateness_at(now_ms);
        self.lateness_ms = past + (sample - past) / LATENESS_PARTS;
        self.lateness_at_ms = now_ms;
    }
}

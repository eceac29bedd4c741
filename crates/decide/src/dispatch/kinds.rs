//! What is learnt of each request kind: run times against estimates, ends of jobs
//! against forecasts, and how many of its jobs suffer.

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

/// Weight of the newest job in the share of those that suffer, as one part of this
/// many: about as many of an urgent kind come to one of three entries in a second.
const STRAIN_PARTS: f64 = 10.0;
/// That share is halved after each such time without news, in milliseconds: room comes
/// back within one run of the longest kind.
const STRAIN_HALF_LIFE_MS: f64 = 500.0;
/// Weight of the newest job in the mean work of a kind, as one part of this many.
const MEAN_WORK_PARTS: f64 = 16.0;

/// Share of jobs that end within what is called sure. A job that is turned away is soon
/// served by another entry; one that is given up has cost its caller the wait.
const SURE_SHARE: f64 = 0.95;
/// What is sure before the first job has ended, in percent of what is expected: a job waits
/// for the slowest of its tasks, and estimates are off by 40 %.
const UNLEARNT_SURE_PERCENT: f64 = 250.0;
/// It stays within these bounds, in percent: beyond them callers of an entry that stops would
/// be turned away for all of its grace period.
const SURE_BOUNDS_PERCENT: (f64, f64) = (125.0, 400.0);
/// Part of itself by which it follows a job at most.
const SURE_STEP: f64 = 0.05;

/// What is learnt of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindRecord {
    priority: u8,
    /// Mean work of a job, in thousandths of a core times milliseconds.
    work_milli_ms: f64,
    strain_percent: f64,
    strain_at_ms: u64,
    /// Part of a job that is still to be turned away for others.
    to_shed: f64,
    /// Observed run times against estimates, in percent; none before the first.
    work_percent: Option<u32>,
    lateness_ms: f64,
    lateness_at_ms: u64,
    /// Part of what is expected within which jobs surely end; none before the first.
    sure_percent: Option<f64>,
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

    /// Part of the expected time within which jobs surely end, in percent.
    #[must_use]
    pub fn sure_percent(&self) -> f64 {
        self.sure_percent.unwrap_or(UNLEARNT_SURE_PERCENT)
    }

    /// Takes note of how long a job took, in percent of what was expected.
    ///
    /// The estimate of a quantile: it rises by more than it falls, and rests where so many
    /// jobs take longer that both are even.
    pub fn took(&mut self, percent: f64) {
        let past = self.sure_percent();
        let share = if percent > past { SURE_SHARE } else { SURE_SHARE - 1.0 };
        let (least, most) = SURE_BOUNDS_PERCENT;
        self.sure_percent = Some((past * (1.0 + SURE_STEP * share)).clamp(least, most));
    }

    /// How much later than forecast jobs end now, in milliseconds; negative when they
    /// end earlier.
    #[must_use]
    pub fn lateness_ms(&self, now_ms: u64) -> i64 {
        self.lateness_at(now_ms) as i64
    }

    fn lateness_at(&self, now_ms: u64) -> f64 {
        faded(self.lateness_ms, self.lateness_at_ms, LATENESS_HALF_LIFE_MS, now_ms)
    }

    /// Takes note of a job that came.
    pub fn came(&mut self, priority: u8, work_milli_ms: u64) {
        self.priority = priority;
        let work_milli_ms = work_milli_ms as f64;
        let is_first = self.work_milli_ms == 0.0;
        let parts = if is_first { 1.0 } else { MEAN_WORK_PARTS };
        self.work_milli_ms += (work_milli_ms - self.work_milli_ms) / parts;
    }

    /// Lower goes first.
    #[must_use]
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Mean work of a job, in thousandths of a core times milliseconds.
    #[must_use]
    pub fn work_milli_ms(&self) -> f64 {
        self.work_milli_ms
    }

    /// Share of jobs that were refused or late lately for want of room, in percent.
    #[must_use]
    pub fn strain_percent(&self, now_ms: u64) -> f64 {
        faded(self.strain_percent, self.strain_at_ms, STRAIN_HALF_LIFE_MS, now_ms)
    }

    /// Takes note of whether a job was refused or late for want of room.
    pub fn suffered(&mut self, did: bool, now_ms: u64) {
        let past = self.strain_percent(now_ms);
        let sample = if did { 100.0 } else { 0.0 };
        self.strain_percent = past + (sample - past) / STRAIN_PARTS;
        self.strain_at_ms = now_ms;
    }

    /// Adds the part of a job that is to be turned away for others; whether one is.
    pub fn add_to_shed(&mut self, share: f64) -> bool {
        self.to_shed += share;
        let is_whole = self.to_shed >= 1.0;
        if is_whole {
            self.to_shed -= 1.0;
        }
        is_whole
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

/// What is left of a value that is halved after each such time.
fn faded(value: f64, since_ms: u64, half_life_ms: f64, now_ms: u64) -> f64 {
    let passed_ms = now_ms.saturating_sub(since_ms) as f64;
    value * (-passed_ms / half_life_ms).exp2()
}

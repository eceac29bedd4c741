//! Statistics of each request kind: what its jobs ask for, run times relative to estimates,
//! ends of jobs relative to forecasts, and the share of jobs that are refused or late.

use {
    super::{Job, KindParameters},
    crate::decaying_sum::DecayingSum,
    std::sync::Arc,
};

/// The newest run time counts for one part in this many. Tasks of a job share the error of their
/// estimate, so that this is the mean of some twenty jobs.
const CORRECTION_PARTS: f64 = 128.0;
/// Number of runs that the assumption of exact estimates counts for.
const ASSUMED_EXACT_RUNS: f64 = 16.0;
/// Bounds of the correction of estimates, in percent.
const CORRECTION_BOUNDS_PERCENT: (f64, f64) = (50.0, 300.0);
/// The newest lateness counts for one part in this many: an entry sees 16 jobs of the rarest kind
/// in about 3 s of a burst.
const LATENESS_PARTS: f64 = 16.0;
/// Half-life of the lateness without new samples: it describes bursts, which last for seconds.
const LATENESS_HALF_LIFE_MS: f64 = 2_000.0;

/// The newest job counts for one part in this many in the strain: about as many jobs of an urgent
/// kind reach one of three entries in a second.
const STRAIN_PARTS: f64 = 10.0;
/// Half-life of the strain without new samples: room becomes free within one run of the longest
/// kind.
const STRAIN_HALF_LIFE_MS: f64 = 500.0;
/// The newest job counts for one part in this many in the means of work and slack.
const MEAN_PARTS: f64 = 16.0;
/// Window of the rate at which work is asked for, in milliseconds: an entry sees one or two jobs
/// of the rarest kind in it.
const ASKED_WINDOW_MS: f64 = 1_000.0;

/// Quantile of job durations. It is high because a refused job is soon served by another entry,
/// while one that is given up has cost its caller the wait.
const DURATION_QUANTILE: f64 = 0.95;
/// Duration quantile before the first job has ended, in percent of the expected duration: a job
/// waits for the slowest of its tasks, and estimates are off by 40 %.
const INITIAL_DURATION_QUANTILE_PERCENT: f64 = 250.0;
/// Bounds of the duration quantile, in percent: above them an entry that stops would refuse jobs
/// for all of its grace period.
const DURATION_QUANTILE_BOUNDS_PERCENT: (f64, f64) = (125.0, 400.0);
/// Largest change of the duration quantile by one job, as a part of its value.
const DURATION_QUANTILE_STEP: f64 = 0.05;

/// Statistics of one request kind.
#[derive(Clone, Debug, Default)]
pub struct KindRecord {
    /// Parameters of the latest job; `None` before the first one.
    kind: Option<Arc<KindParameters>>,
    /// Mean work of a job, in thousandths of a core times milliseconds.
    work_milli_ms: f64,
    /// Mean time that a job may wait and still be on time, in milliseconds.
    slack_ms: f64,
    asked: DecayingSum,
    last_arrival_ms: u64,
    strain_percent: f64,
    strain_at_ms: u64,
    /// Fraction of a job that is still to be shed.
    shed_fraction: f64,
    /// Observed run times relative to estimates, in percent; `None` before the first run.
    run_time_percent: Option<f64>,
    /// Number of runs in `run_time_percent`.
    runs: f64,
    lateness_ms: f64,
    lateness_at_ms: u64,
    /// Quantile of job durations, in percent of the expected duration; `None` before the first
    /// job.
    duration_quantile_percent: Option<f64>,
}

impl KindRecord {
    /// Run times relative to estimates, in percent.
    #[must_use]
    pub fn run_time_percent(&self) -> u32 {
        self.run_time_percent.unwrap_or(100.0).round() as u32
    }

    /// Records the run time of a task on an upstream of middle speed.
    pub fn record_run_time(&mut self, run_ms: u32, estimate_ms: u32) {
        let (least, most) = CORRECTION_BOUNDS_PERCENT;
        let percent = f64::from(run_ms) * 100.0 / f64::from(estimate_ms.max(1));
        let sample = percent.clamp(least, most);
        self.runs += 1.0;
        let past = self.run_time_percent.unwrap_or(100.0);
        let parts = (self.runs + ASSUMED_EXACT_RUNS).min(CORRECTION_PARTS);
        self.run_time_percent = Some(past + (sample - past) / parts);
    }

    /// Share of the expected duration within which most jobs end, in percent.
    #[must_use]
    pub fn duration_quantile_percent(&self) -> f64 {
        self.duration_quantile_percent.unwrap_or(INITIAL_DURATION_QUANTILE_PERCENT)
    }

    /// Records how long a job took, in percent of the expected duration.
    ///
    /// Estimates a quantile: a longer job raises the value by more than a shorter one lowers it.
    /// The value is stable when the share of longer jobs balances the two steps.
    pub fn record_duration(&mut self, percent: f64) {
        let past = self.duration_quantile_percent();
        let share = if percent > past { DURATION_QUANTILE } else { DURATION_QUANTILE - 1.0 };
        let (least, most) = DURATION_QUANTILE_BOUNDS_PERCENT;
        self.duration_quantile_percent =
            Some((past * (1.0 + DURATION_QUANTILE_STEP * share)).clamp(least, most));
    }

    /// How much later than forecast jobs currently end, in milliseconds; negative if they end
    /// earlier.
    #[must_use]
    pub fn lateness_ms(&self, now_ms: u64) -> i64 {
        self.decayed_lateness_ms(now_ms) as i64
    }

    fn decayed_lateness_ms(&self, now_ms: u64) -> f64 {
        decayed(self.lateness_ms, self.lateness_at_ms, LATENESS_HALF_LIFE_MS, now_ms)
    }

    /// Records the arrival of a job.
    pub fn record_arrival(&mut self, job: &Job, now_ms: u64) {
        let work_milli_ms = job.work_milli_ms() as f64;
        let parts = if self.kind.is_none() { 1.0 } else { MEAN_PARTS };
        self.work_milli_ms += (work_milli_ms - self.work_milli_ms) / parts;
        self.slack_ms += (job.slack_ms() as f64 - self.slack_ms) / parts;
        self.asked.add(work_milli_ms, ASKED_WINDOW_MS, now_ms);
        self.last_arrival_ms = now_ms;
        self.kind = Some(Arc::clone(&job.request.kind));
    }

    /// Whether jobs of the kind run on the upstreams of a pool.
    #[must_use]
    pub fn is_of_pool(&self, pool: &str) -> bool {
        self.kind.as_ref().is_some_and(|kind| kind.pool == pool)
    }

    /// Priority class; lower goes first.
    #[must_use]
    pub fn priority(&self) -> u8 {
        self.kind.as_ref().map_or(0, |kind| kind.priority)
    }

    /// Mean time that a job may wait and still be on time, in milliseconds.
    #[must_use]
    pub fn slack_ms(&self) -> f64 {
        self.slack_ms
    }

    /// When the latest job arrived.
    #[must_use]
    pub fn last_arrival_ms(&self) -> u64 {
        self.last_arrival_ms
    }

    /// Work that callers ask for, whether accepted or not, in thousandths of a core.
    #[must_use]
    pub fn asked_milli(&self, now_ms: u64) -> f64 {
        self.asked.per_ms(ASKED_WINDOW_MS, now_ms)
    }

    /// Mean work of a job, in thousandths of a core times milliseconds.
    #[must_use]
    pub fn work_milli_ms(&self) -> f64 {
        self.work_milli_ms
    }

    /// Recent share of jobs that were refused or late for lack of capacity, in percent.
    #[must_use]
    pub fn strain_percent(&self, now_ms: u64) -> f64 {
        decayed(self.strain_percent, self.strain_at_ms, STRAIN_HALF_LIFE_MS, now_ms)
    }

    /// Records whether a job was refused or late for lack of capacity.
    pub fn record_strain(&mut self, refused_or_late: bool, now_ms: u64) {
        let past = self.strain_percent(now_ms);
        let sample = if refused_or_late { 100.0 } else { 0.0 };
        self.strain_percent = past + (sample - past) / STRAIN_PARTS;
        self.strain_at_ms = now_ms;
    }

    /// Adds to the fraction that is to be shed. Returns whether it has reached a whole job.
    pub fn add_shed_fraction(&mut self, share: f64) -> bool {
        self.shed_fraction += share;
        let is_whole = self.shed_fraction >= 1.0;
        if is_whole {
            self.shed_fraction -= 1.0;
        }
        is_whole
    }

    /// Records how much later than forecast a job ended or was given up. One job counts for at
    /// most its objective span.
    pub fn record_lateness(&mut self, late_ms: i64, objective_span_ms: u64, now_ms: u64) {
        let objective_span_ms = objective_span_ms as f64;
        let sample = (late_ms as f64).clamp(-objective_span_ms, objective_span_ms);
        let past = self.decayed_lateness_ms(now_ms);
        self.lateness_ms = past + (sample - past) / LATENESS_PARTS;
        self.lateness_at_ms = now_ms;
    }
}

/// Exponential decay of a value with the given half-life.
fn decayed(value: f64, since_ms: u64, half_life_ms: f64, now_ms: u64) -> f64 {
    let passed_ms = now_ms.saturating_sub(since_ms) as f64;
    value * (-passed_ms / half_life_ms).exp2()
}

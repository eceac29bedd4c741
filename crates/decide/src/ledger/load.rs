//! The load report that entries use for placement: capacity, waiting work, and penalties for
//! slow or failing runs.

use {
    super::{Ledger, Phase},
    sycamorerail_wire::runs::{PRIORITY_CLASSES, Resources, UpstreamLoad},
};

/// Divisor of the moving averages: the newest sample weighs one part in this many. The average
/// then reflects about ten runs, which an upstream ends within a quarter of a second.
const AVERAGE_DIVISOR: u32 = 8;
/// Half-life of the penalty for failures while no new runs end.
const FAILING_HALF_LIFE_MS: u64 = 1_000;
/// Run time, in percent of that of a sound upstream, above which an upstream is on trial: it
/// offers only a small part of its capacity until its runs are faster again.
const TRIAL_PERCENT: u32 = 250;
/// Capacity that an upstream on trial offers, in percent. One task in ten shows as much as all
/// of them, and if the upstream hangs, it costs one job instead of ten.
const TRIAL_CAPACITY_PERCENT: u64 = 10;
/// Run time, in percent of that on a sound upstream, above which a run is overdue.
const OVERDUE_PERCENT: u32 = 250;

/// Change of a penalty, in percentage points, that is reported at once.
const PENALTY_CHANGE_PERCENT: u32 = 20;

/// Whether a load differs so much from the one last sent that entries may place tasks
/// differently. The remaining run time falls with every millisecond and is not reported for its
/// own sake: that made up a third of all messages without a benefit (simulation with 55 entries
/// and 240 upstreams: 80.7 messages per job with it, 55.4 without; 99.0 and 98.9 % of jobs in
/// time). Nor are the arrival rates, which change with every task.
#[must_use]
pub fn is_significant_change(last_sent: &UpstreamLoad, current: &UpstreamLoad) -> bool {
    let has_penalty_changed = last_sent.slowness_percent.abs_diff(current.slowness_percent)
        >= PENALTY_CHANGE_PERCENT
        || last_sent.failing_percent.abs_diff(current.failing_percent) >= PENALTY_CHANGE_PERCENT;
    let rest = |load: &UpstreamLoad| UpstreamLoad {
        running_milli_ms: 0,
        slowness_percent: 0,
        failing_percent: 0,
        arriving_milli: [0; PRIORITY_CLASSES],
        ..*load
    };
    has_penalty_changed || rest(last_sent) != rest(current)
}

impl Ledger {
    pub(super) fn note_failure(&mut self, failed: bool, now_ms: u64) {
        let past = self.current_failing(now_ms);
        self.failing_percent = moving_average(past, if failed { 100 } else { 0 });
        self.failing_at_ms = now_ms;
    }

    pub(super) fn current_failing(&self, now_ms: u64) -> u32 {
        let halvings = now_ms.saturating_sub(self.failing_at_ms) / FAILING_HALF_LIFE_MS;
        self.failing_percent >> halvings.min(31)
    }

    /// Returns the load to report to entries.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> UpstreamLoad {
        let mut waiting_milli_ms = [0; PRIORITY_CLASSES];
        for (rank, key) in &self.waiting {
            let class = if rank.is_late { u8::MAX } else { rank.priority };
            let class = usize::from(class).min(PRIORITY_CLASSES - 1);
            let run = &self.runs[*key];
            waiting_milli_ms[class] += u64::from(run.need.cpu_milli) * u64::from(run.run_ms);
        }
        UpstreamLoad {
            usable: self.accepts_runs(now_ms),
            capacity: self.offered_capacity(),
            taken: self.taken,
            waiting_milli_ms,
            running_milli_ms: self.running_milli_ms(now_ms),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slowness_percent: self.current_slowness(now_ms),
            failing_percent: self.current_failing(now_ms),
            arriving_milli: self.arrivals.milli(now_ms),
        }
    }

    /// Returns the capacity that entries may count on.
    fn offered_capacity(&self) -> Resources {
        let capacity =
            self.announced_instance.as_ref().map(|instance| instance.capacity).unwrap_or_default();
        if !self.run_times.are_beyond(TRIAL_PERCENT) {
            return capacity;
        }
        let cpu_milli = u64::from(capacity.cpu_milli) * TRIAL_CAPACITY_PERCENT / 100;
        let cpu_milli = u32::try_from(cpu_milli).unwrap_or(u32::MAX);
        Resources { cpu_milli, ..capacity }
    }

    /// Returns the remaining work of active runs by their estimates. An overdue run counts with
    /// a tenth of its estimate.
    fn running_milli_ms(&self, now_ms: u64) -> u64 {
        let active = self.runs.values().filter(|run| run.phase != Phase::Waiting);
        let left = active.map(|run| {
            let elapsed_ms = match run.phase {
                Phase::Running { since_ms } => now_ms.saturating_sub(since_ms),
                _ => 0,
            };
            let run_ms = u64::from(run.run_ms);
            let left_ms = run_ms.saturating_sub(elapsed_ms).max(run_ms / 10);
            u64::from(run.need.cpu_milli) * left_ms
        });
        left.sum()
    }

    /// Returns the expected run times in percent of the estimates, including runs that are far
    /// overdue and still active.
    fn current_slowness(&self, now_ms: u64) -> u32 {
        let overdue_percent = self.run_times.limit_percent(OVERDUE_PERCENT) as u64;
        let overdue = self.runs.values().filter_map(|run| match run.phase {
            Phase::Running { since_ms } => {
                let elapsed_ms = now_ms.saturating_sub(since_ms);
                Some(elapsed_ms * 100 / u64::from(run.run_ms.max(1)))
            }
            _ => None,
        });
        let far_overdue: Vec<_> = overdue.filter(|percent| *percent > overdue_percent).collect();
        let expected = self.run_times.expected_percent(now_ms);
        if far_overdue.len() * 2 <= self.active_count() || far_overdue.is_empty() {
            return expected;
        }
        let mean = far_overdue.iter().sum::<u64>() / far_overdue.len() as u64;
        expected.max(u32::try_from(mean.min(2_000)).unwrap_or(2_000))
    }

    /// Whether a run took far longer than on a sound upstream.
    pub(super) fn is_overdue(&self, run_ms: u32, estimate_ms: u32) -> bool {
        let overdue_percent = self.run_times.limit_percent(OVERDUE_PERCENT);
        f64::from(run_ms) * 100.0 > f64::from(estimate_ms) * overdue_percent
    }
}

fn moving_average(past: u32, sample: u32) -> u32 {
    // Rounded towards the sample, so that the average can reach it.
    let sum = past * (AVERAGE_DIVISOR - 1) + sample;
    if sample > past { sum.div_ceil(AVERAGE_DIVISOR) } else { sum / AVERAGE_DIVISOR }
}

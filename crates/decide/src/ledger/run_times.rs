//! Run times of an upstream relative to their estimates: the usual ones, which are a property of
//! its VM, and a slow spell, which passes.

/// Run time of an upstream that is as fast as the estimates assume, in percent of the estimate.
const NORMAL_PERCENT: f64 = 100.0;
/// Bounds of a run time that counts, in percent of the estimate.
const RUN_TIME_BOUNDS_PERCENT: (f64, f64) = (10.0, 1_000.0);
/// The newest run counts for one part in this many in the recent run time, which then reflects
/// about ten runs.
const RECENT_PARTS: f64 = 8.0;
/// The newest run counts for one part in this many in the usual run time. With estimates that are
/// off by up to 40 %, its standard error is below 3 %.
const USUAL_PARTS: f64 = 128.0;
/// Number of runs that the assumption of a normal upstream counts for.
const ASSUMED_RUNS: f64 = 4.0;
/// Number of runs, the assumed ones among them, from which the usual run time is known.
const KNOWN_RUNS: f64 = 16.0;
/// Recent run times beyond this factor of those of a sound upstream are a slow spell.
const SPELL_FACTOR: f64 = 1.7;
/// Recent run times above this are a slow spell while the usual one is not known, in percent of
/// the estimates. Longer runs are not learned as usual, either.
const UNKNOWN_SPELL_PERCENT: f64 = 250.0;
/// A slow spell that lasts this long, in milliseconds, is a property of the VM.
const MAX_SPELL_MS: u64 = 15_000;
/// Usual run times from this percentage of the estimates on count as equal to them: an estimate
/// that is off by 40 % makes as much of a difference.
const MIN_SIMILAR_PERCENT: f64 = 60.0;
/// Half-life of a slow spell while no runs end, in milliseconds. Without the decay, an upstream
/// that was slow for 7 s stayed unused for up to 8 s more.
const SPELL_HALF_LIFE_MS: u64 = 1_000;

/// Run times of one upstream instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTimes {
    /// Geometric mean of run times outside of slow spells, in percent of the estimates.
    usual_percent: f64,
    /// Number of runs in it, up to [`USUAL_PARTS`].
    usual_runs: f64,
    /// Moving average of run times, in percent of the estimates.
    recent_percent: f64,
    /// When the last run ended.
    recent_at_ms: u64,
    /// When the present slow spell began.
    spell_since_ms: Option<u64>,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            usual_percent: NORMAL_PERCENT,
            usual_runs: ASSUMED_RUNS,
            recent_percent: NORMAL_PERCENT,
            recent_at_ms: 0,
            spell_since_ms: None,
        }
    }
}

impl RunTimes {
    /// Run times to assume of the next instance, which usually runs on the same VM.
    pub(super) fn of_next_instance(&self) -> Self {
        let usual_percent = self.usual_percent;
        Self { usual_percent, recent_percent: usual_percent, ..Self::default() }
    }

    /// Records the run time of a task.
    pub(super) fn record(&mut self, run_ms: u32, estimate_ms: u32, now_ms: u64) {
        let (least, most) = RUN_TIME_BOUNDS_PERCENT;
        let percent = f64::from(run_ms) * 100.0 / f64::from(estimate_ms.max(1));
        let percent = percent.clamp(least, most);
        self.update_recent(percent, now_ms);
        self.update_usual(percent, now_ms);
    }

    fn update_recent(&mut self, percent: f64, now_ms: u64) {
        let past = self.decayed_percent(now_ms);
        self.recent_percent = past + (percent - past) / RECENT_PARTS;
        self.recent_at_ms = now_ms;
    }

    /// Learns a run outside of slow spells, and the recent run times once a spell has lasted.
    fn update_usual(&mut self, percent: f64, now_ms: u64) {
        if self.recent_percent <= self.spell_percent() {
            self.spell_since_ms = None;
            self.learn(percent);
        } else if now_ms >= *self.spell_since_ms.get_or_insert(now_ms) + MAX_SPELL_MS {
            self.spell_since_ms = None;
            self.usual_percent = self.recent_percent;
            self.usual_runs = KNOWN_RUNS;
        }
    }

    fn learn(&mut self, percent: f64) {
        self.usual_runs = (self.usual_runs + 1.0).min(USUAL_PARTS);
        let sample = percent.min(UNKNOWN_SPELL_PERCENT.max(self.usual_percent * SPELL_FACTOR));
        self.usual_percent *= (sample / self.usual_percent).powf(1.0 / self.usual_runs);
    }

    /// Recent run times above this are a slow spell.
    fn spell_percent(&self) -> f64 {
        let is_known = self.usual_runs >= KNOWN_RUNS;
        if is_known { self.sound_percent() * SPELL_FACTOR } else { UNKNOWN_SPELL_PERCENT }
    }

    /// Recent run times, the part above the usual one halved for each second without runs.
    fn decayed_percent(&self, now_ms: u64) -> f64 {
        let halvings = now_ms.saturating_sub(self.recent_at_ms) / SPELL_HALF_LIFE_MS;
        let excess = (self.recent_percent - self.usual_percent).max(0.0);
        self.recent_percent - excess + excess * (-(halvings as f64)).exp2()
    }

    /// Run time of a sound upstream in percent of the estimates: the usual one or the estimate,
    /// whichever is longer. The usual one may be short because a kind's estimates are too long.
    fn sound_percent(&self) -> f64 {
        self.usual_percent.max(NORMAL_PERCENT)
    }

    /// Shortest time that a task with this estimate is expected to take, in milliseconds.
    pub(super) fn shortest_ms(&self, estimate_ms: u32) -> u64 {
        let is_faster = self.usual_percent < MIN_SIMILAR_PERCENT;
        let percent = if is_faster { self.usual_percent } else { NORMAL_PERCENT };
        (f64::from(estimate_ms) * percent / 100.0) as u64
    }

    /// Expected run time in percent of the estimates.
    pub(super) fn expected_percent(&self, now_ms: u64) -> u32 {
        let recent_percent = self.decayed_percent(now_ms);
        if recent_percent > self.sound_percent() * SPELL_FACTOR {
            return recent_percent.round() as u32;
        }
        self.usual_percent.round() as u32
    }

    /// Whether recent runs took longer than this percentage of those of a sound upstream.
    pub(super) fn are_beyond(&self, percent: u32) -> bool {
        self.recent_percent > self.limit_percent(percent)
    }

    /// Converts a limit in percent of a sound upstream's run times to percent of the estimates.
    pub(super) fn limit_percent(&self, percent: u32) -> f64 {
        self.sound_percent() * f64::from(percent) / 100.0
    }
}

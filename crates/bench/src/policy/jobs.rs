//! The jobs of a model, drawn from its settings and a seed.

use {
    super::{
        clock::Micros,
        settings::{KindSettings, ModelSettings, Spread},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp, LogNormal},
};

/// Tasks of one job differ by this share, as the standard deviation of the logarithm.
const UNEVEN: f64 = 0.15;
const MICROS_PER_S: f64 = 1_000_000.0;
const MICROS_PER_MS: f64 = 1_000.0;
/// Separates the draws of tails from those of jobs.
const TAIL_SEED: u64 = 0x7461_696c;
/// A result is useful within this many times the span within which it is on time.
const USEFUL_SPANS: u64 = 3;

/// A job with its true run times.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelJob {
    /// Position of its kind in the settings.
    pub kind: usize,
    /// Entry at which it arrives.
    pub entry: usize,
    /// Arrival time.
    pub at: Micros,
    /// True run time of each task on an upstream of speed 1, in microseconds.
    pub run_micros: Vec<u64>,
    /// The caller's estimate of each run time, in milliseconds.
    pub estimate_ms: u32,
    /// Span from its arrival within which it is on time.
    pub span: Micros,
}

impl ModelJob {
    /// Time until which it is on time.
    #[must_use]
    pub fn in_time_until(&self) -> Micros {
        self.at + self.span
    }

    /// Time until which a result is useful.
    #[must_use]
    pub fn useful_until(&self) -> Micros {
        self.at + self.span * USEFUL_SPANS
    }

    /// Work of all tasks, in thousandths of a core times microseconds.
    #[must_use]
    pub fn work(&self, kind: &KindSettings) -> u64 {
        self.run_micros.iter().sum::<u64>() * u64::from(kind.cpu_milli)
    }
}

/// Draws all jobs, in the order of arrival.
#[must_use]
pub fn draw_jobs(settings: &ModelSettings, seed: u64) -> Vec<ModelJob> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    for kind in 0..settings.kinds.len() {
        draw_kind(settings, kind, &mut rng, &mut jobs);
    }
    lengthen_tails(settings, seed, &mut jobs);
    jobs.sort_by_key(|job| job.at);
    jobs
}

/// Lengthens the share of tasks that run longer than usual.
///
/// The draws are separate ones, so that a seed gives the same jobs with and without a tail.
fn lengthen_tails(settings: &ModelSettings, seed: u64, jobs: &mut [ModelJob]) {
    let mut rng = SmallRng::seed_from_u64(seed ^ TAIL_SEED);
    for job in jobs {
        let kind = &settings.kinds[job.kind];
        let most_micros = kind.run_ms.most * MICROS_PER_MS;
        for run_micros in &mut job.run_micros {
            if rng.random::<f64>() < kind.tail {
                let longer_micros = (*run_micros as f64 * kind.tail_factor).min(most_micros);
                *run_micros = (longer_micros as u64).max(*run_micros);
            }
        }
        job.span = span(kind, &job.run_micros);
    }
}

/// Span within which a job with these run times is on time.
fn span(kind: &KindSettings, run_micros: &[u64]) -> Micros {
    let longest = run_micros.iter().copied().max().unwrap_or(0) as f64;
    (longest * kind.stretch + f64::from(kind.target_ms) * MICROS_PER_MS) as Micros
}

/// Draws the jobs of one kind: a Poisson process at the highest rate, thinned to the current one.
fn draw_kind(settings: &ModelSettings, kind: usize, rng: &mut SmallRng, jobs: &mut Vec<ModelJob>) {
    let figures = &settings.kinds[kind];
    let highest = settings.bursts.iter().map(|burst| burst.factor).fold(1.0, |a, b| a * b.max(1.0));
    let Ok(gap_s) = Exp::new(figures.per_s * highest) else { return };
    let end_s = f64::from(settings.seconds);
    let mut at_s = gap_s.sample(rng);
    while at_s < end_s {
        if rng.random::<f64>() < factor_at(settings, &figures.name, at_s) / highest {
            jobs.push(draw_job(settings, kind, (at_s * MICROS_PER_S) as Micros, rng));
        }
        at_s += gap_s.sample(rng);
    }
}

/// Factor of the usual load of a kind at a given time.
fn factor_at(settings: &ModelSettings, kind: &str, at_s: f64) -> f64 {
    let bursts = settings.bursts.iter().filter(|burst| {
        (burst.at_s..burst.at_s + burst.for_s).contains(&at_s)
            && burst.kind.as_ref().is_none_or(|name| name == kind)
    });
    bursts.map(|burst| burst.factor).product()
}

fn draw_job(settings: &ModelSettings, kind: usize, at: Micros, rng: &mut SmallRng) -> ModelJob {
    let figures = &settings.kinds[kind];
    let tasks = draw(&figures.tasks, rng).round().max(1.0) as usize;
    let base_ms = draw(&figures.run_ms, rng);
    let uneven = Spread { mean: base_ms, spread: UNEVEN, most: base_ms * 2.0 };
    let run_micros: Vec<u64> =
        (0..tasks).map(|_| (draw(&uneven, rng) * MICROS_PER_MS).max(1.0) as u64).collect();
    let off = settings.estimate_off;
    let estimate_ms = base_ms * (1.0 + rng.random_range(-off..=off));
    let span = span(figures, &run_micros);
    ModelJob {
        kind,
        entry: rng.random_range(0..usize::from(settings.entries)),
        at,
        run_micros,
        estimate_ms: estimate_ms.round().max(1.0) as u32,
        span,
    }
}

fn draw(spread: &Spread, rng: &mut SmallRng) -> f64 {
    let location = spread.mean.ln() - spread.spread * spread.spread / 2.0;
    // Ranges were checked: the deviation is finite and not negative.
    let value = LogNormal::new(location, spread.spread).map_or(spread.mean, |law| law.sample(rng));
    value.min(spread.most)
}

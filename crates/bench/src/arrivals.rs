//! Arrivals, drawn ahead of the run from the scenario's seed: an open loop, so
//! that no submission waits for an earlier answer.

use {
    crate::scenario::{Bursts, Flood, Kind, Scenario},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp1},
    serde::{Deserialize, Serialize},
};

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

/// A job of tasks or a single call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Each task starts at most once.
    Job,
    /// One call, repeated only if its kind is repeatable.
    Request,
}

/// One submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it is due, from the start of the load, in microseconds.
    pub at_us: u64,
    /// Position of its organisation.
    pub organisation: u16,
    /// Position of its kind in the scenario's list.
    pub kind: u16,
    /// Job or request.
    pub unit: Unit,
    /// Run time of each task in milliseconds.
    pub run_ms: Vec<u32>,
}

/// Draws all arrivals of warm-up and measured time. A flood changes none of the
/// others.
#[must_use]
pub fn plan(scenario: &Scenario) -> Vec<Arrival> {
    let rng = SmallRng::seed_from_u64(scenario.seed);
    let base_per_us = submissions_per_s(scenario, scenario.arrivals.load) / US_PER_S;
    let rate = Rate { base_per_us, bursts: scenario.arrivals.bursts };
    let mut arrivals = between(scenario, &rate, (0, scenario.end_ms()), rng);
    if let Some(flood) = scenario.arrivals.flood {
        arrivals.extend(flood_of(scenario, flood));
        arrivals.sort_by_key(|arrival| arrival.at_us);
    }
    arrivals
}

fn flood_of(scenario: &Scenario, flood: Flood) -> impl Iterator<Item = Arrival> {
    let rng = SmallRng::seed_from_u64(!scenario.seed);
    let base_per_us = submissions_per_s(scenario, flood.load) / US_PER_S;
    let rate = Rate { base_per_us, bursts: None };
    let window_ms = (flood.from_ms.into(), flood.until_ms.into());
    let organisation = flood.organisation;
    let arrivals = between(scenario, &rate, window_ms, rng).into_iter();
    arrivals.map(move |arrival| Arrival { organisation, ..arrival })
}

fn between(
    scenario: &Scenario,
    rate: &Rate,
    (from_ms, until_ms): (u64, u64),
    mut rng: SmallRng,
) -> Vec<Arrival> {
    let (from_us, until_us) = (from_ms * US_PER_MS, until_ms * US_PER_MS);
    let mut arrivals = Vec::new();
    let mut at_us = rate.next_us(from_us as f64, Exp1.sample(&mut rng));
    while at_us < until_us as f64 {
        arrivals.push(draw(scenario, at_us as u64, &mut rng));
        at_us = rate.next_us(at_us, Exp1.sample(&mut rng));
    }
    arrivals
}

fn draw(scenario: &Scenario, at_us: u64, rng: &mut SmallRng) -> Arrival {
    let organisation = rng.random_range(0..scenario.size().organisations);
    let is_request = rng.random::<f64>() < scenario.arrivals.request_share;
    let unit = if is_request { Unit::Request } else { Unit::Job };
    let kinds = scenario.kinds();
    let kind = draw_kind(&kinds, rng);
    let tasks = match unit {
        Unit::Job => rng.random_range(1..=scenario.arrivals.max_job_tasks),
        Unit::Request => 1,
    };
    let run_ms = (0..tasks).map(|_| scenario.run_times.draw_ms(rng)).collect();
    Arrival { at_us, organisation, kind, unit, run_ms }
}

fn draw_kind(kinds: &[Kind], rng: &mut SmallRng) -> u16 {
    let total: f64 = kinds.iter().map(|kind| kind.share).sum();
    let mut left = rng.random::<f64>() * total;
    for (index, kind) in kinds.iter().enumerate() {
        left -= kind.share;
        if left < 0.0 {
            return index as u16;
        }
    }
    kinds.len() as u16 - 1
}

/// Mean tasks of a submission.
#[must_use]
pub fn mean_tasks(scenario: &Scenario) -> f64 {
    let job_tasks = (1.0 + f64::from(scenario.arrivals.max_job_tasks)) / 2.0;
    let request_share = scenario.arrivals.request_share;
    request_share + (1.0 - request_share) * job_tasks
}

/// Submissions a second at which the tasks fill this share of all slots.
#[must_use]
pub fn submissions_per_s(scenario: &Scenario, load: f64) -> f64 {
    let slots = f64::from(scenario.size().total_slots());
    let task_s = scenario.run_times.mean_ms() / 1_000.0;
    load * slots / task_s / mean_tasks(scenario)
}

/// Rate of submissions over time, constant between the edges of bursts.
struct Rate {
    base_per_us: f64,
    bursts: Option<Bursts>,
}

impl Rate {
    /// When the next submission comes, given its unit exponential draw.
    fn next_us(&self, from_us: f64, draw: f64) -> f64 {
        let (mut at_us, mut left) = (from_us, draw);
        loop {
            let (per_us, until_us) = self.piece(at_us);
            let capacity = (until_us - at_us) * per_us;
            if left <= capacity {
                return at_us + left / per_us;
            }
            left -= capacity;
            at_us = until_us;
        }
    }

    /// Rate at a time, and until when it holds.
    fn piece(&self, at_us: f64) -> (f64, f64) {
        let Some(bursts) = self.bursts else {
            return (self.base_per_us, f64::INFINITY);
        };
        let every_us = f64::from(bursts.every_ms) * US_PER_MS as f64;
        let length_us = f64::from(bursts.length_ms) * US_PER_MS as f64;
        // A burst ends each period, so that the load starts calm.
        let period_start_us = (at_us / every_us).floor() * every_us;
        let burst_start_us = period_start_us + every_us - length_us;
        if at_us < burst_start_us {
            (self.base_per_us, burst_start_us)
        } else {
            (self.base_per_us * bursts.factor, period_start_us + every_us)
        }
    }
}

//! Results of one run, as JSON.

use {
    crate::{
        arrivals::{Arrival, Unit},
        client::Outcome,
        drive::Record,
        fault_script::Applied,
        scenario::Scenario,
        scrape::Series,
        starts::StartTotals,
        usage::Usage,
        verdict::Violations,
        waste::Waste,
    },
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

const US_PER_MS: f64 = 1_000.0;
const US_PER_S: u64 = 1_000_000;
/// Digits kept by histograms.
const DIGITS: u8 = 3;
/// Percentiles of the curve in the report.
const CURVE: &[f64] = &[
    1.0, 5.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 85.0, 90.0, 92.5, 95.0, 97.0, 98.0,
    99.0, 99.5, 99.9, 99.95, 99.99,
];

/// Results of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunResult {
    /// What was run.
    pub scenario: Scenario,
    /// Where and when.
    pub machine: Machine,
    /// Round trip of the smallest call, in the ideal.
    pub round_trip_us: u64,
    /// Submissions in the measured time, and what became of them.
    pub counts: Counts,
    /// Response times of complete answers.
    pub measured: Quantiles,
    /// Response times of the ideal, for all measured arrivals.
    pub ideal: Quantiles,
    /// Measured over ideal, of each complete answer.
    pub stretch: Quantiles,
    /// The same, by unit.
    pub units: BTreeMap<Unit, UnitResult>,
    /// By position of the organisation, as text: files of several kinds are read
    /// by trial, which takes no numbers for names of fields.
    #[serde(default)]
    pub organisations: BTreeMap<String, OrganisationResult>,
    /// Time to the answer of those refused under their first id, by reason.
    #[serde(default)]
    pub refused: BTreeMap<String, Quantiles>,
    /// Of those decided under their first id: what placement costs, without
    /// the pauses after refusals.
    pub first_id: UnitResult,
    /// Percentile, measured and ideal in milliseconds.
    pub curve: Vec<(f64, f64, f64)>,
    /// By second of the due time, warm-up included.
    pub timeline: Vec<Second>,
    /// The bench's own delay in sending.
    pub lag: Quantiles,
    /// Broken promises; all must be 0.
    pub violations: Violations,
    /// Breaches counted by the programs themselves; must be 0.
    pub invariant_breaches: f64,
    /// Starts counted by the upstreams.
    pub starts: StartTotals,
    /// Messages that served no request.
    pub waste: Waste,
    /// Growth of all counters, by role.
    pub counters: BTreeMap<String, Series>,
    /// What each process used.
    pub usage: Vec<ProcessUsage>,
    /// Calls of the platform's service, by its own count.
    pub platform_calls: serde_json::Value,
    /// Faults carried out.
    pub faults: Vec<Applied>,
    /// Some of the answers that were not complete, for people.
    pub examples: Vec<String>,
}

/// Where and when a run was made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Processors.
    pub cores: usize,
    /// Load average of the last minute, before.
    pub load_before: f64,
    /// The same, after.
    pub load_after: f64,
    /// Start of the load, in seconds of Unix time.
    pub began_unix_s: u64,
    /// Length of the load with what followed until the last answer.
    pub window_s: f64,
    /// What was built, as told on the command line.
    pub build: String,
}

/// Submissions in the measured time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// All that were due.
    pub due: u64,
    /// By `outcome/reason` of the last answer.
    pub outcomes: BTreeMap<String, u64>,
    /// Complete.
    pub complete: u64,
    /// Cancelled by a wave.
    pub cancelled: u64,
    /// Calls that broke or timed out.
    pub broken_calls: u64,
    /// Answers `in_doubt`.
    pub in_doubt: u64,
    /// Submissions sent under a new id after `not_run`.
    pub new_ids: u64,
    /// Reservations made while a submission waited.
    pub reserved_in_line: u64,
}

/// Response times in milliseconds, or ratios.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// How many.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest.
    pub max: f64,
}

/// Response times of one unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UnitResult {
    /// Of complete answers.
    pub measured: Quantiles,
    /// Of the ideal.
    pub ideal: Quantiles,
}

/// What became of one organisation's submissions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrganisationResult {
    /// All that were due.
    pub due: u64,
    /// Response times of complete answers.
    pub measured: Quantiles,
    /// Measured over the run times alone, of each complete answer.
    pub slowdown: Quantiles,
}

/// Submissions due in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// From the start of the load.
    pub second: u64,
    /// Due.
    pub due: u64,
    /// Complete.
    pub complete: u64,
    /// Definitely failed or not run.
    pub refused: u64,
    /// Unknown, or no answer.
    pub unknown: u64,
    /// Median response of the complete ones, in milliseconds.
    pub p50_ms: f64,
    /// Longest response of the complete ones, in milliseconds.
    pub max_ms: f64,
    /// Median of the ideal, in milliseconds.
    pub ideal_p50_ms: f64,
}

/// What one process used in the window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: String,
    /// Processor time in the window; `None` when it died.
    pub cpu_s: Option<f64>,
    /// At the end.
    pub end: Option<Usage>,
}

/// Quantiles of values, kept with three digits; `scale` divides them.
#[must_use]
pub fn quantiles(values: impl IntoIterator<Item = u64>, scale: f64) -> Quantiles {
    let histogram = histogram(values);
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / scale;
    if histogram.is_empty() {
        return Quantiles::default();
    }
    Quantiles {
        count: histogram.len(),
        mean: histogram.mean() / scale,
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        p999: at(0.999),
        max: histogram.max() as f64 / scale,
    }
}

fn histogram(values: impl IntoIterator<Item = u64>) -> Histogram<u64> {
    let mut histogram = Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("digits are valid"));
    for value in values {
        // It grows as needed; only a value beyond 64 bits could be refused.
        let _ = histogram.record(value.max(1));
    }
    histogram
}

/// One arrival with its record and its ideal.
#[derive(Clone, Copy, Debug)]
pub struct Pair<'a> {
    /// The arrival.
    pub arrival: &'a Arrival,
    /// What became of it.
    pub record: &'a Record,
    /// Response time of the ideal.
    pub ideal_us: u64,
}

impl Pair<'_> {
    fn is_complete(&self) -> bool {
        self.record.outcome == Outcome::Complete
    }
}

/// Counts of outcomes.
#[must_use]
pub fn counts(pairs: &[Pair<'_>], reserved_in_line: u64) -> Counts {
    let mut counts = Counts { reserved_in_line, ..Counts::default() };
    for Pair { record, .. } in pairs {
        counts.due += 1;
        let outcome = format!("{}/{}", record.outcome.name(), record.reason);
        *counts.outcomes.entry(outcome).or_default() += 1;
        counts.complete += u64::from(record.outcome == Outcome::Complete);
        counts.cancelled += u64::from(record.cancelled);
        counts.broken_calls += u64::from(record.broken);
        counts.in_doubt += u64::from(record.in_doubt);
        counts.new_ids += (record.told.len() as u64).saturating_sub(1);
    }
    counts
}

/// Response times of complete answers, in milliseconds.
#[must_use]
pub fn measured(pairs: &[Pair<'_>]) -> Quantiles {
    let complete = pairs.iter().filter(|pair| pair.is_complete());
    quantiles(complete.map(|pair| pair.record.response_us), US_PER_MS)
}

/// Response times of the ideal, in milliseconds.
#[must_use]
pub fn ideal(pairs: &[Pair<'_>]) -> Quantiles {
    quantiles(pairs.iter().map(|pair| pair.ideal_us), US_PER_MS)
}

/// Measured over ideal of each complete answer.
#[must_use]
pub fn stretch(pairs: &[Pair<'_>]) -> Quantiles {
    const SCALE: f64 = 1_000.0;
    let complete = pairs.iter().filter(|pair| pair.is_complete());
    let ratio = |pair: &Pair<'_>| {
        let ratio = pair.record.response_us as f64 / pair.ideal_us.max(1) as f64;
        (ratio * SCALE).round() as u64
    };
    quantiles(complete.map(ratio), SCALE)
}

/// By organisation.
#[must_use]
pub fn organisations(pairs: &[Pair<'_>]) -> BTreeMap<String, OrganisationResult> {
    let mut by_organisation: BTreeMap<u16, Vec<Pair<'_>>> = BTreeMap::new();
    for pair in pairs {
        by_organisation.entry(pair.arrival.organisation).or_default().push(*pair);
    }
    let result = |(organisation, pairs): (u16, Vec<Pair<'_>>)| {
        let due = pairs.len() as u64;
        let result =
            OrganisationResult { due, measured: measured(&pairs), slowdown: slowdown(&pairs) };
        (organisation.to_string(), result)
    };
    by_organisation.into_iter().map(result).collect()
}

/// Response time over the longest run time of each complete answer.
fn slowdown(pairs: &[Pair<'_>]) -> Quantiles {
    const SCALE: f64 = 1_000.0;
    let complete = pairs.iter().filter(|pair| pair.is_complete());
    let ratio = |pair: &Pair<'_>| {
        let run_ms = pair.arrival.run_ms.iter().copied().max().unwrap_or(1);
        let run_us = f64::from(run_ms) * US_PER_MS;
        (pair.record.response_us as f64 / run_us * SCALE).round() as u64
    };
    quantiles(complete.map(ratio), SCALE)
}

/// Time to the answer of those refused under their first id, by reason.
#[must_use]
pub fn refused(pairs: &[Pair<'_>]) -> BTreeMap<String, Quantiles> {
    let mut by_reason: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for Pair { record, .. } in pairs {
        if record.outcome == Outcome::NotRun && record.told.len() == 1 {
            by_reason.entry(record.reason.clone()).or_default().push(record.response_us);
        }
    }
    let quantiles_of = |(reason, times): (String, Vec<u64>)| (reason, quantiles(times, US_PER_MS));
    by_reason.into_iter().map(quantiles_of).collect()
}

/// The same by unit.
#[must_use]
pub fn units(pairs: &[Pair<'_>]) -> BTreeMap<Unit, UnitResult> {
    let of_unit = |unit| (unit, some(pairs, |pair| pair.arrival.unit == unit));
    [Unit::Job, Unit::Request].into_iter().map(of_unit).collect()
}

/// The same of those decided under their first id.
#[must_use]
pub fn first_id(pairs: &[Pair<'_>]) -> UnitResult {
    some(pairs, |pair| pair.record.told.len() == 1)
}

fn some(pairs: &[Pair<'_>], chosen: impl Fn(&Pair<'_>) -> bool) -> UnitResult {
    let chosen: Vec<_> = pairs.iter().filter(|pair| chosen(pair)).copied().collect();
    UnitResult { measured: measured(&chosen), ideal: ideal(&chosen) }
}

/// Percentile, measured and ideal in milliseconds.
#[must_use]
pub fn curve(pairs: &[Pair<'_>]) -> Vec<(f64, f64, f64)> {
    let complete = pairs.iter().filter(|pair| pair.is_complete());
    let measured = histogram(complete.map(|pair| pair.record.response_us));
    let ideal = histogram(pairs.iter().map(|pair| pair.ideal_us));
    let point = |&percentile: &f64| {
        let at = |h: &Histogram<u64>| h.value_at_percentile(percentile) as f64 / US_PER_MS;
        (percentile, at(&measured), at(&ideal))
    };
    CURVE.iter().map(point).collect()
}

/// By second of the due time.
#[must_use]
pub fn timeline(pairs: &[Pair<'_>]) -> Vec<Second> {
    let mut by_second: BTreeMap<u64, Vec<&Pair<'_>>> = BTreeMap::new();
    for pair in pairs {
        by_second.entry(pair.arrival.at_us / US_PER_S).or_default().push(pair);
    }
    by_second.into_iter().map(|(second, pairs)| one_second(second, &pairs)).collect()
}

fn one_second(second: u64, pairs: &[&Pair<'_>]) -> Second {
    let count = |outcomes: &[Outcome]| {
        pairs.iter().filter(|pair| outcomes.contains(&pair.record.outcome)).count() as u64
    };
    let complete = pairs.iter().filter(|pair| pair.is_complete());
    let measured = quantiles(complete.map(|pair| pair.record.response_us), US_PER_MS);
    let ideal = quantiles(pairs.iter().map(|pair| pair.ideal_us), US_PER_MS);
    Second {
        second,
        due: pairs.len() as u64,
        complete: count(&[Outcome::Complete]),
        refused: count(&[Outcome::Failed, Outcome::NotRun]),
        unknown: count(&[Outcome::Unknown, Outcome::InDoubt, Outcome::NoAnswer]),
        p50_ms: measured.p50,
        max_ms: measured.max,
        ideal_p50_ms: ideal.p50,
    }
}

//! How use and messages grow: lines through the points of samples and runs.

use {
    crate::{
        cluster::Role,
        fit::{Line, line},
        sample::Point,
    },
    eyre::eyre,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
        str::FromStr,
    },
};

/// What lines run along.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// Agents.
    Agents,
    /// Entries.
    Entries,
    /// Organisations.
    Organisations,
    /// Starts a second, over all upstreams.
    StartsPerS,
    /// Answers kept.
    KeptAnswers,
}

impl By {
    const ALL: [Self; 5] =
        [Self::Agents, Self::Entries, Self::Organisations, Self::StartsPerS, Self::KeptAnswers];

    /// The name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Agents => "agents",
            Self::Entries => "entries",
            Self::Organisations => "organisations",
            Self::StartsPerS => "starts_per_s",
            Self::KeptAnswers => "kept_answers",
        }
    }

    fn of(self, point: &Point) -> f64 {
        match self {
            Self::Agents => point.agents,
            Self::Entries => point.entries,
            Self::Organisations => point.organisations,
            Self::StartsPerS => point.starts_per_s,
            Self::KeptAnswers => point.kept_answers,
        }
    }
}

impl FromStr for By {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let names: Vec<_> = Self::ALL.iter().map(|by| by.name()).collect();
        let found = Self::ALL.into_iter().find(|by| by.name() == text);
        found.ok_or_else(|| eyre!("--by {text}: must be one of {}", names.join(", ")))
    }
}

/// One measure of one role, by the points and their line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Role, mean over its processes.
    pub role: String,
    /// What was measured, with its unit.
    pub measure: String,
    /// x and y.
    pub points: Vec<(f64, f64)>,
    /// The line; `None` unless x differs.
    pub line: Option<Line>,
}

/// Fits every measure of each role.
#[must_use]
pub fn fit(points: &[Point], by: By) -> Vec<Fit> {
    Role::ALL.into_iter().flat_map(|role| fit_role(points, by, role)).collect()
}

fn fit_role(points: &[Point], by: By, role: Role) -> Vec<Fit> {
    let measured: Vec<(f64, BTreeMap<String, f64>)> =
        points.iter().map(|point| (by.of(point), measures(point, role))).collect();
    let names: BTreeSet<&String> = measured.iter().flat_map(|(_, values)| values.keys()).collect();
    let fit = |measure: &String| {
        // A counter that is missing at a point did not grow there.
        let at = |values: &BTreeMap<String, f64>| values.get(measure).copied().unwrap_or(0.0);
        let points: Vec<_> = measured.iter().map(|(x, values)| (*x, at(values))).collect();
        let role = role.name().to_owned();
        Fit { role, measure: measure.clone(), line: line(&points), points }
    };
    names.into_iter().map(fit).collect()
}

/// Measures of a role's mean process.
fn measures(point: &Point, role: Role) -> BTreeMap<String, f64> {
    let of_role: Vec<_> = point.usage.iter().filter(|usage| usage.role == role.name()).collect();
    let mut measures = BTreeMap::new();
    if let Some(cpu_s) = mean(of_role.iter().filter_map(|usage| usage.cpu_s)) {
        measures.insert("cpu_share".to_owned(), cpu_s / point.window_s);
    }
    let resident = of_role.iter().filter_map(|usage| Some(usage.end?.resident_bytes as f64));
    if let Some(bytes) = mean(resident) {
        measures.insert("resident_bytes".to_owned(), bytes);
    }
    let process_s = of_role.len().max(1) as f64 * point.window_s;
    if let Some(counters) = point.counters.get(role.name()) {
        for (series, value) in counters.0.iter().filter(|(series, _)| is_control(series)) {
            measures.insert(format!("{series} per s"), value / process_s);
        }
    }
    measures
}

fn is_control(series: &str) -> bool {
    let name = series.split('{').next().unwrap_or_default();
    ["_bytes", "messages", "calls"].iter().any(|part| name.contains(part))
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (count, sum) = values.fold((0, 0.0), |(count, sum), value| (count + 1, sum + value));
    (count > 0).then(|| sum / f64::from(count))
}

/// A table of the fits.
#[must_use]
pub fn markdown(fits: &[Fit], by: By) -> String {
    let mut text = format!(
        "| role | measure | points (x: {}) | slope | ± | at 0 | r² |\n|---|---|---|---|---|---|---|\n",
        by.name()
    );
    for fit in fits {
        let points: Vec<String> =
            fit.points.iter().map(|(x, y)| format!("{}: {}", short(*x), short(*y))).collect();
        let points = points.join("; ");
        let (slope, error, zero, r2) = match &fit.line {
            Some(line) => (
                short(line.slope),
                line.slope_error.map_or_else(|| "n/a".to_owned(), short),
                short(line.intercept),
                format!("{:.3}", line.r_squared),
            ),
            None => ("n/a".to_owned(), "n/a".to_owned(), "n/a".to_owned(), "n/a".to_owned()),
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | `{}` | {points} | {slope} | {error} | {zero} | {r2} |",
            fit.role, fit.measure
        );
    }
    text
}

/// Four significant digits.
fn short(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = (3 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{value:.digits$}")
}

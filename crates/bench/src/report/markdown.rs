//! Rows of a Markdown table.

use {
    super::{Group, Spread},
    std::fmt::Write,
};

/// Head of the table.
#[must_use]
pub fn header() -> String {
    let names = [
        "scenario",
        "policy",
        "load",
        "seeds",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "ideal p50/p90/p99",
        "ratio p50",
        "ratio p90",
        "ratio p99",
        "complete",
        "wasted/completed",
        "broken promises",
    ];
    format!("| {} |\n|{}", names.join(" | "), "---|".repeat(names.len()))
}

/// The whole table.
#[must_use]
pub fn table(groups: &[Group<'_>]) -> String {
    let mut text = header();
    for group in groups {
        text.push('\n');
        text.push_str(&row(group));
    }
    text.push('\n');
    text
}

/// Organisations and refusals of each result that has some: where there are
/// several organisations, or submissions were refused.
#[must_use]
pub fn details(groups: &[Group<'_>]) -> String {
    let results = || groups.iter().flat_map(|group| &group.results);
    let mut text = String::new();
    for result in results().filter(|result| result.organisations.len() > 1) {
        for (organisation, of) in &result.organisations {
            let _ = writeln!(
                text,
                "{} seed {}: organisation {organisation}: due {}, complete {}, \
                 response p50 {:.0} p99 {:.0} ms, over run time p50 {:.3} p99 {:.2}",
                result.scenario.name,
                result.scenario.seed,
                of.due,
                of.measured.count,
                of.measured.p50,
                of.measured.p99,
                of.slowdown.p50,
                of.slowdown.p99,
            );
        }
    }
    for result in results() {
        for (reason, times) in &result.refused {
            let _ = writeln!(
                text,
                "{} seed {}: refused {reason}: {}, answered after p50 {:.1} p99 {:.1} max {:.1} ms",
                result.scenario.name,
                result.scenario.seed,
                times.count,
                times.p50,
                times.p99,
                times.max,
            );
        }
    }
    text
}

/// Row of one group.
#[must_use]
pub fn row(group: &Group<'_>) -> String {
    let ideal = |quantile: fn(&crate::results::Quantiles) -> f64| {
        format!("{:.0}", group.spread(|result| quantile(&result.ideal)).median)
    };
    let scenario = &group.first().scenario;
    let cells = [
        scenario.name.clone(),
        scenario.policy.clone(),
        format!("{:.2}", scenario.arrivals.load),
        group.results.len().to_string(),
        spread(group.spread(|result| result.measured.p50), 1),
        spread(group.spread(|result| result.measured.p90), 1),
        spread(group.spread(|result| result.measured.p99), 1),
        format!("{}/{}/{}", ideal(|q| q.p50), ideal(|q| q.p90), ideal(|q| q.p99)),
        spread(group.spread(|result| ratio(result.measured.p50, result.ideal.p50)), 3),
        spread(group.spread(|result| ratio(result.measured.p90, result.ideal.p90)), 3),
        spread(group.spread(|result| ratio(result.measured.p99, result.ideal.p99)), 3),
        spread(
            group.spread(|result| ratio(result.counts.complete as f64, result.counts.due as f64)),
            4,
        ),
        spread(group.spread(|result| result.waste.per_completed), 3),
        format!("{:.0}", group.sum(broken)),
    ];
    format!("| {} |", cells.join(" | "))
}

/// Broken promises by callers' and programs' own checks.
pub(super) fn broken(result: &crate::results::RunResult) -> f64 {
    result.violations.total() as f64 + result.invariant_breaches
}

/// Ratio, or zero.
pub(super) fn ratio(over: f64, under: f64) -> f64 {
    if under > 0.0 { over / under } else { 0.0 }
}

/// Median, with least and most where they differ.
pub(super) fn spread(spread: Spread, digits: usize) -> String {
    let Spread { median, least, most } = spread;
    if least == most {
        return format!("{median:.digits$}");
    }
    format!("{median:.digits$} ({least:.digits$}–{most:.digits$})")
}

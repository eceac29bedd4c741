//! A self-contained page with tables and plots.

use {
    super::{
        Group,
        markdown::{broken, ratio, spread},
        svg::{self, Plot, Scale, Series, escape},
    },
    crate::results::RunResult,
    std::fmt::Write,
};

const STYLE: &str = "body{font:14px/1.45 sans-serif;margin:2em auto;max-width:1100px;color:#222}\
table{border-collapse:collapse;margin:1em 0;font-size:12px}\
td,th{border:1px solid #ccc;padding:3px 7px;text-align:right}\
td:first-child,th:first-child{text-align:left}\
svg{max-width:760px;display:block;margin:1em 0}.bad{color:#a00;font-weight:bold}";

/// The page of all groups.
#[must_use]
pub fn page(groups: &[Group<'_>]) -> String {
    let mut text = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>sycamorerail bench</title><style>{STYLE}</style></head><body>\n\
         <h1>sycamorerail bench</h1>\n"
    );
    text.push_str(&summary(groups));
    text.push_str(&svg::draw(&curves(groups)));
    for group in groups {
        text.push_str(&section(group));
    }
    text.push_str("</body></html>\n");
    text
}

fn summary(groups: &[Group<'_>]) -> String {
    let head = [
        "scenario",
        "policy",
        "load",
        "seeds",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "ratio p50",
        "ratio p90",
        "ratio p99",
        "complete",
        "wasted per completed",
        "broken promises",
    ];
    let rows: Vec<Vec<String>> = groups.iter().map(summary_row).collect();
    table(&head, &rows)
}

fn summary_row(group: &Group<'_>) -> Vec<String> {
    let scenario = &group.first().scenario;
    let complete =
        |result: &RunResult| ratio(result.counts.complete as f64, result.counts.due as f64);
    vec![
        scenario.name.clone(),
        scenario.policy.clone(),
        format!("{:.2}", scenario.arrivals.load),
        group.results.len().to_string(),
        spread(group.spread(|result| result.measured.p50), 1),
        spread(group.spread(|result| result.measured.p90), 1),
        spread(group.spread(|result| result.measured.p99), 1),
        spread(group.spread(|result| ratio(result.measured.p50, result.ideal.p50)), 3),
        spread(group.spread(|result| ratio(result.measured.p90, result.ideal.p90)), 3),
        spread(group.spread(|result| ratio(result.measured.p99, result.ideal.p99)), 3),
        spread(group.spread(complete), 4),
        spread(group.spread(|result| result.waste.per_completed), 3),
        format!("{:.0}", group.sum(broken)),
    ]
}

fn curves(groups: &[Group<'_>]) -> Plot {
    let mut series = Vec::new();
    for (colour, group) in groups.iter().enumerate() {
        let result = group.first();
        let scenario = &result.scenario;
        let name = format!("{} {}", scenario.name, scenario.policy);
        let measured = result.curve.iter().map(|(p, measured, _)| (*p, *measured)).collect();
        let ideal = result.curve.iter().map(|(p, _, ideal)| (*p, *ideal)).collect();
        series.push(Series { name, points: measured, dashed: false, colour });
        let name = format!("{} ideal", scenario.name);
        series.push(Series { name, points: ideal, dashed: true, colour });
    }
    Plot {
        title: "Response time by percentile, first seed".to_owned(),
        x_label: "percentile".to_owned(),
        y_label: "ms".to_owned(),
        x_scale: Scale::Percentile,
        y_scale: Scale::Log,
        series,
        marks: Vec::new(),
    }
}

fn section(group: &Group<'_>) -> String {
    let result = group.first();
    let scenario = &result.scenario;
    let machine = &result.machine;
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "<h2>{} – {}, {}</h2><p>{} entries, {} upstreams with {} slots, {} organisations; {} s \
         after {} s of warm-up; build {}; {} cores, load average {:.1} before and {:.1} after; \
         round trip {} µs; the bench sent {:.2} ms late at p99.</p>",
        escape(&scenario.name),
        scenario.deployment.name(),
        escape(&scenario.policy),
        scenario.size().entries,
        scenario.size().upstreams,
        scenario.size().slots,
        scenario.size().organisations,
        scenario.duration_ms / 1_000,
        scenario.warm_up_ms / 1_000,
        escape(&machine.build),
        machine.cores,
        machine.load_before,
        machine.load_after,
        result.round_trip_us,
        result.lag.p99
    );
    if broken(result) > 0.0 {
        let examples = result.violations.examples.join(", ");
        let _ = writeln!(text, "<p class=\"bad\">Broken promises: {}</p>", escape(&examples));
    }
    text.push_str(&svg::draw(&timeline(result)));
    text.push_str(&outcomes(result));
    text.push_str(&waste(group));
    text.push_str(&usage(result));
    text
}

fn timeline(result: &RunResult) -> Plot {
    let line = |name: &str, colour, dashed, value: fn(&crate::results::Second) -> f64| Series {
        name: name.to_owned(),
        points: result
            .timeline
            .iter()
            .map(|second| (second.second as f64, value(second)))
            .collect(),
        dashed,
        colour,
    };
    let mark = |applied: &crate::fault_script::Applied| {
        (applied.at_ms as f64 / 1_000.0, applied.what.clone())
    };
    Plot {
        title: "By second of the due time, first seed".to_owned(),
        x_label: "s from the start of the load".to_owned(),
        y_label: "ms; submissions".to_owned(),
        x_scale: Scale::Linear,
        y_scale: Scale::Log,
        series: vec![
            line("median, ms", 0, false, |second| second.p50_ms),
            line("ideal median, ms", 0, true, |second| second.ideal_p50_ms),
            line("longest, ms", 1, false, |second| second.max_ms),
            line("due", 2, false, |second| second.due as f64),
            line("refused or failed", 3, false, |second| second.refused as f64),
            line("unknown, no answer", 4, false, |second| second.unknown as f64),
        ],
        marks: result.faults.iter().map(mark).collect(),
    }
}

fn outcomes(result: &RunResult) -> String {
    let rows: Vec<_> = result
        .counts
        .outcomes
        .iter()
        .map(|(outcome, count)| vec![outcome.clone(), count.to_string()])
        .collect();
    table(&["outcome/reason, first seed", "submissions"], &rows)
}

fn waste(group: &Group<'_>) -> String {
    let mut causes: Vec<&String> =
        group.results.iter().flat_map(|result| result.waste.by_cause.keys()).collect();
    causes.sort();
    causes.dedup();
    let row = |cause: &&String| {
        let per_completed = |result: &RunResult| {
            let count = result.waste.by_cause.get(*cause).copied().unwrap_or(0.0);
            count * ratio(result.waste.per_completed, result.waste.total)
        };
        vec![(*cause).clone(), spread(group.spread(per_completed), 4)]
    };
    let rows: Vec<_> = causes.iter().map(row).collect();
    table(&["wasted messages by cause", "per completed submission"], &rows)
}

fn usage(result: &RunResult) -> String {
    const MIB: f64 = 1_048_576.0;
    let row = |usage: &crate::results::ProcessUsage| {
        let cpu = usage.cpu_s.map_or_else(
            || "died".to_owned(),
            |cpu_s| format!("{:.3}", cpu_s / result.machine.window_s),
        );
        let resident = usage.end.map_or_else(
            || "died".to_owned(),
            |end| format!("{:.1}", end.resident_bytes as f64 / MIB),
        );
        vec![usage.name.clone(), cpu, resident]
    };
    let rows: Vec<_> = result.usage.iter().map(row).collect();
    table(&["process, first seed", "cores used", "resident MiB"], &rows)
}

fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let cells = |tag: &str, cells: Vec<String>| {
        let cells: Vec<_> =
            cells.iter().map(|cell| format!("<{tag}>{}</{tag}>", escape(cell))).collect();
        format!("<tr>{}</tr>", cells.concat())
    };
    let head = cells("th", head.iter().map(|&name| name.to_owned()).collect());
    let rows: Vec<_> = rows.iter().map(|row| cells("td", row.clone())).collect();
    format!("<table>{head}{}</table>\n", rows.concat())
}

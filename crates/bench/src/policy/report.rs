//! Reports on models: tables by kind, plots by second, and two settings compared over
//! the same seeds.

use {
    super::{
        Counts, ModelSettings, Outcome,
        clairvoyant::{self, Order},
        draw_jobs, most_in_time, play,
    },
    crate::report::{
        Spread,
        svg::{self, Plot, Scale, Series, escape},
    },
    std::fmt::Write,
};

/// Result of one seed.
#[derive(Clone, Debug)]
pub struct Played {
    /// The seed.
    pub seed: u64,
    /// Outcomes of the jobs.
    pub outcome: Outcome,
    /// Upper bound of the jobs on time.
    pub bound: u64,
    /// Share of the value that is reached if all jobs are known in advance and served by value.
    pub known_by_value: f64,
    /// The same, served by priority.
    pub known_by_priority: f64,
}

/// Plays settings with the seeds from 1 on.
#[must_use]
pub fn play_seeds(settings: &ModelSettings, seeds: u64) -> Vec<Played> {
    let one = |seed| {
        let jobs = draw_jobs(settings, seed);
        let known = |order| clairvoyant::serve(settings, &jobs, order).all.value_share();
        Played {
            seed,
            outcome: play(settings, seed),
            bound: most_in_time(settings, &jobs),
            known_by_value: known(Order::ByValue),
            known_by_priority: known(Order::ByPriority),
        }
    };
    (1..=seeds).map(one).collect()
}

/// A figure of counts, with its name and how it is written.
type Figure = (&'static str, fn(&Counts) -> f64);

const FIGURES: [Figure; 10] = [
    ("in time", Counts::in_time_share),
    ("late", |counts| part(counts.late, counts)),
    ("refused", |counts| part(counts.refused, counts)),
    ("refused while free", |counts| part(counts.refused_while_free, counts)),
    ("returned", |counts| part(counts.returned, counts)),
    ("returned in time", |counts| part(counts.returned_in_time, counts)),
    ("given up", |counts| part(counts.given_up, counts)),
    ("lost", |counts| part(counts.lost, counts)),
    ("failed", |counts| part(counts.failed, counts)),
    ("value", Counts::value_share),
];

fn part(count: u64, counts: &Counts) -> f64 {
    if counts.asked == 0 { 0.0 } else { count as f64 / counts.asked as f64 }
}

/// A table of shares by kind: the median over the seeds, with the least and the most.
#[must_use]
pub fn markdown(settings: &ModelSettings, played: &[Played]) -> String {
    let mut text = format!("### {}\n\n| kind | jobs |", settings.name);
    FIGURES.iter().for_each(|(name, _)| put(&mut text, format_args!(" {name} |")));
    text.push_str("\n|---|---|");
    FIGURES.iter().for_each(|_| text.push_str("---|"));
    text.push('\n');
    for (index, kind) in settings.kinds.iter().enumerate() {
        row(&mut text, &kind.name, played, |outcome| &outcome.by_kind[index]);
    }
    row(&mut text, "all", played, |outcome| &outcome.all);
    let median = |value: fn(&Played) -> f64| Spread::of(played.iter().map(value)).median;
    put(
        &mut text,
        format_args!(
            "\nAt most {:.3} in time by the bound. Room used: {:.3}. Time over the longest task alone: p50 {:.2}, \
             p99 {:.2}. Work thrown away: {:.1} core-seconds. Messages a job: {:.1}; tasks asked \
             back a job: {:.3}. Most work that came again in half a second: {:.3} of the room. Value \
             if all were known in advance, in one place: {:.3} by value, {:.3} by priority.\n",
            median(|played| played.bound as f64 / played.outcome.all.asked.max(1) as f64),
            median(|played| played.outcome.room_used),
            median(|played| quantile(&played.outcome.ratios, 0.5)),
            median(|played| quantile(&played.outcome.ratios, 0.99)),
            median(|played| played.outcome.all.wasted_core_s),
            median(|played| per_job(played.outcome.messages, played)),
            median(|played| per_job(played.outcome.recalls, played)),
            median(|played| played.outcome.return_peak),
            median(|played| played.known_by_value),
            median(|played| played.known_by_priority),
        ),
    );
    text
}

fn per_job(count: u64, played: &Played) -> f64 {
    count as f64 / played.outcome.all.asked.max(1) as f64
}

fn row(text: &mut String, name: &str, played: &[Played], pick: impl Fn(&Outcome) -> &Counts) {
    let jobs: u64 = played.iter().map(|played| pick(&played.outcome).asked).sum();
    put(text, format_args!("| {name} | {jobs} |"));
    for (_, figure) in FIGURES {
        let spread = Spread::of(played.iter().map(|played| figure(pick(&played.outcome))));
        put(text, format_args!(" {} |", spread_text(spread)));
    }
    text.push('\n');
}

fn spread_text(spread: Spread) -> String {
    format!("{:.3} ({:.3}–{:.3})", spread.median, spread.least, spread.most)
}

/// Two settings over the same seeds: the differences of the second to the first, by
/// figure, as median with least and most.
#[must_use]
pub fn compare(names: [&str; 2], first: &[Played], second: &[Played]) -> String {
    let mut text =
        format!("| figure | {} | {} | difference |\n|---|---|---|---|\n", names[0], names[1]);
    let unserved: Figure = ("unserved", Counts::unserved_share);
    for (name, figure) in FIGURES.into_iter().chain([unserved]) {
        let values = |played: &[Played]| -> Vec<f64> {
            played.iter().map(|played| figure(&played.outcome.all)).collect()
        };
        let (one, other) = (values(first), values(second));
        let differences = Spread::of(one.iter().zip(&other).map(|(one, other)| other - one));
        put(
            &mut text,
            format_args!(
                "| {name} | {:.4} | {:.4} | {:+.4} ({:+.4} to {:+.4}) |\n",
                Spread::of(one).median,
                Spread::of(other).median,
                differences.median,
                differences.least,
                differences.most,
            ),
        );
    }
    text
}

/// A page with the table and a plot by second of the first seed.
#[must_use]
pub fn html(settings: &ModelSettings, played: &[Played]) -> String {
    let mut text = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\
         </head><body><h1>{0}</h1>\n<pre>{1}</pre>\n",
        escape(&settings.name),
        escape(&markdown(settings, played)),
    );
    if let Some(first) = played.first() {
        text.push_str(&svg::draw(&by_second(first)));
    }
    text.push_str("</body></html>\n");
    text
}

fn by_second(played: &Played) -> Plot {
    let line = |name: &str, colour: usize, figure: fn(&Counts) -> f64| {
        let seconds = played.outcome.by_second.iter().enumerate();
        let points = seconds.map(|(second, counts)| (second as f64, figure(counts))).collect();
        Series { name: name.to_owned(), points, dashed: false, colour }
    };
    let lines =
        FIGURES.iter().enumerate().map(|(colour, (name, figure))| line(name, colour, *figure));
    Plot {
        title: format!("Jobs by the second in which they came, seed {}", played.seed),
        x_label: "second".to_owned(),
        y_label: "share".to_owned(),
        x_scale: Scale::Linear,
        y_scale: Scale::Linear,
        series: lines.collect(),
        marks: Vec::new(),
    }
}

/// A quantile of values, 0 where there are none.
fn quantile(values: &[f64], at: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (at * sorted.len().saturating_sub(1) as f64).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}

fn put(text: &mut String, part: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = text.write_fmt(part);
}

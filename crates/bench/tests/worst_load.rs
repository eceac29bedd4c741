//! Loads at which decisions matter most, replayed in the model: each test holds a gain
//! that was measured, at about half of its size.

use sycamorerail_bench::policy::{Counts, ModelSettings, Outcome, play};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

fn settings(name: &str) -> ModelSettings {
    let path = format!("{}/../../examples/policy/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
    ModelSettings::parse(&std::fs::read_to_string(path).unwrap()).unwrap()
}

fn outcomes(name: &str) -> Vec<Outcome> {
    let settings = settings(name);
    SEEDS.map(|seed| play(&settings, seed)).collect()
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

/// A tenth more than fits, for as long as it lasts. By forecasts alone 30 % of the urgent
/// jobs and 58 % of all were in time; with those turned away first that go last, 56 and
/// 68 %, and not more are refused.
#[test]
fn urgent_jobs_are_served_under_a_lasting_overload() {
    let outcomes = outcomes("lasting-overload");
    let urgent = mean(&outcomes, |outcome| outcome.by_kind[0].in_time_share());
    let all = mean(&outcomes, |outcome| outcome.all.in_time_share());
    let unserved = mean(&outcomes, |outcome| outcome.all.unserved_share());
    assert!(urgent > 0.43, "{urgent}");
    assert!(all > 0.63, "{all}");
    assert!(unserved < 0.26, "{unserved}");
}

/// Nearly twice the usual load for eight seconds: 59 % of the urgent jobs in time by
/// forecasts alone, 75 % with those turned away first that go last.
#[test]
fn urgent_jobs_are_served_in_a_burst() {
    let outcomes = outcomes("burst");
    let urgent = mean(&outcomes, |outcome| outcome.by_kind[0].in_time_share());
    let all = mean(&outcomes, |outcome| outcome.all.in_time_share());
    assert!(urgent > 0.67, "{urgent}");
    assert!(all > 0.80, "{all}");
}

/// The least urgent kind, which has the largest jobs, is not starved by it.
#[test]
fn the_least_urgent_are_served_too() {
    for name in ["burst", "worst-load", "lasting-overload"] {
        let least = mean(&outcomes(name), |outcome| outcome.by_kind[1].in_time_share());
        assert!(least > 0.6, "{name} {least}");
    }
}

/// At the usual load nearly nothing is turned away.
#[test]
fn nothing_is_turned_away_at_the_usual_load() {
    let outcomes = outcomes("usual-load");
    let refused = |counts: &Counts| counts.refused as f64 / counts.asked as f64;
    assert!(mean(&outcomes, |outcome| refused(&outcome.all)) < 0.005);
    assert!(mean(&outcomes, |outcome| outcome.all.in_time_share()) > 0.98);
}

/// 55 entries before 240 upstreams that are 70 % taken. With a link from each agent to each
/// entry 60 % of all jobs and 34 % of the most urgent were in time; with links to some
/// entries and an order of agents of each entry's own, 99 and 97 %.
#[test]
fn many_entries_decide_as_well_as_few() {
    let settings = settings("many-entries");
    let outcome = play(&settings, 1);
    assert!(outcome.all.in_time_share() > 0.98, "{:?}", outcome.all);
    assert!(outcome.by_kind[0].in_time_share() > 0.95, "{:?}", outcome.by_kind[0]);
    let jobs = outcome.all.asked as f64;
    assert!(outcome.messages as f64 / jobs < 65.0);

    let few = play(&ModelSettings { entries: 5, ..settings }, 1);
    assert!(outcome.all.in_time_share() >= few.all.in_time_share() - 0.01);
}

/// Wide jobs at 95 % of the room, without a fault: what was given up half done was counted as
/// failed.
#[test]
fn no_job_fails_without_a_fault() {
    let outcome = play(&settings("wide-jobs"), 1);
    assert_eq!(outcome.all.failed + outcome.all.lost, 0, "{:?}", outcome.all);
}

/// Three quarters of the room taken, a quarter of the upstreams at half the speed or at twice the
/// speed of the others.
#[test]
fn upstreams_of_unequal_speed_serve_as_much_as_equal_ones() {
    for name in ["unequal-burst", "fast-quarter"] {
        let outcome = play(&settings(name), 1);
        assert!(outcome.all.in_time_share() > 0.97, "{name} {:?}", outcome.all);
        assert!(outcome.by_kind[1].in_time_share() > 0.97, "{name} {:?}", outcome.by_kind[1]);
        assert!(outcome.all.unserved_share() < 0.02, "{name} {:?}", outcome.all);
    }
}

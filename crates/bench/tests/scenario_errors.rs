//! Errors of scenarios name the field and what is allowed there.

use sycamorerail_bench::scenario::{Scenario, ScenarioError};

const GOOD: &str = "
name: calm
deployment: rangmancha
warm_up_ms: 1000
duration_ms: 5000
arrivals: {load: 0.8}
faults:
  - {at_ms: 10, fault: platform_slow, target: platform, delay_ms: 50}
";

fn error(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from));
    Scenario::parse(&GOOD.replace(from, to)).unwrap_err().to_string()
}

#[test]
fn good_one() {
    let scenario = Scenario::parse(GOOD).unwrap();
    assert_eq!(scenario.size().total_slots(), 80);
    assert_eq!(scenario.end_ms(), 6_000);
}

#[test]
fn field_out_of_range() {
    insta::assert_snapshot!(error("load: 0.8", "load: 0"), @"arrivals.load: must be above 0, at most 20");
    insta::assert_snapshot!(
        error(", delay_ms: 50", ""),
        @"faults[0].delay_ms: must be given with platform_slow"
    );
    insta::assert_snapshot!(
        error("{load: 0.8}", "{load: 0.8, bursts: {every_ms: 10, length_ms: 10, factor: 3}}"),
        @"arrivals.bursts.length_ms: must be below every_ms"
    );
}

#[test]
fn field_unknown() {
    assert!(error("{load: 0.8}", "{lode: 0.8}").starts_with("arrivals: unknown field `lode`"));
    assert!(error("fault: platform_slow", "fault: flood").starts_with("faults[0].fault: unknown"));
}

#[test]
fn field_of_other_type() {
    assert!(error("load: 0.8", "load: high").starts_with("arrivals.load: invalid type"));
    assert!(error("warm_up_ms: 1000", "").contains("missing field `warm_up_ms`"));
}

#[test]
fn all_at_once() {
    let yaml = GOOD.replace("name: calm", "name: Calm!").replace("load: 0.8", "load: -1");
    let Err(ScenarioError::Fields(errors)) = Scenario::parse(&yaml) else {
        panic!("expected field errors");
    };
    let fields: Vec<&str> = errors.iter().map(|err| err.field.as_str()).collect();
    assert_eq!(fields, ["name", "arrivals.load"]);
}

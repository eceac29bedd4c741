//! Callers that are refused and come again, replayed in the model.

use sycamorerail_bench::policy::{Burst, ModelSettings, Outcome, play};

/// One second in which long jobs ask for twice the room, and every refused caller comes again to
/// the same entry.
fn peak_of_long_jobs() -> ModelSettings {
    let path =
        format!("{}/../../examples/policy/returning-callers.yaml", env!("CARGO_MANIFEST_DIR"));
    let mut settings = ModelSettings::parse(&std::fs::read_to_string(path).unwrap()).unwrap();
    settings.seconds = 9;
    let kind = Some("long".to_owned());
    settings.bursts = vec![Burst { at_s: 2.0, for_s: 1.0, factor: 12.0, kind }];
    for kind in &mut settings.kinds {
        (kind.returning, kind.sticky) = (1.0, 1.0);
    }
    settings
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

/// Guards against callers that are refused together and return together: without the schedule,
/// 1.4 to 1.6 of the room returned within half a second, and 47 % of it was on time.
#[test]
fn returns_fit_the_room() {
    let settings = peak_of_long_jobs();
    let outcomes: Vec<_> = (1..=3).map(|seed| play(&settings, seed)).collect();
    let in_time = mean(&outcomes, |outcome| {
        let long = &outcome.by_kind[1];
        long.returned_in_time as f64 / long.returned as f64
    });
    for outcome in &outcomes {
        assert!(outcome.return_peak < 1.0, "peak {}", outcome.return_peak);
    }
    assert!(in_time > 0.55, "in time {in_time}");
}

//! Tests which changes of an upstream's load are reported at once.

use {
    sycamorerail_decide::ledger::is_significant_change,
    sycamorerail_wire::runs::{Resources, UpstreamLoad},
};

fn load() -> UpstreamLoad {
    UpstreamLoad {
        usable: true,
        taken: Resources { cpu_milli: 4_000, ..Resources::default() },
        running_milli_ms: 400_000,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    }
}

#[test]
fn passing_time_is_not_a_significant_change() {
    assert!(!is_significant_change(&load(), &UpstreamLoad { running_milli_ms: 396_000, ..load() }));
    assert!(!is_significant_change(&load(), &UpstreamLoad { slowness_percent: 110, ..load() }));
    let arriving_milli = [8_000, 0, 0, 0];
    assert!(!is_significant_change(&load(), &UpstreamLoad { arriving_milli, ..load() }));
}

#[test]
fn capacity_queues_and_penalties_are_significant_changes() {
    let taken = Resources { cpu_milli: 5_000, ..Resources::default() };
    assert!(is_significant_change(&load(), &UpstreamLoad { taken, ..load() }));
    assert!(is_significant_change(&load(), &UpstreamLoad { waiting: 1, ..load() }));
    assert!(is_significant_change(
        &load(),
        &UpstreamLoad { waiting_milli_ms: [0, 1, 0, 0], ..load() }
    ));
    assert!(is_significant_change(&load(), &UpstreamLoad { usable: false, ..load() }));
    assert!(is_significant_change(&load(), &UpstreamLoad { slowness_percent: 130, ..load() }));
    assert!(is_significant_change(&load(), &UpstreamLoad { failing_percent: 25, ..load() }));
}

//! Quantiles of results.

use sycamorerail_bench::results::quantiles;

#[test]
fn known_values() {
    let found = quantiles((1..=1_000).map(|ms| ms * 1_000), 1_000.0);
    let near = |value: f64, expected: f64| (value / expected - 1.0).abs() < 0.002;
    assert_eq!(found.count, 1_000);
    assert!(
        near(found.p50, 500.0) && near(found.p90, 900.0) && near(found.p99, 990.0),
        "{found:?}"
    );
    assert!(near(found.max, 1_000.0) && near(found.mean, 500.5), "{found:?}");
}

#[test]
fn no_values() {
    assert_eq!(quantiles([], 1.0).count, 0);
}

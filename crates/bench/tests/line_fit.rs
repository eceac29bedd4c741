//! Fit of a line.

use {proptest::prelude::*, sycamorerail_bench::fit::line};

#[test]
fn known_points() {
    // By hand: slope 0.6, intercept 2.2, residual 2.4 over 3 × 10.
    let fit = line(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0), (5.0, 5.0)]).unwrap();
    assert!((fit.slope - 0.6).abs() < 1e-9);
    assert!((fit.intercept - 2.2).abs() < 1e-9);
    assert!((fit.slope_error.unwrap() - 0.08_f64.sqrt()).abs() < 1e-9);
    assert!((fit.r_squared - 0.6).abs() < 1e-9);
}

#[test]
fn too_few() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(line(&[(0.0, 1.0), (2.0, 5.0)]).unwrap().slope_error, None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn exact_line(
        slope in -100.0_f64..100.0,
        intercept in -100.0_f64..100.0,
        xs in prop::collection::btree_set(0_u16..1_000, 3..20),
    ) {
        let points: Vec<(f64, f64)> =
            xs.iter().map(|&x| (f64::from(x), intercept + slope * f64::from(x))).collect();
        let fit = line(&points).unwrap();
        prop_assert!((fit.slope - slope).abs() < 1e-6);
        prop_assert!((fit.intercept - intercept).abs() < 1e-4);
        prop_assert!(fit.slope_error.unwrap() < 1e-6);
    }
}

//! Estimates: correction of wrong declarations, effect of stragglers, percentiles.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    sycamorerail_decide::{
        estimate::{Estimates, Histogram},
        view::{KindKey, UpstreamKey},
    },
};

const KIND: KindKey = KindKey(1);
const HERE: UpstreamKey = UpstreamKey(1);
const ELSEWHERE: UpstreamKey = UpstreamKey(2);

fn declared(run_ms: u32) -> Estimates {
    let mut estimates = Estimates::default();
    estimates.declare(KIND, run_ms, 1_000);
    estimates
}

fn observe(estimates: &mut Estimates, runs_us: &[u64]) {
    runs_us.iter().for_each(|&run_us| estimates.observe_run(KIND, HERE, run_us, 0));
}

fn ratio(estimated: f64, truth: f64) -> f64 {
    (estimated / truth).max(truth / estimated)
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// A declaration that is wrong by up to a factor of ten is corrected to within a
    /// quarter of the mean by 20 observations, for this and for other upstreams.
    #[test]
    fn wrong_declaration(
        declared_ms in 5u32..50_000, runs in vec(0.5f64..1.5, 20), wrong in -1.0f64..1.0,
    ) {
        let truth_us = f64::from(declared_ms) * 1e3 * 10f64.powf(wrong);
        let runs_us: Vec<_> = runs.iter().map(|it| (it * truth_us) as u64).collect();
        let mean_us = runs_us.iter().sum::<u64>() as f64 / 20.0;
        let mut estimates = declared(declared_ms);
        observe(&mut estimates, &runs_us);
        prop_assert!(ratio(estimates.run_us(KIND, HERE), mean_us) < 1.25);
        prop_assert!(ratio(estimates.run_us(KIND, ELSEWHERE), mean_us) < 1.25);
        prop_assert!(ratio(f64::from(estimates.kind_run_ms(KIND)) * 1e3, mean_us) < 1.6);
    }

    /// One straggler, however slow, moves the estimate by less than half.
    #[test]
    fn single_straggler(before in 20usize..200, straggler_us in 1_000_000u64..100_000_000_000) {
        let mut estimates = declared(100);
        observe(&mut estimates, &vec![100_000; before]);
        observe(&mut estimates, &[straggler_us]);
        prop_assert!(estimates.run_us(KIND, HERE) < 150_000.0);
    }

    /// A percentile is within one bucket of the exact percentile of the observations.
    #[test]
    fn percentile_error(runs in vec(1.0f64..1e9, 1..300), percent in 1u8..100) {
        let mut histogram = Histogram::default();
        runs.iter().for_each(|&it| histogram.observe(it));
        let mut sorted = runs;
        sorted.sort_by(f64::total_cmp);
        let rank = (sorted.len() as f64 * f64::from(percent) / 100.0).ceil().max(1.0) as usize;
        let truth = sorted[rank - 1];
        let upper = histogram.percentile(percent.into());
        let lower = histogram.lower_percentile(percent.into());
        prop_assert!(lower <= truth * 1.0001 && truth <= upper * 1.0001);
        prop_assert!(upper / lower < 1.2);
    }
}

#[test]
fn declared_alone() {
    let estimates = declared(70);
    assert_eq!(estimates.run_us(KIND, HERE), 70_000.0);
    assert_eq!(estimates.kind_run_ms(KIND), 70);
    assert_eq!(estimates.size_bytes(KIND), 1_000);
    assert_eq!(estimates.upstream_run_us(HERE), 0);
    assert_eq!(estimates.run_percentile_us(KIND, 95), None);
    assert_eq!(estimates.least_run_ms(KIND, 0), 0);
}

#[test]
fn slow_upstream() {
    let mut estimates = declared(100);
    let other = KindKey(2);
    estimates.declare(other, 1_000, 0);
    for _ in 0..200 {
        estimates.observe_run(KIND, ELSEWHERE, 100_000, 0);
        estimates.observe_run(KIND, UpstreamKey(3), 100_000, 0);
    }
    observe(&mut estimates, &[300_000; 10]);
    estimates.observe_run(other, ELSEWHERE, 1_000_000, 0);
    assert!(estimates.run_us(other, HERE) > 2.0 * estimates.run_us(other, ELSEWHERE));
    estimates.forget_upstream(HERE);
    assert!(ratio(estimates.run_us(other, HERE), 1_000_000.0) < 1.01);
}

#[test]
fn changed_times() {
    let mut estimates = declared(100);
    observe(&mut estimates, &vec![100_000; 10_000]);
    observe(&mut estimates, &[400_000; 100]);
    assert!(ratio(estimates.run_us(KIND, HERE), 400_000.0) < 1.1);
    observe(&mut estimates, &vec![400_000; 10_000]);
    assert!(estimates.run_percentile_us(KIND, 50).unwrap() > 390_000);
}

#[test]
fn least_run() {
    let mut estimates = declared(60_000);
    observe(&mut estimates, &[200_000; 30]);
    let least_ms = estimates.least_run_ms(KIND, 10_000);
    assert!((160..=200).contains(&least_ms), "{least_ms}");
    assert_eq!(estimates.least_run_ms(KIND, 10_001), 0);
}

#[test]
fn observed_size() {
    let mut estimates = declared(100);
    (0..20).for_each(|_| estimates.observe_size(KIND, 50_000));
    assert!((50_000..60_000).contains(&estimates.size_bytes(KIND)));
}

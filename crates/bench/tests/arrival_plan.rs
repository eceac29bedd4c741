//! Arrivals are drawn from the seed and fill the share of slots asked for.

use {
    proptest::prelude::*,
    sycamorerail_bench::{
        arrivals::{Unit, plan},
        scenario::Scenario,
    },
};

fn scenario(seed: u64, arrivals: &str) -> Scenario {
    let yaml = format!(
        "{{name: test, deployment: alpenfunk, seed: {seed}, warm_up_ms: 0, \
         duration_ms: 600000, arrivals: {arrivals}}}"
    );
    Scenario::parse(&yaml).unwrap()
}

#[test]
fn same_seed() {
    let arrivals = plan(&scenario(3, "{load: 0.5}"));
    assert_eq!(arrivals, plan(&scenario(3, "{load: 0.5}")));
    assert_ne!(arrivals, plan(&scenario(4, "{load: 0.5}")));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at_us));
}

#[test]
fn load_met() {
    let arrivals = plan(&scenario(1, "{load: 0.8}"));
    let busy_ms: u64 = arrivals.iter().flat_map(|a| &a.run_ms).map(|&ms| u64::from(ms)).sum();
    let load = busy_ms as f64 / (80.0 * 600_000.0);
    assert!((load - 0.8).abs() < 0.04, "load {load}");
}

#[test]
fn bursts_come() {
    let bursts = "{load: 0.5, bursts: {every_ms: 10000, length_ms: 2000, factor: 3}}";
    let arrivals = plan(&scenario(1, bursts));
    let in_burst = arrivals.iter().filter(|a| a.at_us % 10_000_000 >= 8_000_000).count() as f64;
    let share = in_burst / arrivals.len() as f64;
    // Of 8 + 2 × 3 shares, 6 fall into bursts.
    assert!((share - 6.0 / 14.0).abs() < 0.03, "share {share}");
}

#[test]
fn flood_adds() {
    let flood = "{load: 0.5, flood: {organisation: 2, from_ms: 60000, until_ms: 120000, load: 3}}";
    let with = plan(&scenario(1, flood));
    let without = plan(&scenario(1, "{load: 0.5}"));
    assert!(with.is_sorted_by_key(|arrival| arrival.at_us));
    let added: Vec<_> = with.iter().filter(|arrival| !without.contains(arrival)).collect();
    assert_eq!(added.len() + without.len(), with.len(), "the others are as without it");
    assert!(
        added.iter().all(|a| a.organisation == 2 && (60_000_000..120_000_000).contains(&a.at_us))
    );
    let busy_ms: u64 = added.iter().flat_map(|a| &a.run_ms).map(|&ms| u64::from(ms)).sum();
    let load = busy_ms as f64 / (80.0 * 60_000.0);
    assert!((load - 3.0).abs() < 0.3, "load {load}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    #[test]
    fn tasks_in_range(seed: u64, max_tasks in 1_u16..170) {
        let arrivals = plan(&scenario(seed, &format!("{{load: 0.5, max_job_tasks: {max_tasks}}}")));
        for arrival in arrivals {
            let tasks = arrival.run_ms.len();
            prop_assert!((1..=usize::from(max_tasks)).contains(&tasks));
            prop_assert!(arrival.unit == Unit::Job || tasks == 1);
            prop_assert!(arrival.run_ms.iter().all(|ms| (50..=8_000).contains(ms)));
            prop_assert!(arrival.kind < 3 && arrival.organisation < 3);
        }
    }
}

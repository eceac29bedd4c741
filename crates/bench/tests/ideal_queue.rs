//! The ideal queue never beats the run time and meets known queues.

use {
    proptest::prelude::*,
    rand::{SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp1},
    sycamorerail_bench::{
        arrivals::{Arrival, Unit},
        ideal::response_us,
    },
};

const TASKS: usize = 200_000;

fn single(at_us: u64, run_ms: u32) -> Arrival {
    Arrival { at_us, organisation: 0, kind: 0, unit: Unit::Request, run_ms: vec![run_ms] }
}

fn mean_wait_us(slots: u32, utilisation: f64, run_ms: impl Fn(&mut SmallRng) -> u32) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mean_gap_us = 1_000_000.0 / f64::from(slots) / utilisation;
    let mut at_us = 0.0;
    let mut arrivals = Vec::new();
    for _ in 0..TASKS {
        let gap: f64 = Exp1.sample(&mut rng);
        at_us += gap * mean_gap_us;
        arrivals.push(single(at_us as u64, run_ms(&mut rng)));
    }
    let responses = response_us(&arrivals, slots, 0);
    let waits = responses.iter().zip(&arrivals).map(|(response, arrival)| {
        assert!(*response >= u64::from(arrival.run_ms[0]) * 1_000);
        *response as f64 - f64::from(arrival.run_ms[0]) * 1_000.0
    });
    waits.sum::<f64>() / TASKS as f64
}

fn assert_near(found: f64, expected: f64) {
    assert!((found / expected - 1.0).abs() < 0.05, "found {found}, expected {expected}");
}

#[test]
fn fixed_run_times() {
    // M/D/1: wait = utilisation / (2 (1 - utilisation)) run times.
    assert_near(mean_wait_us(1, 0.5, |_| 1_000), 500_000.0);
    assert_near(mean_wait_us(1, 0.8, |_| 1_000), 2_000_000.0);
}

#[test]
fn two_slots() {
    // M/M/2: wait = utilisation² / (1 - utilisation²) run times.
    let exponential = |rng: &mut SmallRng| {
        let draw: f64 = Exp1.sample(rng);
        (draw * 1_000.0).round() as u32
    };
    assert_near(mean_wait_us(2, 0.5, exponential), 333_333.0);
    // M/D/c by Cosmetatos: half of M/M/c, times a correction of 1.0136 here.
    assert_near(mean_wait_us(2, 0.8, |_| 1_000), 901_100.0);
}

#[test]
fn regular_arrivals() {
    let arrivals: Vec<Arrival> = (0..100).map(|n| single(n * 500_000, 1_000)).collect();
    assert!(response_us(&arrivals, 2, 300).iter().all(|&us| us == 1_000_300));
    let one_slot = response_us(&arrivals, 1, 0);
    assert_eq!(one_slot[99], 1_000_000 + 99 * 500_000);
    assert!(response_us(&arrivals, 0, 0).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn never_below_run_time(
        gaps in prop::collection::vec((0_u64..500_000, prop::collection::vec(1_u32..2_000, 1..10)), 1..60),
        slots in 1_u32..20,
        round_trip_us in 0_u64..5_000,
    ) {
        let mut at_us = 0;
        let arrivals: Vec<Arrival> = gaps
            .into_iter()
            .map(|(gap_us, run_ms)| {
                at_us += gap_us;
                Arrival { at_us, organisation: 0, kind: 0, unit: Unit::Job, run_ms }
            })
            .collect();
        let responses = response_us(&arrivals, slots, round_trip_us);
        let with_more = response_us(&arrivals, slots + 1_000, round_trip_us);
        for (index, arrival) in arrivals.iter().enumerate() {
            let longest_us = u64::from(*arrival.run_ms.iter().max().unwrap()) * 1_000;
            prop_assert!(responses[index] >= longest_us + round_trip_us);
            prop_assert_eq!(with_more[index], longest_us + round_trip_us);
        }
    }
}

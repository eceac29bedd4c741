//! Retries and hedges: conditions, cost, and the bound on their number.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::SmallRng},
    sycamorerail_decide::{
        hedge::{Hedge, RunningRequest, decide_hedge},
        retry::{FailedAttempt, MAX_SAVED_RETRIES, RetryBudget, backoff_ms, retry_after_ms},
    },
    sycamorerail_wire::answer::Reason,
};

fn failed() -> FailedAttempt {
    FailedAttempt {
        repeatable: true,
        attempts: 1,
        max_attempts: 3,
        left_ms: 1_000,
        least_run_ms: 100,
        reason: Reason::UpstreamBroken,
    }
}

fn running() -> RunningRequest {
    RunningRequest {
        repeatable: true,
        prefers_time: true,
        slow_after_us: Some(200_000),
        attempts: 1,
        max_attempts: 2,
        placed_at_ms: 1_000,
        deadline_ms: 5_000,
    }
}

fn retry(failed: &FailedAttempt, budget: &RetryBudget) -> Result<u64, Reason> {
    retry_after_ms(failed, budget, &mut SmallRng::seed_from_u64(1))
}

fn spent() -> RetryBudget {
    let budget = RetryBudget::default();
    while budget.spend() {}
    budget
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// In any sequence, there are no more retries than a tenth of the successes plus
    /// the initial budget.
    #[test]
    fn retries_bounded_by_successes(succeeded in vec(any::<bool>(), 0..2_000)) {
        let budget = RetryBudget::default();
        let (mut successes, mut retries) = (0, 0);
        for succeeded in succeeded {
            if succeeded {
                budget.earn();
                successes += 1;
            } else if retry(&failed(), &budget).is_ok() {
                retries += 1;
            }
            prop_assert!(retries <= MAX_SAVED_RETRIES + successes / 10);
        }
    }

    /// A retry happens only if its kind allows it and it can end before the deadline.
    #[test]
    fn allowed_only(
        repeatable: bool, attempts in 1u8..6, max_attempts in 1u8..6,
        left_ms in 0u64..1_000, least_run_ms in 0u64..1_000,
    ) {
        let failed =
            FailedAttempt { repeatable, attempts, max_attempts, left_ms, least_run_ms, ..failed() };
        match retry(&failed, &RetryBudget::default()) {
            Ok(pause_ms) => {
                prop_assert!(repeatable && attempts < max_attempts);
                prop_assert!(pause_ms + least_run_ms <= left_ms);
            }
            Err(Reason::UpstreamBroken) => prop_assert!(!repeatable || attempts >= max_attempts),
            Err(reason) => prop_assert_eq!(reason, Reason::DeadlinePassed),
        }
    }

    /// A pause is the requested minimum plus a random time below a doubling bound.
    #[test]
    fn backoff_bound(repetitions: u8, min_ms in 0u64..1_000, seed: u64) {
        let pause_ms = backoff_ms(repetitions, min_ms, &mut SmallRng::seed_from_u64(seed));
        let bound_ms = (4u64 << repetitions.saturating_sub(1).min(10)).min(500);
        prop_assert!((min_ms + 1..=min_ms + bound_ms).contains(&pause_ms));
    }

    /// A hedge happens only if its kind allows it, late enough, and if the budget pays.
    #[test]
    fn hedge_rules(
        repeatable: bool, prefers_time: bool, attempts in 1u8..4, max_attempts in 1u8..4,
        slow_after_us in proptest::option::of(1u64..3_000_000), free: bool, has_budget: bool,
        now_ms in 1_000u64..6_000,
    ) {
        let budget = if has_budget { RetryBudget::default() } else { spent() };
        let running = RunningRequest {
            repeatable, prefers_time, attempts, max_attempts, slow_after_us, ..running()
        };
        match decide_hedge(&running, &budget, free, now_ms) {
            Hedge::Now => {
                prop_assert!(repeatable && prefers_time && free && has_budget);
                prop_assert!(attempts == 1 && max_attempts > 1 && now_ms < running.deadline_ms);
                prop_assert!((now_ms - 1_000) * 1_000 >= slow_after_us.unwrap());
            }
            Hedge::RecheckAt(at_ms) => prop_assert!(at_ms > now_ms && repeatable && prefers_time),
            Hedge::Never => {}
        }
    }
}

#[test]
fn spent_budget() {
    assert_eq!(retry(&failed(), &spent()), Err(Reason::RetryBudget));
    let budget = spent();
    (0..10).for_each(|_| budget.earn());
    assert!(retry(&failed(), &budget).is_ok());
}

#[test]
fn refused_costs_nothing() {
    let budget = spent();
    (0..10).for_each(|_| budget.earn());
    let too_late = FailedAttempt { left_ms: 50, ..failed() };
    assert_eq!(retry(&too_late, &budget), Err(Reason::DeadlinePassed));
    assert!(budget.spend());
}

#[test]
fn hedge_times() {
    let budget = RetryBudget::default();
    assert_eq!(decide_hedge(&running(), &budget, true, 1_000), Hedge::RecheckAt(1_200));
    assert_eq!(decide_hedge(&running(), &budget, true, 1_200), Hedge::Now);
    assert_eq!(decide_hedge(&running(), &budget, false, 1_200), Hedge::RecheckAt(1_400));
    assert_eq!(decide_hedge(&running(), &spent(), true, 1_200), Hedge::RecheckAt(1_400));
    assert_eq!(decide_hedge(&running(), &budget, true, 5_000), Hedge::Never);
    let hedged = RunningRequest { attempts: 2, max_attempts: 3, ..running() };
    assert_eq!(decide_hedge(&hedged, &budget, true, 1_200), Hedge::Never);
    let unknown = RunningRequest { slow_after_us: None, ..running() };
    assert_eq!(decide_hedge(&unknown, &budget, true, 4_000), Hedge::Never);
}

//! Schedule of returns of refused callers: the delays, and which jobs return at their time.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    sycamorerail_decide::dispatch::returns::{
        MAX_PROMISES, RETURN_RANGE_MS, RETURN_WINDOW_MS, ReturnSchedule,
    },
    sycamorerail_wire::runs::CallerJobId,
};

const NOW_MS: u64 = 10_000;
/// Work of 100 ms at the rate [`RATE_MILLI`].
const WORK_MILLI_MS: u64 = 200_000;
const RATE_MILLI: u64 = 2_000;

fn promise(schedule: &mut ReturnSchedule, id: u64, priority: u8) -> u64 {
    let id = CallerJobId(id);
    schedule.promise(id, priority, WORK_MILLI_MS, RATE_MILLI, NOW_MS).into()
}

#[test]
fn callers_return_one_after_another() {
    let mut schedule = ReturnSchedule::default();
    let delays_ms: Vec<_> = (0..3).map(|id| promise(&mut schedule, id, 1)).collect();
    assert_eq!(delays_ms, [100, 200, 300]);
}

#[test]
fn less_urgent_callers_return_later() {
    let mut schedule = ReturnSchedule::default();
    promise(&mut schedule, 1, 0);
    assert_eq!(promise(&mut schedule, 2, 2), 200);
    assert_eq!(promise(&mut schedule, 3, 1), 200);
    assert_eq!(promise(&mut schedule, 4, 0), 200);
    // Behind two urgent jobs, one of priority 1, and one of its own.
    assert_eq!(promise(&mut schedule, 5, 2), 500);
}

/// Guards against a schedule that stays behind after the time of its promises.
#[test]
fn past_promises_delay_nobody() {
    let mut schedule = ReturnSchedule::default();
    for id in 0..10 {
        promise(&mut schedule, id, 1);
    }
    let delay_ms = schedule.promise(CallerJobId(20), 1, WORK_MILLI_MS, RATE_MILLI, NOW_MS + 2_000);
    assert_eq!(delay_ms, 100);
}

#[test]
fn a_promise_is_redeemed_once() {
    let mut schedule = ReturnSchedule::default();
    let at_ms = NOW_MS + promise(&mut schedule, 1, 1);
    assert!(!schedule.redeem(CallerJobId(2), at_ms));
    assert!(schedule.redeem(CallerJobId(1), at_ms));
    assert!(!schedule.redeem(CallerJobId(1), at_ms));
    assert_eq!(schedule.counts().redeemed, 1);
}

#[test]
fn late_returns_have_no_right() {
    let mut schedule = ReturnSchedule::default();
    let at_ms = NOW_MS + promise(&mut schedule, 1, 1);
    promise(&mut schedule, 2, 1);
    assert!(!schedule.redeem(CallerJobId(1), at_ms + RETURN_WINDOW_MS + 1));
    assert!(schedule.redeem(CallerJobId(2), at_ms + RETURN_WINDOW_MS));
}

/// Guards against callers that return again and again before their time and would push all
/// others back.
#[test]
fn early_returns_keep_their_time() {
    let mut schedule = ReturnSchedule::default();
    promise(&mut schedule, 1, 1);
    promise(&mut schedule, 2, 1);
    for _ in 0..5 {
        assert!(!schedule.redeem(CallerJobId(2), NOW_MS + 50));
        let again = schedule.promise(CallerJobId(2), 1, WORK_MILLI_MS, RATE_MILLI, NOW_MS + 50);
        assert_eq!(again, 150);
    }
    assert_eq!(promise(&mut schedule, 3, 1), 300);
    assert_eq!(schedule.counts().early, 5);
    assert!(schedule.redeem(CallerJobId(2), NOW_MS + 200));
}

/// Guards against promises beyond the capacity of the longest delay.
#[test]
fn later_callers_have_no_promise() {
    let mut schedule = ReturnSchedule::default();
    let delays_ms: Vec<_> = (0..100).map(|id| promise(&mut schedule, id, 1)).collect();
    assert_eq!(delays_ms[99], RETURN_RANGE_MS.1);
    assert_eq!(schedule.len(), 50);
    assert!(!schedule.redeem(CallerJobId(99), NOW_MS + RETURN_RANGE_MS.1));
    assert_eq!(schedule.promise(CallerJobId(200), 0, 1, 0, NOW_MS), 5_000);
}

#[test]
fn the_oldest_promises_are_evicted() {
    let mut schedule = ReturnSchedule::default();
    let count = MAX_PROMISES as u64 + 10;
    for id in 0..count {
        schedule.promise(CallerJobId(id), 1, 1, RATE_MILLI, NOW_MS);
    }
    assert_eq!(schedule.len(), MAX_PROMISES);
    assert!(!schedule.redeem(CallerJobId(9), NOW_MS + 1_000));
    assert!(schedule.redeem(CallerJobId(10), NOW_MS + 1_000));
}

/// A refused job: its priority, its work, and the time since the last one.
type Refused = (u8, u64, u64);

fn refused() -> impl Strategy<Value = Vec<Refused>> {
    vec((0u8..4, 1u64..2_000_000, 0u64..100), 1..200)
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// In any interval, the promised work of a priority or higher is at most that done at the rate,
    /// but for the last job. Each delay is within its range, and each promise is redeemed once.
    #[test]
    fn promises_fit_the_rate(jobs in refused(), rate_milli in 100u64..20_000) {
        let mut schedule = ReturnSchedule::default();
        let mut now_ms = NOW_MS;
        let mut promised = Vec::new();
        for (id, (_, work_milli_ms, pause_ms)) in jobs.into_iter().enumerate() {
            now_ms += pause_ms;
            let id = CallerJobId(id as u64);
            let before = schedule.counts().promised;
            let delay_ms = schedule.promise(id, 1, work_milli_ms, rate_milli, now_ms).into();
            prop_assert!((RETURN_RANGE_MS.0..=RETURN_RANGE_MS.1).contains(&delay_ms));
            if schedule.counts().promised > before {
                promised.push((now_ms + delay_ms, work_milli_ms, id));
            }
        }
        for (index, (from_ms, ..)) in promised.iter().enumerate() {
            let mut work_milli_ms = 0;
            for (until_ms, work, _) in &promised[index..] {
                // Delays are rounded up to a millisecond.
                prop_assert!(work_milli_ms <= rate_milli * (until_ms - from_ms + 1));
                work_milli_ms += work;
            }
        }
        for (due_ms, _, id) in promised {
            prop_assert!(schedule.redeem(id, due_ms));
            prop_assert!(!schedule.redeem(id, due_ms));
        }
        prop_assert!(schedule.is_empty());
    }

    /// After any refusals, with rates that differ by class, a job gets no later time than a less
    /// urgent one would get instead of it.
    #[test]
    fn urgent_jobs_are_not_behind(
        jobs in refused(),
        rates_milli in vec(1u64..20_000, 4),
        work_milli_ms in 1u64..2_000_000,
    ) {
        let mut schedule = ReturnSchedule::default();
        let mut now_ms = NOW_MS;
        for (id, (priority, work, pause_ms)) in jobs.into_iter().enumerate() {
            now_ms += pause_ms;
            let rate_milli = rates_milli[usize::from(priority)];
            schedule.promise(CallerJobId(id as u64), priority, work, rate_milli, now_ms);
            let delays_ms: Vec<_> = (0u8..4)
                .map(|priority| {
                    let id = CallerJobId(u64::MAX);
                    let rate_milli = rates_milli[usize::from(priority)];
                    schedule.clone().promise(id, priority, work_milli_ms, rate_milli, now_ms)
                })
                .collect();
            prop_assert!(delays_ms.is_sorted(), "{:?}", delays_ms);
        }
    }
}

/// Guards against callers that are held up for minutes by promises of a moment in which the rate
/// was nearly nothing.
#[test]
fn recovered_rate() {
    let mut schedule = ReturnSchedule::default();
    schedule.promise(CallerJobId(1), 1, 6_000_000, 300, 0);
    let delay_ms = schedule.promise(CallerJobId(2), 1, 100_000, 100_000, 200);
    assert!(delay_ms < 200, "{delay_ms}");
}

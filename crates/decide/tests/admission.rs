//! Admission: each reason for a refusal, and its retry delay.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::sync::{Arc, atomic::Ordering::Relaxed},
    sycamorerail_decide::{
        admission::{
            AdmissionRequest, Refusal, admit,
            forecast::{DrainRate, Forecast},
            limit::{OrganisationLimit, QuotaPart},
        },
        placement::{PlacementQuery, Spread},
        queue::Backlog,
        view::{DataCentreKey, KindKey, LiveState, RackKey, UpstreamKey, UpstreamRow, View},
    },
    sycamorerail_wire::answer::Reason,
};

const NOW_MS: u64 = 10_000;

fn view(slots: &[u32], running: u32) -> View {
    let row = |(index, &slots): (usize, &u32)| {
        let live = LiveState::default();
        live.slots.store(slots, Relaxed);
        live.running.store(running, Relaxed);
        live.mean_run_us.store(100_000, Relaxed);
        UpstreamRow {
            key: UpstreamKey(index as u32),
            data_centre: DataCentreKey(index as u16),
            rack: RackKey(index as u16),
            max_task_bytes: 1_000,
            kinds: vec![],
            live: Arc::new(live),
        }
    };
    View { rows: slots.iter().enumerate().map(row).collect() }
}

fn request() -> AdmissionRequest<'static> {
    let query = PlacementQuery {
        kind: KindKey(1),
        size_bytes: 100,
        run_ms: 100,
        spread: Spread::Even,
        local: DataCentreKey(0),
        avoid: &[],
        tried: &[],
        siblings: &[],
        max_queued: 0,
    };
    AdmissionRequest {
        query,
        tasks: 1,
        deadline_ms: 1_000,
        least_run_ms: 100,
        queue_room: 1_000,
        backlog: Backlog::default(),
    }
}

fn part(starts_per_s: f64, burst: f64, max_in_flight: u32) -> QuotaPart {
    QuotaPart { starts_per_s, burst, max_in_flight }
}

fn large_limit() -> OrganisationLimit {
    OrganisationLimit::new(part(1e6, 1e6, 1_000_000))
}

fn admit_request(request: &AdmissionRequest<'_>, view: &View) -> Result<(), Refusal> {
    let forecast = Forecast::new(view, &request.query, None, 1, NOW_MS);
    admit(request, &large_limit(), view, &forecast, NOW_MS)
}

fn refused(reason: Reason, retry_after_ms: u64) -> Result<(), Refusal> {
    Err(Refusal { reason, retry_after_ms: Some(retry_after_ms) })
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// No sequence of calls admits more starts than the burst, the rate and one job
    /// permit. After the retry delay, the same call is admitted.
    #[test]
    fn rate_bound(
        rate in 1u32..5_000, burst in 1u32..300, calls in vec((0u64..40, 1u16..=170), 1..200),
    ) {
        let limit = OrganisationLimit::new(part(rate.into(), burst.into(), u32::MAX));
        let (mut now_ms, mut taken) = (NOW_MS, 0.0);
        for (pause_ms, tasks) in calls {
            now_ms += pause_ms;
            match limit.take(tasks, now_ms) {
                Ok(()) => taken += f64::from(tasks),
                Err(refusal) => {
                    prop_assert_eq!(refusal.reason, Reason::QuotaUsedUp);
                    let wait_ms = refusal.retry_after_ms.unwrap();
                    prop_assert!(wait_ms == 10_000 || limit.check(tasks, now_ms + wait_ms).is_ok());
                }
            }
            let earned = f64::from(rate) * (now_ms - NOW_MS) as f64 / 1e3;
            prop_assert!(taken <= f64::from(burst) + earned * 1.001 + 171.0);
        }
    }

    /// Jobs no larger than the burst never exceed the burst and the rate.
    #[test]
    fn burst_bound(burst in 170u32..300, calls in vec((0u64..40, 1u16..=170), 1..200)) {
        let limit = OrganisationLimit::new(part(100.0, burst.into(), u32::MAX));
        let (mut now_ms, mut taken) = (NOW_MS, 0.0);
        for (pause_ms, tasks) in calls {
            now_ms += pause_ms;
            taken += if limit.take(tasks, now_ms).is_ok() { f64::from(tasks) } else { 0.0 };
            prop_assert!(taken <= f64::from(burst) + 0.1 * (now_ms - NOW_MS) as f64 + 1e-6);
        }
    }

    /// Tasks in flight stay within the part, or belong to a single job.
    #[test]
    fn in_flight_bound(most in 1u32..300, calls in vec((any::<bool>(), 1u16..=170), 1..100)) {
        let limit = OrganisationLimit::new(part(1e6, 1e6, most));
        let mut jobs: Vec<u16> = vec![];
        for (ends, tasks) in calls {
            match (ends, jobs.pop()) {
                (true, Some(ended)) => limit.release(ended.into()),
                (_, kept) => {
                    jobs.extend(kept);
                    if limit.take(tasks, NOW_MS).is_ok() {
                        jobs.push(tasks);
                    }
                }
            }
            let in_flight: u32 = jobs.iter().copied().map(u32::from).sum();
            prop_assert_eq!(limit.in_flight(), in_flight);
            prop_assert!(in_flight <= most || jobs.len() == 1);
        }
    }

    /// An admitted submission can end in time if the wait is a quarter longer than
    /// forecast, or it starts at once.
    #[test]
    fn deadline_kept(
        running in 0u32..8, tasks in 1u16..=170, deadline_ms in 1u32..3_000,
        least_run_ms in 0u32..3_000, class_tasks in 0u32..200,
    ) {
        let view = view(&[4, 4], running);
        let backlog = Backlog { class_tasks, own_tasks: class_tasks, organisations: 1, more_urgent: 0 };
        let request = AdmissionRequest { tasks, deadline_ms, least_run_ms, backlog, ..request() };
        let forecast = Forecast::new(&view, &request.query, None, 1, NOW_MS);
        let wait_ms = forecast.wait_ms(class_tasks, tasks.into());
        let meets = wait_ms + wait_ms / 4 + u64::from(least_run_ms) <= deadline_ms.into();
        match admit_request(&request, &view) {
            Ok(()) => prop_assert!(meets || wait_ms == 0),
            Err(refusal) => {
                prop_assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
                prop_assert!(!meets);
            }
        }
    }
}

#[test]
fn shared_by_threads() {
    let limit = OrganisationLimit::new(part(1.0, 1_000.0, 1_000_000));
    let taken: usize = std::thread::scope(|scope| {
        let take = || (0..500).filter(|_| limit.take(1, NOW_MS).is_ok()).count();
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(take)).collect();
        threads.into_iter().map(|it| it.join().unwrap()).sum()
    });
    assert_eq!(taken, 1_000);
    assert_eq!(limit.in_flight(), 1_000);
}

#[test]
fn never_placeable() {
    let mut too_large = request();
    too_large.query.size_bytes = 2_000;
    let refusal = Refusal { reason: Reason::NeverPlaceable, retry_after_ms: None };
    assert_eq!(admit_request(&too_large, &view(&[1], 0)), Err(refusal));
    let mut avoiding = request();
    avoiding.query.spread = Spread::Avoid;
    avoiding.query.avoid = &[DataCentreKey(0)];
    assert_eq!(admit_request(&avoiding, &view(&[1], 0)), Err(refusal));
    assert_eq!(admit_request(&avoiding, &view(&[1, 1], 0)), Ok(()));
}

#[test]
fn no_upstream() {
    let none = refused(Reason::NoUpstream, 1_000);
    assert_eq!(admit_request(&request(), &View::default()), none);
    let view = view(&[1], 0);
    view.rows[0].live.leaving.store(true, Relaxed);
    assert_eq!(admit_request(&request(), &view), none);
}

#[test]
fn evacuated_upstreams_have_no_capacity() {
    let view = view(&[1, 1], 0);
    view.rows[0].live.evacuated.store(true, Relaxed);
    assert_eq!(admit_request(&request(), &view), Ok(()));
    let forecast = Forecast::new(&view, &request().query, None, 1, NOW_MS);
    assert_eq!(forecast.free_slots, 1);
    view.rows[1].live.ejected_until_ms.store(NOW_MS + 1, Relaxed);
    assert_eq!(admit_request(&request(), &view), refused(Reason::NoUpstream, 1_000));
}

#[test]
fn all_evacuated() {
    let view = view(&[1, 1], 0);
    view.rows[0].live.evacuated.store(true, Relaxed);
    view.rows[1].live.evacuated.store(true, Relaxed);
    assert_eq!(admit_request(&request(), &view), refused(Reason::Evacuated, 2_000));
    view.rows[1].live.leaving.store(true, Relaxed);
    assert_eq!(admit_request(&request(), &view), refused(Reason::Evacuated, 2_000));
    view.rows[0].live.leaving.store(true, Relaxed);
    assert_eq!(admit_request(&request(), &view), refused(Reason::NoUpstream, 1_000));
}

#[test]
fn full_queue() {
    let job = AdmissionRequest { tasks: 100, queue_room: 50, ..request() };
    // 20 slots, 200 starts per second: the 30 excess tasks need 150 ms.
    let view = view(&[10, 10], 0);
    assert_eq!(admit_request(&job, &view), refused(Reason::Overloaded, 150));
    assert_eq!(admit_request(&AdmissionRequest { tasks: 70, ..job }, &view), Ok(()));
}

#[test]
fn late_by_wait() {
    // No free slot; 150 tasks ahead at 100 starts per second.
    let backlog = Backlog { class_tasks: 149, own_tasks: 149, organisations: 1, more_urgent: 0 };
    let late = AdmissionRequest { backlog, ..request() };
    let view = view(&[10], 10);
    // A wait of 1,500 ms, a quarter more, and the run time: 975 ms late. After 780 ms
    // the forecast is 720 ms.
    assert_eq!(admit_request(&late, &view), refused(Reason::DeadlineUnreachable, 780));
    let quiet = Backlog { own_tasks: 0, organisations: 2, ..backlog };
    assert_eq!(admit_request(&AdmissionRequest { backlog: quiet, ..late }, &view), Ok(()));
}

#[test]
fn slow_but_free() {
    let slow = AdmissionRequest { least_run_ms: 5_000, ..request() };
    assert_eq!(admit_request(&slow, &view(&[10], 0)), Ok(()));
}

#[test]
fn refusal_charges_nothing() {
    let limit = OrganisationLimit::new(part(1.0, 1.0, 10));
    let forecast = Forecast::default();
    let empty = View::default();
    assert!(admit(&request(), &limit, &empty, &forecast, NOW_MS).is_err());
    assert_eq!(limit.in_flight(), 0);
    assert_eq!((limit.take_requested(), limit.take_requested()), (1, 0));
    assert_eq!(limit.take(1, NOW_MS), Ok(()));
    assert_eq!(limit.take(1, NOW_MS), refused(Reason::QuotaUsedUp, 1_000));
    assert_eq!(limit.in_flight(), 1);
}

#[test]
fn zero_quota() {
    for closed in [part(0.0, 10.0, 10), part(10.0, 10.0, 0)] {
        assert!(OrganisationLimit::new(closed).take(1, NOW_MS).is_err());
    }
}

#[test]
fn drain_rate() {
    let mut rate = DrainRate::default();
    rate.clear(NOW_MS);
    assert_eq!(rate.per_s(NOW_MS + 100), None);
    for step in 1..=100 {
        rate.record(2, NOW_MS + step * 10);
    }
    let per_s = rate.per_s(NOW_MS + 1_000).unwrap();
    assert!((190.0..=210.0).contains(&per_s), "{per_s}");
    rate.clear(NOW_MS + 1_000);
    assert_eq!(rate.per_s(NOW_MS + 1_001), None);
}

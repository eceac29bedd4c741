//! Ejection: comparison with peers, the bound on ejected upstreams, and the return.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    sycamorerail_decide::{
        ejection::{
            EjectionState, Ejections, FIRST_EJECTION_MS, MAX_EJECTION_MS, PROBE_TIMEOUT_MS,
            max_ejected, publish,
        },
        view::{DataCentreKey, KindKey, LiveState, RackKey, UpstreamKey, UpstreamRow},
    },
};

const KIND: KindKey = KindKey(1);
const BAD: UpstreamKey = UpstreamKey(0);

fn fleet(upstreams: u32) -> Ejections {
    let mut ejections = Ejections::default();
    (0..upstreams).for_each(|key| ejections.add(UpstreamKey(key)));
    ejections
}

/// Records a success at every upstream except the bad one, then failures at the bad
/// one until it is ejected. Returns the number of failures.
fn eject(ejections: &mut Ejections, upstreams: u32, now_ms: u64) -> u32 {
    for key in 1..upstreams {
        ejections.observe(UpstreamKey(key), KIND, true, now_ms);
    }
    for failures in 1..100 {
        if ejections.observe(BAD, KIND, false, now_ms).is_some() {
            return failures;
        }
    }
    panic!("not ejected");
}

fn until_ms(ejections: &Ejections) -> u64 {
    match ejections.state(BAD) {
        EjectionState::Ejected { until_ms } => until_ms,
        other => panic!("{other:?}"),
    }
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

#[derive(Clone, Debug)]
enum Step {
    End { key: u32, kind: u32, succeeded: bool },
    Probe,
    ProbeEnd { key: u32, succeeded: Option<bool> },
    Unprobed,
    Pause(u64),
}

fn step(upstreams: u32) -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..upstreams, 0u32..2, prop::bool::weighted(0.4))
            .prop_map(|(key, kind, succeeded)| Step::End { key, kind, succeeded }),
        2 => Just(Step::Probe),
        2 => (0..upstreams, any::<Option<bool>>())
            .prop_map(|(key, succeeded)| Step::ProbeEnd { key, succeeded }),
        1 => Just(Step::Unprobed),
        1 => (0u64..5_000).prop_map(Step::Pause),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// No sequence of events ejects more upstreams than [`max_ejected`].
    #[test]
    fn bounded_share(
        (upstreams, steps) in (1u32..14).prop_flat_map(|it| (Just(it), vec(step(it), 1..400)))
    ) {
        let mut ejections = fleet(upstreams);
        let mut now_ms = 1_000;
        for step in steps {
            match step {
                Step::End { key, kind, succeeded } => {
                    // Upstreams of the upper half never fail.
                    let succeeded = succeeded || key * 2 > upstreams;
                    ejections.observe(UpstreamKey(key), KindKey(kind), succeeded, now_ms);
                }
                Step::Probe => _ = ejections.take_probe(|_| true, now_ms),
                Step::ProbeEnd { key, succeeded } => {
                    ejections.record_probe_end(UpstreamKey(key), succeeded, now_ms);
                }
                Step::Unprobed => _ = ejections.return_unprobed(now_ms),
                Step::Pause(pause_ms) => now_ms += pause_ms,
            }
            let is_out = |key| matches!(
                ejections.state(UpstreamKey(key)),
                EjectionState::Ejected { .. } | EjectionState::Probing { .. }
            );
            let out = (0..upstreams).filter(|&key| is_out(key)).count();
            prop_assert_eq!(out, ejections.ejected_count());
            prop_assert!(out <= max_ejected(upstreams as usize));
        }
    }

    /// A kind that fails everywhere ejects no upstream, in whatever order its tasks
    /// end. It does not excuse an upstream that fails another kind as well.
    #[test]
    fn failing_kind(ends in vec(0u32..10, 200..600)) {
        let mut ejections = fleet(10);
        for (now_ms, key) in ends.into_iter().enumerate() {
            prop_assert_eq!(ejections.observe(UpstreamKey(key), KIND, false, now_ms as u64), None);
        }
        for key in 1..10 {
            ejections.observe(UpstreamKey(key), KindKey(2), true, 600);
        }
        let ejected = (0..80).any(|_| ejections.observe(BAD, KindKey(2), false, 600).is_some());
        prop_assert!(ejected);
    }

    /// Upstreams with equal failure probability are not ejected.
    #[test]
    fn even_chance(ends in vec((0u32..10, any::<bool>()), 100..1_000)) {
        let mut ejections = fleet(10);
        for (now_ms, (key, succeeded)) in ends.into_iter().enumerate() {
            ejections.observe(UpstreamKey(key), KIND, succeeded, now_ms as u64);
        }
        prop_assert!(ejections.ejected_count() <= 1);
    }
}

#[test]
fn failing_upstream_with_most_work() {
    let mut ejections = fleet(10);
    let failures = eject(&mut ejections, 10, 1_000);
    assert!(failures <= 5, "{failures}");
    assert_eq!(
        ejections.state(BAD),
        EjectionState::Ejected { until_ms: 1_000 + FIRST_EJECTION_MS }
    );
}

#[test]
fn small_fleet() {
    let failures = eject(&mut fleet(3), 3, 1_000);
    assert!(failures <= 5, "{failures}");
    assert_eq!([0, 2, 3, 10, 1_100].map(max_ejected), [0, 0, 1, 3, 330]);
}

#[test]
fn only_upstream_of_a_kind() {
    let mut ejections = fleet(10);
    for key in 1..10 {
        ejections.observe(UpstreamKey(key), KindKey(2), true, 0);
    }
    assert!((0..100).all(|_| ejections.observe(BAD, KIND, false, 0).is_none()));
}

#[test]
fn doubling_time() {
    let mut ejections = fleet(10);
    let mut now_ms = 1_000;
    eject(&mut ejections, 10, now_ms);
    for doublings in 0..12 {
        let expected_ms = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        assert_eq!(until_ms(&ejections), now_ms + expected_ms);
        assert_eq!(ejections.take_probe(|_| true, until_ms(&ejections) - 1), None);
        now_ms = until_ms(&ejections);
        assert_eq!(ejections.take_probe(|_| true, now_ms), Some(BAD));
        ejections.record_probe_end(BAD, Some(false), now_ms);
    }
}

#[test]
fn single_probe() {
    let mut ejections = fleet(10);
    eject(&mut ejections, 10, 0);
    let now_ms = until_ms(&ejections);
    assert_eq!(ejections.take_probe(|_| false, now_ms), None);
    assert_eq!(ejections.take_probe(|_| true, now_ms), Some(BAD));
    assert_eq!(ejections.take_probe(|_| true, now_ms), None);
    assert_eq!(ejections.observe(BAD, KIND, true, now_ms), None);
    assert_eq!(ejections.take_probe(|_| true, now_ms + PROBE_TIMEOUT_MS), Some(BAD));
    ejections.record_probe_end(BAD, None, now_ms);
    assert_eq!(ejections.take_probe(|_| true, now_ms), Some(BAD));
}

#[test]
fn gradual_return() {
    let mut ejections = fleet(10);
    eject(&mut ejections, 10, 0);
    let now_ms = until_ms(&ejections);
    ejections.take_probe(|_| true, now_ms);
    let mut state = ejections.record_probe_end(BAD, Some(true), now_ms);
    for window in 1..=32 {
        assert_eq!(state, Some(EjectionState::Returning { window }));
        state = ejections.observe(BAD, KIND, true, now_ms);
    }
    assert_eq!(state, Some(EjectionState::Full));
    assert_eq!(ejections.ejected_count(), 0);
}

#[test]
fn failed_return() {
    let mut ejections = fleet(10);
    eject(&mut ejections, 10, 0);
    let now_ms = until_ms(&ejections);
    ejections.take_probe(|_| true, now_ms);
    ejections.record_probe_end(BAD, Some(true), now_ms);
    ejections.observe(BAD, KIND, false, now_ms);
    assert_eq!(until_ms(&ejections), now_ms + 2 * FIRST_EJECTION_MS);
}

#[test]
fn never_probed() {
    let mut ejections = fleet(10);
    eject(&mut ejections, 10, 0);
    assert_eq!(ejections.return_unprobed(2 * FIRST_EJECTION_MS - 1), []);
    let returned = (BAD, EjectionState::Returning { window: 1 });
    assert_eq!(ejections.return_unprobed(2 * FIRST_EJECTION_MS), [returned]);
}

#[test]
fn published_to_placement() {
    let live = std::sync::Arc::new(LiveState::default());
    let row = UpstreamRow {
        key: BAD,
        data_centre: DataCentreKey(0),
        rack: RackKey(0),
        max_task_bytes: 1,
        kinds: vec![],
        live,
    };
    assert!(row.takes_work(0));
    publish(EjectionState::Ejected { until_ms: 5 }, &row.live);
    assert!(!row.takes_work(6));
    publish(EjectionState::Returning { window: 1 }, &row.live);
    assert!(row.takes_work(0));
    row.live.outstanding.store(1, std::sync::atomic::Ordering::Relaxed);
    assert!(!row.takes_work(0));
    publish(EjectionState::Full, &row.live);
    assert!(row.takes_work(0));
}

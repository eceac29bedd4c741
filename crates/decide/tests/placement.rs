//! Placement: the rules common to all policies, the spread, and each policy.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::SmallRng},
    std::sync::{Arc, atomic::Ordering::Relaxed},
    sycamorerail_decide::{
        placement::{Choice, PlacementQuery, Policy, Spread, spread::FairShare},
        view::{DataCentreKey, KindKey, LiveState, RackKey, UpstreamKey, UpstreamRow, View},
    },
};

const NOW_MS: u64 = 1_000;
const KIND: KindKey = KindKey(1);

#[derive(Clone, Debug)]
struct Upstream {
    slots: u32,
    running: u32,
    outstanding: u32,
    leaving: bool,
    ejected_until_ms: u64,
    max_task_bytes: u64,
    kinds: Vec<KindKey>,
    run_us: u64,
}

fn upstream() -> impl Strategy<Value = Upstream> {
    let kinds = prop_oneof![Just(vec![]), Just(vec![KIND]), Just(vec![KindKey(2)])];
    let load = (0u32..5, 0u32..12, 0u32..3, 0u64..90_000);
    let until_ms = prop_oneof![3 => Just(0), 1 => 0u64..2 * NOW_MS];
    (load, any::<bool>(), until_ms, 1u64..4, kinds).prop_map(
        |((slots, running, outstanding, run_us), leaving, ejected_until_ms, bytes, kinds)| {
            let max_task_bytes = bytes * 100;
            let leaving = leaving && running % 3 == 0;
            Upstream {
                slots,
                running,
                outstanding,
                leaving,
                ejected_until_ms,
                max_task_bytes,
                kinds,
                run_us,
            }
        },
    )
}

fn row(index: usize, upstream: &Upstream) -> UpstreamRow {
    let live = LiveState::default();
    live.slots.store(upstream.slots, Relaxed);
    live.running.store(upstream.running, Relaxed);
    live.outstanding.store(upstream.outstanding, Relaxed);
    live.leaving.store(upstream.leaving, Relaxed);
    live.ejected_until_ms.store(upstream.ejected_until_ms, Relaxed);
    live.mean_run_us.store(upstream.run_us, Relaxed);
    UpstreamRow {
        key: UpstreamKey(index as u32 * 2),
        data_centre: DataCentreKey((index / 2 % 3) as u16),
        rack: RackKey((index / 2) as u16),
        max_task_bytes: upstream.max_task_bytes,
        kinds: upstream.kinds.clone(),
        live: Arc::new(live),
    }
}

fn view(upstreams: &[Upstream]) -> View {
    View { rows: upstreams.iter().enumerate().map(|(index, it)| row(index, it)).collect() }
}

/// Returns an idle fleet, given the number of upstreams per rack and data centre.
fn idle(racks_by_data_centre: &[Vec<u16>], slots: u32) -> View {
    let mut rows = vec![];
    let mut rack = 0;
    for (data_centre, racks) in racks_by_data_centre.iter().enumerate() {
        for &upstreams in racks {
            for _ in 0..upstreams {
                let live = LiveState::default();
                live.slots.store(slots, Relaxed);
                rows.push(UpstreamRow {
                    key: UpstreamKey(rows.len() as u32),
                    data_centre: DataCentreKey(data_centre as u16),
                    rack: RackKey(rack),
                    max_task_bytes: u64::MAX,
                    kinds: vec![],
                    live: Arc::new(live),
                });
            }
            rack += 1;
        }
    }
    View { rows }
}

fn query(spread: Spread) -> PlacementQuery<'static> {
    PlacementQuery {
        kind: KIND,
        size_bytes: 150,
        run_ms: 100,
        spread,
        local: DataCentreKey(1),
        avoid: &[],
        tried: &[],
        siblings: &[],
        max_queued: 4,
    }
}

fn choose(name: &str, view: &View, query: &PlacementQuery<'_>, seed: u64) -> Choice {
    let policy = Policy::by_name(name).unwrap();
    (policy.choose)(view, query, &mut SmallRng::seed_from_u64(seed), NOW_MS)
}

fn spreads() -> impl Strategy<Value = Spread> {
    prop_oneof![Just(Spread::Even), Just(Spread::Local), Just(Spread::Avoid)]
}

fn names() -> impl Strategy<Value = &'static str> {
    prop::sample::select(Policy::NAMES.to_vec())
}

fn has_room(row: &UpstreamRow, query: &PlacementQuery<'_>) -> bool {
    row.can_serve(query.kind, query.size_bytes)
        && row.takes_work(NOW_MS)
        && !query.tried.contains(&row.key)
        && row.live.slots.load(Relaxed) > 0
        && row.free_slots() > -i64::from(query.max_queued)
        && !(query.spread == Spread::Avoid && query.avoid.contains(&row.data_centre))
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases: 512, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Each chosen upstream has room and is allowed. `Wait` is chosen only if none has
    /// room, `Never` only if none could ever run the task.
    #[test]
    fn allowed_only(
        upstreams in vec(upstream(), 0..24), name in names(), spread in spreads(),
        tried in vec((0u32..24).prop_map(|key| UpstreamKey(key * 2)), 0..4),
        max_queued in 0u16..5, seed: u64,
    ) {
        let view = view(&upstreams);
        let avoid = [DataCentreKey(2)];
        let mut query = PlacementQuery { tried: &tried, avoid: &avoid, max_queued, ..query(spread) };
        let choice = choose(name, &view, &query, seed);
        if name == "late_binding" {
            query.max_queued = 0;
        }
        let can_serve = |row: &UpstreamRow| row.can_serve(KIND, query.size_bytes)
            && !(spread == Spread::Avoid && avoid.contains(&row.data_centre));
        match choice {
            Choice::Place(key) => prop_assert!(has_room(view.row(key).unwrap(), &query)),
            Choice::Wait { retry_after_ms } => {
                prop_assert!((1..=50).contains(&retry_after_ms));
                prop_assert!(!view.rows.iter().any(|row| has_room(row, &query)));
                prop_assert!(view.rows.is_empty() || view.rows.iter().any(can_serve));
            }
            Choice::Never => prop_assert!(!view.rows.iter().any(can_serve)),
        }
    }

    /// Late binding chooses only upstreams with a known free slot.
    #[test]
    fn late_binding(upstreams in vec(upstream(), 1..24), seed: u64) {
        let view = view(&upstreams);
        let free: i64 = view.rows.iter().filter(|row| has_room(row, &query(Spread::Even)))
            .map(|row| row.free_slots().max(0)).sum();
        let mut placed = 0;
        while let Choice::Place(key) = choose("late_binding", &view, &query(Spread::Even), seed) {
            let row = view.row(key).unwrap();
            prop_assert!(row.free_slots() > 0);
            row.live.outstanding.fetch_add(1, Relaxed);
            placed += 1;
        }
        prop_assert_eq!(placed, free);
    }

    /// In a small fleet, the chosen upstream has the least expected wait of all.
    #[test]
    fn least_wait(upstreams in vec(upstream(), 1..24), seed: u64) {
        let view = view(&upstreams);
        let query = query(Spread::Even);
        let wait_us = |row: &UpstreamRow| row.expected_wait_us(100_000.0);
        let rows = view.rows.iter().filter(|row| has_room(row, &query));
        let least_us = rows.map(wait_us).fold(f32::INFINITY, f32::min);
        if let Choice::Place(key) = choose("least_wait", &view, &query, seed) {
            prop_assert_eq!(wait_us(view.row(key).unwrap()), least_us);
        }
    }

    /// While a job is placed task by task, no data centre and no rack exceeds its bound
    /// at any point, and every task is placed.
    #[test]
    fn even_bound(
        racks in vec(vec(1u16..5, 1..5), 1..5), tasks in 1usize..170, name in names(), seed: u64,
    ) {
        let view = idle(&racks, 200);
        let rows = view.rows.len() as u32;
        let mut siblings: Vec<(RackKey, u16)> = vec![];
        for placed in 0..tasks as u32 {
            let query = PlacementQuery { siblings: &siblings, ..query(Spread::Even) };
            let Choice::Place(key) = choose(name, &view, &query, seed ^ u64::from(placed)) else {
                return Err(TestCaseError::fail("task not placed"));
            };
            let row = view.row(key).unwrap();
            row.live.outstanding.fetch_add(1, Relaxed);
            siblings.push((row.rack, 1));
            let of_data_centre = |it: &&UpstreamRow| it.data_centre == row.data_centre;
            let domain_rows = view.rows.iter().filter(of_data_centre).count() as u32;
            let domains = racks.len() as u32;
            let bound = FairShare { tasks: placed + 1, domains, domain_rows, rows }.bound();
            let held = |racks: &dyn Fn(RackKey) -> bool| siblings.iter()
                .filter(|(rack, _)| racks(*rack)).count() as u32;
            let is_here = |rack| view.rows.iter().filter(of_data_centre).any(|it| it.rack == rack);
            prop_assert!(held(&is_here) <= bound);
            let in_rack = view.rows.iter().filter(|it| it.rack == row.rack).count() as u32;
            let domains = racks[usize::from(row.data_centre.0)].len() as u32;
            let rack = FairShare { tasks: bound, domains, domain_rows: in_rack, rows: domain_rows };
            prop_assert!(held(&|rack| rack == row.rack) <= rack.bound());
        }
    }

    /// The entry's own data centre is chosen while it has a free slot.
    #[test]
    fn local_first(upstreams in vec(upstream(), 1..24), seed: u64) {
        let view = view(&upstreams);
        let query = PlacementQuery { max_queued: 0, ..query(Spread::Local) };
        let is_local = |row: &UpstreamRow| row.data_centre == query.local;
        let has_local = view.rows.iter().any(|row| is_local(row) && has_room(row, &query));
        for name in Policy::NAMES {
            if let Choice::Place(key) = choose(name, &view, &query, seed) {
                prop_assert_eq!(is_local(view.row(key).unwrap()), has_local, "{}", name);
            }
        }
    }
}

#[test]
fn lost_share() {
    let view = idle(&vec![vec![3, 3]; 4], 200);
    for name in Policy::NAMES {
        let mut siblings: Vec<(RackKey, u16)> = vec![];
        for seed in 0..100 {
            let query = PlacementQuery { siblings: &siblings, ..query(Spread::Even) };
            if let Choice::Place(key) = choose(name, &view, &query, seed) {
                siblings.push((view.row(key).unwrap().rack, 1));
            }
        }
        for data_centre in 0..4 {
            let held = siblings.iter().filter(|(rack, _)| rack.0 / 2 == data_centre).count();
            assert!((20..=30).contains(&held), "{name}: {held} of {}", siblings.len());
        }
    }
}

#[test]
fn lost_data_centre() {
    let view = idle(&[vec![3], vec![3]], 200);
    for row in &view.rows[3..] {
        row.live.leaving.store(true, Relaxed);
    }
    let siblings = [(RackKey(0), 40)];
    let query = PlacementQuery { siblings: &siblings, ..query(Spread::Even) };
    for name in Policy::NAMES {
        assert!(matches!(choose(name, &view, &query, 1), Choice::Place(_)), "{name}");
    }
}

#[test]
fn full_data_centre() {
    let view = idle(&[vec![3], vec![3]], 1);
    for row in &view.rows[3..] {
        row.live.running.store(9, Relaxed);
    }
    let siblings = [(RackKey(0), 40)];
    let query = PlacementQuery { siblings: &siblings, ..query(Spread::Even) };
    for name in Policy::NAMES {
        assert!(matches!(choose(name, &view, &query, 1), Choice::Wait { .. }), "{name}");
    }
}

#[test]
fn two_choices() {
    let view = idle(&[vec![40]], 1);
    let (short, long) = view.rows.split_at(20);
    short.iter().for_each(|row| row.live.mean_run_us.store(1_000, Relaxed));
    long.iter().for_each(|row| row.live.mean_run_us.store(9_000, Relaxed));
    view.rows.iter().for_each(|row| row.live.running.store(2, Relaxed));
    let is_short = |seed| match choose("two_choices", &view, &query(Spread::Even), seed) {
        Choice::Place(key) => key.0 < 20,
        other => panic!("{other:?}"),
    };
    let short_of_1000 = (0..1_000).filter(|&seed| is_short(seed)).count();
    assert!((700..800).contains(&short_of_1000), "{short_of_1000}");
}

#[test]
fn random_evenness() {
    let view = idle(&[vec![10]], 1);
    let mut counts = [0; 10];
    for seed in 0..10_000 {
        if let Choice::Place(key) = choose("random", &view, &query(Spread::Even), seed) {
            counts[key.0 as usize] += 1;
        }
    }
    assert!(counts.iter().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

#[test]
fn unknown_policy() {
    assert!(Policy::by_name("best").is_none());
    for name in Policy::NAMES {
        assert_eq!(Policy::by_name(name).unwrap().name, name);
    }
}

#[test]
fn no_upstreams() {
    for name in Policy::NAMES {
        let choice = choose(name, &View::default(), &query(Spread::Even), 1);
        assert_eq!(choice, Choice::Wait { retry_after_ms: 50 }, "{name}");
    }
}

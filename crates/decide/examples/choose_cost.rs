//! Measures the cost of one placement choice in a large fleet.
//!
//! `cargo run --release -p sycamorerail-decide --example choose_cost`
//!
//! Prints one line for each policy and fleet state: the median and the best batch
//! mean in nanoseconds, on one thread.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{hint::black_box, sync::Arc, sync::atomic::Ordering::Relaxed, time::Instant},
    sycamorerail_decide::{
        placement::{PlacementQuery, Policy, Spread},
        view::{DataCentreKey, KindKey, LiveState, RackKey, UpstreamKey, UpstreamRow, View},
    },
};

const ROWS: u32 = 1_100;
const ROWS_PER_RACK: u32 = 3;
const DATA_CENTRES: u32 = 4;
const SLOTS: u32 = 8;
const BATCHES: u32 = 31;
const CHOICES_PER_BATCH: u32 = 300;

/// A state of the fleet to measure.
struct Fleet {
    name: &'static str,
    /// Fraction of the rows with a free slot.
    free_share: f64,
    /// Whether rows list the kinds that they serve.
    lists_kinds: bool,
    /// Number of siblings placed before.
    siblings: u16,
}

const FLEETS: [Fleet; 6] = [
    Fleet { name: "half_free", free_share: 0.5, lists_kinds: false, siblings: 0 },
    Fleet { name: "tenth_free", free_share: 0.1, lists_kinds: false, siblings: 0 },
    Fleet { name: "none_free", free_share: 0.0, lists_kinds: false, siblings: 0 },
    Fleet { name: "none_free_kinds", free_share: 0.0, lists_kinds: true, siblings: 0 },
    Fleet { name: "tenth_free_job", free_share: 0.1, lists_kinds: false, siblings: 169 },
    Fleet { name: "none_free_job", free_share: 0.0, lists_kinds: false, siblings: 169 },
];

fn main() {
    println!("policy fleet median_ns best_ns");
    for fleet in &FLEETS {
        for name in Policy::NAMES {
            let (median_ns, best_ns) = measure(fleet, name);
            println!("{name} {} {median_ns:.0} {best_ns:.0}", fleet.name);
        }
    }
}

fn measure(fleet: &Fleet, name: &str) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let view = view(fleet, &mut rng);
    let siblings: Vec<_> = (0..fleet.siblings).map(|rack| (RackKey(rack), 1)).collect();
    let policy = Policy::by_name(name).expect("a name of the list");
    let mut batches: Vec<f64> =
        (0..BATCHES).map(|_| batch_ns(&policy, &view, &siblings, &mut rng)).collect();
    batches.sort_by(f64::total_cmp);
    (batches[batches.len() / 2], batches[0])
}

fn batch_ns(policy: &Policy, view: &View, siblings: &[(RackKey, u16)], rng: &mut SmallRng) -> f64 {
    let query = PlacementQuery {
        kind: KindKey(7),
        size_bytes: 1_000_000,
        run_ms: 200,
        spread: Spread::Even,
        local: DataCentreKey(0),
        avoid: &[],
        tried: &[],
        siblings,
        max_queued: 4,
    };
    let begin = Instant::now();
    for now_ms in 0..u64::from(CHOICES_PER_BATCH) {
        black_box((policy.choose)(black_box(view), black_box(&query), rng, now_ms));
    }
    begin.elapsed().as_nanos() as f64 / f64::from(CHOICES_PER_BATCH)
}

fn view(fleet: &Fleet, rng: &mut SmallRng) -> View {
    View { rows: (0..ROWS).map(|key| row(key, fleet, rng)).collect() }
}

fn row(key: u32, fleet: &Fleet, rng: &mut SmallRng) -> UpstreamRow {
    let rack = key / ROWS_PER_RACK;
    let live = LiveState::default();
    let free = rng.random_bool(fleet.free_share);
    live.slots.store(SLOTS, Relaxed);
    live.running.store(if free { rng.random_range(0..SLOTS) } else { SLOTS }, Relaxed);
    live.queued.store(if free { 0 } else { rng.random_range(0..8) }, Relaxed);
    live.mean_run_us.store(rng.random_range(50_000..1_000_000), Relaxed);
    UpstreamRow {
        key: UpstreamKey(key),
        data_centre: DataCentreKey((rack % DATA_CENTRES) as u16),
        rack: RackKey(rack as u16),
        max_task_bytes: 4_000_000_000,
        kinds: if fleet.lists_kinds { (0..8).map(KindKey).collect() } else { vec![] },
        live: Arc::new(live),
    }
}

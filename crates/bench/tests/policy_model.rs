//! The model of the decisions: the same result for the same seed, no job lost from the
//! count, and what a load without faults must give.

use {
    proptest::prelude::*,
    sycamorerail_bench::policy::{
        Burst, Counts, Fault, FaultKind, KindSettings, LinkSettings, ModelSettings, Spread,
        UpstreamGroup, draw_jobs, most_in_time, play, report,
    },
};

fn kind(name: &str, priority: u8, per_s: f64, tasks: f64, run_ms: f64) -> KindSettings {
    KindSettings {
        name: name.to_owned(),
        priority,
        per_s,
        tasks: Spread { mean: tasks, spread: 0.4, most: tasks * 4.0 },
        run_ms: Spread { mean: run_ms, spread: 0.4, most: run_ms * 4.0 },
        tail: 0.0,
        tail_factor: 1.0,
        cpu_milli: 1_000,
        stretch: 1.6,
        target_ms: 60,
        value: 1.0,
        late_value: 0.2,
        returning: 0.0,
        sticky: 0.0,
    }
}

/// Two kinds at about this share of four upstreams' room.
fn site(load: f64) -> ModelSettings {
    ModelSettings {
        name: "site".to_owned(),
        seconds: 6,
        entries: 2,
        message_ms: 1.5,
        call_ms: 0.5,
        estimate_off: 0.4,
        links: LinkSettings::default(),
        upstreams: vec![UpstreamGroup { count: 4, cpu_milli: 10_000, speed: 1.0 }],
        kinds: vec![
            kind("urgent", 0, 40.0 * load, 6.0, 80.0),
            kind("large", 2, 6.0 * load, 4.0, 800.0),
        ],
        bursts: Vec::new(),
        faults: Vec::new(),
    }
}

/// A fault of the first ones, from one to three seconds.
fn fault(kind: FaultKind, count: u32, strength: f64) -> Fault {
    Fault { kind, at_s: 1.0, for_s: 2.0, count, strength }
}

fn is_whole(counts: &Counts) -> bool {
    let served = counts.in_time + counts.late;
    let unserved = counts.refused + counts.given_up + counts.lost + counts.failed;
    served + unserved == counts.asked
}

#[test]
fn a_light_load_is_served_in_time() {
    let outcome = play(&site(0.4), 1);
    assert!(outcome.all.in_time_share() > 0.99, "{:?}", outcome.all);
    assert_eq!(outcome.all.unserved_share(), 0.0);
}

/// Messages, calls and the pause that gathers ends take less than 10 ms together; a renewal waits
/// for an end up to 40 ms and must not delay the next one by that.
#[test]
fn ends_of_runs_are_noticed_at_once() {
    let run_ms = Spread { mean: 60.0, spread: 0.0, most: 60.0 };
    let settings = ModelSettings {
        kinds: vec![KindSettings { run_ms, ..kind("short", 0, 40.0, 1.0, 60.0) }],
        ..site(0.0)
    };
    let mut ratios = play(&settings, 1).ratios;
    ratios.sort_by(f64::total_cmp);
    let p95 = ratios[ratios.len() * 95 / 100];
    assert!(p95 < 1.0 + 10.0 / 60.0, "{p95}");
}

#[test]
fn the_same_seed_gives_the_same_result() {
    let mut settings = site(1.3);
    settings.faults.push(fault(FaultKind::LateOrders, 2, 0.2));
    // Whole outcomes are too long to be printed.
    assert!(play(&settings, 7) == play(&settings, 7));
    assert!(play(&settings, 7) != play(&settings, 8));
}

#[test]
fn a_lost_entry_loses_what_it_held_and_comes_back() {
    let mut settings = site(0.5);
    settings.faults.push(fault(FaultKind::EntryLost, 1, 0.0));
    let outcome = play(&settings, 3);
    assert!(outcome.all.lost > 0);
    assert_eq!(outcome.all.failed, 0);
    assert!(outcome.by_second[5].in_time_share() > 0.99);
}

/// Its entry says that nobody knows what became of it, not that it failed.
#[test]
fn a_job_that_is_given_up_half_done_has_not_failed() {
    let mut settings = site(0.8);
    settings.faults.push(fault(FaultKind::Hung, 2, 0.0));
    let outcome = play(&settings, 5);
    assert!(outcome.all.given_up > 0, "{:?}", outcome.all);
    assert_eq!(outcome.all.failed + outcome.all.lost, 0, "{:?}", outcome.all);
}

#[test]
fn a_burst_brings_more_jobs_of_its_kind() {
    let mut settings = site(0.5);
    let before = draw_jobs(&settings, 1).len();
    settings.bursts.push(Burst {
        at_s: 0.0,
        for_s: 6.0,
        factor: 3.0,
        kind: Some("urgent".to_owned()),
    });
    let after = draw_jobs(&settings, 1).len();
    assert!(after as f64 > 2.0 * before as f64, "{before} {after}");
}

#[test]
fn a_comparison_tells_the_difference() {
    let (light, heavy) = (report::play_seeds(&site(0.4), 2), report::play_seeds(&site(1.5), 2));
    let table = report::compare(["light", "heavy"], &light, &heavy);
    assert!(table.lines().any(|line| line.starts_with("| in time |") && line.contains("| -0.")));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn every_job_is_counted_once_and_none_beats_the_bound(
        seed in 0_u64..1_000,
        load in 0.2_f64..2.0,
        kind in 0_usize..5,
        count in 1_u32..3,
    ) {
        let kinds = [
            FaultKind::Slow, FaultKind::Hung, FaultKind::Gone, FaultKind::LateOrders,
            FaultKind::EntryLost,
        ];
        let strength = if kinds[kind] == FaultKind::LateOrders { 0.1 } else { 4.0 };
        let mut settings = site(load);
        settings.faults.push(fault(kinds[kind], count, strength));
        let outcome = play(&settings, seed);
        prop_assert!(is_whole(&outcome.all));
        prop_assert!(outcome.by_kind.iter().all(is_whole));
        let by_second: u64 = outcome.by_second.iter().map(|counts| counts.asked).sum();
        prop_assert_eq!(by_second, outcome.all.asked);
        prop_assert!(outcome.all.in_time <= most_in_time(&settings, &draw_jobs(&settings, seed)));
    }
}

/// Guards against tails that change the load itself, or when a job is in time: runs with and
/// without a tail would not be comparable.
#[test]
fn tails_lengthen_single_tasks() {
    let plain = site(0.5);
    let mut tailed = plain.clone();
    (tailed.kinds[0].tail, tailed.kinds[0].tail_factor) = (0.1, 7.0);
    let most_micros = (tailed.kinds[0].run_ms.most * 1_000.0) as u64;
    let (plain_jobs, jobs) = (draw_jobs(&plain, 1), draw_jobs(&tailed, 1));
    assert_eq!(plain_jobs.len(), jobs.len());
    let (mut tasks, mut longer) = (0, 0);
    for (plain, job) in plain_jobs.iter().zip(&jobs) {
        assert_eq!((plain.at, plain.estimate_ms), (job.at, job.estimate_ms));
        let longest = *job.run_micros.iter().max().unwrap() as f64;
        assert!((job.span as f64 - longest * 1.6 - 60_000.0).abs() < 1.0);
        for (&usual, &run) in plain.run_micros.iter().zip(&job.run_micros) {
            assert!(run == usual || run == (usual * 7).min(most_micros).max(usual));
            assert!(run == usual || job.kind == 0);
            tasks += u32::from(job.kind == 0);
            longer += u32::from(run != usual);
        }
    }
    assert!((0.07..0.13).contains(&(f64::from(longer) / f64::from(tasks))), "{longer} of {tasks}");
}

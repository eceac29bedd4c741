//! The long randomised run.

use {
    crate::{
        binaries,
        caller::Submission,
        cluster::Cluster,
        faults::Faults,
        load::Load,
        options::Options,
        plan::{Plan, fields},
        publishing::Operators,
        random_callers::{self, Signals},
        report::Report,
        watcher::Watcher,
    },
    futures::{StreamExt, future::join_all, stream},
    serde_json::json,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    sycamorerail_bench::cluster::Role,
    tokio::time::sleep,
};

/// Deadline of all kinds: beyond a straggler, below the time of a drain.
const DEADLINE_MS: u32 = 12_000;
const RIVALS: u32 = 2;
const PUBLISH_PAUSE: Duration = Duration::from_millis(700);
const CHECK_PERIOD: Duration = Duration::from_secs(10);
/// Ids of this age are sent again at the end; entries keep them for longer.
const RECENT: Duration = Duration::from_secs(60);
/// Calls at a time when ids are sent again.
const SWEEP_WIDTH: usize = 32;

/// Runs and reports.
///
/// # Errors
///
/// When the processes cannot be started or observed. Broken promises are in
/// the report.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let directory = match &options.bin_dir {
        Some(directory) => directory.clone(),
        None => binaries::directory()?,
    };
    let cluster = Arc::new(Cluster::start_from(&plan(options), directory).await?);
    let load = Load::new(Arc::clone(&cluster))?;
    let report = observe(&load, options).await?;
    if options.keep || report.violated() {
        cluster.save_metrics().await;
        cluster.keep_files_on_drop();
    }
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(report)
}

fn plan(options: &Options) -> Plan {
    Plan {
        seed: options.seed,
        entries: options.entries,
        spare_entries: 1,
        upstreams: options.upstreams,
        entry: fields(json!({
            "platform": {"timeout_ms": 500, "poll_ms": 1_000, "lease_ms": 4_000},
            "limits": {"lost_after_ms": 800, "idle_timeout_ms": 3_000, "probe_after_ms": 500},
        })),
        agent: fields(json!({"idle_timeout_ms": 3_000, "heartbeat_ms": 1_000})),
        kind: fields(json!({"deadline_ms": DEADLINE_MS})),
        ..Plan::default()
    }
}

async fn observe(load: &Arc<Load>, options: &Options) -> eyre::Result<Report> {
    let mut report = Report::new(options);
    let signals = Signals::default();
    let watcher = Watcher::start(&load.cluster);
    let organisations = 0..load.cluster.organisations().len();
    let start = |organisation| Operators::start(load, organisation, RIVALS, PUBLISH_PAUSE);
    let operators: Vec<_> = organisations.map(start).collect();
    let callers = random_callers::start(load, &signals, options.seed, options.callers);

    let faults = fail_for(load, &signals, options, &mut report).await;
    signals.stop.store(true, Ordering::Release);
    eprintln!("faults are over; callers end");
    callers.join_all().await;
    for operators in operators {
        match operators.stop().await {
            Ok(accepted) => report.templates_accepted += accepted,
            Err(err) => report.note(format!("templates: {err:#}")),
        }
    }
    eprintln!("ids are settled and sent again");
    if let Err(err) = settle_rest(load).await {
        report.note(format!("after all faults: {err:#}"));
    }
    report.take(load, &faults, &watcher).await?;
    Ok(report)
}

/// Brings faults about, and checks what is known of starts meanwhile.
async fn fail_for(
    load: &Arc<Load>,
    signals: &Signals,
    options: &Options,
    report: &mut Report,
) -> Faults {
    let length = Duration::from_secs(options.seconds);
    let faults = Faults::new(Arc::clone(load), signals.clone(), length);
    let checks = async {
        loop {
            sleep(CHECK_PERIOD).await;
            // Of an upstream that is leaving the latest starts are not known
            // yet; the last check has them all.
            if load.cluster.is_stopping(Role::Upstream) {
                continue;
            }
            if let Ok(violations) = load.violations().await
                && violations.total() > 0
                && !load.cluster.is_stopping(Role::Upstream)
            {
                return violations;
            }
        }
    };
    let lanes = join_all((0..options.faults).map(|lane| faults.lane(options.seed, lane)));
    tokio::select! {
        ended = lanes => {
            for err in ended.into_iter().filter_map(Result::err) {
                report.note(format!("faults: {err:#}"));
            }
        }
        violations = checks => report.note(format!("while running: {violations:?}")),
    }
    faults
}

/// With everything well again: each id gets its final answer, and what was
/// answered is asked for again through every entry.
async fn settle_rest(load: &Arc<Load>) -> eyre::Result<()> {
    let cluster = &load.cluster;
    let entries = cluster.running(Role::Entry);
    for name in entries.iter().chain(&cluster.running(Role::Agent)) {
        cluster.wait_ready(name).await?;
    }
    let settle = |submission: Submission| async move { load.settle(&submission).await.map(drop) };
    let settled = stream::iter(load.ledger.open()).map(settle).buffer_unordered(SWEEP_WIDTH);
    let settled: Vec<eyre::Result<()>> = settled.collect().await;
    for entry in &entries {
        let again = |submission: Submission| async move {
            load.submit(entry, &submission).await;
        };
        let recent = stream::iter(load.ledger.recent(RECENT));
        recent.map(again).buffer_unordered(SWEEP_WIDTH).collect::<Vec<()>>().await;
    }
    settled.into_iter().collect()
}

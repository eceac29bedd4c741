//! All entries and agents are stopped as planned and replaced, under load: no
//! request is cut off.

use {
    eyre::{ensure, eyre},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_bench::{client::Outcome, cluster::Role},
    sycamorerail_soak::{load::Load, plan::Plan, testing::with_cluster},
    tokio::{task::JoinSet, time::sleep},
};

const CALLERS: usize = 8;
/// Load between two stops.
const BETWEEN: Duration = Duration::from_millis(500);

fn plan() -> Plan {
    Plan { spare_entries: 1, spare_upstreams: 1, ..Plan::default() }
}

/// Submits one thing after the other. A submission that was not run is sent
/// again under a new id.
async fn call_on(
    load: Arc<Load>,
    caller: usize,
    stop: Arc<AtomicBool>,
    done: Arc<AtomicU64>,
) -> eyre::Result<()> {
    let organisation = caller % load.cluster.organisations().len();
    let mut number = caller;
    while !stop.load(Ordering::Acquire) {
        number += 1;
        let id = load.reserve_anywhere(organisation).await?;
        let submission = match number % 3 {
            0 => load.request(organisation, id, false, 300),
            1 => load.request(organisation, id, true, 300),
            _ => load.job(organisation, id, &[20, 200, 400]),
        };
        let answer = load.settle(&submission).await?;
        match answer.outcome {
            Outcome::Complete => drop(done.fetch_add(1, Ordering::AcqRel)),
            Outcome::NotRun => {}
            _ => return Err(eyre!("{submission:?}: {answer:?}")),
        }
    }
    Ok(())
}

/// Stops a process as planned, with its work in flight, and starts it again.
async fn restart(load: &Load, name: &str) -> eyre::Result<()> {
    load.cluster.stop(name)?;
    let ended = load.cluster.wait_end(name).await?;
    ensure!(ended.as_told(), "{name} ended with {}", ended.status);
    load.cluster.run(name)?;
    load.cluster.wait_ready(name).await
}

async fn restart_all(load: &Load) -> eyre::Result<()> {
    for entry in load.cluster.running(Role::Entry) {
        restart(load, &entry).await?;
        sleep(BETWEEN).await;
    }
    for agent in load.cluster.running(Role::Agent) {
        restart(load, &agent).await?;
        load.cluster.wait_taking_work(&agent).await?;
        sleep(BETWEEN).await;
    }
    Ok(())
}

/// Starts the spare processes and stops those that they replace.
async fn replace(load: &Load) -> eyre::Result<()> {
    let cluster = &load.cluster;
    for name in ["entry-3", "agent-3", "upstream-3"] {
        cluster.run(name)?;
    }
    cluster.wait_ready("entry-3").await?;
    cluster.wait_taking_work("agent-3").await?;
    for name in ["entry-1", "agent-1"] {
        cluster.stop(name)?;
        let ended = cluster.wait_end(name).await?;
        ensure!(ended.as_told(), "{name} ended with {}", ended.status);
    }
    for agent in ["agent-2", "agent-3"] {
        cluster.wait_taking_work(agent).await?;
    }
    sleep(BETWEEN).await;
    Ok(())
}

async fn under_load(
    load: Arc<Load>,
    stops: impl AsyncFnOnce(&Load) -> eyre::Result<()>,
) -> eyre::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call_on(Arc::clone(&load), caller, Arc::clone(&stop), Arc::clone(&done)));
    }
    sleep(BETWEEN).await;
    let stopped = stops(&load).await;
    stop.store(true, Ordering::Release);
    for ended in callers.join_all().await {
        ended?;
    }
    stopped?;
    ensure!(done.load(Ordering::Acquire) > 0, "nothing was complete");
    ensure!(load.cuts().is_empty(), "{:?}", load.cuts());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_under_load() {
    with_cluster(plan(), |load| under_load(load, restart_all)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replace_under_load() {
    with_cluster(plan(), |load| under_load(load, replace)).await;
}

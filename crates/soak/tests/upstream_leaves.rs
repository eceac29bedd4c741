//! An upstream that leaves gets no new work, and one that stands still costs
//! only what it holds.

use {
    eyre::ensure,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{
        load::Load,
        plan::{Plan, fields},
        standins::{order_upstream, starts_at},
        testing::{wait_starts, with_cluster},
    },
    sycamorerail_standin::upstream::UpstreamFaults,
    tokio::time::sleep,
};

/// A task that keeps the leaving upstream in service.
const LONG_RUN_MS: u64 = 8_000;
/// "A few seconds" after the announcement.
const BOUND: Duration = Duration::from_secs(3);
const SHORT_RUN_MS: u64 = 20;

async fn run_short(load: &Load, count: u32) -> eyre::Result<Vec<Outcome>> {
    let mut outcomes = Vec::new();
    for number in 0..count {
        let organisation = number as usize % load.cluster.organisations().len();
        let id = load.reserve_anywhere(organisation).await?;
        let submission = load.request(organisation, id, false, SHORT_RUN_MS);
        outcomes.push(load.settle(&submission).await?.outcome);
    }
    Ok(outcomes)
}

async fn leave(load: Arc<Load>) -> eyre::Result<()> {
    // Long tasks at both upstreams.
    let mut long = Vec::new();
    for _ in 0..8 {
        let id = load.reserve_anywhere(0).await?;
        long.push(load.request(0, id, false, LONG_RUN_MS));
    }
    let settled = load.settle_all(&long);
    let leaving = async {
        wait_starts(&load.cluster, 8).await?;
        ensure!(starts_at(&load.cluster, "upstream-1").await?.running > 0, "nothing runs there");
        // It tells its agent, serves what runs there, and ends.
        load.cluster.stop("upstream-1")?;
        run_short(&load, 20).await?;
        sleep(BOUND).await;
        let before = starts_at(&load.cluster, "upstream-1").await?;
        ensure!(before.running > 0, "the long tasks ended too soon for this test");
        let outcomes = run_short(&load, 40).await?;
        load.starts.lock().await.read(&load.cluster, "upstream-1").await?;
        let after = starts_at(&load.cluster, "upstream-1").await?;
        ensure!(after.starts == before.starts, "{} started since", after.starts - before.starts);
        ensure!(outcomes.iter().all(|one| *one == Outcome::Complete), "{outcomes:?}");
        Ok(after.after_leaving)
    };
    let (settled, after_leaving) = tokio::join!(settled, leaving);
    eprintln!("started between the announcement and the bound: {}", after_leaving?);
    ensure!(settled?.iter().all(|answer| answer.outcome == Outcome::Complete), "a task was cut");
    let ended = load.cluster.wait_end("upstream-1").await?;
    ensure!(ended.as_told(), "upstream-1 ended with {}", ended.status);
    load.starts.lock().await.stopped("upstream-1");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_gets_nothing() {
    with_cluster(Plan::default(), leave).await;
}

fn frozen_plan() -> Plan {
    Plan { kind: fields(json!({"deadline_ms": 8_000})), ..Plan::default() }
}

/// It stops renewing its lease, so it is taken for leaving; what it holds is
/// answered by the deadline, and truthfully when it goes on.
async fn freeze(load: Arc<Load>) -> eyre::Result<()> {
    let frozen = UpstreamFaults { freeze: true, ..UpstreamFaults::default() };
    order_upstream(&load.cluster, "upstream-1", frozen).await?;
    let mut sent = Vec::new();
    for number in 0..16 {
        let id = load.reserve_anywhere(0).await?;
        sent.push(match number % 2 {
            0 => load.request(0, id, false, SHORT_RUN_MS),
            _ => load.job(0, id, &[SHORT_RUN_MS, SHORT_RUN_MS]),
        });
    }
    load.settle_all(&sent).await?;
    // Its lease has lapsed by now: nothing more goes there.
    let outcomes = run_short(&load, 20).await?;
    ensure!(outcomes.iter().all(|one| *one == Outcome::Complete), "{outcomes:?}");
    order_upstream(&load.cluster, "upstream-1", UpstreamFaults::default()).await?;
    load.cluster.wait_taking_work("agent-1").await?;
    load.settle_all(&sent).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_then_thawed() {
    with_cluster(frozen_plan(), freeze).await;
}

//! An entry is killed and run again while its agents' next heartbeats are far
//! off: once ready it serves, and concludes on what its last run left.

use {
    eyre::ensure,
    serde_json::json,
    std::sync::Arc,
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{
        load::Load,
        plan::{Plan, fields},
        testing::with_cluster,
    },
};

/// The longest that settings allow.
const HEARTBEAT_MS: u64 = 60_000;
const RUN_MS: [u64; 2] = [10, 30];

fn plan() -> Plan {
    let idle_timeout_ms = 2 * HEARTBEAT_MS;
    Plan {
        entry: fields(json!({"limits": {"idle_timeout_ms": idle_timeout_ms}})),
        agent: fields(json!({"heartbeat_ms": HEARTBEAT_MS, "idle_timeout_ms": idle_timeout_ms})),
        ..Plan::default()
    }
}

async fn restart(load: Arc<Load>) -> eyre::Result<()> {
    let cluster = &load.cluster;
    let ids = load.reserve(0, "entry-1", 4).await?;
    let unused: Vec<_> = ids.into_iter().map(|id| load.job(0, id, &RUN_MS)).collect();
    cluster.kill("entry-1")?;
    cluster.run("entry-1")?;
    cluster.wait_ready("entry-1").await?;

    for organisation in 0..cluster.organisations().len() {
        let id = load.reserve(organisation, "entry-1", 1).await?.remove(0);
        let job = load.job(organisation, id, &RUN_MS);
        let answer = load.submit("entry-1", &job).await;
        let served = answer.as_ref().is_some_and(|answer| answer.outcome == Outcome::Complete);
        ensure!(served, "ready, and {answer:?}");
    }
    for job in &unused {
        let answer = load.submit("entry-1", job).await;
        let told = answer.as_ref().is_some_and(|answer| answer.outcome == Outcome::NotRun);
        ensure!(told, "all agents live, and {answer:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_once_ready() {
    with_cluster(plan(), restart).await;
}

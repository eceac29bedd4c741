//! Work that waits while the only agent is replaced goes to the next run of it.

use {
    eyre::ensure,
    serde_json::json,
    std::sync::Arc,
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{
        load::Load,
        plan::{Plan, fields},
        testing::{wait_jobs, wait_starts, with_cluster},
    },
};

const RUN_MS: u64 = 1_500;
const REQUESTS: u32 = 5;

fn plan() -> Plan {
    Plan { upstreams: 1, slots: 1, kind: fields(json!({"deadline_ms": 30_000})), ..Plan::default() }
}

async fn restart(load: Arc<Load>) -> eyre::Result<()> {
    let ids = load.reserve(0, "entry-1", REQUESTS).await?;
    let requests: Vec<_> = ids.into_iter().map(|id| load.request(0, id, false, RUN_MS)).collect();
    let settled = load.settle_all(&requests);
    let replaced = async {
        wait_starts(&load.cluster, 1).await?;
        // What comes after the agent began to leave is refused, as it should be.
        wait_jobs(&load.cluster, "entry-1", REQUESTS).await?;
        load.cluster.stop("agent-1")?;
        load.cluster.wait_end("agent-1").await?;
        load.cluster.run("agent-1")?;
        load.cluster.wait_taking_work("agent-1").await
    };
    let (settled, replaced) = tokio::join!(settled, replaced);
    replaced?;
    for answer in settled? {
        ensure!(answer.outcome == Outcome::Complete, "{answer:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_go_to_next_run() {
    with_cluster(plan(), restart).await;
}

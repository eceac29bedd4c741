//! An agent is killed or frozen in the middle of tasks.

use {
    eyre::ensure,
    futures::future::join_all,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{
        caller::Submission,
        load::Load,
        plan::{Plan, fields},
        standins::starts_at,
        testing::{wait_starts, with_cluster},
    },
    tokio::time::sleep,
};

const IDLE_TIMEOUT_MS: u64 = 1_500;
const DEADLINE_MS: u64 = 20_000;

fn plan() -> Plan {
    Plan {
        entry: fields(json!({
            "limits": {
                "idle_timeout_ms": IDLE_TIMEOUT_MS,
                "probe_after_ms": 300,
                "lost_after_ms": 500,
            },
        })),
        agent: fields(json!({"idle_timeout_ms": IDLE_TIMEOUT_MS, "heartbeat_ms": 500})),
        kind: fields(json!({"deadline_ms": DEADLINE_MS})),
        ..Plan::default()
    }
}

async fn submit_all(load: &Load, all: &[Submission]) {
    join_all(all.iter().map(|one| load.submit("entry-1", one))).await;
}

/// Submits one request after the other until an upstream starts one.
async fn wait_used(load: &Load, upstream: &str) -> eyre::Result<()> {
    let before = starts_at(&load.cluster, upstream).await?.starts;
    for _ in 0..200 {
        let id = load.reserve_anywhere(0).await?;
        load.settle(&load.request(0, id, true, 10)).await?;
        if starts_at(&load.cluster, upstream).await?.starts > before {
            return Ok(());
        }
    }
    eyre::bail!("{upstream} was given nothing")
}

async fn kill_mid_task(load: Arc<Load>) -> eyre::Result<()> {
    let all = load.mixed("entry-1", 9, 1_500, &[300, 1_500]).await?;
    let kill = async {
        wait_starts(&load.cluster, 10).await?;
        ensure!(starts_at(&load.cluster, "upstream-1").await?.running > 0, "nothing was running");
        load.cluster.kill("agent-1")
    };
    let ((), killed) = tokio::join!(submit_all(&load, &all), kill);
    killed?;
    let answers = load.settle_all(&all).await?;
    // What may be repeated is served all the same.
    for (one, answer) in all.iter().zip(answers) {
        let served = answer.outcome == Outcome::Complete;
        ensure!(!one.repeatable || served, "{one:?}: {answer:?}");
    }

    // The new run knows nothing of the old one's starts, and repeats none.
    load.cluster.run("agent-1")?;
    load.cluster.wait_taking_work("agent-1").await?;
    wait_used(&load, "upstream-1").await?;
    load.settle_all(&all).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_mid_task_restart() {
    with_cluster(plan(), kill_mid_task).await;
}

/// Frozen for longer than the idle timeout: entries take it for dead, and it
/// comes back with all it had.
async fn freeze_mid_task(load: Arc<Load>) -> eyre::Result<()> {
    let all = load.mixed("entry-1", 9, 1_500, &[300, 1_500]).await?;
    let freeze = async {
        wait_starts(&load.cluster, 10).await?;
        load.cluster.freeze("agent-1")?;
        sleep(Duration::from_millis(3 * IDLE_TIMEOUT_MS)).await;
        load.cluster.thaw("agent-1")
    };
    let ((), frozen) = tokio::join!(submit_all(&load, &all), freeze);
    frozen?;
    load.cluster.wait_taking_work("agent-1").await?;
    wait_used(&load, "upstream-1").await?;
    load.settle_all(&all).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_mid_task_thaw() {
    with_cluster(plan(), freeze_mid_task).await;
}

//! An entry stands still for longer than others wait for it, and goes on.

use {
    futures::future::join_all,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    sycamorerail_soak::{
        caller::Submission,
        load::Load,
        plan::{Plan, fields},
        testing::{wait_starts, with_cluster},
    },
    tokio::time::sleep,
};

const LOST_AFTER_MS: u64 = 500;
const IDLE_TIMEOUT_MS: u64 = 1_500;
const SLOTS: u16 = 4;

fn plan(entries: u16) -> Plan {
    Plan {
        entries,
        slots: SLOTS,
        entry: fields(json!({
            "limits": {
                "lost_after_ms": LOST_AFTER_MS,
                "probe_after_ms": 300,
                "idle_timeout_ms": IDLE_TIMEOUT_MS,
            },
        })),
        agent: fields(json!({"idle_timeout_ms": IDLE_TIMEOUT_MS, "heartbeat_ms": 500})),
        ..Plan::default()
    }
}

/// More tasks than slots: when the home stands still, some run, some wait at
/// agents and some at the home.
async fn submissions(load: &Load) -> eyre::Result<Vec<Submission>> {
    let mut all = Vec::new();
    for organisation in 0..load.cluster.organisations().len() {
        for (number, id) in load.reserve(organisation, "entry-1", 10).await?.into_iter().enumerate()
        {
            let submission = match number % 4 {
                0 => load.request(organisation, id, false, 700),
                1 => load.request(organisation, id, true, 700),
                _ => load.job(organisation, id, &[100, 700, 1_200]),
            };
            all.push(submission);
        }
    }
    Ok(all)
}

async fn freeze(load: Arc<Load>) -> eyre::Result<()> {
    let all = submissions(&load).await?;
    let waiting = all.iter().map(|one| load.submit("entry-1", one));
    let meanwhile = async {
        wait_starts(&load.cluster, u64::from(SLOTS)).await?;
        load.cluster.freeze("entry-1")?;
        sleep(Duration::from_millis(2 * (LOST_AFTER_MS + IDLE_TIMEOUT_MS))).await;
        let settled = load.settle_all(&all).await;
        load.cluster.thaw("entry-1")?;
        settled
    };
    // The callers at the frozen entry get their answers once it goes on.
    let (_, settled) = tokio::join!(join_all(waiting), meanwhile);
    settled?;
    load.cluster.wait_ready("entry-1").await?;
    for one in &all {
        for entry in ["entry-1", "entry-2"] {
            load.submit(entry, one).await;
        }
    }
    // It serves again, under ids of a new run.
    for organisation in 0..load.cluster.organisations().len() {
        let id = load.reserve(organisation, "entry-1", 1).await?.remove(0);
        load.settle(&load.job(organisation, id, &[10, 10])).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_of_two() {
    with_cluster(plan(2), freeze).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_of_three() {
    with_cluster(plan(3), freeze).await;
}

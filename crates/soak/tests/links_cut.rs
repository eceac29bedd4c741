//! Links of a home are cut, both ways or one way, for longer than others wait
//! for it, and come back.

use {
    futures::future::join_all,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{
        caller::Submission,
        links::Direction,
        load::Load,
        plan::{Plan, fields},
        testing::{wait_starts, with_cluster},
        wait::until,
    },
    tokio::time::sleep,
};

const LOST_AFTER_MS: u64 = 500;
const IDLE_TIMEOUT_MS: u64 = 1_500;
const SLOTS: u16 = 4;
const DEADLINE_MS: u64 = 8_000;

fn plan() -> Plan {
    Plan {
        entries: 3,
        slots: SLOTS,
        entry: fields(json!({
            "limits": {
                "lost_after_ms": LOST_AFTER_MS,
                "probe_after_ms": 300,
                "idle_timeout_ms": IDLE_TIMEOUT_MS,
            },
        })),
        agent: fields(json!({"idle_timeout_ms": IDLE_TIMEOUT_MS, "heartbeat_ms": 500})),
        kind: fields(json!({"deadline_ms": DEADLINE_MS})),
        ..Plan::default()
    }
}

/// Submits through one entry until the answer is not in doubt.
async fn decide(load: &Load, entry: &str, one: &Submission) -> eyre::Result<()> {
    until("it is decided", || async {
        let answer = load.submit(entry, one).await;
        Ok(answer.filter(|answer| answer.outcome != Outcome::InDoubt).map(drop))
    })
    .await
}

/// Callers stay at the home and go to the others at the same time; all must be
/// told the same in the end.
async fn cut(load: Arc<Load>, other: Option<&str>, direction: Direction) -> eyre::Result<()> {
    let all = load.mixed("entry-1", 9, 2_000, &[100, 2_000, 3_000]).await?;
    let at_home = all.iter().map(|one| load.submit("entry-1", one));
    let elsewhere = async {
        wait_starts(&load.cluster, u64::from(SLOTS)).await?;
        load.cluster.links().cut("entry-1", other, direction);
        join_all(all.iter().map(|one| load.submit("entry-2", one))).await;
        // While the cut lasts: the home is reached, or concluded on without it.
        let decided = join_all(all.iter().map(|one| decide(&load, "entry-3", one))).await;
        sleep(Duration::from_millis(2 * IDLE_TIMEOUT_MS)).await;
        load.cluster.links().heal("entry-1");
        decided.into_iter().collect::<eyre::Result<()>>()
    };
    let (_, cut) = tokio::join!(join_all(at_home), elsewhere);
    cut?;
    load.settle_all(&all).await?;
    for one in &all {
        for entry in ["entry-1", "entry-2", "entry-3"] {
            load.submit(entry, one).await;
        }
    }
    // All serve again.
    for agent in ["agent-1", "agent-2"] {
        load.cluster.wait_taking_work(agent).await?;
    }
    for entry in ["entry-1", "entry-2", "entry-3"] {
        let id = load.reserve(0, entry, 1).await?.remove(0);
        load.settle(&load.job(0, id, &[10, 10])).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn home_cut_off() {
    with_cluster(plan(), |load| cut(load, None, Direction::Both)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn home_unheard() {
    with_cluster(plan(), |load| cut(load, None, Direction::FromEntry)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn home_deaf() {
    with_cluster(plan(), |load| cut(load, None, Direction::ToEntry)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn home_and_agent() {
    with_cluster(plan(), |load| cut(load, Some("agent-1"), Direction::Both)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn home_and_entry() {
    with_cluster(plan(), |load| cut(load, Some("entry-2"), Direction::Both)).await;
}

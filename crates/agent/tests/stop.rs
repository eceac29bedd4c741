//! Planned stops, and an upstream that leaves or whose lease lapses.

mod support;

use {
    support::{Cluster, not_started, wait_until},
    sycamorerail_agent::agent::StopOutcome,
    sycamorerail_wire::{
        answer::{Reason, TaskEnd},
        message::AgentReplyBody,
        session::peer_drained,
    },
};

const SLOW: &str = r#"{"run_ms":600000}"#;

#[tokio::test]
async fn drain_finishes_running_tasks() {
    let cluster = Cluster::start(1).await;
    let running = cluster.entry.spawn_place(&cluster.placement(1, r#"{"run_ms":3000}"#)).await;
    cluster.wait_until_started(1).await;
    let queued = cluster.entry.spawn_place(&cluster.placement(2, "{}")).await;
    wait_until("queued", || cluster.agent.counts().queued == 1).await;
    let refused = cluster.placement(3, "{}");
    let entry = cluster.entry;
    let stopping = tokio::spawn(cluster.agent.stop());
    assert_eq!(not_started(queued.await.unwrap()), (Reason::Draining, true));
    wait_until("the entry knows", || entry.last_hello().is_some_and(|hello| hello.load.leaving))
        .await;
    assert_eq!(not_started(entry.place(&refused).await), (Reason::Draining, true));
    let reply = running.await.unwrap();
    assert!(matches!(reply, AgentReplyBody::Ended { end: TaskEnd::Finished(_), .. }), "{reply:?}");
    let connection = entry.connection().await;
    assert_eq!(stopping.await.unwrap(), StopOutcome { cut: 0 });
    connection.closed().await;
    assert!(peer_drained(&connection));
    assert_eq!(cluster.upstream.starts(false).starts, 1);
}

#[tokio::test]
async fn upstream_leaves() {
    let cluster = Cluster::start(1).await;
    assert_eq!(cluster.get("/ready").await.0, 200);
    let running = cluster.entry.spawn_place(&cluster.placement(1, r#"{"run_ms":3000}"#)).await;
    cluster.wait_until_started(1).await;
    let queued = cluster.entry.spawn_place(&cluster.placement(2, "{}")).await;
    wait_until("queued", || cluster.agent.counts().queued == 1).await;
    cluster.upstream.leave().await.unwrap();
    assert_eq!(not_started(queued.await.unwrap()), (Reason::Leaving, false));
    let is_informed = || cluster.entry.last_hello().is_some_and(|hello| hello.load.leaving);
    wait_until("the entry knows", is_informed).await;
    assert_eq!(cluster.get("/ready").await.0, 503);
    let reply = cluster.entry.place(&cluster.placement(3, "{}")).await;
    assert_eq!(not_started(reply), (Reason::Leaving, false));
    let reply = running.await.unwrap();
    assert!(matches!(reply, AgentReplyBody::Ended { end: TaskEnd::Finished(_), .. }), "{reply:?}");
}

#[tokio::test]
async fn lease_lapses() {
    let cluster = Cluster::start_with(1, |settings| settings.upstream_lease_ms = 1_000).await;
    let running = cluster.entry.spawn_place(&cluster.placement(1, SLOW)).await;
    cluster.wait_until_started(1).await;
    cluster.upstream.stop().await;
    let is_informed = || cluster.entry.last_hello().is_some_and(|hello| hello.load.leaving);
    wait_until("the entry knows", is_informed).await;
    let late = support::placement(cluster.agent.incarnation(), 2, "{}");
    assert_eq!(not_started(cluster.entry.place(&late).await), (Reason::Leaving, false));
    assert_eq!(running.await.unwrap(), AgentReplyBody::Broken(Reason::UpstreamBroken));
}

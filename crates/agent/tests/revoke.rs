//! Revoked tasks and fenced homes.

mod support;

use {
    support::{Cluster, HOME, TEST_TIMEOUT, not_started, task, wait_until},
    sycamorerail_wire::{
        answer::{Reason, TaskEnd, TaskRecord},
        ids::Incarnation,
        message::{AgentReplyBody, FencedJob, ToAgent},
    },
    tokio::{io::AsyncReadExt, net::TcpListener},
};

const SLOW: &str = r#"{"run_ms":600000}"#;

fn record(reply: AgentReplyBody) -> TaskRecord {
    let AgentReplyBody::Revoked(mut reports) = reply else { panic!("{reply:?}") };
    assert_eq!(reports.len(), 1);
    reports.remove(0).record
}

fn cancelled() -> TaskEnd {
    TaskEnd::Failed { reason: Reason::Cancelled, detail: String::new() }
}

#[tokio::test]
async fn revoke_before_start() {
    let cluster = Cluster::start(1).await;
    let revoked = cluster.entry.revoke(task(1)).await;
    assert_eq!(record(revoked), TaskRecord::NeverStarted);
    let reply = cluster.entry.place(&cluster.placement(1, "{}")).await;
    assert_eq!(not_started(reply), (Reason::Revoked, true));
    assert_eq!(cluster.starts(), 0);
}

#[tokio::test]
async fn revoke_while_running() {
    let cluster = Cluster::start(1).await;
    let running = cluster.entry.spawn_place(&cluster.placement(1, SLOW)).await;
    cluster.wait_until_started(1).await;
    let next = cluster.entry.spawn_place(&cluster.placement(2, "{}")).await;
    let revoked = cluster.entry.revoke(task(1)).await;
    assert_eq!(record(revoked), TaskRecord::Ended(cancelled()));
    let AgentReplyBody::Ended { end, .. } = running.await.unwrap() else { panic!("no end") };
    assert_eq!(end, cancelled());
    let next = next.await.unwrap();
    assert!(matches!(next, AgentReplyBody::Ended { .. }), "{next:?}");
}

#[tokio::test]
async fn revoke_closes_upstream_call() {
    let cluster = Cluster::start(1).await;
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    cluster.announce(upstream.local_addr().unwrap()).await;
    let _running = cluster.entry.spawn_place(&cluster.placement(1, "{}")).await;
    let (mut call, _) = upstream.accept().await.unwrap();
    assert!(call.read(&mut [0; 1]).await.unwrap() > 0);
    cluster.entry.revoke(task(1)).await;
    let mut rest = Vec::new();
    // Returns when the agent has closed the connection, gracefully or not.
    let ended = tokio::time::timeout(TEST_TIMEOUT, call.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the call goes on");
}

#[tokio::test]
async fn revoke_while_queued() {
    let cluster = Cluster::start(1).await;
    let _running = cluster.entry.spawn_place(&cluster.placement(1, SLOW)).await;
    cluster.wait_until_started(1).await;
    let queued = cluster.entry.spawn_place(&cluster.placement(2, "{}")).await;
    let revoked = cluster.entry.revoke(task(2)).await;
    assert_eq!(record(revoked), TaskRecord::NeverStarted);
    assert_eq!(not_started(queued.await.unwrap()), (Reason::Revoked, true));
}

#[tokio::test]
async fn revoke_after_end() {
    let cluster = Cluster::start(1).await;
    let AgentReplyBody::Ended { end, .. } = cluster.entry.place(&cluster.placement(1, "{}")).await
    else {
        panic!("no end");
    };
    assert_eq!(record(cluster.entry.revoke(task(1)).await), TaskRecord::Ended(end));
}

#[tokio::test]
async fn fence_reports_jobs() {
    let cluster = Cluster::start(1).await;
    let ended = cluster.entry.place(&cluster.placement(1, "{}")).await;
    let AgentReplyBody::Ended { end, .. } = ended else { panic!("{ended:?}") };
    let _running = cluster.entry.spawn_place(&cluster.placement(2, SLOW)).await;
    cluster.wait_until_started(2).await;
    let queued = cluster.entry.spawn_place(&cluster.placement(3, "{}")).await;
    wait_until("queued", || cluster.agent.counts().queued == 1).await;
    let jobs = (1..=4).map(|sequence| task(sequence).job).collect();
    let fenced = cluster.entry.call(&ToAgent::Fence { home: HOME, jobs }).await;
    let AgentReplyBody::Fenced(jobs) = fenced.body else { panic!("{fenced:?}") };
    let first_report = |job: &FencedJob| (job.tasks[0].task, job.tasks[0].record.clone());
    let reports: Vec<_> = jobs.iter().map(first_report).collect();
    assert_eq!(reports, [(task(1), TaskRecord::Ended(end)), (task(2), TaskRecord::Running)]);
    assert_eq!(not_started(queued.await.unwrap()), (Reason::Fenced, true));
    let reply = cluster.entry.place(&cluster.placement(5, "{}")).await;
    assert_eq!(not_started(reply), (Reason::Fenced, true));
}

#[tokio::test]
async fn welcome_carries_fences() {
    let cluster = Cluster::start(1).await;
    cluster.entry.set_members(Vec::new(), vec![Incarnation(1), HOME]);
    cluster.entry.close_connection().await;
    let reply = cluster.entry.place(&cluster.placement(1, "{}")).await;
    assert_eq!(not_started(reply), (Reason::Fenced, true));
}

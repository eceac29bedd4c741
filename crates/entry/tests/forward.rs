//! Calls on a job at an entry that is not its home.

mod forward_cluster;
mod support;

use {
    forward_cluster::{Cluster, echoes, job, until},
    reqwest::Method,
    std::time::Duration,
    sycamorerail_entry::drain,
    sycamorerail_settings::entry::LimitSettings,
};

/// No home is taken as lost by mistake, however slow the machine.
fn patient(limits: &mut LimitSettings) {
    limits.lost_after_ms = 15_000;
    limits.probe_after_ms = 5_000;
}

#[tokio::test]
async fn other_entry() {
    let cluster = Cluster::start_with(2, 2, patient).await;
    let [home, other] = &cluster.nodes[..] else { panic!("two entries") };
    let id = home.id().await;
    let got = other.submit(&id, &job(3, 10)).await;
    assert_eq!(got.verdict(), (200, "complete", "done"), "{}", got.body);
    assert_eq!(echoes(&got), [0, 1, 2]);
    for node in [home, other] {
        assert_eq!(echoes(&node.fetch(&id).await), [0, 1, 2]);
    }
    assert_eq!(cluster.starts_of(&id), 3);
}

#[tokio::test]
async fn resubmission_joins() {
    let cluster = Cluster::start_with(3, 2, patient).await;
    let id = cluster.nodes[0].id().await;
    let body = job(2, 300);
    let submit = |node: usize| cluster.nodes[node].submit(&id, &body);
    let (one, two, three) = tokio::join!(submit(0), submit(1), submit(2));
    for got in [one, two, three, submit(1).await] {
        assert_eq!(got.verdict(), (200, "complete", "done"), "{}", got.body);
        assert_eq!(echoes(&got), [0, 1]);
    }
    assert_eq!(cluster.starts_of(&id), 2);
}

#[tokio::test]
async fn other_body() {
    let cluster = Cluster::start_with(2, 1, patient).await;
    let id = cluster.nodes[0].id().await;
    assert_eq!(cluster.nodes[0].submit(&id, &job(1, 0)).await.status, 200);
    let got = cluster.nodes[1].submit(&id, &job(2, 0)).await;
    assert_eq!(got.verdict(), (409, "failed", "conflict"));
}

#[tokio::test]
async fn cancel_elsewhere() {
    let cluster = Cluster::start_with(2, 1, patient).await;
    let [home, other] = &cluster.nodes[..] else { panic!("two entries") };
    let id = home.id().await;
    let got = other.call(Method::DELETE, &format!("/v1/jobs/{id}"), None).await;
    assert_eq!(got.text("outcome"), "not_run", "{}", got.body);
    let got = other.submit(&id, &job(1, 0)).await;
    assert_eq!(got.text("outcome"), "not_run", "{}", got.body);
    assert_eq!(cluster.starts_of(&id), 0);
}

#[tokio::test]
async fn draining_home() {
    let cluster = Cluster::start_with(2, 1, patient).await;
    let [home, other] = &cluster.nodes[..] else { panic!("two entries") };
    let ids = home.ids(2).await;
    assert_eq!(other.submit(&ids[0], &job(1, 0)).await.status, 200);
    home.entry.shared.lifecycle.drain();
    let got = other.submit(&ids[0], &job(1, 0)).await;
    assert_eq!(got.verdict(), (200, "complete", "done"), "known: joined");
    let got = other.submit(&ids[1], &job(1, 0)).await;
    assert_eq!((got.text("outcome"), got.text("reason")), ("not_run", "draining"));
}

/// A stop counts what is in flight once more after the listener has closed:
/// calls of other entries taken then would count as cut off.
#[tokio::test]
async fn closing_home() {
    let cluster = Cluster::start_with(2, 1, patient).await;
    let [home, other] = &cluster.nodes[..] else { panic!("two entries") };
    let ids = home.ids(1).await;
    assert_eq!(other.submit(&ids[0], &job(1, 0)).await.status, 200);
    let shared = &home.entry.shared;
    shared.lifecycle.drain();
    drain::close(shared, Duration::ZERO).await;
    let got = other.submit(&ids[0], &job(1, 0)).await;
    assert_eq!((got.text("outcome"), got.text("reason")), ("in_doubt", "home_unreachable"));
    assert_eq!(shared.lifecycle.requests(), 0);
}

#[tokio::test]
async fn stopped_home() {
    let mut cluster = Cluster::start_with(2, 1, patient).await;
    let home = cluster.nodes.remove(0);
    let ids = home.ids(2).await;
    assert_eq!(home.submit(&ids[0], &job(2, 10)).await.status, 200);
    let run = home.entry.shared.incarnation();
    home.entry.drain().await.unwrap();
    home.peers.leave().await;
    let other = &cluster.nodes[0];
    let knows = async || {
        let members = other.peers.membership().unwrap().members();
        members.fenced.contains_key(&run) && !members.entries.contains_key(&run)
    };
    until("the others see that it left", knows).await;
    let got = other.submit(&ids[0], &job(2, 10)).await;
    assert_eq!((got.text("outcome"), echoes(&got)), ("complete", vec![0, 1]));
    let got = other.submit(&ids[1], &job(1, 10)).await;
    assert_eq!((got.text("outcome"), got.text("reason")), ("not_run", "home_lost"));
    assert_eq!(cluster.starts_of(&ids[0]), 2);
}

#[tokio::test]
async fn entries_listed() {
    let cluster = Cluster::start_with(3, 1, patient).await;
    let addresses: Vec<_> = cluster.nodes.iter().map(|node| node.entry.inner_address()).collect();
    let node = &cluster.nodes[0];
    let all = async || {
        let known = node.peers.membership().unwrap().addresses();
        addresses.iter().all(|address| known.contains(address))
    };
    until("the platform tells all entries", all).await;
    let status = node.peers.status(&node.entry.shared, addresses[1]).await.unwrap();
    assert_eq!(status.incarnation, cluster.nodes[1].entry.shared.incarnation());
}

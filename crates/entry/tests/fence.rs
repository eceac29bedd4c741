//! Homes that are lost, or cut off and back: each id has one final answer, and
//! no task starts twice.

mod forward_cluster;
mod support;

use {
    forward_cluster::{Cluster, Node, echoes, job, until},
    futures::future::join_all,
    serde_json::Value,
    std::{collections::BTreeMap, sync::atomic::Ordering, time::Duration},
    support::Got,
    tokio::time::sleep,
};

/// Jobs of a test: id and body.
async fn jobs(cluster: &Cluster, count: u32) -> Vec<(String, Value)> {
    let ids = cluster.nodes[0].ids(count).await;
    let shape = |(number, id): (usize, String)| {
        let run_ms = 30 + 97 * number as u64 % 600;
        let mut body = job(1 + number % 4, run_ms);
        // A home that is cut off from its agents answers by then.
        body["deadline_ms"] = 6_000.into();
        (id, body)
    };
    ids.into_iter().enumerate().map(shape).collect()
}

/// What every entry but the first says of each job, once decided.
async fn decided(cluster: &Cluster, jobs: &[(String, Value)]) -> Vec<Vec<Got>> {
    let at = async |node: &Node| {
        let each = |(id, body)| node.submit_until_decided(id, body);
        join_all(jobs.iter().map(|(id, body)| each((id.as_str(), body)))).await
    };
    join_all(cluster.nodes[1..].iter().map(at)).await
}

/// All entries say the same of a job, unless they don't know.
fn assert_agree(said: &[Vec<Got>], number: usize) -> String {
    let outcomes: Vec<_> = said.iter().map(|at| at[number].text("outcome")).collect();
    let finals: Vec<_> = outcomes.iter().filter(|outcome| **outcome != "unknown").collect();
    assert!(finals.windows(2).all(|pair| pair[0] == pair[1]), "{outcomes:?}");
    finals.first().map_or("unknown", |outcome| **outcome).to_owned()
}

fn assert_true(cluster: &Cluster, id: &str, tasks: usize, outcome: &str, got: &Got) {
    let starts = cluster.starts_of(id);
    match outcome {
        "not_run" => assert_eq!(starts, 0, "{}", got.body),
        "complete" => {
            assert_eq!(starts as usize, tasks, "{}", got.body);
            assert_eq!(echoes(got), (0..tasks as u64).collect::<Vec<_>>());
        }
        _ => {}
    }
}

fn task_count(body: &Value) -> usize {
    body["tasks"].as_array().unwrap().len()
}

#[tokio::test]
async fn home_killed() {
    let cluster = Cluster::start(3, 3).await;
    let jobs = jobs(&cluster, 40).await;
    let first = &cluster.nodes[0];
    let submitting = join_all(jobs[..30].iter().map(|(id, body)| first.submit(id, body)));
    let killing = async {
        until("some started", async || !cluster.starts().is_empty()).await;
        sleep(Duration::from_millis(100)).await;
        first.kill();
    };
    let (home_said, ()) = tokio::join!(submitting, killing);
    let said = decided(&cluster, &jobs).await;
    cluster.idle().await;
    cluster.assert_started_once();
    let mut tally: BTreeMap<String, usize> = BTreeMap::new();
    for (number, (id, body)) in jobs.iter().enumerate() {
        let outcome = assert_agree(&said, number);
        assert_true(&cluster, id, task_count(body), &outcome, &said[0][number]);
        if let Some(home) = home_said.get(number) {
            let home = home.text("outcome");
            let compatible = [home, &outcome].contains(&"unknown") || home == outcome;
            assert!(compatible, "home said {home}, others {outcome}");
        }
        *tally.entry(outcome).or_default() += 1;
    }
    // All agents answer, and what was never submitted was never started.
    assert!(tally["not_run"] >= 10, "{tally:?}");
    assert!(tally.contains_key("complete"), "{tally:?}");
    assert!(!tally.contains_key("unknown"), "{tally:?}");
}

#[tokio::test]
async fn not_run_is_final() {
    let cluster = Cluster::start(2, 2).await;
    let [home, other] = &cluster.nodes[..] else { panic!("two entries") };
    let id = home.id().await;
    home.kill();
    let body = job(1, 0);
    let in_doubt = other.submit(&id, &body).await;
    assert_eq!((in_doubt.status, in_doubt.text("outcome")), (202, "in_doubt"));
    assert_eq!(in_doubt.text("reason"), "home_unreachable");
    assert!(in_doubt.body["retry_after_ms"].as_u64().is_some());
    for _ in 0..2 {
        let got = other.submit_until_decided(&id, &body).await;
        assert_eq!((got.text("outcome"), got.text("reason")), ("not_run", "home_lost"));
    }
    let new = other.id().await;
    assert_eq!(other.submit(&new, &body).await.text("outcome"), "complete");
    assert_eq!(cluster.starts_of(&id), 0);
}

#[tokio::test]
async fn answer_recovered() {
    let cluster = Cluster::start(2, 2).await;
    let [home, other] = &cluster.nodes[..] else { panic!("two entries") };
    let (id, body) = (home.id().await, job(3, 20));
    assert_eq!(home.submit(&id, &body).await.text("outcome"), "complete");
    home.kill();
    until("it is decided", async || other.fetch(&id).await.text("outcome") != "in_doubt").await;
    assert_eq!(echoes(&other.fetch(&id).await), [0, 1, 2]);
    assert_eq!(echoes(&other.submit(&id, &body).await), [0, 1, 2]);
    let got = other.submit(&id, &job(2, 20)).await;
    assert_eq!(got.verdict(), (409, "failed", "conflict"), "another body");
    assert_eq!(cluster.starts_of(&id), 3);
}

#[tokio::test]
async fn dead_agent_unknown() {
    let mut cluster = Cluster::start(2, 2).await;
    let id = cluster.nodes[0].id().await;
    cluster.slots.pop().unwrap().agent.abort().await;
    cluster.nodes[0].kill();
    let other = &cluster.nodes[1];
    let got = other.submit_until_decided(&id, &job(1, 0)).await;
    assert_eq!((got.text("outcome"), got.text("reason")), ("unknown", "home_lost"));
}

#[tokio::test]
async fn restarted_home() {
    let mut cluster = Cluster::start(2, 2).await;
    let ids = cluster.nodes[0].ids(2).await;
    let body = job(1, 10);
    assert_eq!(cluster.nodes[0].submit(&ids[0], &body).await.text("outcome"), "complete");
    // Another process at the address: the same as a run of another incarnation.
    let home = cluster.nodes.remove(0);
    home.kill();
    let address = home.free_address().await;
    cluster.add_node_at(address).await;
    for node in &cluster.nodes {
        let got = node.submit_until_decided(&ids[0], &body).await;
        assert_eq!(got.text("outcome"), "complete", "{}", got.body);
        let got = node.submit_until_decided(&ids[1], &body).await;
        assert_eq!(got.text("outcome"), "not_run", "{}", got.body);
    }
    cluster.assert_started_once();
}

#[tokio::test]
async fn platform_out() {
    let cluster = Cluster::start(2, 2).await;
    let [home, other] = &cluster.nodes[..] else { panic!("two entries") };
    let ids = home.ids(2).await;
    let body = job(2, 10);
    assert_eq!(home.submit(&ids[0], &body).await.text("outcome"), "complete");
    cluster.platform.refuse().await.unwrap();
    home.kill();
    let got = other.submit_until_decided(&ids[0], &body).await;
    assert_eq!(got.text("outcome"), "complete", "agents tell it, without the platform");
    let platform_out = async || other.submit(&ids[1], &body).await.text("reason") == "platform_out";
    until("nothing is concluded from silence", platform_out).await;
    cluster.platform.heal().await.unwrap();
    let got = other.submit_until_decided(&ids[1], &body).await;
    assert_eq!(got.text("outcome"), "not_run");
}

/// The home loses the platform and the other entries, but not the agents, and
/// serves its callers on. It is fenced, and later back.
#[tokio::test]
async fn home_cut_off() {
    let cluster = Cluster::start(3, 3).await;
    let jobs = jobs(&cluster, 40).await;
    let home = &cluster.nodes[0];
    let run = home.entry.shared.incarnation();
    home.relay.cut(true);
    home.cut_from_entries.store(true, Ordering::Release);
    let at_home = join_all(jobs.iter().enumerate().map(async |(number, (id, body))| {
        sleep(Duration::from_millis(60 * number as u64)).await;
        home.submit(id, body).await
    }));
    let (home_said, said) = tokio::join!(at_home, decided(&cluster, &jobs));
    home.relay.cut(false);
    home.cut_from_entries.store(false, Ordering::Release);
    until("it goes on", async || home.entry.shared.incarnation() != run).await;
    until("its run is usable", async || {
        let snapshot = home.entry.shared.upstreams.snapshot();
        snapshot.view.rows.len() == cluster.slots.len()
    })
    .await;
    cluster.idle().await;
    cluster.assert_started_once();
    for (number, (id, body)) in jobs.iter().enumerate() {
        let outcome = assert_agree(&said, number);
        assert_true(&cluster, id, task_count(body), &outcome, &said[0][number]);
        for got in [&home_said[number], &home.submit(id, body).await] {
            let home = got.text("outcome");
            let compatible = [home, &outcome].contains(&"unknown") || home == outcome;
            assert!(compatible, "home said {home}, others {outcome}: {}", got.body);
            assert_true(&cluster, id, task_count(body), home, got);
        }
    }
    let new = home.id().await;
    assert_eq!(home.submit(&new, &job(2, 10)).await.text("outcome"), "complete");
}

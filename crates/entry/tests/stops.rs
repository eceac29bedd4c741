//! Jobs that end early: cancelled, past their deadline, or abandoned.

mod support;

use {
    serde_json::{Value, json},
    std::time::Duration,
    support::World,
};

fn hanging(count: usize, deadline_ms: u32) -> Value {
    let tasks = vec![json!({ "do": "hang" }); count];
    json!({ "kind": "once", "tasks": tasks, "deadline_ms": deadline_ms })
}

#[tokio::test]
async fn cancel_running() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    let cancel = async {
        agent.started(2).await;
        world.cancel(&id).await
    };
    let body = hanging(2, 15_000);
    let (submitted, cancelled) = tokio::join!(world.put_job(&id, &body), cancel);
    assert_eq!(cancelled.verdict(), (409, "failed", "cancelled"));
    assert_eq!(submitted.body, cancelled.body);
}

#[tokio::test]
async fn cancel_unsubmitted() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    assert_eq!(world.cancel(&id).await.verdict(), (409, "not_run", "cancelled"));
    let late = world.put_job(&id, &hanging(1, 15_000)).await;
    assert_eq!(late.verdict(), (409, "not_run", "cancelled"));
    assert!(agent.starts().is_empty());
}

#[tokio::test]
async fn cancel_waiting() {
    let world = World::start().await;
    let agent = world.agent_with("a", 1).await;
    let first = world.id().await;
    let second = world.id().await;
    let flow = async {
        agent.started(1).await;
        // One may wait at the agent, the rest waits at the entry.
        world.fetch_until(&second, "in_doubt").await;
        world.cancel(&second).await
    };
    let (first_body, second_body) = (hanging(1, 15_000), hanging(3, 15_000));
    let submit_second = async {
        agent.started(1).await;
        world.put_job(&second, &second_body).await
    };
    let submit_first = async {
        let answer = world.put_job(&first, &first_body).await;
        assert_eq!(answer.text("outcome"), "complete");
    };
    let release = async {
        let cancelled = flow.await;
        agent.finish_all();
        cancelled
    };
    let ((), submitted, cancelled) = tokio::join!(submit_first, submit_second, release);
    assert_eq!(cancelled.text("reason"), "cancelled");
    assert_eq!(submitted.body, cancelled.body);
}

#[tokio::test]
async fn deadline_passes() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let started = world.put_job(&world.id().await, &hanging(1, 200)).await;
    assert_eq!(started.verdict(), (504, "failed", "deadline_passed"));
    agent.heard_at_least("revoke", 1).await;
    let refused = json!({ "kind": "once", "tasks": [{ "do": "refuse" }], "deadline_ms": 200 });
    let never = world.put_job(&world.id().await, &refused).await;
    assert_eq!(never.verdict(), (504, "not_run", "deadline_passed"));
    assert_eq!(never.retry_after.as_deref(), Some("1"));
}

#[tokio::test]
async fn caller_hangs_up() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    let body = hanging(1, 15_000);
    let hung_up = tokio::time::timeout(Duration::from_secs(1), world.put_job(&id, &body)).await;
    assert!(hung_up.is_err());
    agent.started(1).await;
    agent.finish_all();
    let answer = world.fetch_until(&id, "complete").await;
    assert_eq!(answer.body["results"], json!(["released"]));
}

//! Answers: whole, kept, and only to their own submission.

mod support;

use {
    reqwest::Method,
    serde_json::{Value, json},
    std::time::Duration,
    support::World,
};

fn tasks(orders: &[&str]) -> Value {
    let tasks: Vec<_> = orders.iter().map(|order| json!({ "do": order })).collect();
    json!({ "kind": "once", "tasks": tasks })
}

#[tokio::test]
async fn whole_answer() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let tasks: Vec<_> = (0..20).map(|n| json!({ "n": n })).collect();
    let got =
        world.put_job(&world.id().await, &json!({ "kind": "once", "tasks": tasks.clone() })).await;
    assert_eq!(got.verdict(), (200, "complete", "done"));
    assert_eq!(got.body["results"], Value::Array(tasks));
    assert_eq!(agent.starts().len(), 20);
}

#[tokio::test]
async fn resubmission_joins() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    let body = tasks(&["hang"]);
    let release = async {
        agent.started(1).await;
        agent.finish_all();
    };
    let (first, second, ()) =
        tokio::join!(world.put_job(&id, &body), world.put_job(&id, &body), release);
    assert_eq!(first.body, second.body);
    assert_eq!(first.body["results"], json!(["released"]));
    let kept = world.put_job(&id, &body).await;
    assert_eq!(kept.body, first.body);
    assert_eq!(agent.starts().len(), 1);
}

#[tokio::test]
async fn other_body_conflicts() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    let first = world.put_job(&id, &tasks(&["ok"])).await;
    let other = world.put_job(&id, &tasks(&["ok", "ok"])).await;
    assert_eq!(other.verdict(), (409, "failed", "conflict"));
    let unit = world.put_request(&id, &json!({ "kind": "once", "payload": { "do": "ok" } })).await;
    assert_eq!(unit.verdict(), (409, "failed", "conflict"));
    assert_eq!(world.fetch(&id).await.body, first.body);
    assert_eq!(agent.starts().len(), 1);
}

#[tokio::test]
async fn first_failure_decides() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let got = world.put_job(&world.id().await, &tasks(&["hang", "hang", "fail"])).await;
    assert_eq!(got.verdict(), (502, "failed", "task_failed"));
    assert_eq!(got.body["peer"], "a");
    assert_eq!(got.body["results"], json!([]));
    agent.heard_at_least("revoke", 1).await;
}

#[tokio::test]
async fn other_organisation() {
    let world = World::start().await;
    let _agent = world.agent("a").await;
    let id = world.id().await;
    let path = format!("/v1/jobs/{id}");
    let theirs = world.call(Method::PUT, &path, "rangmancha", Some(&tasks(&["ok"]))).await;
    assert_eq!((theirs.status, theirs.text("reason")), (404, "not_found"));
    assert_eq!(world.put_job(&id, &tasks(&["ok"])).await.status, 200);
    let theirs = world.call(Method::GET, &path, "rangmancha", None).await;
    assert_eq!((theirs.status, theirs.body["results"].clone()), (404, json!([])));
    let nobody = world.call(Method::GET, &path, "nobody", None).await;
    assert_eq!((nobody.status, nobody.text("reason")), (401, "unauthorised"));
}

#[tokio::test]
async fn fetch_tells_progress() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    let before = world.fetch(&id).await;
    assert_eq!(before.verdict(), (404, "in_doubt", "not_submitted"));
    let body = tasks(&["hang"]);
    let watch = async {
        agent.started(1).await;
        let running = world.fetch(&id).await;
        assert_eq!(running.verdict(), (202, "in_doubt", "running"));
        assert_eq!(running.retry_after.as_deref(), Some("1"));
        agent.finish_all();
    };
    let (answer, ()) = tokio::join!(world.put_job(&id, &body), watch);
    assert_eq!(world.fetch(&id).await.body, answer.body);
}

#[tokio::test]
async fn repeated_after_failure() {
    let world = World::start().await;
    let (a, b) = (world.agent("a").await, world.agent("b").await);
    let body = json!({ "kind": "again", "payload": { "do": "fail" } });
    let got = world.put_request(&world.id().await, &body).await;
    assert_eq!(got.verdict(), (502, "failed", "task_failed"));
    assert!(a.starts().len() + b.starts().len() > 1, "a repeatable request was not repeated");
    let once = json!({ "kind": "once", "payload": { "do": "fail" } });
    let before = a.starts().len() + b.starts().len();
    world.put_request(&world.id().await, &once).await;
    assert_eq!(a.starts().len() + b.starts().len(), before + 1);
}

#[tokio::test]
async fn dropped_result() {
    let world = World::with_limits(|limits| limits.kept_answer_bytes = 40).await;
    let _agent = world.agent("a").await;
    let id = world.id().await;
    assert_eq!(world.put_job(&id, &tasks(&["ok"])).await.status, 200);
    let large = json!({ "kind": "once", "tasks": [{ "pad": "x".repeat(35) }] });
    assert_eq!(world.put_job(&world.id().await, &large).await.status, 200);
    assert_eq!(world.fetch(&id).await.verdict(), (410, "unknown", "result_dropped"));
}

#[tokio::test]
async fn large_job_after_idle() {
    let world = World::start().await;
    let _agent = world.agent_with("a", 1).await;
    let large = tasks(&["ok"; 100]);
    for _ in 0..3 {
        // Longer than the forecast's window.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let got = world.put_job(&world.id().await, &large).await;
        assert_eq!(got.verdict(), (200, "complete", "done"), "{}", got.body);
    }
}

//! A planned stop cuts nothing.

mod support;

use {
    reqwest::Method,
    serde_json::json,
    std::time::Duration,
    support::{PATIENCE, World, send},
};

#[tokio::test]
async fn cuts_nothing() {
    let world = World::start().await;
    let agent = world.agent_with("a", 2).await;
    let address = world.entry.http_address();
    let (running, late) = (world.id().await, world.id().await);
    let body = json!({ "kind": "once", "tasks": [{ "do": "hang" }, { "do": "ok" }] });
    let submitted = tokio::spawn({
        let (http, path, body) = (world.http.clone(), format!("/v1/jobs/{running}"), body.clone());
        async move { send(&http, address, Method::PUT, &path, "alpenfunk", Some(&body)).await }
    });
    agent.started(2).await;
    world.entry.shared.lifecycle.drain();
    let ready = world.call(Method::GET, "/ready", "", None).await;
    assert_eq!(ready.status, 503);
    let reserve = json!({ "count": 1 });
    let ids = world.call(Method::POST, "/v1/ids", "alpenfunk", Some(&reserve)).await;
    assert_eq!((ids.status, ids.text("reason")), (503, "draining"));
    let refused = world.put_job(&late, &body).await;
    assert_eq!(refused.verdict(), (503, "not_run", "draining"));
    assert!(refused.retry_after.is_some());
    let World { entry, .. } = world;
    let release = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        agent.finish_all();
    };
    let (drained, ()) = tokio::join!(tokio::time::timeout(PATIENCE, entry.drain()), release);
    drained.expect("the drain did not end").expect("the drain cut something");
    let answer = submitted.await.unwrap();
    assert_eq!(answer.verdict(), (200, "complete", "done"));
}

#[tokio::test]
async fn bound_holds() {
    let world = World::with_limits(|limits| limits.drain_ms = 300).await;
    let World { entry, .. } = world;
    let drained = tokio::time::timeout(PATIENCE, entry.drain()).await;
    drained.expect("the drain did not end").expect("an idle entry cut something");
}

#[tokio::test]
async fn address_taken() {
    let world = World::start().await;
    let address = world.entry.http_address();
    let refused = world.second_at(address).await.expect_err("two entries at one address");
    assert!(refused.to_string().starts_with(&format!("HTTP at {address}")), "{refused}");
}

/// Jobs that outlive the bound of a drain must not end with their callers' connections cut.
#[tokio::test]
async fn callers_at_the_bound_are_answered() {
    let world = World::with_limits(|limits| limits.drain_ms = 1_500).await;
    let agent = world.agent_with("a", 2).await;
    let address = world.entry.http_address();
    let (started, unstarted) = (world.id().await, world.id().await);
    let submit = |id: &str, order: &str| {
        let body = json!({ "kind": "once", "tasks": [{ "do": order }] });
        let (http, path) = (world.http.clone(), format!("/v1/jobs/{id}"));
        tokio::spawn(async move {
            send(&http, address, Method::PUT, &path, "alpenfunk", Some(&body)).await
        })
    };
    let submitted = (submit(&started, "hang"), submit(&unstarted, "refuse"));
    agent.started(1).await;
    world.fetch_until(&unstarted, "in_doubt").await;
    let World { entry, .. } = world;
    let drained = tokio::time::timeout(PATIENCE, entry.drain()).await;
    drained.expect("the drain did not end").expect("the drain cut something");
    let (started, unstarted) = (submitted.0.await.unwrap(), submitted.1.await.unwrap());
    assert_eq!(started.verdict(), (502, "failed", "draining"));
    assert_eq!(unstarted.verdict(), (503, "not_run", "draining"));
}

/// The agent of a job that outlives the bound may be silent; its caller is told what is known.
#[tokio::test]
async fn callers_at_the_bound_are_answered_without_an_agent() {
    let world = World::with_limits(|limits| limits.drain_ms = 1_500).await;
    let agent = world.agent_with("a", 1).await;
    let address = world.entry.http_address();
    let id = world.id().await;
    let submitted = tokio::spawn({
        let http = world.http.clone();
        async move {
            let body = json!({ "kind": "once", "tasks": [{ "do": "hang" }] });
            let path = format!("/v1/jobs/{id}");
            send(&http, address, Method::PUT, &path, "alpenfunk", Some(&body)).await
        }
    });
    agent.started(1).await;
    agent.disconnect();
    let World { entry, .. } = world;
    let drained = tokio::time::timeout(PATIENCE, entry.drain()).await;
    drained.expect("the drain did not end").expect("the drain cut something");
    let answer = submitted.await.unwrap();
    assert_eq!((answer.status, answer.text("outcome")), (500, "unknown"));
}

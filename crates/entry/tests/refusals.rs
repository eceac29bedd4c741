//! What is refused, and what the refusal says.

mod support;

use {
    reqwest::Method,
    serde_json::{Value, json},
    support::World,
};

async fn refused(world: &World, path: &str, body: &Value) -> (u16, String) {
    let got = world.call(Method::PUT, path, "alpenfunk", Some(body)).await;
    (got.status, got.text("detail").to_owned())
}

#[tokio::test]
async fn malformed_bodies() {
    let world = World::start().await;
    let _agent = world.agent("a").await;
    let path = format!("/v1/jobs/{}", world.id().await);
    let unknown = refused(&world, &path, &json!({ "kind": "once", "task": [] })).await;
    insta::assert_snapshot!(format!("{unknown:?}"), @r#"(400, "body: unknown field `task`, expected one of `kind`, `tasks`, `deadline_ms` at line 1 column 21")"#);
    let empty = refused(&world, &path, &json!({ "kind": "once", "tasks": [] })).await;
    insta::assert_snapshot!(format!("{empty:?}"), @r#"(400, "tasks: allowed are 1 to 170")"#);
    let kind = refused(&world, &path, &json!({ "kind": "twice", "tasks": [1] })).await;
    insta::assert_snapshot!(format!("{kind:?}"), @r#"(404, "kind: \"twice\" is none of again, once")"#);
    let id = refused(&world, "/v1/jobs/nonsense", &json!({ "kind": "once", "tasks": [1] })).await;
    insta::assert_snapshot!(format!("{id:?}"), @r#"(400, "id: not an id: expected the text that reserving ids returned")"#);
}

#[tokio::test]
async fn body_limit() {
    let world = World::with_limits(|limits| limits.max_body_bytes = 1_000).await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    let large = json!({ "kind": "once", "tasks": ["x".repeat(2_000)] });
    let got = world.put_job(&id, &large).await;
    assert_eq!((got.status, got.text("reason")), (413, "too_large"));
    let chunked = reqwest::Body::wrap_stream(futures::stream::iter(
        vec![b"{\"kind\":\"once\",".to_vec(), vec![b' '; 2_000]].into_iter().map(Ok::<_, String>),
    ));
    let url = format!("http://{}/v1/jobs/{id}", world.entry.http_address());
    let request = world.http.put(url).header("Authorization", "Bearer alpenfunk").body(chunked);
    assert_eq!(request.send().await.unwrap().status().as_u16(), 413);
    assert!(agent.starts().is_empty());
}

#[tokio::test]
async fn without_id() {
    let world = World::start().await;
    let body = json!({ "kind": "once", "tasks": [1] });
    let got = world.call(Method::POST, "/v1/jobs", "alpenfunk", Some(&body)).await;
    assert_eq!((got.status, got.text("reason")), (400, "invalid"));
    assert!(got.text("detail").contains("Idempotency-Key"), "{}", got.body);
}

#[tokio::test]
async fn refused_id_stays_refused() {
    let world = World::start().await;
    let id = world.id().await;
    let body = json!({ "kind": "once", "tasks": [{ "do": "ok" }] });
    let first = world.put_job(&id, &body).await;
    assert_eq!(first.verdict(), (503, "not_run", "no_upstream"));
    assert_eq!(first.retry_after.as_deref(), Some("1"));
    let agent = world.agent("a").await;
    assert_eq!(world.put_job(&id, &body).await.verdict(), (503, "not_run", "no_upstream"));
    assert!(agent.starts().is_empty());
    assert_eq!(world.put_job(&world.id().await, &body).await.status, 200);
}

#[tokio::test]
async fn memory_full() {
    let world = World::with_limits(|limits| limits.record_bytes = 5_000).await;
    let _agent = world.agent("a").await;
    let body = json!({ "kind": "once", "tasks": [{ "do": "ok" }] });
    let mut refused = None;
    for id in world.ids("alpenfunk", 8).await {
        let got = world.put_job(&id, &body).await;
        if got.status != 200 {
            refused = Some(got);
        }
    }
    let refused = refused.expect("more records than fit were taken");
    assert_eq!(refused.verdict(), (503, "in_doubt", "memory_full"));
}

#[tokio::test]
async fn expired_id() {
    let world = World::with_limits(|limits| limits.retention_ms = 50).await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    world.fetch_until(&id, "unknown").await;
    let late = world.put_job(&id, &json!({ "kind": "once", "tasks": [1] })).await;
    assert_eq!(late.verdict(), (410, "unknown", "expired"));
    assert!(agent.starts().is_empty());
}

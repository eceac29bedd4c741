//! Submissions under the caller's own key.

mod support;

use {
    serde_json::{Value, json},
    support::{Got, World, key_of_age},
    sycamorerail_standin::platform::PlatformFaults,
};

fn job(tasks: usize) -> Value {
    json!({ "kind": "once", "tasks": vec![json!({ "do": "ok" }); tasks] })
}

async fn post(world: &World, key: &str, body: &Value) -> Got {
    world.post_keyed("/v1/jobs", key, body).await
}

#[tokio::test]
async fn same_key_joins() {
    let (world, _platform) = World::with_platform().await;
    let agent = world.agent("a").await;
    let key = key_of_age(0);
    let first = post(&world, &key, &job(1)).await;
    assert_eq!(first.verdict(), (200, "complete", "done"));
    let second = post(&world, &key, &job(1)).await;
    assert_eq!(second.body, first.body);
    assert_eq!(world.fetch(first.text("id")).await.body, first.body);
    let other = post(&world, &key, &job(2)).await;
    assert_eq!(other.verdict(), (409, "failed", "conflict"));
    assert_eq!(agent.starts().len(), 1);
}

#[tokio::test]
async fn lost_answers() {
    let (world, platform) = World::with_platform().await;
    let agent = world.agent("a").await;
    // The lease is there before answers get lost.
    assert_eq!(post(&world, &key_of_age(0), &job(1)).await.status, 200);
    platform
        .set_faults(PlatformFaults { lose_answers: 1.0, ..PlatformFaults::default() })
        .await
        .unwrap();
    let key = key_of_age(0);
    let first = post(&world, &key, &job(1)).await;
    assert_eq!(first.verdict(), (200, "complete", "done"));
    assert_eq!(post(&world, &key, &job(1)).await.body, first.body);
    assert_eq!(agent.starts().len(), 2);
}

#[tokio::test]
async fn platform_out() {
    let (world, platform) = World::with_platform().await;
    let agent = world.agent("a").await;
    let known = key_of_age(0);
    let first = post(&world, &known, &job(1)).await;
    platform.set_faults(PlatformFaults { hang: true, ..PlatformFaults::default() }).await.unwrap();
    let out = post(&world, &key_of_age(0), &job(1)).await;
    assert_eq!(out.verdict(), (503, "in_doubt", "platform_out"));
    assert_eq!(out.retry_after.as_deref(), Some("2"));
    assert_eq!(post(&world, &known, &job(1)).await.body, first.body, "a known key");
    assert_eq!(agent.starts().len(), 1);
}

#[tokio::test]
async fn other_keys() {
    let (world, _platform) = World::with_platform().await;
    let agent = world.agent("a").await;
    let old = post(&world, &key_of_age(3_600_000), &job(1)).await;
    assert_eq!(old.verdict(), (410, "unknown", "expired"));
    for key in ["nonsense", "0e3f1f3c-6f0a-4d0e-9d0c-2f6f0f6f0f6f"] {
        let got = post(&world, key, &job(1)).await;
        assert_eq!((got.status, got.text("reason")), (400, "invalid"), "{key}");
    }
    assert!(agent.starts().is_empty());
}

#[tokio::test]
async fn refused_key_stays_good() {
    let (world, _platform) = World::with_platform().await;
    let key = key_of_age(0);
    let early = post(&world, &key, &job(1)).await;
    assert_eq!(early.verdict(), (503, "in_doubt", "no_upstream"));
    let _agent = world.agent("a").await;
    assert_eq!(post(&world, &key, &job(1)).await.verdict(), (200, "complete", "done"));
}

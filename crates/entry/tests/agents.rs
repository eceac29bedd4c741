//! Agents that break, come back, or are replaced.

mod support;

use {
    serde_json::json,
    std::sync::Arc,
    support::World,
    sycamorerail_wire::{ids::Incarnation, message::MemberList},
};

#[tokio::test]
async fn same_run_joins() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let body = json!({ "kind": "once", "tasks": [{ "do": "break" }] });
    let id = world.id().await;
    let back = async {
        agent.started(1).await;
        agent.connect().await;
        agent.heard_at_least("place break", 2).await;
        agent.finish_all();
    };
    let (answer, ()) = tokio::join!(world.put_job(&id, &body), back);
    assert_eq!(answer.verdict(), (200, "complete", "done"));
    assert_eq!(agent.starts().len(), 1);
}

#[tokio::test]
async fn other_run_is_unknown() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    let id = world.id().await;
    let body = json!({ "kind": "once", "tasks": [{ "do": "break" }] });
    let replaced = async {
        agent.started(1).await;
        world.agent("a").await
    };
    let (answer, next) = tokio::join!(world.put_job(&id, &body), replaced);
    assert_eq!(answer.verdict(), (500, "unknown", "agent_lost"));
    assert_eq!(answer.body["peer"], "a");
    assert!(next.starts().is_empty());
}

#[tokio::test]
async fn repeatable_goes_on() {
    let world = World::start().await;
    let (a, b) = (world.agent("a").await, world.agent("b").await);
    let id = world.id().await;
    let body = json!({ "kind": "again", "payload": { "do": "break" } });
    let both = async {
        a.started(1).await;
        b.started(1).await;
        b.connect().await;
        b.finish_all();
    };
    let (answer, ()) = tokio::join!(world.put_request(&id, &body), both);
    assert_eq!(answer.verdict(), (200, "complete", "done"));
    assert_eq!(a.starts().len(), 1);
}

#[tokio::test]
async fn refused_goes_elsewhere() {
    let world = World::start().await;
    let refusing = world.agent("a").await;
    let body = json!({ "kind": "once", "tasks": [{ "do": "refuse" }], "deadline_ms": 5_000 });
    let id = world.id().await;
    let give_up = async {
        refusing.heard_at_least("place refuse", 3).await;
        world.cancel(&id).await
    };
    let (answer, _) = tokio::join!(world.put_job(&id, &body), give_up);
    assert_eq!(answer.verdict(), (409, "not_run", "cancelled"));
    assert!(refusing.starts().is_empty());
}

#[tokio::test]
async fn drained_goes_elsewhere() {
    let world = World::start().await;
    let (drained, other) = (world.agent_with("a", 4).await, world.agent_with("b", 4).await);
    let task = json!({ "do": "drain" });
    let body = json!({ "kind": "once", "tasks": [task, task, task, task] });
    let id = world.id().await;
    let moved = async {
        drained.heard_at_least("place drain", 1).await;
        other.started(4).await;
        other.finish_all();
    };
    let (answer, ()) = tokio::join!(world.put_job(&id, &body), moved);
    assert_eq!(answer.verdict(), (200, "complete", "done"));
    assert!(drained.starts().is_empty());
}

#[tokio::test]
async fn members_told_once() {
    let world = World::start().await;
    let agent = world.agent("a").await;
    assert_eq!(agent.hello_again().await.members, None, "told at the first hello");
    let shared = &world.entry.shared;
    let next = MemberList { entries: vec![shared.inner_address], fenced: vec![Incarnation(7)] };
    shared.members.store(Arc::new(next.clone()));
    assert_eq!(agent.hello_again().await.members, Some(next));
    assert_eq!(agent.hello_again().await.members, None);
}

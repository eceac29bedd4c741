//! Placements: a task starts once, copies join it, and replies say how it ended.

mod support;

use {
    support::{Cluster, not_started, placement},
    sycamorerail_standin::upstream::UpstreamFaults,
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd},
        ids::Incarnation,
        message::{AgentReplyBody, ConfigMark, Placement, ToAgent},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const SLOW: &str = r#"{"run_ms":600000}"#;

#[tokio::test]
async fn task_ends() {
    let cluster = Cluster::start(2).await;
    let mut placement = cluster.placement(1, r#"{"echo":[1,2]}"#);
    placement.config_mark = ConfigMark(9);
    let reply = cluster.entry.call(&ToAgent::Place(placement.clone())).await;
    let AgentReplyBody::Ended { end: TaskEnd::Finished(Payload(text)), .. } = &reply.body else {
        panic!("{reply:?}");
    };
    let result: serde_json::Value = serde_json::from_str(text).unwrap();
    assert_eq!(result["echo"], serde_json::json!([1, 2]));
    assert_eq!(result["task"], placement.task.to_string());
    assert_eq!(result["organisation"], "alpenfunk");
    assert_eq!(result["kind"], "reach_check");
    assert_eq!((reply.agent, reply.config_mark), (cluster.agent.incarnation(), ConfigMark(9)));
    assert_eq!((reply.load.slots, reply.load.running, reply.load.leaving), (2, 0, false));
    assert_eq!(cluster.entry.place(&placement).await, reply.body);
    assert_eq!(cluster.starts(), 1);
}

#[tokio::test]
async fn task_fails() {
    let cluster = Cluster::start(1).await;
    let reply = cluster.entry.place(&cluster.placement(1, r#"{"fail":true}"#)).await;
    let AgentReplyBody::Ended { end: TaskEnd::Failed { reason, detail }, .. } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(reason, Reason::TaskFailed);
    assert!(detail.starts_with("status 5"), "{detail}");
}

#[tokio::test]
async fn copies_join_the_running_task() {
    let cluster = Cluster::start(1).await;
    let placement = cluster.placement(1, r#"{"run_ms":100}"#);
    let mut copies = Vec::new();
    for _ in 0..5 {
        copies.push(cluster.entry.spawn_place(&placement).await);
    }
    let first = cluster.entry.place(&placement).await;
    assert!(matches!(first, AgentReplyBody::Ended { .. }), "{first:?}");
    for copy in copies {
        assert_eq!(copy.await.unwrap(), first);
    }
    assert_eq!(cluster.starts(), 1);
}

#[tokio::test]
async fn task_survives_closed_connection() {
    let cluster = Cluster::start(1).await;
    let placement = cluster.placement(1, r#"{"run_ms":200}"#);
    let lost = cluster.entry.spawn_place(&placement).await;
    cluster.wait_until_started(1).await;
    cluster.entry.close_connection().await;
    assert!(lost.await.is_err(), "a reply over a closed connection");
    let reply = cluster.entry.place(&placement).await;
    assert!(matches!(reply, AgentReplyBody::Ended { end: TaskEnd::Finished(_), .. }), "{reply:?}");
    assert_eq!(cluster.starts(), 1);
}

#[tokio::test]
async fn upstream_refuses() {
    let cluster = Cluster::start(1).await;
    let placement = cluster.placement(1, "{}");
    cluster.upstream.refuse().await.unwrap();
    let reply = cluster.entry.place(&placement).await;
    assert_eq!(not_started(reply), (Reason::UpstreamUnreachable, false));
    cluster.upstream.heal().await.unwrap();
    let reply = cluster.entry.place(&placement).await;
    assert!(matches!(reply, AgentReplyBody::Ended { .. }), "{reply:?}");
    assert_eq!(cluster.starts(), 1);
}

#[tokio::test]
async fn upstream_connection_breaks() {
    let cluster = Cluster::start(1).await;
    let faults = UpstreamFaults { drop_share: 1.0, ..Default::default() };
    cluster.upstream.set_faults(faults).await.unwrap();
    let placement = cluster.placement(1, "{}");
    let broken = AgentReplyBody::Broken(Reason::UpstreamBroken);
    assert_eq!(cluster.entry.place(&placement).await, broken);
    cluster.upstream.heal().await.unwrap();
    assert_eq!(cluster.entry.place(&placement).await, broken);
    assert_eq!(cluster.starts(), 1);
}

#[tokio::test]
async fn upstream_exceeds_time_limit() {
    let cluster = Cluster::start(1).await;
    let placement = Placement { end_within_ms: 300, ..cluster.placement(1, SLOW) };
    let reply = cluster.entry.place(&placement).await;
    assert_eq!(reply, AgentReplyBody::Broken(Reason::UpstreamTimeout));
}

#[tokio::test]
async fn start_window_passes() {
    let cluster = Cluster::start(1).await;
    let _running = cluster.entry.spawn_place(&cluster.placement(1, SLOW)).await;
    cluster.wait_until_started(1).await;
    let waits = Placement { start_within_ms: 50, ..cluster.placement(2, "{}") };
    let reply = cluster.entry.place(&waits).await;
    assert_eq!(not_started(reply), (Reason::StartWindowPassed, false));
    let at_once = Placement { start_within_ms: 0, ..cluster.placement(3, "{}") };
    let reply = cluster.entry.place(&at_once).await;
    assert_eq!(not_started(reply), (Reason::AgentFull, false));
    assert_eq!(cluster.starts(), 1);
}

#[tokio::test]
async fn tasks_wait_for_slots() {
    let cluster = Cluster::start(2).await;
    let mut replies = Vec::new();
    for sequence in 0..6 {
        let placement = cluster.placement(sequence, r#"{"run_ms":30}"#);
        replies.push(cluster.entry.spawn_place(&placement).await);
    }
    for reply in replies {
        let reply = reply.await.unwrap();
        assert!(matches!(reply, AgentReplyBody::Ended { .. }), "{reply:?}");
    }
    assert_eq!(cluster.starts(), 6);
}

#[tokio::test]
async fn placement_for_earlier_incarnation() {
    let cluster = Cluster::start(1).await;
    let earlier = placement(Incarnation(5), 1, "{}");
    let reply = cluster.entry.place(&earlier).await;
    assert_eq!(not_started(reply), (Reason::WrongIncarnation, false));
    assert_eq!(cluster.starts(), 0);
}

#[tokio::test]
async fn kind_with_dots() {
    let cluster = Cluster::start(1).await;
    let placement = Placement { kind: "..".to_owned(), ..cluster.placement(1, "{}") };
    assert_eq!(not_started(cluster.entry.place(&placement).await), (Reason::Invalid, false));
}

#[tokio::test]
async fn result_too_large() {
    let cluster = Cluster::start(1).await;
    let placement = cluster.placement(1, r#"{"result_bytes":5000000}"#);
    let reply = cluster.entry.place(&placement).await;
    let AgentReplyBody::Ended { end: TaskEnd::Failed { reason, .. }, .. } = reply else {
        panic!("{:?}", std::mem::discriminant(&reply));
    };
    assert_eq!(reason, Reason::TooLarge);
}

/// Accepts calls, answers each with `bytes` and closes its connection.
async fn answer_raw(upstream: TcpListener, bytes: &'static str) {
    while let Ok((mut call, _)) = upstream.accept().await {
        let mut seen = Vec::new();
        while !seen.ends_with(b"{}") && call.read_buf(&mut seen).await.unwrap() > 0 {}
        call.write_all(bytes.as_bytes()).await.unwrap();
    }
}

#[tokio::test]
async fn unusual_upstream_answers() {
    let cluster = Cluster::start(1).await;
    let mut replies = Vec::new();
    for (sequence, answer) in [
        "",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"a\"",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\ncontent-length: 4\r\n\r\nwhat",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n[1]",
    ]
    .into_iter()
    .enumerate()
    {
        let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
        cluster.announce(upstream.local_addr().unwrap()).await;
        let answering = tokio::spawn(answer_raw(upstream, answer));
        replies.push(match cluster.entry.place(&cluster.placement(sequence as u64, "{}")).await {
            AgentReplyBody::Ended { end, .. } => format!("{end:?}"),
            other => format!("{other:?}"),
        });
        answering.abort();
    }
    insta::assert_snapshot!(replies.join("\n"), @r#"
    Broken(UpstreamBroken)
    Broken(UpstreamBroken)
    Failed { reason: TaskFailed, detail: "the result is not JSON" }
    Failed { reason: TaskFailed, detail: "status 302: " }
    Failed { reason: TaskFailed, detail: "status 404: what" }
    Finished(Payload("[1]"))
    "#);
}

//! A planned stop cuts nothing.

mod support;

use {
    futures::FutureExt,
    reqwest::Method,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    support::{Got, PATIENCE, World, key_of_age, send},
    sycamorerail_entry::{callers::Binder, seams::Seams},
    sycamorerail_platform::{Platform, PlatformConfig},
    sycamorerail_settings::entry::LimitSettings,
    sycamorerail_standin::platform::{PlatformFaults, PlatformStandin, PlatformStandinConfig},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinHandle,
    },
};

/// Bound of a drain that passes within a test, in milliseconds.
const BOUND_MS: u32 = 1_500;

/// Submits a job beside the test.
fn submit(world: &World, id: &str, order: &str) -> JoinHandle<Got> {
    let body = json!({ "kind": "once", "tasks": [{ "do": order }] });
    let (http, address) = (world.http.clone(), world.entry.http_address());
    let path = format!("/v1/jobs/{id}");
    tokio::spawn(
        async move { send(&http, address, Method::PUT, &path, "alpenfunk", Some(&body)).await },
    )
}

/// Drains, and expects that nothing is cut.
async fn drain(world: World) {
    let drained = tokio::time::timeout(PATIENCE, world.entry.drain()).await;
    drained.expect("the drain did not end").expect("the drain cut something");
}

/// Waits until so many requests are in flight.
async fn in_flight(world: &World, count: u32) {
    let begun = async {
        while world.entry.shared.lifecycle.requests() < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, begun).await.expect("no request came");
}

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

/// A body that comes slowly must not end with its connection cut.
#[tokio::test]
async fn a_slow_body_at_the_bound_is_answered() {
    let world = World::with_limits(|limits| limits.drain_ms = BOUND_MS).await;
    let mut slow = begin_job(world.entry.http_address(), &world.id().await).await;
    in_flight(&world, 1).await;
    drain(world).await;
    let mut answer = String::new();
    slow.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(answer.contains("\"draining\""), "{answer}");
}

/// Sends a submission without the end of its body.
async fn begin_job(address: SocketAddr, id: &str) -> TcpStream {
    let mut connection = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "PUT /v1/jobs/{id} HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer alpenfunk\r\n\
         Content-Length: 100\r\n\r\n{{\"kind\":\"once\",\"tasks\":["
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    connection
}

/// A call that waits for the home of its job must not end with its connection cut.
#[tokio::test]
async fn a_call_to_another_entry_at_the_bound_is_answered() {
    let home = World::start().await;
    let forward = Box::new(|_, _, _| std::future::pending().boxed());
    let limits = LimitSettings { drain_ms: BOUND_MS, ..LimitSettings::default() };
    let world = World::with_seams(limits, Seams { forward, ..Seams::default() }).await;
    let submitted = submit(&world, &home.id().await, "ok");
    in_flight(&world, 1).await;
    drain(world).await;
    assert_eq!(submitted.await.unwrap().verdict(), (503, "in_doubt", "draining"));
}

/// Jobs of a fenced run go on without their entry; their callers are told so.
#[tokio::test]
async fn jobs_of_a_fenced_run_at_the_bound_are_answered() {
    let world = World::with_limits(|limits| limits.drain_ms = BOUND_MS).await;
    let agent = world.agent_with("a", 1).await;
    let submitted = submit(&world, &world.id().await, "hang");
    agent.started(1).await;
    let shared = &world.entry.shared;
    shared.retire(shared.incarnation());
    drain(world).await;
    assert_eq!(submitted.await.unwrap().verdict(), (503, "in_doubt", "draining"));
}

/// A key that the platform is slow to bind must not end with its caller's connection cut.
#[tokio::test]
async fn a_key_at_the_bound_is_answered() {
    let standin = PlatformStandin::start(PlatformStandinConfig::default()).await.unwrap();
    standin.set_faults(PlatformFaults { hang: true, ..PlatformFaults::default() }).await.unwrap();
    // Calls outlast the drain.
    let config = PlatformConfig { url: standin.url(), timeout_ms: 20_000, call_budget_per_s: 100 };
    let platform = Platform::new(config).unwrap();
    let limits = LimitSettings { drain_ms: BOUND_MS, ..LimitSettings::default() };
    let binder = Some(Binder::new(platform, 100, limits.retention_ms));
    let world = World::with_seams(limits, Seams { binder, ..Seams::default() }).await;
    let _agent = world.agent("a").await;
    let url = format!("http://{}/v1/jobs", world.entry.http_address());
    let request = world.http.post(url).header("Idempotency-Key", key_of_age(0));
    let request = request.header("Authorization", "Bearer alpenfunk");
    let body = json!({ "kind": "once", "tasks": [{ "do": "ok" }] });
    let submitted = tokio::spawn(request.body(body.to_string()).send());
    in_flight(&world, 1).await;
    drain(world).await;
    let answer = submitted.await.unwrap().unwrap();
    assert_eq!(answer.status().as_u16(), 503);
    let answer: Value = serde_json::from_str(&answer.text().await.unwrap()).unwrap();
    assert_eq!((&answer["outcome"], &answer["reason"]), (&"in_doubt".into(), &"draining".into()));
}

//! Tasks at the upstream's stand-in: results, faults and the record of starts.

mod site;

use {
    serde_json::{Value, json},
    site::{get, http, until},
    sycamorerail_standin::upstream::{UpstreamFaults, UpstreamStandin, UpstreamStandinConfig},
    tokio::task::JoinSet,
};

async fn standin(slots: u16) -> UpstreamStandin {
    let config = UpstreamStandinConfig { name: "u1".to_owned(), slots, ..Default::default() };
    UpstreamStandin::start(config).await.unwrap()
}

async fn run(url: &str, task: &str, payload: Value) -> Result<(u16, Value), reqwest::Error> {
    let answer = http()
        .post(format!("{url}/v1/tasks/reach-check"))
        .header("sycamorerail-task", task)
        .header("sycamorerail-organisation", "alpenfunk")
        .json(&payload)
        .send()
        .await?;
    let status = answer.status().as_u16();
    Ok((status, answer.json().await?))
}

#[tokio::test]
async fn result_echoed() {
    let upstream = standin(8).await;
    let payload = json!({"run_ms": 5, "echo": {"brand": "ä"}, "result_bytes": 100});
    let (status, result) = run(&upstream.url(), "t1", payload).await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(result["padding"].as_str().map(str::len), Some(100));
    insta::assert_snapshot!(
        format!("{} {} {} {} {}", result["upstream"], result["task"], result["kind"],
            result["organisation"], result["echo"]),
        @r#""u1" "t1" "reach-check" "alpenfunk" {"brand":"ä"}"#
    );
}

#[tokio::test]
async fn asked_to_fail() {
    let upstream = standin(8).await;
    let (status, result) = run(&upstream.url(), "t1", json!({"fail": true})).await.unwrap();
    assert_eq!(status, 500);
    assert_eq!(result["error"], "the payload asks to fail");
    upstream
        .set_faults(UpstreamFaults { fail_everything: true, ..Default::default() })
        .await
        .unwrap();
    // Fails at once, whatever the run time.
    let (status, _) = run(&upstream.url(), "t2", json!({"run_ms": 600_000})).await.unwrap();
    assert_eq!((status, upstream.starts(false).failed), (500, 2));
}

#[tokio::test]
async fn repeated_start() {
    let upstream = standin(8).await;
    for task in ["t1", "t2", "t1"] {
        run(&upstream.url(), task, json!({})).await.unwrap();
    }
    let report = get(&upstream.url(), "/standin/starts?full=1").await;
    assert_eq!((&report["starts"], &report["repeated"]), (&json!(3), &json!(["t1"])));
    assert_eq!(report["ids"].as_array().map(Vec::len), Some(2));
    assert_eq!(get(&upstream.url(), "/standin/starts").await["ids"], Value::Null);
}

#[tokio::test]
async fn slots_exceeded() {
    let upstream = standin(2).await;
    let frozen = UpstreamFaults { freeze: true, ..Default::default() };
    let mut calls = JoinSet::new();
    for number in 0..3 {
        let url = upstream.url();
        calls
            .spawn(async move { run(&url, &number.to_string(), json!({"run_ms": 600_000})).await });
    }
    until("all run", async || upstream.starts(false).running == 3).await;
    assert_eq!(upstream.starts(false).slot_violations, 1);
    upstream.set_faults(frozen).await.unwrap();
    assert_eq!(upstream.starts(false).most_running, 3);
}

#[tokio::test]
async fn dropped_after_start() {
    let upstream = standin(8).await;
    upstream.set_faults(UpstreamFaults { drop_share: 1.0, ..Default::default() }).await.unwrap();
    let error = run(&upstream.url(), "t1", json!({})).await.unwrap_err();
    assert!(!error.is_connect());
    let report = upstream.starts(false);
    assert_eq!((report.starts, report.dropped, report.running), (1, 1, 0));
}

#[tokio::test]
async fn refused_not_started() {
    let upstream = standin(8).await;
    upstream.refuse().await.unwrap();
    assert!(run(&upstream.url(), "t1", json!({})).await.unwrap_err().is_connect());
    upstream.heal().await.unwrap();
    assert_eq!(upstream.starts(false).starts, 0);
    assert_eq!(run(&upstream.url(), "t1", json!({})).await.unwrap().0, 200);
}

#[tokio::test]
async fn bounded_ids() {
    let config = UpstreamStandinConfig { most_ids: 2, ..Default::default() };
    let upstream = UpstreamStandin::start(config).await.unwrap();
    for task in ["t1", "t2", "t3", "t1"] {
        run(&upstream.url(), task, json!({})).await.unwrap();
    }
    let report = upstream.starts(true);
    assert_eq!((report.not_kept, report.repeated), (1, vec!["t1".to_owned()]));
}

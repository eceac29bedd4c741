//! Faults of the platform's stand-in, ordered by HTTP.

mod site;

use {
    serde_json::{Value, json},
    site::{get, post, until},
    sycamorerail_standin::platform::{PlatformFaults, PlatformStandin, PlatformStandinConfig},
};

const FAULTS: &str = "/standin/faults";

async fn standin() -> PlatformStandin {
    PlatformStandin::start(PlatformStandinConfig::default()).await.unwrap()
}

async fn range(url: &str) -> Result<(u16, Value), reqwest::Error> {
    post(url, "/v3/kv/range", json!({"key": "AA==", "range_end": "AA=="})).await
}

#[tokio::test]
async fn refuse_for_a_while() {
    let standin = standin().await;
    let url = standin.url();
    let order = json!({"refuse": true, "for_ms": 5_000});
    assert_eq!(post(&url, FAULTS, order).await.unwrap().0, 202);
    until("it refuses", async || range(&url).await.is_err_and(|err| err.is_connect())).await;
    until("it is back", async || range(&url).await.is_ok()).await;
}

#[tokio::test]
async fn answers_dropped() {
    let standin = standin().await;
    let url = standin.url();
    post(&url, FAULTS, json!({"faults": {"lose_answers": 1.0}})).await.unwrap();
    until("the order is obeyed", async || get(&url, FAULTS).await["lose_answers"] == 1.0).await;
    let put = json!({"success": [{"request_put": {"key": "YQ==", "value": "YQ=="}}]});
    assert!(post(&url, "/v3/kv/txn", put).await.is_err());
    let (status, body) = range(&url).await.unwrap();
    assert_eq!((status, &body["count"]), (200, &json!("1")));
    assert_eq!(get(&url, "/standin/calls").await["lost"], 1);
}

#[tokio::test]
async fn rate_limit() {
    let standin = standin().await;
    let url = standin.url();
    post(&url, FAULTS, json!({"faults": {"max_reads_per_s": 1}})).await.unwrap();
    until("reads are refused", async || range(&url).await.unwrap().0 == 429).await;
    let calls = get(&url, "/standin/calls").await;
    assert!(calls["range"].as_u64() > calls["refused"].as_u64());
    assert!(calls["refused"].as_u64() > Some(0));
}

#[tokio::test]
async fn bad_requests() {
    let standin = standin().await;
    let url = standin.url();
    for order in [json!({"faults": {"freezes": true}}), json!({"refuse": true})] {
        assert_eq!(post(&url, FAULTS, order).await.unwrap().0, 400);
    }
    let unsupported = json!({"key": "YQ==", "limit": "1"});
    assert_eq!(post(&url, "/v3/kv/range", unsupported).await.unwrap().0, 400);
    let not_base64 = json!({"key": "a b"});
    assert_eq!(post(&url, "/v3/kv/range", not_base64).await.unwrap().0, 400);
}

#[tokio::test]
async fn frozen_then_run() {
    let standin = standin().await;
    let url = standin.url();
    standin.set_faults(PlatformFaults { freeze: true, ..Default::default() }).await.unwrap();
    let call = tokio::spawn(async move { range(&url).await });
    until("the call is there", async || standin.calls().range == 1).await;
    assert!(!call.is_finished());
    standin.heal().await.unwrap();
    assert_eq!(call.await.unwrap().unwrap().0, 200);
}

#[tokio::test]
async fn hung_never_run() {
    let standin = standin().await;
    let url = standin.url();
    standin.set_faults(PlatformFaults { hang: true, ..Default::default() }).await.unwrap();
    let put = json!({"success": [{"request_put": {"key": "YQ==", "value": "YQ=="}}]});
    let call = tokio::spawn(async move { post(&url, "/v3/kv/txn", put).await });
    until("the call is there", async || standin.calls().txn == 1).await;
    standin.heal().await.unwrap();
    assert!(call.await.unwrap().is_err());
    assert_eq!(standin.revision(), 1);
}

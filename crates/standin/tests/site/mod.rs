//! Calls by HTTP, and patience.

// Each test file uses a part.
#![allow(dead_code)]

use {
    reqwest::Client,
    serde_json::Value,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Far longer than anything should take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

pub fn http() -> Client {
    Client::builder().no_proxy().pool_max_idle_per_host(0).build().unwrap()
}

pub async fn post(url: &str, path: &str, body: Value) -> Result<(u16, Value), reqwest::Error> {
    let answer = http().post(format!("{url}{path}")).json(&body).send().await?;
    let status = answer.status().as_u16();
    let text = answer.text().await?;
    Ok((status, serde_json::from_str(&text).unwrap_or(Value::String(text))))
}

pub async fn get(url: &str, path: &str) -> Value {
    let answer = http().get(format!("{url}{path}")).send().await.unwrap();
    serde_json::from_str(&answer.text().await.unwrap()).unwrap()
}

pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < PATIENCE, "waited in vain until {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

//! HTTP server: refused announcements, health pages and status page.

mod support;

use support::Cluster;

async fn announce(cluster: &Cluster, body: String) -> (u16, String) {
    let url = format!("http://{}/v1/upstream", cluster.agent.http_address());
    let response = reqwest::Client::new().put(url).body(body).send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

fn announcement(field: &str, value: &str) -> String {
    let good = r#"{"name":"u","address":"127.0.0.1:1","slots":1,"max_task_bytes":1,"kinds":["*"]}"#;
    let mut fields: serde_json::Value = serde_json::from_str(good).unwrap();
    fields[field] = serde_json::from_str(value).unwrap();
    fields.to_string()
}

#[tokio::test]
async fn bad_announcements() {
    let cluster = Cluster::start(1).await;
    let mut answers = Vec::new();
    for (field, value) in [
        ("name", r#""""#),
        ("slots", "0"),
        ("slots", "-1"),
        ("max_task_bytes", "0"),
        ("kinds", "[]"),
        ("kinds", r#"["a/b/c"]"#),
        ("address", r#""ftp://x""#),
        ("colour", "1"),
    ] {
        let (status, body) = announce(&cluster, announcement(field, value)).await;
        answers.push(format!("{status} {body}"));
    }
    insta::assert_snapshot!(answers.join("\n"), @r#"
    400 {"reason":"invalid","field":"name","detail":"name: expected 1 to 128 printable characters"}
    400 {"reason":"invalid","field":"slots","detail":"slots: expected at least 1"}
    400 {"reason":"invalid","field":"slots","detail":"slots: invalid value: integer `-1`, expected u16"}
    400 {"reason":"invalid","field":"max_task_bytes","detail":"max_task_bytes: expected at least 1"}
    400 {"reason":"invalid","field":"kinds","detail":"kinds: expected 1 to 1024 kinds"}
    400 {"reason":"invalid","field":"kinds","detail":"kinds: expected organisation/kind, */kind or *"}
    400 {"reason":"invalid","field":"address","detail":"address: expected http://IP:port"}
    400 {"reason":"invalid","field":"body","detail":"body: unknown field \"colour\""}
    "#);
    let (status, body) = announce(&cluster, "x".repeat(300 * 1024)).await;
    assert_eq!(status, 413, "{body}");
    assert_eq!(cluster.get("/ready").await.0, 200);
}

#[tokio::test]
async fn status_page() {
    let cluster = Cluster::start(4).await;
    cluster.entry.place(&cluster.placement(1, "{}")).await;
    let (code, page) = cluster.get("/status").await;
    let status: serde_json::Value = serde_json::from_str(&page).unwrap();
    assert_eq!(code, 200);
    assert_eq!(status["incarnation"], cluster.agent.incarnation().to_string());
    assert_eq!(status["upstream"]["slots"], 4);
    assert_eq!(status["ready"], true);
    assert_eq!((&status["records"], &status["running"]), (&1.into(), &0.into()));
    assert_eq!(status["entries"][0]["address"], cluster.entry.address.to_string());
}

#[tokio::test]
async fn health_pages() {
    let cluster = Cluster::start(1).await;
    assert_eq!(cluster.get("/live").await, (200, "live\n".to_owned()));
    assert_eq!(cluster.get("/ready").await, (200, "ready\n".to_owned()));
    assert_eq!(cluster.get("/metrics").await.0, 200);
    let (status, body) = cluster.get("/nothing").await;
    assert_eq!(status, 404);
    assert!(body.contains(r#""reason":"not_found""#), "{body}");
}

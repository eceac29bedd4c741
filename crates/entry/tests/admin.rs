//! The administration API: conditions, errors, history, rollout, drain.

mod admin_site;

use {
    admin_site::{CALLER, OPERATOR, Site, until, yaml},
    serde_json::{Value, json},
    sycamorerail_entry::cluster::ClusterEntry,
    sycamorerail_standin::platform::PlatformFaults,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const ALPENFUNK: &str = "/v1/admin/organisations/alpenfunk";
const PUT: &str = "PUT /v1/admin/organisations/alpenfunk";

#[tokio::test]
async fn create_and_replace() {
    let site = Site::start(2).await;
    let got = site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 100)).await;
    assert_eq!((got.status, got.header("etag")), (200, "\"1\""), "{}", got.text);
    for field in ["organisation", "revision", "mark", "change_id", "published_by"] {
        assert!(!got.body[field].is_null(), "{field} in {}", got.text);
    }
    site.until_revision(1, "alpenfunk", 1).await;
    let got = site.put(1, "alpenfunk", 1, &yaml("alpenfunk", 200)).await;
    assert_eq!((got.status, got.body["revision"].as_u64()), (200, Some(2)), "{}", got.text);
    site.until_revision(0, "alpenfunk", 2).await;
    let got = site.get(0, ALPENFUNK).await;
    assert_eq!(
        (got.text, got.headers["etag"].to_str().unwrap()),
        (yaml("alpenfunk", 200), "\"2\"")
    );
    let got = site.get(0, "/v1/admin/organisations").await;
    assert_eq!(got.body["organisations"][0]["revision"], 2);
    let token = format!("{CALLER}-alpenfunk");
    until("callers are served", async || {
        site.send(1, &token, "POST /v1/ids", &[], r#"{"count":1}"#).await.status == 200
    })
    .await;
}

#[tokio::test]
async fn condition_needed() {
    let site = Site::start(1).await;
    let body = yaml("alpenfunk", 100);
    let got = site.send(0, OPERATOR, PUT, &[], &body).await;
    assert_eq!(got.status, 428);
    assert!(got.body["detail"].as_str().unwrap().contains("If-Match"), "{}", got.text);
    let both = [("If-Match", "\"1\""), ("If-None-Match", "*")];
    for headers in
        [&both[..], &[("If-Match", "1")], &[("If-Match", "*")], &[("If-None-Match", "\"1\"")]]
    {
        let got = site.send(0, OPERATOR, PUT, headers, &body).await;
        assert_eq!(got.verdict(), (400, "invalid", None), "{headers:?}");
    }
    assert_eq!(site.get(0, ALPENFUNK).await.status, 404);
}

#[tokio::test]
async fn conflict_named() {
    let site = Site::start(1).await;
    assert_eq!(site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 100)).await.status, 200);
    for revision in [0, 7] {
        let got = site.put(0, "alpenfunk", revision, &yaml("alpenfunk", 200)).await;
        assert_eq!(got.verdict(), (412, "conflict", Some(1)));
        assert_eq!(got.body["published_by"], "ops");
        assert!(got.body["published_unix_ms"].as_u64() > Some(0));
    }
    let got = site.put(0, "rangmancha", 3, &yaml("rangmancha", 200)).await;
    assert_eq!(got.verdict(), (412, "conflict", None));
}

#[tokio::test]
async fn same_key_again() {
    let site = Site::start(1).await;
    let key = "01920000-0000-7000-8000-000000000001";
    let headers = [("If-None-Match", "*"), ("Idempotency-Key", key)];
    for _ in 0..2 {
        let body = yaml("alpenfunk", 100);
        let got = site.send(0, OPERATOR, PUT, &headers, &body).await;
        assert_eq!((got.status, got.body["revision"].as_u64()), (200, Some(1)), "{}", got.text);
        assert_eq!(got.body["change_id"], key);
    }
}

#[tokio::test]
async fn errors_at_once() {
    let site = Site::start(1).await;
    let bad = "organisation: alpenfunk\nquota: {burst: 0}\nkinds:\n  - name: P\n    colour: red\n";
    let check = format!("POST {ALPENFUNK}/check");
    for got in
        [site.put(0, "alpenfunk", 0, bad).await, site.send(0, OPERATOR, &check, &[], bad).await]
    {
        assert_eq!(got.verdict(), (422, "invalid", None));
        let errors = got.body["errors"].as_array().unwrap();
        let paths: Vec<_> = errors.iter().map(|error| error["path"].as_str().unwrap()).collect();
        assert_eq!(paths, ["quota.burst", "kinds[0].name", "kinds[0].colour"]);
        assert!(errors.iter().all(|error| error["allowed"].is_string()));
    }
    let got = site.send(0, OPERATOR, &check, &[], &yaml("alpenfunk", 100)).await;
    assert_eq!((got.status, &got.body["valid"]), (200, &json!(true)));
    assert_eq!(site.get(0, ALPENFUNK).await.status, 404, "a check publishes nothing");
    let large = format!("# {}\n", "x".repeat(256 * 1024));
    let got = site.put(0, "alpenfunk", 0, &large).await;
    assert_eq!(got.verdict(), (413, "too_large", None));
    let got = site.put(0, "Alpenfunk", 0, &yaml("alpenfunk", 100)).await;
    assert_eq!(got.verdict(), (400, "invalid", None));
}

#[tokio::test]
async fn operators_only() {
    let site = Site::start(1).await;
    assert_eq!(site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 100)).await.status, 200);
    let caller = format!("{CALLER}-alpenfunk");
    until("the caller's token is in force", async || {
        site.send(0, &caller, "POST /v1/ids", &[], r#"{"count":1}"#).await.status == 200
    })
    .await;
    let calls =
        ["GET /v1/admin/organisations", PUT, "GET /v1/admin/rollout", "POST /v1/admin/drain"];
    for call in calls {
        for (token, status, reason) in [
            ("", 401, "unauthorised"),
            ("other", 401, "unauthorised"),
            (&*caller, 403, "forbidden"),
        ] {
            let got = site.send(0, token, call, &[], "").await;
            assert_eq!(got.verdict(), (status, reason, None), "{call} as {token:?}");
        }
    }
    assert!(site.is_ready(0).await);
}

#[tokio::test]
async fn history_and_rollback() {
    let site = Site::start(1).await;
    for revision in 0..3 {
        let body = yaml("alpenfunk", 100 + revision as u32);
        assert_eq!(site.put(0, "alpenfunk", revision, &body).await.status, 200);
    }
    assert_eq!(site.change("DELETE", "alpenfunk", 3, "").await.body["revision"], 4);
    assert_eq!(site.get(0, ALPENFUNK).await.status, 404);
    let got = site.change("POST", "alpenfunk/rollback", 4, r#"{"to":2}"#).await;
    assert_eq!((got.status, got.body["revision"].as_u64()), (200, Some(5)), "{}", got.text);
    assert_eq!(site.get(0, ALPENFUNK).await.text, yaml("alpenfunk", 101));
    let got = site.get(0, &format!("{ALPENFUNK}/history")).await;
    let revisions = got.body["revisions"].as_array().unwrap();
    let told: Vec<_> = revisions
        .iter()
        .map(|line| (line["revision"].as_u64().unwrap(), line["deleted"].as_bool().unwrap()))
        .collect();
    assert_eq!(told, [(5, false), (4, true), (3, false), (2, false), (1, false)]);
    let got = site.get(0, &format!("{ALPENFUNK}/history/1")).await;
    assert_eq!((got.status, got.text), (200, yaml("alpenfunk", 100)));
    for missing in ["history/4", "history/9"] {
        assert_eq!(site.get(0, &format!("{ALPENFUNK}/{missing}")).await.status, 404);
    }
    let got = site.change("POST", "alpenfunk/rollback", 5, r#"{"to":4}"#).await;
    assert_eq!(got.verdict(), (404, "not_found", None));
    let got = site.change("POST", "alpenfunk/rollback", 1, r#"{"to":2}"#).await;
    assert_eq!(got.verdict(), (412, "conflict", Some(5)));
}

#[tokio::test]
async fn doubt_resolved() {
    let site = Site::start(1).await;
    assert_eq!(site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 100)).await.status, 200);
    let frozen = PlatformFaults { freeze: true, ..PlatformFaults::default() };
    site.standin.set_faults(frozen).await.unwrap();
    let got = site.put(0, "alpenfunk", 1, &yaml("alpenfunk", 200)).await;
    assert_eq!(got.verdict(), (503, "platform_out", Some(2)), "{}", got.text);
    assert_eq!(got.body["outcome"], "in_doubt");
    assert!(!got.header("retry-after").is_empty());
    let id = got.body["change_id"].as_str().unwrap();
    let path = format!("/v1/admin/changes/{id}?organisation=alpenfunk&revision=2");
    let asked = site.get(0, &path).await;
    assert_eq!(asked.verdict(), (503, "platform_out", None), "{}", asked.text);
    site.standin.heal().await.unwrap();
    site.until_revision(0, "alpenfunk", 2).await;
    let asked = site.get(0, &path).await;
    assert_eq!(asked.body["outcome"], "accepted", "{}", asked.text);
    assert_eq!(asked.body["revision"], 2);
    let other = "01920000-0000-7000-8000-000000000001";
    for (query, outcome) in
        [("&revision=2", "not_run"), ("&revision=3", "in_doubt"), ("", "unknown")]
    {
        let path = format!("/v1/admin/changes/{other}?organisation=alpenfunk{query}");
        assert_eq!(site.get(0, &path).await.body["outcome"], outcome);
    }
}

#[tokio::test]
async fn outage_is_not_run() {
    let site = Site::start(1).await;
    site.standin.refuse().await.unwrap();
    let got = site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 100)).await;
    assert_eq!(got.verdict(), (503, "platform_out", None), "{}", got.text);
    assert_eq!(got.body["outcome"], "not_run");
    assert!(got.body["retry_after_ms"].as_u64() > Some(0));
    assert!(site.is_ready(0).await, "callers are served all the same");
}

#[tokio::test]
async fn rollout_and_status() {
    let site = Site::start(3).await;
    assert_eq!(site.put(1, "alpenfunk", 0, &yaml("alpenfunk", 100)).await.status, 200);
    until("all entries have it", async || {
        let got = site.get(0, "/v1/admin/rollout").await;
        let entries = got.body["entries"].as_array().unwrap();
        let has = |entry: &Value| entry["revisions"]["alpenfunk"] == 1;
        entries.len() == 3 && entries.iter().all(has)
    })
    .await;
    let got = site.get(0, "/v1/admin/rollout").await;
    let line = &got.body["entries"][1];
    assert_eq!((&line["data_centre"], &line["ready"]), (&json!("here"), &json!(true)));
    assert!(line["config_mark"].as_u64() > Some(0), "{}", got.text);
    let got = site.get(0, "/v1/admin/status").await;
    assert_eq!(got.body["entries"].as_array().unwrap().len(), 3, "{}", got.text);
    assert!(got.body["upstreams"].is_array());
}

#[tokio::test]
async fn drain_stops() {
    let mut site = Site::start(1).await;
    let got = site.send(0, OPERATOR, "POST /v1/admin/drain", &[], "").await;
    assert_eq!((got.status, &got.body["draining"]), (200, &json!(true)));
    assert!(!site.is_ready(0).await);
    let mut entry = site.entries.remove(0);
    entry.stopping().await;
    entry.drain().await.unwrap();
}

/// An entry whose drain ends before a call of the platform does.
async fn impatient(site: &mut Site) -> ClusterEntry {
    let platform = site.standin.address();
    site.add_entry_with(platform, |settings| {
        settings.limits.drain_ms = 1_500;
        settings.platform.timeout_ms = 20_000;
    })
    .await;
    site.until_ready(0).await;
    site.entries.remove(0)
}

/// Sends a change, of which only part may come, and drains; returns status and body.
async fn change_at_the_bound(
    entry: ClusterEntry,
    content_length: usize,
    body: &str,
) -> (u16, Value) {
    let address = entry.entry.http_address();
    let mut connection = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "{PUT} HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {OPERATOR}\r\n\
         If-None-Match: *\r\nConnection: close\r\nContent-Length: {content_length}\r\n\r\n{body}"
    );
    connection.write_all(request.as_bytes()).await.unwrap();
    until("it is in flight", async || entry.entry.shared.lifecycle.requests() == 1).await;
    entry.entry.drain().await.unwrap();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await.unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").expect("an answer");
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, serde_json::from_str(body).unwrap())
}

/// A template that comes slowly must not end with its connection cut.
#[tokio::test]
async fn a_slow_change_at_the_bound_is_answered() {
    let mut site = Site::start(0).await;
    let entry = impatient(&mut site).await;
    let (status, body) = change_at_the_bound(entry, 100, "organisation: alpenfunk").await;
    assert_eq!((status, &body["outcome"]), (503, &json!("not_run")), "{body}");
    assert_eq!(body["reason"], "draining");
}

/// A change that the platform is slow to take must not end with its connection cut.
#[tokio::test]
async fn a_change_at_the_bound_is_answered() {
    let mut site = Site::start(0).await;
    let entry = impatient(&mut site).await;
    let hang = PlatformFaults { hang: true, ..PlatformFaults::default() };
    site.standin.set_faults(hang).await.unwrap();
    let yaml = yaml("alpenfunk", 100);
    let (status, body) = change_at_the_bound(entry, yaml.len(), &yaml).await;
    assert_eq!((status, &body["outcome"]), (503, &json!("in_doubt")), "{body}");
    assert_eq!(body["reason"], "draining");
    assert!(body["change_id"].is_string(), "{body}");
}

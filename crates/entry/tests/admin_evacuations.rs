//! Operators evacuate data centres: over HTTP, the platform, entries and real agents.

mod admin_site;
mod support;

use {
    admin_site::{CALLER, Got, OPERATOR, Relay, Site, until, yaml},
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{Member, agent_settings, start_member},
    sycamorerail_standin::platform::PlatformFaults,
};

const NORTH: &str = "/v1/admin/evacuations/north";
const SOUTH: &str = "/v1/admin/evacuations/south";

/// Everywhere in force within this of the answer, with a platform that is calm.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

async fn evacuate(site: &Site, entry: usize, path: &str) -> Got {
    site.send(entry, OPERATOR, &format!("PUT {path}"), &[], "").await
}

async fn restore(site: &Site, entry: usize, path: &str) -> Got {
    site.send(entry, OPERATOR, &format!("DELETE {path}"), &[], "").await
}

fn is_held(site: &Site, entry: usize, data_centre: &str) -> bool {
    site.entries[entry].entry.shared.evacuations.borrow().contains(data_centre)
}

async fn until_held(site: &Site, entry: usize, data_centre: &str, held: bool) {
    until("the entry holds it", async || is_held(site, entry, data_centre) == held).await;
}

/// Agents in the data centres, usable at all entries.
async fn start_agents(site: &Site, data_centres: &[&str]) -> Vec<Member> {
    let entries: Vec<SocketAddr> =
        site.entries.iter().map(|entry| entry.entry.inner_address()).collect();
    let mut members = Vec::new();
    for (number, data_centre) in data_centres.iter().enumerate() {
        let settings = agent_settings(&site.authority, entries.clone(), number, data_centre);
        members.push(start_member(settings, 4).await);
    }
    for entry in &site.entries {
        until("all agents are usable", async || {
            entry.entry.shared.upstreams.snapshot().view.rows.len() == data_centres.len()
        })
        .await;
    }
    members
}

async fn publish(site: &Site) {
    assert_eq!(site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 10_000)).await.status, 200);
    for entry in 0..site.entries.len() {
        site.until_revision(entry, "alpenfunk", 1).await;
    }
}

/// Submits a job at an entry and returns status and reason.
async fn submit(site: &Site, entry: usize, tasks: usize, run_ms: u64) -> (u16, String) {
    let token = format!("{CALLER}-alpenfunk");
    let ids = site.send(entry, &token, "POST /v1/ids", &[], r#"{"count":1}"#).await;
    let id = ids.body["ids"][0].as_str().unwrap_or_else(|| panic!("{}", ids.text)).to_owned();
    let body = json!({ "kind": "probe", "tasks": vec![json!({ "run_ms": run_ms }); tasks] });
    let call = format!("PUT /v1/jobs/{id}");
    let got = site.send(entry, &token, &call, &[], &body.to_string()).await;
    (got.status, got.body["reason"].as_str().unwrap_or_default().to_owned())
}

fn starts(members: &[Member]) -> Vec<u64> {
    members.iter().map(|member| member.upstream.starts(false).starts).collect()
}

#[tokio::test]
async fn said_twice_is_said_once() {
    let site = Site::start(2).await;
    let _members = start_agents(&site, &["north", "south"]).await;
    let first = evacuate(&site, 0, NORTH).await;
    assert_eq!((first.status, &first.body["changed"]), (200, &json!(true)), "{}", first.text);
    assert_eq!(
        (&first.body["data_centre"], &first.body["evacuated"]),
        (&json!("north"), &json!(true))
    );
    assert_eq!(first.body["changed_by"], "ops");
    let again = evacuate(&site, 1, NORTH).await;
    assert_eq!((again.status, &again.body["changed"]), (200, &json!(false)), "{}", again.text);
    assert_eq!(again.body["revision"], first.body["revision"]);
    until_held(&site, 0, "north", true).await;
    let listed = site.get(0, "/v1/admin/evacuations").await.body["evacuations"].clone();
    assert_eq!(listed.as_array().map(Vec::len), Some(1), "{listed}");
    assert_eq!(listed[0]["revision"], first.body["revision"]);
    let restored = restore(&site, 1, NORTH).await;
    assert_eq!(
        (&restored.body["changed"], &restored.body["evacuated"]),
        (&json!(true), &json!(false))
    );
    assert_eq!(restore(&site, 0, NORTH).await.body["changed"], false);
    assert_eq!(restore(&site, 0, SOUTH).await.body["revision"], 0);
    until_held(&site, 0, "north", false).await;
}

#[tokio::test]
async fn unknown_name_is_refused_by_field() {
    let site = Site::start(1).await;
    for got in [evacuate(&site, 0, NORTH).await, restore(&site, 0, NORTH).await] {
        assert_eq!(got.verdict(), (422, "invalid", None), "{}", got.text);
        assert_eq!(got.body["errors"][0]["path"], "data_centre");
        assert_eq!(got.body["errors"][0]["problem"], "found \"north\"");
        assert_eq!(got.body["errors"][0]["allowed"], "here; any other with unknown=true");
    }
    assert_eq!(evacuate(&site, 0, "/v1/admin/evacuations/North").await.status, 400);
    let forced = evacuate(&site, 0, &format!("{NORTH}?unknown=true")).await;
    assert_eq!((forced.status, &forced.body["changed"]), (200, &json!(true)), "{}", forced.text);
    until_held(&site, 0, "north", true).await;
    assert_eq!(restore(&site, 0, NORTH).await.status, 200, "what is evacuated is known");
}

#[tokio::test]
async fn evacuations_need_an_operator() {
    let site = Site::start(1).await;
    for call in ["PUT", "DELETE"] {
        let got = site.send(0, "other", &format!("{call} {NORTH}"), &[], "").await;
        assert_eq!(got.verdict(), (401, "unauthorised", None), "{}", got.text);
    }
    let got = site.send(0, "", "GET /v1/admin/evacuations", &[], "").await;
    assert_eq!(got.status, 401);
}

#[tokio::test]
async fn in_force_everywhere_soon() {
    let site = Site::start(3).await;
    let members = start_agents(&site, &["north", "south"]).await;
    publish(&site).await;
    assert_eq!(evacuate(&site, 0, NORTH).await.status, 200);
    let answered = Instant::now();
    for entry in 0..3 {
        until_held(&site, entry, "north", true).await;
    }
    assert!(answered.elapsed() < IN_FORCE_WITHIN, "{:?}", answered.elapsed());
    for entry in 0..3 {
        assert_eq!(submit(&site, entry, 8, 5).await.0, 200);
    }
    assert_eq!(starts(&members), [0, 24]);
}

#[tokio::test]
async fn status_shows_what_still_runs() {
    let site = Site::start(1).await;
    let members = start_agents(&site, &["north", "north", "south"]).await;
    publish(&site).await;
    let submitted = submit(&site, 0, 9, 3_000);
    let looked = async {
        until("all run", async || starts(&members).iter().all(|&starts| starts > 0)).await;
        let said = evacuate(&site, 0, NORTH).await;
        until_held(&site, 0, "north", true).await;
        let got = site.get(0, "/v1/admin/status").await;
        let line = &got.body["evacuations"][0];
        assert_eq!(
            (&line["data_centre"], &line["revision"]),
            (&json!("north"), &said.body["revision"])
        );
        assert_eq!((&line["upstreams"], &line["running_upstreams"]), (&json!(2), &json!(2)));
        assert_eq!(line["silent_upstreams"], 0, "{line}");
        let upstreams = got.body["upstreams"].as_array().unwrap();
        assert_eq!(upstreams.iter().filter(|line| line["evacuated"] == true).count(), 2);
    };
    let (answer, ()) = tokio::join!(submitted, looked);
    assert_eq!(answer.0, 200, "what runs goes on");
    let line = site.get(0, "/v1/admin/evacuations").await.body["evacuations"][0].clone();
    assert_eq!((&line["upstreams"], &line["running_upstreams"]), (&json!(2), &json!(0)));
}

#[tokio::test]
async fn store_out_is_not_run() {
    let site = Site::start(1).await;
    site.standin.refuse().await.unwrap();
    let got = evacuate(&site, 0, "/v1/admin/evacuations/here").await;
    assert_eq!(got.verdict(), (503, "platform_out", None), "{}", got.text);
    assert_eq!(got.body["outcome"], "not_run");
    assert_eq!(got.body["retry_after_ms"], 2_000);
    assert_eq!(got.header("retry-after"), "2");
    site.standin.heal().await.unwrap();
    assert!(!is_held(&site, 0, "here"));
    assert_eq!(evacuate(&site, 0, "/v1/admin/evacuations/here").await.status, 200);
}

#[tokio::test]
async fn store_slow_and_losing_answers() {
    let site = Site::start(2).await;
    let _members = start_agents(&site, &["north", "south"]).await;
    let faults = PlatformFaults {
        lose_answers: 0.5,
        delay_ms: Some(50),
        jitter_ms: 50,
        ..PlatformFaults::default()
    };
    site.standin.set_faults(faults).await.unwrap();
    for _ in 0..3 {
        assert_eq!(evacuate(&site, 0, NORTH).await.status, 200);
        until_held(&site, 1, "north", true).await;
        assert_eq!(restore(&site, 1, NORTH).await.status, 200);
        until_held(&site, 0, "north", false).await;
    }
}

/// An entry that cannot reach the platform is told by agents, and tells others.
#[tokio::test]
async fn entry_without_the_store_learns_from_agents() {
    let mut site = Site::start(1).await;
    let relay = Relay::start(site.standin.address()).await;
    site.add_entry(relay.address).await;
    site.until_ready(1).await;
    let members = start_agents(&site, &["north", "south"]).await;
    publish(&site).await;
    relay.stall();
    assert_eq!(evacuate(&site, 0, NORTH).await.status, 200);
    let answered = Instant::now();
    until_held(&site, 1, "north", true).await;
    assert!(answered.elapsed() < IN_FORCE_WITHIN, "{:?}", answered.elapsed());
    assert_eq!(submit(&site, 1, 8, 5).await.0, 200);
    assert_eq!(starts(&members), [0, 8]);
    let line = site.get(1, "/v1/admin/evacuations").await.body["evacuations"][0].clone();
    assert_eq!((&line["data_centre"], &line["revision"]), (&json!("north"), &json!(null)));
    assert_eq!(restore(&site, 0, NORTH).await.status, 200);
    until_held(&site, 1, "north", false).await;
}

#[tokio::test]
async fn entry_that_starts_meanwhile_places_nothing_there() {
    let mut site = Site::start(1).await;
    let members = start_agents(&site, &["north", "south"]).await;
    publish(&site).await;
    assert_eq!(evacuate(&site, 0, NORTH).await.status, 200);
    let address = site.standin.address();
    site.add_entry(address).await;
    site.until_ready(1).await;
    assert!(is_held(&site, 1, "north"), "in force before it is ready");
    site.until_revision(1, "alpenfunk", 1).await;
    assert_eq!(submit(&site, 1, 8, 5).await.0, 200);
    assert_eq!(starts(&members), [0, 8]);
}

/// Two operators at two entries say opposite words at once, again and again: both entries
/// end with what the platform's record says.
#[tokio::test]
async fn opposite_words_end_alike_everywhere() {
    let site = Site::start(2).await;
    let _members = start_agents(&site, &["north"]).await;
    for _ in 0..20 {
        let (one, other) = tokio::join!(evacuate(&site, 0, NORTH), restore(&site, 1, NORTH));
        for got in [&one, &other] {
            assert!(matches!(got.status, 200 | 412), "{}", got.text);
        }
    }
    let last = evacuate(&site, 0, NORTH).await.body;
    for entry in 0..2 {
        until_held(&site, entry, "north", true).await;
        until("the record shows", async || {
            let got = site.get(entry, "/v1/admin/evacuations").await;
            got.body["evacuations"][0]["revision"] == last["revision"]
        })
        .await;
    }
}

#[tokio::test]
async fn all_evacuated_over_http() {
    let site = Site::start(1).await;
    let members = start_agents(&site, &["north", "south"]).await;
    publish(&site).await;
    for path in [NORTH, SOUTH] {
        assert_eq!(evacuate(&site, 0, path).await.status, 200);
    }
    until_held(&site, 0, "south", true).await;
    assert_eq!(submit(&site, 0, 1, 5).await, (503, "evacuated".to_owned()));
    assert!(site.is_ready(0).await, "another entry would say the same");
    assert_eq!(restore(&site, 0, SOUTH).await.status, 200);
    until("it serves again", async || submit(&site, 0, 1, 5).await.0 == 200).await;
    assert_eq!(starts(&members)[0], 0);
}

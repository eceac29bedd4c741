//! An entry in the test's process, with agents that do as their payload says.

#![allow(dead_code, missing_docs, unused_imports)]

mod agent;
mod fleet;

use {
    reqwest::{Client, Method, RequestBuilder},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{
        net::SocketAddr,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    sycamorerail_entry::{
        callers::Binder,
        entry::{Entry, EntryHandle},
        error::EntryError,
        seams::Seams,
    },
    sycamorerail_platform::{Platform, PlatformConfig},
    sycamorerail_settings::{
        entry::{EntrySettings, LimitSettings, PlatformSettings},
        keys::KeySettings,
        template::{
            KindTemplate, PlacementTemplate, PolicyTemplate, Priority, Quota, SpreadTemplate,
            Template, Urgency,
        },
    },
    sycamorerail_standin::platform::{PlatformStandin, PlatformStandinConfig},
    sycamorerail_telemetry::invariant,
    sycamorerail_wire::keys::{PemPair, Role, generate_authority, issue_certificate},
    uuid::{NoContext, Timestamp, Uuid},
};

pub use {
    agent::FakeAgent,
    fleet::{Fleet, Member, agent_settings, start_member},
};

/// Longest wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct World {
    pub authority: PemPair,
    pub entry: EntryHandle,
    pub http: Client,
}

pub struct Got {
    pub status: u16,
    pub body: Value,
    pub retry_after: Option<String>,
}

impl Got {
    pub fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or_default()
    }

    /// Status, outcome and reason.
    pub fn verdict(&self) -> (u16, &str, &str) {
        (self.status, self.text("outcome"), self.text("reason"))
    }
}

impl World {
    pub async fn start() -> Self {
        Self::with_limits(|_| {}).await
    }

    /// With a platform that binds callers' own keys.
    pub async fn with_platform() -> (Self, PlatformStandin) {
        let standin = PlatformStandin::start(PlatformStandinConfig::default()).await.unwrap();
        let config =
            PlatformConfig { url: standin.url(), timeout_ms: 500, call_budget_per_s: 1_000 };
        let platform = Platform::new(config).unwrap();
        let retention_ms = LimitSettings::default().retention_ms;
        let binder = Some(Binder::new(platform, 500, retention_ms));
        let seams = Seams { binder, ..Seams::default() };
        (Self::with_seams(LimitSettings::default(), seams).await, standin)
    }

    pub async fn with_limits(change: impl FnOnce(&mut LimitSettings)) -> Self {
        let mut limits = LimitSettings { drain_ms: 20_000, ..LimitSettings::default() };
        change(&mut limits);
        Self::with_seams(limits, Seams::default()).await
    }

    pub async fn with_seams(limits: LimitSettings, seams: Seams) -> Self {
        invariant::set_fatal(true);
        let authority = generate_authority("test").unwrap();
        let entry = Entry::start_with(settings(&authority, limits), seams).await.unwrap();
        entry.put_in_force(vec![template("alpenfunk"), template("rangmancha")]);
        Self { authority, entry, http: Client::new() }
    }

    /// Starts another entry at this address.
    pub async fn second_at(&self, http_address: SocketAddr) -> Result<EntryHandle, EntryError> {
        let settings = settings(&self.authority, LimitSettings::default());
        Entry::start(EntrySettings { http_address, ..settings }).await
    }

    pub async fn agent(&self, name: &str) -> FakeAgent {
        self.agent_with(name, 4).await
    }

    pub async fn agent_with(&self, name: &str, slots: u16) -> FakeAgent {
        FakeAgent::start(&self.authority, self.entry.inner_address(), name, slots).await
    }

    pub async fn call(&self, method: Method, path: &str, token: &str, body: Option<&Value>) -> Got {
        send(&self.http, self.entry.http_address(), method, path, token, body).await
    }

    pub async fn ids(&self, token: &str, count: u32) -> Vec<String> {
        let body = json!({ "count": count });
        let got = self.call(Method::POST, "/v1/ids", token, Some(&body)).await;
        assert_eq!(got.status, 200, "{}", got.body);
        let ids = got.body["ids"].as_array().unwrap();
        ids.iter().map(|id| id.as_str().unwrap().to_owned()).collect()
    }

    pub async fn id(&self) -> String {
        self.ids("alpenfunk", 1).await.remove(0)
    }

    pub async fn put_job(&self, id: &str, body: &Value) -> Got {
        self.call(Method::PUT, &format!("/v1/jobs/{id}"), "alpenfunk", Some(body)).await
    }

    pub async fn put_request(&self, id: &str, body: &Value) -> Got {
        self.call(Method::PUT, &format!("/v1/requests/{id}"), "alpenfunk", Some(body)).await
    }

    pub async fn post_keyed(&self, path: &str, key: &str, body: &Value) -> Got {
        let url = format!("http://{}{path}", self.entry.http_address());
        let request = self.http.post(url).header("Idempotency-Key", key);
        got(request.header("Authorization", "Bearer alpenfunk").body(body.to_string())).await
    }

    pub async fn fetch(&self, id: &str) -> Got {
        self.call(Method::GET, &format!("/v1/jobs/{id}"), "alpenfunk", None).await
    }

    pub async fn cancel(&self, id: &str) -> Got {
        self.call(Method::DELETE, &format!("/v1/jobs/{id}"), "alpenfunk", None).await
    }

    /// Fetches until the outcome is as asked for.
    pub async fn fetch_until(&self, id: &str, outcome: &str) -> Got {
        let found = tokio::time::timeout(PATIENCE, async {
            loop {
                let got = self.fetch(id).await;
                if got.text("outcome") == outcome {
                    return got;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        found.await.unwrap()
    }
}

pub async fn send(
    http: &Client,
    address: SocketAddr,
    method: Method,
    path: &str,
    token: &str,
    body: Option<&Value>,
) -> Got {
    let mut request = http
        .request(method, format!("http://{address}{path}"))
        .header("Authorization", format!("Bearer {token}"));
    if let Some(body) = body {
        request = request.body(body.to_string());
    }
    got(request).await
}

async fn got(request: RequestBuilder) -> Got {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().unwrap().to_owned());
    let text = response.text().await.unwrap();
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Got { status, body, retry_after }
}

/// A caller's own key that was made so many milliseconds ago.
pub fn key_of_age(age_ms: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let made = now - Duration::from_millis(age_ms);
    let timestamp = Timestamp::from_unix(NoContext, made.as_secs(), made.subsec_nanos());
    Uuid::new_v7(timestamp).to_string()
}

fn settings(authority: &PemPair, limits: LimitSettings) -> EntrySettings {
    let own = issue_certificate(authority, Role::Entry, "entry").unwrap();
    EntrySettings {
        name: "entry".to_owned(),
        data_centre: "here".to_owned(),
        http_address: "127.0.0.1:0".parse().unwrap(),
        inner_address: "127.0.0.1:0".parse().unwrap(),
        advertised_address: None,
        peers: Vec::new(),
        platform: platform("http://127.0.0.1:9"),
        keys: KeySettings {
            authority_pem: authority.certificate_pem.clone(),
            certificate_pem: own.certificate_pem,
            private_key_pem: own.key_pem,
        },
        cluster_secret: "secret of the tests' cluster".to_owned(),
        operators: Vec::new(),
        limits,
        log_level: "info".to_owned(),
        fatal_invariants: true,
    }
}

fn platform(url: &str) -> PlatformSettings {
    PlatformSettings {
        url: url.to_owned(),
        timeout_ms: 500,
        call_budget_per_s: 100,
        key_budget_per_s: 50,
        poll_ms: 1_000,
        lease_ms: 10_000,
    }
}

/// The organisation's token is its name.
pub fn template(organisation: &str) -> Template {
    let hash = Sha256::digest(organisation.as_bytes());
    let token_sha256 = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    let caller =
        sycamorerail_settings::entry::TokenSettings { name: "caller".to_owned(), token_sha256 };
    Template {
        organisation: organisation.to_owned(),
        quota: Quota { starts_per_s: 100_000, burst: 100_000, max_in_flight: 100_000 },
        callers: vec![caller],
        kinds: vec![kind("once", false), kind("again", true)],
    }
}

fn kind(name: &str, repeatable: bool) -> KindTemplate {
    KindTemplate {
        name: name.to_owned(),
        urgency: Urgency::Urgent,
        deadline_ms: 15_000,
        placement: PlacementTemplate {
            spread: SpreadTemplate::Even,
            avoid: Vec::new(),
            policy: PolicyTemplate::ByPriority,
        },
        repeatable,
        priority: Priority::Time,
        size_bytes: 1_000,
        run_ms: 50,
        max_attempts: 3,
        hedge_percentile: None,
    }
}

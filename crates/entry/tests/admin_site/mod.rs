//! Entries of a cluster in the test's process, and operators who call them.

#![allow(dead_code, missing_docs)]

use {
    reqwest::{Client, Method, header::HeaderMap},
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    sycamorerail_entry::cluster::ClusterEntry,
    sycamorerail_settings::{
        entry::{EntrySettings, LimitSettings, PlatformSettings, TokenSettings},
        keys::KeySettings,
        token::token_sha256,
    },
    sycamorerail_standin::platform::{PlatformStandin, PlatformStandinConfig},
    sycamorerail_telemetry::invariant,
    sycamorerail_wire::keys::{PemPair, Role, generate_authority, issue_certificate},
    tokio::{
        net::{TcpListener, TcpStream, UdpSocket},
        sync::watch,
        time::{Instant, sleep},
    },
};

pub const OPERATOR: &str = "operator-secret";
pub const CALLER: &str = "caller-secret";
pub const PLATFORM_TIMEOUT_MS: u32 = 200;
const PATIENCE: Duration = Duration::from_secs(30);

pub struct Site {
    pub standin: PlatformStandin,
    pub entries: Vec<ClusterEntry>,
    pub authority: PemPair,
    http: Client,
}

pub struct Got {
    pub status: u16,
    pub headers: HeaderMap,
    pub text: String,
    pub body: Value,
}

impl Got {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }

    /// Status, reason and revision.
    pub fn verdict(&self) -> (u16, &str, Option<u64>) {
        let reason = self.body["reason"].as_str().unwrap_or_default();
        (self.status, reason, self.body["revision"].as_u64())
    }
}

impl Site {
    pub async fn start(entries: usize) -> Self {
        invariant::set_fatal(true);
        let standin = PlatformStandin::start(PlatformStandinConfig::default()).await.unwrap();
        let authority = generate_authority("test").unwrap();
        let mut site = Self { standin, entries: Vec::new(), authority, http: Client::new() };
        for _ in 0..entries {
            let address = site.standin.address();
            site.add_entry(address).await;
            site.until_ready(site.entries.len() - 1).await;
        }
        site
    }

    /// Starts one more entry, which reaches the platform at this address.
    pub async fn add_entry(&mut self, platform: SocketAddr) {
        self.add_entry_with(platform, |_| {}).await;
    }

    pub async fn add_entry_with(
        &mut self,
        platform: SocketAddr,
        change: impl FnOnce(&mut EntrySettings),
    ) {
        let mut settings = self.settings(platform);
        change(&mut settings);
        self.entries.push(ClusterEntry::start(settings).await.unwrap());
    }

    /// Where an entry's inner protocol listens, whatever it advertises.
    pub fn bound(&self, entry: usize) -> SocketAddr {
        self.entries[entry].entry.shared.endpoint.local_addr().unwrap()
    }

    fn settings(&self, platform: SocketAddr) -> EntrySettings {
        let name = format!("entry-{}", self.entries.len());
        let own = issue_certificate(&self.authority, Role::Entry, &name).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        EntrySettings {
            name,
            data_centre: "here".to_owned(),
            http_address: any,
            inner_address: any,
            advertised_address: None,
            peers: self.entries.iter().map(|entry| entry.entry.inner_address()).collect(),
            platform: PlatformSettings {
                url: format!("http://{platform}"),
                timeout_ms: PLATFORM_TIMEOUT_MS,
                call_budget_per_s: 1_000,
                key_budget_per_s: 100,
                poll_ms: 1_000,
                lease_ms: 5_000,
            },
            keys: KeySettings {
                authority_pem: self.authority.certificate_pem.clone(),
                certificate_pem: own.certificate_pem,
                private_key_pem: own.key_pem,
            },
            cluster_secret: "a secret of sixteen bytes".to_owned(),
            operators: vec![TokenSettings {
                name: "ops".to_owned(),
                token_sha256: token_sha256(OPERATOR),
            }],
            limits: LimitSettings { drain_ms: 20_000, ..LimitSettings::default() },
            log_level: "info".to_owned(),
            fatal_invariants: true,
        }
    }

    /// Sends a call such as `GET /ready`.
    pub async fn send(
        &self,
        entry: usize,
        token: &str,
        call: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Got {
        let address = self.entries[entry].entry.http_address();
        let (method, path) = call.split_once(' ').unwrap();
        let method: Method = method.parse().unwrap();
        let mut request = self.http.request(method, format!("http://{address}{path}"));
        if !token.is_empty() {
            request = request.bearer_auth(token);
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request.body(body.to_owned()).send().await.unwrap();
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let text = response.text().await.unwrap();
        let body = serde_json::from_str(&text).unwrap_or_default();
        Got { status, headers, text, body }
    }

    pub async fn get(&self, entry: usize, path: &str) -> Got {
        self.send(entry, OPERATOR, &format!("GET {path}"), &[], "").await
    }

    /// Replaces the revision, 0 for none.
    pub async fn put(&self, entry: usize, name: &str, revision: u64, body: &str) -> Got {
        let call = format!("PUT /v1/admin/organisations/{name}");
        self.send(entry, OPERATOR, &call, &[condition(&tag(revision))], body).await
    }

    /// Changes the revision by another method or path.
    pub async fn change(&self, method: &str, path: &str, revision: u64, body: &str) -> Got {
        let call = format!("{method} /v1/admin/organisations/{path}");
        self.send(0, OPERATOR, &call, &[condition(&tag(revision))], body).await
    }

    pub fn revision(&self, entry: usize, name: &str) -> u64 {
        let set = self.entries[entry].in_force.load();
        set.records.get(name).map_or(0, |record| record.revision)
    }

    pub async fn until_revision(&self, entry: usize, name: &str, revision: u64) {
        until("the revision in force", async || self.revision(entry, name) == revision).await;
    }

    pub async fn is_ready(&self, entry: usize) -> bool {
        self.send(entry, "", "GET /ready", &[], "").await.status == 200
    }

    pub async fn until_ready(&self, entry: usize) {
        until("the entry is ready", async || self.is_ready(entry).await).await;
    }
}

fn tag(revision: u64) -> String {
    if revision == 0 { "*".to_owned() } else { format!("\"{revision}\"") }
}

fn condition(tag: &str) -> (&str, &str) {
    (if tag == "*" { "If-None-Match" } else { "If-Match" }, tag)
}

pub async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < end, "waited in vain until {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

pub fn yaml(organisation: &str, deadline_ms: u32) -> String {
    let hash = token_sha256(&format!("{CALLER}-{organisation}"));
    format!(
        "organisation: {organisation}\ncallers:\n  - name: desk\n    token_sha256: {hash}\n\
         kinds:\n  - name: probe\n    run_ms: 1\n    deadline_ms: {deadline_ms}\n"
    )
}

/// Carries connections to the platform until cut or stalled.
pub struct Relay {
    pub address: SocketAddr,
    state: watch::Sender<Line>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Line {
    Open,
    /// Connections stay, and nothing goes through.
    Stalled,
    Cut,
}

impl Relay {
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = watch::Sender::new(Line::Open);
        let seen = state.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, to, seen.clone()));
            }
        });
        Self { address, state }
    }

    pub fn cut(&self) {
        self.state.send_replace(Line::Cut);
    }

    pub fn stall(&self) {
        self.state.send_replace(Line::Stalled);
    }
}

async fn carry(mut inward: TcpStream, to: SocketAddr, mut line: watch::Receiver<Line>) {
    if *line.borrow() == Line::Cut {
        return;
    }
    let Ok(mut outward) = TcpStream::connect(to).await else { return };
    let open = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut inward, &mut outward) => return,
        line = line.wait_for(|&line| line != Line::Open) => line.map(|line| *line),
    };
    if matches!(open, Ok(Line::Stalled)) {
        let _ = line.wait_for(|&line| line != Line::Stalled).await;
    }
}

/// An address at which nobody answers, until it carries datagrams of the one
/// process that dials it.
pub struct Silent(UdpSocket);

impl Silent {
    pub async fn bind() -> Self {
        Self(UdpSocket::bind("127.0.0.1:0").await.unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    pub fn carry_to(self, to: SocketAddr) {
        tokio::spawn(async move {
            let inward = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            inward.connect(to).await.unwrap();
            let (mut there, mut back) = (vec![0; 65_536], vec![0; 65_536]);
            let mut dialler = None;
            loop {
                tokio::select! {
                    Ok((length, from)) = self.0.recv_from(&mut there) => {
                        dialler = Some(from);
                        let _ = inward.send(&there[..length]).await;
                    }
                    Ok(length) = inward.recv(&mut back) => {
                        if let Some(dialler) = dialler {
                            let _ = self.0.send_to(&back[..length], dialler).await;
                        }
                    }
                }
            }
        });
    }
}

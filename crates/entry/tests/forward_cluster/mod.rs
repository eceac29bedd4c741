//! Several entries in the test's process, with real agents, upstreams and the
//! platform's stand-in.

#![allow(dead_code, missing_docs)]

use {
    crate::support::{Got, PATIENCE, send, template},
    reqwest::{Client, Method},
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    sycamorerail_agent::agent::Agent,
    sycamorerail_entry::{
        entry::{Entry, EntryHandle},
        peers::{Peers, Sources},
        seams::Seams,
    },
    sycamorerail_membership::keys::ROOT,
    sycamorerail_platform::{Mirror, Platform, PlatformConfig},
    sycamorerail_settings::{
        agent::AgentSettings,
        entry::{EntrySettings, LimitSettings, PlatformSettings},
        keys::KeySettings,
    },
    sycamorerail_standin::{
        platform::{PlatformStandin, PlatformStandinConfig},
        upstream::{UpstreamStandin, UpstreamStandinConfig},
    },
    sycamorerail_telemetry::invariant,
    sycamorerail_wire::keys::{PemPair, Role, generate_authority, issue_certificate},
    tokio::{net::TcpListener, net::TcpStream, sync::watch, time::sleep},
};

pub const TOKEN: &str = "alpenfunk";
const LOOK_PAUSE: Duration = Duration::from_millis(10);

pub async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let waiting = async {
        while !holds().await {
            sleep(LOOK_PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.unwrap_or_else(|_| panic!("never: {what}"));
}

/// Carries connections to the platform until cut.
pub struct Relay {
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let cut = watch::Sender::new(false);
        let seen = cut.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, to, seen.clone()));
            }
        });
        Self { address, cut }
    }

    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn carry(mut inward: TcpStream, to: SocketAddr, mut cut: watch::Receiver<bool>) {
    if *cut.borrow() {
        return;
    }
    let Ok(mut outward) = TcpStream::connect(to).await else { return };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut inward, &mut outward) => {}
        _ = cut.wait_for(|&cut| cut) => {}
    }
}

/// One entry.
pub struct Node {
    pub entry: EntryHandle,
    pub peers: Peers,
    pub relay: Relay,
    platform: Platform,
    /// Other entries get no answer from it.
    pub cut_from_entries: Arc<AtomicBool>,
    http: Client,
}

impl Node {
    /// Starts its membership.
    pub fn attach(&self) {
        let mirror = Mirror::start(self.platform.clone(), ROOT, 1_000);
        self.peers.attach(&self.entry.shared, self.platform.clone(), mirror);
    }

    pub async fn call(&self, method: Method, path: &str, body: Option<&Value>) -> Got {
        send(&self.http, self.entry.http_address(), method, path, TOKEN, body).await
    }

    pub async fn ids(&self, count: u32) -> Vec<String> {
        let got = self.call(Method::POST, "/v1/ids", Some(&json!({ "count": count }))).await;
        assert_eq!(got.status, 200, "{}", got.body);
        let ids = got.body["ids"].as_array().unwrap();
        ids.iter().map(|id| id.as_str().unwrap().to_owned()).collect()
    }

    pub async fn id(&self) -> String {
        self.ids(1).await.remove(0)
    }

    pub async fn submit(&self, id: &str, body: &Value) -> Got {
        self.call(Method::PUT, &format!("/v1/jobs/{id}"), Some(body)).await
    }

    pub async fn fetch(&self, id: &str) -> Got {
        self.call(Method::GET, &format!("/v1/jobs/{id}"), None).await
    }

    /// Submits again until the answer is not in doubt.
    pub async fn submit_until_decided(&self, id: &str, body: &Value) -> Got {
        let decided = async {
            loop {
                let got = self.submit(id, body).await;
                if got.text("outcome") != "in_doubt" {
                    return got;
                }
                let retry_after_ms = got.body["retry_after_ms"].as_u64().unwrap_or(100);
                sleep(Duration::from_millis(retry_after_ms.min(200))).await;
            }
        };
        tokio::time::timeout(PATIENCE, decided).await.expect("decided")
    }

    /// Gives its address up to another process.
    pub async fn free_address(&self) -> SocketAddr {
        let address = self.entry.inner_address();
        self.entry.shared.endpoint.wait_idle().await;
        // The endpoint keeps the socket before the present one.
        for _ in 0..2 {
            let other = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
            self.entry.shared.endpoint.rebind(other).unwrap();
        }
        until("the address is free", async || std::net::UdpSocket::bind(address).is_ok()).await;
        address
    }

    /// Ends all its sessions for good, and cuts it off from the platform. Its
    /// tasks go on, as those of a process that is cut off.
    pub fn kill(&self) {
        self.entry.shared.endpoint.close(0u32.into(), b"killed");
        self.relay.cut(true);
    }
}

/// An agent and its upstream.
pub struct Slot {
    pub agent: Agent,
    pub upstream: UpstreamStandin,
}

pub struct Cluster {
    pub authority: PemPair,
    pub platform: PlatformStandin,
    pub nodes: Vec<Node>,
    pub slots: Vec<Slot>,
    limits: LimitSettings,
}

impl Cluster {
    /// All started, known to each other, and every agent usable everywhere.
    pub async fn start(nodes: usize, agents: usize) -> Self {
        Self::start_with(nodes, agents, |_| {}).await
    }

    pub async fn start_with(
        nodes: usize,
        agents: usize,
        change: impl FnOnce(&mut LimitSettings),
    ) -> Self {
        invariant::set_fatal(true);
        let authority = generate_authority("test").unwrap();
        let platform = PlatformStandin::start(PlatformStandinConfig::default()).await.unwrap();
        let mut limits = LimitSettings {
            lost_after_ms: 1_000,
            probe_after_ms: 400,
            drain_ms: 20_000,
            ..LimitSettings::default()
        };
        change(&mut limits);
        let mut cluster =
            Self { authority, platform, nodes: Vec::new(), slots: Vec::new(), limits };
        for _ in 0..nodes {
            cluster.add_node().await;
        }
        for _ in 0..agents {
            cluster.add_agent().await;
        }
        cluster.all_usable().await;
        cluster
    }

    pub async fn add_node(&mut self) -> &Node {
        self.add_node_at("127.0.0.1:0".parse().unwrap()).await
    }

    pub async fn add_node_at(&mut self, inner_address: SocketAddr) -> &Node {
        let node = self.add_unattached_node_at(inner_address).await;
        node.attach();
        node
    }

    /// Adds an entry that accepts agents and has no membership yet.
    pub async fn add_unattached_node(&mut self) -> &Node {
        self.add_unattached_node_at("127.0.0.1:0".parse().unwrap()).await
    }

    async fn add_unattached_node_at(&mut self, inner_address: SocketAddr) -> &Node {
        let relay = Relay::start(self.platform.address()).await;
        let settings = self.entry_settings(inner_address, relay.address);
        let platform_url = settings.platform.url.clone();
        let peers = Peers::new(Sources::default());
        let cut_from_entries = Arc::new(AtomicBool::new(false));
        let seams = cuttable(peers.seams(Seams::default()), &cut_from_entries);
        let entry = Entry::start_with(settings, seams).await.unwrap();
        entry.put_in_force(vec![template(TOKEN)]);
        let config =
            PlatformConfig { url: platform_url, timeout_ms: 1_000, call_budget_per_s: 500 };
        let platform = Platform::new(config).unwrap();
        let http = Client::new();
        self.nodes.push(Node { entry, peers, relay, platform, cut_from_entries, http });
        self.nodes.last().unwrap()
    }

    pub async fn add_agent(&mut self) -> &Slot {
        let name = format!("agent-{}", self.slots.len());
        let entries = self.nodes.iter().map(|node| node.entry.inner_address()).collect();
        let settings = self.agent_settings(&name, entries);
        let agent = Agent::start(settings, Box::new(String::new)).await.unwrap();
        let upstream = UpstreamStandin::start(UpstreamStandinConfig {
            name,
            agent_url: format!("http://{}", agent.http_address()),
            slots: 4,
            announce_ms: 50,
            ..UpstreamStandinConfig::default()
        });
        let upstream = upstream.await.unwrap();
        self.slots.push(Slot { agent, upstream });
        self.slots.last().unwrap()
    }

    /// Waits until every agent has its upstream and may be used everywhere.
    pub async fn all_usable(&self) {
        let agents = self.slots.len();
        for node in &self.nodes {
            let usable = async || {
                let snapshot = node.entry.shared.upstreams.snapshot();
                let free = snapshot.view.rows.iter().filter(|row| row.free_slots() > 0);
                free.count() == agents
            };
            until("all agents are usable", usable).await;
        }
    }

    /// Starts by task, over all upstreams.
    pub fn starts(&self) -> HashMap<String, u32> {
        let mut starts = HashMap::new();
        for slot in &self.slots {
            let report = slot.upstream.starts(true);
            assert_eq!(report.repeated, Vec::<String>::new(), "started twice at one upstream");
            for id in report.ids.unwrap_or_default() {
                *starts.entry(id).or_default() += 1;
            }
        }
        starts
    }

    /// Starts of a job's tasks.
    pub fn starts_of(&self, id: &str) -> u32 {
        let starts = self.starts();
        starts.iter().filter(|(task, _)| task.starts_with(id)).map(|(_, count)| *count).sum()
    }

    pub fn assert_started_once(&self) {
        let starts = self.starts();
        assert!(starts.values().all(|&count| count == 1), "{starts:?}");
    }

    /// Waits until no upstream has run anything for a while.
    pub async fn idle(&self) {
        for slot in &self.slots {
            slot.upstream.idle().await;
        }
    }

    fn entry_settings(&self, inner_address: SocketAddr, platform: SocketAddr) -> EntrySettings {
        let own = issue_certificate(&self.authority, Role::Entry, "entry").unwrap();
        EntrySettings {
            name: format!("entry-{}", self.nodes.len()),
            data_centre: "here".to_owned(),
            http_address: "127.0.0.1:0".parse().unwrap(),
            inner_address,
            advertised_address: None,
            peers: self.nodes.iter().map(|node| node.entry.inner_address()).collect(),
            platform: PlatformSettings {
                url: format!("http://{platform}"),
                timeout_ms: 1_000,
                call_budget_per_s: 500,
                key_budget_per_s: 50,
                poll_ms: 1_000,
                lease_ms: 2_000,
            },
            keys: self.keys(&own),
            cluster_secret: "secret of the tests' cluster".to_owned(),
            operators: Vec::new(),
            limits: self.limits.clone(),
            log_level: "info".to_owned(),
            fatal_invariants: true,
        }
    }

    fn agent_settings(&self, name: &str, entries: Vec<SocketAddr>) -> AgentSettings {
        let own = issue_certificate(&self.authority, Role::Agent, name).unwrap();
        AgentSettings {
            name: name.to_owned(),
            data_centre: "here".to_owned(),
            rack: "r1".to_owned(),
            http_address: "127.0.0.1:0".parse().unwrap(),
            inner_address: "127.0.0.1:0".parse().unwrap(),
            entries,
            keys: self.keys(&own),
            retention_ms: 600_000,
            kept_result_bytes: 8 << 20,
            record_bytes: 8 << 20,
            max_queued: 16,
            upstream_lease_ms: 120_000,
            heartbeat_ms: 1_000,
            idle_timeout_ms: 60_000,
            drain_ms: 20_000,
            log_level: "info".to_owned(),
            fatal_invariants: true,
        }
    }

    fn keys(&self, own: &PemPair) -> KeySettings {
        KeySettings {
            authority_pem: self.authority.certificate_pem.clone(),
            certificate_pem: own.certificate_pem.clone(),
            private_key_pem: own.key_pem.clone(),
        }
    }
}

/// While cut, connections of other entries are taken, and never answered.
fn cuttable(seams: Seams, cut: &Arc<AtomicBool>) -> Seams {
    let (cut, serve) = (Arc::clone(cut), seams.on_entry_connection);
    let on_entry_connection = Box::new(move |shared, connection: quinn::Connection| {
        if cut.load(Ordering::Acquire) {
            tokio::spawn(async move { connection.closed().await });
        } else {
            tokio::spawn(end_when_cut(connection.clone(), Arc::clone(&cut)));
            serve(shared, connection);
        }
    });
    Seams { on_entry_connection, ..seams }
}

/// What was opened before a cut is cut as well.
async fn end_when_cut(connection: quinn::Connection, cut: Arc<AtomicBool>) {
    while connection.close_reason().is_none() {
        if cut.load(Ordering::Acquire) {
            connection.close(0u32.into(), b"cut");
        }
        sleep(LOOK_PAUSE).await;
    }
}

/// A job of tasks that run this long.
pub fn job(tasks: usize, run_ms: u64) -> Value {
    let tasks: Vec<_> =
        (0..tasks).map(|index| json!({ "run_ms": run_ms, "echo": index })).collect();
    json!({ "kind": "once", "tasks": tasks })
}

/// What the upstreams echoed, in the order of the tasks.
pub fn echoes(got: &Got) -> Vec<u64> {
    let results = got.body["results"].as_array().cloned().unwrap_or_default();
    results.iter().filter_map(|result| result["echo"].as_u64()).collect()
}

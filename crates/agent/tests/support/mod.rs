//! An agent in this process, with a fake entry and the upstream's stand-in.

#![allow(dead_code)]

use {
    parking_lot::Mutex,
    quinn::{Connection, Endpoint},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_agent::agent::Agent,
    sycamorerail_settings::{agent::AgentSettings, keys::KeySettings},
    sycamorerail_standin::upstream::{UpstreamStandin, UpstreamStandinConfig},
    sycamorerail_telemetry::invariant,
    sycamorerail_wire::{
        answer::{Payload, Reason},
        ids::{ContentHash, IdKey, Incarnation, JobId, OrganisationKey, TaskId},
        keys::{PemPair, ProcessKeys, Role, generate_authority, issue_certificate},
        message::{
            AgentHello, AgentReply, AgentReplyBody, ConfigMark, EntryWelcome, FromAgent,
            MemberList, Placement, ToAgent,
        },
        session::{self, SessionTiming},
    },
    tokio::task::JoinHandle,
};

/// Longest wait for anything; no test depends on being faster.
pub const PATIENCE: Duration = Duration::from_secs(30);
pub const HOME: Incarnation = Incarnation(77);

/// Waits until `holds`.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.unwrap_or_else(|_| panic!("never: {what}"));
}

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// An entry that welcomes agents, and says what a test wants it to say.
pub struct FakeEntry {
    pub address: SocketAddr,
    pub heard: Arc<Heard>,
    endpoint: Endpoint,
}

/// What the fake entry heard, and what it answers.
pub struct Heard {
    pub hellos: Mutex<Vec<AgentHello>>,
    pub beats: AtomicU64,
    pub welcome: Mutex<EntryWelcome>,
    connection: Mutex<Option<Connection>>,
}

impl FakeEntry {
    pub fn start(authority: &PemPair, incarnation: Incarnation, address: SocketAddr) -> Self {
        let own = issue_certificate(authority, Role::Entry, "entry").unwrap();
        let keys = ProcessKeys::read(&authority.certificate_pem, &own).unwrap();
        let endpoint = session::open(address, &keys, SessionTiming::default()).unwrap();
        let welcome = EntryWelcome {
            incarnation,
            members: Some(MemberList::default()),
            config_mark: ConfigMark(0),
            draining: false,
            evacuations: None,
        };
        let heard = Arc::new(Heard {
            hellos: Mutex::default(),
            beats: AtomicU64::new(0),
            welcome: Mutex::new(welcome),
            connection: Mutex::default(),
        });
        tokio::spawn(accept(endpoint.clone(), Arc::clone(&heard)));
        Self { address: endpoint.local_addr().unwrap(), heard, endpoint }
    }

    /// What the entry tells of members from now on.
    pub fn list(&self, entries: Vec<SocketAddr>, fenced: Vec<Incarnation>) {
        self.heard.welcome.lock().members = Some(MemberList { entries, fenced });
    }

    /// The connection of the agent that said hello last.
    pub async fn connection(&self) -> Connection {
        until("an agent says hello", || self.heard.connection.lock().is_some()).await;
        self.heard.connection.lock().clone().unwrap()
    }

    /// Whether an agent has said hello over another connection than this.
    pub fn has_other_than(&self, connection: &Connection) -> bool {
        let current = self.heard.connection.lock();
        current.as_ref().is_some_and(|current| current.stable_id() != connection.stable_id())
    }

    pub async fn call(&self, request: &ToAgent) -> AgentReply {
        let connection = self.connection().await;
        session::call(&connection, request, PATIENCE).await.unwrap()
    }

    pub async fn place(&self, placement: &Placement) -> AgentReplyBody {
        self.call(&ToAgent::Place(placement.clone())).await.body
    }

    /// Places without waiting for the reply.
    pub async fn place_later(&self, placement: &Placement) -> JoinHandle<AgentReplyBody> {
        let connection = self.connection().await;
        let request = ToAgent::Place(placement.clone());
        tokio::spawn(async move {
            let reply: AgentReply = session::call(&connection, &request, PATIENCE).await.unwrap();
            reply.body
        })
    }

    pub async fn revoke(&self, task: TaskId) -> AgentReplyBody {
        self.call(&ToAgent::Revoke { tasks: vec![task] }).await.body
    }

    /// Breaks the connection; the agent dials again.
    pub async fn hang_up(&self) {
        let connection = self.connection().await;
        self.heard.connection.lock().take();
        connection.close(0u32.into(), b"hung up");
    }

    pub fn last_hello(&self) -> Option<AgentHello> {
        self.heard.hellos.lock().last().cloned()
    }

    /// Stops, and waits until the address is free for the next.
    pub async fn stop(self) {
        self.heard.connection.lock().take();
        self.endpoint.close(0u32.into(), b"stopped");
        self.endpoint.wait_idle().await;
        drop(self.endpoint);
        until("the address is free", || UdpSocket::bind(self.address).is_ok()).await;
    }
}

async fn accept(endpoint: Endpoint, heard: Arc<Heard>) {
    while let Some(incoming) = endpoint.accept().await {
        let heard = Arc::clone(&heard);
        tokio::spawn(async move {
            if let Ok(connection) = incoming.await {
                listen(connection, heard).await;
            }
        });
    }
}

async fn listen(connection: Connection, heard: Arc<Heard>) {
    let peer = connection.remote_address();
    while let Ok((mut send, mut recv)) = connection.accept_bi().await {
        let Ok(said) = session::read_request::<FromAgent>(peer, &mut recv).await else { continue };
        let welcome = heard.welcome.lock().clone();
        let _ = session::write_reply(peer, &mut send, &welcome).await;
        match said {
            FromAgent::Hello(hello) => {
                heard.hellos.lock().push(*hello);
                *heard.connection.lock() = Some(connection.clone());
            }
            FromAgent::Heartbeat { .. } => drop(heard.beats.fetch_add(1, Ordering::AcqRel)),
        }
    }
}

/// An agent with an entry and an upstream.
pub struct Cluster {
    pub authority: PemPair,
    pub entry: FakeEntry,
    pub agent: Agent,
    pub upstream: UpstreamStandin,
}

impl Cluster {
    /// All started, and known to each other.
    pub async fn start(slots: u16) -> Self {
        Self::start_with(slots, |_| {}).await
    }

    pub async fn start_with(slots: u16, change: impl FnOnce(&mut AgentSettings)) -> Self {
        invariant::set_fatal(true);
        let authority = generate_authority("test").unwrap();
        let entry = FakeEntry::start(&authority, HOME, any_port());
        let mut settings = settings(&authority, vec![entry.address]);
        change(&mut settings);
        let agent = start_agent(settings).await;
        let upstream = start_upstream(&agent, slots).await;
        let cluster = Self { authority, entry, agent, upstream };
        cluster.until_slots(slots).await;
        cluster
    }

    pub async fn until_slots(&self, slots: u16) {
        let told = || self.entry.last_hello().is_some_and(|hello| hello.load.slots == slots);
        until("the entry is told the slots", told).await;
    }

    pub fn placement(&self, sequence: u64, payload: &str) -> Placement {
        placement(self.agent.incarnation(), sequence, payload)
    }

    /// Waits until the upstream has started this many tasks.
    pub async fn until_started(&self, count: u64) {
        until("started", || self.starts() >= count).await;
    }

    pub fn starts(&self) -> u64 {
        self.upstream.starts(false).starts
    }

    /// Lets the stand-in leave and announces an upstream at `address` in its place.
    pub async fn announce(&self, address: SocketAddr) {
        self.upstream.leave().await.unwrap();
        let url = format!("http://{}/v1/upstream", self.agent.http_address());
        let body = serde_json::json!({
            "name": "raw", "address": address, "slots": 1, "max_task_bytes": 1, "kinds": ["*"]
        });
        let put = reqwest::Client::new().put(url).body(body.to_string());
        assert!(put.send().await.unwrap().status().is_success());
    }

    pub async fn get(&self, path: &str) -> (u16, String) {
        let url = format!("http://{}{path}", self.agent.http_address());
        let response = reqwest::get(url).await.unwrap();
        (response.status().as_u16(), response.text().await.unwrap())
    }
}

pub async fn start_agent(settings: AgentSettings) -> Agent {
    Agent::start(settings, Box::new(String::new)).await.unwrap()
}

pub async fn start_upstream(agent: &Agent, slots: u16) -> UpstreamStandin {
    let agent_url = format!("http://{}", agent.http_address());
    let config = UpstreamStandinConfig { agent_url, slots, announce_ms: 50, ..Default::default() };
    UpstreamStandin::start(config).await.unwrap()
}

pub fn settings(authority: &PemPair, entries: Vec<SocketAddr>) -> AgentSettings {
    let own = issue_certificate(authority, Role::Agent, "agent").unwrap();
    AgentSettings {
        name: "agent".to_owned(),
        data_centre: "regensburg".to_owned(),
        rack: "r1".to_owned(),
        http_address: any_port(),
        inner_address: any_port(),
        entries,
        keys: KeySettings {
            authority_pem: authority.certificate_pem.clone(),
            certificate_pem: own.certificate_pem,
            private_key_pem: own.key_pem,
        },
        retention_ms: 600_000,
        kept_result_bytes: 1 << 20,
        record_bytes: 1 << 20,
        max_queued: 4,
        // Longer than any test, but for the test of the lease.
        upstream_lease_ms: 120_000,
        heartbeat_ms: 60_000,
        idle_timeout_ms: 60_000,
        drain_ms: 60_000,
        log_level: "info".to_owned(),
        fatal_invariants: true,
    }
}

pub fn task(sequence: u64) -> TaskId {
    let home = "127.0.0.1:1".parse().unwrap();
    let key = IdKey::derive("test");
    let job = JobId::mint(&key, home, HOME, 0, sequence, OrganisationKey::of("alpenfunk"));
    TaskId { job, index: 0, attempt: 0 }
}

pub fn placement(agent: Incarnation, sequence: u64, payload: &str) -> Placement {
    Placement {
        agent,
        task: task(sequence),
        task_count: 1,
        content: ContentHash::of(payload.as_bytes()),
        organisation: "alpenfunk".to_owned(),
        kind: "reach_check".to_owned(),
        payload: Payload(payload.to_owned()),
        start_within_ms: 60_000,
        end_within_ms: 60_000,
        urgency: 1,
        config_mark: ConfigMark(0),
    }
}

/// Why the task was not started, and whether it never will be.
pub fn not_started(reply: AgentReplyBody) -> (Reason, bool) {
    let AgentReplyBody::NotStarted { reason, never, .. } = reply else {
        panic!("started: {reply:?}");
    };
    (reason, never)
}

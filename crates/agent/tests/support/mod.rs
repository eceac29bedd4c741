//! Runs an agent in the test process, with a fake entry and a stand-in upstream.

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

/// Longest wait for any condition; no test depends on a shorter one.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub const HOME: Incarnation = Incarnation(77);

/// Waits until `holds` returns true; panics after [`TEST_TIMEOUT`].
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, waiting).await.unwrap_or_else(|_| panic!("never: {what}"));
}

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// An entry that accepts agents and answers them with a welcome that the test sets.
pub struct FakeEntry {
    pub address: SocketAddr,
    pub received: Arc<Received>,
    endpoint: Endpoint,
}

/// What the fake entry has received, and the welcome that it answers.
pub struct Received {
    pub hellos: Mutex<Vec<AgentHello>>,
    pub heartbeats: AtomicU64,
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
        let received = Arc::new(Received {
            hellos: Mutex::default(),
            heartbeats: AtomicU64::new(0),
            welcome: Mutex::new(welcome),
            connection: Mutex::default(),
        });
        tokio::spawn(accept(endpoint.clone(), Arc::clone(&received)));
        Self { address: endpoint.local_addr().unwrap(), received, endpoint }
    }

    /// Sets the list of members in later welcomes.
    pub fn set_members(&self, entries: Vec<SocketAddr>, fenced: Vec<Incarnation>) {
        self.received.welcome.lock().members = Some(MemberList { entries, fenced });
    }

    /// Waits for the connection of the agent that sent the last hello.
    pub async fn connection(&self) -> Connection {
        wait_until("an agent says hello", || self.received.connection.lock().is_some()).await;
        self.received.connection.lock().clone().unwrap()
    }

    /// Returns whether an agent has sent a hello over another connection than this.
    pub fn has_other_connection(&self, connection: &Connection) -> bool {
        let current = self.received.connection.lock();
        current.as_ref().is_some_and(|current| current.stable_id() != connection.stable_id())
    }

    pub async fn call(&self, request: &ToAgent) -> AgentReply {
        let connection = self.connection().await;
        session::call(&connection, request, TEST_TIMEOUT).await.unwrap()
    }

    pub async fn place(&self, placement: &Placement) -> AgentReplyBody {
        self.call(&ToAgent::Place(placement.clone())).await.body
    }

    /// Sends a placement without waiting for the reply.
    pub async fn spawn_place(&self, placement: &Placement) -> JoinHandle<AgentReplyBody> {
        let connection = self.connection().await;
        let request = ToAgent::Place(placement.clone());
        tokio::spawn(async move {
            let reply: AgentReply =
                session::call(&connection, &request, TEST_TIMEOUT).await.unwrap();
            reply.body
        })
    }

    pub async fn revoke(&self, task: TaskId) -> AgentReplyBody {
        self.call(&ToAgent::Revoke { tasks: vec![task] }).await.body
    }

    /// Closes the connection; the agent dials again.
    pub async fn close_connection(&self) {
        let connection = self.connection().await;
        self.received.connection.lock().take();
        connection.close(0u32.into(), b"hung up");
    }

    pub fn last_hello(&self) -> Option<AgentHello> {
        self.received.hellos.lock().last().cloned()
    }

    /// Stops the entry and waits until its address is free.
    pub async fn stop(self) {
        self.received.connection.lock().take();
        self.endpoint.close(0u32.into(), b"stopped");
        self.endpoint.wait_idle().await;
        drop(self.endpoint);
        wait_until("the address is free", || UdpSocket::bind(self.address).is_ok()).await;
    }
}

async fn accept(endpoint: Endpoint, received: Arc<Received>) {
    while let Some(incoming) = endpoint.accept().await {
        let received = Arc::clone(&received);
        tokio::spawn(async move {
            if let Ok(connection) = incoming.await {
                listen(connection, received).await;
            }
        });
    }
}

async fn listen(connection: Connection, received: Arc<Received>) {
    let peer = connection.remote_address();
    while let Ok((mut send, mut recv)) = connection.accept_bi().await {
        let Ok(said) = session::read_request::<FromAgent>(peer, &mut recv).await else { continue };
        let welcome = received.welcome.lock().clone();
        let _ = session::write_reply(peer, &mut send, &welcome).await;
        match said {
            FromAgent::Hello(hello) => {
                received.hellos.lock().push(*hello);
                *received.connection.lock() = Some(connection.clone());
            }
            FromAgent::Heartbeat { .. } => drop(received.heartbeats.fetch_add(1, Ordering::AcqRel)),
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
    /// Starts all three and waits until the entry knows the upstream's slots.
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
        cluster.wait_until_slots(slots).await;
        cluster
    }

    pub async fn wait_until_slots(&self, slots: u16) {
        let is_informed = || self.entry.last_hello().is_some_and(|hello| hello.load.slots == slots);
        wait_until("the entry knows the slots", is_informed).await;
    }

    pub fn placement(&self, sequence: u64, payload: &str) -> Placement {
        placement(self.agent.incarnation(), sequence, payload)
    }

    /// Waits until the upstream has started this many tasks.
    pub async fn wait_until_started(&self, count: u64) {
        wait_until("started", || self.starts() >= count).await;
    }

    pub fn starts(&self) -> u64 {
        self.upstream.starts(false).starts
    }

    /// Makes the stand-in leave and announces an upstream at `address` instead.
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
        // Longer than any test, except for the test of the lease.
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

/// Returns why the task was not started, and whether it never will be.
pub fn not_started(reply: AgentReplyBody) -> (Reason, bool) {
    let AgentReplyBody::NotStarted { reason, never, .. } = reply else {
        panic!("started: {reply:?}");
    };
    (reason, never)
}

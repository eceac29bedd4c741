//! Start and planned stop of an agent.

use {
    crate::{
        call::UpstreamCaller,
        core::Core,
        entries::Entries,
        http::{self, Server},
        upstream,
    },
    eyre::WrapErr,
    quinn::Endpoint,
    rand::Rng,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    sycamorerail_decide::gate::Counts,
    sycamorerail_settings::agent::AgentSettings,
    sycamorerail_telemetry::{
        event,
        invariant::{self, Invariant},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        keys::ProcessKeys,
        message::AgentIdentity,
        session::{self, CLOSE_DRAINED, SessionTiming},
    },
    tokio::task::JoinHandle,
};

pub use http::RenderMetrics;

const TICK: Duration = Duration::from_millis(250);
const DRAIN_POLL: Duration = Duration::from_millis(10);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// A planned stop waits until for this long no placement has arrived and no reply was lost:
/// an entry asks again for a lost reply.
const QUIET_BEFORE_CLOSE_MS: u64 = 500;
const CLOSE_INTERRUPTED: u32 = 0;

/// A running agent.
pub struct Agent {
    core: Arc<Core>,
    entries: Arc<Entries>,
    endpoint: Endpoint,
    http: Server,
    ticking: JoinHandle<()>,
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOutcome {
    /// Number of tasks and replies that were interrupted when `drain_ms` had passed.
    pub cut: usize,
}

impl Agent {
    /// Starts an agent. Its HTTP server listens when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use or the keys are invalid.
    pub async fn start(settings: AgentSettings, metrics: RenderMetrics) -> eyre::Result<Self> {
        let endpoint = open_endpoint(&settings)?;
        let identity = new_identity(&settings, endpoint.local_addr()?);
        let entries = Arc::new(Entries::new(endpoint.clone(), settings.entries.iter().copied()));
        let core =
            Arc::new(Core::new(settings, identity, UpstreamCaller::new()?.into_spawn_call()));
        let http = http::start(Arc::clone(&core), Arc::clone(&entries), metrics).await?;
        entries.dial_fixed(&core);
        let ticking = tokio::spawn(tick(Arc::clone(&core)));
        event!(
            Info,
            "agent_started",
            name = core.identity.name,
            incarnation = core.identity.incarnation,
            http_address = http.address,
            inner_address = core.identity.address,
        );
        Ok(Self { core, entries, endpoint, http, ticking })
    }

    /// Returns the address of the HTTP server.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http.address
    }

    /// Returns the local address of the protocol between agent and entries.
    #[must_use]
    pub fn inner_address(&self) -> SocketAddr {
        self.core.identity.address
    }

    /// Returns the incarnation of this agent process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.core.identity.incarnation
    }

    /// Returns the counts of tasks and records in the start gate.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.core.counts()
    }

    /// Returns the number of sessions with entries.
    #[must_use]
    pub fn sessions(&self) -> usize {
        self.entries.connected().len()
    }

    /// Stops the agent as planned. The agent reports that it is not ready, refuses new tasks
    /// and drops queued ones. It closes when running tasks have ended and their replies have
    /// arrived, at the latest after `drain_ms`.
    ///
    /// The agent closes its sessions only when each entry has confirmed the stop and no
    /// placement has arrived for a while. If nothing was interrupted, the close code proves to
    /// an entry that a placement still in transit at the close was not accepted.
    pub async fn stop(self) -> StopOutcome {
        let drain = Duration::from_millis(self.core.settings.drain_ms.into());
        self.core.drain();
        event!(Info, "draining", running = self.core.counts().running);
        let drained = tokio::time::timeout(drain, self.wait_until_idle()).await;
        let cut = if drained.is_ok() { 0 } else { self.in_flight() };
        invariant::check(Invariant::NoCutInDrain, cut == 0, &self.core.identity.name);
        event!(Info, "agent_stopped", cut = cut);
        self.close(if cut == 0 { CLOSE_DRAINED } else { CLOSE_INTERRUPTED }).await;
        StopOutcome { cut }
    }

    async fn wait_until_idle(&self) {
        let change = *self.core.changes.borrow();
        let idle = || self.in_flight() == 0 && self.core.idle_ms() >= QUIET_BEFORE_CLOSE_MS;
        while !(idle() && self.entries.all_confirmed(change)) {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    fn in_flight(&self) -> usize {
        self.core.counts().running + self.core.replies_due.load(Ordering::Acquire)
    }

    /// Ends at once, like a crash of the process.
    pub async fn abort(self) {
        self.close(CLOSE_INTERRUPTED).await;
    }

    async fn close(self, code: u32) {
        self.ticking.abort();
        self.entries.stop_dialling();
        self.endpoint.close(code.into(), b"stopped");
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
        self.http.stop().await;
    }
}

fn open_endpoint(settings: &AgentSettings) -> eyre::Result<Endpoint> {
    let keys = ProcessKeys::read(&settings.keys.authority_pem, &settings.keys.pem_pair())?;
    // Heartbeats keep a session alive and carry the load. QUIC keep-alive packets are sent only
    // when a heartbeat is late.
    let keep_alive_ms = settings.heartbeat_ms / 2 + settings.idle_timeout_ms / 2;
    let timing = SessionTiming { idle_timeout_ms: settings.idle_timeout_ms, keep_alive_ms };
    let endpoint =
        session::open(settings.inner_address, &keys, timing).wrap_err("inner_address")?;
    // Only agents dial, so the endpoint accepts no connections.
    endpoint.set_server_config(None);
    Ok(endpoint)
}

fn new_identity(settings: &AgentSettings, address: SocketAddr) -> AgentIdentity {
    AgentIdentity {
        incarnation: Incarnation(rand::rng().random()),
        name: settings.name.clone(),
        address,
        data_centre: settings.data_centre.clone(),
        rack: settings.rack.clone(),
    }
}

/// Runs the time-driven checks of the upstream's lease and of the tasks.
async fn tick(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        upstream::check_lease(&core);
        core.expire();
    }
}

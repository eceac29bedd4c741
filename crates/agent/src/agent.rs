//! A running agent: its start, and its planned stop.

use {
    crate::{
        call::Caller,
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
const CLOSE_WITHIN: Duration = Duration::from_secs(2);
/// An entry is quiet when it placed nothing for this long, and no reply to it
/// was lost, which it would ask for again.
const QUIET_MS: u64 = 500;
const CLOSE_CUT: u32 = 0;

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
    /// Tasks and replies that were cut off when `drain_ms` had passed.
    pub cut: usize,
}

impl Agent {
    /// Starts an agent; it listens when this returns.
    ///
    /// # Errors
    ///
    /// When an address is taken or the keys are refused.
    pub async fn start(settings: AgentSettings, metrics: RenderMetrics) -> eyre::Result<Self> {
        let endpoint = open(&settings)?;
        let identity = identity(&settings, endpoint.local_addr()?);
        let entries = Arc::new(Entries::new(endpoint.clone(), settings.entries.iter().copied()));
        let core = Arc::new(Core::new(settings, identity, Caller::new()?.begin_call()));
        let http = http::start(Arc::clone(&core), Arc::clone(&entries), metrics).await?;
        entries.dial(&core);
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

    /// Where HTTP listens.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http.address
    }

    /// Where the inner protocol listens.
    #[must_use]
    pub fn inner_address(&self) -> SocketAddr {
        self.core.identity.address
    }

    /// This run of the agent.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.core.identity.incarnation
    }

    /// What the start gate holds.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.core.counts()
    }

    /// Sessions with entries.
    #[must_use]
    pub fn sessions(&self) -> usize {
        self.entries.connected().len()
    }

    /// Stops as planned: fails readiness, refuses new work, drops what is
    /// queued, lets what runs finish and its replies arrive, then closes. At
    /// the latest after `drain_ms`.
    ///
    /// Sessions are closed only when each entry has confirmed that it knows of
    /// the stop and has been quiet for a while. Where nothing was cut off,
    /// the close code proves to an entry that a placement which crossed with
    /// the close was not taken.
    pub async fn stop(self) -> StopOutcome {
        let drain = Duration::from_millis(self.core.settings.drain_ms.into());
        self.core.drain();
        event!(Info, "draining", running = self.core.counts().running);
        let drained = tokio::time::timeout(drain, self.wait_until_idle()).await;
        let cut = if drained.is_ok() { 0 } else { self.in_flight() };
        invariant::check(Invariant::NoCutInDrain, cut == 0, &self.core.identity.name);
        event!(Info, "agent_stopped", cut = cut);
        self.close(if cut == 0 { CLOSE_DRAINED } else { CLOSE_CUT }).await;
        StopOutcome { cut }
    }

    async fn wait_until_idle(&self) {
        let change = *self.core.changes.borrow();
        let idle = || self.in_flight() == 0 && self.core.idle_ms() >= QUIET_MS;
        while !(idle() && self.entries.all_know(change)) {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    fn in_flight(&self) -> usize {
        self.core.counts().running + self.core.replies_due.load(Ordering::Acquire)
    }

    /// Ends at once, as the death of the process would.
    pub async fn abort(self) {
        self.close(CLOSE_CUT).await;
    }

    async fn close(self, code: u32) {
        self.ticking.abort();
        self.entries.stop();
        self.endpoint.close(code.into(), b"stopped");
        let _ = tokio::time::timeout(CLOSE_WITHIN, self.endpoint.wait_idle()).await;
        self.http.stop().await;
    }
}

fn open(settings: &AgentSettings) -> eyre::Result<Endpoint> {
    let keys = ProcessKeys::read(&settings.keys.authority_pem, &settings.keys.own())?;
    // Heartbeats keep a session alive, and they tell something too. Packets
    // that only keep it alive come when a heartbeat is late.
    let keep_alive_ms = settings.heartbeat_ms / 2 + settings.idle_timeout_ms / 2;
    let timing = SessionTiming { idle_timeout_ms: settings.idle_timeout_ms, keep_alive_ms };
    let endpoint =
        session::open(settings.inner_address, &keys, timing).wrap_err("inner_address")?;
    // Agents dial; nobody dials them.
    endpoint.set_server_config(None);
    Ok(endpoint)
}

fn identity(settings: &AgentSettings, address: SocketAddr) -> AgentIdentity {
    AgentIdentity {
        incarnation: Incarnation(rand::rng().random()),
        name: settings.name.clone(),
        address,
        data_centre: settings.data_centre.clone(),
        rack: settings.rack.clone(),
    }
}

/// Does what is due by time alone.
async fn tick(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        upstream::check_lease(&core);
        core.expire();
    }
}

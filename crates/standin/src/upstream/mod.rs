//! Stand-in for an upstream: announces itself to its agent, and runs tasks by
//! sleeping.

mod announce;
mod routes;
mod starts;
mod state;

pub use starts::{End, StartReport, Starts};

use {
    crate::{
        faults::{Control, FaultOrder},
        platform::MetricsPage,
        server::Server,
    },
    serde::{Deserialize, Serialize},
    state::State,
    std::{
        fmt, io,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    sycamorerail_settings::standin::UpstreamStandinSettings,
    sycamorerail_telemetry::event,
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep},
    },
};

/// An upstream that leaves must have been idle this long: a task may be on its
/// way when the agent hears of the leaving.
const IDLE_MS: u64 = 500;
const IDLE_LOOK_MS: u64 = 20;

/// How the stand-in is set up.
#[derive(Clone)]
pub struct UpstreamStandinConfig {
    /// Name it announces.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub http_address: SocketAddr,
    /// Base URL of its agent; without one it announces nothing.
    pub agent_url: String,
    /// Slots it announces.
    pub slots: u16,
    /// Largest task it announces.
    pub max_task_bytes: u64,
    /// Kinds it announces: `organisation/kind`, `*/kind` or `*`.
    pub kinds: Vec<String>,
    /// Pause between announcements.
    pub announce_ms: u32,
    /// Run time of a task whose payload names none.
    pub default_run_ms: u32,
    /// Longest run time of a task.
    pub most_run_ms: u64,
    /// Seed of its random choices.
    pub seed: u64,
    /// Most ids of started tasks that are kept.
    pub most_ids: usize,
    /// Renders the metrics page of the process.
    pub metrics_page: Option<MetricsPage>,
}

impl Default for UpstreamStandinConfig {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            http_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            agent_url: String::new(),
            slots: 8,
            max_task_bytes: 1 << 20,
            kinds: vec!["*".to_owned()],
            announce_ms: 1_000,
            default_run_ms: 0,
            most_run_ms: 600_000,
            seed: 1,
            most_ids: 2_000_000,
            metrics_page: None,
        }
    }
}

impl fmt::Debug for UpstreamStandinConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamStandinConfig")
            .field("name", &self.name)
            .field("http_address", &self.http_address)
            .field("agent_url", &self.agent_url)
            .finish_non_exhaustive()
    }
}

impl From<UpstreamStandinSettings> for UpstreamStandinConfig {
    fn from(settings: UpstreamStandinSettings) -> Self {
        Self {
            name: settings.name,
            http_address: settings.http_address,
            agent_url: settings.agent_url,
            slots: settings.slots,
            max_task_bytes: settings.max_task_bytes,
            kinds: settings.kinds,
            announce_ms: settings.announce_ms,
            default_run_ms: settings.default_run_ms,
            seed: settings.seed,
            most_ids: settings.kept_starts as usize,
            ..Self::default()
        }
    }
}

/// Faults of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// Fails each task at once.
    pub fail_everything: bool,
    /// Share of tasks, 0 to 1, that run longer.
    pub straggler_share: f64,
    /// How many times longer.
    pub straggler_factor: f64,
    /// Stands still as a paused process: takes connections, starts nothing,
    /// answers nothing, announces nothing.
    pub freeze: bool,
    /// Share of tasks, 0 to 1, whose connection is closed after the start.
    pub drop_share: f64,
}

/// A running stand-in; stops when dropped.
pub struct UpstreamStandin {
    state: Arc<State>,
    control: Arc<Control<UpstreamFaults>>,
}

impl UpstreamStandin {
    /// Starts serving and announcing.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(config: UpstreamStandinConfig) -> io::Result<Self> {
        let board = Arc::new(watch::Sender::new(UpstreamFaults::default()));
        let (orders_in, orders) = mpsc::unbounded_channel();
        let address = config.http_address;
        let announces = !config.agent_url.is_empty();
        let state = Arc::new(State::new(config, Arc::clone(&board), orders_in));
        let mounted = Arc::clone(&state);
        let mount = Box::new(move |rocket| routes::mount(rocket, Arc::clone(&mounted)));
        let server = Server::start(address, mount).await?;
        let _ = state.address.set(server.address());
        if announces {
            tokio::spawn(announce::announce_on(Arc::downgrade(&state)));
        }
        Ok(Self { state, control: Control::start(board, server, orders) })
    }

    /// Base URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.state.url()
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.control.server().address()
    }

    /// Replaces all faults; in force on return.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on again.
    pub async fn order(&self, order: FaultOrder<UpstreamFaults>) -> io::Result<()> {
        self.control.apply(order).await
    }

    /// Replaces all faults by these.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on again.
    pub async fn set_faults(&self, faults: UpstreamFaults) -> io::Result<()> {
        self.order(FaultOrder { faults, ..FaultOrder::default() }).await
    }

    /// Closes all connections and refuses new ones until the next order.
    ///
    /// # Errors
    ///
    /// Never; the same form as of other orders.
    pub async fn refuse(&self) -> io::Result<()> {
        self.order(FaultOrder { refuse: true, ..FaultOrder::default() }).await
    }

    /// Ends all faults.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on again.
    pub async fn heal(&self) -> io::Result<()> {
        self.order(FaultOrder::default()).await
    }

    /// What was started here, with all ids where `full`.
    #[must_use]
    pub fn starts(&self, full: bool) -> StartReport {
        self.state.starts.lock().report(full)
    }

    /// Tells the agent that the upstream leaves, and goes on serving.
    ///
    /// # Errors
    ///
    /// When the agent doesn't confirm. No announcement follows either way.
    pub async fn leave(&self) -> io::Result<()> {
        announce::leave(&self.state).await.map_err(io::Error::other)
    }

    /// Waits until no task has run for a while.
    pub async fn idle(&self) {
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < Duration::from_millis(IDLE_MS) {
            sleep(Duration::from_millis(IDLE_LOOK_MS)).await;
            if self.state.starts.lock().running() > 0 {
                idle_since = Instant::now();
            }
        }
    }

    /// Leaves, serves until idle, and stops. An agent that is gone is no
    /// hindrance.
    pub async fn leave_and_stop(self) {
        if let Err(error) = self.leave().await {
            event!(Warn, "leaving_not_confirmed", upstream = self.state.config.name, error = error);
        }
        self.idle().await;
        self.stop().await;
    }

    /// Stops serving and announcing at once.
    pub async fn stop(self) {
        self.control.stop().await;
        *self.state.announcing.lock().await = announce::Presence::Left;
    }
}

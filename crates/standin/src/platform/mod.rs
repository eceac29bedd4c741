//! Stand-in for the platform's key-value service.
//!
//! Speaks the part of etcd's JSON API that the project uses, keeps everything
//! in memory, and shows the faults that operators know from the real one.

mod calls;
mod follow;
mod json;
mod routes;
mod state;
pub mod store;

pub use calls::CallCounts;

use {
    crate::{
        faults::{Control, FaultOrder},
        server::Server,
    },
    serde::{Deserialize, Serialize},
    state::State,
    std::{
        fmt, io,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    sycamorerail_settings::standin::PlatformStandinSettings,
    tokio::sync::{mpsc, watch},
};

/// Renders the metrics page.
pub type MetricsPage = Arc<dyn Fn() -> String + Send + Sync>;

/// How the stand-in is set up.
#[derive(Clone)]
pub struct PlatformStandinConfig {
    /// Where it listens; port 0 takes a free one.
    pub http_address: SocketAddr,
    /// Seed of its random choices.
    pub seed: u64,
    /// Writes a second beyond which it answers 429; 0 for no limit.
    pub max_writes_per_s: u32,
    /// Reads a second beyond which it answers 429; 0 for no limit.
    pub max_reads_per_s: u32,
    /// Delay of each answer.
    pub delay_ms: u32,
    /// Events kept for watches; older ones are compacted.
    pub history_events: usize,
    /// Pause after which an idle watch that asked for it is told the revision.
    pub progress_ms: u32,
    /// Pause between looks for ended leases.
    pub lease_tick_ms: u32,
    /// Renders the metrics page of the process.
    pub metrics_page: Option<MetricsPage>,
}

impl Default for PlatformStandinConfig {
    fn default() -> Self {
        Self {
            http_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            max_writes_per_s: 0,
            max_reads_per_s: 0,
            delay_ms: 0,
            history_events: 100_000,
            progress_ms: 5_000,
            lease_tick_ms: 25,
            metrics_page: None,
        }
    }
}

impl fmt::Debug for PlatformStandinConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformStandinConfig")
            .field("http_address", &self.http_address)
            .finish_non_exhaustive()
    }
}

impl From<PlatformStandinSettings> for PlatformStandinConfig {
    fn from(settings: PlatformStandinSettings) -> Self {
        Self {
            http_address: settings.http_address,
            seed: settings.seed,
            max_writes_per_s: settings.max_writes_per_s,
            max_reads_per_s: settings.max_reads_per_s,
            delay_ms: settings.delay_ms,
            ..Self::default()
        }
    }
}

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Takes connections and answers nothing; ends watches. Calls that come
    /// meanwhile are never run.
    pub hang: bool,
    /// Stands still as a paused process: watches stay open and silent, and
    /// calls run once it goes on.
    pub freeze: bool,
    /// Refuses watches, and ends those that wait.
    pub no_watches: bool,
    /// Watches stay open and tell nothing, as over a connection that is dead
    /// without either end knowing.
    pub mute_watches: bool,
    /// Delay of each answer, in place of the configured one.
    pub delay_ms: Option<u32>,
    /// Up to this much more, at random.
    pub jitter_ms: u32,
    /// Share of writes, 0 to 1, whose connection is closed without an answer
    /// after they took effect.
    pub lose_answers: f64,
    /// In place of the configured limit.
    pub max_writes_per_s: Option<u32>,
    /// In place of the configured limit.
    pub max_reads_per_s: Option<u32>,
}

/// A running stand-in; stops when dropped.
pub struct PlatformStandin {
    state: Arc<State>,
    control: Arc<Control<PlatformFaults>>,
}

impl PlatformStandin {
    /// Starts serving.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(config: PlatformStandinConfig) -> io::Result<Self> {
        let board = Arc::new(watch::Sender::new(PlatformFaults::default()));
        let (orders_in, orders) = mpsc::unbounded_channel();
        let address = config.http_address;
        let state = Arc::new(State::new(config, Arc::clone(&board), orders_in));
        let mounted = Arc::clone(&state);
        let mount = Box::new(move |rocket| routes::mount(rocket, Arc::clone(&mounted)));
        let server = Server::start(address, mount).await?;
        tokio::spawn(state::expire_leases(Arc::downgrade(&state)));
        Ok(Self { state, control: Control::start(board, server, orders) })
    }

    /// Base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
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
    pub async fn order(&self, order: FaultOrder<PlatformFaults>) -> io::Result<()> {
        let refuse = order.refuse;
        self.control.apply(order).await?;
        if refuse {
            self.state.cut_watches();
        }
        Ok(())
    }

    /// Replaces all faults by these.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on again.
    pub async fn set_faults(&self, faults: PlatformFaults) -> io::Result<()> {
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

    /// Ends all watches that wait now.
    pub fn cut_watches(&self) {
        self.state.cut_watches();
    }

    /// Leaves watches open but silent, or lets them speak again. Other faults
    /// stay as they are.
    pub fn mute_watches(&self, mute: bool) {
        self.state.faults.send_modify(|faults| faults.mute_watches = mute);
    }

    /// Puts the stand-in's clock forward, so that tests of leases need not wait.
    pub fn advance(&self, ms: u64) {
        self.state.advance(ms);
    }

    /// Counts of calls since the start.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.state.counters.read()
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.store.lock().revision()
    }

    /// Stops serving.
    pub async fn stop(self) {
        self.control.stop().await;
        self.state.cut_watches();
    }
}

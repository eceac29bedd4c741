//! What a running upstream holds.

use {
    super::{UpstreamFaults, UpstreamStandinConfig, announce::Presence, starts::Starts},
    crate::faults::FaultOrder,
    parking_lot::Mutex,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::sync::{Mutex as AsyncMutex, mpsc, watch},
};

pub(super) struct State {
    pub(super) config: UpstreamStandinConfig,
    pub(super) address: OnceLock<SocketAddr>,
    pub(super) starts: Mutex<Starts>,
    pub(super) faults: Arc<watch::Sender<UpstreamFaults>>,
    pub(super) orders: mpsc::UnboundedSender<FaultOrder<UpstreamFaults>>,
    pub(super) announcing: AsyncMutex<Presence>,
    random: Mutex<SmallRng>,
}

/// What the faults hold for one task.
pub(super) struct Fate {
    pub(super) run: Duration,
    pub(super) fail: bool,
    pub(super) drop_connection: bool,
}

impl State {
    pub(super) fn new(
        config: UpstreamStandinConfig,
        faults: Arc<watch::Sender<UpstreamFaults>>,
        orders: mpsc::UnboundedSender<FaultOrder<UpstreamFaults>>,
    ) -> Self {
        Self {
            address: OnceLock::new(),
            starts: Mutex::new(Starts::new(&config.name, config.slots, config.most_ids)),
            faults,
            orders,
            announcing: AsyncMutex::new(Presence::Here),
            random: Mutex::new(SmallRng::seed_from_u64(config.seed)),
            config,
        }
    }

    pub(super) fn url(&self) -> String {
        self.address.get().map(|address| format!("http://{address}")).unwrap_or_default()
    }

    /// Draws what becomes of a task that asks for this run time.
    pub(super) fn fate(&self, run_ms: Option<u64>) -> Fate {
        let faults = *self.faults.borrow();
        let run_ms = run_ms.unwrap_or(u64::from(self.config.default_run_ms));
        let run = Duration::from_millis(run_ms.min(self.config.most_run_ms));
        let mut random = self.random.lock();
        let straggler = random.random_bool(faults.straggler_share.clamp(0.0, 1.0));
        let drop_connection = random.random_bool(faults.drop_share.clamp(0.0, 1.0));
        drop(random);
        let factor = if straggler { faults.straggler_factor.max(1.0) } else { 1.0 };
        let most = Duration::from_millis(self.config.most_run_ms);
        let run = run.mul_f64(factor.min(f64::from(u16::MAX))).min(most);
        Fate { run, fail: faults.fail_everything, drop_connection }
    }

    /// Waits while the upstream is frozen.
    pub(super) async fn thawed(&self) {
        if self.faults.borrow().freeze {
            let _ = self.faults.subscribe().wait_for(|faults| !faults.freeze).await;
        }
    }
}

//! What a running stand-in holds, and the way of a call through its faults.

use {
    super::{
        PlatformFaults, PlatformStandinConfig,
        calls::{Call, Counters},
        store::Store,
    },
    crate::{faults::FaultOrder, rate::RateLimit},
    parking_lot::Mutex,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, watch},
        time::sleep,
    },
};

/// History begins at leases with large numbers, as the original's do.
const LEASE_BASE: u64 = 7_587_000_000_000;

pub(super) struct State {
    pub(super) config: PlatformStandinConfig,
    pub(super) store: Mutex<Store>,
    /// The store's revision, for watches to wait on.
    pub(super) revision: watch::Sender<u64>,
    pub(super) faults: Arc<watch::Sender<PlatformFaults>>,
    /// Grows when all watches are to end.
    pub(super) watch_cut: watch::Sender<u64>,
    pub(super) orders: mpsc::UnboundedSender<FaultOrder<PlatformFaults>>,
    pub(super) counters: Counters,
    random: Mutex<SmallRng>,
    reads: Mutex<RateLimit>,
    writes: Mutex<RateLimit>,
    started: Instant,
    /// Added to the time since the start.
    ahead_ms: AtomicU64,
}

/// Why a call is not run.
pub(super) enum Refusal {
    /// The connection is closed without an answer.
    Dropped,
    /// A rate limit is exceeded.
    TooMany,
}

/// What the faults hold for a call that runs.
pub(super) struct Admitted {
    /// Pause before it runs.
    pub(super) before: Duration,
    /// Pause between its running and its answer.
    pub(super) after: Duration,
    /// Its answer is withheld.
    pub(super) lose_answer: bool,
}

impl State {
    pub(super) fn new(
        config: PlatformStandinConfig,
        faults: Arc<watch::Sender<PlatformFaults>>,
        orders: mpsc::UnboundedSender<FaultOrder<PlatformFaults>>,
    ) -> Self {
        let store = Store::new(config.history_events, LEASE_BASE);
        Self {
            revision: watch::Sender::new(store.revision()),
            store: Mutex::new(store),
            faults,
            watch_cut: watch::Sender::new(0),
            orders,
            counters: Counters::default(),
            random: Mutex::new(SmallRng::seed_from_u64(config.seed)),
            reads: Mutex::default(),
            writes: Mutex::default(),
            started: Instant::now(),
            ahead_ms: AtomicU64::new(0),
            config,
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        let since_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        since_ms.saturating_add(self.ahead_ms.load(Ordering::Acquire))
    }

    pub(super) fn advance(&self, ms: u64) {
        self.ahead_ms.fetch_add(ms, Ordering::AcqRel);
    }

    /// Counts a call and lets it through, late or not at all as the faults say.
    pub(super) async fn admit(&self, call: Call) -> Result<Admitted, Refusal> {
        self.counters.count(call);
        let mut faults = self.faults.subscribe();
        if faults.borrow().hang {
            // What comes in an outage is never run, also not after it.
            let _ = faults.wait_for(|faults| !faults.hang).await;
            return Err(Refusal::Dropped);
        }
        self.thawed().await;
        let no_watches = call == Call::Watch && self.faults.borrow().no_watches;
        if no_watches || !self.within_rate(call) {
            self.counters.refused.fetch_add(1, Ordering::Relaxed);
            return Err(Refusal::TooMany);
        }
        Ok(self.draw(call))
    }

    fn within_rate(&self, call: Call) -> bool {
        let faults = *self.faults.borrow();
        let (limit, per_s) = if call.writes() {
            (&self.writes, faults.max_writes_per_s.unwrap_or(self.config.max_writes_per_s))
        } else {
            (&self.reads, faults.max_reads_per_s.unwrap_or(self.config.max_reads_per_s))
        };
        limit.lock().take(per_s, self.now_ms())
    }

    fn draw(&self, call: Call) -> Admitted {
        let faults = *self.faults.borrow();
        let delay = self.delay();
        let mut random = self.random.lock();
        // A slow call may take effect early or late in its delay.
        let before = delay.mul_f64(random.random_range(0.0..1.0));
        let lose_answer = call.writes() && random.random_bool(faults.lose_answers.clamp(0.0, 1.0));
        Admitted { before, after: delay.saturating_sub(before), lose_answer }
    }

    /// The delay of one answer under the faults of now.
    pub(super) fn delay(&self) -> Duration {
        let faults = *self.faults.borrow();
        let base_ms = u64::from(faults.delay_ms.unwrap_or(self.config.delay_ms));
        let jitter_ms = self.random.lock().random_range(0..=u64::from(faults.jitter_ms));
        Duration::from_millis(base_ms + jitter_ms)
    }

    /// Waits while the stand-in is frozen.
    pub(super) async fn thawed(&self) {
        if self.faults.borrow().freeze {
            let _ = self.faults.subscribe().wait_for(|faults| !faults.freeze).await;
        }
    }

    /// Runs a change of the store, and wakes the watches.
    pub(super) fn with_store<T>(&self, run: impl FnOnce(&mut Store, u64) -> T) -> T {
        let now_ms = self.now_ms();
        let mut store = self.store.lock();
        store.expire(now_ms);
        let result = run(&mut store, now_ms);
        let revision = store.revision();
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        result
    }

    pub(super) fn cut_watches(&self) {
        self.watch_cut.send_modify(|cut| *cut += 1);
    }
}

/// Ends leases on time as long as the stand-in lives.
pub(super) async fn expire_leases(state: std::sync::Weak<State>) {
    while let Some(state) = state.upgrade() {
        state.thawed().await;
        state.with_store(|_, _| ());
        let tick = Duration::from_millis(u64::from(state.config.lease_tick_ms));
        drop(state);
        sleep(tick).await;
    }
}

//! The running part: tasks that keep this entry's records, register agents,
//! sweep old records, and publish one consistent reading of all.

use {
    crate::{
        announce, error::MembershipError, fencing, fencing::FencedRoster, members::Members,
        record::EntryRecord, register, sweep,
    },
    arc_swap::ArcSwap,
    parking_lot::Mutex,
    std::{
        collections::BTreeSet,
        fmt,
        future::Future,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    sycamorerail_platform::{Mirror, Platform},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{ids::Incarnation, message::AgentIdentity},
    tokio::{sync::watch, task::JoinHandle, time::sleep},
};

/// Default of [`MembershipConfig::clock_margin_ms`].
pub const CLOCK_MARGIN_MS: u32 = 60_000;
/// Default of [`MembershipConfig::registrations_per_s`].
pub const REGISTRATIONS_PER_S: u32 = 150;
/// Default of [`MembershipConfig::sweep_pause_ms`].
pub const SWEEP_PAUSE_MS: u32 = 5_000;
/// Most fences told to an agent: the latest. Agents learn those that matter to
/// them by the fence itself; this spares a lost home its refused placements.
pub const MAX_FENCES_TOLD: usize = 64;
/// Stands for none: no record is ever written for it.
const NO_INCARNATION: Incarnation = Incarnation(0);
/// Changes that come together are read together.
const GATHER_MS: u64 = 10;

/// What membership needs to know of its entry.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The entry's record.
    pub own: EntryRecord,
    /// Incarnation to start under, random.
    pub incarnation: Incarnation,
    /// Lifetime of the entry's lease.
    pub lease_ms: u32,
    /// How long ids are valid.
    pub retention_ms: u32,
    /// How far apart the entries' clocks may be.
    pub clock_margin_ms: u32,
    /// Most registrations of agents a second, over all entries.
    pub registrations_per_s: u32,
    /// The same, by this entry.
    pub own_registrations_per_s: u32,
    /// Longest pause between two sweeps.
    pub sweep_pause_ms: u32,
    /// Inner addresses of entries from the settings.
    pub peers: Vec<SocketAddr>,
}

/// Whether an entry's incarnation answers at an address.
pub type Reaches =
    dyn Fn(SocketAddr, Incarnation) -> Pin<Box<dyn Future<Output = bool> + Send>> + Send + Sync;

/// What membership asks of its entry.
pub struct Hooks {
    /// The incarnation is fenced. On return it places nothing more; the entry
    /// goes on under the one returned. Called once a fence, must not block, and
    /// must not call back.
    pub retired: Box<dyn Fn(Incarnation) -> Incarnation + Send + Sync>,
    /// The records have changed. On return the entry uses no agent that
    /// [`Membership::may_use`] doesn't allow. Must not block.
    pub changed: Box<dyn Fn() + Send + Sync>,
    /// Whether an agent is connected to this entry.
    pub connected: Box<dyn Fn(Incarnation) -> bool + Send + Sync>,
    /// Whether an entry's incarnation answers at the address.
    pub reaches: Box<Reaches>,
}

impl fmt::Debug for Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hooks(..)")
    }
}

/// Membership of this entry. Clones share it; the last one dropped ends it.
#[derive(Clone, Debug)]
pub struct Membership {
    shared: Arc<Shared>,
    _tasks: Arc<Tasks>,
}

#[derive(Debug)]
struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: MembershipConfig,
    pub(crate) hooks: Hooks,
    pub(crate) platform: Platform,
    pub(crate) mirror: Mirror,
    pub(crate) waiting: register::Waiting,
    pub(crate) changed: watch::Sender<u64>,
    members: ArcSwap<Members>,
    /// Revision of the records that the entry has applied.
    applied: AtomicU64,
    current: AtomicU64,
    retiring: Mutex<()>,
    leaving: AtomicBool,
    started: Instant,
}

impl Membership {
    /// Starts the tasks. `mirror` must be one of the whole prefix
    /// [`crate::keys::ROOT`], so that registrations and fences show in the
    /// platform's order.
    #[must_use]
    pub fn start(
        platform: Platform,
        mirror: Mirror,
        config: MembershipConfig,
        hooks: Hooks,
    ) -> Self {
        let current = AtomicU64::new(config.incarnation.0);
        let shared = Arc::new(Shared {
            config,
            hooks,
            platform,
            mirror,
            waiting: register::Waiting::default(),
            changed: watch::Sender::new(0),
            members: ArcSwap::default(),
            applied: AtomicU64::new(0),
            current,
            retiring: Mutex::new(()),
            leaving: AtomicBool::new(false),
            started: Instant::now(),
        });
        shared.refresh();
        let tasks = spawn_tasks(&shared);
        Self { shared, _tasks: Arc::new(Tasks(tasks)) }
    }

    /// The incarnation under which ids are minted now.
    #[must_use]
    pub fn current(&self) -> Incarnation {
        self.shared.current()
    }

    /// All records as of one moment.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        self.shared.members()
    }

    /// Whether `home`, this entry's incarnation, may place work at the agent.
    #[must_use]
    pub fn may_use(&self, home: Incarnation, agent: Incarnation) -> bool {
        // Which incarnation is current is asked first: the records read after
        // it show the fence if they show an agent registered after it.
        home == self.shared.current() && self.shared.members.load().may_use(home, agent)
    }

    /// Whether this entry may place work at the agent, under its current
    /// incarnation.
    #[must_use]
    pub fn usable(&self, agent: Incarnation) -> bool {
        self.may_use(self.shared.current(), agent)
    }

    /// Notes that an agent said hello; it is registered if it isn't yet.
    pub fn heard(&self, agent: &AgentIdentity) {
        let members = self.shared.members();
        if members.agents.contains_key(&agent.incarnation) {
            return;
        }
        let entries: Vec<_> = members.entries.keys().copied().collect();
        let turn = register::turn(agent.incarnation, self.shared.current(), &entries);
        self.shared.waiting.add(agent, turn, self.shared.now_ms());
    }

    /// Inner addresses of all entries known: as the platform last told, and
    /// those of the settings.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let members = self.shared.members();
        let recorded = members.entries.values().map(|entry| entry.record.inner_address);
        let own = self.shared.config.own.inner_address;
        let all = recorded.chain(self.shared.config.peers.iter().copied()).chain([own]);
        all.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Fenced incarnations to tell agents of: the latest ones.
    #[must_use]
    pub fn fences_told(&self) -> Vec<Incarnation> {
        let members = self.shared.members();
        let mut fences: Vec<_> =
            members.fenced.iter().map(|(home, fence)| (fence.created, *home)).collect();
        fences.sort_unstable_by(|one, other| other.cmp(one));
        fences.into_iter().take(MAX_FENCES_TOLD).map(|(_, home)| home).collect()
    }

    /// Whether the incarnation is known as fenced.
    #[must_use]
    pub fn is_fenced(&self, home: Incarnation) -> bool {
        self.shared.members.load().fenced.contains_key(&home)
    }

    /// Fences a lost home and reads the roster that must answer.
    ///
    /// # Errors
    ///
    /// When the platform doesn't answer; calling again is harmless.
    pub async fn fence(&self, home: Incarnation) -> Result<FencedRoster, MembershipError> {
        let fenced = fencing::fence(&self.shared.platform, home, unix_ms()).await;
        match &fenced {
            Ok(roster) => {
                let agents = roster.agents.len();
                event!(Warn, "home_fenced", home = home, agents = agents, whole = roster.whole);
            }
            Err(error) => event!(Warn, "fence_failed", home = home, error = error),
        }
        fenced
    }

    /// An agent refused a placement of `home` as fenced: if that is the
    /// current incarnation it retires.
    pub fn retire(&self, home: Incarnation) {
        self.shared.retire(home);
    }

    /// Wakes when the records changed; the value is their revision.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Ends a planned stop, when nothing is placed any more: fences the own
    /// incarnation, so that others need not wait until it is shown lost, and
    /// withdraws the announcement. Both may fail; others find out then.
    pub async fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Release);
        let own = self.shared.settled();
        if let Err(error) = fencing::fence_left(&self.shared.platform, own, unix_ms()).await {
            event!(Debug, "own_fence_failed", error = error);
        }
        announce::withdraw(&self.shared, own).await;
    }
}

fn spawn_tasks(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let [refresh, home, announce, register, sweep] = std::array::from_fn(|_| Arc::clone(shared));
    vec![
        tokio::spawn(async move { refresh_on(&refresh).await }),
        tokio::spawn(async move { announce::home_on(&home).await }),
        tokio::spawn(async move { announce::announce_on(&announce).await }),
        tokio::spawn(async move { register::register_on(&register).await }),
        tokio::spawn(async move { sweep::sweep_on(&sweep).await }),
    ]
}

async fn refresh_on(shared: &Shared) {
    let mut changed = shared.mirror.subscribe();
    loop {
        changed.borrow_and_update();
        shared.refresh();
        if changed.changed().await.is_err() {
            return;
        }
        sleep(Duration::from_millis(GATHER_MS)).await;
    }
}

impl Shared {
    pub(crate) fn current(&self) -> Incarnation {
        Incarnation(self.current.load(Ordering::Acquire))
    }

    /// The current incarnation, waiting while it changes.
    pub(crate) fn settled(&self) -> Incarnation {
        let _retiring = self.retiring.lock();
        self.current()
    }

    pub(crate) fn members(&self) -> Arc<Members> {
        self.members.load_full()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Pause between two registrations, so that all entries together stay
    /// within the rate.
    pub(crate) fn registration_pause(&self) -> Duration {
        let entries = self.members.load().entries.len().max(1) as u64;
        let pause_us = |per_s: u32| 1_000_000 / u64::from(per_s.max(1));
        let fair_us = entries * pause_us(self.config.registrations_per_s);
        Duration::from_micros(fair_us.max(pause_us(self.config.own_registrations_per_s)))
    }

    /// Revision of the records that the entry has applied.
    pub(crate) fn applied(&self) -> u64 {
        self.applied.load(Ordering::Acquire)
    }

    /// Publishes the mirror's records, retires if they show a fence, then has
    /// the entry apply them.
    fn refresh(&self) {
        let members = Arc::new(Members::read(&self.mirror.snapshot()));
        let own = self.current();
        let fenced = members.fenced.contains_key(&own);
        show_sizes(&members);
        let mark = members.mark;
        self.members.store(members);
        if fenced && !self.is_leaving() {
            self.retire(own);
        }
        (self.hooks.changed)();
        self.applied.store(mark, Ordering::Release);
        self.changed.send_replace(mark);
    }

    /// Ends the use of an incarnation and goes on under a new one.
    pub(crate) fn retire(&self, fenced: Incarnation) {
        let _retiring = self.retiring.lock();
        if self.current() != fenced {
            return;
        }
        // While it changes there is no current one, under which anything may
        // be placed.
        self.current.store(NO_INCARNATION.0, Ordering::Release);
        let next = (self.hooks.retired)(fenced);
        self.current.store(next.0, Ordering::Release);
        metrics::counter!("sycamorerail_retirements_total").increment(1);
        event!(Error, "incarnation_fenced", fenced = fenced, next = next);
        self.changed.send_modify(|_| {});
    }
}

/// Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn show_sizes(members: &Members) {
    let sizes = [
        ("entries", members.entries.len()),
        ("homes", members.homes.len()),
        ("agents", members.agents.len()),
        ("fenced", members.fenced.len()),
    ];
    for (name, size) in sizes {
        metrics::gauge!("sycamorerail_members", "record" => name).set(size as f64);
    }
}

//! One run of an agent, as this entry knows it.

use {
    super::{link::Link, revoke::Outbox},
    crate::names::{NO_KIND, Names},
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    sycamorerail_decide::view::{
        DataCentreKey, KindKey, LiveState, RackKey, UpstreamKey, UpstreamRow,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        message::{AgentIdentity, Load, UpstreamInfo},
        runs::Evacuations,
    },
    tokio::sync::watch,
};

/// Stands for no run of an entry: none is ever given this number.
const NO_RUN: u64 = 0;

/// One run of an agent.
#[derive(Debug)]
pub struct Agent {
    /// Its place in the view.
    pub key: UpstreamKey,
    /// Who it is.
    pub identity: AgentIdentity,
    /// Its name, for answers and logs.
    pub peer: Arc<str>,
    /// Load and health.
    pub live: Arc<LiveState>,
    pub(super) link: watch::Sender<Link>,
    pub(super) outbox: Mutex<Outbox>,
    pub(super) probing: AtomicBool,
    /// When the connection went down, in monotonic milliseconds.
    pub(super) down_since_ms: AtomicU64,
    upstream: Mutex<Option<UpstreamInfo>>,
    data_centre: DataCentreKey,
    rack: RackKey,
    /// The run of this entry that may use it; 0 for none.
    usable_by: AtomicU64,
}

impl Agent {
    pub(super) fn new(key: UpstreamKey, identity: AgentIdentity, names: &Names) -> Self {
        Self {
            key,
            peer: identity.name.as_str().into(),
            live: Arc::default(),
            link: watch::Sender::new(Link::Down),
            outbox: Mutex::default(),
            probing: AtomicBool::new(false),
            down_since_ms: AtomicU64::new(0),
            upstream: Mutex::new(None),
            data_centre: names.data_centre(&identity.data_centre),
            rack: names.rack(&identity.data_centre, &identity.rack),
            usable_by: AtomicU64::new(NO_RUN),
            identity,
        }
    }

    /// The run of this entry that may use it, if one may.
    #[must_use]
    pub fn usable_by(&self) -> Option<Incarnation> {
        let run = self.usable_by.load(Ordering::Acquire);
        (run != NO_RUN).then_some(Incarnation(run))
    }

    /// Makes it usable by the jobs of one run of this entry, or by none.
    pub(super) fn set_usable_by(&self, run: Option<Incarnation>) {
        self.usable_by.store(run.map_or(NO_RUN, |run| run.0), Ordering::Release);
    }

    /// Takes note of whether its data centre is evacuated.
    pub(super) fn mark_evacuated(&self, evacuations: &Evacuations) {
        let evacuated = evacuations.contains(&self.identity.data_centre);
        self.live.evacuated.store(evacuated, Ordering::Release);
    }

    /// Its upstream, if one has announced itself.
    #[must_use]
    pub fn upstream(&self) -> Option<UpstreamInfo> {
        self.upstream.lock().clone()
    }

    pub(super) fn set_upstream(&self, upstream: Option<UpstreamInfo>) {
        *self.upstream.lock() = upstream;
    }

    /// Whether it is connected.
    #[must_use]
    pub fn is_up(&self) -> bool {
        matches!(&*self.link.borrow(), Link::Up(_))
    }

    /// Its connection, if it is connected.
    #[must_use]
    pub fn connection(&self) -> Option<quinn::Connection> {
        match &*self.link.borrow() {
            Link::Up(connection) => Some(connection.clone()),
            Link::Down | Link::Gone => None,
        }
    }

    /// Its row in the view, given the kinds of the templates in force.
    pub(super) fn row(&self, known_kinds: &[(String, KindKey)]) -> Option<UpstreamRow> {
        self.usable_by()?;
        let upstream = self.upstream.lock();
        let upstream = upstream.as_ref()?;
        Some(UpstreamRow {
            key: self.key,
            data_centre: self.data_centre,
            rack: self.rack,
            max_task_bytes: upstream.max_task_bytes,
            kinds: served_kinds(&upstream.kinds, known_kinds),
            live: Arc::clone(&self.live),
        })
    }

    /// Counts a placement without a reply.
    pub fn begin_placement(&self) {
        self.live.outstanding.fetch_add(1, Ordering::AcqRel);
    }

    /// Takes back a counted placement.
    pub fn end_placement(&self) {
        let left = self.live.outstanding.fetch_sub(1, Ordering::AcqRel).saturating_sub(1);
        // The last report cannot count more of ours than there are.
        self.live.outstanding_reported.fetch_min(left, Ordering::AcqRel);
    }

    /// Takes a load report, unless a later one was taken before.
    pub fn take_load(&self, load: Load, now_ms: u64) {
        let live = &self.live;
        live.heard_at_ms.store(now_ms, Ordering::Release);
        let before = live.load_sequence.fetch_max(load.sequence, Ordering::AcqRel);
        if before > load.sequence {
            return;
        }
        live.slots.store(load.slots.into(), Ordering::Release);
        live.running.store(load.running.into(), Ordering::Release);
        live.queued.store(load.queued.into(), Ordering::Release);
        live.leaving.store(load.leaving || !self.is_up(), Ordering::Release);
        // Of the own placements the report counts those that had arrived, and
        // no more than there are tasks in all.
        let outstanding = live.outstanding.load(Ordering::Acquire);
        let tasks = u32::from(load.running) + u32::from(load.queued);
        live.outstanding_reported.store(outstanding.min(tasks), Ordering::Release);
    }
}

fn served_kinds(served: &[String], known: &[(String, KindKey)]) -> Vec<KindKey> {
    if served.iter().any(|pattern| pattern == "*") {
        return Vec::new();
    }
    let matching =
        known.iter().filter(|(name, _)| served.iter().any(|pattern| matches_kind(pattern, name)));
    let mut keys: Vec<_> = matching.map(|&(_, key)| key).collect();
    // An empty list would mean all kinds.
    keys.push(NO_KIND);
    keys
}

/// Patterns are `organisation/kind`, `*/kind` or `*`.
fn matches_kind(pattern: &str, name: &str) -> bool {
    match pattern.strip_prefix("*/") {
        Some(kind) => name.split_once('/').is_some_and(|(_, own)| own == kind),
        None => pattern == name,
    }
}

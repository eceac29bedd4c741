//! Which entries the agent dials, and its sessions with them.

use {
    crate::{
        core::Core,
        session::{self, Session},
    },
    parking_lot::Mutex,
    quinn::Endpoint,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    sycamorerail_wire::ids::Incarnation,
    tokio::task::JoinSet,
};

/// An entry that no welcome listed for this long is forgotten when it cannot
/// be reached, unless the settings name it.
const LISTED_FOR_MS: u64 = 150_000;

/// Most entries dialled; beyond it newly listed ones are left out.
const MAX_ENTRIES: usize = 4_096;

const OTHER_ADDRESS_POLL: Duration = Duration::from_secs(1);

/// The entries known.
pub(crate) struct Entries {
    endpoint: Endpoint,
    fixed: HashSet<SocketAddr>,
    known: Mutex<Known>,
    sessions: Mutex<HashMap<Incarnation, Arc<Session>>>,
}

#[derive(Default)]
struct Known {
    listed_at_ms: HashMap<SocketAddr, u64>,
    dialling: JoinSet<()>,
}

impl Entries {
    /// Entries that the settings name, to be dialled from the endpoint.
    pub(crate) fn new(endpoint: Endpoint, fixed: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            endpoint,
            fixed: fixed.into_iter().collect(),
            known: Mutex::default(),
            sessions: Mutex::default(),
        }
    }

    /// Dials the entries that the settings name.
    pub(crate) fn dial(self: &Arc<Self>, core: &Arc<Core>) {
        let fixed: Vec<SocketAddr> = self.fixed.iter().copied().collect();
        self.listed(core, &fixed);
    }

    /// A run of an entry has started: whatever runs at its address otherwise is
    /// gone. Told wrongly, it costs one dial.
    pub(crate) fn started(
        self: &Arc<Self>,
        core: &Arc<Core>,
        address: SocketAddr,
        run: Incarnation,
    ) {
        let sessions: Vec<_> = self.sessions.lock().values().cloned().collect();
        let gone = |session: &&Arc<Session>| session.peer == address && session.incarnation != run;
        for session in sessions.iter().filter(gone) {
            session.retire("another run has started there");
        }
        self.listed(core, &[address]);
    }

    /// Takes a list of entries that an entry told, and dials the new ones.
    pub(crate) fn listed(self: &Arc<Self>, core: &Arc<Core>, listed: &[SocketAddr]) {
        let now_ms = core.clock.now_ms();
        let mut known = self.known.lock();
        while known.dialling.try_join_next().is_some() {}
        for &peer in listed {
            if known.listed_at_ms.insert(peer, now_ms).is_some() {
                continue;
            }
            if known.listed_at_ms.len() > MAX_ENTRIES {
                known.listed_at_ms.remove(&peer);
                continue;
            }
            let (core, entries) = (Arc::clone(core), Arc::clone(self));
            known.dialling.spawn(session::keep(core, entries, self.endpoint.clone(), peer));
        }
    }

    /// Whether to go on dialling an entry; if not, it is forgotten.
    pub(crate) fn is_listed(&self, peer: SocketAddr, now_ms: u64) -> bool {
        if self.fixed.contains(&peer) {
            return true;
        }
        let mut known = self.known.lock();
        let listed_at_ms = known.listed_at_ms.get(&peer).copied();
        let recent = listed_at_ms.is_some_and(|at_ms| now_ms < at_ms + LISTED_FOR_MS);
        if !recent {
            known.listed_at_ms.remove(&peer);
        }
        recent
    }

    /// Takes a session in. An earlier one with the same run, which has another
    /// address then, ends: the entry holds to the latest too.
    pub(crate) fn open(&self, session: &Arc<Session>) {
        let earlier = self.sessions.lock().insert(session.incarnation, Arc::clone(session));
        if let Some(earlier) = earlier {
            earlier.retire("a later session with this run exists");
        }
    }

    pub(crate) fn close(&self, session: &Arc<Session>) {
        let mut sessions = self.sessions.lock();
        let current = sessions.get(&session.incarnation);
        if current.is_some_and(|current| Arc::ptr_eq(current, session)) {
            sessions.remove(&session.incarnation);
        }
    }

    /// Waits while there is a session with this run of an entry, over whatever
    /// address.
    pub(crate) async fn while_open(&self, incarnation: Incarnation) {
        while self.sessions.lock().contains_key(&incarnation) {
            tokio::time::sleep(OTHER_ADDRESS_POLL).await;
        }
    }

    /// Whether every connected entry has confirmed this change.
    pub(crate) fn all_know(&self, change: u64) -> bool {
        self.sessions.lock().values().all(|session| session.knows_change(change))
    }

    /// Entries with a session now.
    pub(crate) fn connected(&self) -> Vec<(Incarnation, SocketAddr)> {
        self.sessions.lock().values().map(|session| (session.incarnation, session.peer)).collect()
    }

    /// Ends all dialling.
    pub(crate) fn stop(&self) {
        self.known.lock().dialling.abort_all();
    }
}

//! The entries that the agent dials, and its sessions with them.

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

/// An unreachable entry is forgotten when no welcome has listed it for this long, unless the
/// settings name it.
const FORGET_UNLISTED_AFTER_MS: u64 = 150_000;

/// Most entries that the agent dials; further listed ones are ignored.
const MAX_ENTRIES: usize = 4_096;

const SAME_ENTRY_POLL: Duration = Duration::from_secs(1);

/// The known entries and the sessions with them.
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
    /// Creates the set with the entries from the settings; `endpoint` dials them.
    pub(crate) fn new(endpoint: Endpoint, fixed: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            endpoint,
            fixed: fixed.into_iter().collect(),
            known: Mutex::default(),
            sessions: Mutex::default(),
        }
    }

    /// Dials the entries from the settings.
    pub(crate) fn dial_fixed(self: &Arc<Self>, core: &Arc<Core>) {
        let fixed: Vec<SocketAddr> = self.fixed.iter().copied().collect();
        self.add_listed(core, &fixed);
    }

    /// Handles the start of an entry: sessions with another incarnation at its address end,
    /// because that process is gone. A wrong notice costs one dial.
    pub(crate) fn entry_started(
        self: &Arc<Self>,
        core: &Arc<Core>,
        address: SocketAddr,
        incarnation: Incarnation,
    ) {
        let sessions: Vec<_> = self.sessions.lock().values().cloned().collect();
        let is_replaced =
            |session: &&Arc<Session>| session.peer == address && session.incarnation != incarnation;
        for session in sessions.iter().filter(is_replaced) {
            session.retire("another run has started there");
        }
        self.add_listed(core, &[address]);
    }

    /// Adds entries that an entry listed, and dials the new ones.
    pub(crate) fn add_listed(self: &Arc<Self>, core: &Arc<Core>, listed: &[SocketAddr]) {
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
            known.dialling.spawn(session::keep_session(core, entries, self.endpoint.clone(), peer));
        }
    }

    /// Returns whether the agent keeps dialling an entry; otherwise forgets the entry.
    pub(crate) fn is_listed(&self, peer: SocketAddr, now_ms: u64) -> bool {
        if self.fixed.contains(&peer) {
            return true;
        }
        let mut known = self.known.lock();
        let listed_at_ms = known.listed_at_ms.get(&peer).copied();
        let recent = listed_at_ms.is_some_and(|at_ms| now_ms < at_ms + FORGET_UNLISTED_AFTER_MS);
        if !recent {
            known.listed_at_ms.remove(&peer);
        }
        recent
    }

    /// Adds a session. An earlier one with the same incarnation at another address ends: the
    /// entry uses the latest one, too.
    pub(crate) fn add_session(&self, session: &Arc<Session>) {
        let earlier = self.sessions.lock().insert(session.incarnation, Arc::clone(session));
        if let Some(earlier) = earlier {
            earlier.retire("a later session with this run exists");
        }
    }

    pub(crate) fn remove_session(&self, session: &Arc<Session>) {
        let mut sessions = self.sessions.lock();
        let current = sessions.get(&session.incarnation);
        if current.is_some_and(|current| Arc::ptr_eq(current, session)) {
            sessions.remove(&session.incarnation);
        }
    }

    /// Waits while a session with this incarnation of an entry exists at any address.
    pub(crate) async fn wait_while_connected(&self, incarnation: Incarnation) {
        while self.sessions.lock().contains_key(&incarnation) {
            tokio::time::sleep(SAME_ENTRY_POLL).await;
        }
    }

    /// Returns whether every connected entry has confirmed this change.
    pub(crate) fn all_confirmed(&self, change: u64) -> bool {
        self.sessions.lock().values().all(|session| session.has_confirmed(change))
    }

    /// Returns the entries that have a session.
    pub(crate) fn connected(&self) -> Vec<(Incarnation, SocketAddr)> {
        self.sessions.lock().values().map(|session| (session.incarnation, session.peer)).collect()
    }

    /// Aborts all dialling and the sessions.
    pub(crate) fn stop_dialling(&self) {
        self.known.lock().dialling.abort_all();
    }
}

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
    },
    sycamorerail_wire::ids::Incarnation,
    tokio::task::JoinSet,
};

/// An entry that no welcome listed for this long is forgotten when it cannot
/// be reached, unless the settings name it.
const LISTED_FOR_MS: u64 = 60_000;

/// Most entries dialled; beyond it newly listed ones are left out.
const MAX_ENTRIES: usize = 4_096;

/// The entries known.
#[derive(Default)]
pub(crate) struct Entries {
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
    pub(crate) fn new(fixed: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self { fixed: fixed.into_iter().collect(), ..Self::default() }
    }

    /// Dials the entries that the settings name.
    pub(crate) fn dial(self: &Arc<Self>, core: &Arc<Core>, endpoint: &Endpoint) {
        let fixed: Vec<SocketAddr> = self.fixed.iter().copied().collect();
        self.listed(core, endpoint, &fixed);
    }

    /// Takes a list of entries that an entry told, and dials the new ones.
    pub(crate) fn listed(
        self: &Arc<Self>,
        core: &Arc<Core>,
        endpoint: &Endpoint,
        listed: &[SocketAddr],
    ) {
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
            known.dialling.spawn(session::keep(core, entries, endpoint.clone(), peer));
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

    /// Takes a session in; refused when there is one with the same run.
    pub(crate) fn open(&self, session: &Arc<Session>) -> bool {
        let mut sessions = self.sessions.lock();
        let free = !sessions.contains_key(&session.incarnation);
        if free {
            sessions.insert(session.incarnation, Arc::clone(session));
        }
        free
    }

    pub(crate) fn close(&self, session: &Session) {
        self.sessions.lock().remove(&session.incarnation);
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

//! Sessions with other entries: opened when needed, kept, one dial at a time.

use {
    crate::shared::Shared,
    dashmap::DashMap,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_wire::{
        keys::Role,
        message::{EntryReply, EntryReplyBody, EntryStatus, ToEntry},
        session::{self, SessionError},
    },
    tokio::{sync::Mutex, time::timeout},
};

/// After a failed dial the next one waits this long.
const DIAL_PAUSE_MS: u64 = 100;
/// Longest wait for a connection and for a short reply, at least.
const MIN_WITHIN_MS: u32 = 50;
/// Attempts to reach a home in the time after which it is lost, at least.
const ATTEMPTS: u32 = 4;

/// A session with an entry.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) connection: quinn::Connection,
    /// When a reply last came, in monotonic milliseconds.
    pub(super) heard_at_ms: AtomicU64,
    pub(super) probing: AtomicBool,
}

#[derive(Debug, Default)]
struct Slot {
    session: Option<Arc<Session>>,
    failed_at_ms: Option<u64>,
}

/// Sessions by address. Addresses come from settings, the platform and ids
/// with a valid tag, so they are as many as entries ever had.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    slots: DashMap<SocketAddr, Arc<Mutex<Slot>>>,
}

/// Longest wait for a short reply of another entry.
pub(super) fn short(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.limits.probe_after_ms.max(MIN_WITHIN_MS).into())
}

/// Longest wait for a connection, and for a reply on whether an entry is there.
pub(super) fn reach_within(shared: &Shared) -> Duration {
    let limits = &shared.settings.limits;
    let within_ms = limits.probe_after_ms.min(limits.lost_after_ms / ATTEMPTS);
    Duration::from_millis(within_ms.max(MIN_WITHIN_MS).into())
}

impl Sessions {
    /// The session with an entry, opened if need be.
    pub(super) async fn session(
        &self,
        shared: &Shared,
        address: SocketAddr,
    ) -> Result<Arc<Session>, SessionError> {
        let slot = Arc::clone(&self.slots.entry(address).or_default());
        let within = reach_within(shared);
        let Ok(mut slot) = timeout(within, slot.lock()).await else {
            return Err(SessionError::Connect(address, "another dial is under way".to_owned()));
        };
        if let Some(session) = &slot.session
            && session.connection.close_reason().is_none()
        {
            return Ok(Arc::clone(session));
        }
        slot.session = None;
        let failed_lately = slot
            .failed_at_ms
            .is_some_and(|failed_at_ms| shared.now_ms() < failed_at_ms + DIAL_PAUSE_MS);
        if failed_lately {
            return Err(SessionError::Connect(address, "could not be reached just now".to_owned()));
        }
        match dial(shared, address, within).await {
            Ok(connection) => {
                let heard_at_ms = AtomicU64::new(shared.now_ms());
                let probing = AtomicBool::new(false);
                let session = Arc::new(Session { connection, heard_at_ms, probing });
                slot.session = Some(Arc::clone(&session));
                slot.failed_at_ms = None;
                Ok(session)
            }
            Err(err) => {
                slot.failed_at_ms = Some(shared.now_ms());
                Err(err)
            }
        }
    }

    /// Calls an entry.
    pub(super) async fn call(
        &self,
        shared: &Shared,
        address: SocketAddr,
        request: &ToEntry,
        within: Duration,
    ) -> Result<EntryReply, SessionError> {
        let session = self.session(shared, address).await?;
        session.call(shared, request, within).await
    }
}

impl Session {
    /// Calls the entry on this session.
    pub(super) async fn call(
        &self,
        shared: &Shared,
        request: &ToEntry,
        within: Duration,
    ) -> Result<EntryReply, SessionError> {
        let reply: EntryReply = session::call(&self.connection, request, within).await?;
        self.heard_at_ms.store(shared.now_ms(), Ordering::Release);
        shared.note_config_mark(reply.config_mark);
        Ok(reply)
    }
}

async fn dial(
    shared: &Shared,
    address: SocketAddr,
    within: Duration,
) -> Result<quinn::Connection, SessionError> {
    let connection = session::connect(&shared.endpoint, address, Role::Entry, within).await?;
    if session::peer_role(&connection) == Some(Role::Entry) {
        return Ok(connection);
    }
    connection.close(0u32.into(), b"no entry");
    Err(SessionError::Role(address))
}

impl super::Inner {
    /// Asks an entry how it stands.
    pub(super) async fn status(
        &self,
        shared: &Shared,
        address: SocketAddr,
    ) -> Result<EntryStatus, SessionError> {
        let reply = self.sessions.call(shared, address, &ToEntry::Status, short(shared)).await?;
        match reply.body {
            EntryReplyBody::Status(status) => Ok(status),
            _ => Err(SessionError::Broken(address, "no status in the reply".to_owned())),
        }
    }
}

//! Sessions with entries: dialled by the agent, kept for ever.

use {
    crate::{core::Core, counters, entries::Entries, serve},
    quinn::{Connection, Endpoint},
    rand::Rng,
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        codec,
        ids::Incarnation,
        keys::Role,
        message::{EntryWelcome, FromAgent},
        session::{self, SessionError},
    },
};

const CONNECT_WITHIN: Duration = Duration::from_secs(3);
const HELLO_WITHIN: Duration = Duration::from_secs(5);
const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 3_000;

/// A session with one run of an entry.
pub(crate) struct Session {
    pub(crate) connection: Connection,
    pub(crate) peer: SocketAddr,
    pub(crate) incarnation: Incarnation,
    current: AtomicBool,
    sent_at_ms: AtomicU64,
}

impl Session {
    /// Placements are taken only while this holds. It ends before the agent
    /// dials again, so that a copy left over from this session can never
    /// follow what the entry did over the next one.
    pub(crate) fn is_current(&self) -> bool {
        self.current.load(Ordering::Acquire)
    }

    /// Notes that the entry was sent the agent's load.
    pub(crate) fn sent(&self, now_ms: u64) {
        self.sent_at_ms.fetch_max(now_ms, Ordering::AcqRel);
    }
}

/// Keeps a session with the entry at `peer` until the entry is no longer
/// listed anywhere.
pub(crate) async fn keep(
    core: Arc<Core>,
    entries: Arc<Entries>,
    endpoint: Endpoint,
    peer: SocketAddr,
) {
    let mut backoff_ms = FIRST_BACKOFF_MS;
    loop {
        match run(&core, &entries, &endpoint, peer).await {
            Ok(()) => backoff_ms = FIRST_BACKOFF_MS,
            Err(err) => {
                counters::session("failed");
                event!(Info, "session_failed", peer = peer, error = err);
            }
        }
        if !entries.is_listed(peer, core.clock.now_ms()) {
            event!(Info, "entry_forgotten", peer = peer);
            return;
        }
        let pause_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}

/// One session from its dialling to its end.
async fn run(
    core: &Arc<Core>,
    entries: &Arc<Entries>,
    endpoint: &Endpoint,
    peer: SocketAddr,
) -> Result<(), SessionError> {
    let connection = session::connect(endpoint, peer, Role::Entry, CONNECT_WITHIN).await?;
    let changes = core.changes.subscribe();
    let welcome = say_hello(core, &connection).await?;
    core.welcomed(&welcome);
    let session = Arc::new(Session {
        connection,
        peer,
        incarnation: welcome.incarnation,
        current: AtomicBool::new(true),
        sent_at_ms: AtomicU64::new(core.clock.now_ms()),
    });
    if !entries.open(&session) {
        session.connection.close(0u32.into(), b"another session with this run exists");
        return Err(SessionError::Connect(peer, "known under another address".to_owned()));
    }
    entries.listed(core, endpoint, &welcome.entries);
    counters::session("opened");
    core.sessions.fetch_add(1, Ordering::AcqRel);
    event!(Info, "session_opened", peer = peer, entry = session.incarnation);
    let ended = tokio::select! {
        ended = serve::accept(core, &session) => ended,
        ended = keep_told(core, entries, endpoint, &session, changes) => ended,
    };
    session.current.store(false, Ordering::Release);
    session.connection.close(0u32.into(), b"session ended");
    entries.close(&session);
    core.sessions.fetch_sub(1, Ordering::AcqRel);
    counters::session("ended");
    event!(Info, "session_ended", peer = peer, entry = session.incarnation, error = ended);
    Ok(())
}

/// Says hello again when the upstream changes, and beats when idle.
async fn keep_told(
    core: &Arc<Core>,
    entries: &Arc<Entries>,
    endpoint: &Endpoint,
    session: &Session,
    mut changes: tokio::sync::watch::Receiver<u64>,
) -> SessionError {
    let mut packets = Packets::default();
    loop {
        let told = tokio::select! {
            _ = changes.changed() => say_hello(core, &session.connection).await,
            () = beat_due(core, session) => beat(core, &session.connection).await,
        };
        packets.count(&session.connection);
        match told {
            Ok(welcome) => {
                session.sent(core.clock.now_ms());
                core.welcomed(&welcome);
                entries.listed(core, endpoint, &welcome.entries);
            }
            Err(err) => return err,
        }
    }
}

/// Waits until a heartbeat is due: nothing was sent to this entry for the
/// pause of heartbeats, or no entry has told the list of entries for as long.
async fn beat_due(core: &Core, session: &Session) {
    let pause_ms = u64::from(core.settings.heartbeat_ms);
    loop {
        let sent_at_ms = session.sent_at_ms.load(Ordering::Acquire);
        let welcomed_at_ms = core.welcomed_at_ms.load(Ordering::Acquire);
        let due_at_ms = sent_at_ms.min(welcomed_at_ms) + pause_ms;
        let now_ms = core.clock.now_ms();
        if now_ms >= due_at_ms {
            return;
        }
        tokio::time::sleep(Duration::from_millis(due_at_ms - now_ms)).await;
    }
}

async fn say_hello(core: &Core, connection: &Connection) -> Result<EntryWelcome, SessionError> {
    tell(connection, "hello", &FromAgent::Hello(core.hello())).await
}

async fn beat(core: &Core, connection: &Connection) -> Result<EntryWelcome, SessionError> {
    let beat = FromAgent::Beat { load: core.load(), config_mark: core.config_mark() };
    tell(connection, "beat", &beat).await
}

async fn tell(
    connection: &Connection,
    name: &'static str,
    message: &FromAgent,
) -> Result<EntryWelcome, SessionError> {
    let welcome: EntryWelcome = session::call(connection, message, HELLO_WITHIN).await?;
    counters::control(name, encoded_bytes(message) + encoded_bytes(&welcome));
    Ok(welcome)
}

fn encoded_bytes<M: Serialize>(message: &M) -> usize {
    codec::encode(message).map_or(0, |bytes| bytes.len())
}

/// Bytes of packets counted so far.
#[derive(Default)]
struct Packets {
    sent_bytes: u64,
    received_bytes: u64,
}

impl Packets {
    fn count(&mut self, connection: &Connection) {
        let stats = connection.stats();
        counters::packets(
            stats.udp_tx.bytes - self.sent_bytes,
            stats.udp_rx.bytes - self.received_bytes,
        );
        self.sent_bytes = stats.udp_tx.bytes;
        self.received_bytes = stats.udp_rx.bytes;
    }
}

//! Sessions with entries, which the agent dials and keeps open.

use {
    crate::{core::Core, counters, entries::Entries, pause::jittered, serve},
    parking_lot::Mutex,
    quinn::{Connection, Endpoint},
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
        message::{EntryWelcome, FromAgent, MemberList},
        runs::Evacuations,
        session::{self, SessionError},
    },
    tokio::sync::watch,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// The agent sends evacuations to an entry after this delay, because most entries learn them
/// from the platform in the meantime.
const EVACUATIONS_DELAY: Duration = Duration::from_millis(200);
const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 3_000;

/// A session with one incarnation of an entry.
pub(crate) struct Session {
    pub(crate) connection: Connection,
    pub(crate) peer: SocketAddr,
    pub(crate) incarnation: Incarnation,
    current: AtomicBool,
    sent_at_ms: AtomicU64,
    confirmed_change: AtomicU64,
    /// Evacuations that the entry is known to have.
    entry_evacuations: Mutex<Evacuations>,
    /// Entries in the last list that this entry sent.
    listed: Mutex<Vec<SocketAddr>>,
    counted_sent_bytes: AtomicU64,
    counted_received_bytes: AtomicU64,
}

impl Session {
    fn new(connection: Connection, incarnation: Incarnation, now_ms: u64) -> Self {
        Self {
            peer: connection.remote_address(),
            connection,
            incarnation,
            current: AtomicBool::new(true),
            sent_at_ms: AtomicU64::new(now_ms),
            confirmed_change: AtomicU64::new(0),
            entry_evacuations: Mutex::default(),
            listed: Mutex::default(),
            counted_sent_bytes: AtomicU64::new(0),
            counted_received_bytes: AtomicU64::new(0),
        }
    }

    /// Returns whether the session still accepts placements. It stops before the agent dials
    /// again, so that a placement left over from this session is never handled after one of
    /// the next session.
    pub(crate) fn is_current(&self) -> bool {
        self.current.load(Ordering::Acquire)
    }

    /// Refuses further placements and closes the connection.
    pub(crate) fn retire(&self, why: &'static str) {
        self.current.store(false, Ordering::Release);
        self.connection.close(0u32.into(), why.as_bytes());
    }

    /// Returns whether the entry has confirmed a hello with this change or a later one.
    pub(crate) fn has_confirmed(&self, change: u64) -> bool {
        self.confirmed_change.load(Ordering::Acquire) >= change
    }

    fn count_packets(&self) {
        let stats = self.connection.stats();
        let (sent, received) = (stats.udp_tx.bytes, stats.udp_rx.bytes);
        counters::packets(
            sent - self.counted_sent_bytes.swap(sent, Ordering::AcqRel),
            received - self.counted_received_bytes.swap(received, Ordering::AcqRel),
        );
    }

    /// Applies the entry's list of members; `None` means that the list is unchanged.
    fn apply_members(
        &self,
        core: &Arc<Core>,
        entries: &Arc<Entries>,
        received: Option<MemberList>,
    ) {
        let mut listed = self.listed.lock();
        if let Some(members) = received {
            *listed = members.entries;
        }
        entries.add_listed(core, &listed);
    }

    /// Applies evacuations received from the entry.
    pub(crate) fn apply_evacuations(&self, core: &Arc<Core>, received: &Evacuations) {
        self.note_entry_evacuations([Some(received)]);
        core.apply_evacuations(received);
    }

    /// Records evacuations that were received from or sent to the entry.
    fn note_entry_evacuations<const N: usize>(&self, evacuations: [Option<&Evacuations>; N]) {
        let mut held = self.entry_evacuations.lock();
        for newer in evacuations.into_iter().flatten() {
            held.merge_newer(newer);
        }
    }

    /// Returns whether the entry lacks evacuations that are in force at the agent.
    fn lacks_evacuations(&self, core: &Core) -> bool {
        core.evacuations.borrow().is_update_to(&self.entry_evacuations.lock())
    }

    /// Records that the agent's load was sent to the entry.
    pub(crate) fn note_sent(&self, now_ms: u64) {
        self.sent_at_ms.fetch_max(now_ms, Ordering::AcqRel);
    }
}

/// Keeps a session with the entry at `peer` until no entry lists it any more.
pub(crate) async fn keep_session(
    core: Arc<Core>,
    entries: Arc<Entries>,
    endpoint: Endpoint,
    peer: SocketAddr,
) {
    let mut backoff_ms = FIRST_BACKOFF_MS;
    loop {
        match run_session(&core, &entries, &endpoint, peer).await {
            Ok(incarnation) => {
                backoff_ms = FIRST_BACKOFF_MS;
                entries.wait_while_connected(incarnation).await;
            }
            Err(err) => {
                counters::session("failed");
                event!(Debug, "session_failed", peer = peer, error = err);
            }
        }
        if !entries.is_listed(peer, core.clock.now_ms()) {
            event!(Info, "entry_forgotten", peer = peer);
            return;
        }
        tokio::time::sleep(jittered(backoff_ms)).await;
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}

/// Runs one session from dialling to its end; returns the incarnation of the entry.
async fn run_session(
    core: &Arc<Core>,
    entries: &Arc<Entries>,
    endpoint: &Endpoint,
    peer: SocketAddr,
) -> Result<Incarnation, SessionError> {
    let connection = session::connect(endpoint, peer, Role::Entry, CONNECT_TIMEOUT).await?;
    session::allow_streams(&connection, session::PLACEMENT_STREAMS);
    let changes = core.changes.subscribe();
    let change = *changes.borrow();
    let (sent, welcome) = send_hello(core, &connection).await?;
    core.apply_welcome(&welcome);
    let session = Arc::new(Session::new(connection, welcome.incarnation, core.clock.now_ms()));
    session.note_entry_evacuations([Some(&sent), welcome.evacuations.as_ref()]);
    session.confirmed_change.store(change, Ordering::Release);
    entries.add_session(&session);
    session.apply_members(core, entries, welcome.members);
    counters::session("opened");
    event!(Info, "session_opened", peer = peer, entry = session.incarnation);
    let ended = tokio::select! {
        ended = serve::serve_streams(core, entries, &session) => ended,
        ended = send_updates(core, entries, &session, changes) => ended,
    };
    session.retire("session ended");
    entries.remove_session(&session);
    session.count_packets();
    counters::session("ended");
    event!(Info, "session_ended", peer = peer, entry = session.incarnation, error = ended);
    Ok(session.incarnation)
}

/// Sends a hello after each change and a heartbeat when the session is idle.
async fn send_updates(
    core: &Arc<Core>,
    entries: &Arc<Entries>,
    session: &Session,
    mut changes: watch::Receiver<u64>,
) -> SessionError {
    loop {
        let result = tokio::select! {
            _ = changes.changed() => {
                let change = *changes.borrow_and_update();
                let result = repeat_hello(core, session).await;
                result.inspect(|_| session.confirmed_change.store(change, Ordering::Release))
            }
            () = evacuations_due(core, session) => repeat_hello(core, session).await,
            () = heartbeat_due(core, session) => send_heartbeat(core, &session.connection).await,
        };
        session.count_packets();
        match result {
            Ok(welcome) => {
                session.note_sent(core.clock.now_ms());
                core.apply_welcome(&welcome);
                session.note_entry_evacuations([welcome.evacuations.as_ref()]);
                session.apply_members(core, entries, welcome.members);
            }
            Err(err) => return err,
        }
    }
}

/// Waits until a heartbeat is due: nothing was sent to this entry for the heartbeat interval,
/// or this session must ask for the list of entries. Without the latter an agent with busy
/// sessions would never learn the list.
async fn heartbeat_due(core: &Core, session: &Session) {
    let pause_ms = u64::from(core.settings.heartbeat_ms);
    loop {
        let now_ms = core.clock.now_ms();
        let heartbeat_at_ms = session.sent_at_ms.load(Ordering::Acquire) + pause_ms;
        if now_ms >= heartbeat_at_ms || core.claim_members_request(now_ms) {
            return;
        }
        let next_ms =
            heartbeat_at_ms.min(core.members_request_due_ms()).saturating_sub(now_ms).max(1);
        tokio::time::sleep(Duration::from_millis(next_ms)).await;
    }
}

/// Waits until evacuations must be sent to the entry.
async fn evacuations_due(core: &Core, session: &Session) {
    let mut changes = core.evacuations.subscribe();
    loop {
        while !session.lacks_evacuations(core) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
        tokio::time::sleep(EVACUATIONS_DELAY).await;
        if session.lacks_evacuations(core) {
            return;
        }
    }
}

/// Sends another hello and records the evacuations in it.
async fn repeat_hello(core: &Core, session: &Session) -> Result<EntryWelcome, SessionError> {
    let (sent, welcome) = send_hello(core, &session.connection).await?;
    session.note_entry_evacuations([Some(&sent)]);
    Ok(welcome)
}

/// Sends a hello. Returns the evacuations in it and the entry's welcome.
async fn send_hello(
    core: &Core,
    connection: &Connection,
) -> Result<(Evacuations, EntryWelcome), SessionError> {
    let hello = core.hello();
    let sent = hello.evacuations.clone();
    let welcome =
        send_message(core, connection, "hello", &FromAgent::Hello(Box::new(hello))).await?;
    Ok((sent, welcome))
}

async fn send_heartbeat(
    core: &Core,
    connection: &Connection,
) -> Result<EntryWelcome, SessionError> {
    let heartbeat = FromAgent::Heartbeat { load: core.load(), config_mark: core.config_mark() };
    send_message(core, connection, "beat", &heartbeat).await
}

async fn send_message(
    core: &Core,
    connection: &Connection,
    name: &'static str,
    message: &FromAgent,
) -> Result<EntryWelcome, SessionError> {
    core.note_members_request(core.clock.now_ms());
    let welcome: EntryWelcome = session::call(connection, message, HELLO_TIMEOUT).await?;
    counters::control_message(name, encoded_bytes(message) + encoded_bytes(&welcome));
    Ok(welcome)
}

fn encoded_bytes<M: Serialize>(message: &M) -> usize {
    codec::encode(message).map_or(0, |bytes| bytes.len())
}

//! Sessions with entries: dialled by the agent, kept for ever.

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

const CONNECT_WITHIN: Duration = Duration::from_secs(3);
const HELLO_WITHIN: Duration = Duration::from_secs(5);
/// An entry is told of evacuations once it has had this long to tell of them itself:
/// most entries hear of them from the platform.
const TELL_EVACUATIONS_AFTER: Duration = Duration::from_millis(200);
const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 3_000;

/// A session with one run of an entry.
pub(crate) struct Session {
    pub(crate) connection: Connection,
    pub(crate) peer: SocketAddr,
    pub(crate) incarnation: Incarnation,
    current: AtomicBool,
    sent_at_ms: AtomicU64,
    told_change: AtomicU64,
    /// Evacuations that the entry is known to hold.
    entry_evacuations: Mutex<Evacuations>,
    /// The entries that this one listed last.
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
            told_change: AtomicU64::new(0),
            entry_evacuations: Mutex::default(),
            listed: Mutex::default(),
            counted_sent_bytes: AtomicU64::new(0),
            counted_received_bytes: AtomicU64::new(0),
        }
    }

    /// Placements are taken only while this holds. It ends before the agent
    /// dials again, so that a copy left over from this session can never
    /// follow what the entry did over the next one.
    pub(crate) fn is_current(&self) -> bool {
        self.current.load(Ordering::Acquire)
    }

    /// Takes no placement any more.
    pub(crate) fn retire(&self, why: &'static str) {
        self.current.store(false, Ordering::Release);
        self.connection.close(0u32.into(), why.as_bytes());
    }

    /// Whether the entry has confirmed a hello with this change or a later one.
    pub(crate) fn knows_change(&self, change: u64) -> bool {
        self.told_change.load(Ordering::Acquire) >= change
    }

    fn count_packets(&self) {
        let stats = self.connection.stats();
        let (sent, received) = (stats.udp_tx.bytes, stats.udp_rx.bytes);
        counters::packets(
            sent - self.counted_sent_bytes.swap(sent, Ordering::AcqRel),
            received - self.counted_received_bytes.swap(received, Ordering::AcqRel),
        );
    }

    /// Takes the members that the entry told of; `None` for those it told last.
    fn take_members(&self, core: &Arc<Core>, entries: &Arc<Entries>, told: Option<MemberList>) {
        let mut listed = self.listed.lock();
        if let Some(members) = told {
            *listed = members.entries;
        }
        entries.listed(core, &listed);
    }

    /// Takes evacuations that the entry told of.
    pub(crate) fn take_evacuations(&self, core: &Arc<Core>, told: &Evacuations) {
        self.entry_holds([Some(told)]);
        core.hold_evacuations(told);
    }

    /// Notes evacuations that the entry told or was told.
    fn entry_holds<const N: usize>(&self, evacuations: [Option<&Evacuations>; N]) {
        let mut held = self.entry_evacuations.lock();
        for newer in evacuations.into_iter().flatten() {
            held.merge_newer(newer);
        }
    }

    /// Whether the entry lacks evacuations that are in force here.
    fn lacks_evacuations(&self, core: &Core) -> bool {
        core.evacuations.borrow().is_update_to(&self.entry_evacuations.lock())
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
            Ok(incarnation) => {
                backoff_ms = FIRST_BACKOFF_MS;
                entries.while_open(incarnation).await;
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

/// One session from its dialling to its end; returns the entry's run.
async fn run(
    core: &Arc<Core>,
    entries: &Arc<Entries>,
    endpoint: &Endpoint,
    peer: SocketAddr,
) -> Result<Incarnation, SessionError> {
    let connection = session::connect(endpoint, peer, Role::Entry, CONNECT_WITHIN).await?;
    session::allow_streams(&connection, session::PLACEMENT_STREAMS);
    let changes = core.changes.subscribe();
    let change = *changes.borrow();
    let (told, welcome) = say_hello(core, &connection).await?;
    core.welcomed(&welcome);
    let session = Arc::new(Session::new(connection, welcome.incarnation, core.clock.now_ms()));
    session.entry_holds([Some(&told), welcome.evacuations.as_ref()]);
    session.told_change.store(change, Ordering::Release);
    entries.open(&session);
    session.take_members(core, entries, welcome.members);
    counters::session("opened");
    event!(Info, "session_opened", peer = peer, entry = session.incarnation);
    let ended = tokio::select! {
        ended = serve::accept(core, entries, &session) => ended,
        ended = keep_told(core, entries, &session, changes) => ended,
    };
    session.retire("session ended");
    entries.close(&session);
    session.count_packets();
    counters::session("ended");
    event!(Info, "session_ended", peer = peer, entry = session.incarnation, error = ended);
    Ok(session.incarnation)
}

/// Says hello again when the upstream changes, and beats when idle.
async fn keep_told(
    core: &Arc<Core>,
    entries: &Arc<Entries>,
    session: &Session,
    mut changes: watch::Receiver<u64>,
) -> SessionError {
    loop {
        let told = tokio::select! {
            _ = changes.changed() => {
                let change = *changes.borrow_and_update();
                let told = greet(core, session).await;
                told.inspect(|_| session.told_change.store(change, Ordering::Release))
            }
            () = evacuations_due(core, session) => greet(core, session).await,
            () = beat_due(core, session) => beat(core, &session.connection).await,
        };
        session.count_packets();
        match told {
            Ok(welcome) => {
                session.sent(core.clock.now_ms());
                core.welcomed(&welcome);
                session.entry_holds([welcome.evacuations.as_ref()]);
                session.take_members(core, entries, welcome.members);
            }
            Err(err) => return err,
        }
    }
}

/// Waits until a heartbeat is due: nothing was sent to this entry for the
/// pause of heartbeats, or it is this session's turn to ask for the list of
/// entries, which busy pairs would never learn otherwise.
async fn beat_due(core: &Core, session: &Session) {
    let pause_ms = u64::from(core.settings.heartbeat_ms);
    loop {
        let now_ms = core.clock.now_ms();
        let beat_at_ms = session.sent_at_ms.load(Ordering::Acquire) + pause_ms;
        if now_ms >= beat_at_ms || core.takes_turn_to_ask(now_ms) {
            return;
        }
        let next_ms = beat_at_ms.min(core.ask_at_ms()).saturating_sub(now_ms).max(1);
        tokio::time::sleep(Duration::from_millis(next_ms)).await;
    }
}

/// Waits until the entry is to be told of evacuations.
async fn evacuations_due(core: &Core, session: &Session) {
    let mut changes = core.evacuations.subscribe();
    loop {
        while !session.lacks_evacuations(core) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
        tokio::time::sleep(TELL_EVACUATIONS_AFTER).await;
        if session.lacks_evacuations(core) {
            return;
        }
    }
}

/// Says hello again.
async fn greet(core: &Core, session: &Session) -> Result<EntryWelcome, SessionError> {
    let (told, welcome) = say_hello(core, &session.connection).await?;
    session.entry_holds([Some(&told)]);
    Ok(welcome)
}

/// Returns the evacuations that the hello told, too.
async fn say_hello(
    core: &Core,
    connection: &Connection,
) -> Result<(Evacuations, EntryWelcome), SessionError> {
    let hello = core.hello();
    let told = hello.evacuations.clone();
    let welcome = tell(core, connection, "hello", &FromAgent::Hello(Box::new(hello))).await?;
    Ok((told, welcome))
}

async fn beat(core: &Core, connection: &Connection) -> Result<EntryWelcome, SessionError> {
    let beat = FromAgent::Heartbeat { load: core.load(), config_mark: core.config_mark() };
    tell(core, connection, "beat", &beat).await
}

async fn tell(
    core: &Core,
    connection: &Connection,
    name: &'static str,
    message: &FromAgent,
) -> Result<EntryWelcome, SessionError> {
    core.asks(core.clock.now_ms());
    let welcome: EntryWelcome = session::call(connection, message, HELLO_WITHIN).await?;
    counters::control(name, encoded_bytes(message) + encoded_bytes(&welcome));
    Ok(welcome)
}

fn encoded_bytes<M: Serialize>(message: &M) -> usize {
    codec::encode(message).map_or(0, |bytes| bytes.len())
}

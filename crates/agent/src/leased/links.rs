//! Connections to entries: one each, dialled by the agent, made anew when they
//! break or fall silent.

use {
    super::Leased,
    crate::clock::jittered,
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_decide::echo::Echo,
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        frames::{self, FrameError, FrameReader, FrameWriter},
        ids::Incarnation,
        runs::{
            FromRunsAgent, RunReport, RunsHello, RunsOpening, ToRunsAgent, UpstreamLife,
            UpstreamLoad,
        },
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// Longest wait for a connection: some fifty times the way there and back between
/// data centres. A VM without power does not answer at all; after a loss of power
/// everywhere a wait of 500 ms cost that much of service.
const CONNECT_WITHIN: Duration = Duration::from_millis(150);
/// Longest wait for the first message on a connection.
const WELCOME_WITHIN: Duration = Duration::from_millis(500);
/// First and longest pause between attempts to dial.
const REDIAL_MS: (u64, u64) = (30, 200);
/// An address that nobody names any more is let go after failing this long.
const FORGET_AFTER_MS: u64 = 30_000;
/// Heartbeat of a link without other messages.
const BEAT: Duration = Duration::from_millis(200);
/// Loads without events are told this often at most, for each entry connected:
/// with four entries an entry hears 25 times a second of each agent.
const LOAD_PAUSE_MS_PER_ENTRY: u64 = 10;

/// All links of an agent.
#[derive(Debug, Default)]
pub(super) struct Links {
    known: Mutex<BTreeMap<SocketAddr, Known>>,
    /// Entries connected now.
    present: watch::Sender<Vec<SocketAddr>>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    named_ms: u64,
}

impl Links {
    pub(super) fn connected(&self) -> usize {
        self.present.borrow().len()
    }

    fn add(&self, entry: SocketAddr) {
        self.present.send_modify(|present| present.push(entry));
    }

    fn remove(&self, entry: SocketAddr) {
        self.present.send_modify(|present| present.retain(|known| *known != entry));
    }
}

/// Dials addresses that are not dialled yet.
pub(super) fn dial(leased: &Arc<Leased>, entries: &[SocketAddr]) {
    let named_ms = leased.clock.now_ms();
    for &entry in entries {
        let new = leased.links.known.lock().insert(entry, Known { named_ms }).is_none();
        if new {
            tokio::spawn(keep(Arc::clone(leased), entry));
        }
    }
}

/// Keeps a link to an entry until its address is forgotten.
async fn keep(leased: Arc<Leased>, peer: SocketAddr) {
    let mut last_entry = None;
    let mut worked_ms = leased.clock.now_ms();
    let mut pause_ms = REDIAL_MS.0;
    loop {
        match Link::open(&leased, peer, last_entry).await {
            Ok((link, reader, writer)) => {
                if let Some(before) = last_entry.filter(|before| *before != link.entry) {
                    leased.change(|ledger, _| ledger.drop_owner(before));
                }
                last_entry = Some(link.entry);
                pause_ms = REDIAL_MS.0;
                leased.links.add(peer);
                let ended = link.run(reader, writer).await;
                leased.links.remove(peer);
                worked_ms = leased.clock.now_ms();
                event!(Info, "link_ended", peer = peer, entry = link.entry, error = ended);
            }
            Err(error) => {
                event!(Debug, "dial_failed", peer = peer, error = error);
                if is_forgotten(&leased, peer, worked_ms) {
                    return;
                }
                sleep(jittered(pause_ms)).await;
                pause_ms = (pause_ms * 2).min(REDIAL_MS.1);
            }
        }
    }
}

fn is_forgotten(leased: &Leased, peer: SocketAddr, worked_ms: u64) -> bool {
    if leased.settings.seeds.contains(&peer) {
        return false;
    }
    let mut known = leased.links.known.lock();
    let named_ms = known.get(&peer).map_or(0, |known| known.named_ms);
    let forgotten = leased.clock.now_ms() >= worked_ms.max(named_ms) + FORGET_AFTER_MS;
    if forgotten {
        known.remove(&peer);
        event!(Info, "entry_forgotten", peer = peer);
    }
    forgotten
}

/// One connection to an entry.
struct Link {
    leased: Arc<Leased>,
    peer: SocketAddr,
    entry: Incarnation,
    echo: Mutex<Echo>,
    /// Messages heard on this connection.
    heard: AtomicU64,
    /// Highest revision of the configuration that the entry is known to hold.
    entry_revision: AtomicU64,
    /// Reports up to this number were sent on this connection.
    told_up_to: AtomicU64,
    /// Wakes the writer for what the entry asked.
    asked: watch::Sender<u64>,
}

impl Link {
    /// Connects and exchanges the first messages.
    async fn open(
        leased: &Arc<Leased>,
        peer: SocketAddr,
        last_entry: Option<Incarnation>,
    ) -> Result<(Self, FrameReader, FrameWriter), FrameError> {
        let (mut reader, mut writer) = frames::connect(peer, CONNECT_WITHIN).await?;
        let hello = hello(leased, last_entry);
        let told = hello.reports.last().map_or(0, |report| report.number);
        writer.push(&RunsOpening::Agent(hello))?;
        writer.flush().await?;
        let first = timeout(WELCOME_WITHIN, reader.next::<ToRunsAgent>()).await;
        let first = first.map_err(|_| FrameError::Closed(peer))??;
        let ToRunsAgent::Welcome { entry, upstream } = first else {
            return Err(FrameError::Closed(peer));
        };
        let now_ms = leased.clock.now_ms();
        leased.change(|ledger, now_ms| ledger.owner_heard(entry, now_ms));
        event!(Info, "link_opened", peer = peer, entry = entry, again = last_entry == Some(entry));
        if let Some(life) = upstream {
            leased.remember(life);
        }
        let mut echo = Echo::new(now_ms);
        echo.sent(now_ms);
        let told_up_to = AtomicU64::new(if last_entry == Some(entry) { told } else { 0 });
        let link = Self {
            leased: Arc::clone(leased),
            peer,
            entry,
            echo: Mutex::new(echo),
            heard: AtomicU64::new(1),
            entry_revision: AtomicU64::new(0),
            told_up_to,
            asked: watch::Sender::new(0),
        };
        Ok((link, reader, writer))
    }

    /// Reads and writes until the connection ends or falls silent.
    async fn run(&self, reader: FrameReader, writer: FrameWriter) -> FrameError {
        tokio::select! {
            error = self.read_on(reader) => error,
            error = self.write_on(writer) => error,
            () = self.fall_silent() => FrameError::Closed(self.peer),
        }
    }

    async fn fall_silent(&self) {
        loop {
            let confirmed_ms = self.echo.lock().confirmed_ms();
            let silence_ms = self.leased.settings.limits.owner_silence_ms;
            let left_ms = (confirmed_ms + silence_ms).saturating_sub(self.leased.clock.now_ms());
            if left_ms == 0 {
                return;
            }
            sleep(Duration::from_millis(left_ms)).await;
        }
    }

    async fn read_on(&self, mut reader: FrameReader) -> FrameError {
        loop {
            match reader.next().await {
                Ok(message) => self.take(message),
                Err(error) => return error,
            }
        }
    }

    fn take(&self, message: ToRunsAgent) {
        self.heard.fetch_add(1, Ordering::AcqRel);
        let leased = &self.leased;
        match message {
            ToRunsAgent::Welcome { .. } => {}
            ToRunsAgent::Members(entries) => dial(leased, &entries),
            ToRunsAgent::Place(placement) => {
                leased.change(|ledger, now_ms| ledger.place(self.entry, placement, now_ms));
            }
            ToRunsAgent::Stop(job) => {
                leased.change(|ledger, _| ledger.stop_job(self.entry, job));
            }
            ToRunsAgent::Finish { job, give_up_in_ms } => leased.change(|ledger, now_ms| {
                ledger.finish_job(self.entry, job, give_up_in_ms, now_ms);
            }),
            ToRunsAgent::Withdraw(tasks) => leased.change(|ledger, _| {
                tasks.into_iter().for_each(|task| ledger.withdraw(self.entry, task));
            }),
            ToRunsAgent::Beat { heard, confirmed } => {
                let mut echo = self.echo.lock();
                echo.heard(heard);
                let heard_ms = echo.confirmed_ms();
                drop(echo);
                let mut ledger = leased.ledger.lock();
                ledger.owner_heard(self.entry, heard_ms);
                ledger.confirmed(self.entry, confirmed);
            }
            ToRunsAgent::Configuration(copy) => {
                self.entry_revision.fetch_max(copy.revision, Ordering::AcqRel);
                let mut held = leased.configuration.lock();
                if held.as_ref().is_none_or(|held| held.revision < copy.revision) {
                    event!(Info, "configuration_held", revision = copy.revision);
                    *held = Some(copy);
                }
            }
            ToRunsAgent::WantConfiguration => self.asked.send_modify(|asked| *asked += 1),
        }
    }

    async fn write_on(&self, mut writer: FrameWriter) -> FrameError {
        let mut changes = self.leased.changes.subscribe();
        let mut asked = self.asked.subscribe();
        let mut present = self.leased.links.present.subscribe();
        let mut told = Told { beat_at: Instant::now(), ..Told::default() };
        loop {
            if let Err(error) = self.write(&mut writer, &mut told, &mut asked).await {
                return error;
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = asked.changed() => asked.mark_changed(),
                _ = present.changed() => {}
                () = sleep_until(told.next_at()) => {}
            }
        }
    }

    async fn write(
        &self,
        writer: &mut FrameWriter,
        told: &mut Told,
        asked: &mut watch::Receiver<u64>,
    ) -> Result<(), FrameError> {
        let mut messages = Vec::new();
        self.collect(told, &mut messages);
        if asked.has_changed().unwrap_or(false) {
            asked.mark_unchanged();
            let copy = self.leased.configuration.lock().clone();
            messages.extend(copy.map(FromRunsAgent::Configuration));
        }
        if messages.is_empty() {
            return Ok(());
        }
        for message in &messages {
            self.echo.lock().sent(self.leased.clock.now_ms());
            writer.push(message)?;
        }
        writer.flush().await
    }

    /// What the entry has to be told now.
    fn collect(&self, told: &mut Told, messages: &mut Vec<FromRunsAgent>) {
        let leased = &self.leased;
        let ledger = leased.ledger.lock();
        let told_up_to = self.told_up_to.load(Ordering::Acquire);
        let reports = ledger.reports(self.entry);
        let reports: Vec<RunReport> =
            reports.into_iter().filter(|report| report.number > told_up_to).collect();
        let load = ledger.load(leased.clock.now_ms());
        let life = ledger.life().cloned();
        drop(ledger);
        if life.is_some() && told.life != life {
            told.life.clone_from(&life);
            messages.extend(life.map(FromRunsAgent::Upstream));
        }
        let entries = leased.links.present.borrow().clone();
        if told.entries != entries {
            told.entries.clone_from(&entries);
            messages.push(FromRunsAgent::Entries(entries));
        }
        let revision = leased.configuration.lock().as_ref().map_or(0, |copy| copy.revision);
        if revision > self.entry_revision.load(Ordering::Acquire) && revision > told.revision {
            told.revision = revision;
            messages.push(FromRunsAgent::Holds { revision });
        }
        let now = Instant::now();
        let load_due = told.load != Some(load) && now >= told.load_at;
        if reports.is_empty() && !load_due && now < told.beat_at {
            // A changed load is told after its pause.
            told.load_waits = told.load != Some(load);
            return;
        }
        let last = reports.last().map_or(told_up_to, |report| report.number);
        self.told_up_to.store(last, Ordering::Release);
        let pause_ms = LOAD_PAUSE_MS_PER_ENTRY * leased.links.connected() as u64;
        told.load = Some(load);
        told.load_at = now + Duration::from_millis(pause_ms);
        told.beat_at = now + BEAT;
        told.load_waits = false;
        let heard = self.heard.load(Ordering::Acquire);
        messages.push(FromRunsAgent::Report { heard, reports, load });
    }
}

/// What was told on a connection, and when the next message is due.
struct Told {
    life: Option<UpstreamLife>,
    entries: Vec<SocketAddr>,
    revision: u64,
    load: Option<UpstreamLoad>,
    load_at: Instant,
    load_waits: bool,
    beat_at: Instant,
}

impl Default for Told {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            life: None,
            entries: Vec::new(),
            revision: 0,
            load: None,
            load_at: now,
            load_waits: false,
            beat_at: now,
        }
    }
}

impl Told {
    fn next_at(&self) -> Instant {
        if self.load_waits { self.load_at.min(self.beat_at) } else { self.beat_at }
    }
}

fn hello(leased: &Leased, last_entry: Option<Incarnation>) -> RunsHello {
    let ledger = leased.ledger.lock();
    RunsHello {
        agent: leased.incarnation,
        name: leased.settings.name.clone(),
        data_centre: leased.settings.data_centre.clone(),
        entry: last_entry,
        held: last_entry.map(|entry| ledger.held(entry)).unwrap_or_default(),
        reports: last_entry.map(|entry| ledger.reports(entry)).unwrap_or_default(),
        configuration: leased.configuration.lock().as_ref().map_or(0, |copy| copy.revision),
    }
}

//! One connection to an entry.

use {
    super::super::LeasedAgent,
    parking_lot::Mutex,
    std::{
        fmt,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_decide::{echo::Echo, ledger::is_significant_change},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        frames::{self, FrameError, FrameReader, FrameWriter},
        ids::Incarnation,
        runs::{
            Evacuations, FromRunsAgent, Resources, RunReport, RunsFirstMessage, RunsHello,
            ToRunsAgent, UpstreamInstance, UpstreamLoad,
        },
    },
    tokio::{
        sync::{Notify, watch},
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// Longest wait for a connection: some fifty times the way there and back between
/// data centres. A VM without power does not answer at all; after a loss of power
/// everywhere a wait of 500 ms cost that much of service.
const CONNECT_WITHIN: Duration = Duration::from_millis(150);
/// Longest wait for the first message on a connection.
const WELCOME_WITHIN: Duration = Duration::from_millis(500);
/// Heartbeat of a link without other messages.
const BEAT: Duration = Duration::from_millis(200);
/// Loads without events are told this often at most on each link: a start and its end are
/// told together where the upstream is fast (model, 55 entries, 240 upstreams: 95.7 % of
/// the most urgent jobs in time, 91.5 % with 30 ms).
const LOAD_PAUSE: Duration = Duration::from_millis(10);

/// Change of the time until which the upstream is slow that is told: announcements that say
/// the same arrive a little earlier or later.
const COLD_NEWS_MS: u64 = 250;

/// How a connection ended.
#[derive(Debug)]
pub(super) enum LinkEnd {
    /// It broke.
    Broken(FrameError),
    /// The entry was not heard, or did not hear us.
    Silent,
    /// The agent has let it go, and nothing of the entry was left.
    LetGo,
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::Silent => f.write_str("silent"),
            Self::LetGo => f.write_str("let go"),
        }
    }
}

/// One connection to an entry.
pub(super) struct Link {
    leased: Arc<LeasedAgent>,
    peer: SocketAddr,
    /// The entry's run.
    pub(super) entry: Incarnation,
    echo: Mutex<Echo>,
    /// Messages heard on this connection.
    heard: AtomicU64,
    /// Highest revision of the configuration that the entry is known to hold.
    entry_revision: AtomicU64,
    /// Evacuations that the entry is known to hold.
    entry_evacuations: Mutex<Evacuations>,
    /// Reports up to this number were sent on this connection.
    told_up_to: AtomicU64,
    /// Wakes the writer for what the entry asked.
    asked: watch::Sender<u64>,
    /// Whether the link is to be kept.
    kept: watch::Receiver<bool>,
    /// The entry has said that it places nothing more over this connection.
    unlinked: Notify,
}

impl Link {
    /// Connects and exchanges the first messages.
    pub(super) async fn open(
        leased: &Arc<LeasedAgent>,
        peer: SocketAddr,
        last_entry: Option<Incarnation>,
        kept: watch::Receiver<bool>,
    ) -> Result<(Self, FrameReader, FrameWriter), FrameError> {
        let (mut reader, mut writer) = frames::connect(peer, CONNECT_WITHIN).await?;
        let hello = hello(leased, last_entry);
        let told = hello.unconfirmed_reports.last().map_or(0, |report| report.number);
        let held = hello.held_runs.clone();
        writer.push(&RunsFirstMessage::Agent(hello))?;
        writer.flush().await?;
        let first = timeout(WELCOME_WITHIN, reader.next::<ToRunsAgent>()).await;
        let first = first.map_err(|_| FrameError::Closed(peer))??;
        let ToRunsAgent::Welcome { entry, upstream } = first else {
            return Err(FrameError::Closed(peer));
        };
        let now_ms = leased.clock.now_ms();
        leased.change(|ledger, now_ms| {
            ledger.note_owner_contact(entry, now_ms);
            if last_entry == Some(entry) {
                ledger.report_missing_runs(entry, &held);
            }
        });
        event!(Info, "link_opened", peer = peer, entry = entry, again = last_entry == Some(entry));
        if let Some(life) = upstream {
            leased.restore_upstream(life);
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
            entry_evacuations: Mutex::default(),
            told_up_to,
            asked: watch::Sender::new(0),
            kept,
            unlinked: Notify::new(),
        };
        Ok((link, reader, writer))
    }

    /// Reads and writes until the connection ends or falls silent.
    pub(super) async fn run(&self, reader: FrameReader, writer: FrameWriter) -> LinkEnd {
        tokio::select! {
            error = self.read_on(reader) => LinkEnd::Broken(error),
            error = self.write_on(writer) => LinkEnd::Broken(error),
            () = self.fall_silent() => LinkEnd::Silent,
            () = self.let_go() => LinkEnd::LetGo,
        }
    }

    /// Waits until the entry places nothing more here and nothing of it is left.
    async fn let_go(&self) {
        let mut changes = self.leased.changes.subscribe();
        self.unlinked.notified().await;
        while !self.leased.ledger.lock().is_owner_settled(self.entry) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until the entry was not heard for long. The agent may notice that first, where
    /// its VM was suspended: timers have stood still, and what is read now is old.
    async fn fall_silent(&self) {
        let mut dropped = self.leased.dropped_owners.subscribe();
        loop {
            let confirmed_ms = self.echo.lock().confirmed_ms();
            let silence_ms = self.leased.settings.limits.owner_timeout_ms;
            let left_ms = (confirmed_ms + silence_ms).saturating_sub(self.leased.clock.now_ms());
            if left_ms == 0 {
                return;
            }
            tokio::select! {
                () = sleep(Duration::from_millis(left_ms)) => {}
                Ok(()) = dropped.changed() => {
                    if dropped.borrow_and_update().contains(&self.entry) {
                        return;
                    }
                }
            }
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
            ToRunsAgent::Members(entries) => {
                leased.links.told(self.peer, &entries, leased.clock.now_ms());
            }
            ToRunsAgent::Place(placement) => {
                leased.change(|ledger, now_ms| ledger.place(self.entry, placement, now_ms));
            }
            ToRunsAgent::Stop(job) => {
                leased.change(|ledger, _| ledger.stop_job(self.entry, job));
            }
            ToRunsAgent::JobMostlyStarted { job, give_up_in_ms } => {
                leased.change(|ledger, now_ms| {
                    ledger.prioritise_job(self.entry, job, give_up_in_ms, now_ms);
                })
            }
            ToRunsAgent::Withdraw(tasks) => leased.change(|ledger, _| {
                tasks.into_iter().for_each(|task| ledger.withdraw_task(self.entry, task));
            }),
            ToRunsAgent::Unlinked => self.unlinked.notify_one(),
            ToRunsAgent::Heartbeat { heard, confirmed, agents, largest } => {
                leased.links.beat(self.peer, agents, &largest);
                let mut echo = self.echo.lock();
                echo.heard(heard);
                let heard_ms = echo.confirmed_ms();
                drop(echo);
                let mut ledger = leased.ledger.lock();
                ledger.note_owner_contact(self.entry, heard_ms);
                ledger.confirm_reports(self.entry, confirmed);
            }
            ToRunsAgent::Configuration(copy) => {
                self.entry_revision.fetch_max(copy.revision, Ordering::AcqRel);
                let mut held = leased.configuration.lock();
                if held.as_ref().is_none_or(|held| held.revision < copy.revision) {
                    event!(Info, "configuration_held", revision = copy.revision);
                    *held = Some(copy);
                }
            }
            ToRunsAgent::Evacuations(told) => {
                self.entry_evacuations.lock().clone_from(&told);
                leased.hold_evacuations(&told);
            }
            ToRunsAgent::Crashes(told) => leased.change(|ledger, now_ms| {
                ledger.learn_crashes(&told, leased.incarnation, now_ms);
            }),
            ToRunsAgent::RequestConfiguration => self.asked.send_modify(|asked| *asked += 1),
        }
    }

    async fn write_on(&self, mut writer: FrameWriter) -> FrameError {
        let mut changes = self.leased.changes.subscribe();
        let mut asked = self.asked.subscribe();
        let mut kept = self.kept.clone();
        let mut told = Told { beat_at: Instant::now(), ..Told::default() };
        loop {
            if let Err(error) = self.write(&mut writer, &mut told, &mut asked).await {
                return error;
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = asked.changed() => asked.mark_changed(),
                Ok(()) = kept.changed() => {}
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
        let life = ledger.proven_instance().cloned();
        let now_ms = leased.clock.now_ms();
        let (crashes, last_crash) = ledger.crashes_after(told.crash, leased.incarnation, now_ms);
        let cold_until_ms = ledger.cold_until_ms(now_ms);
        drop(ledger);
        told.crash = last_crash;
        if !crashes.is_empty() {
            messages.push(FromRunsAgent::Crashes(crashes));
        }
        if life.is_some() && told.life != life {
            told.life.clone_from(&life);
            messages.extend(life.map(FromRunsAgent::Upstream));
        }
        if told.is_cold_news(cold_until_ms) {
            told.cold_until_ms = cold_until_ms;
            let left_ms = cold_until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms));
            let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
            messages.push(FromRunsAgent::Cold { left_ms });
        }
        if !told.unlink && !*self.kept.borrow() {
            told.unlink = true;
            messages.push(FromRunsAgent::Unlink);
        }
        let revision = leased.configuration.lock().as_ref().map_or(0, |copy| copy.revision);
        if revision > self.entry_revision.load(Ordering::Acquire) && revision > told.revision {
            told.revision = revision;
            messages.push(FromRunsAgent::ConfigurationRevision { revision });
        }
        let lacking = leased.evacuations.lock().update_for_peer(&mut self.entry_evacuations.lock());
        messages.extend(lacking.map(FromRunsAgent::Evacuations));
        let now = Instant::now();
        if now >= told.cluster_at {
            told.cluster_at = now + BEAT;
            self.tell_cluster(told, messages);
        }
        let is_changed = told.load.is_none_or(|told| is_significant_change(&told, &load));
        let load_due = is_changed && now >= told.load_at;
        if reports.is_empty() && !load_due && now < told.beat_at {
            // A changed load is told after its pause.
            told.load_waits = is_changed;
            return;
        }
        let last = reports.last().map_or(told_up_to, |report| report.number);
        self.told_up_to.store(last, Ordering::Release);
        told.load = Some(load);
        told.load_at = now + LOAD_PAUSE;
        told.beat_at = now + BEAT;
        told.load_waits = false;
        let heard = self.heard.load(Ordering::Acquire);
        messages.push(FromRunsAgent::Report { heard, reports, load });
    }

    /// Tells what the agent knows of other entries, where it has changed. Looked at once in
    /// the time of a heartbeat, as many change at once when everything starts.
    fn tell_cluster(&self, told: &mut Told, messages: &mut Vec<FromRunsAgent>) {
        let cluster = self.leased.links.cluster();
        if told.cluster.as_ref() == Some(&cluster) {
            return;
        }
        let Cluster { connected, named, largest } = cluster.clone();
        messages.push(FromRunsAgent::Entries { connected, named });
        messages.push(FromRunsAgent::LargestCapacity(largest));
        told.cluster = Some(cluster);
    }
}

/// What an agent knows of all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Cluster {
    /// It is connected to them now.
    pub(super) connected: Vec<SocketAddr>,
    /// Its entries told it of them.
    pub(super) named: Vec<SocketAddr>,
    /// The most of each that an upstream of its pool has.
    pub(super) largest: Resources,
}

/// What was told on a connection, and when the next message is due.
struct Told {
    life: Option<UpstreamInstance>,
    cluster: Option<Cluster>,
    cluster_at: Instant,
    unlink: bool,
    /// Number of the last crash.
    crash: u64,
    cold_until_ms: Option<u64>,
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
            cluster: None,
            cluster_at: now,
            unlink: false,
            crash: 0,
            cold_until_ms: None,
            revision: 0,
            load: None,
            load_at: now,
            load_waits: false,
            beat_at: now,
        }
    }
}

impl Told {
    fn is_cold_news(&self, until_ms: Option<u64>) -> bool {
        match (self.cold_until_ms, until_ms) {
            (None, None) => false,
            (Some(told_ms), Some(until_ms)) => told_ms.abs_diff(until_ms) > COLD_NEWS_MS,
            _ => true,
        }
    }

    fn next_at(&self) -> Instant {
        if self.load_waits { self.load_at.min(self.beat_at) } else { self.beat_at }
    }
}

fn hello(leased: &LeasedAgent, last_entry: Option<Incarnation>) -> RunsHello {
    let ledger = leased.ledger.lock();
    RunsHello {
        agent: leased.incarnation,
        name: leased.settings.name.clone(),
        data_centre: leased.settings.data_centre.clone(),
        last_heard_entry: last_entry,
        held_runs: last_entry.map(|entry| ledger.held_runs(entry)).unwrap_or_default(),
        unconfirmed_reports: last_entry.map(|entry| ledger.reports(entry)).unwrap_or_default(),
        configuration_revision: leased
            .configuration
            .lock()
            .as_ref()
            .map_or(0, |copy| copy.revision),
    }
}

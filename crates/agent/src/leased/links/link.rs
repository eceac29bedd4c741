//! One connection to an entry.

use {
    super::super::LeasedAgent,
    parking_lot::Mutex,
    std::{
        collections::BTreeSet,
        fmt,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_decide::{ack_tracker::AckTracker, copies, ledger::is_significant_change},
    sycamorerail_telemetry::{build, event},
    sycamorerail_wire::{
        frames::{self, FrameError, FrameReader, FrameWriter},
        ids::Incarnation,
        runs::{
            CallerJobId, CopyPart, EntryAddress, Evacuations, FromRunsAgent, Resources, RunReport,
            RunsFirstMessage, RunsHello, StepPlacement, ToRunsAgent, UpstreamInstance,
            UpstreamLoad,
        },
    },
    tokio::{
        sync::{Notify, watch},
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// About fifty round trips between data centres. A VM without power never answers, so this
/// wait delays service after a site-wide power loss: 500 ms cost that much of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for the first message on a new connection.
const WELCOME_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest pause between load reports without run events on a link, so that one report
/// covers the start and the end of a short run. In a model of 55 entries and 240 upstreams,
/// 95.7 % of the most urgent jobs were in time with 10 ms and 91.5 % with 30 ms.
const MIN_LOAD_PAUSE: Duration = Duration::from_millis(10);

/// Smaller changes of the end of the upstream's slow phase are not sent, because the arrival
/// times of announcements vary.
const MIN_COLD_CHANGE_MS: u64 = 250;

/// How a connection ended.
#[derive(Debug)]
pub(super) enum LinkEnd {
    /// The connection broke.
    Broken(FrameError),
    /// The agent has not heard the entry for too long, or the entry has not heard the agent.
    Silent,
    /// The agent released the link, and no runs or reports of the entry were left.
    Released,
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::Silent => f.write_str("silent"),
            Self::Released => f.write_str("released"),
        }
    }
}

/// One connection to an entry.
pub(super) struct Link {
    agent: Arc<LeasedAgent>,
    peer: SocketAddr,
    /// Incarnation of the entry.
    pub(super) entry: Incarnation,
    /// Number of the hello that began it.
    hello: u64,
    acks: Mutex<AckTracker>,
    /// Number of messages received on this connection.
    heard: AtomicU64,
    /// Highest configuration revision that the entry is known to have.
    entry_revision: AtomicU64,
    /// Evacuations that the entry is known to have.
    entry_evacuations: Mutex<Evacuations>,
    /// Number of the last report sent on this connection.
    reported_up_to: AtomicU64,
    /// Replies about the configuration that wait for the writer.
    replies: Mutex<Vec<FromRunsAgent>>,
    /// Wakes the writer for a reply or the next request about the configuration.
    copies_changed: Notify,
    /// Whether the agent keeps the link.
    kept: watch::Receiver<bool>,
    /// The entry has confirmed that it places nothing more over this connection.
    unlinked: Notify,
}

impl Link {
    /// Connects, sends the hello and reads the welcome.
    pub(super) async fn open(
        agent: &Arc<LeasedAgent>,
        peer: SocketAddr,
        last_entry: Option<Incarnation>,
        kept: watch::Receiver<bool>,
    ) -> Result<(Self, FrameReader, FrameWriter), FrameError> {
        let (mut reader, mut writer) = frames::connect(peer, CONNECT_TIMEOUT).await?;
        let hello = hello(agent, last_entry);
        let last_report = hello.unconfirmed_reports.last().map_or(0, |report| report.number);
        let hello_ms = agent.clock.now_ms();
        let (held, number) = (hello.held_runs.clone(), hello.number);
        writer.push(&RunsFirstMessage::Agent(hello))?;
        writer.flush().await?;
        let first = timeout(WELCOME_TIMEOUT, reader.next::<ToRunsAgent>()).await;
        let first = first.map_err(|_| FrameError::Closed(peer))??;
        let ToRunsAgent::Welcome { entry, upstream } = first else {
            return Err(FrameError::Closed(peer));
        };
        agent.update_ledger(|ledger, _| {
            ledger.introduce_owner(entry, hello_ms);
            if last_entry == Some(entry) {
                ledger.report_missing_runs(entry, &held);
            }
        });
        event!(
            Info,
            "link_opened",
            build = build::code(),
            peer = peer,
            entry = entry,
            again = last_entry == Some(entry),
        );
        if let Some(instance) = upstream {
            agent.restore_upstream(instance);
        }
        let mut acks = AckTracker::new(hello_ms);
        acks.record_sent(hello_ms);
        let reported_up_to =
            AtomicU64::new(if last_entry == Some(entry) { last_report } else { 0 });
        let link = Self {
            agent: Arc::clone(agent),
            peer,
            entry,
            hello: number,
            acks: Mutex::new(acks),
            heard: AtomicU64::new(1),
            entry_revision: AtomicU64::new(0),
            entry_evacuations: Mutex::default(),
            reported_up_to,
            replies: Mutex::default(),
            copies_changed: Notify::new(),
            kept,
            unlinked: Notify::new(),
        };
        Ok((link, reader, writer))
    }

    /// Reads and writes until the connection ends or falls silent.
    pub(super) async fn run(&self, reader: FrameReader, writer: FrameWriter) -> LinkEnd {
        tokio::select! {
            error = self.read_messages(reader) => LinkEnd::Broken(error),
            error = self.write_messages(writer) => LinkEnd::Broken(error),
            () = self.wait_silent() => LinkEnd::Silent,
            () = self.wait_released() => LinkEnd::Released,
        }
    }

    /// Waits until the entry places nothing more here and no runs or reports of it are left.
    async fn wait_released(&self) {
        let mut changes = self.agent.changes.subscribe();
        self.unlinked.notified().await;
        while !self.agent.ledger.lock().is_owner_settled(self.entry) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until the entry has been silent for too long. After a suspension of the VM the
    /// ledger may drop the entry first: timers stood still, and messages read now are old.
    async fn wait_silent(&self) {
        let mut dropped = self.agent.dropped_owners.subscribe();
        loop {
            let confirmed_ms = self.acks.lock().acked_sent_ms();
            let silence_ms = self.agent.settings.limits.owner_timeout_ms;
            let left_ms = (confirmed_ms + silence_ms).saturating_sub(self.agent.clock.now_ms());
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

    async fn read_messages(&self, mut reader: FrameReader) -> FrameError {
        loop {
            match reader.next().await {
                Ok(message) => self.handle(message),
                Err(error) => return error,
            }
        }
    }

    fn handle(&self, message: ToRunsAgent) {
        self.heard.fetch_add(1, Ordering::AcqRel);
        let agent = &self.agent;
        match message {
            ToRunsAgent::Welcome { .. } => {}
            ToRunsAgent::Members(entries) => {
                agent.links.set_listed_by(self.peer, entries, agent.clock.now_ms());
            }
            ToRunsAgent::Place(placement) => self.place(placement),
            ToRunsAgent::Stop(job) => {
                agent.update_ledger(|ledger, _| ledger.stop_job(self.entry, job));
            }
            ToRunsAgent::JobMostlyStarted { job, give_up_in_ms } => {
                agent.update_ledger(|ledger, now_ms| {
                    ledger.prioritise_job(self.entry, job, give_up_in_ms, now_ms);
                });
            }
            ToRunsAgent::Withdraw(tasks) => agent.update_ledger(|ledger, _| {
                tasks.into_iter().for_each(|task| ledger.withdraw_task(self.entry, task));
            }),
            ToRunsAgent::OldJobs { held, over } => {
                agent.update_old_jobs(self.entry, held, &over);
            }
            ToRunsAgent::Unlinked => self.unlinked.notify_one(),
            ToRunsAgent::Heartbeat { heard, confirmed, agents, largest } => {
                agent.links.update_from_heartbeat(self.peer, agents, &largest);
                let mut acks = self.acks.lock();
                acks.record_ack(heard);
                let heard_ms = acks.last_ack_sent_ms();
                drop(acks);
                let mut ledger = agent.ledger.lock();
                if let Some(heard_ms) = heard_ms {
                    ledger.note_owner_contact(self.entry, heard_ms);
                }
                ledger.confirm_reports(self.entry, confirmed);
            }
            ToRunsAgent::Configuration(copy) => {
                self.entry_revision.fetch_max(copy.revision, Ordering::AcqRel);
                agent.hold_configuration(copy);
            }
            ToRunsAgent::ConfigurationRevision { revision } => self.add_copy_source(revision),
            ToRunsAgent::ConfigurationPart(part) => self.take_part(&part),
            ToRunsAgent::RequestConfigurationPart(request) => {
                let held = agent.configuration.lock();
                let part = held.as_ref().map(|copy| copies::part(copy, request));
                self.reply(part.map(FromRunsAgent::ConfigurationPart));
            }
            ToRunsAgent::RequestConfiguration => {
                let held = agent.configuration.lock().clone();
                self.reply(held.map(FromRunsAgent::Configuration));
            }
            ToRunsAgent::Evacuations(received) => {
                self.entry_evacuations.lock().clone_from(&received);
                agent.apply_evacuations(&received);
            }
            ToRunsAgent::Crashes(received) => agent.update_ledger(|ledger, now_ms| {
                ledger.learn_crashes(&received, agent.incarnation, now_ms);
            }),
        }
    }

    fn place(&self, placement: StepPlacement) {
        self.agent.update_ledger(|ledger, now_ms| {
            ledger.place_over(self.entry, self.hello, placement, now_ms);
        });
    }

    /// Takes note of the configuration that the entry holds, to fetch it if it is newer.
    fn add_copy_source(&self, revision: u64) {
        self.entry_revision.fetch_max(revision, Ordering::AcqRel);
        self.agent.copies.lock().add_source(self.entry, revision, self.agent.clock.now_ms());
        self.copies_changed.notify_one();
    }

    fn take_part(&self, part: &CopyPart) {
        let now_ms = self.agent.clock.now_ms();
        let complete = self.agent.copies.lock().handle_part(self.entry, part, now_ms);
        if let Some(copy) = complete {
            self.agent.hold_configuration(copy);
        }
        self.copies_changed.notify_one();
    }

    fn reply(&self, reply: Option<FromRunsAgent>) {
        self.replies.lock().extend(reply);
        self.copies_changed.notify_one();
    }

    async fn write_messages(&self, mut writer: FrameWriter) -> FrameError {
        let mut changes = self.agent.changes.subscribe();
        let mut kept = self.kept.clone();
        let mut sent = SentState { heartbeat_at: Instant::now(), ..SentState::default() };
        loop {
            if let Err(error) = self.write_due(&mut writer, &mut sent).await {
                return error;
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = self.copies_changed.notified() => {}
                Ok(()) = kept.changed() => {}
                () = sleep_until(self.next_at(&sent)) => {}
            }
        }
    }

    /// Returns when the writer has something to send if nothing changes.
    fn next_at(&self, sent: &SentState) -> Instant {
        let request_ms = self.agent.copies.lock().next_request_ms(self.entry);
        let wait = |request_ms: u64| {
            Duration::from_millis(request_ms.saturating_sub(self.agent.clock.now_ms()))
        };
        let request_at = request_ms.map(|request_ms| Instant::now() + wait(request_ms));
        request_at.map_or(sent.next_at(), |request_at| request_at.min(sent.next_at()))
    }

    async fn write_due(
        &self,
        writer: &mut FrameWriter,
        sent: &mut SentState,
    ) -> Result<(), FrameError> {
        let mut messages = Vec::new();
        self.collect_due(sent, &mut messages);
        messages.append(&mut self.replies.lock());
        let request = self.agent.copies.lock().request(self.entry, self.agent.clock.now_ms());
        messages.extend(request.map(FromRunsAgent::RequestConfigurationPart));
        if messages.is_empty() {
            return Ok(());
        }
        for message in &messages {
            self.acks.lock().record_sent(self.agent.clock.now_ms());
            writer.push(message)?;
        }
        writer.flush().await
    }

    /// Collects the messages that are due for the entry.
    fn collect_due(&self, sent: &mut SentState, messages: &mut Vec<FromRunsAgent>) {
        let agent = &self.agent;
        let ledger = agent.ledger.lock();
        let reported_up_to = self.reported_up_to.load(Ordering::Acquire);
        let reports = ledger.reports(self.entry);
        let reports: Vec<RunReport> =
            reports.into_iter().filter(|report| report.number > reported_up_to).collect();
        let load = ledger.load(agent.clock.now_ms());
        let instance = ledger.proven_instance().cloned();
        let now_ms = agent.clock.now_ms();
        let (crashes, last_crash) = ledger.crashes_after(sent.crash, agent.incarnation, now_ms);
        let cold_until_ms = ledger.cold_until_ms(now_ms);
        drop(ledger);
        sent.crash = last_crash;
        if !crashes.is_empty() {
            messages.push(FromRunsAgent::Crashes(crashes));
        }
        if instance.is_some() && sent.instance != instance {
            sent.instance.clone_from(&instance);
            messages.extend(instance.map(FromRunsAgent::Upstream));
        }
        if sent.is_cold_changed(cold_until_ms) {
            sent.cold_until_ms = cold_until_ms;
            let left_ms = cold_until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms));
            let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
            messages.push(FromRunsAgent::Cold { left_ms });
        }
        if !sent.unlink_sent && !*self.kept.borrow() {
            sent.unlink_sent = true;
            messages.push(FromRunsAgent::Unlink);
        }
        let revision = agent.configuration_revision();
        if revision > self.entry_revision.load(Ordering::Acquire) && revision > sent.revision {
            sent.revision = revision;
            messages.push(FromRunsAgent::ConfigurationRevision { revision });
        }
        let update = agent.evacuations.lock().update_for_peer(&mut self.entry_evacuations.lock());
        messages.extend(update.map(FromRunsAgent::Evacuations));
        let heartbeat = Duration::from_millis(agent.settings.limits.heartbeat_ms());
        let now = Instant::now();
        if now >= sent.cluster_at {
            sent.cluster_at = now + heartbeat;
            self.push_cluster(sent, messages);
        }
        let is_changed = sent.load.is_none_or(|sent_load| is_significant_change(&sent_load, &load));
        let load_due = is_changed && now >= sent.load_at;
        if reports.is_empty() && !load_due && now < sent.heartbeat_at {
            // The changed load is sent after the pause.
            sent.load_waits = is_changed;
            return;
        }
        messages.extend(sent.update_jobs_of_others(agent.jobs_of_others(self.entry)));
        let last = reports.last().map_or(reported_up_to, |report| report.number);
        self.reported_up_to.store(last, Ordering::Release);
        sent.load = Some(load);
        sent.load_at = now + MIN_LOAD_PAUSE;
        sent.heartbeat_at = now + heartbeat;
        sent.load_waits = false;
        let heard = self.heard.load(Ordering::Acquire);
        messages.push(FromRunsAgent::Report { heard, reports, load });
    }

    /// Adds what the agent knows about other entries if it has changed. Checked only once per
    /// heartbeat interval, because many changes come together when a cluster starts.
    fn push_cluster(&self, sent: &mut SentState, messages: &mut Vec<FromRunsAgent>) {
        let cluster = self.agent.links.cluster();
        if sent.cluster.as_ref() == Some(&cluster) {
            return;
        }
        let Cluster { connected, named, largest } = cluster.clone();
        messages.push(FromRunsAgent::Entries { connected, named });
        messages.push(FromRunsAgent::LargestCapacity(largest));
        sent.cluster = Some(cluster);
    }
}

/// What an agent knows about all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Cluster {
    /// Entries to which the agent is connected.
    pub(super) connected: Vec<SocketAddr>,
    /// Entries that the connected entries list.
    pub(super) named: Vec<EntryAddress>,
    /// Largest capacity, per resource, of any upstream in the agent's pool.
    pub(super) largest: Resources,
}

/// What was sent on a connection, and when the next message is due.
struct SentState {
    instance: Option<UpstreamInstance>,
    cluster: Option<Cluster>,
    cluster_at: Instant,
    unlink_sent: bool,
    /// Number of the last crash that was sent.
    crash: u64,
    cold_until_ms: Option<u64>,
    jobs_of_others: BTreeSet<CallerJobId>,
    revision: u64,
    load: Option<UpstreamLoad>,
    load_at: Instant,
    load_waits: bool,
    heartbeat_at: Instant,
}

impl Default for SentState {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            instance: None,
            cluster: None,
            cluster_at: now,
            unlink_sent: false,
            crash: 0,
            cold_until_ms: None,
            jobs_of_others: BTreeSet::new(),
            revision: 0,
            load: None,
            load_at: now,
            load_waits: false,
            heartbeat_at: now,
        }
    }
}

impl SentState {
    /// Returns the message that tells the entry of these jobs, if any have changed.
    fn update_jobs_of_others(&mut self, jobs: BTreeSet<CallerJobId>) -> Option<FromRunsAgent> {
        if self.jobs_of_others == jobs {
            return None;
        }
        let held = jobs.difference(&self.jobs_of_others).copied().collect();
        let over = self.jobs_of_others.difference(&jobs).copied().collect();
        self.jobs_of_others = jobs;
        Some(FromRunsAgent::JobsOfOthers { held, over })
    }

    fn is_cold_changed(&self, until_ms: Option<u64>) -> bool {
        match (self.cold_until_ms, until_ms) {
            (None, None) => false,
            (Some(sent_ms), Some(until_ms)) => sent_ms.abs_diff(until_ms) > MIN_COLD_CHANGE_MS,
            _ => true,
        }
    }

    fn next_at(&self) -> Instant {
        if self.load_waits { self.load_at.min(self.heartbeat_at) } else { self.heartbeat_at }
    }
}

fn hello(agent: &LeasedAgent, last_entry: Option<Incarnation>) -> RunsHello {
    let mut ledger = agent.ledger.lock();
    // Under the ledger's lock, so that hellos list runs in the order of their numbers.
    let number = agent.hellos.fetch_add(1, Ordering::AcqRel) + 1;
    let held_runs = last_entry.map(|entry| ledger.hold_for_hello(entry, number));
    RunsHello {
        agent: agent.incarnation,
        name: agent.settings.name.clone(),
        data_centre: agent.settings.data_centre.clone(),
        last_heard_entry: last_entry,
        held_runs: held_runs.unwrap_or_default(),
        unconfirmed_reports: last_entry.map(|entry| ledger.reports(entry)).unwrap_or_default(),
        configuration_revision: agent.configuration_revision(),
        number,
    }
}

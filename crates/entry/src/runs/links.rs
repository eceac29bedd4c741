//! Connections of agents to this entry.

use {
    super::{JobService, claims, query},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        fmt,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_decide::{
        copies,
        dispatch::{AgentKey, Dispatch, PoolView},
        receipts::Receipts,
    },
    sycamorerail_telemetry::{build, event},
    sycamorerail_wire::{
        frames::{self, FrameError, FrameReader, FrameWriter},
        runs::{
            ConfigurationCopy, CopyPart, CopyPartRequest, Evacuations, FromRunsAgent,
            RunsFirstMessage, RunsHello, TaskCrashes, ToRunsAgent,
        },
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Longest wait for an agent's first message.
const HELLO_WITHIN: Duration = Duration::from_secs(2);
/// Pause after an accept that failed, as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// From the first heartbeat of a link to the second one, which acknowledges the agent's hello.
const SECOND_BEAT: Duration = Duration::from_millis(60);
/// An agent that was not heard for this long is disconnected.
const SILENCE_MS: u64 = 2_500;

/// Present connections by agent.
#[derive(Default)]
pub(super) struct Links(Mutex<HashMap<AgentKey, Arc<Outbox>>>);

impl Links {
    /// Queues a message; returns whether there is a connection.
    pub(super) fn send(&self, agent: AgentKey, message: ToRunsAgent) -> bool {
        let links = self.0.lock();
        let Some(outbox) = links.get(&agent) else { return false };
        outbox.push(message);
        true
    }

    /// Queues a message on all connections.
    fn tell_all(&self, dispatch: &mut Dispatch, message: &ToRunsAgent, now_ms: u64) {
        for (&agent, outbox) in &*self.0.lock() {
            dispatch.message_sent(agent, None, now_ms);
            outbox.push(message.clone());
        }
    }

    /// Forgets a connection if it is the present one; returns whether it was.
    fn end(&self, agent: AgentKey, outbox: &Arc<Outbox>) -> bool {
        let mut links = self.0.lock();
        let is_present = links.get(&agent).is_some_and(|present| Arc::ptr_eq(present, outbox));
        if is_present {
            links.remove(&agent);
        }
        is_present
    }

    fn is_present(&self, agent: AgentKey, outbox: &Arc<Outbox>) -> bool {
        self.0.lock().get(&agent).is_some_and(|present| Arc::ptr_eq(present, outbox))
    }
}

/// Messages on their way to an agent over one connection.
#[derive(Default)]
struct Outbox {
    messages: Mutex<Vec<ToRunsAgent>>,
    filled: Notify,
    replaced: Notify,
}

impl Outbox {
    fn push(&self, message: ToRunsAgent) {
        self.messages.lock().push(message);
        self.filled.notify_one();
    }
}

/// Takes connections for as long as the entry runs.
pub(super) async fn accept(service: Arc<JobService>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve(Arc::clone(&service), stream, peer));
            }
            Err(error) => {
                event!(Warn, "accept_failed", error = error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(service: Arc<JobService>, stream: TcpStream, peer: SocketAddr) {
    let (mut reader, writer) = frames::split(stream, peer);
    let first = timeout(HELLO_WITHIN, reader.next::<RunsFirstMessage>()).await;
    let hello = match first {
        Ok(Ok(RunsFirstMessage::Agent(hello))) => hello,
        Ok(Ok(RunsFirstMessage::Entry(query))) => {
            return query::answer(&service, query, peer, writer).await;
        }
        Ok(Ok(RunsFirstMessage::Claimant(hello))) => {
            return claims::answer(&service, hello, peer, reader, writer).await;
        }
        Ok(Err(error)) => return event!(Info, "hello_lost", peer = peer, error = error),
        Err(_) => return event!(Info, "hello_late", peer = peer),
    };
    let Some(link) = Link::begin(&service, peer, hello) else { return };
    let end = link.run(reader, writer).await;
    link.end(&end);
}

/// How a connection ended.
#[derive(Debug)]
enum LinkEnd {
    /// It broke, or the agent closed it.
    Broken(FrameError),
    /// The agent was silent for too long.
    Silent,
    /// The agent has made another one.
    Replaced,
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::Silent => f.write_str("silent"),
            Self::Replaced => f.write_str("replaced"),
        }
    }
}

/// What went over a connection, for the log of its end.
struct LinkTraffic {
    /// When the last message was heard.
    heard_ms: AtomicU64,
    /// Number of messages that were sent.
    sent: AtomicU64,
    /// Number of those that the agent has said to have read.
    read_by_agent: AtomicU64,
}

impl LinkTraffic {
    fn new(now_ms: u64) -> Self {
        let none = || AtomicU64::new(0);
        Self { heard_ms: AtomicU64::new(now_ms), sent: none(), read_by_agent: none() }
    }
}

/// One connection of an agent.
struct Link {
    service: Arc<JobService>,
    peer: SocketAddr,
    agent: AgentKey,
    name: String,
    outbox: Arc<Outbox>,
    /// Messages heard on this connection.
    heard: Mutex<Receipts>,
    traffic: LinkTraffic,
    /// Highest number of a report taken note of.
    confirmed: AtomicU64,
    /// Highest revision of the configuration that the agent holds or was told of.
    agent_revision: AtomicU64,
    /// Evacuations that the agent is known to hold, so that each list goes over a link once.
    agent_evacuations: Mutex<Evacuations>,
}

/// Logs a connection of an agent, and how long it may have waited before it was read.
fn log_agent(service: &JobService, hello: &RunsHello, peer: SocketAddr) {
    event!(
        Info,
        "agent_connected",
        build = build::code(),
        agent = hello.name,
        peer = peer,
        run = hello.agent,
        held = hello.held_runs.len(),
        waited_ms = service.unhandled_ms(),
    );
}

impl Link {
    /// Makes this the agent's connection, unless its hello was overtaken by a later one.
    fn begin(service: &Arc<JobService>, peer: SocketAddr, hello: RunsHello) -> Option<Self> {
        let outbox = Arc::new(Outbox::default());
        let same = hello.last_heard_entry == Some(service.incarnation);
        let held = same.then_some(&*hello.held_runs);
        let agent = service.change(|dispatch, now_ms| {
            if dispatch.is_hello_overtaken(&hello.name, hello.agent, hello.number) {
                return None;
            }
            if same {
                // What became of runs goes before what is held no more.
                dispatch.apply_resent_reports(
                    &hello.name,
                    hello.agent,
                    &hello.unconfirmed_reports,
                    now_ms,
                );
            }
            let agent = dispatch.agent_connected(&hello.name, hello.agent, held, now_ms);
            dispatch.set_hello(agent, hello.number);
            dispatch.set_data_centre(agent, &hello.data_centre);
            dispatch.agent_ready(agent, now_ms);
            service.told_jobs.lock().remove(&agent);
            // The present messages of the dispatch belong to this connection.
            let before = service.links.0.lock().insert(agent, Arc::clone(&outbox));
            if let Some(before) = before {
                before.replaced.notify_one();
            }
            let upstream = dispatch.instance(agent).cloned();
            dispatch.message_sent(agent, None, now_ms);
            outbox.push(ToRunsAgent::Welcome { entry: service.incarnation, upstream });
            Some(agent)
        });
        let Some(agent) = agent else {
            event!(Info, "hello_overtaken", agent = hello.name, peer = peer, run = hello.agent);
            return None;
        };
        log_agent(service, &hello, peer);
        let confirmed =
            if same { hello.unconfirmed_reports.last().map_or(0, |last| last.number) } else { 0 };
        // What was requested on the connection before is lost with it.
        service.copies.lock().remove_source(agent);
        service.add_copy_source(agent, &hello.name, hello.configuration_revision);
        let mut heard = Receipts::default();
        heard.record(service.passes());
        Some(Self {
            service: Arc::clone(service),
            peer,
            agent,
            name: hello.name,
            outbox,
            heard: Mutex::new(heard),
            traffic: LinkTraffic::new(service.now_ms()),
            confirmed: AtomicU64::new(confirmed),
            agent_revision: AtomicU64::new(hello.configuration_revision),
            agent_evacuations: Mutex::default(),
        })
    }

    fn end(&self, end: &LinkEnd) {
        // Under the dispatch's lock, as a connection begins: one that begins meanwhile would
        // count as ended with this one.
        let silent_ms = self.service.change(|dispatch, now_ms| {
            if self.service.links.end(self.agent, &self.outbox) {
                self.service.forget_linked(self.agent);
                self.service.told_jobs.lock().remove(&self.agent);
                self.service.copies.lock().remove_source(self.agent);
                dispatch.agent_disconnected(self.agent);
            }
            // Of this connection: the agent may have been heard on the next one.
            now_ms.saturating_sub(self.traffic.heard_ms.load(Ordering::Relaxed))
        });
        let queued =
            self.traffic.sent.load(Ordering::Relaxed) + self.outbox.messages.lock().len() as u64;
        let unread = queued.saturating_sub(self.traffic.read_by_agent.load(Ordering::Relaxed));
        let now_ms = self.service.now_ms();
        event!(
            Info,
            "agent_disconnected",
            build = build::code(),
            agent = self.name,
            up_ms = now_ms,
            voters_number = self.service.voters_number(),
            has_vote = self.service.may_vote(now_ms),
            silent_ms = silent_ms,
            unread = unread,
            peer = self.peer,
            error = end,
        );
    }

    async fn run(&self, reader: FrameReader, writer: FrameWriter) -> LinkEnd {
        tokio::select! {
            end = self.read_on(reader) => end,
            error = self.write_on(writer) => LinkEnd::Broken(error),
            () = self.outbox.replaced.notified() => LinkEnd::Replaced,
        }
    }

    async fn read_on(&self, mut reader: FrameReader) -> LinkEnd {
        loop {
            let next = timeout(Duration::from_millis(SILENCE_MS), reader.next()).await;
            match next {
                Ok(Ok(message)) => self.take(message),
                Ok(Err(error)) => return LinkEnd::Broken(error),
                Err(_) => return LinkEnd::Silent,
            }
        }
    }

    /// Records that a message of this kind has arrived. Returns whether this is the agent's present
    /// connection.
    fn note_heard(&self, message: &'static str) -> bool {
        self.traffic.heard_ms.store(self.service.now_ms(), Ordering::Relaxed);
        let heard = self.update(|dispatch, now_ms| {
            dispatch.agent_heard(self.agent, message, now_ms);
        });
        // Not before: an acknowledged message must have put off the loss of the agent.
        self.heard.lock().record(self.service.passes());
        heard.is_some()
    }

    fn take(&self, message: FromRunsAgent) {
        if !self.note_heard(message.name()) {
            return;
        }
        match message {
            FromRunsAgent::Report { heard, reports, load } => {
                self.traffic.read_by_agent.store(heard, Ordering::Relaxed);
                let last = reports.last().map_or(0, |report| report.number);
                self.confirmed.fetch_max(last, Ordering::AcqRel);
                self.change(|dispatch, now_ms| {
                    dispatch.handle_report(self.agent, &reports, load, heard, now_ms);
                });
            }
            FromRunsAgent::Upstream(life) => {
                event!(
                    Info,
                    "upstream_told",
                    agent = self.name,
                    life = life.id,
                    leaving = life.leaving
                );
                self.change(|dispatch, _| dispatch.set_instance(self.agent, life));
            }
            FromRunsAgent::Entries { connected, named } => {
                self.service.set_linked(self.agent, connected, named);
            }
            FromRunsAgent::LargestCapacity(room) => {
                self.change(|dispatch, _| dispatch.raise_largest_capacity(self.agent, room));
            }
            FromRunsAgent::Unlink => {
                event!(Info, "agent_unlinks", agent = self.name);
                self.change(|dispatch, _| dispatch.agent_unlinks(self.agent));
                self.tell(ToRunsAgent::Unlinked);
            }
            FromRunsAgent::Configuration(copy) => {
                count_copied("received", copy.value.len());
                self.hold_configuration(copy);
            }
            FromRunsAgent::ConfigurationPart(part) => self.take_configuration_part(&part),
            FromRunsAgent::RequestConfigurationPart(request) => {
                self.tell_configuration_part(request);
            }
            FromRunsAgent::Evacuations(told) => {
                self.agent_evacuations.lock().clone_from(&told);
                self.service.hold_evacuations(&told);
            }
            FromRunsAgent::ConfigurationRevision { revision } => {
                self.agent_revision.fetch_max(revision, Ordering::AcqRel);
                self.service.add_copy_source(self.agent, &self.name, revision);
            }
            FromRunsAgent::JobsOfOthers { held, over } => {
                self.change(|dispatch, _| {
                    dispatch.update_jobs_of_others(self.agent, held, &over);
                });
            }
            FromRunsAgent::Cold { left_ms } => self.take_cold(left_ms),
            FromRunsAgent::Crashes(told) => self.take_crashes(&told),
        }
    }

    /// Updates the dispatch if this is the agent's present connection. Connections are replaced
    /// under the same lock, so that no message counts as one of the next connection, which may be
    /// that of a restarted agent.
    fn update<T>(&self, update: impl FnOnce(&mut Dispatch, u64) -> T) -> Option<T> {
        let mut dispatch = self.service.dispatch.lock();
        let is_present = self.service.links.is_present(self.agent, &self.outbox);
        is_present.then(|| update(&mut dispatch, self.service.clock.now_ms()))
    }

    /// Like [`Self::update`], and carries out what the dispatch decides.
    fn change(&self, change: impl FnOnce(&mut Dispatch, u64)) {
        if self.update(change).is_some() {
            self.service.act();
        }
    }

    fn take_cold(&self, left_ms: u32) {
        self.change(|dispatch, now_ms| dispatch.set_cold(self.agent, left_ms, now_ms));
        event!(Info, "upstream_cold", agent = self.name, left_ms = left_ms);
    }

    /// Takes note of crashes, and has all agents tell other entries of suspects.
    fn take_crashes(&self, told: &[TaskCrashes]) {
        event!(Info, "crashes_told", agent = self.name, tasks = told.len());
        let service = &self.service;
        service.change(|dispatch, now_ms| {
            let suspects = dispatch.record_crash_reports(told, now_ms);
            if !suspects.is_empty() {
                service.links.tell_all(dispatch, &ToRunsAgent::Crashes(suspects), now_ms);
            }
        });
    }

    async fn write_on(&self, mut writer: FrameWriter) -> FrameError {
        let mut members = self.service.members.subscribe();
        members.mark_changed();
        let mut evacuations = self.service.evacuations.subscribe();
        // Members are told with heartbeats: as everything starts each entry is new.
        let heartbeat = Duration::from_millis(self.service.settings.limits.heartbeat_ms);
        let mut beats = tokio::time::interval(heartbeat);
        let mut is_first = true;
        loop {
            if let Err(error) = self.write(&mut writer).await {
                return error;
            }
            tokio::select! {
                () = self.outbox.filled.notified() => {}
                Ok(()) = evacuations.changed() => self.tell_evacuations(),
                _ = beats.tick() => {
                    if std::mem::take(&mut is_first) {
                        beats.reset_after(SECOND_BEAT);
                    }
                    if members.has_changed().unwrap_or(false) {
                        let known = members.borrow_and_update().clone();
                        self.tell(ToRunsAgent::Members(known));
                    }
                    self.beat();
                }
            }
        }
    }

    async fn write(&self, writer: &mut FrameWriter) -> Result<(), FrameError> {
        let messages = std::mem::take(&mut *self.outbox.messages.lock());
        if messages.is_empty() {
            return Ok(());
        }
        self.traffic.sent.fetch_add(messages.len() as u64, Ordering::Relaxed);
        for message in &messages {
            writer.push(message)?;
        }
        writer.flush().await
    }

    /// Queues a message in the order in which the dispatch counts them.
    fn tell(&self, message: ToRunsAgent) {
        let mut dispatch = self.service.dispatch.lock();
        if self.service.links.is_present(self.agent, &self.outbox) {
            dispatch.message_sent(self.agent, None, self.service.clock.now_ms());
            self.outbox.push(message);
        }
    }

    /// Queues the evacuations in force, if the agent lacks them.
    fn tell_evacuations(&self) {
        let held = &self.service.evacuations;
        let lacking = held.borrow().update_for_peer(&mut self.agent_evacuations.lock());
        if let Some(evacuations) = lacking {
            self.tell(ToRunsAgent::Evacuations(evacuations));
        }
    }

    /// Queues a heartbeat, and what the agent lacks of the evacuations or this entry of the
    /// configuration.
    fn beat(&self) {
        let heard = self.heard.lock().acknowledgeable(self.service.passes());
        let confirmed = self.confirmed.load(Ordering::Acquire);
        let PoolView { agents, largest } = self.service.dispatch.lock().pool_view(self.agent);
        self.tell(ToRunsAgent::Heartbeat { heard, confirmed, agents, largest });
        self.tell_evacuations();
        self.tell_configuration_revision();
        self.request_configuration_part();
    }

    fn hold_configuration(&self, copy: ConfigurationCopy) {
        let revision = copy.revision;
        event!(Info, "configuration_from_agent", agent = self.name, revision = revision);
        self.service.hold_configuration(copy);
    }

    /// Tells the agent which configuration this entry holds, if it is newer than the agent's.
    fn tell_configuration_revision(&self) {
        let held = self.service.configuration.borrow().as_ref().map_or(0, |held| held.revision);
        if held > self.agent_revision.fetch_max(held, Ordering::AcqRel) {
            self.tell(ToRunsAgent::ConfigurationRevision { revision: held });
        }
    }

    /// Asks the agent for the next part of a newer configuration, if it is the agent's turn.
    fn request_configuration_part(&self) {
        let now_ms = self.service.now_ms();
        let request = self.service.copies.lock().request(self.agent, now_ms);
        if let Some(request) = request {
            metrics::counter!("sycamorerail_configuration_requests_total").increment(1);
            self.tell(ToRunsAgent::RequestConfigurationPart(request));
        }
    }

    fn take_configuration_part(&self, part: &CopyPart) {
        count_copied("received", part.text.len());
        let now_ms = self.service.now_ms();
        let complete = self.service.copies.lock().handle_part(self.agent, part, now_ms);
        if let Some(copy) = complete {
            self.hold_configuration(copy);
        }
        self.request_configuration_part();
    }

    fn tell_configuration_part(&self, request: CopyPartRequest) {
        let held = self.service.configuration.borrow().clone();
        if let Some(held) = held {
            let part = copies::part(&held, request);
            count_copied("sent", part.text.len());
            self.tell(ToRunsAgent::ConfigurationPart(part));
        }
    }
}

/// Counts bytes of configurations that went to agents or came from them.
fn count_copied(way: &'static str, bytes: usize) {
    metrics::counter!("sycamorerail_configuration_copied_bytes_total", "way" => way)
        .increment(bytes as u64);
}

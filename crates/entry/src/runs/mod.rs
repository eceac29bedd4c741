//! Jobs under their callers' own ids, run by agents of leased runs.
//!
//! [`JobService`] takes jobs, answers them and acts on what the dispatch decides;
//! [`links`] serves the agents' connections, [`query`] asks other entries about
//! jobs that are not here.

mod claims;
mod cluster;
mod evacuation;
mod links;
mod old_jobs;
mod query;
mod voters;

pub use query::Held;

use {
    claims::ClaimLinks,
    cluster::{AgentsEntries, Cluster},
    old_jobs::{SharedJobs, ToldJobs},
    parking_lot::Mutex,
    rand::Rng,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_clock::{Clock, lag::StallMeter},
    sycamorerail_decide::{
        copies::{CopyFetch, FetchLimits},
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobForecast, JobKey,
            JobRequest, NoResultReason, RunLoss, STOP_ANSWER_MS, ShedCause, returns::ReturnCounts,
        },
    },
    sycamorerail_telemetry::{build, event},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, ConfigurationCopy, EntryAddress, Evacuations, PRIORITY_CLASSES,
            StepPlacement, TaskKey, ToRunsAgent,
        },
    },
    tokio::{
        net::TcpListener,
        sync::{oneshot, watch},
    },
    voters::Voters,
};

/// Pause between looks at what is due by time. Events place tasks; only
/// time-outs wait for it.
const TICK: Duration = Duration::from_millis(20);
/// How a newer configuration is fetched from agents: without pauses, once the platform has had
/// time to bring it.
const COPY_LIMITS: FetchLimits =
    FetchLimits { part_timeout_ms: 1_000, head_start_ms: 500, pause_factor: 0 };
/// Agents without a connection for this long are forgotten.
const FORGET_AGENTS_MS: u64 = 60_000;
/// Jobs that are given up for a planned stop have their answers within this: the decision's
/// own time and the look at what is due.
pub const STOP_ANSWER: Duration = Duration::from_millis(STOP_ANSWER_MS).saturating_add(TICK);

/// What a service needs to know.
#[derive(Clone, Debug)]
pub struct JobServiceSettings {
    /// Name, the same over restarts.
    pub name: String,
    /// Figures of the dispatch.
    pub limits: DispatchLimits,
    /// Own inner address, as other entries know it.
    pub own: SocketAddr,
    /// Name of the data centre of this entry.
    pub data_centre: String,
}

impl JobServiceSettings {
    fn own_entry(&self) -> EntryAddress {
        EntryAddress { address: self.own, data_centre: self.data_centre.clone() }
    }
}

/// Where a request comes from, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestSource {
    /// The caller's end of its connection.
    pub peer: Option<SocketAddr>,
    /// Time since the connection was accepted, in milliseconds.
    pub connection_ms: u64,
    /// Time for which the request may have waited in a process that stood still, in milliseconds.
    pub waited_ms: u64,
}

/// Takes jobs and answers them.
pub struct JobService {
    pub(crate) settings: JobServiceSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) dispatch: Mutex<Dispatch>,
    links: links::Links,
    /// The newest configuration held, to pass on.
    pub(crate) configuration: watch::Sender<Option<Arc<ConfigurationCopy>>>,
    /// Transfer of a newer configuration from agents.
    copies: Mutex<CopyFetch<AgentKey>>,
    /// Evacuated data centres in force, to pass on.
    pub(crate) evacuations: watch::Sender<Evacuations>,
    cluster: Mutex<Cluster>,
    /// Wakes when what is known of other entries has changed.
    cluster_changes: watch::Sender<()>,
    /// Inner addresses of entries that are surely there, for agents: those of the roster
    /// and those that agents are connected to.
    pub(crate) members: watch::Sender<Vec<EntryAddress>>,
    /// Entries among which each job's holders of claims are chosen.
    voters: Voters,
    waiters: Mutex<HashMap<JobKey, oneshot::Sender<JobAnswer>>>,
    /// Old jobs that each connected agent was told of. Locked after the dispatch.
    told_jobs: Mutex<ToldJobs>,
    /// Claims on jobs, of this entry and of others.
    claims: ClaimLinks,
    /// Number of passes over what is due by time, without those at which claims were unconfirmed.
    passes: AtomicU64,
    /// Whether a planned stop has answered all jobs.
    stopped: watch::Sender<bool>,
}

impl JobService {
    /// Starts one that serves agents on this listener, on the present
    /// runtime.
    #[must_use]
    pub fn start(settings: JobServiceSettings, listener: TcpListener) -> Arc<Self> {
        Self::start_with(settings, listener, Clock::start())
    }

    /// The same with a clock of the caller's.
    #[must_use]
    pub fn start_with(
        settings: JobServiceSettings,
        listener: TcpListener,
        clock: Clock,
    ) -> Arc<Self> {
        Self::start_on(settings, listener, clock, |_| {})
    }

    /// The same with what has to be done before other entries and agents are answered.
    #[must_use]
    pub fn start_prepared(
        settings: JobServiceSettings,
        listener: TcpListener,
        prepare: impl FnOnce(&Self),
    ) -> Arc<Self> {
        Self::start_on(settings, listener, Clock::start(), prepare)
    }

    fn start_on(
        settings: JobServiceSettings,
        listener: TcpListener,
        clock: Clock,
        prepare: impl FnOnce(&Self),
    ) -> Arc<Self> {
        let incarnation = Incarnation(rand::rng().random());
        let service = Arc::new(Self {
            dispatch: Mutex::new(Dispatch::new(settings.limits, incarnation)),
            incarnation,
            clock,
            links: links::Links::default(),
            configuration: watch::Sender::new(None),
            copies: Mutex::new(CopyFetch::new(COPY_LIMITS)),
            evacuations: watch::Sender::default(),
            members: watch::Sender::new(Vec::new()),
            voters: Voters::alone(settings.own_entry()),
            cluster: Mutex::default(),
            cluster_changes: watch::Sender::new(()),
            waiters: Mutex::new(HashMap::new()),
            told_jobs: Mutex::default(),
            claims: ClaimLinks::new(&settings.limits),
            settings,
            passes: AtomicU64::new(0),
            stopped: watch::Sender::default(),
        });
        service.claims.set_list(service.voters.list());
        prepare(&service);
        tokio::spawn(links::accept(Arc::clone(&service), listener));
        tokio::spawn(tick(Arc::clone(&service)));
        event!(
            Info,
            "job_service_started",
            name = service.settings.name,
            incarnation = service.incarnation
        );
        service
    }

    /// Monotonic time in milliseconds, as jobs' times are given.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Number of passes over what is due by time that are complete, for acknowledgements. It stands
    /// still while a claim is unconfirmed, so that runs of an entry that is killed are over in time.
    fn passes(&self) -> u64 {
        self.passes.load(Ordering::Acquire)
    }

    /// Agents that take work now.
    #[must_use]
    pub fn usable_agents(&self) -> usize {
        self.dispatch.lock().usable_agents(self.clock.now_ms())
    }

    /// Whether a request is answered here as well as anywhere: a majority of entries is reached,
    /// and some upstream takes work, or all data centres are evacuated, which each entry answers
    /// alike.
    #[must_use]
    pub fn can_answer(&self) -> bool {
        if self.is_apart() {
            return false;
        }
        let dispatch = self.dispatch.lock();
        dispatch.usable_agents(self.clock.now_ms()) > 0 || dispatch.is_all_evacuated()
    }

    /// Jobs of a kind that have not begun.
    #[must_use]
    pub fn pending(&self, kind: &str) -> usize {
        self.dispatch.lock().unstarted_jobs(kind)
    }

    /// Whether a job of this id is not over here.
    fn holds(&self, id: CallerJobId) -> bool {
        self.dispatch.lock().find_job(id).is_some()
    }

    /// Refuses jobs from now on that cannot surely end within so long, and gives up those
    /// that run longer. Every job is answered within [`STOP_ANSWER`] after it.
    pub fn stop_within(&self, left: Duration) {
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        self.stop_at(self.clock.now_ms().saturating_add(left_ms));
    }

    /// The same with the time of [`Self::now_ms`] by which jobs have to end.
    pub fn stop_at(&self, end_ms: u64) {
        self.dispatch.lock().plan_stop(end_ms);
    }

    /// Waits until a planned stop has answered all jobs: what is left by then gets no other
    /// answer.
    pub async fn stopped(&self) {
        // The service holds the sender.
        let _ = self.stopped.subscribe().wait_for(|stopped| *stopped).await;
    }

    /// Passes a configuration on to agents, if it is the newest.
    pub fn hold_configuration(&self, copy: ConfigurationCopy) {
        self.copies.lock().set_held(copy.revision);
        self.configuration.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|held| held.revision < copy.revision);
            if newer {
                *held = Some(Arc::new(copy));
            }
            newer
        });
    }

    /// Takes note of the configuration that an agent holds, to fetch it if it is newer.
    fn add_copy_source(&self, agent: AgentKey, name: &str, revision: u64) {
        if self.copies.lock().add_source(agent, revision, self.clock.now_ms()) {
            event!(Info, "configuration_behind", agent = name, revision = revision);
        }
    }

    /// Wakes when a newer configuration is held, from wherever.
    #[must_use]
    pub fn configurations(&self) -> watch::Receiver<Option<Arc<ConfigurationCopy>>> {
        self.configuration.subscribe()
    }

    /// The roster of entries was read or has changed, or is not read yet: then `members` names
    /// this entry at most.
    pub fn set_members(&self, members: Vec<EntryAddress>, is_read: bool) {
        self.change_cluster(|cluster| {
            cluster.roster = members;
            cluster.is_roster_read = is_read;
        });
    }

    fn set_linked(&self, agent: AgentKey, connected: Vec<SocketAddr>, named: Vec<EntryAddress>) {
        self.change_cluster(|cluster| {
            cluster.by_agent.insert(agent, AgentsEntries { connected, named });
        });
    }

    fn forget_linked(&self, agent: AgentKey) {
        self.change_cluster(|cluster| drop(cluster.by_agent.remove(&agent)));
    }

    fn change_cluster(&self, change: impl FnOnce(&mut Cluster)) {
        let mut cluster = self.cluster.lock();
        change(&mut cluster);
        set_if_changed(&self.members, cluster.members());
        drop(cluster);
        self.cluster_changes.send_replace(());
    }

    /// Time since this process handled what was due, in milliseconds. What is read now may have
    /// waited for so long.
    fn unhandled_ms(&self) -> u64 {
        self.clock.now_ms().saturating_sub(self.claims.handled_ms())
    }

    /// Runs a job and waits for its answer. Dropping the future gives the job
    /// up: its caller has left.
    pub async fn run(self: &Arc<Self>, request: JobRequest) -> JobAnswer {
        self.run_from(request, &RequestSource::default()).await
    }

    /// The same for a caller's request, whose source is logged.
    pub async fn run_from(
        self: &Arc<Self>,
        request: JobRequest,
        source: &RequestSource,
    ) -> JobAnswer {
        let (sender, receiver) = oneshot::channel();
        let (id, arrived_ms) = (request.id, request.arrived_ms);
        let (kind, priority) = (request.kind.name.clone(), request.kind.priority);
        let tasks: usize = request.steps.iter().map(|step| usize::from(step.count)).sum();
        let deadline_in_ms = request.deadline_ms.saturating_sub(arrived_ms);
        let (submitted, forecast, returns) = {
            let mut dispatch = self.dispatch.lock();
            // A claim of the job's last submission is given up first.
            self.release_claims(&mut dispatch);
            let (now_ms, deadline_ms) = (self.clock.now_ms(), request.deadline_ms);
            let submitted = if self.can_be_claimed(id, now_ms) {
                dispatch.submit_unclaimed(request, now_ms)
            } else {
                Err(dispatch.refuse_without_majority(id, now_ms))
            };
            if let Ok(key) = submitted {
                self.waiters.lock().insert(key, sender);
                self.begin_claim(&mut dispatch, id, deadline_ms, now_ms);
            }
            (submitted, dispatch.last_forecast(), dispatch.return_counts())
        };
        count_returns(&returns);
        let size = JobSize { kind: &kind, priority, tasks, deadline_in_ms };
        log_admission(submitted.is_ok(), id, size, &forecast, source);
        let answer = match submitted {
            Ok(key) => {
                let mut waiting = Waiting { service: self, job: key, id, is_answered: false };
                self.act();
                let answer = receiver.await;
                waiting.is_answered = true;
                // The sender is dropped only with an answer, or with the job.
                answer.unwrap_or(JobAnswer::Unknown { reason: NoResultReason::Cancelled })
            }
            Err(answer) => answer,
        };
        self.note_answer(id, &kind, answer, self.clock.now_ms() - arrived_ms);
        count_refusal(answer, priority);
        answer
    }

    fn note_answer(&self, id: CallerJobId, kind: &str, answer: JobAnswer, took_ms: u64) {
        let (outcome, why) = names(answer);
        metrics::counter!("sycamorerail_jobs_total", "outcome" => outcome, "why" => why)
            .increment(1);
        metrics::histogram!("sycamorerail_job_seconds", "outcome" => outcome)
            .record(took_ms as f64 / 1_000.0);
        event!(
            Info,
            "job_answered",
            job = id,
            kind = kind,
            outcome = outcome,
            why = why,
            took_ms = took_ms
        );
    }

    /// Cancels a job here, whoever waits for it. Returns whether there is one.
    fn cancel(self: &Arc<Self>, id: CallerJobId) -> bool {
        let mut dispatch = self.dispatch.lock();
        let Some(key) = dispatch.find_job(id) else { return false };
        dispatch.cancel(key);
        drop(dispatch);
        event!(Info, "job_cancelled", job = id);
        self.act();
        true
    }

    /// Does something to the dispatch and acts on what it decides.
    pub(crate) fn change<T>(self: &Arc<Self>, act: impl FnOnce(&mut Dispatch, u64) -> T) -> T {
        let done = act(&mut self.dispatch.lock(), self.clock.now_ms());
        self.act();
        done
    }

    pub(crate) fn act(&self) {
        let mut dispatch = self.dispatch.lock();
        let now_ms = self.clock.now_ms();
        self.release_claims(&mut dispatch);
        for loss in dispatch.take_losses() {
            let agent = dispatch.agent_silence(loss.agent, now_ms).map_or("", |(name, _)| name);
            log_loss(&loss, agent);
        }
        for stray in dispatch.take_strays() {
            let agent = dispatch.agent_silence(stray.agent, now_ms).map_or("", |(name, _)| name);
            metrics::counter!("sycamorerail_stray_runs_total").increment(1);
            event!(Warn, "run_stray", task = stray.task, run = stray.run, agent = agent);
        }
        for command in dispatch.take_commands() {
            match command {
                Command::Place(agent, placement) => {
                    let silence = dispatch.agent_silence(agent, now_ms);
                    let agent_name = silence.map_or("", |(name, _)| name);
                    self.log_placement(agent_name, &placement, &runs_before(&dispatch, &placement));
                    dispatch.message_sent(agent, Some(&placement), now_ms);
                    self.send(agent, ToRunsAgent::Place(placement));
                }
                Command::Stop(agent, job) => {
                    dispatch.message_sent(agent, None, now_ms);
                    self.send(agent, ToRunsAgent::Stop(job));
                }
                Command::Withdraw(agent, tasks) => {
                    metrics::counter!("sycamorerail_recalls_total").increment(tasks.len() as u64);
                    dispatch.message_sent(agent, None, now_ms);
                    self.send(agent, ToRunsAgent::Withdraw(tasks));
                }
                Command::JobMostlyStarted(agent, job, give_up_in_ms) => {
                    dispatch.message_sent(agent, None, now_ms);
                    self.send(agent, ToRunsAgent::JobMostlyStarted { job, give_up_in_ms });
                }
                Command::Answer(job, answer) => {
                    if let Some(waiter) = self.waiters.lock().remove(&job) {
                        // Its caller may have left.
                        let _ = waiter.send(answer);
                    }
                }
            }
        }
    }

    fn send(&self, agent: AgentKey, message: ToRunsAgent) {
        if !self.links.send(agent, message) {
            // Its connection ended: the next one, or its silence, tells what
            // became of its runs.
            metrics::counter!("sycamorerail_messages_lost_total").increment(1);
        }
    }

    fn left(self: &Arc<Self>, job: JobKey, id: CallerJobId) {
        self.waiters.lock().remove(&job);
        metrics::counter!("sycamorerail_callers_left_total").increment(1);
        event!(Info, "caller_left", job = id);
        self.change(|dispatch, _| dispatch.cancel(job));
    }
}

fn set_if_changed(sender: &watch::Sender<Vec<EntryAddress>>, entries: Vec<EntryAddress>) {
    sender.send_if_modified(|known| {
        let changed = *known != entries;
        *known = entries;
        changed
    });
}

/// Names of data centres with the number of their entries, for the log.
fn by_data_centre(entries: &[EntryAddress]) -> String {
    let mut counts = BTreeMap::<&str, usize>::new();
    for entry in entries {
        *counts.entry(&entry.data_centre).or_default() += 1;
    }
    let counts = counts.iter().map(|(data_centre, count)| format!("{data_centre}:{count}"));
    counts.collect::<Vec<_>>().join(",")
}

/// A caller that waits; when it is dropped without an answer its job is given up.
struct Waiting<'a> {
    service: &'a Arc<JobService>,
    job: JobKey,
    id: CallerJobId,
    is_answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.service.left(self.job, self.id);
        }
    }
}

/// What became of the last runs before those of an order: number of the task, of the run, and why
/// it is over. Bounded, as tasks without an earlier run are left out and log values are cut.
fn runs_before(dispatch: &Dispatch, placement: &StepPlacement) -> String {
    let StepPlacement { job, step, .. } = *placement;
    let again = placement.tasks.iter().filter(|start| start.run > 1);
    let before = again.map(|start| {
        let task = TaskKey { job, step, index: start.index };
        match dispatch.last_over(task) {
            Some((run, over)) => format!("{}.{run}:{}", start.index, over.name()),
            None => format!("{}.0:unknown", start.index),
        }
    });
    before.collect::<Vec<_>>().join(",")
}

/// Logs that a run counts as lost. Its task is ordered elsewhere from then on.
fn log_loss(loss: &RunLoss, agent: &str) {
    let cause = loss.cause.name();
    metrics::counter!("sycamorerail_runs_lost_total", "cause" => cause).increment(1);
    event!(
        Info,
        "run_lost",
        build = build::code(),
        task = loss.task,
        run = loss.run,
        agent = agent,
        cause = cause,
        last_message = loss.last_message,
        hello = loss.hello,
        silent_ms = loss.silent_ms,
        stalled_ms = loss.stalled_ms,
    );
}

/// Logs a decision on a job with what decided it.
fn log_admission(
    accepted: bool,
    id: CallerJobId,
    size: JobSize<'_>,
    forecast: &JobForecast,
    source: &RequestSource,
) {
    event!(
        Info,
        "job_admission",
        job = id,
        accepted = accepted,
        kind = size.kind,
        priority = size.priority,
        tasks = size.tasks,
        deadline_in_ms = size.deadline_in_ms,
        expected_in_ms = forecast.end_in_ms,
        wait_ms = forecast.wait_ms,
        late_ms = forecast.late_ms,
        must_end_in_ms = forecast.must_end_in_ms,
        shed_percent = forecast.shedding.percent.round(),
        shed_cause = forecast.shedding.cause.map_or("", ShedCause::name),
        queue_ms = forecast.shedding.queue_ms.round(),
        is_return = forecast.is_return,
        stops_in_ms = forecast.stops_in_ms.map_or_else(String::new, |left_ms| left_ms.to_string()),
        peer = source.peer.map_or_else(String::new, |peer| peer.to_string()),
        connection_ms = source.connection_ms,
        waited_ms = source.waited_ms,
    );
}

fn count_returns(counts: &ReturnCounts) {
    let ReturnCounts { promised, redeemed, early } = *counts;
    for (outcome, count) in [("promised", promised), ("redeemed", redeemed), ("early", early)] {
        metrics::counter!("sycamorerail_returns_total", "outcome" => outcome).absolute(count);
    }
}

/// What the log tells of a job.
#[derive(Clone, Copy)]
struct JobSize<'a> {
    kind: &'a str,
    priority: u8,
    tasks: usize,
    deadline_in_ms: u64,
}

/// Counts refusals by priority class. Classes are those of the reported load, so that there are
/// few labels.
fn count_refusal(answer: JobAnswer, priority: u8) {
    let JobAnswer::NotRun { reason, .. } = answer else { return };
    let class = usize::from(priority).min(PRIORITY_CLASSES - 1).to_string();
    metrics::counter!("sycamorerail_refusals_total", "why" => reason.name(), "priority" => class)
        .increment(1);
}

fn names(answer: JobAnswer) -> (&'static str, &'static str) {
    match answer {
        JobAnswer::Completed => ("completed", ""),
        JobAnswer::Failed => ("failed", ""),
        JobAnswer::NotRun { reason, .. } => ("not_run", reason.name()),
        JobAnswer::Unknown { reason } => ("unknown", reason.name()),
    }
}

async fn tick(service: Arc<JobService>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stalls = StallMeter::new(TICK.as_millis() as u64, service.clock.now_ms());
    let mut shared = SharedJobs::new(service.cluster_changes.subscribe());
    let mut voters = service.voters.subscribe();
    // Passes since the process has last stood still.
    let mut calm_passes = usize::MAX;
    loop {
        ticks.tick().await;
        let stopped = service.change(|dispatch, now_ms| {
            if let Some(stall_ms) = stalls.record(now_ms) {
                dispatch.note_stall(stall_ms, now_ms);
                service.suspend_claims(dispatch, now_ms);
                calm_passes = 0;
            }
            service.hold_claims(dispatch, now_ms);
            dispatch.tick(now_ms);
            dispatch.forget_agents(now_ms, FORGET_AGENTS_MS);
            dispatch.is_stopped(now_ms)
        });
        service.share_old_jobs(&mut shared);
        if service.tick_claims(&mut voters, calm_passes) {
            service.passes.fetch_add(1, Ordering::AcqRel);
        }
        calm_passes = calm_passes.saturating_add(1);
        // After the answers that are due with it.
        service.stopped.send_if_modified(|told| stopped && !std::mem::replace(told, true));
    }
}

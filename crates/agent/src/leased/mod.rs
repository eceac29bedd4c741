//! Agent for an upstream that runs tasks only while the agent renews their lease.
//!
//! [`LeasedAgent`] holds the ledger and carries out its decisions, [`lease`] renews the
//! lease and collects the ends of runs, and [`links`] keeps the connections to entries.

mod lease;
mod links;
mod upstream_client;

pub use upstream_client::{CallError, FencedTarget, LeaseRenewal, UpstreamClient};

use {
    crate::evacuation,
    parking_lot::Mutex,
    rand::Rng,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        sync::{Arc, atomic::AtomicU64},
        time::Duration,
    },
    sycamorerail_clock::{Clock, lag::StallMeter},
    sycamorerail_decide::{
        copies::{CopyFetch, FetchLimits},
        ledger::{
            AnnouncementOutcome, Ledger, LedgerLimits, RunDecision, StartAnswer, StartOrder,
            StartRefusal, WithdrawalOutcome,
        },
        links::LinkLimits,
    },
    sycamorerail_telemetry::{build, event},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, ConfigurationCopy, Evacuations, InstanceId, RunEvent, TaskKey,
            UpstreamInstance,
        },
    },
    tokio::{
        sync::{Notify, watch},
        time::Instant,
    },
};

/// Interval of the time-driven checks. Only timeouts wait for it: events start waiting tasks.
const TICK: Duration = Duration::from_millis(25);
/// The agent logs once a second the load that entries use for placement.
const TICKS_PER_LOAD_LINE: u64 = 40;
/// Interval between checks whether a planned stop is complete.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// How a newer configuration is fetched from entries. Many agents fetch it at the same time, and
/// the pauses leave most of an entry's link to its jobs.
const COPY_LIMITS: FetchLimits =
    FetchLimits { part_timeout_ms: 1_000, head_start_ms: 0, pause_factor: 4 };

/// Settings of an agent for leased runs.
#[derive(Clone, Debug)]
pub struct LeasedAgentSettings {
    /// Name of the agent, which stays the same over restarts.
    pub name: String,
    /// Data centre of the agent.
    pub data_centre: String,
    /// Addresses of the entries that the agent dials first.
    pub seeds: Vec<SocketAddr>,
    /// Limits and time spans of the ledger.
    pub limits: LedgerLimits,
    /// Limits for the number of links to entries.
    pub links: LinkLimits,
}

/// An agent for leased runs.
pub struct LeasedAgent {
    pub(crate) settings: LeasedAgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) upstream_client: Box<dyn UpstreamClient>,
    pub(crate) ledger: Mutex<Ledger>,
    links: links::Links,
    pub(crate) configuration: Mutex<Option<ConfigurationCopy>>,
    /// Transfer of a newer configuration from entries.
    pub(crate) copies: Mutex<CopyFetch<Incarnation>>,
    /// Evacuations in force, which the agent passes on to entries.
    pub(crate) evacuations: Mutex<Evacuations>,
    /// Jobs of each linked entry that their callers may submit to another one, as it reports.
    pub(crate) old_jobs: Mutex<HashMap<Incarnation, BTreeSet<CallerJobId>>>,
    /// Counts changes that links may have to send to entries.
    pub(crate) changes: watch::Sender<u64>,
    /// Signals that another instance of the upstream is known.
    pub(crate) instance_changed: Notify,
    /// The last announced instance that has answered a renewal.
    proven_instance: watch::Sender<Option<UpstreamInstance>>,
    /// Entries that the ledger dropped last because they were silent; links to them end.
    pub(crate) dropped_owners: watch::Sender<Vec<Incarnation>>,
    /// Requests an immediate renewal, whose answer lists the runs of the upstream.
    pub(crate) renew_now: Notify,
    /// Number of the last hello.
    pub(crate) hellos: AtomicU64,
}

impl LeasedAgent {
    /// Starts the agent on the current Tokio runtime.
    #[must_use]
    pub fn start(
        settings: LeasedAgentSettings,
        upstream_client: Box<dyn UpstreamClient>,
    ) -> Arc<Self> {
        Self::start_with_clock(settings, upstream_client, Clock::start())
    }

    /// Like [`Self::start`], with the given clock.
    #[must_use]
    pub fn start_with_clock(
        settings: LeasedAgentSettings,
        upstream_client: Box<dyn UpstreamClient>,
        clock: Clock,
    ) -> Arc<Self> {
        let agent = Arc::new(Self {
            ledger: Mutex::new(Ledger::new(settings.limits)),
            links: links::Links::new(settings.links),
            settings,
            incarnation: Incarnation(rand::rng().random()),
            clock,
            upstream_client,
            configuration: Mutex::new(None),
            copies: Mutex::new(CopyFetch::new(COPY_LIMITS)),
            evacuations: Mutex::default(),
            old_jobs: Mutex::default(),
            changes: watch::Sender::new(0),
            instance_changed: Notify::new(),
            proven_instance: watch::Sender::new(None),
            dropped_owners: watch::Sender::new(Vec::new()),
            renew_now: Notify::new(),
            hellos: AtomicU64::new(0),
        });
        tokio::spawn(lease::keep_lease(Arc::clone(&agent)));
        tokio::spawn(tick(Arc::clone(&agent)));
        agent.add_entries(&agent.settings.seeds);
        tokio::spawn(links::choose_links(Arc::clone(&agent)));
        event!(
            Info,
            "agent_started",
            name = agent.settings.name,
            incarnation = agent.incarnation,
            seeds = agent.settings.seeds.len(),
        );
        agent
    }

    /// Adds addresses at which entries may be reached.
    pub fn add_entries(&self, entries: &[SocketAddr]) {
        self.links.add_entries(entries, self.clock.now_ms());
    }

    /// Returns the number of connected entries.
    #[must_use]
    pub fn connected_entries(&self) -> usize {
        self.links.connected()
    }

    /// Returns the revision of the configuration that the agent holds, or 0 if it holds none.
    #[must_use]
    pub fn configuration_revision(&self) -> u64 {
        self.configuration.lock().as_ref().map_or(0, |copy| copy.revision)
    }

    /// Holds a configuration for entries that lack it, unless a later one is held.
    pub(crate) fn hold_configuration(&self, copy: ConfigurationCopy) {
        self.copies.lock().set_held(copy.revision);
        let mut held = self.configuration.lock();
        if held.as_ref().is_none_or(|held| held.revision < copy.revision) {
            event!(Info, "configuration_held", revision = copy.revision);
            *held = Some(copy);
        }
    }

    /// Returns a receiver of the last announced instance that has answered a renewal.
    #[must_use]
    pub fn subscribe_instance(&self) -> watch::Receiver<Option<UpstreamInstance>> {
        self.proven_instance.subscribe()
    }

    /// Handles an announcement of the upstream.
    ///
    /// If the announced instance is not the one that answers renewals, the agent ignores the
    /// announcement until that instance answers: a delayed announcement may come from an
    /// earlier instance. It also ignores one that moves a known instance to another pool,
    /// because an instance never changes its pool, unless all announcements have named that pool
    /// for some time.
    pub fn upstream_announced(self: &Arc<Self>, instance: UpstreamInstance) -> AnnouncementOutcome {
        let (id, pool, leaving) = (instance.id.clone(), instance.pool.clone(), instance.leaving);
        let cpu_milli = instance.capacity.cpu_milli;
        let outcome =
            self.update_ledger(|ledger, now_ms| ledger.handle_announcement(instance, now_ms));
        match outcome {
            AnnouncementOutcome::Unchanged => {}
            AnnouncementOutcome::Accepted => {
                event!(
                    Info,
                    "upstream_announced",
                    life = id,
                    leaving = leaving,
                    cpu_milli = cpu_milli
                );
                self.instance_changed.notify_one();
            }
            AnnouncementOutcome::Doubted => {
                metrics::counter!("sycamorerail_announcements_doubted_total").increment(1);
                event!(Info, "announcement_doubted", life = id);
                self.renew_now.notify_one();
            }
            AnnouncementOutcome::Ignored => {
                event!(Info, "announcement_ignored", life = id, pool = pool);
            }
        }
        outcome
    }

    /// Returns the agent's time, in milliseconds since its start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Whether the current instance has this id and a known start time.
    #[must_use]
    pub fn knows_start_of(&self, id: &str) -> bool {
        let ledger = self.ledger.lock();
        let current = ledger.current_instance();
        current.is_some_and(|instance| instance.id == id && instance.started_unix_ms.is_some())
    }

    /// Handles an instance's notice that it stays slow after its start for `left_ms` more.
    pub fn upstream_cold(self: &Arc<Self>, instance: InstanceId, left_ms: u64) {
        self.update_ledger(|ledger, now_ms| {
            ledger.handle_cold_announcement(instance, left_ms, now_ms);
        });
    }

    /// Uses the upstream instance that an earlier run of this agent knew until the upstream
    /// announces itself, so that a restarted agent can start tasks at once.
    ///
    /// If an instance is known already, only the fence is raised, so that late orders of the
    /// earlier run are below it.
    pub fn restore_upstream(self: &Arc<Self>, instance: UpstreamInstance) {
        let is_unknown = self.update_ledger(|ledger, _| {
            ledger.restore_fence(&instance);
            ledger.announced_instance().is_none()
        });
        if is_unknown {
            event!(Info, "upstream_remembered", life = instance.id, leaving = instance.leaving);
            self.upstream_announced(instance);
        }
    }

    /// Handles the upstream's notice that it is gone.
    ///
    /// The notice has no effect while the upstream still answers: an earlier instance may
    /// have sent it.
    pub fn upstream_withdrawn(self: &Arc<Self>, id: &str) {
        match self.update_ledger(|ledger, now_ms| ledger.handle_withdrawal(id, now_ms)) {
            WithdrawalOutcome::Accepted => event!(Info, "upstream_withdrawn", life = id),
            WithdrawalOutcome::Doubted => {
                event!(Info, "withdrawal_doubted", life = id);
                self.renew_now.notify_one();
            }
            WithdrawalOutcome::Ignored => {}
        }
    }

    /// Applies evacuations received from an entry unless the known ones are newer.
    pub(crate) fn apply_evacuations(self: &Arc<Self>, received: &Evacuations) {
        if !self.evacuations.lock().merge_newer(received) {
            return;
        }
        let is_evacuated = self.update_ledger(|ledger, _| {
            // Reads the merged list: of two concurrent updates the newer one counts.
            let is_evacuated = self.evacuations.lock().contains(&self.settings.data_centre);
            ledger.set_evacuated(is_evacuated);
            is_evacuated
        });
        evacuation::log_in_force(received, is_evacuated);
    }

    /// Records changes to the old jobs of an entry.
    pub(crate) fn update_old_jobs(
        &self,
        entry: Incarnation,
        held: Vec<CallerJobId>,
        over: &[CallerJobId],
    ) {
        let mut old_jobs = self.old_jobs.lock();
        let of_entry = old_jobs.entry(entry).or_default();
        for job in over {
            of_entry.remove(job);
        }
        of_entry.extend(held);
    }

    /// Returns the jobs to tell this entry of: old jobs of other entries, as these report and as
    /// the agent's own runs show, and those of runs that an earlier process left.
    pub(crate) fn jobs_of_others(&self, entry: Incarnation) -> BTreeSet<CallerJobId> {
        let now_ms = self.clock.now_ms();
        let ledger = self.ledger.lock();
        let mut jobs = ledger.jobs_of_others(entry, now_ms);
        let old_jobs = self.old_jobs.lock();
        let is_shared = |other: Incarnation| other != entry && ledger.shares_jobs_of(other, now_ms);
        let of_others = old_jobs.iter().filter(|(other, _)| is_shared(**other));
        jobs.extend(of_others.flat_map(|(_, old)| old));
        jobs
    }

    /// Begins a planned stop. The agent starts no more tasks.
    pub fn drain(self: &Arc<Self>) {
        self.update_ledger(|ledger, _| ledger.drain());
        event!(Info, "draining", active = self.ledger.lock().active_count());
    }

    /// Waits until nothing runs and all entries have confirmed the ends of their runs.
    pub async fn wait_drained(&self) {
        while !self.ledger.lock().is_idle() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Updates the ledger and carries out its decisions.
    pub(crate) fn update_ledger<T>(
        self: &Arc<Self>,
        update: impl FnOnce(&mut Ledger, u64) -> T,
    ) -> T {
        let done = update(&mut self.ledger.lock(), self.clock.now_ms());
        self.execute_decisions();
        done
    }

    /// Sends the due orders to the upstream and wakes the links to report changes.
    pub(crate) fn execute_decisions(self: &Arc<Self>) {
        let mut ledger = self.ledger.lock();
        let now_ms = self.clock.now_ms();
        ledger.note_suspension(self.clock.suspended_ms(), now_ms);
        let starts: Vec<_> = std::iter::from_fn(|| ledger.next_start(now_ms)).collect();
        let stops = ledger.stops_due(now_ms);
        let decided = ledger.take_decisions();
        let target = ledger
            .current_instance()
            .map(|instance| FencedTarget { instance: instance.clone(), fence: ledger.fence() });
        self.publish_instance(&ledger);
        drop(ledger);
        if let Some(target) = target {
            for order in starts {
                tokio::spawn(send_start(Arc::clone(self), target.clone(), order, now_ms));
            }
            for (task, run) in stops {
                tokio::spawn(send_stop(Arc::clone(self), target.clone(), task, run));
            }
        }
        decided.iter().for_each(log_decided);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Publishes the announced instance once it has answered a renewal.
    fn publish_instance(&self, ledger: &Ledger) {
        let Some(instance) = ledger.proven_instance() else { return };
        self.proven_instance.send_if_modified(|published| {
            let is_changed = published.as_ref() != Some(instance);
            if is_changed {
                *published = Some(instance.clone());
            }
            is_changed
        });
    }
}

/// Sends a start order to the upstream. An order decided before a suspension of the VM is
/// refused as late, because the task may run elsewhere by now.
async fn send_start(
    agent: Arc<LeasedAgent>,
    target: FencedTarget,
    order: StartOrder,
    decided_ms: u64,
) {
    let (task, run) = (order.task, order.run);
    let sent_ms = agent.clock.now_ms();
    let is_late = sent_ms > decided_ms + agent.settings.limits.start_within_ms;
    let answer = if is_late {
        StartAnswer::Refused(StartRefusal::Late)
    } else {
        agent.upstream_client.start_run(target, order).await
    };
    if answer != StartAnswer::Started {
        let took_ms = agent.clock.now_ms() - sent_ms;
        event!(
            Info,
            "start_refused",
            task = task,
            run = run,
            answer = format!("{answer:?}"),
            took_ms = took_ms
        );
    }
    agent.update_ledger(|ledger, now_ms| ledger.handle_start_answer(task, run, answer, now_ms));
}

async fn send_stop(agent: Arc<LeasedAgent>, target: FencedTarget, task: TaskKey, run: u32) {
    match agent.upstream_client.stop_run(target, task, run).await {
        Ok(()) => {
            agent
                .update_ledger(|ledger, now_ms| ledger.handle_stop_confirmation(task, run, now_ms));
            agent.renew_now.notify_one();
        }
        Err(error) => event!(Info, "stop_failed", task = task, run = run, error = error),
    }
}

fn log_decided(decided: &RunDecision) {
    let format_run_time = |run_ms: u32| format!("{run_ms}ms");
    let proof = || decided.proof.map_or(String::new(), |proof| proof.name().to_owned());
    let (name, why, detail) = match decided.event {
        RunEvent::Started => ("started", "", String::new()),
        RunEvent::Done { run_ms } => ("done", "", format_run_time(run_ms)),
        RunEvent::Failed { run_ms } => ("failed", "", format_run_time(run_ms)),
        RunEvent::Stopped => ("stopped", "", String::new()),
        RunEvent::Lost => ("lost", "", proof()),
        RunEvent::Crashed => ("crashed", "", proof()),
        RunEvent::NotStarted(why) => ("not_started", why.name(), why.name().to_owned()),
    };
    metrics::counter!("sycamorerail_runs_total", "event" => name, "why" => why).increment(1);
    event!(
        Info,
        "run",
        build = build::code(),
        task = decided.task,
        run = decided.run,
        outcome = name,
        detail = detail,
        entry = decided.owner,
        taken_cpu_milli = decided.taken.cpu_milli,
    );
}

fn log_load(agent: &LeasedAgent) {
    let load = agent.ledger.lock().load(agent.clock.now_ms());
    event!(
        Info,
        "load",
        usable = load.usable,
        taken_cpu_milli = load.taken.cpu_milli,
        waiting = load.waiting,
        slowness_percent = load.slowness_percent,
        failing_percent = load.failing_percent,
        entries = agent.connected_entries(),
    );
}

/// Runs the time-driven checks of the ledger.
async fn tick(agent: Arc<LeasedAgent>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let started = Instant::now();
    // Suspensions of the VM are noted apart: this time does not include them.
    let awake_ms = || u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let mut stalls = StallMeter::new(TICK.as_millis() as u64, awake_ms());
    for count in 0_u64.. {
        ticks.tick().await;
        if count.is_multiple_of(TICKS_PER_LOAD_LINE) {
            log_load(&agent);
        }
        let suspended_ms = agent.clock.suspended_ms();
        let silent = agent.update_ledger(|ledger, now_ms| {
            ledger.note_suspension(suspended_ms, now_ms);
            if let Some(stall_ms) = stalls.record(awake_ms()) {
                ledger.note_stall(stall_ms, now_ms);
            }
            ledger.check_lease_lapse(now_ms);
            ledger.drop_expired(now_ms);
            let silent = ledger.silent_owners(now_ms);
            ledger.drop_silent_owners(now_ms);
            silent
        });
        for owner in &silent {
            event!(
                Warn,
                "entry_silent",
                entry = owner.entry,
                suspended_ms = suspended_ms,
                silent_ms = owner.silent_ms,
                stopped_runs = owner.stopped_runs,
            );
        }
        if !silent.is_empty() {
            agent.dropped_owners.send_replace(silent.iter().map(|owner| owner.entry).collect());
        }
    }
}

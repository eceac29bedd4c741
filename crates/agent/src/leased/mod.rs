//! An agent beside an upstream that runs tasks under leases.
//!
//! [`LeasedAgent`] holds the ledger and acts on its decisions; [`lease`] renews the
//! lease and learns of ends; [`links`] keeps the connections to entries.

mod lease;
mod links;
mod upstream_client;

pub use upstream_client::{CallError, FencedTarget, LeaseRenewal, UpstreamClient};

use {
    crate::evacuation,
    parking_lot::Mutex,
    rand::Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    sycamorerail_clock::Clock,
    sycamorerail_decide::{
        ledger::{
            AnnouncementOutcome, Ledger, LedgerLimits, RunDecision, StartAnswer, StartOrder,
            StartRefusal, WithdrawalOutcome,
        },
        links::LinkLimits,
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{ConfigurationCopy, Evacuations, InstanceId, RunEvent, TaskKey, UpstreamInstance},
    },
    tokio::sync::{Notify, watch},
};

/// Pause between looks at what is due by time. Waiting tasks are started by
/// events; only time-outs wait for it.
const TICK: Duration = Duration::from_millis(25);
/// One line a second tells the load that entries place by.
const TICKS_PER_LOAD_LINE: u64 = 40;
/// Pause between looks at whether a planned stop is complete.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// What an agent of leased runs needs to know.
#[derive(Clone, Debug)]
pub struct LeasedAgentSettings {
    /// Name, the same over restarts.
    pub name: String,
    /// Own data centre.
    pub data_centre: String,
    /// Addresses of entries to dial first.
    pub seeds: Vec<SocketAddr>,
    /// Figures of the ledger.
    pub limits: LedgerLimits,
    /// How many links to entries there are.
    pub links: LinkLimits,
}

/// An agent of leased runs.
pub struct LeasedAgent {
    pub(crate) settings: LeasedAgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) upstream_client: Box<dyn UpstreamClient>,
    pub(crate) ledger: Mutex<Ledger>,
    links: links::Links,
    pub(crate) configuration: Mutex<Option<ConfigurationCopy>>,
    /// Evacuated data centres in force, to pass on.
    pub(crate) evacuations: Mutex<Evacuations>,
    /// Counts changes that links may have to tell of.
    pub(crate) changes: watch::Sender<u64>,
    /// The upstream's life has changed.
    pub(crate) life_changed: Notify,
    /// The last life that was announced.
    lives: watch::Sender<Option<UpstreamInstance>>,
    /// Entries that were dropped last, as silent: links to them end.
    pub(crate) dropped_owners: watch::Sender<Vec<Incarnation>>,
    /// A renewal is wanted at once, for what it lists.
    pub(crate) look_now: Notify,
}

impl LeasedAgent {
    /// Starts the agent's tasks on the present runtime.
    #[must_use]
    pub fn start(
        settings: LeasedAgentSettings,
        upstream_client: Box<dyn UpstreamClient>,
    ) -> Arc<Self> {
        Self::start_with_clock(settings, upstream_client, Clock::start())
    }

    /// The same with a clock of the caller's.
    #[must_use]
    pub fn start_with_clock(
        settings: LeasedAgentSettings,
        upstream_client: Box<dyn UpstreamClient>,
        clock: Clock,
    ) -> Arc<Self> {
        let leased = Arc::new(Self {
            ledger: Mutex::new(Ledger::new(settings.limits)),
            links: links::Links::new(settings.links),
            settings,
            incarnation: Incarnation(rand::rng().random()),
            clock,
            upstream_client,
            configuration: Mutex::new(None),
            evacuations: Mutex::default(),
            changes: watch::Sender::new(0),
            life_changed: Notify::new(),
            lives: watch::Sender::new(None),
            dropped_owners: watch::Sender::new(Vec::new()),
            look_now: Notify::new(),
        });
        tokio::spawn(lease::keep(Arc::clone(&leased)));
        tokio::spawn(tick(Arc::clone(&leased)));
        leased.add_entries(&leased.settings.seeds);
        tokio::spawn(links::keep_chosen(Arc::clone(&leased)));
        event!(
            Info,
            "agent_started",
            name = leased.settings.name,
            incarnation = leased.incarnation,
            seeds = leased.settings.seeds.len(),
        );
        leased
    }

    /// Entries may be reached at these addresses too.
    pub fn add_entries(&self, entries: &[SocketAddr]) {
        self.links.learn(entries, self.clock.now_ms());
    }

    /// Entries connected now.
    #[must_use]
    pub fn connected_entries(&self) -> usize {
        self.links.connected()
    }

    /// The last life of the upstream that was announced, as it changes.
    #[must_use]
    pub fn subscribe_instance(&self) -> watch::Receiver<Option<UpstreamInstance>> {
        self.lives.subscribe()
    }

    /// The upstream announced itself.
    ///
    /// An announcement of another life than the one that answers renewals is not believed
    /// until an answer shows that life: it may have been sent by an earlier one, and held up.
    /// Nor is one that puts a known life into another pool: a life stays in its pool.
    pub fn upstream_announced(self: &Arc<Self>, life: UpstreamInstance) {
        let (id, pool, leaving) = (life.id.clone(), life.pool.clone(), life.leaving);
        let cpu_milli = life.capacity.cpu_milli;
        match self.change(|ledger, now_ms| ledger.handle_announcement(life, now_ms)) {
            AnnouncementOutcome::Unchanged => {}
            AnnouncementOutcome::Accepted => {
                event!(
                    Info,
                    "upstream_announced",
                    life = id,
                    leaving = leaving,
                    cpu_milli = cpu_milli
                );
                self.life_changed.notify_one();
            }
            AnnouncementOutcome::Doubted => {
                metrics::counter!("sycamorerail_announcements_doubted_total").increment(1);
                event!(Info, "announcement_doubted", life = id);
                self.look_now.notify_one();
            }
            AnnouncementOutcome::Ignored => {
                event!(Info, "announcement_ignored", life = id, pool = pool)
            }
        }
    }

    /// A life of the upstream announced that it is slow for so many milliseconds more.
    pub fn upstream_cold(self: &Arc<Self>, life: InstanceId, left_ms: u64) {
        self.change(|ledger, now_ms| ledger.handle_cold_announcement(life, left_ms, now_ms));
    }

    /// Uses the upstream's life as it was known to an earlier run of this agent, until
    /// the upstream announces itself: a restarted agent then starts tasks at once.
    ///
    /// Later too: late orders of the earlier run are below the fence from then on.
    pub fn restore_upstream(self: &Arc<Self>, life: UpstreamInstance) {
        let is_unknown = self.change(|ledger, _| {
            ledger.restore_fence(&life);
            ledger.announced_instance().is_none()
        });
        if is_unknown {
            event!(Info, "upstream_remembered", life = life.id, leaving = life.leaving);
            self.upstream_announced(life);
        }
    }

    /// The upstream says that it is gone.
    ///
    /// As long as it answers that is not believed: an earlier life may have said so.
    pub fn upstream_withdrawn(self: &Arc<Self>, id: &str) {
        match self.change(|ledger, now_ms| ledger.handle_withdrawal(id, now_ms)) {
            WithdrawalOutcome::Accepted => event!(Info, "upstream_withdrawn", life = id),
            WithdrawalOutcome::Doubted => {
                event!(Info, "withdrawal_doubted", life = id);
                self.look_now.notify_one();
            }
            WithdrawalOutcome::Ignored => {}
        }
    }

    /// Puts evacuations into force that an entry told, unless those held were true later.
    pub(crate) fn hold_evacuations(self: &Arc<Self>, told: &Evacuations) {
        if !self.evacuations.lock().merge_newer(told) {
            return;
        }
        let is_evacuated = self.change(|ledger, _| {
            // Of two that come at once the later one holds.
            let is_evacuated = self.evacuations.lock().contains(&self.settings.data_centre);
            ledger.set_evacuated(is_evacuated);
            is_evacuated
        });
        evacuation::log_in_force(told, is_evacuated);
    }

    /// Begins a planned stop: nothing more is started.
    pub fn drain(self: &Arc<Self>) {
        self.change(|ledger, _| ledger.drain());
        event!(Info, "draining", active = self.ledger.lock().active_count());
    }

    /// Waits until nothing runs and all entries know how it ended.
    pub async fn wait_drained(&self) {
        while !self.ledger.lock().is_idle() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Does something to the ledger and acts on what it decides.
    pub(crate) fn change<T>(self: &Arc<Self>, act: impl FnOnce(&mut Ledger, u64) -> T) -> T {
        let done = act(&mut self.ledger.lock(), self.clock.now_ms());
        self.act();
        done
    }

    /// Sends the orders that are due and has the links tell what changed.
    pub(crate) fn act(self: &Arc<Self>) {
        let mut ledger = self.ledger.lock();
        let now_ms = self.clock.now_ms();
        let starts: Vec<_> = std::iter::from_fn(|| ledger.next_start(now_ms)).collect();
        let stops = ledger.stops_due(now_ms);
        let decided = ledger.take_decisions();
        let target = ledger
            .current_instance()
            .map(|life| FencedTarget { instance: life.clone(), fence: ledger.fence() });
        self.tell_life(&ledger);
        drop(ledger);
        if let Some(target) = target {
            for order in starts {
                tokio::spawn(start(Arc::clone(self), target.clone(), order, now_ms));
            }
            for (task, run) in stops {
                tokio::spawn(stop(Arc::clone(self), target.clone(), task, run));
            }
        }
        decided.iter().for_each(log_decided);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Has what the present life announced recorded.
    fn tell_life(&self, ledger: &Ledger) {
        let Some(life) = ledger.proven_instance() else { return };
        self.lives.send_if_modified(|told| {
            let is_news = told.as_ref() != Some(life);
            if is_news {
                *told = Some(life.clone());
            }
            is_news
        });
    }
}

/// Sends an order to start a task. One that was decided before the VM was suspended is not
/// sent any more: the task may be elsewhere by now.
async fn start(leased: Arc<LeasedAgent>, target: FencedTarget, order: StartOrder, decided_ms: u64) {
    let (task, run) = (order.task, order.run);
    let sent_ms = leased.clock.now_ms();
    let is_late = sent_ms > decided_ms + leased.settings.limits.start_within_ms;
    let answer = if is_late {
        StartAnswer::Refused(StartRefusal::Late)
    } else {
        leased.upstream_client.start_run(target, order).await
    };
    if answer != StartAnswer::Started {
        let took_ms = leased.clock.now_ms() - sent_ms;
        event!(
            Info,
            "start_refused",
            task = task,
            run = run,
            answer = format!("{answer:?}"),
            took_ms = took_ms
        );
    }
    leased.change(|ledger, now_ms| ledger.handle_start_answer(task, run, answer, now_ms));
}

async fn stop(leased: Arc<LeasedAgent>, target: FencedTarget, task: TaskKey, run: u32) {
    match leased.upstream_client.stop_run(target, task, run).await {
        Ok(()) => {
            leased.change(|ledger, now_ms| ledger.handle_stop_confirmation(task, run, now_ms));
            leased.look_now.notify_one();
        }
        Err(error) => event!(Info, "stop_failed", task = task, run = run, error = error),
    }
}

fn log_decided(decided: &RunDecision) {
    let ran = |run_ms: u32| format!("{run_ms}ms");
    let (name, why, detail) = match decided.event {
        RunEvent::Started => ("started", "", String::new()),
        RunEvent::Done { run_ms } => ("done", "", ran(run_ms)),
        RunEvent::Failed { run_ms } => ("failed", "", ran(run_ms)),
        RunEvent::Stopped => ("stopped", "", String::new()),
        RunEvent::Lost => ("lost", "", String::new()),
        RunEvent::Crashed => ("crashed", "", String::new()),
        RunEvent::NotStarted(why) => ("not_started", why.name(), why.name().to_owned()),
    };
    metrics::counter!("sycamorerail_runs_total", "event" => name, "why" => why).increment(1);
    event!(
        Info,
        "run",
        task = decided.task,
        run = decided.run,
        outcome = name,
        detail = detail,
        entry = decided.owner,
        taken_cpu_milli = decided.taken.cpu_milli,
    );
}

fn log_load(leased: &LeasedAgent) {
    let load = leased.ledger.lock().load(leased.clock.now_ms());
    event!(
        Info,
        "load",
        usable = load.usable,
        taken_cpu_milli = load.taken.cpu_milli,
        waiting = load.waiting,
        slowness_percent = load.slowness_percent,
        failing_percent = load.failing_percent,
        entries = leased.connected_entries(),
    );
}

/// Does what is due by time alone.
async fn tick(leased: Arc<LeasedAgent>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for count in 0_u64.. {
        ticks.tick().await;
        if count.is_multiple_of(TICKS_PER_LOAD_LINE) {
            log_load(&leased);
        }
        let suspended_ms = leased.clock.suspended_ms();
        let silent = leased.change(|ledger, now_ms| {
            ledger.note_suspension(suspended_ms, now_ms);
            ledger.check_lease_lapse(now_ms);
            ledger.drop_expired(now_ms);
            ledger.drop_silent_owners(now_ms)
        });
        for entry in &silent {
            event!(Warn, "entry_silent", entry = entry, suspended_ms = suspended_ms);
        }
        if !silent.is_empty() {
            leased.dropped_owners.send_replace(silent);
        }
    }
}

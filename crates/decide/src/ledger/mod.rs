//! An agent's ledger of runs under leases: which tasks wait, which run, and how much capacity
//! is left on its upstream.
//!
//! The agent is the only one that sends orders to its upstream, so the ledger is the authority
//! on free capacity. A run takes its capacity when its start is ordered and frees it only once
//! the upstream shows that the run is over: the upstream lists its end, or does not list the
//! run in the answer to a renewal that was sent after a confirmed stop or after the order's
//! start deadline. A start without an answer keeps its capacity until then.
//!
//! After a restart the agent knows nothing about the runs of its predecessor. It stops them
//! first and starts nothing until the upstream lists none of them any more.

mod arrivals;
mod cold;
mod crash_log;
mod instances;
mod jobs_of_others;
mod lease_limit;
mod load;
mod order_fence;
mod orders;
mod owners;
mod renewal;
mod run_times;
mod starts;
mod types;

pub use {
    lease_limit::SHORTEST_RESUBMIT_MS,
    load::is_significant_change,
    types::{
        AnnouncementOutcome, EndKind, InstanceEnd, LeaseAnswer, LedgerLimits, LossProof,
        RunDecision, RunEnd, SilentOwner, StartAnswer, StartOrder, StartRefusal, WithdrawalOutcome,
    },
};

pub(crate) use crash_log::CRASH_RETENTION_MS;

use {
    crate::contradiction::Contradiction,
    arrivals::ArrivalRates,
    cold::ColdInstance,
    crash_log::CrashLog,
    order_fence::OrderFence,
    owners::Owners,
    run_times::RunTimes,
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            InstanceId, NotStarted, Resources, RunEvent, RunReport, TaskCrashes, TaskKey,
            UpstreamInstance,
        },
    },
};

/// The upstream's clock may be this much slower than the agent's, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// An ordered run that the upstream does not list this long after the order was sent is
/// stopped. An order is usually carried out and answered within 2 ms.
const START_CONFIRM_WITHIN_MS: u64 = 25;

new_key_type! {
    /// Key of a run in the ledger.
    struct RunKey;
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The start has not been ordered yet.
    Waiting,
    /// The start was ordered; the answer is pending or was lost.
    Ordered { since_ms: u64, late_after_clock_ms: u64, unanswered: bool },
    /// The start was ordered from an instance that has ended since. The next instance may have
    /// carried the order out, or may still do so.
    Orphaned { has_crashed: bool },
    /// The upstream confirmed that it runs.
    Running { since_ms: u64 },
}

/// A request to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stop {
    /// When the stop was last sent.
    sent_ms: Option<u64>,
    /// When the upstream confirmed the stop.
    confirmed_ms: Option<u64>,
    /// No lease is prolonged beyond this time until the run is over.
    lease_limit_ms: u64,
}

impl Stop {
    fn new(lease_limit_ms: u64) -> Self {
        Self { sent_ms: None, confirmed_ms: None, lease_limit_ms }
    }
}

/// Sort key of waiting tasks: those that can be in time first, then by priority; within a
/// priority the tasks of jobs that have mostly started, then by the latest start that is in
/// time.
///
/// The last tasks of a job that has mostly started never count as late, because without them
/// all work on the job is wasted. At 1.8 times the usual load, one short job in ten was given
/// up with three quarters of its tasks done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    priority: u8,
    is_job_mostly_waiting: bool,
    start_by_ms: u64,
    arrival: u64,
}

#[derive(Debug)]
struct Run {
    owner: Incarnation,
    task: TaskKey,
    number: u32,
    spec: Arc<str>,
    /// Label that the upstream must have when the run starts.
    required_label: Option<Arc<str>>,
    need: Resources,
    run_ms: u32,
    give_up_ms: u64,
    /// From then on its job's caller may submit the job to another entry.
    share_from_ms: u64,
    rank: Rank,
    phase: Phase,
    stop: Option<Stop>,
    /// Number of a later run that its entry has ordered, refused once this one is over.
    refused_later: Option<u32>,
    start_reported: bool,
    /// Upstreams crashed while the task ran: it does not run beside other suspect tasks.
    suspect: bool,
}

impl Run {
    /// Whether this is the number of the run, or of the later one that it holds up.
    fn has_number(&self, number: u32) -> bool {
        self.number == number || self.refused_later == Some(number)
    }
}

/// Suspensions of the VM since the process began.
#[derive(Clone, Copy, Debug, Default)]
struct Suspension {
    /// Total, in milliseconds.
    total_ms: u64,
    /// Length of the last suspension and when it was noticed.
    last_ms: u64,
    noticed_ms: u64,
}

/// The ledger of one agent. The owner of a run is the entry that placed it.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    /// The instance that calls are addressed to.
    current_instance: Option<InstanceId>,
    /// Answers to calls sent up to this time may come from an instance before the current one.
    current_since_ms: u64,
    /// What the current instance announced.
    announced_instance: Option<UpstreamInstance>,
    /// Another instance that was announced while the current one was answering, and when.
    doubted_announcement: Option<(UpstreamInstance, /* since_ms */ u64)>,
    /// Another pool that announcements of the current instance name.
    other_pool: Option<(String, Contradiction)>,
    /// When the id of the current instance was withdrawn; cleared by an answer that refutes it.
    withdrawn_ms: Option<u64>,
    order_fence: OrderFence,
    draining: bool,
    /// The upstream's data centre is evacuated, so nothing is started there.
    is_evacuated: bool,
    /// No run of an earlier run of the agent is left on the upstream.
    has_no_leftovers: bool,
    /// The upstream's clock, and when it was read.
    upstream_clock: Option<(/* clock_ms */ u64, /* at_ms */ u64)>,
    /// When the last answered renewal was sent.
    renewed_ms: Option<u64>,
    /// When the lease has certainly lapsed, counted from that renewal.
    lapsed_ms: u64,
    /// End of the longest lease that was granted, in the agent's time.
    granted_ms: u64,
    /// Since when the upstream has refused connections, until it answers again.
    refusing_since_ms: Option<u64>,
    suspension: Suspension,
    /// The longest stall of this process since the last answered renewal was sent, in
    /// milliseconds, and when the last one was noticed.
    stalled_ms: u64,
    stall_noticed_ms: u64,
    acknowledged: u64,
    runs: SlotMap<RunKey, Run>,
    by_task: HashMap<TaskKey, RunKey>,
    waiting: BTreeSet<(Rank, RunKey)>,
    taken: Resources,
    pending_starts: usize,
    next_arrival: u64,
    owners: Owners,
    /// Numbers of the last hellos that listed runs of these entries.
    last_hellos: HashMap<Incarnation, u64>,
    leftovers: BTreeMap<(TaskKey, u32), Stop>,
    run_times: RunTimes,
    arrivals: ArrivalRates,
    failing_percent: u32,
    failing_at_ms: u64,
    crash_log: CrashLog,
    cold: Option<ColdInstance>,
    decided: Vec<RunDecision>,
}

impl Ledger {
    /// Creates an empty ledger without an upstream.
    #[must_use]
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            current_instance: None,
            current_since_ms: 0,
            announced_instance: None,
            doubted_announcement: None,
            other_pool: None,
            withdrawn_ms: None,
            order_fence: OrderFence::default(),
            draining: false,
            is_evacuated: false,
            has_no_leftovers: false,
            upstream_clock: None,
            renewed_ms: None,
            lapsed_ms: 0,
            granted_ms: 0,
            refusing_since_ms: None,
            suspension: Suspension::default(),
            stalled_ms: 0,
            stall_noticed_ms: 0,
            acknowledged: 0,
            runs: SlotMap::with_key(),
            by_task: HashMap::new(),
            waiting: BTreeSet::new(),
            taken: Resources::default(),
            pending_starts: 0,
            next_arrival: 0,
            owners: Owners::default(),
            last_hellos: HashMap::new(),
            leftovers: BTreeMap::new(),
            run_times: RunTimes::default(),
            arrivals: ArrivalRates::default(),
            failing_percent: 0,
            failing_at_ms: 0,
            crash_log: CrashLog::default(),
            cold: None,
            decided: Vec::new(),
        }
    }

    fn lose_active(&mut self, proof: LossProof) {
        for key in self.active_runs() {
            self.settle_lost(key, RunEvent::Lost, proof);
        }
    }

    fn active_runs(&self) -> Vec<RunKey> {
        let active = self.runs.iter().filter(|(_, run)| run.phase != Phase::Waiting);
        active.map(|(key, _)| key).collect()
    }

    /// Stops starting tasks and hands the waiting ones back; active runs go on.
    pub fn drain(&mut self) {
        self.draining = true;
        self.drop_waiting(NotStarted::Leaving);
    }

    /// Sets whether the upstream's data centre is evacuated. If so, waiting tasks are handed
    /// back and active runs go on. Returns whether the state changed.
    pub fn set_evacuated(&mut self, is_evacuated: bool) -> bool {
        let changed = self.is_evacuated != is_evacuated;
        self.is_evacuated = is_evacuated;
        if is_evacuated {
            self.drop_waiting(NotStarted::Evacuated);
        }
        changed
    }

    /// Whether there are no runs and every report was confirmed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.owners.all_confirmed()
    }

    /// Returns the number of runs that started or may have started and are not over.
    #[must_use]
    pub fn active_count(&self) -> usize {
        self.runs.len() - self.waiting.len()
    }

    /// Returns the number of runs that an earlier process of the agent has left on the upstream.
    #[must_use]
    pub fn leftover_count(&self) -> usize {
        self.leftovers.len()
    }

    fn drop_waiting(&mut self, why: NotStarted) {
        let waiting: Vec<_> = self.waiting.iter().map(|&(_, key)| key).collect();
        for key in waiting {
            self.settle(key, RunEvent::NotStarted(why));
        }
    }

    /// Records that an entry has heard a message that the agent sent at `heard_ms`.
    pub fn note_owner_contact(&mut self, owner: Incarnation, heard_ms: u64) {
        self.owners.note_contact(owner, heard_ms);
    }

    /// Records an entry that has answered a hello which the agent sent at `hello_ms`.
    ///
    /// For an entry that is known already this is no contact: its answer may precede the end of
    /// jobs that fell due while it stood still.
    pub fn introduce_owner(&mut self, owner: Incarnation, hello_ms: u64) {
        self.owners.introduce(owner, hello_ms);
    }

    /// Returns the entries that [`Self::drop_silent_owners`] would drop now.
    #[must_use]
    pub fn silent_owners(&self, now_ms: u64) -> Vec<SilentOwner> {
        let silent = self.owners.silent_owners(now_ms, self.limits.owner_timeout_ms);
        let silent = silent.into_iter().map(|entry| SilentOwner {
            entry,
            silent_ms: self.owners.silence_ms(entry, now_ms),
            stopped_runs: self.active_runs_of(entry),
        });
        silent.collect()
    }

    fn active_runs_of(&self, owner: Incarnation) -> usize {
        let is_active = |run: &&Run| run.owner == owner && run.phase != Phase::Waiting;
        self.runs.values().filter(is_active).count()
    }

    /// Ends the runs of entries that were not heard from for the owner timeout. Returns these
    /// entries.
    pub fn drop_silent_owners(&mut self, now_ms: u64) -> Vec<Incarnation> {
        let silent = self.owners.silent_owners(now_ms, self.limits.owner_timeout_ms);
        for &owner in &silent {
            self.drop_owner(owner);
        }
        silent
    }

    /// Ends all runs of an entry, as its jobs are lost with it.
    pub fn drop_owner(&mut self, owner: Incarnation) {
        let mine = self.runs.iter().filter(|(_, run)| run.owner == owner);
        let keys: Vec<_> = mine.map(|(key, _)| key).collect();
        for key in keys {
            self.stop_run(key);
        }
        self.owners.remove(owner);
    }

    /// Ends all runs of a process of an entry that has ended, as another one answers at its address.
    pub fn drop_ended_owner(&mut self, owner: Incarnation) {
        self.drop_owner(owner);
        self.last_hellos.remove(&owner);
    }

    /// Returns the runs of an entry, to reconcile them over a new connection.
    #[must_use]
    pub fn held_runs(&self, owner: Incarnation) -> Vec<(TaskKey, u32)> {
        let mine = self.runs.values().filter(|run| run.owner == owner);
        let numbers = |run: &Run| [Some(run.number), run.refused_later];
        mine.flat_map(|run| numbers(run).into_iter().flatten().map(|number| (run.task, number)))
            .collect()
    }

    /// Returns the runs of an entry for a hello of this number, like [`Self::held_runs`].
    ///
    /// The entry counts all others that it has placed here as over. So none of them may start that
    /// is read later, over a connection of an earlier hello.
    pub fn hold_for_hello(&mut self, owner: Incarnation, hello: u64) -> Vec<(TaskKey, u32)> {
        let last = self.last_hellos.entry(owner).or_default();
        *last = hello.max(*last);
        self.held_runs(owner)
    }

    /// Reports runs as lost that were listed to an entry as held and have ended since. They
    /// ended while the entry counted as silent, and reports to a silent entry are not kept.
    pub fn report_missing_runs(&mut self, owner: Incarnation, held: &[(TaskKey, u32)]) {
        for &(task, run) in held {
            let present = self.by_task.get(&task).map(|key| &self.runs[*key]);
            let is_present = present.is_some_and(|present| present.has_number(run));
            if !is_present && !self.owners.has_report(owner, task, run) {
                self.push_report(owner, task, run, RunEvent::Lost, Some(LossProof::EntrySilent));
            }
        }
    }

    /// Forgets an entry whose connection has ended, unless it has runs or unconfirmed reports here.
    /// Until it is heard from again, its silence bounds no lease.
    pub fn forget_settled_owner(&mut self, owner: Incarnation) {
        if self.is_owner_settled(owner) {
            self.owners.remove(owner);
        }
    }

    /// Whether an entry has neither runs nor unconfirmed reports here.
    #[must_use]
    pub fn is_owner_settled(&self, owner: Incarnation) -> bool {
        let has_run = self.runs.values().any(|run| run.owner == owner);
        !has_run && self.owners.is_confirmed(owner)
    }

    /// Returns the upstream's clock, extrapolated from its last answer; `None` before the first
    /// one.
    #[must_use]
    pub fn upstream_clock_ms(&self, now_ms: u64) -> Option<u64> {
        self.upstream_clock.map(|(clock_ms, at_ms)| clock_ms + now_ms.saturating_sub(at_ms))
    }

    fn find_run(&self, task: TaskKey, number: u32) -> Option<RunKey> {
        let key = *self.by_task.get(&task)?;
        (self.runs[key].number == number).then_some(key)
    }

    /// Returns the stops to send now, for runs of this agent and for leftovers of an earlier
    /// one.
    pub fn stops_due(&mut self, now_ms: u64) -> Vec<(TaskKey, u32)> {
        let again_ms = self.limits.stop_retry_ms;
        let is_due = |stop: &Stop| stop.sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + again_ms);
        let mut due = Vec::new();
        for run in self.runs.values_mut() {
            if let Some(stop) = run.stop.as_mut().filter(|stop| is_due(stop)) {
                stop.sent_ms = Some(now_ms);
                due.push((run.task, run.number));
            }
        }
        for (&run, stop) in &mut self.leftovers {
            if is_due(stop) {
                stop.sent_ms = Some(now_ms);
                due.push(run);
            }
        }
        due
    }

    /// Removes a run and reports its outcome.
    fn settle(&mut self, key: RunKey, event: RunEvent) {
        self.settle_as(key, event, None);
    }

    /// Removes a run that is over without an end in the upstream's list, and reports `event`.
    fn settle_lost(&mut self, key: RunKey, event: RunEvent, proof: LossProof) {
        self.settle_as(key, event, Some(proof));
    }

    fn settle_as(&mut self, key: RunKey, event: RunEvent, proof: Option<LossProof>) {
        let Some(run) = self.runs.remove(key) else { return };
        self.by_task.remove(&run.task);
        if run.phase == Phase::Waiting {
            self.waiting.remove(&(run.rank, key));
        } else {
            self.taken = self.taken.minus(&run.need);
        }
        self.push_report(run.owner, run.task, run.number, event, proof);
        if let Some(later) = run.refused_later {
            let refused = RunEvent::NotStarted(NotStarted::Refused);
            self.push_report(run.owner, run.task, later, refused, None);
        }
    }

    fn report(&mut self, run: &Run, event: RunEvent) {
        self.push_report(run.owner, run.task, run.number, event, None);
    }

    fn push_report(
        &mut self,
        owner: Incarnation,
        task: TaskKey,
        run: u32,
        event: RunEvent,
        proof: Option<LossProof>,
    ) {
        if event == RunEvent::Crashed {
            self.crash_log.record_own(task, self.refusing_since_ms);
        }
        self.owners.push_report(owner, task, run, event);
        self.decided.push(RunDecision { owner, task, run, event, proof, taken: self.taken });
    }

    /// Returns the reports that an entry has not confirmed.
    #[must_use]
    pub fn reports(&self, owner: Incarnation) -> Vec<RunReport> {
        self.owners.reports(owner)
    }

    /// Returns the crash records after the given number, and the number of the latest record.
    /// They are reported to all entries under `own`, the incarnation of this agent.
    #[must_use]
    pub fn crashes_after(
        &self,
        number: u64,
        own: Incarnation,
        now_ms: u64,
    ) -> (Vec<TaskCrashes>, u64) {
        (self.crash_log.after(number, own, now_ms), self.crash_log.last_number())
    }

    /// Records crashes at other agents that an entry reported.
    pub fn learn_crashes(&mut self, reported: &[TaskCrashes], own: Incarnation, now_ms: u64) {
        let of_others = reported.iter().filter(|crashes| crashes.agent != own);
        of_others.for_each(|crashes| self.crash_log.record_remote(crashes, now_ms));
    }

    /// Handles an entry's confirmation of its reports up to this number.
    pub fn confirm_reports(&mut self, owner: Incarnation, number: u64) {
        self.owners.confirm_reports(owner, number);
    }

    /// Returns the decisions made since the last call, for the log and the metrics.
    pub fn take_decisions(&mut self) -> Vec<RunDecision> {
        std::mem::take(&mut self.decided)
    }
}

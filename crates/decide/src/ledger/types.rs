//! Input and output types of the ledger.

use {
    std::sync::Arc,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{InstanceId, Resources, TaskKey},
    },
};

/// Limits of a ledger, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Longest lease that the upstream grants, in milliseconds.
    pub lease_ms: u64,
    /// The upstream refuses a start that reaches it later than this, in milliseconds.
    pub start_within_ms: u64,
    /// Time without contact after which the runs of an entry are stopped, in milliseconds.
    pub owner_timeout_ms: u64,
    /// Time after the last contact with an entry at which the leases of its runs have ended, in
    /// milliseconds.
    pub run_after_contact_ms: u64,
    /// Age of a job from which entries are told of tasks that the agent holds for another entry, in
    /// milliseconds.
    pub share_job_after_ms: u64,
    /// Time after which an unconfirmed stop is sent again, in milliseconds.
    pub stop_retry_ms: u64,
    /// Maximum number of starts that were sent to the upstream and not answered.
    pub max_pending_starts: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            lease_ms: 1_000,
            // Twenty times the usual answer time within one VM. A task that is refused as late
            // can still be in time elsewhere.
            start_within_ms: 300,
            // Four heartbeats of 200 ms and the time of a slow turn.
            owner_timeout_ms: 900,
            // The owner timeout, and the stops of a silent entry's runs.
            run_after_contact_ms: 1_200,
            // Half of the time after which callers submit a job again: the rest is for the next
            // heartbeat of each link.
            share_job_after_ms: 650,
            // Thirty times the usual answer time. One stop in twenty may be lost.
            stop_retry_ms: 60,
            // Each start occupies a connection to the upstream.
            max_pending_starts: 8,
        }
    }
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the run, which rises with each start of the task.
    pub run: u32,
    /// The task's specification, as the caller wrote it.
    pub spec: Arc<str>,
    /// Time on the upstream's clock after which it refuses the order, in milliseconds.
    pub late_after_clock_ms: u64,
}

/// The upstream's answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The task runs, or ran.
    Started,
    /// The upstream refused the start; this order never starts the task.
    Refused(StartRefusal),
    /// No answer arrived: the upstream may carry out the order until its deadline.
    Unanswered,
}

/// Why the upstream refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The upstream has seen a higher fence: another run of the agent is in charge.
    Fenced,
    /// A run with this number or a higher one was started or stopped there.
    OldRun,
    /// The order arrived after its deadline.
    Late,
    /// The upstream lacks the capacity.
    NoRoom,
    /// The upstream is unhealthy or did not understand the order.
    Unhealthy,
}

/// How a run ended, as the upstream lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It succeeded.
    Done,
    /// The task or the upstream failed.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease lapsed, or another member of the run's group ended.
    Lapsed,
}

/// How an upstream's instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceEnd {
    /// It disappeared without a withdrawal.
    Crashed,
    /// It withdrew itself.
    Left,
    /// An upstream with another id answers in its place.
    Replaced,
    /// It refused connections until its lease had lapsed.
    Refused,
}

/// Outcome of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It contains nothing new.
    Unchanged,
    /// It is accepted.
    Accepted,
    /// Another instance answers calls at present; the next answer decides.
    Doubted,
    /// It is ignored because it puts a known instance into another pool.
    Ignored,
}

/// Outcome of a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawalOutcome {
    /// The upstream is gone.
    Accepted,
    /// It may stem from an earlier instance. The next answer decides, and nothing starts until
    /// then.
    Doubted,
    /// It names another upstream.
    Ignored,
}

/// The end of a run, as the upstream lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Sequence number of the end, ascending within an instance of the upstream.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
}

/// An upstream's answer to a renewal of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// The instance that answered.
    pub instance: InstanceId,
    /// Fence of the renewal.
    pub fence: u64,
    /// When the renewal was sent, in milliseconds.
    pub sent_ms: u64,
    /// The upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// All tasks that run on the upstream, with the numbers of their runs.
    pub running: Vec<(TaskKey, u32)>,
    /// Ends of runs that the agent has not acknowledged yet.
    pub ended: Vec<RunEnd>,
}

/// How it is known that a run is over whose end the upstream has not told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossProof {
    /// The upstream lists the run as lapsed.
    Lapsed,
    /// The upstream does not list the run any more.
    Unlisted,
    /// Renewals went unanswered for so long that the lease has lapsed.
    Unanswered,
    /// The upstream's instance has ended.
    InstanceEnded,
    /// It ended while its entry counted as silent.
    EntrySilent,
}

impl LossProof {
    /// Name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Lapsed => "lapsed",
            Self::Unlisted => "unlisted",
            Self::Unanswered => "unanswered",
            Self::InstanceEnded => "instance_ended",
            Self::EntrySilent => "entry_silent",
        }
    }
}

/// An entry that was not heard from for the owner timeout, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentOwner {
    /// The entry.
    pub entry: Incarnation,
    /// Time since the entry was last heard from, in milliseconds.
    pub silent_ms: u64,
    /// Number of its runs that are being stopped.
    pub stopped_runs: usize,
}

/// A decision on a run, for the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunDecision {
    /// The entry that placed the run.
    pub owner: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The event reported to the entry.
    pub event: sycamorerail_wire::runs::RunEvent,
    /// How the loss of a run is known.
    pub proof: Option<LossProof>,
    /// Capacity taken on the upstream after the event.
    pub taken: Resources,
}

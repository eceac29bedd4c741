//! What goes into a ledger and what comes out of it.

use {
    std::sync::Arc,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{InstanceId, Resources, TaskKey},
    },
};

/// Figures of a ledger, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Longest lease that the upstream grants, in milliseconds.
    pub lease_ms: u64,
    /// A start that reaches the upstream later than this is refused there.
    pub start_within_ms: u64,
    /// An entry not heard for this long has lost its runs.
    pub owner_timeout_ms: u64,
    /// A stop that is not confirmed is sent again after this.
    pub stop_retry_ms: u64,
    /// Starts sent to the upstream and not answered, at most.
    pub max_pending_starts: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            lease_ms: 1_000,
            // Twenty times the usual answer on one machine; a task refused as
            // late can still be in time elsewhere.
            start_within_ms: 300,
            // With stop and slack below the 1,300 ms after which a caller may
            // hand the job in again at another entry.
            owner_timeout_ms: 900,
            // Thirty times the usual answer: one in twenty may be lost.
            stop_retry_ms: 60,
            // Each occupies a connection to the upstream.
            max_pending_starts: 8,
        }
    }
}

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// The caller's text.
    pub spec: Arc<str>,
    /// The upstream's clock after which it refuses the order, in milliseconds.
    pub late_after_clock_ms: u64,
}

/// How the upstream answered a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The task runs, or ran.
    Started,
    /// It was refused; this order never starts it.
    Refused(StartRefusal),
    /// No answer came: the order may be carried out until it is late.
    Unanswered,
}

/// Why the upstream refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// A higher fence was seen: another run of the agent is in charge.
    Fenced,
    /// This number or a higher one ran there, or was stopped.
    OldRun,
    /// The order came too late.
    Late,
    /// Want of room.
    NoRoom,
    /// Unhealthy, or the order was not understood.
    Unhealthy,
}

/// How a run ended, as the upstream lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Well.
    Done,
    /// By its own or the upstream's fault.
    Failed,
    /// On request.
    Stopped,
    /// Its lease lapsed, or another member of its group ended.
    Lapsed,
}

/// How an upstream's instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceEnd {
    /// It is gone without a word.
    Crashed,
    /// It said that it is gone.
    Left,
    /// An upstream of another id answers in its place.
    Replaced,
}

/// What becomes of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It says nothing new.
    Unchanged,
    /// It is believed.
    Accepted,
    /// The instance that answers calls is another one: the next answer decides.
    Doubted,
    /// It is ignored, as it puts a known instance into another pool.
    Ignored,
}

/// What becomes of a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawalOutcome {
    /// The upstream is gone.
    Accepted,
    /// It may be an earlier instance's: the next answer decides, and nothing starts until then.
    Doubted,
    /// It names another upstream.
    Ignored,
}

/// An end that the upstream lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Its number; rises over the upstream's instance.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// How.
    pub kind: EndKind,
}

/// An upstream's answer to a renewal of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// The instance that answered.
    pub instance: InstanceId,
    /// Fence of the renewal.
    pub fence: u64,
    /// When the renewal was sent.
    pub sent_ms: u64,
    /// The upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// All that runs there.
    pub running: Vec<(TaskKey, u32)>,
    /// Ends not acknowledged yet.
    pub ended: Vec<RunEnd>,
}

/// A decision worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunDecision {
    /// Whose run it is.
    pub owner: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// What happened.
    pub event: sycamorerail_wire::runs::RunEvent,
    /// Room taken after it.
    pub taken: Resources,
}

//! Inputs and decisions of the gate.

use sycamorerail_wire::{
    answer::{Reason, TaskReport},
    ids::TaskId,
    message::{AgentReplyBody, FencedJob, Placement},
};

/// Memory and time limits of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a record is kept after its last change, in milliseconds.
    pub retention_ms: u64,
    /// Maximum bytes of kept results.
    pub kept_result_bytes: u64,
    /// Maximum bytes of records and queued payloads.
    pub record_bytes: u64,
    /// Maximum number of tasks that wait for a slot.
    pub max_queued: usize,
}

/// Whether the upstream accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// No upstream has announced itself.
    Absent,
    /// The upstream accepts work.
    Serving {
        /// Number of tasks that it runs concurrently.
        slots: u16,
    },
    /// The upstream announced that it leaves, or its lease expired.
    Leaving,
}

/// A task to be started now. The gate already holds its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStart {
    /// The placement to start.
    pub placement: Placement,
    /// Time by which the task must have ended, in monotonic milliseconds.
    pub end_by_ms: u64,
    /// Time that it waited for a slot, in milliseconds.
    pub queued_ms: u64,
}

/// The gate's decision on a placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Start the task now.
    Start(Box<TaskStart>),
    /// The task waits for a slot.
    Queued {
        /// When the task is dropped unless it has started, in monotonic
        /// milliseconds.
        start_by_ms: u64,
    },
    /// An earlier placement of the task is queued or running; its reply answers
    /// this placement too.
    Joined,
    /// The task is settled: this is the reply to any further placement of it.
    Settled(AgentReplyBody),
    /// The placement is refused. No record was created.
    Refused(PlacementRefusal),
}

/// Why a placement was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRefusal {
    /// The reason that the reply carries.
    pub reason: Reason,
    /// Whether later placements of the task are certain not to start here either.
    pub never: bool,
    /// Time until a slot is expected to be free, in milliseconds.
    pub retry_after_ms: u32,
}

impl PlacementRefusal {
    /// Converts the refusal to a reply.
    #[must_use]
    pub fn reply(self) -> AgentReplyBody {
        let Self { reason, never, retry_after_ms } = self;
        AgentReplyBody::NotStarted { reason, never, retry_after_ms }
    }
}

/// A task whose outcome is decided. The reply goes to everyone who waits for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledTask {
    /// The task.
    pub task: TaskId,
    /// The reply to its placements.
    pub reply: AgentReplyBody,
}

/// Whether the agent may call the upstream for a task that [`PlacementDecision::Start`] or
/// [`Gate::take_next`](super::Gate::take_next) started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPermit {
    /// The agent may call the upstream.
    Granted,
    /// The task was revoked before the call.
    Revoked,
    /// The upstream was already called for the task, which breaks an invariant.
    AlreadyCalled,
}

/// Result of a revoke.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RevokeOutcome {
    /// The record of each task that has one.
    pub reports: Vec<TaskReport>,
    /// Tasks that the revoke settled.
    pub settled: Vec<SettledTask>,
    /// Tasks whose call to the upstream must be aborted.
    pub aborted: Vec<TaskId>,
}

/// Result of a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FenceOutcome {
    /// The records of the given jobs.
    pub jobs: Vec<FencedJob>,
    /// Queued tasks that were dropped.
    pub settled: Vec<SettledTask>,
}

/// Counts for load reports and gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Running tasks.
    pub running: usize,
    /// Tasks that wait for a slot.
    pub queued: usize,
    /// Records of all states.
    pub records: usize,
    /// Bytes of records and queued payloads.
    pub record_bytes: u64,
    /// Bytes of kept results.
    pub kept_result_bytes: u64,
    /// Fenced incarnations.
    pub fenced: usize,
}

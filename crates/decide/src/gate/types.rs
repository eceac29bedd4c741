//! What the gate is told and what it decides.

use sycamorerail_wire::{
    answer::{Reason, TaskReport},
    ids::TaskId,
    message::{AgentReplyBody, FencedJob, Placement},
};

/// Bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a record is kept after its last change.
    pub retention_ms: u64,
    /// Most bytes of kept results.
    pub kept_result_bytes: u64,
    /// Most bytes of records and queued payloads.
    pub record_bytes: u64,
    /// Most tasks that wait for a slot.
    pub max_queued: usize,
}

/// Whether the upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// None has announced itself.
    Absent,
    /// It takes work.
    Serving {
        /// Tasks it runs at once.
        slots: u16,
    },
    /// It announced leaving, or its lease lapsed.
    Leaving,
}

/// A task to be started now. Its record is made already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStart {
    /// What to start.
    pub placement: Placement,
    /// When the task must have ended.
    pub end_by_ms: u64,
    /// Time it waited for a slot.
    pub queued_ms: u64,
}

/// What becomes of a placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Start it now.
    Start(Box<TaskStart>),
    /// It waits for a slot.
    Queued {
        /// When it is dropped unless it has started.
        start_by_ms: u64,
    },
    /// An earlier placement of the task is queued or running: wait for it.
    Joined,
    /// An earlier placement decided this.
    Settled(AgentReplyBody),
    /// Not taken, no record made.
    Refused(PlacementRefusal),
}

/// Why a placement was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRefusal {
    /// Why.
    pub reason: Reason,
    /// No later placement of the task starts here either.
    pub never: bool,
    /// When a slot is expected to be free.
    pub retry_after_ms: u32,
}

impl PlacementRefusal {
    /// The reply that tells it.
    #[must_use]
    pub fn reply(self) -> AgentReplyBody {
        let Self { reason, never, retry_after_ms } = self;
        AgentReplyBody::NotStarted { reason, never, retry_after_ms }
    }
}

/// A task on which everyone who waits for it must be told the reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledTask {
    /// The task.
    pub task: TaskId,
    /// What became of it.
    pub reply: AgentReplyBody,
}

/// Whether the upstream may be called for a task that [`PlacementDecision::Start`] or
/// [`Gate::take_next`](super::Gate::take_next) told to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPermit {
    /// Call it.
    Granted,
    /// The task was revoked meanwhile.
    Revoked,
    /// The upstream was called for it already: a broken invariant.
    AlreadyCalled,
}

/// What a revoke did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RevokeOutcome {
    /// What is known of each task.
    pub reports: Vec<TaskReport>,
    /// Tasks whose waiters must be told.
    pub settled: Vec<SettledTask>,
    /// Tasks whose call to the upstream must be ended.
    pub aborted: Vec<TaskId>,
}

/// What a fence did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FenceOutcome {
    /// What is held of the jobs asked for.
    pub jobs: Vec<FencedJob>,
    /// Queued tasks that were dropped.
    pub settled: Vec<SettledTask>,
}

/// Counts for load reports and gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tasks running.
    pub running: usize,
    /// Tasks waiting for a slot.
    pub queued: usize,
    /// Records in all.
    pub records: usize,
    /// Bytes of records and queued payloads.
    pub record_bytes: u64,
    /// Bytes of kept results.
    pub kept_result_bytes: u64,
    /// Fenced incarnations.
    pub fenced: usize,
}

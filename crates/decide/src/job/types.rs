//! What a job may do, what happens to it, and what is to be done about it.

use {
    crate::view::UpstreamKey,
    std::sync::Arc,
    sycamorerail_wire::answer::{Answer, Reason, TaskEnd, TaskRecord},
};

/// What a job may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobParameters {
    /// Tasks of the job; one for a request.
    pub task_count: u16,
    /// Attempts at the one task, the first included; 1 unless the job is a
    /// request of a repeatable kind.
    pub max_attempts: u8,
    /// When it must be answered, in monotonic milliseconds.
    pub deadline_at_ms: u64,
    /// An attempt slower than this is joined by a second one.
    pub hedge_after_ms: Option<u32>,
    /// Longest wait for reports of revoked tasks once no answer can be whole.
    pub report_wait_ms: u32,
    /// What the caller is told where coming back makes sense.
    pub retry_after_ms: u32,
}

/// One attempt at one task of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// Position in the job.
    pub index: u16,
    /// Number of the attempt.
    pub attempt: u8,
}

/// One sending of an attempt to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlacementKey {
    /// What was sent.
    pub task: TaskAttempt,
    /// Number of the placement of this attempt.
    pub serial: u16,
}

/// What an agent replied to a placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Started there and ended.
    Ended(TaskEnd),
    /// Started there; its end is not known and won't be.
    Broken(Reason),
    /// Not started by this placement.
    NotStarted {
        /// Why.
        reason: Reason,
        /// No later placement of it starts there either.
        never: bool,
        /// When a slot is expected, in milliseconds.
        retry_after_ms: u32,
    },
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An agent replied to a placement.
    Replied {
        /// The placement.
        placement: PlacementKey,
        /// Name of the agent.
        peer: Arc<str>,
        /// The reply.
        reply: Reply,
    },
    /// The connection broke with the placement open; the same placement is
    /// sent again when the same run of the agent is back.
    ConnectionBroke {
        /// The placement.
        placement: PlacementKey,
    },
    /// The run of the agent could not be reached for long with the placement
    /// open. It may come back and tell of it.
    AgentUnreachable {
        /// The placement.
        placement: PlacementKey,
        /// Name of the agent.
        peer: Arc<str>,
    },
    /// The run of the agent is gone for good with the placement open.
    AgentLost {
        /// The placement.
        placement: PlacementKey,
        /// Name of the agent.
        peer: Arc<str>,
    },
    /// An agent told what it knows of a revoked attempt.
    Reported {
        /// Where it was revoked.
        upstream: UpstreamKey,
        /// The attempt.
        task: TaskAttempt,
        /// Name of the agent.
        peer: Arc<str>,
        /// What is known.
        record: TaskRecord,
    },
    /// No report of a revoked attempt can be had.
    RevokeFailed {
        /// Where it was to be revoked.
        upstream: UpstreamKey,
        /// The attempt.
        task: TaskAttempt,
    },
    /// The caller cancels.
    Cancel,
    /// This run of the home entry is fenced: it must place nothing more.
    Fenced,
    /// The job is given up on, for a reason found when placing it.
    GiveUp(Reason),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Find an upstream for a waiting attempt, then call [`Job::open_placement`].
    Enqueue {
        /// The attempt.
        task: TaskAttempt,
        /// Why it is not the first time, if so.
        cause: Option<Reason>,
        /// Pause before it is looked for, in milliseconds.
        after_ms: u32,
    },
    /// Revoke these at the upstream.
    Revoke {
        /// Where they were placed.
        upstream: UpstreamKey,
        /// What to revoke.
        tasks: Vec<TaskAttempt>,
    },
    /// Answer the caller. Given once, and once more where an `unknown` answer
    /// is made up for by late knowledge.
    Answer(Answer),
}

/// What is asked of whoever paces repetitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryKind {
    /// An attempt that was proven not started is placed elsewhere.
    RefusedPlacement {
        /// How often that happened to this attempt, this time included.
        refusals: u16,
    },
    /// A further attempt at a repeatable request.
    FurtherAttempt {
        /// Why.
        cause: Reason,
        /// Attempts made so far.
        attempts_made: u8,
    },
}

/// The pause before a repetition in milliseconds; `None` to make no further
/// attempt. A refused attempt is placed again in any case.
pub type RetryPacer<'a> = dyn FnMut(RetryKind) -> Option<u32> + 'a;

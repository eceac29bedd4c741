//! Parameters, events and actions of a job.

use {
    crate::view::UpstreamKey,
    std::sync::Arc,
    sycamorerail_wire::answer::{Answer, Reason, TaskEnd, TaskRecord},
};

/// Limits of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobParameters {
    /// Number of tasks; one for a request.
    pub task_count: u16,
    /// Maximum number of attempts at the one task, including the first; 1 unless the job is a
    /// request of a repeatable kind.
    pub max_attempts: u8,
    /// When the job must be answered, in monotonic milliseconds.
    pub deadline_at_ms: u64,
    /// Run time after which a second attempt is started beside the first.
    pub hedge_after_ms: Option<u32>,
    /// Maximum wait for reports of revoked tasks once the job can no longer complete.
    pub report_wait_ms: u32,
    /// Retry delay that the caller is given where a retry makes sense.
    pub retry_after_ms: u32,
}

/// One attempt at one task of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// Index of the task in the job.
    pub index: u16,
    /// Number of the attempt.
    pub attempt: u8,
}

/// One placement of an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlacementKey {
    /// The attempt that was sent.
    pub task: TaskAttempt,
    /// Number of this placement of the attempt.
    pub serial: u16,
}

/// An agent's reply to a placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The task started and ended.
    Ended(TaskEnd),
    /// The task started; its end is unknown and will stay so.
    Broken(Reason),
    /// This placement did not start the task.
    NotStarted {
        /// Why the task was not started.
        reason: Reason,
        /// Whether no later placement of the task can start there either.
        never: bool,
        /// When a slot is expected to be free, in milliseconds.
        retry_after_ms: u32,
    },
}

/// An event of a job.
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
    /// The connection broke while the placement was open. The same placement is sent again when
    /// the same incarnation of the agent is back.
    ConnectionBroke {
        /// The placement.
        placement: PlacementKey,
    },
    /// The agent has been unreachable for long while the placement was open. It may come back and
    /// report.
    AgentUnreachable {
        /// The placement.
        placement: PlacementKey,
        /// Name of the agent.
        peer: Arc<str>,
    },
    /// The incarnation of the agent ended for good while the placement was open.
    AgentLost {
        /// The placement.
        placement: PlacementKey,
        /// Name of the agent.
        peer: Arc<str>,
    },
    /// An agent reported what it knows of a revoked attempt.
    Reported {
        /// Where the attempt was revoked.
        upstream: UpstreamKey,
        /// The attempt.
        task: TaskAttempt,
        /// Name of the agent.
        peer: Arc<str>,
        /// The agent's record of the attempt.
        record: TaskRecord,
    },
    /// No report of a revoked attempt can be obtained.
    RevokeFailed {
        /// Where the attempt was to be revoked.
        upstream: UpstreamKey,
        /// The attempt.
        task: TaskAttempt,
    },
    /// The caller cancels the job.
    Cancel,
    /// This incarnation of the home entry is fenced: it must not place any more.
    Fenced,
    /// The job is given up for a reason found while placing it.
    GiveUp(Reason),
    /// Time has passed.
    Tick,
}

/// An action that the job asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Find an upstream for a waiting attempt, then call [`Job::open_placement`].
    Enqueue {
        /// The attempt.
        task: TaskAttempt,
        /// Why the attempt is enqueued again; `None` if it is enqueued for the first time.
        cause: Option<Reason>,
        /// Delay before an upstream is sought, in milliseconds.
        after_ms: u32,
    },
    /// Revoke attempts at an upstream.
    Revoke {
        /// Where they were placed.
        upstream: UpstreamKey,
        /// The attempts to revoke.
        tasks: Vec<TaskAttempt>,
    },
    /// Answer the caller. This happens once, and again if a later report decides a job that was
    /// answered with `unknown`.
    Answer(Answer),
}

/// A repetition that the pacer is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryKind {
    /// An attempt that was proven not started is placed elsewhere.
    RefusedPlacement {
        /// Number of placements of this attempt that were refused, including this one.
        refusals: u16,
    },
    /// A further attempt at a repeatable request.
    FurtherAttempt {
        /// Why a further attempt is wanted.
        cause: Reason,
        /// Number of attempts made so far.
        attempts_made: u8,
    },
}

/// Returns the delay before a repetition in milliseconds, or `None` to deny a further attempt. A
/// refused attempt is placed again in any case.
pub type RetryPacer<'a> = dyn FnMut(RetryKind) -> Option<u32> + 'a;

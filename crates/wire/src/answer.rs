//! What a caller is told about a job or request.

use {
    crate::ids::TaskId,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// JSON text carried unread between caller and upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Payload(pub String);

/// How a job or request ended, or where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task finished; all results are in the answer. Final.
    Complete,
    /// At least one task definitely failed or can never run. Final.
    Failed,
    /// No task was started, and none ever will be. Final.
    NotRun,
    /// Some task may have run and its result cannot be had. A later fetch may
    /// learn more, and never contradicts it.
    Unknown,
    /// Not decided yet: come back after `retry_after_ms`.
    InDoubt,
}

impl Outcome {
    /// The name callers and counters see.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::InDoubt => "in_doubt",
        }
    }
}

/// Declares [`Reason`] with the name that counters and callers see.
macro_rules! reasons {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal,)+) => {
        /// Why something was refused, retried, failed or left in doubt.
        ///
        /// Each has a counter label and a line in docs/OPERATIONS.md.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Reason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// The name callers and counters see.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)+ }
            }
        }
    };
}

reasons! {
    /// All is well.
    Done = "done",
    /// The job is still running.
    Running = "running",
    /// The upstream answered that the task failed.
    TaskFailed = "task_failed",
    /// The caller cancelled the job.
    Cancelled = "cancelled",
    /// The deadline passed.
    DeadlinePassed = "deadline_passed",
    /// The deadline cannot be met by what is free now.
    DeadlineUnreachable = "deadline_unreachable",
    /// The organisation's quota is used up.
    QuotaUsedUp = "quota_used_up",
    /// All upstreams are busy and the queue is full.
    Overloaded = "overloaded",
    /// The memory for job records is full.
    MemoryFull = "memory_full",
    /// No upstream serves the kind or could ever hold the task.
    NeverPlaceable = "never_placeable",
    /// No upstream is available now.
    NoUpstream = "no_upstream",
    /// The agent's queue is full.
    AgentFull = "agent_full",
    /// The placement names an earlier run of the agent.
    WrongIncarnation = "wrong_incarnation",
    /// The placement came too late to start.
    StartWindowPassed = "start_window_passed",
    /// The upstream is leaving.
    Leaving = "leaving",
    /// The upstream could not be reached, so the task was not started.
    UpstreamUnreachable = "upstream_unreachable",
    /// The connection to the upstream broke after the task was started.
    UpstreamBroken = "upstream_broken",
    /// The upstream did not answer in time.
    UpstreamTimeout = "upstream_timeout",
    /// The task was revoked before it started.
    Revoked = "revoked",
    /// The home entry was declared lost, its placements are refused.
    Fenced = "fenced",
    /// The agent could not be reached.
    AgentUnreachable = "agent_unreachable",
    /// The agent went away with tasks that may have started.
    AgentLost = "agent_lost",
    /// The home entry of the job was lost.
    HomeLost = "home_lost",
    /// The home entry of the job cannot be reached, and is not shown lost yet.
    HomeUnreachable = "home_unreachable",
    /// The result was dropped to stay within the memory bound.
    ResultDropped = "result_dropped",
    /// The id or key is older than the retention; it may have run.
    Expired = "expired",
    /// The same id or key was used with another body.
    Conflict = "conflict",
    /// No such job was submitted to its home.
    NotSubmitted = "not_submitted",
    /// The process is stopping and takes nothing new.
    Draining = "draining",
    /// The process has no configuration yet.
    NotReady = "not_ready",
    /// The platform's service is out or slow.
    PlatformOut = "platform_out",
    /// The platform call budget is used up.
    PlatformBudget = "platform_budget",
    /// The token is missing or unknown.
    Unauthorised = "unauthorised",
    /// The token does not allow this.
    Forbidden = "forbidden",
    /// The request is malformed.
    Invalid = "invalid",
    /// The body is larger than allowed.
    TooLarge = "too_large",
    /// No such organisation, kind or job.
    NotFound = "not_found",
    /// A slow attempt was joined by a second one.
    Hedged = "hedged",
    /// The retry budget is used up.
    RetryBudget = "retry_budget",
    /// The upstream's data centre is evacuated, or all that could serve are.
    Evacuated = "evacuated",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The step of a request's path at which something arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading and checking the call.
    Accept,
    /// Quotas, deadline and load checks.
    Admit,
    /// Sending the job to its home entry.
    Forward,
    /// Binding a caller's own key.
    Bind,
    /// Choosing an upstream and sending the task to its agent.
    Place,
    /// The agent's start gate and queue.
    Start,
    /// The call to the upstream.
    Run,
    /// Revoking tasks.
    Revoke,
    /// Fencing a lost home and collecting what it started.
    Fence,
    /// Assembling the answer.
    Answer,
}

/// One task's result within a complete answer, or its failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The upstream's result.
    Finished(Payload),
    /// The task definitely failed, after it was started.
    Failed {
        /// Why.
        reason: Reason,
        /// What the upstream said, shortened.
        detail: String,
    },
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How it ended.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// Where that arose.
    pub step: Step,
    /// Process or upstream at which it arose.
    pub peer: Option<String>,
    /// More for a person: what was wrong, which task, what is allowed.
    pub detail: Option<String>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Tasks known to have started, where that is of use.
    pub tasks_started: Option<u16>,
    /// One result a task in order: all of them if complete, else none.
    pub results: Vec<Payload>,
}

impl Answer {
    /// An answer without results.
    #[must_use]
    pub fn without_results(outcome: Outcome, reason: Reason, step: Step) -> Self {
        Self {
            outcome,
            reason,
            step,
            peer: None,
            detail: None,
            retry_after_ms: None,
            tasks_started: None,
            results: Vec::new(),
        }
    }

    /// A complete answer.
    #[must_use]
    pub fn complete(results: Vec<Payload>) -> Self {
        let mut answer = Self::without_results(Outcome::Complete, Reason::Done, Step::Answer);
        answer.results = results;
        answer
    }

    /// Names the process or upstream at which it arose.
    #[must_use]
    pub fn at_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = Some(peer.into());
        self
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds text for a person.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }
}

/// What an agent knows of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskRecord {
    /// Never started here, and never will be.
    NeverStarted,
    /// Started, still running.
    Running,
    /// Started and ended; the end is kept.
    Ended(TaskEnd),
    /// Started and ended; the result was dropped to stay within memory.
    EndDropped,
    /// Started; the connection to the upstream broke, so the end is not known.
    Broken(Reason),
}

/// A task with what an agent knows of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// What is known.
    pub record: TaskRecord,
}

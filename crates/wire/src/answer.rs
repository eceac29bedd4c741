//! Answers that callers receive about jobs and requests.

use {
    crate::ids::TaskId,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// JSON text passed unread between caller and upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Payload(pub String);

/// How a job or request ended, or its state until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task finished, and the answer holds all results. Final.
    Complete,
    /// At least one task has definitely failed or can never run. Final.
    Failed,
    /// No task has been started, and none ever will be. Final.
    NotRun,
    /// At least one task may have run, and its result cannot be obtained. A later fetch may
    /// return more, but never contradicts this outcome.
    Unknown,
    /// Not decided yet: the caller should ask again after `retry_after_ms`.
    InDoubt,
}

impl Outcome {
    /// Name in answers and metrics.
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

/// Declares [`Reason`] with the names used in answers and metrics.
macro_rules! reasons {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal,)+) => {
        /// Why something was refused, retried, failed or left in doubt.
        ///
        /// Each reason is a metric label and is described in docs/OPERATIONS.md.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Reason {
            /// All reasons in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Name in answers and metrics.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)+ }
            }
        }
    };
}

reasons! {
    /// No problem arose.
    Done = "done",
    /// The job is still running.
    Running = "running",
    /// The upstream reported that the task failed.
    TaskFailed = "task_failed",
    /// The caller cancelled the job.
    Cancelled = "cancelled",
    /// The deadline passed.
    DeadlinePassed = "deadline_passed",
    /// The deadline cannot be met with the upstreams that are free now.
    DeadlineUnreachable = "deadline_unreachable",
    /// The organisation's quota is used up.
    QuotaUsedUp = "quota_used_up",
    /// All upstreams are busy and the queue is full.
    Overloaded = "overloaded",
    /// The memory for job records is used up.
    MemoryFull = "memory_full",
    /// No upstream serves the kind, or none is large enough for the task.
    NeverPlaceable = "never_placeable",
    /// No upstream is available now.
    NoUpstream = "no_upstream",
    /// The agent's queue is full.
    AgentFull = "agent_full",
    /// The placement names an earlier incarnation of the agent.
    WrongIncarnation = "wrong_incarnation",
    /// The placement arrived after its start window.
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
    /// The home entry was declared lost, so its placements are refused.
    Fenced = "fenced",
    /// The agent could not be reached.
    AgentUnreachable = "agent_unreachable",
    /// The agent was lost with tasks that may have started.
    AgentLost = "agent_lost",
    /// The home entry of the job was lost.
    HomeLost = "home_lost",
    /// The home entry of the job cannot be reached, but is not confirmed lost yet.
    HomeUnreachable = "home_unreachable",
    /// The result was dropped to stay within the memory limit.
    ResultDropped = "result_dropped",
    /// The id or key is older than the retention time; the job may have run.
    Expired = "expired",
    /// The same id or key was used with a different body.
    Conflict = "conflict",
    /// The job was not submitted to its home entry.
    NotSubmitted = "not_submitted",
    /// The process is stopping and accepts no new work.
    Draining = "draining",
    /// The process has no configuration yet.
    NotReady = "not_ready",
    /// The platform's service is unavailable or slow.
    PlatformOut = "platform_out",
    /// The budget of calls to the platform is used up.
    PlatformBudget = "platform_budget",
    /// The token is missing or unknown.
    Unauthorised = "unauthorised",
    /// The token does not allow the request.
    Forbidden = "forbidden",
    /// The request is malformed.
    Invalid = "invalid",
    /// The request body is larger than allowed.
    TooLarge = "too_large",
    /// The organisation, kind or job does not exist.
    NotFound = "not_found",
    /// A second attempt was started because the first one was slow.
    Hedged = "hedged",
    /// The retry budget is used up.
    RetryBudget = "retry_budget",
    /// The data centre of the upstream is evacuated, or those of all suitable upstreams are.
    Evacuated = "evacuated",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The step of processing a request at which a reason arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading and validating the call.
    Accept,
    /// Checking quotas, deadline and load.
    Admit,
    /// Sending the job to its home entry.
    Forward,
    /// Binding a key that the caller chose to a job id.
    Bind,
    /// Choosing an upstream and sending the task to its agent.
    Place,
    /// Checking and queueing the task at the agent.
    Start,
    /// Calling the upstream.
    Run,
    /// Revoking tasks.
    Revoke,
    /// Fencing a lost home entry and collecting the tasks that it started.
    Fence,
    /// Assembling the answer.
    Answer,
}

/// Result or failure of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The task finished with this result of the upstream.
    Finished(Payload),
    /// The task was started and has definitely failed.
    Failed {
        /// Why it failed.
        reason: Reason,
        /// The upstream's message, shortened.
        detail: String,
    },
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How the job or request ended, or its state.
    pub outcome: Outcome,
    /// Why it ended so.
    pub reason: Reason,
    /// Step at which the reason arose.
    pub step: Step,
    /// Process or upstream at which the reason arose.
    pub peer: Option<String>,
    /// Text for a person: what was wrong, which task, what is allowed.
    pub detail: Option<String>,
    /// Time after which the caller should ask again, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Number of tasks known to have started, if it helps the caller.
    pub tasks_started: Option<u16>,
    /// One result for each task in order if the outcome is complete, else empty.
    pub results: Vec<Payload>,
}

impl Answer {
    /// Returns an answer without results.
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

    /// Returns the answer of a complete job or request.
    #[must_use]
    pub fn complete(results: Vec<Payload>) -> Self {
        let mut answer = Self::without_results(Outcome::Complete, Reason::Done, Step::Answer);
        answer.results = results;
        answer
    }

    /// Sets the process or upstream at which the reason arose.
    #[must_use]
    pub fn at_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = Some(peer.into());
        self
    }

    /// Sets the time after which the caller should ask again.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets the text for a person.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }
}

/// An agent's record of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskRecord {
    /// The agent has not started the task and never will.
    NeverStarted,
    /// The agent started the task, and it is still running.
    Running,
    /// The task ended, and the agent has kept its result or failure.
    Ended(TaskEnd),
    /// The task ended, and the agent dropped its result to stay within the memory limit.
    EndDropped,
    /// The agent started the task, but the connection to the upstream broke, so the end is not
    /// known.
    Broken(Reason),
}

/// A task with an agent's record of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The agent's record of the task.
    pub record: TaskRecord,
}

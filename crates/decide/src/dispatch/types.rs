//! What goes into the dispatch of jobs and what comes out of it.

use {
    slotmap::new_key_type,
    std::sync::Arc,
    sycamorerail_wire::runs::{CallerJobId, Resources, StepPlacement, TaskKey},
};

new_key_type! {
    /// A job at its entry.
    pub struct JobKey;
    /// An agent as an entry sees it, over all of its connections and runs.
    pub struct AgentKey;
}

/// What an entry has of one pool of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolView {
    /// Agents that are linked to it.
    pub agents: u32,
    /// The most of each that an upstream of the pool has, here or elsewhere.
    pub largest: Resources,
}

/// Figures of the dispatch, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchLimits {
    /// An agent not heard for this long gets no new work.
    pub suspect_ms: u64,
    /// An agent not heard for this long has ended all that it ran for us.
    pub lost_ms: u64,
    /// Jobs held at once; more are refused.
    pub max_jobs: usize,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self {
            // A heartbeat each way of 200 ms and the time of a slow turn.
            suspect_ms: 600,
            // The agent stops our runs after 900 ms of silence; a stop takes
            // 50 ms and is repeated after 60 ms.
            lost_ms: 1_500,
            // At 4 KB a job some 40 MB.
            max_jobs: 10_000,
        }
    }
}

/// Parameters of a request kind in force.
#[derive(Clone, Debug, PartialEq)]
pub struct KindParameters {
    /// Its name, for logs and counters.
    pub name: String,
    /// The pool of upstreams that runs it.
    pub pool: String,
    /// Lower goes first.
    pub priority: u8,
    /// Ends as failed after which the task's job fails.
    pub max_attempts: u32,
    /// A job is in time within this factor of its longest chain of work ...
    pub stretch: f64,
    /// ... and this much, in milliseconds.
    pub target_ms: u32,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepRequest {
    /// Its tasks.
    pub count: u16,
    /// What each takes.
    pub need: Resources,
    /// Expected run time of each, in milliseconds.
    pub run_ms: u32,
    /// Steps that must be done before it, by number.
    pub after: Vec<u8>,
    /// A label that the upstream must have.
    pub required_label: Option<String>,
    /// A label of upstreams on which it runs faster.
    pub preferred_label: Option<String>,
    /// Tasks of the step on one upstream, at most.
    pub max_per_upstream: Option<u16>,
}

/// A job as it was handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// The caller's id.
    pub id: CallerJobId,
    /// Parameters of its kind.
    pub kind: Arc<KindParameters>,
    /// The caller's text for the upstream.
    pub spec: String,
    /// Its steps.
    pub steps: Vec<StepRequest>,
    /// When it was handed in.
    pub arrived_ms: u64,
    /// When its caller stops waiting.
    pub deadline_ms: u64,
}

/// Why a job ended without its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoResultReason {
    /// It could not end before its caller stops waiting.
    TooLate,
    /// Too much waits already.
    Overload,
    /// Others that go before it find no room.
    Shed,
    /// No upstream of its pool is usable.
    NoUpstream,
    /// All upstreams of its pool are in data centres that are evacuated.
    Evacuated,
    /// No upstream that this entry has a link to could hold one of its tasks; others may.
    NotHere,
    /// The entry is stopping.
    Stopping,
    /// Upstreams crashed while one of its tasks ran there, again and again.
    Crashing,
    /// Its caller has left, or cancelled it.
    Cancelled,
    /// A job of this id is being ended.
    Duplicate,
}

impl NoResultReason {
    /// Label of counters and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::Overload => "overload",
            Self::Shed => "shed",
            Self::NoUpstream => "no_upstream",
            Self::Evacuated => "evacuated",
            Self::NotHere => "not_here",
            Self::Stopping => "stopping",
            Self::Crashing => "crashing",
            Self::Cancelled => "cancelled",
            Self::Duplicate => "duplicate",
        }
    }
}

/// The answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks ended well.
    Completed,
    /// A task failed for the last time allowed, or can never run.
    Failed,
    /// No task of it was started, and none will be.
    NotRun {
        /// Why.
        reason: NoResultReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
    /// Some tasks were started; the job was given up.
    Unknown {
        /// Why.
        reason: NoResultReason,
    },
}

/// When a job is expected to end, as it comes. All times in milliseconds from then.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobForecast {
    /// Until its last task ends, by what agents told; 0 where no upstream is usable.
    pub end_in_ms: u64,
    /// Of these, until that task starts.
    pub wait_ms: u64,
    /// How much later than that jobs of the kind ended lately; 0 where nothing waits.
    pub late_ms: i64,
    /// Until it must end to be in time.
    pub must_end_in_ms: u64,
    /// Until its result is of no use any more.
    pub of_use_in_ms: u64,
    /// Share of jobs that go before it, in percent, refused or late lately.
    pub strain_percent: f64,
    /// Until the entry stops, where that is planned.
    pub stops_in_ms: Option<u64>,
}

impl JobForecast {
    /// Whether the job can be in time.
    #[must_use]
    pub fn is_in_time(&self) -> bool {
        self.end_in_ms.saturating_add_signed(self.late_ms) <= self.must_end_in_ms
    }

    /// Whether a job that cannot be in time is of use to its caller and keeps nobody
    /// waiting: its last task starts at once.
    ///
    /// It answers the seconds after an outage, when jobs that waited for it find free
    /// upstreams.
    #[must_use]
    pub fn is_late_without_harm(&self) -> bool {
        self.wait_ms == 0 && self.end_in_ms <= self.of_use_in_ms
    }
}

/// What the dispatch wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send tasks to an agent.
    Place(AgentKey, StepPlacement),
    /// Have an agent end a job.
    Stop(AgentKey, CallerJobId),
    /// Have an agent hand tasks back that wait there.
    Withdraw(AgentKey, Vec<TaskKey>),
    /// Have an agent go on with what waits of a job that has begun; nobody waits for
    /// it after so many milliseconds.
    Finish(AgentKey, CallerJobId, u32),
    /// Answer whoever waits for the job.
    Answer(JobKey, JobAnswer),
}

//! Inputs and outputs of the dispatch of jobs.

use {
    crate::ledger::LedgerLimits,
    slotmap::new_key_type,
    std::sync::Arc,
    sycamorerail_wire::runs::{CallerJobId, Resources, RunEvent, StepPlacement, TaskKey},
};

new_key_type! {
    /// A job at its entry.
    pub struct JobKey;
    /// An agent at an entry, over all of its connections and incarnations.
    pub struct AgentKey;
}

/// An entry's view of one pool of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolView {
    /// Number of linked agents of the pool.
    pub agents: u32,
    /// Largest capacity of an upstream in the pool, at this entry or another.
    pub largest: Resources,
}

/// Limits of the dispatch, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchLimits {
    /// Heartbeat interval of links to agents, in milliseconds.
    pub heartbeat_ms: u64,
    /// Silence of an agent after which it gets no new work, in milliseconds.
    pub suspect_ms: u64,
    /// Silence of an agent after which all its runs for this entry have ended, in milliseconds.
    pub lost_ms: u64,
    /// Silence of an agent after which what it reported of other entries counts no more, in
    /// milliseconds.
    pub forget_jobs_after_ms: u64,
    /// Age of a job from which other entries are told of it, in milliseconds.
    pub share_job_after_ms: u64,
    /// Time for which runs may go on after their entry is gone, in milliseconds.
    pub run_over_ms: u64,
    /// Silence of an entry after which agents stop its runs, in milliseconds.
    pub owner_timeout_ms: u64,
    /// Maximum number of jobs held at once; more are refused.
    pub max_jobs: usize,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self {
            // A one-way cut is seen within three of them.
            heartbeat_ms: 200,
            // A heartbeat of 200 ms in each direction, and the time of a slow turn.
            suspect_ms: 600,
            // The agent stops this entry's runs after 900 ms of silence; a stop takes 50 ms and
            // is repeated after 60 ms.
            lost_ms: 1_500,
            forget_jobs_after_ms: LedgerLimits::default().forget_jobs_after_ms(),
            share_job_after_ms: LedgerLimits::default().share_job_after_ms,
            run_over_ms: LedgerLimits::default().longest_run_after_contact_ms(),
            owner_timeout_ms: LedgerLimits::default().owner_timeout_ms,
            // At 4 KB a job, about 40 MB.
            max_jobs: 10_000,
        }
    }
}

/// Parameters of a request kind, from the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct KindParameters {
    /// Name of the kind, for logs and counters.
    pub name: String,
    /// Pool of the upstreams that run the kind.
    pub pool: String,
    /// Priority class; lower goes first.
    pub priority: u8,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// A job is on time within this factor of its longest chain of run times ...
    pub stretch: f64,
    /// ... plus this time, in milliseconds.
    pub target_ms: u32,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepRequest {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task takes.
    pub need: Resources,
    /// Expected run time of each task, in milliseconds.
    pub run_ms: u32,
    /// Numbers of the steps that must be done before this one.
    pub after: Vec<u8>,
    /// Label that the upstream must have.
    pub required_label: Option<String>,
    /// Label of upstreams on which the tasks run faster.
    pub preferred_label: Option<String>,
    /// Maximum number of tasks of the step on one upstream.
    pub max_per_upstream: Option<u16>,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Id that the caller chose.
    pub id: CallerJobId,
    /// Parameters of its kind.
    pub kind: Arc<KindParameters>,
    /// The caller's text for the upstream.
    pub spec: String,
    /// Steps of the job.
    pub steps: Vec<StepRequest>,
    /// When the job was submitted.
    pub arrived_ms: u64,
    /// When its caller stops waiting.
    pub deadline_ms: u64,
}

/// Why a job ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoResultReason {
    /// It could not end before its caller stops waiting.
    TooLate,
    /// Too many tasks are waiting.
    Overload,
    /// It was shed in favour of jobs that precede it.
    Shed,
    /// No upstream of its pool is usable.
    NoUpstream,
    /// All upstreams of its pool are in evacuated data centres.
    Evacuated,
    /// No upstream that this entry has a link to could hold one of its tasks; upstreams of other
    /// entries may.
    NotHere,
    /// The entry is stopping.
    Stopping,
    /// Upstreams crashed repeatedly while one of its tasks ran there.
    Crashing,
    /// Its caller has left, or has cancelled it.
    Cancelled,
    /// Another job with this id has not ended yet.
    Duplicate,
    /// Another entry has the job.
    HeldElsewhere,
    /// The entry can't reach a majority of the entries that know who has the job.
    NoMajority,
}

impl NoResultReason {
    /// Label for counters and logs.
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
            Self::HeldElsewhere => "held_elsewhere",
            Self::NoMajority => "no_majority",
        }
    }
}

/// The answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks succeeded.
    Completed,
    /// A task has used up its attempts, or can never run.
    Failed,
    /// No task of the job was started, and none will be.
    NotRun {
        /// Why the job was not run.
        reason: NoResultReason,
        /// Retry delay for the caller, in milliseconds.
        retry_after_ms: u32,
    },
    /// Some tasks were started, or may have been; the job was given up.
    Unknown {
        /// Why the job was given up.
        reason: NoResultReason,
    },
}

/// When a job is expected to end, as of its arrival. All times are in milliseconds from then.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobForecast {
    /// Until the job's last task ends, by the agents' reports; 0 if no upstream is usable.
    pub end_in_ms: u64,
    /// Until that last task starts.
    pub wait_ms: u64,
    /// How much later than forecast jobs of the kind have recently ended; 0 if nothing waits.
    pub late_ms: i64,
    /// Until the job must end to be on time.
    pub must_end_in_ms: u64,
    /// Until its result becomes useless.
    pub useful_for_ms: u64,
    /// Share of such jobs that is shed if they have to wait.
    pub shedding: Shedding,
    /// Until the entry stops, if a stop is planned.
    pub stops_in_ms: Option<u64>,
    /// Whether the job was refused before and returns at the time it was given.
    pub is_return: bool,
}

/// Share of jobs that is shed, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shedding {
    /// The share, in percent.
    pub percent: f64,
    /// The reason for the largest share; `None` if nothing is shed.
    pub cause: Option<ShedCause>,
    /// Mean time that work of the job's priority waits at the upstreams of its pool, in
    /// milliseconds.
    pub queue_ms: f64,
}

/// Why jobs are shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedCause {
    /// Their queue is too long for their slack.
    Queue,
    /// Less urgent kinds are shed, too.
    Yielded,
    /// More urgent jobs are refused or late.
    Strain,
}

impl ShedCause {
    /// Name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Yielded => "yielded",
            Self::Strain => "strain",
        }
    }
}

impl JobForecast {
    /// Whether the job can be on time.
    #[must_use]
    pub fn is_in_time(&self) -> bool {
        self.end_in_ms.saturating_add_signed(self.late_ms) <= self.must_end_in_ms
    }

    /// Whether a late job is still useful to its caller and delays no other job: its last task
    /// starts at once.
    ///
    /// Covers the seconds after an outage, when jobs that waited for its end find free upstreams.
    #[must_use]
    pub fn is_late_but_useful(&self) -> bool {
        self.wait_ms == 0 && self.end_in_ms <= self.useful_for_ms
    }
}

/// Why an entry takes a run at an agent for lost without a report of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The agent has been silent for too long.
    Silent,
    /// The agent has reconnected and does not hold the run.
    NotHeld,
    /// The agent has reconnected before the order of the run was sent.
    NotSent,
    /// The agent has restarted, and nothing of its earlier process is left.
    Restarted,
    /// The agent has been disconnected for so long that the entry forgets it.
    Forgotten,
}

impl LossCause {
    /// Name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::NotHeld => "not_held",
            Self::NotSent => "not_sent",
            Self::Restarted => "restarted",
            Self::Forgotten => "forgotten",
        }
    }
}

/// What shows that a run is over. No task is placed again without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOver {
    /// Its agent has reported its end, or that it has not started.
    Reported(RunEvent),
    /// The entry has taken it for lost.
    Lost(LossCause),
}

impl RunOver {
    /// Name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Reported(RunEvent::Started) => "started",
            Self::Reported(RunEvent::Done { .. }) => "done",
            Self::Reported(RunEvent::Failed { .. }) => "failed",
            Self::Reported(RunEvent::Stopped) => "stopped",
            Self::Reported(RunEvent::Lost) => "lost",
            Self::Reported(RunEvent::Crashed) => "crashed",
            Self::Reported(RunEvent::NotStarted(why)) => why.name(),
            Self::Lost(cause) => cause.name(),
        }
    }
}

/// A run that goes on at an agent though its entry does not want it there, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StrayRun {
    /// The agent that has the run.
    pub agent: AgentKey,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// A run that an entry takes for lost without a report of it, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunLoss {
    /// The agent that had the run.
    pub agent: AgentKey,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Why it counts as lost.
    pub cause: LossCause,
    /// Kind of the agent's last message.
    pub last_message: &'static str,
    /// Number of the hello of the connection over which that message came.
    pub hello: u64,
    /// Time since then, in milliseconds.
    pub silent_ms: u64,
    /// The longest stall of the entry in that time, in which it could hear nobody, in
    /// milliseconds.
    pub stalled_ms: u64,
}

/// An action that the dispatch asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send tasks to an agent.
    Place(AgentKey, StepPlacement),
    /// Tell an agent to end a job.
    Stop(AgentKey, CallerJobId),
    /// Tell an agent to return waiting tasks.
    Withdraw(AgentKey, Vec<TaskKey>),
    /// Tell an agent that most of a job has started, so that it goes on with the job's waiting
    /// tasks. The number is how long the caller still waits, in milliseconds.
    JobMostlyStarted(AgentKey, CallerJobId, u32),
    /// Answer the caller of the job.
    Answer(JobKey, JobAnswer),
}

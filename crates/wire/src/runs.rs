//! Messages between entries and agents for runs under leases: tasks that an
//! upstream runs only as long as its agent renews their lease.
//!
//! An agent dials entries and keeps one connection to each that it chose. Messages go
//! both ways without waiting for replies; what must not be lost (ends of runs)
//! is numbered and sent again on the next connection.

use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, str::FromStr},
};

/// A job's id as its caller chose it: 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallerJobId(pub u64);

impl fmt::Display for CallerJobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is no [`CallerJobId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidCallerJobId;

impl FromStr for CallerJobId {
    type Err = InvalidCallerJobId;

    fn from_str(text: &str) -> Result<Self, InvalidCallerJobId> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return Err(InvalidCallerJobId);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| InvalidCallerJobId)
    }
}

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// Its job.
    pub job: CallerJobId,
    /// Number of its step, from 0.
    pub step: u8,
    /// Its number within the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// What a task takes of an upstream, or what an upstream has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether `need` fits.
    #[must_use]
    pub fn covers(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// What is left beside `taken`; nothing where more is taken than there is.
    #[must_use]
    pub fn minus(&self, taken: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(taken.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(taken.memory_mb),
            accelerators: self.accelerators.saturating_sub(taken.accelerators),
        }
    }

    /// The most of each.
    #[must_use]
    pub fn max_of_each(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

/// One start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The task's number within its step.
    pub index: u16,
    /// Number of the start: 1 for the first, then rising.
    pub run: u32,
}

/// Tasks of one step of a job, for one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepPlacement {
    /// The job.
    pub job: CallerJobId,
    /// Number of the step.
    pub step: u8,
    /// The caller's text for the upstream.
    pub spec: String,
    /// The tasks to start.
    pub tasks: Vec<TaskStart>,
    /// What each takes.
    pub need: Resources,
    /// Expected run time of each, in milliseconds.
    pub run_ms: u32,
    /// Lower goes first among tasks that can still be in time.
    pub priority: u8,
    /// Milliseconds from sending within which the job is in time.
    pub objective_in_ms: u32,
    /// Milliseconds from sending after which nobody waits for the job.
    pub give_up_in_ms: u32,
    /// Most of the job's tasks have begun: these are what it waits for.
    pub job_mostly_started: bool,
    /// Upstreams crashed while these ran there, more than once: not two such tasks run at
    /// one upstream, so that the next crash hits one of them only.
    pub suspect: bool,
}

/// Why a run did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStarted {
    /// The agent or its upstream is leaving.
    Leaving,
    /// The upstream's data centre is evacuated.
    Evacuated,
    /// The entry had not heard the agent lately as the order came: it may be an old one,
    /// and the task may be elsewhere by now.
    Stale,
    /// It could not end before its caller gives up.
    TooLate,
    /// It was withdrawn before it started.
    Withdrawn,
    /// The upstream is gone or was not heard of.
    NoUpstream,
    /// The upstream has seen this run number or a higher one of the task.
    OldRun,
    /// The upstream refused for want of room.
    NoRoom,
    /// The upstream answered as unhealthy, or refused the order.
    Refused,
    /// The order was not carried out in time; it never will be.
    Unanswered,
}

impl NotStarted {
    /// Label of counters and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Stale => "stale",
            Self::TooLate => "too_late",
            Self::Withdrawn => "withdrawn",
            Self::NoUpstream => "no_upstream",
            Self::OldRun => "old_run",
            Self::NoRoom => "no_room",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

/// What became of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEvent {
    /// It began.
    Started,
    /// It ended well, after so many milliseconds.
    Done {
        /// Run time as the agent saw it.
        run_ms: u32,
    },
    /// It ended by its own or the upstream's fault.
    Failed {
        /// Run time as the agent saw it.
        run_ms: u32,
    },
    /// It was stopped on request.
    Stopped,
    /// It began, or may have begun, and surely runs no more; how it ended is
    /// not known.
    Lost,
    /// The same, as its upstream crashed: the life ended without a word while it ran.
    /// Which of its runs brought that about is not known.
    Crashed,
    /// It never began and never will.
    NotStarted(NotStarted),
}

/// A numbered event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Rises with each report of an agent's run.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// What happened.
    pub event: RunEvent,
}

/// Crashes of an agent's upstream while a task ran there, whoever had placed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The run of the agent.
    pub agent: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// How many.
    pub crashes: u8,
    /// How long ago the last one was, in milliseconds.
    pub ago_ms: u32,
}

impl TaskCrashes {
    /// So many crashes, the last of them at this time of the own clock.
    #[must_use]
    pub fn from_last_crash(
        last_ms: i64,
        (agent, task, crashes): (Incarnation, TaskKey, u8),
        now_ms: u64,
    ) -> Self {
        let ago_ms = u32::try_from((now_ms as i64 - last_ms).max(0)).unwrap_or(u32::MAX);
        Self { agent, task, crashes, ago_ms }
    }

    /// When the last one was by the own clock, maybe before that began.
    #[must_use]
    pub fn last_crash_ms(&self, now_ms: u64) -> i64 {
        now_ms as i64 - i64::from(self.ago_ms)
    }
}

/// Priorities that are told apart in [`UpstreamLoad`].
pub const PRIORITY_CLASSES: usize = 4;

/// Load of an agent's upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// It takes new runs: announced, not leaving, nothing of an earlier run of
    /// the agent is left on it.
    pub usable: bool,
    /// What it has in all.
    pub capacity: Resources,
    /// What runs, or may run, takes.
    pub taken: Resources,
    /// Work that waits at the agent by priority, the last for all that is less
    /// urgent or late, in thousandths of a core times milliseconds.
    pub waiting_milli_ms: [u64; PRIORITY_CLASSES],
    /// What is left of the runs, by their estimates, in the same unit.
    pub running_milli_ms: u64,
    /// Tasks that wait at the agent.
    pub waiting: u32,
    /// Run times against their estimates, in percent: 100 as expected.
    pub slowness_percent: u32,
    /// Share of recent runs that ended as failed, in percent.
    pub failing_percent: u32,
}

/// A configuration as the platform holds it, passed on between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationCopy {
    /// Its revision; a higher one replaces a lower one.
    pub revision: u64,
    /// The stored value.
    pub value: String,
}

/// Data centres whose upstreams get no new runs, by the operators' word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The platform's revision as of which the list is known to be true.
    pub revision: u64,
    /// Names of the data centres, sorted.
    pub data_centres: Vec<String>,
}

impl Evacuations {
    /// Whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|evacuated| evacuated == data_centre)
    }

    /// Whether it was true later than the other list, and says something else.
    #[must_use]
    pub fn is_update_to(&self, other: &Self) -> bool {
        self.revision > other.revision && self.data_centres != other.data_centres
    }

    /// What a peer is to be told that holds `known`, where it lacks anything; it holds that
    /// from then on.
    pub fn update_for_peer(&self, known: &mut Self) -> Option<Self> {
        if !self.is_update_to(known) {
            return None;
        }
        known.clone_from(self);
        Some(self.clone())
    }

    /// Takes what was true later. Returns whether the list has changed.
    pub fn merge_newer(&mut self, newer: &Self) -> bool {
        let changed = newer.is_update_to(self);
        if newer.revision > self.revision {
            self.clone_from(newer);
        }
        changed
    }
}

/// Identity of one life of an upstream. An upstream that starts again may keep its id;
/// its start then tells the lives apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// The upstream's id.
    pub id: String,
    /// When it started, in Unix milliseconds by the clock of its VM, which may go back:
    /// a later life may have a lower one. `None` where the upstream does not tell.
    pub started_unix_ms: Option<u64>,
}

impl InstanceId {
    /// The life of an upstream that does not tell when it started.
    #[must_use]
    pub fn without_start(id: &str) -> Self {
        Self { id: id.to_owned(), started_unix_ms: None }
    }

    /// The present life, if this one has its id and does not tell a start: without one
    /// lives are told apart by their ids alone.
    #[must_use]
    pub fn or_current(self, present: Option<&Self>) -> Self {
        let is_present = |present: &&Self| self.started_unix_ms.is_none() && present.id == self.id;
        present.filter(is_present).cloned().unwrap_or(self)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_unix_ms {
            Some(started_unix_ms) => write!(f, "{}@{started_unix_ms}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// An upstream's life as an entry remembers it for an agent that restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInstance {
    /// Which life it is.
    pub id: InstanceId,
    /// Highest fence that orders under the id had so far, as far as it is known. Upstreams
    /// do not announce it; records of the earlier form lack it.
    #[serde(default)]
    pub order_fence: u64,
    /// The pool it belongs to.
    pub pool: String,
    /// What it has in all.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<String>,
    /// It said that it leaves.
    pub leaving: bool,
}

/// First message of an agent on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunsHello {
    /// This run of the agent.
    pub agent: Incarnation,
    /// Name from the settings, the same over restarts.
    pub name: String,
    /// Data centre from the settings.
    pub data_centre: String,
    /// The entry incarnation that the agent heard last at this address.
    pub last_heard_entry: Option<Incarnation>,
    /// Runs of that incarnation that the agent holds, with their numbers. Others
    /// that the entry placed before run no more, if they began at all.
    pub held_runs: Vec<(TaskKey, u32)>,
    /// Reports to that incarnation that it has not confirmed.
    pub unconfirmed_reports: Vec<RunReport>,
    /// Revision of the configuration copy that the agent holds.
    pub configuration_revision: u64,
}

/// First message on a connection to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunsFirstMessage {
    /// An agent connects; the connection stays.
    Agent(RunsHello),
    /// Another entry asks about a job; the connection ends with the answer, a
    /// [`JobQueryReply`].
    Entry(JobQuery),
}

/// A question of an entry whose caller names a job that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobQuery {
    /// The job.
    pub job: CallerJobId,
    /// Whether to cancel it, beside looking.
    pub cancel: bool,
}

/// The answer to a [`JobQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobQueryReply {
    /// The entry holds the job, and has cancelled it where that was asked.
    pub found: bool,
}

/// From an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromRunsAgent {
    /// What became of runs, and the load after it. Also the heartbeat.
    Report {
        /// Messages heard from the entry on this connection.
        heard: u64,
        /// Reports not sent yet on this connection, in their order.
        reports: Vec<RunReport>,
        /// Load of the upstream.
        load: UpstreamLoad,
    },
    /// The upstream's life, when it is known or has changed.
    Upstream(UpstreamInstance),
    /// Inner addresses of entries, as the agent knows them.
    Entries {
        /// It is connected to them now.
        connected: Vec<SocketAddr>,
        /// Its entries have told it of them.
        named: Vec<SocketAddr>,
    },
    /// The most of each that an upstream of the agent's pool has, as its entries told.
    LargestCapacity(Resources),
    /// The agent means to end this connection: nothing more is to be placed over it.
    Unlink,
    /// The agent holds this configuration, which the entry lacks.
    Configuration(ConfigurationCopy),
    /// Evacuations as the agent knows them, which the entry lacks.
    Evacuations(Evacuations),
    /// Highest revision of a configuration that the agent holds.
    ConfigurationRevision {
        /// The revision.
        revision: u64,
    },
    /// Tasks under which the upstream crashed, and suspects that other entries told of, as
    /// this one was not told yet. Reports of such ends follow.
    Crashes(Vec<TaskCrashes>),
    /// The upstream says that it is slow after its start, or not any more.
    Cold {
        /// Milliseconds from sending until it is as fast as others; 0 now.
        left_ms: u32,
    },
}

/// From an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRunsAgent {
    /// First message of a connection, after the agent's.
    Welcome {
        /// This run of the entry.
        entry: Incarnation,
        /// The upstream's last known life, if the entry knows one.
        upstream: Option<UpstreamInstance>,
    },
    /// Addresses of all entries known, for agents to dial.
    Members(Vec<SocketAddr>),
    /// Start these tasks.
    Place(StepPlacement),
    /// Start nothing more of the job, and stop what runs of it.
    Stop(CallerJobId),
    /// Hand these tasks back if they wait still.
    Withdraw(Vec<TaskKey>),
    /// Most tasks of the job have begun: those that wait go before others of their
    /// priority, also when they are late.
    JobMostlyStarted {
        /// The job.
        job: CallerJobId,
        /// Milliseconds from sending after which nobody waits for it.
        give_up_in_ms: u32,
    },
    /// Heartbeat, with what was heard.
    Heartbeat {
        /// Messages heard from the agent on this connection.
        heard: u64,
        /// All reports up to this number are taken note of.
        confirmed: u64,
        /// Agents of the agent's pool that the entry has.
        agents: u32,
        /// The most of each that an upstream of that pool has, as the entry knows.
        largest: Resources,
    },
    /// The answer to [`FromRunsAgent::Unlink`]: no placement follows. The agent ends the
    /// connection once nothing of the entry is left.
    Unlinked,
    /// A newer configuration than the agent holds.
    Configuration(ConfigurationCopy),
    /// Evacuations as the entry knows them, which the agent lacks.
    Evacuations(Evacuations),
    /// The entry holds an older configuration than the agent: send it.
    RequestConfiguration,
    /// Tasks under which upstreams of several agents crashed: to be told to other entries,
    /// which may be handed their jobs in again.
    Crashes(Vec<TaskCrashes>),
}

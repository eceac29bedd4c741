//! Messages between entries and agents for leased runs: tasks that an upstream runs only
//! as long as its agent renews their lease.
//!
//! An agent connects to some of the entries and keeps one connection to each. Both sides
//! send messages without waiting for replies. Messages that must not be lost (the ends of
//! runs) are numbered and sent again on the next connection.
//!
//! Postcard encodes these messages: the order of fields and variants is the wire format.

use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, str::FromStr},
};

/// A job id chosen by the caller. Its text form is 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallerJobId(pub u64);

impl fmt::Display for CallerJobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returned when a text is not a [`CallerJobId`].
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

/// Identity of one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: CallerJobId,
    /// Number of the task's step within the job, from 0.
    pub step: u8,
    /// Number of the task within its step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// Resources that a task needs or that an upstream has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether there is at least as much of each resource as `need` asks for.
    #[must_use]
    pub fn covers(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Subtracts `taken` from each resource, down to 0.
    #[must_use]
    pub fn minus(&self, taken: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(taken.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(taken.memory_mb),
            accelerators: self.accelerators.saturating_sub(taken.accelerators),
        }
    }

    /// Takes the larger amount of each resource.
    #[must_use]
    pub fn max_of_each(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Adds the amounts of each resource, up to the largest number.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

/// A start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Number of the task within its step, from 0.
    pub index: u16,
    /// Number of this start of the task: 1 for the first, then rising.
    pub run: u32,
}

/// What an entry counted on when it chose an agent for tasks. The agent checks it against the
/// upstream that is present, as the entry may not have read of a change yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementTarget {
    /// The agent's upstream as the entry knew it.
    pub instance: InstanceId,
    /// Pool that the tasks belong to.
    pub pool: String,
    /// Label that the tasks require.
    pub required_label: Option<String>,
}

/// Tasks of one step of a job, placed on one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepPlacement {
    /// The job.
    pub job: CallerJobId,
    /// Number of the step within the job, from 0.
    pub step: u8,
    /// What the upstream has to be for these tasks.
    pub target: PlacementTarget,
    /// The caller's specification of the tasks, passed to the upstream unread.
    pub spec: String,
    /// The tasks to start.
    pub tasks: Vec<TaskStart>,
    /// Resources that each task needs.
    pub need: Resources,
    /// Expected run time of each task, in milliseconds.
    pub run_ms: u32,
    /// Lower numbers start first among tasks that can still meet their objective.
    pub priority: u8,
    /// Time left to meet the job's objective, in milliseconds from sending.
    pub objective_in_ms: u32,
    /// Time until the job's caller gives up, in milliseconds from sending.
    pub give_up_in_ms: u32,
    /// Time since the job was submitted, in milliseconds before sending.
    pub age_ms: u32,
    /// Most of the job's tasks have started, so the job waits for the rest. The agent starts
    /// these tasks before others of their priority, also when they are late.
    pub job_mostly_started: bool,
    /// Upstreams crashed more than once while these tasks ran. An upstream runs at most one
    /// suspect task at a time, so that its next crash affects only one of them.
    pub suspect: bool,
}

/// Why the agent did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStarted {
    /// The agent or its upstream is leaving.
    Leaving,
    /// The upstream's data centre is evacuated.
    Evacuated,
    /// When the placement arrived, the entry had not confirmed recent messages of the agent:
    /// the placement may be old, and the task may have been placed elsewhere since.
    Stale,
    /// The run could not end before the caller gives up.
    TooLate,
    /// The entry withdrew the task before it started.
    Withdrawn,
    /// The upstream is gone or has not announced itself.
    NoUpstream,
    /// The upstream has already seen this run number of the task, or a higher one.
    OldRun,
    /// The upstream does not have the resources that the task needs.
    NoRoom,
    /// The upstream reported that it is unhealthy, or refused the start.
    Refused,
    /// The upstream did not confirm the start in time, and will not start the run later.
    Unanswered,
    /// The upstream is not the one that the entry chose, or no longer has the required label.
    OtherInstance,
}

impl NotStarted {
    /// Label in metrics and logs.
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
            Self::OtherInstance => "other_instance",
        }
    }
}

/// An event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEvent {
    /// The run started.
    Started,
    /// The run succeeded.
    Done {
        /// Run time as the agent measured it, in milliseconds.
        run_ms: u32,
    },
    /// The run ended with a failure of the task or of the upstream.
    Failed {
        /// Run time as the agent measured it, in milliseconds.
        run_ms: u32,
    },
    /// The run was stopped on request.
    Stopped,
    /// The run started, or may have started, and certainly runs no more; how it ended is
    /// not known.
    Lost,
    /// As [`Self::Lost`], because the upstream crashed: the instance ended without notice
    /// while the run was active. Which of its runs caused the crash is not known.
    Crashed,
    /// The run did not start and never will.
    NotStarted(NotStarted),
}

/// A numbered report of an event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Number of the report; rises within an incarnation of the agent.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the start of the task.
    pub run: u32,
    /// What happened.
    pub event: RunEvent,
}

/// Crashes of an agent's upstream while a task ran there, whichever entry placed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Incarnation of the agent.
    pub agent: Incarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of crashes.
    pub crashes: u8,
    /// Time since the last crash, in milliseconds.
    pub ago_ms: u32,
}

impl TaskCrashes {
    /// Builds the message from the time of the last crash by the sender's clock.
    #[must_use]
    pub fn from_last_crash(
        last_ms: i64,
        (agent, task, crashes): (Incarnation, TaskKey, u8),
        now_ms: u64,
    ) -> Self {
        let ago_ms = u32::try_from((now_ms as i64 - last_ms).max(0)).unwrap_or(u32::MAX);
        Self { agent, task, crashes, ago_ms }
    }

    /// Time of the last crash by the receiver's clock, negative where the crash came before
    /// that clock's start.
    #[must_use]
    pub fn last_crash_ms(&self, now_ms: u64) -> i64 {
        now_ms as i64 - i64::from(self.ago_ms)
    }
}

/// Number of priority classes in [`UpstreamLoad`].
pub const PRIORITY_CLASSES: usize = 4;

/// Load of an agent's upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream takes new runs: it is announced and not leaving, and no run of an earlier
    /// incarnation of the agent is left on it.
    pub usable: bool,
    /// All resources of the upstream.
    pub capacity: Resources,
    /// Resources of the runs that are active or may be.
    pub taken: Resources,
    /// Expected work of the tasks that wait at the agent, by priority, in thousandths of a
    /// core times milliseconds. The last class holds all lower priorities and late tasks.
    pub waiting_milli_ms: [u64; PRIORITY_CLASSES],
    /// Expected work left of the active runs, in the same unit.
    pub running_milli_ms: u64,
    /// Number of tasks that wait at the agent.
    pub waiting: u32,
    /// Run times relative to their estimates, in percent; 100 is as expected.
    pub slowness_percent: u32,
    /// Share of recent runs that failed, in percent.
    pub failing_percent: u32,
    /// Work that was placed at the agent lately, by priority as in `waiting_milli_ms`: the
    /// capacity that it takes while as much arrives, in thousandths of a core.
    pub arriving_milli: [u32; PRIORITY_CLASSES],
}

/// A copy of the platform's configuration, passed on between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationCopy {
    /// Revision of the configuration; a higher one replaces a lower one.
    pub revision: u64,
    /// The value as the platform stores it.
    pub value: String,
}

/// Requests a part of a [`ConfigurationCopy`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyPartRequest {
    /// Revision of the copy.
    pub revision: u64,
    /// Bytes of the copy's value before the part.
    pub offset: u32,
}

/// A part of the sender's [`ConfigurationCopy`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyPart {
    /// Revision of the copy, which may be another one than requested.
    pub revision: u64,
    /// Size of the copy's whole value, in bytes.
    pub total_bytes: u32,
    /// Bytes of the value before the part.
    pub offset: u32,
    /// The part.
    pub text: String,
}

/// Data centres that operators have evacuated: their upstreams get no new runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The platform's latest revision at which the list is known to be current.
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

    /// Whether this list is newer than `other` and names other data centres.
    #[must_use]
    pub fn is_update_to(&self, other: &Self) -> bool {
        self.revision > other.revision && self.data_centres != other.data_centres
    }

    /// Returns the list to send to a peer that holds `known`, if it is an update for the peer,
    /// and sets `known` to it.
    pub fn update_for_peer(&self, known: &mut Self) -> Option<Self> {
        if !self.is_update_to(known) {
            return None;
        }
        known.clone_from(self);
        Some(self.clone())
    }

    /// Takes over `newer` if its revision is higher. Returns whether the data centres changed.
    pub fn merge_newer(&mut self, newer: &Self) -> bool {
        let changed = newer.is_update_to(self);
        if newer.revision > self.revision {
            self.clone_from(newer);
        }
        changed
    }
}

/// Identity of one instance of an upstream, from its start to its end. An upstream that
/// restarts may keep its id; the start time then tells its instances apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// The upstream's id.
    pub id: String,
    /// Start time in Unix milliseconds by the clock of the upstream's VM. That clock may go
    /// back, so a later instance may have a lower one. `None` if the upstream reports none.
    pub started_unix_ms: Option<u64>,
}

impl InstanceId {
    /// Identity of an instance of an upstream that reports no start time.
    #[must_use]
    pub fn without_start(id: &str) -> Self {
        Self { id: id.to_owned(), started_unix_ms: None }
    }

    /// Returns `current` if this identity has the same id and no start time, because instances
    /// without a start time are told apart by their ids alone. Otherwise returns `self`.
    #[must_use]
    pub fn or_current(self, current: Option<&Self>) -> Self {
        current.filter(|current| self.may_be(current)).cloned().unwrap_or(self)
    }

    /// Whether this is the identity of `other`, as far as it tells: without a start time it is
    /// that of any instance with the same id.
    #[must_use]
    pub fn may_be(&self, other: &Self) -> bool {
        self == other || (self.started_unix_ms.is_none() && self.id == other.id)
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

/// Start times are below this Unix time, in milliseconds (in the year 2109). Fences of orders are
/// computed from start times and stay exact in JSON only below it.
pub const MAX_START_UNIX_MS: u64 = 1 << 42;

/// An instance of an upstream, as its agent describes it. Entries keep the record, so that
/// an agent that restarts gets it back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInstance {
    /// Identity of the instance.
    pub id: InstanceId,
    /// Highest fencing number known to have been used in orders to the upstream id. Upstreams do
    /// not announce it. Defaults to 0, because older stored records lack it.
    #[serde(default)]
    pub order_fence: u64,
    /// Pool that the upstream belongs to.
    pub pool: String,
    /// All resources of the upstream.
    pub capacity: Resources,
    /// Labels that tasks may require.
    pub labels: Vec<String>,
    /// The upstream has announced that it is leaving.
    pub leaving: bool,
}

impl UpstreamInstance {
    /// Whether the upstream has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }

    /// Whether tasks that were placed for `target` may run here.
    #[must_use]
    pub fn is_target(&self, target: &PlacementTarget) -> bool {
        target.instance.may_be(&self.id)
            && target.pool == self.pool
            && target.required_label.as_deref().is_none_or(|label| self.has_label(label))
    }
}

/// First message of an agent on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunsHello {
    /// Incarnation of the agent.
    pub agent: Incarnation,
    /// The agent's name from its settings; a restart keeps it.
    pub name: String,
    /// The agent's data centre from its settings.
    pub data_centre: String,
    /// Entry incarnation that the agent last connected to at this address.
    pub last_heard_entry: Option<Incarnation>,
    /// Runs placed by that incarnation that the agent still holds, with their run numbers.
    /// Others that it placed earlier are not active any more, if they started at all.
    pub held_runs: Vec<(TaskKey, u32)>,
    /// Reports to that incarnation which it has not confirmed.
    pub unconfirmed_reports: Vec<RunReport>,
    /// Revision of the configuration copy that the agent holds.
    pub configuration_revision: u64,
    /// Number of the hello, which rises over all that this incarnation of the agent sends. A
    /// connection that the agent has given up may deliver its hello after that of the next one.
    pub number: u64,
}

/// First message on a connection to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunsFirstMessage {
    /// An agent connects and keeps the connection.
    Agent(RunsHello),
    /// Another entry asks about a job. The reply is a [`JobQueryReply`], after which the
    /// connection ends.
    Entry(JobQuery),
    /// Another entry connects to claim jobs, and keeps the connection. It sends
    /// [`ClaimRequests`]; the replies are [`ClaimAnswers`].
    Claimant(ClaimantHello),
}

/// Where an entry is reached, and where it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Its inner address.
    pub address: SocketAddr,
    /// Name of its data centre; empty if it is not known.
    pub data_centre: String,
}

/// Entries that vote on claims. The platform keeps it; only its voters' agreement changes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterList {
    /// Rises by one with each change.
    pub number: u64,
    /// The voters.
    pub voters: Vec<EntryAddress>,
    /// The voters that are to replace them; empty if no change is under way. Until then both
    /// decide.
    #[serde(default)]
    pub next: Vec<EntryAddress>,
}

/// First message of an entry that claims jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimantHello {
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Its inner address, as other entries know it.
    pub entry: SocketAddr,
    /// Number of the connection, which rises over the connections of an incarnation.
    pub connection: u64,
    /// When it was sent, in Unix milliseconds by the clock of the entry, for logs.
    pub sent_unix_ms: u64,
}

/// Claims of an entry on jobs, and claims that it gives up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequests {
    /// Claims, sent for the first time or again.
    pub claims: Vec<JobClaim>,
    /// Claims that the entry gives up.
    pub releases: Vec<ClaimRelease>,
    /// Whether the entry has handled what was due, so that it still wants the jobs that it has
    /// claimed.
    pub is_current: bool,
    /// Number of the entry's list of voters; 0 if it has none.
    pub voters_number: u64,
    /// The list, if it is new on this connection.
    pub voters: Option<VoterList>,
}

/// Claim on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobClaim {
    /// The job.
    pub job: CallerJobId,
    /// Number of the claim, which rises over the claims of an entry.
    pub number: u64,
    /// Time for which it is claimed, in milliseconds.
    pub for_ms: u64,
    /// What the entry says of it.
    pub standing: ClaimStanding,
}

/// What an entry says of a claim that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStanding {
    /// It is not granted yet.
    New,
    /// Enough holders have granted it, so that the job may run.
    Granted,
    /// Enough holders had granted it, and none has confirmed it for so long that they may have
    /// granted the job to another entry since. Only a holder that has granted it before, and to
    /// nobody else since, keeps it.
    Renewed {
        /// Time since the last confirmation, in milliseconds.
        confirmed_ago_ms: u64,
    },
}

/// End of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The job.
    pub job: CallerJobId,
    /// Number of the claim.
    pub number: u64,
    /// Time after which it ends, in milliseconds.
    pub after_ms: u64,
}

/// Answers to claims. Each [`ClaimRequests`] gets one, in the same order; one more without answers
/// tells that the holder is leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswers {
    /// Answers to the claims of the message.
    pub answers: Vec<AnsweredClaim>,
    /// Whether the holder is about to end as planned and answers no claims any more.
    pub is_leaving: bool,
    /// Number of the holder's list of voters; 0 if it has none.
    pub voters_number: u64,
    /// The list, if the claimant has an earlier one or none.
    pub voters: Option<VoterList>,
    /// Whether the holder votes on claims of the list that the message named. Otherwise the answer
    /// confirms no claim.
    pub has_vote: bool,
    /// Whether the holder can say that its list is in force.
    pub has_word: bool,
    /// Whether the holder has voted by its list lately.
    pub vouches: bool,
}

/// Claim with the answer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredClaim {
    /// The job.
    pub job: CallerJobId,
    /// Number of the claim.
    pub number: u64,
    /// The answer.
    pub answer: ClaimAnswer,
}

/// Answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimant has the job.
    Granted,
    /// Another entry has it.
    Held,
    /// Another entry has had it, and its claim ends by some time: the entry has given the job up,
    /// or is not heard. The claim is to be sent again.
    Ending {
        /// Time until the other claim ends at the latest, in milliseconds.
        in_ms: u32,
    },
    /// The holder has started lately and does not know what its process before has granted. The
    /// claim is to be sent again after this time.
    NotYet {
        /// In milliseconds.
        in_ms: u32,
    },
    /// The holder has not granted the claim that is renewed, or has granted the job to another entry
    /// since.
    NotKept,
    /// The holder has another list of voters, or can't tell whether its own is still in force. It
    /// takes note of the claim, which is to be sent again.
    NoVote,
}

/// Sent to the other entries by an entry whose caller names a job that the entry does not
/// hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobQuery {
    /// The job.
    pub job: CallerJobId,
    /// Whether to cancel the job as well.
    pub cancel: bool,
}

/// Reply to a [`JobQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobQueryReply {
    /// The entry holds the job, and has cancelled it if the query asked for that.
    pub found: bool,
}

/// Messages about leased runs from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromRunsAgent {
    /// Events of runs and the load after them. Also serves as the agent's heartbeat.
    Report {
        /// Number of messages received from the entry on this connection.
        heard: u64,
        /// Reports not yet sent on this connection, in ascending order of their numbers.
        reports: Vec<RunReport>,
        /// Load of the upstream.
        load: UpstreamLoad,
    },
    /// The upstream's instance, sent once it is known and when it has changed.
    Upstream(UpstreamInstance),
    /// Addresses of entries for agents and peers, as the agent knows them.
    Entries {
        /// Entries that the agent is connected to.
        connected: Vec<SocketAddr>,
        /// Entries that those entries have told the agent of.
        named: Vec<EntryAddress>,
    },
    /// Largest amount of each resource that any upstream of the agent's pool has, as reported
    /// by the agent's entries.
    LargestCapacity(Resources),
    /// The agent is about to close this connection: the entry must place nothing more on it.
    Unlink,
    /// A newer configuration than the entry holds. Only agents of earlier versions send it.
    Configuration(ConfigurationCopy),
    /// Evacuations as the agent knows them, newer than those of the entry.
    Evacuations(Evacuations),
    /// Revision of the configuration that the agent holds.
    ConfigurationRevision {
        /// The revision.
        revision: u64,
    },
    /// Tasks that ran when the upstream crashed, and suspect tasks reported by other entries,
    /// as far as this entry has not been told yet. The reports of those runs follow.
    Crashes(Vec<TaskCrashes>),
    /// The upstream reports that it is slow after its start, or no longer slow.
    Cold {
        /// Time until it reaches full speed, in milliseconds from sending; 0 if it has.
        left_ms: u32,
    },
    /// Changes to the jobs of other entries that the agent holds and that their callers may submit
    /// again, here or elsewhere. On a new connection none is held.
    JobsOfOthers {
        /// Jobs that are held and were not.
        held: Vec<CallerJobId>,
        /// Jobs that were held and are not.
        over: Vec<CallerJobId>,
    },
    /// The agent asks for a part of the entry's configuration.
    RequestConfigurationPart(CopyPartRequest),
    /// Reply to [`ToRunsAgent::RequestConfigurationPart`].
    ConfigurationPart(CopyPart),
}

impl FromRunsAgent {
    /// Name of the kind of message, for logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Report { .. } => "report",
            Self::Upstream(_) => "upstream",
            Self::Entries { .. } => "entries",
            Self::LargestCapacity(_) => "largest_capacity",
            Self::Unlink => "unlink",
            Self::Configuration(_) => "configuration",
            Self::Evacuations(_) => "evacuations",
            Self::ConfigurationRevision { .. } => "configuration_revision",
            Self::Crashes(_) => "crashes",
            Self::Cold { .. } => "cold",
            Self::JobsOfOthers { .. } => "jobs_of_others",
            Self::RequestConfigurationPart(_) => "request_configuration_part",
            Self::ConfigurationPart(_) => "configuration_part",
        }
    }
}

/// Messages about leased runs from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRunsAgent {
    /// First message of the entry on a connection, in reply to [`RunsHello`].
    Welcome {
        /// Incarnation of the entry.
        entry: Incarnation,
        /// The upstream's last instance, if the entry knows one.
        upstream: Option<UpstreamInstance>,
    },
    /// Addresses of all known entries, for the agent to connect to.
    Members(Vec<EntryAddress>),
    /// Start these tasks.
    Place(StepPlacement),
    /// Start no more tasks of the job, and stop its active runs.
    Stop(CallerJobId),
    /// Hand these tasks back if they have not started.
    Withdraw(Vec<TaskKey>),
    /// Most tasks of the job have started. The agent starts those that wait before others of
    /// their priority, also when they are late.
    JobMostlyStarted {
        /// The job.
        job: CallerJobId,
        /// Time until the job's caller gives up, in milliseconds from sending.
        give_up_in_ms: u32,
    },
    /// Changes to the jobs of this entry that their callers may submit to another one, which the
    /// agent passes on as [`FromRunsAgent::JobsOfOthers`]. On a new connection there are none.
    OldJobs {
        /// Jobs that are held and old enough.
        held: Vec<CallerJobId>,
        /// Jobs that are so no more.
        over: Vec<CallerJobId>,
    },
    /// Heartbeat, which confirms what the entry has received.
    Heartbeat {
        /// Number of messages received from the agent on this connection.
        heard: u64,
        /// The entry has processed all reports up to this number.
        confirmed: u64,
        /// Number of agents of this agent's pool that are connected to the entry.
        agents: u32,
        /// Largest amount of each resource that any upstream of that pool has, as the entry
        /// knows.
        largest: Resources,
    },
    /// Reply to [`FromRunsAgent::Unlink`]: no placement follows. The agent closes the
    /// connection once it holds no run of the entry.
    Unlinked,
    /// A newer configuration than the agent holds. Only entries of earlier versions send it.
    Configuration(ConfigurationCopy),
    /// Evacuations as the entry knows them, newer than those of the agent.
    Evacuations(Evacuations),
    /// The entry holds an older configuration than the agent and asks for the agent's. Only
    /// entries of earlier versions send it.
    RequestConfiguration,
    /// Tasks that ran when upstreams of several agents crashed. The agent passes them on to
    /// its other entries, where callers may submit the jobs again.
    Crashes(Vec<TaskCrashes>),
    /// Revision of the configuration that the entry holds.
    ConfigurationRevision {
        /// The revision.
        revision: u64,
    },
    /// The entry asks for a part of the agent's configuration.
    RequestConfigurationPart(CopyPartRequest),
    /// Reply to [`FromRunsAgent::RequestConfigurationPart`].
    ConfigurationPart(CopyPart),
}

//! Messages of the inner protocol. One request and one reply a stream.
//!
//! An agent dials every entry and says [`AgentHello`]; from then on either
//! side opens streams on that connection. Entries dial each other when needed.

use {
    crate::{
        answer::{Answer, Payload, Reason, TaskEnd, TaskReport},
        ids::{ContentHash, Incarnation, JobId, OrganisationKey, TaskId},
        runs::Evacuations,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Highest configuration mark a process has seen: the platform's own revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigMark(pub u64);

/// Who an agent is and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AgentIdentity {
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// Name from the settings, the same over restarts.
    pub name: String,
    /// Address of the agent, for people.
    pub address: SocketAddr,
    /// Data centre from the settings.
    pub data_centre: String,
    /// Rack from the settings.
    pub rack: String,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The upstream's name.
    pub name: String,
    /// Tasks it runs at once.
    pub slots: u16,
    /// Largest declared task size it can hold, in bytes of memory.
    pub max_task_bytes: u64,
    /// Request kinds it serves, as `organisation/kind`, `*/kind` or `*`.
    pub kinds: Vec<String>,
}

/// Load of an agent's upstream; rides on every reply to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Grows with each report of this run, so that an older one is not taken.
    pub sequence: u64,
    /// Tasks running.
    pub running: u16,
    /// Tasks accepted and waiting for a slot.
    pub queued: u16,
    /// Slots in all.
    pub slots: u16,
    /// The upstream is leaving, or was not heard of for its lease.
    pub leaving: bool,
}

/// First message of an agent on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// Who it is.
    pub agent: AgentIdentity,
    /// Its upstream, if one has announced itself.
    pub upstream: Option<UpstreamInfo>,
    /// Load now.
    pub load: Load,
    /// Highest configuration mark the agent has seen on replies.
    pub config_mark: ConfigMark,
    /// Evacuated data centres as the agent knows them.
    pub evacuations: Evacuations,
}

/// What an entry answers to [`AgentHello`] and [`FromAgent::Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryWelcome {
    /// This run of the entry.
    pub incarnation: Incarnation,
    /// The members known, unless they are those last told on this connection.
    pub members: Option<MemberList>,
    /// Highest configuration mark the entry has seen.
    pub config_mark: ConfigMark,
    /// The entry is stopping: keep the connection, expect no new work.
    pub draining: bool,
    /// Evacuated data centres as the entry knows them, unless the agent holds them by
    /// what was said on this connection.
    pub evacuations: Option<Evacuations>,
}

/// Members that an entry tells agents of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// All entries known, for the agent to dial.
    pub entries: Vec<SocketAddr>,
    /// Runs of entries that are fenced for good.
    pub fenced: Vec<Incarnation>,
}

/// From an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromAgent {
    /// First message of a connection, and again when the upstream changes:
    /// announced, changed, leaving or gone.
    Hello(Box<AgentHello>),
    /// Heartbeat of an idle pair.
    Heartbeat {
        /// Load now.
        load: Load,
        /// Highest configuration mark the agent has seen.
        config_mark: ConfigMark,
    },
}

/// A task for an agent to start, once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The run of the agent it is meant for.
    pub agent: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Tasks in the job.
    pub task_count: u16,
    /// Hash of the whole submission, kept with the record.
    pub content: ContentHash,
    /// Organisation's name, for the upstream.
    pub organisation: String,
    /// Request kind's name.
    pub kind: String,
    /// What the upstream is to be given.
    pub payload: Payload,
    /// Start within this many milliseconds of receipt, or refuse.
    pub start_within_ms: u32,
    /// End within this many milliseconds of receipt.
    pub end_within_ms: u32,
    /// Lower starts first among those queued at the agent.
    pub urgency: u8,
    /// Highest configuration mark the entry has seen.
    pub config_mark: ConfigMark,
}

/// From an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Start a task. Sent again after a broken connection it joins the first.
    Place(Placement),
    /// Stop these tasks: those not started never start, those running are
    /// ended as failed, those ended are told.
    Revoke {
        /// The tasks, of one or more jobs.
        tasks: Vec<TaskId>,
    },
    /// Refuse all placements of this run of an entry from now on, and tell
    /// what is known of these jobs.
    Fence {
        /// The lost run.
        home: Incarnation,
        /// Jobs asked for.
        jobs: Vec<JobId>,
    },
    /// Are you there? Sent only while work is outstanding and nothing was
    /// heard for a while.
    Probe,
    /// A run of an entry has started: dial it, rather than find out at the next
    /// heartbeat.
    EntryStarted {
        /// Its address for agents.
        address: SocketAddr,
        /// The run.
        incarnation: Incarnation,
    },
    /// Evacuated data centres as the entry knows them, when they have changed.
    Evacuations(Evacuations),
}

/// From an agent, in reply to [`ToAgent`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReply {
    /// The run that answers.
    pub agent: Incarnation,
    /// Load after what was asked.
    pub load: Load,
    /// Highest configuration mark the agent has seen.
    pub config_mark: ConfigMark,
    /// The reply proper.
    pub body: AgentReplyBody,
}

/// The reply proper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentReplyBody {
    /// The task was started here and ended.
    Ended {
        /// How it ended.
        end: TaskEnd,
        /// Time in the upstream, in microseconds.
        run_us: u64,
        /// Time queued at the agent, in microseconds.
        queued_us: u64,
    },
    /// The task was started here; its end is not known and won't be.
    Broken(Reason),
    /// The task was not started by this placement. `never` tells that no
    /// later placement of it starts here either.
    NotStarted {
        /// Why.
        reason: Reason,
        /// A tombstone is kept: later placements are refused as well.
        never: bool,
        /// When the agent expects a free slot, in milliseconds.
        retry_after_ms: u32,
    },
    /// What is known of each revoked task.
    Revoked(Vec<TaskReport>),
    /// What is known of the fenced jobs: tasks with any record. A task of a
    /// fenced job that is not listed was never started here and never will be.
    Fenced(Vec<FencedJob>),
    /// Reply to a probe.
    Probed,
    /// Taken.
    Acknowledged,
}

/// What an agent holds of a fenced job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedJob {
    /// The job.
    pub job: JobId,
    /// Tasks in the job, from its placements.
    pub task_count: u16,
    /// Hash of the submission, from its placements.
    pub content: ContentHash,
    /// Its tasks with a record here.
    pub tasks: Vec<TaskReport>,
}

/// What is submitted: a job of tasks, or a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Each task starts at most once, whatever the kind.
    Job,
    /// A single call; the system may repeat it if the kind allows.
    Request,
}

/// A submission on its way to its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Reserved id.
    pub job: JobId,
    /// Job or request.
    pub unit: Unit,
    /// Organisation's name, from the caller's token.
    pub organisation: String,
    /// Request kind.
    pub kind: String,
    /// One payload a task.
    pub payloads: Vec<Payload>,
    /// Hash of unit, kind and payloads.
    pub content: ContentHash,
    /// The caller's deadline in milliseconds from receipt, if given.
    pub deadline_ms: Option<u32>,
}

/// From one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Take the submission, answer when it is decided.
    Submit(Submission),
    /// Tell where a job stands.
    Fetch {
        /// The job.
        job: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Can you reach this run of an entry?
    Reach {
        /// Its address for peers.
        address: SocketAddr,
        /// The run asked for.
        incarnation: Incarnation,
    },
    /// Organisations' records newer than the mark, for a peer that starts or
    /// lags while the platform is out.
    Templates {
        /// What the peer has.
        since: ConfigMark,
    },
    /// Demand on quotas, by organisation: all of it, or what has changed.
    Usage(UsageReport),
    /// Who are you? Answered with the run and its state.
    Status,
    /// This run of an entry has started: tell the agents connected to you.
    Started {
        /// Its address for agents.
        address: SocketAddr,
        /// The run.
        incarnation: Incarnation,
    },
}

/// Demand on quotas at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Who reports.
    pub entry: Incarnation,
    /// The report's number.
    pub number: u64,
    /// Number of the report to which this one gives the changes; 0 if it gives
    /// all there is.
    pub since: u64,
    /// Task starts a second asked for, by organisation.
    pub starts_per_s: Vec<(OrganisationKey, u32)>,
}

/// One organisation's record as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateRecord {
    /// Organisation's name.
    pub organisation: String,
    /// The platform's revision of the key.
    pub mark: ConfigMark,
    /// The stored value, as text.
    pub value: String,
}

/// How another entry stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its run.
    pub incarnation: Incarnation,
    /// Its name from the settings.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// It serves callers.
    pub ready: bool,
    /// It is stopping.
    pub draining: bool,
    /// Highest configuration mark in force.
    pub config_mark: ConfigMark,
    /// Revision in force, by organisation.
    pub revisions: Vec<(String, u64)>,
}

/// Reply to [`ToEntry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReply {
    /// The run that answers.
    pub entry: Incarnation,
    /// Highest configuration mark it has seen.
    pub config_mark: ConfigMark,
    /// The reply proper.
    pub body: EntryReplyBody,
}

/// The reply proper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryReplyBody {
    /// Of a submission, fetch or cancellation.
    Answer(Answer),
    /// This run is not the id's home: its home is gone for good.
    OtherIncarnation,
    /// Whether the entry asked for can be reached, and under which run.
    Reached(Option<Incarnation>),
    /// Records newer than asked for.
    Templates(Vec<TemplateRecord>),
    /// Taken.
    Acknowledged,
    /// The report to which changes were given is not held: tell all.
    BaseReportMissing,
    /// How the entry stands.
    Status(EntryStatus),
}

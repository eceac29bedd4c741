//! Messages of the internal protocol over QUIC. Each stream carries one request and one
//! reply.
//!
//! An agent connects to every entry and sends [`AgentHello`]; from then on either side opens
//! streams on that connection. Entries connect to each other when needed.
//!
//! Postcard encodes these messages: the order of fields and variants is the wire format.

use {
    crate::{
        answer::{Answer, Payload, Reason, TaskEnd, TaskReport},
        ids::{ContentHash, Incarnation, JobId, OrganisationKey, TaskId},
        runs::Evacuations,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Revision of the platform's store, by which processes compare how recent their
/// configuration is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigMark(pub u64);

/// Identity and location of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AgentIdentity {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The agent's name from its settings; a restart keeps it.
    pub name: String,
    /// Address of the agent, shown to operators.
    pub address: SocketAddr,
    /// The agent's data centre from its settings.
    pub data_centre: String,
    /// The agent's rack from its settings.
    pub rack: String,
}

/// What an upstream announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// Name of the upstream.
    pub name: String,
    /// Number of tasks that it runs at the same time.
    pub slots: u16,
    /// Largest declared memory size of a task that it can run, in bytes.
    pub max_task_bytes: u64,
    /// Kinds of requests that it serves, as `organisation/kind`, `*/kind` or `*`.
    pub kinds: Vec<String>,
}

/// Load of an agent's upstream, sent with every reply to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of the report. Rises within an incarnation of the agent, so that the entry can
    /// ignore an older report that arrives late.
    pub sequence: u64,
    /// Number of running tasks.
    pub running: u16,
    /// Number of accepted tasks that wait for a slot.
    pub queued: u16,
    /// Number of slots, free or not.
    pub slots: u16,
    /// The upstream is leaving, or has not renewed its announcement within its lease.
    pub leaving: bool,
}

/// First message of an agent on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// Identity of the agent.
    pub agent: AgentIdentity,
    /// The agent's upstream, if one has announced itself.
    pub upstream: Option<UpstreamInfo>,
    /// Current load.
    pub load: Load,
    /// Highest configuration mark that the agent has received from entries.
    pub config_mark: ConfigMark,
    /// Evacuated data centres as the agent knows them.
    pub evacuations: Evacuations,
}

/// Reply of an entry to [`AgentHello`] and [`FromAgent::Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryWelcome {
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// The known members, unless they are the same as last sent on this connection.
    pub members: Option<MemberList>,
    /// Highest configuration mark that the entry has seen.
    pub config_mark: ConfigMark,
    /// The entry is stopping: it places no new work, and the agent keeps the connection.
    pub draining: bool,
    /// Evacuated data centres as the entry knows them, unless messages on this connection
    /// show that the agent has them already.
    pub evacuations: Option<Evacuations>,
}

/// Cluster members that an entry sends to agents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Addresses of all known entries, for the agent to connect to.
    pub entries: Vec<SocketAddr>,
    /// Incarnations of entries that are permanently fenced.
    pub fenced: Vec<Incarnation>,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromAgent {
    /// First message of a connection. Sent again when the upstream is announced, changed,
    /// leaving or gone.
    Hello(Box<AgentHello>),
    /// Heartbeat, sent while the agent and the entry exchange nothing else.
    Heartbeat {
        /// Current load.
        load: Load,
        /// Highest configuration mark that the agent has seen.
        config_mark: ConfigMark,
    },
}

/// A task that an agent is to start at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Incarnation of the agent that the placement is for.
    pub agent: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Number of tasks in the job.
    pub task_count: u16,
    /// Hash of the whole submission, which the agent keeps with the task's record.
    pub content: ContentHash,
    /// Name of the organisation, passed to the upstream.
    pub organisation: String,
    /// Name of the request kind.
    pub kind: String,
    /// Payload for the upstream.
    pub payload: Payload,
    /// Milliseconds from receipt within which the task must start; else the agent refuses it.
    pub start_within_ms: u32,
    /// Milliseconds from receipt within which the task must end.
    pub end_within_ms: u32,
    /// Lower numbers start first among the tasks queued at the agent.
    pub urgency: u8,
    /// Highest configuration mark that the entry has seen.
    pub config_mark: ConfigMark,
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Start a task. If the entry repeats the message after a broken connection, the agent
    /// does not start the task again but replies with the result of the first start.
    Place(Placement),
    /// Stop these tasks. Tasks that have not started never will, running ones are ended as
    /// failed, and the results of ended ones are reported.
    Revoke {
        /// The tasks, which may belong to several jobs.
        tasks: Vec<TaskId>,
    },
    /// Refuse all placements of a lost entry from now on, and report what is known of these
    /// jobs.
    Fence {
        /// Incarnation of the lost entry.
        home: Incarnation,
        /// The jobs to report.
        jobs: Vec<JobId>,
    },
    /// Checks that the agent is alive. Sent only while work is outstanding and the agent has
    /// been silent for a while.
    Probe,
    /// An entry has started: the agent connects to it now rather than after the next
    /// heartbeat.
    EntryStarted {
        /// Address of the entry for agents.
        address: SocketAddr,
        /// Incarnation of the entry.
        incarnation: Incarnation,
    },
    /// Evacuated data centres as the entry knows them, sent when they have changed.
    Evacuations(Evacuations),
}

/// Reply of an agent to [`ToAgent`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReply {
    /// Incarnation of the agent that replies.
    pub agent: Incarnation,
    /// Load after the request was handled.
    pub load: Load,
    /// Highest configuration mark that the agent has seen.
    pub config_mark: ConfigMark,
    /// Content of the reply.
    pub body: AgentReplyBody,
}

/// Content of an [`AgentReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentReplyBody {
    /// The agent started the task, and it has ended.
    Ended {
        /// Result or failure of the task.
        end: TaskEnd,
        /// Time that the upstream took, in microseconds.
        run_us: u64,
        /// Time queued at the agent, in microseconds.
        queued_us: u64,
    },
    /// The agent started the task; its end is not known and never will be.
    Broken(Reason),
    /// This placement did not start the task.
    NotStarted {
        /// Why the task was not started.
        reason: Reason,
        /// The agent keeps a tombstone and refuses later placements of the task as well.
        never: bool,
        /// Time until the agent expects a free slot, in milliseconds.
        retry_after_ms: u32,
    },
    /// What the agent knows of each revoked task.
    Revoked(Vec<TaskReport>),
    /// The agent's task records of the fenced jobs. A task of a fenced job that is not listed
    /// was never started by this agent and never will be.
    Fenced(Vec<FencedJob>),
    /// Reply to [`ToAgent::Probe`].
    Probed,
    /// The message was received and needs no other reply.
    Acknowledged,
}

/// The records that an agent holds of a fenced job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedJob {
    /// The job.
    pub job: JobId,
    /// Number of tasks in the job, taken from its placements.
    pub task_count: u16,
    /// Hash of the submission, taken from its placements.
    pub content: ContentHash,
    /// Tasks of the job that the agent has a record of.
    pub tasks: Vec<TaskReport>,
}

/// Form of a submission: a job of tasks, or a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// A job. Each task starts at most once, whatever its kind.
    Job,
    /// A single request, which may be started again if its kind is repeatable.
    Request,
}

/// A submission, as an entry forwards it to the job's home entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Id that the caller reserved.
    pub job: JobId,
    /// Whether it is a job or a request.
    pub unit: Unit,
    /// Name of the organisation that the caller's token belongs to.
    pub organisation: String,
    /// Request kind.
    pub kind: String,
    /// One payload for each task.
    pub payloads: Vec<Payload>,
    /// Hash of unit, kind and payloads.
    pub content: ContentHash,
    /// The caller's deadline, in milliseconds from receipt, if the caller set one.
    pub deadline_ms: Option<u32>,
}

/// Messages from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Accept a submission and reply once its outcome is decided.
    Submit(Submission),
    /// Report the state of a job.
    Fetch {
        /// The job.
        job: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Check whether the receiver can reach an entry.
    Reach {
        /// Address of that entry for its peers.
        address: SocketAddr,
        /// Incarnation of that entry.
        incarnation: Incarnation,
    },
    /// Send the organisations' records newer than a mark. Asked by a peer that starts or is
    /// behind while the platform is unavailable.
    Templates {
        /// Highest mark that the peer has.
        since: ConfigMark,
    },
    /// Demand on quotas by organisation, either in full or as changes.
    Usage(UsageReport),
    /// Report the receiver's incarnation and state.
    Status,
    /// An entry has started: the receiver tells the agents connected to it.
    Started {
        /// Address of the entry for agents.
        address: SocketAddr,
        /// Incarnation of the entry.
        incarnation: Incarnation,
    },
}

/// Demand on quotas at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Incarnation of the entry that reports.
    pub entry: Incarnation,
    /// Number of the report.
    pub number: u64,
    /// Number of the report that this one changes; 0 if this report is complete.
    pub since: u64,
    /// Demand by organisation, in task starts per second.
    pub starts_per_s: Vec<(OrganisationKey, u32)>,
}

/// One organisation's record as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateRecord {
    /// Name of the organisation.
    pub organisation: String,
    /// Revision at which the platform stored the record.
    pub mark: ConfigMark,
    /// The stored text.
    pub value: String,
}

/// State of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// The entry's name from its settings.
    pub name: String,
    /// The entry's data centre.
    pub data_centre: String,
    /// The entry serves callers.
    pub ready: bool,
    /// The entry is stopping.
    pub draining: bool,
    /// Highest configuration mark in force.
    pub config_mark: ConfigMark,
    /// Revision of the template in force, by organisation.
    pub revisions: Vec<(String, u64)>,
}

/// Reply of an entry to [`ToEntry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReply {
    /// Incarnation of the entry that replies.
    pub entry: Incarnation,
    /// Highest configuration mark that the entry has seen.
    pub config_mark: ConfigMark,
    /// Content of the reply.
    pub body: EntryReplyBody,
}

/// Content of an [`EntryReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryReplyBody {
    /// Answer to a submission, fetch or cancellation.
    Answer(Answer),
    /// The incarnation that replies is not the home of the job id: the home is permanently
    /// gone.
    OtherIncarnation,
    /// Incarnation found at the address asked for; `None` if the entry is not reachable.
    Reached(Option<Incarnation>),
    /// Records newer than the mark in the request.
    Templates(Vec<TemplateRecord>),
    /// The message was received and needs no other reply.
    Acknowledged,
    /// The receiver does not have the report that the changes apply to, and needs a complete
    /// report.
    BaseReportMissing,
    /// State of the entry.
    Status(EntryStatus),
}

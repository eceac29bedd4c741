//! Bodies of an entry's HTTP interface, as the command line reads them.

use {
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::collections::BTreeMap,
    sycamorerail_settings::FieldError,
    sycamorerail_wire::answer::{Outcome, Reason, Step},
};

/// A job or a request, as a caller writes it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Submission {
    /// Request kind.
    pub(crate) kind: String,
    /// Payloads of a job's tasks; none for a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) tasks: Option<Vec<Box<RawValue>>>,
    /// Payload of a request; none for a job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) payload: Option<Box<RawValue>>,
    /// Longest time to the answer; the kind's where none is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) deadline_ms: Option<u32>,
}

/// Body that reserves ids.
#[derive(Debug, Serialize)]
pub(crate) struct ReserveBody {
    /// Number of ids.
    pub(crate) count: u32,
}

/// Reserved ids.
#[derive(Debug, Deserialize)]
pub(crate) struct ReservedBody {
    /// The ids, in their text form.
    pub(crate) ids: Vec<String>,
}

/// Answer about a job or request; errors have the same shape.
#[derive(Debug, Deserialize)]
pub(crate) struct AnswerBody {
    /// Its id, where one is known.
    #[serde(default)]
    pub(crate) id: Option<String>,
    /// How it ended; none where nothing is said of a job.
    #[serde(default)]
    pub(crate) outcome: Option<Outcome>,
    /// Why.
    pub(crate) reason: Reason,
    /// Where that arose.
    #[serde(default)]
    pub(crate) step: Option<Step>,
    /// Process or upstream at which it arose.
    #[serde(default)]
    pub(crate) peer: Option<String>,
    /// More for a person.
    #[serde(default)]
    pub(crate) detail: Option<String>,
    /// When to come back.
    #[serde(default)]
    pub(crate) retry_after_ms: Option<u64>,
    /// Tasks known to have started.
    #[serde(default)]
    pub(crate) tasks_started: Option<u16>,
    /// One result a task, if complete.
    #[serde(default)]
    pub(crate) results: Vec<Box<RawValue>>,
}

/// An accepted change of a template.
#[derive(Debug, Deserialize)]
pub(crate) struct PublishedBody {
    /// Organisation.
    pub(crate) organisation: String,
    /// Revision now in force.
    pub(crate) revision: u64,
    /// Who changed it.
    pub(crate) published_by: String,
}

/// A word on a data centre that stands.
#[derive(Debug, Deserialize)]
pub(crate) struct EvacuationBody {
    /// The data centre.
    pub(crate) data_centre: String,
    /// It gets no new work.
    pub(crate) evacuated: bool,
    /// This call changed it.
    pub(crate) changed: bool,
    /// Platform revision since which it stands; 0 if it never was evacuated.
    pub(crate) revision: u64,
    /// Who changed it last.
    pub(crate) changed_by: String,
}

/// Refusal of a change because another was first.
#[derive(Debug, Deserialize)]
pub(crate) struct ConflictBody {
    /// Revision of the winner, none where nothing is published.
    #[serde(default)]
    pub(crate) revision: Option<u64>,
    /// Who published it.
    #[serde(default)]
    pub(crate) published_by: Option<String>,
    /// More for a person.
    #[serde(default)]
    pub(crate) detail: Option<String>,
}

/// Refusal of a template or body, by field.
#[derive(Debug, Deserialize)]
pub(crate) struct FieldErrorsBody {
    /// One error a field.
    pub(crate) errors: Vec<FieldError>,
}

/// Revisions of an organisation's template.
#[derive(Debug, Deserialize)]
pub(crate) struct HistoryBody {
    /// The kept ones.
    pub(crate) revisions: Vec<RevisionBody>,
}

/// One revision.
#[derive(Debug, Deserialize)]
pub(crate) struct RevisionBody {
    /// Its number.
    pub(crate) revision: u64,
    /// Who published it.
    pub(crate) published_by: String,
    /// When, in milliseconds of Unix time.
    pub(crate) published_unix_ms: u64,
    /// Whether it deleted the template.
    pub(crate) deleted: bool,
}

/// Body that rolls back.
#[derive(Debug, Serialize)]
pub(crate) struct RollbackBody {
    /// Revision whose text is published again.
    pub(crate) to: u64,
}

/// Revisions in force, by entry.
#[derive(Debug, Deserialize)]
pub(crate) struct RolloutBody {
    /// The entries.
    pub(crate) entries: Vec<RolloutEntry>,
}

/// One entry's revisions.
#[derive(Debug, Deserialize)]
pub(crate) struct RolloutEntry {
    /// Its name.
    pub(crate) name: String,
    /// Its data centre.
    pub(crate) data_centre: String,
    /// Whether it takes calls.
    pub(crate) ready: bool,
    /// Revision in force, by organisation.
    pub(crate) revisions: BTreeMap<String, u64>,
}

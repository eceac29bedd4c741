//! What operators read: JSON, YAML, and what went wrong.

use {
    crate::{callers::DRAINING_RETRY_MS, counters},
    rocket::{
        Request, Response,
        http::{ContentType, Status},
        response::{Responder, Result as RocketResult},
    },
    serde::Serialize,
    std::io::Cursor,
    sycamorerail_membership::evacuation::{self, Standing, WordError},
    sycamorerail_platform::{PlatformError, PlatformErrorKind},
    sycamorerail_settings::FieldError,
    sycamorerail_templates::{Accepted, ChangeError, Stamp, Winner},
    sycamorerail_wire::answer::{Outcome, Reason},
    uuid::Uuid,
};

const RETRY_AFTER: &str = "Retry-After";
const ETAG: &str = "ETag";
const MS_A_SECOND: u64 = 1_000;
pub(super) const INVALID_TEMPLATE: &str = "the template is not valid";
const NO_ORGANISATION: &str = "no such organisation";

/// A body with the revision it stands for.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    content_type: ContentType,
    body: Vec<u8>,
    revision: Option<u64>,
}

impl Reply {
    /// JSON.
    pub(super) fn json(body: &impl Serialize) -> Self {
        // Plain structs always serialise.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self { content_type: ContentType::JSON, body, revision: None }
    }

    /// A template.
    pub(super) fn yaml(text: &str) -> Self {
        let content_type = ContentType::new("application", "yaml");
        Self { content_type, body: text.as_bytes().to_vec(), revision: None }
    }

    /// Names the revision, as `ETag`.
    pub(super) fn of_revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _request: &'r Request<'_>) -> RocketResult<'static> {
        let mut response = Response::build();
        response.header(self.content_type);
        if let Some(revision) = self.revision {
            response.raw_header(ETAG, format!("\"{revision}\""));
        }
        response.sized_body(self.body.len(), Cursor::new(self.body)).ok()
    }
}

/// A change that took effect.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ChangeBody {
    organisation: String,
    revision: u64,
    mark: u64,
    #[serde(flatten)]
    stamp: Stamp,
}

impl From<Accepted> for ChangeBody {
    fn from(accepted: Accepted) -> Self {
        Self {
            organisation: accepted.organisation,
            revision: accepted.revision,
            mark: accepted.mark.0,
            stamp: accepted.stamp,
        }
    }
}

/// What went wrong.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    pub(super) status: Status,
    body: Box<ProblemBody>,
}

#[derive(Clone, Debug, Serialize)]
struct ProblemBody {
    reason: Reason,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
    /// The revision that stands, or the one that a change in doubt makes.
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    deleted: Option<bool>,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    stamp: Option<Stamp>,
    #[serde(rename = "change_id", skip_serializing_if = "Option::is_none")]
    in_doubt: Option<Uuid>,
    #[serde(skip_serializing_if = "Option::is_none")]
    errors: Option<Vec<FieldError>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Refuses, and counts it.
    pub(super) fn new(status: Status, reason: Reason, detail: impl Into<String>) -> Self {
        counters::refusal(reason);
        let body = ProblemBody {
            reason,
            detail: detail.into(),
            outcome: None,
            revision: None,
            deleted: None,
            stamp: None,
            in_doubt: None,
            errors: None,
            retry_after_ms: None,
        };
        Self { status, body: Box::new(body) }
    }

    /// Refuses what is malformed.
    pub(super) fn invalid(detail: impl Into<String>) -> Self {
        Self::new(Status::BadRequest, Reason::Invalid, detail)
    }

    /// It is not done as the entry stops; another one may do it.
    pub(super) fn draining(outcome: Outcome, detail: &str) -> Self {
        let mut problem = Self::new(Status::ServiceUnavailable, Reason::Draining, detail);
        problem.body.outcome = Some(outcome);
        problem.body.retry_after_ms = Some(DRAINING_RETRY_MS);
        problem
    }

    /// Names the change that is in doubt.
    pub(super) fn of_change(mut self, change_id: Uuid) -> Self {
        self.body.in_doubt = Some(change_id);
        self
    }

    /// There is no such thing.
    pub(super) fn not_found(detail: impl Into<String>) -> Self {
        Self::new(Status::NotFound, Reason::NotFound, detail)
    }

    /// Fields of what was sent are wrong.
    pub(super) fn of_fields(detail: &str, errors: Vec<FieldError>) -> Self {
        let mut problem = Self::new(Status::UnprocessableEntity, Reason::Invalid, detail);
        problem.body.errors = Some(errors);
        problem
    }

    fn conflict(winner: Option<Winner>) -> Self {
        let Some(winner) = winner else {
            return Self::new(Status::PreconditionFailed, Reason::Conflict, NO_ORGANISATION);
        };
        let detail = match winner.deleted {
            true => format!("revision {} deleted the organisation", winner.revision),
            false => format!("revision {} stands", winner.revision),
        };
        let mut problem = Self::new(Status::PreconditionFailed, Reason::Conflict, detail);
        problem.body.revision = Some(winner.revision);
        problem.body.deleted = Some(winner.deleted);
        problem.body.stamp = Some(winner.stamp);
        problem
    }

    fn opposite_word(standing: &Standing) -> Self {
        let record = &standing.record;
        let state = if record.evacuated { "evacuated" } else { "taken back" };
        let detail = format!("{state} by {} meanwhile", record.changed_by);
        let mut problem = Self::new(Status::PreconditionFailed, Reason::Conflict, detail);
        problem.body.revision = Some(standing.revision);
        problem
    }

    fn platform_out(outcome: Outcome, error: Option<&PlatformError>, retry_after_ms: u64) -> Self {
        let reason = match error.map(|error| &error.kind) {
            Some(PlatformErrorKind::Budget) => Reason::PlatformBudget,
            _ => Reason::PlatformOut,
        };
        let detail = error.map_or_else(String::new, ToString::to_string);
        let mut problem = Self::new(Status::ServiceUnavailable, reason, detail);
        problem.body.outcome = Some(outcome);
        problem.body.retry_after_ms = Some(retry_after_ms);
        problem
    }

    fn in_doubt(
        change_id: Uuid,
        revision: u64,
        error: Option<&PlatformError>,
        retry_after_ms: u64,
    ) -> Self {
        let mut problem = Self::platform_out(Outcome::InDoubt, error, retry_after_ms);
        problem.body.revision = Some(revision);
        problem.body.in_doubt = Some(change_id);
        problem
    }
}

impl From<ChangeError> for Problem {
    fn from(error: ChangeError) -> Self {
        let detail = error.to_string();
        match error {
            ChangeError::Conflict(winner) => Self::conflict(winner),
            ChangeError::Invalid(errors) => Self::of_fields(INVALID_TEMPLATE, errors.errors),
            ChangeError::NoOrganisation | ChangeError::NoRevision(_) => Self::not_found(detail),
            ChangeError::TooLarge(_) => {
                Self::new(Status::PayloadTooLarge, Reason::TooLarge, detail)
            }
            ChangeError::Unreadable(_) => {
                Self::new(Status::InternalServerError, Reason::Invalid, detail)
            }
            ChangeError::NotRun { error, retry_after_ms } => {
                Self::platform_out(Outcome::NotRun, Some(&error), retry_after_ms)
            }
            ChangeError::InDoubt { change_id, revision, error, retry_after_ms } => {
                Self::in_doubt(change_id, revision, error.as_ref(), retry_after_ms)
            }
        }
    }
}

impl From<WordError> for Problem {
    fn from(error: WordError) -> Self {
        let retry_after_ms = evacuation::RETRY_AFTER_MS;
        match error {
            WordError::Conflict(standing) => Self::opposite_word(&standing),
            WordError::NotRun(error) => {
                Self::platform_out(Outcome::NotRun, Some(&error), retry_after_ms)
            }
            WordError::InDoubt(error) => {
                Self::platform_out(Outcome::InDoubt, Some(&error), retry_after_ms)
            }
        }
    }
}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _request: &'r Request<'_>) -> RocketResult<'static> {
        let body = serde_json::to_vec(&*self.body).map_err(|_| Status::InternalServerError)?;
        let mut response = Response::build();
        response.status(self.status).header(ContentType::JSON);
        if let Some(retry_after_ms) = self.body.retry_after_ms {
            response.raw_header(RETRY_AFTER, retry_after_ms.div_ceil(MS_A_SECOND).to_string());
        }
        response.sized_body(body.len(), Cursor::new(body)).ok()
    }
}

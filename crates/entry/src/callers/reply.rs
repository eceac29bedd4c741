//! What callers read: answers and refusals, as JSON.

use {
    super::status,
    crate::counters,
    rocket::{
        Request, Response,
        http::{ContentType, Status},
        response::{Responder, Result as RocketResult},
    },
    serde::Serialize,
    serde_json::value::RawValue,
    std::{io::Cursor, sync::Arc},
    sycamorerail_wire::{
        answer::{Answer, Outcome, Payload, Reason, Step},
        ids::JobId,
    },
};

const RETRY_AFTER: &str = "Retry-After";
const MS_A_SECOND: u64 = 1_000;

/// The answer on one job.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The job, if it has an id.
    pub id: Option<JobId>,
    /// The answer.
    pub answer: Arc<Answer>,
}

/// A call that was refused before it concerned a job, or tells nothing of it.
#[derive(Clone, Debug)]
pub struct Refusal {
    status: Status,
    reason: Reason,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl Reply {
    /// An answer on a submission that got no id.
    #[must_use]
    pub fn without_id(answer: Answer) -> Self {
        Self { id: None, answer: Arc::new(answer) }
    }
}

impl Refusal {
    /// Refuses, and counts it.
    #[must_use]
    pub fn new(status: Status, reason: Reason, detail: impl Into<String>) -> Self {
        counters::refusal(reason);
        Self { status, reason, detail: detail.into(), retry_after_ms: None }
    }

    /// Refuses what is malformed.
    #[must_use]
    pub fn invalid(detail: impl Into<String>) -> Self {
        Self::new(Status::BadRequest, Reason::Invalid, detail)
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    id: Option<String>,
    /// Absent where nothing is said of a job.
    outcome: Option<Outcome>,
    reason: Reason,
    step: Step,
    peer: Option<&'a str>,
    detail: Option<&'a str>,
    retry_after_ms: Option<u64>,
    tasks_started: Option<u16>,
    results: Vec<Text<'a>>,
}

/// JSON as the upstream gave it; what is no JSON goes as a string.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Text<'a> {
    Json(&'a RawValue),
    Other(&'a str),
}

impl<'a> Text<'a> {
    fn of(payload: &'a Payload) -> Self {
        serde_json::from_str(&payload.0).map_or(Self::Other(&payload.0), Self::Json)
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _request: &'r Request<'_>) -> RocketResult<'static> {
        let answer = &*self.answer;
        let body = Body {
            id: self.id.map(|id| id.to_string()),
            outcome: Some(answer.outcome),
            reason: answer.reason,
            step: answer.step,
            peer: answer.peer.as_deref(),
            detail: answer.detail.as_deref(),
            retry_after_ms: answer.retry_after_ms,
            tasks_started: answer.tasks_started,
            results: answer.results.iter().map(Text::of).collect(),
        };
        respond(status::of(answer), &body)
    }
}

impl<'r> Responder<'r, 'static> for Refusal {
    fn respond_to(self, _request: &'r Request<'_>) -> RocketResult<'static> {
        let body = Body {
            id: None,
            outcome: None,
            reason: self.reason,
            step: Step::Accept,
            peer: None,
            detail: Some(&self.detail),
            retry_after_ms: self.retry_after_ms,
            tasks_started: None,
            results: Vec::new(),
        };
        respond(self.status, &body)
    }
}

fn respond(status: Status, body: &Body<'_>) -> RocketResult<'static> {
    let text = serde_json::to_vec(body).map_err(|_| Status::InternalServerError)?;
    let mut response = Response::build();
    response.status(status).header(ContentType::JSON);
    if let Some(retry_after_ms) = body.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(MS_A_SECOND).to_string();
        response.raw_header(RETRY_AFTER, seconds);
    }
    response.sized_body(text.len(), Cursor::new(text)).ok()
}

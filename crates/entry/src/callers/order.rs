//! What a caller submits: read from the body and checked.

use {
    super::{
        body::{BodyLength, read_json},
        reply::Refusal,
        token::Caller,
    },
    crate::shared::Shared,
    rocket::{Data, http::Status},
    serde::Deserialize,
    serde_json::value::RawValue,
    sycamorerail_wire::{
        answer::{Payload, Reason},
        ids::{ContentHash, JobId, MAX_JOB_TASKS},
        message::{Submission, Unit},
    },
};

/// Reads the body of a job or a request of the caller's organisation.
///
/// # Errors
///
/// When the body is malformed, or the organisation has no such kind.
pub(super) async fn read_order(
    shared: &Shared,
    caller: &Caller,
    unit: Unit,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Order, Refusal> {
    let (lifecycle, max_bytes) = (&shared.lifecycle, shared.settings.limits.max_body_bytes);
    let order = match unit {
        Unit::Job => read_json::<JobBody>(lifecycle, data, length, max_bytes).await?.order()?,
        Unit::Request => {
            read_json::<RequestBody>(lifecycle, data, length, max_bytes).await?.order()?
        }
    };
    order.of_caller(caller)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    kind: String,
    tasks: Vec<Box<RawValue>>,
    deadline_ms: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody {
    kind: String,
    payload: Box<RawValue>,
    deadline_ms: Option<u32>,
}

/// What a caller submits, before it has an id.
#[derive(Debug)]
pub(super) struct Order {
    unit: Unit,
    kind: String,
    payloads: Vec<Payload>,
    deadline_ms: Option<u32>,
}

impl JobBody {
    fn order(self) -> Result<Order, Refusal> {
        if !(1..=MAX_JOB_TASKS).contains(&self.tasks.len()) {
            let detail = format!("tasks: allowed are 1 to {MAX_JOB_TASKS}");
            return Err(Refusal::invalid(detail));
        }
        let payloads = self.tasks.iter().map(|task| Payload(task.get().to_owned())).collect();
        let order =
            Order { unit: Unit::Job, kind: self.kind, payloads, deadline_ms: self.deadline_ms };
        order.checked()
    }
}

impl RequestBody {
    fn order(self) -> Result<Order, Refusal> {
        let payloads = vec![Payload(self.payload.get().to_owned())];
        let order =
            Order { unit: Unit::Request, kind: self.kind, payloads, deadline_ms: self.deadline_ms };
        order.checked()
    }
}

impl Order {
    fn checked(self) -> Result<Self, Refusal> {
        if self.deadline_ms == Some(0) {
            return Err(Refusal::invalid("deadline_ms: allowed is 1 and above"));
        }
        Ok(self)
    }

    /// Checks that the caller's organisation has the kind.
    fn of_caller(self, caller: &Caller) -> Result<Self, Refusal> {
        if caller.organisation.kinds.contains_key(&self.kind) {
            return Ok(self);
        }
        let mut allowed: Vec<_> = caller.organisation.kinds.keys().map(String::as_str).collect();
        allowed.sort_unstable();
        let detail = format!("kind: {:?} is none of {}", self.kind, allowed.join(", "));
        Err(Refusal::new(Status::NotFound, Reason::NotFound, detail))
    }

    pub(super) fn kind(&self) -> &str {
        &self.kind
    }

    pub(super) fn task_count(&self) -> u16 {
        u16::try_from(self.payloads.len()).unwrap_or(u16::MAX)
    }

    pub(super) fn deadline_ms(&self) -> Option<u32> {
        self.deadline_ms
    }

    pub(super) fn submission(self, job: JobId, caller: &Caller) -> Submission {
        let content = content_hash(self.unit, &self.kind, &self.payloads);
        Submission {
            job,
            unit: self.unit,
            organisation: caller.organisation.name.clone(),
            kind: self.kind,
            payloads: self.payloads,
            content,
            deadline_ms: self.deadline_ms,
        }
    }
}

/// Hash of unit, kind and payloads, each with its length before it.
fn content_hash(unit: Unit, kind: &str, payloads: &[Payload]) -> ContentHash {
    let mut bytes = vec![unit as u8];
    let texts = std::iter::once(kind).chain(payloads.iter().map(|payload| payload.0.as_str()));
    for text in texts {
        bytes.extend((text.len() as u64).to_be_bytes());
        bytes.extend(text.as_bytes());
    }
    ContentHash::of(&bytes)
}

//! Submitting, fetching and cancelling under a reserved id.

use {
    super::{
        body::{BodyLength, read_json},
        reply::{Refusal, Reply},
        token::Caller,
    },
    crate::{
        jobs::{self, is_home},
        shared::Shared,
    },
    rocket::{Data, State, delete, get, http::Status, put},
    serde::Deserialize,
    serde_json::value::RawValue,
    std::sync::Arc,
    sycamorerail_wire::{
        answer::{Payload, Reason},
        ids::{ContentHash, JobId, MAX_JOB_TASKS},
        message::{Submission, ToEntry, Unit},
    },
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct JobBody {
    kind: String,
    tasks: Vec<Box<RawValue>>,
    deadline_ms: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestBody {
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
    pub(super) fn order(self) -> Result<Order, Refusal> {
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
    pub(super) fn order(self) -> Result<Order, Refusal> {
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
    pub(super) fn of_caller(self, caller: &Caller) -> Result<Self, Refusal> {
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

/// Submits at the id's home and waits.
pub(super) async fn submit(shared: &Arc<Shared>, submission: Submission) -> Reply {
    let id = submission.job;
    let answer = if is_home(shared, &id) {
        jobs::submit(shared, submission).await
    } else {
        forward(shared, id, ToEntry::Submit(submission)).await
    };
    Reply { id: Some(id), answer }
}

async fn forward(
    shared: &Arc<Shared>,
    id: JobId,
    call: ToEntry,
) -> Arc<sycamorerail_wire::answer::Answer> {
    Arc::new((shared.seams.forward)(Arc::clone(shared), id, call).await)
}

#[put("/v1/jobs/<id>", data = "<data>")]
pub(super) async fn submit_job(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    id: &str,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    let caller = caller?;
    let id = caller.own_id(shared, id)?;
    let body: JobBody = read_json(data, length, shared.settings.limits.max_body_bytes).await?;
    let order = body.order()?.of_caller(&caller)?;
    Ok(submit(shared, order.submission(id, &caller)).await)
}

#[put("/v1/requests/<id>", data = "<data>")]
pub(super) async fn submit_request(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    id: &str,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    let caller = caller?;
    let id = caller.own_id(shared, id)?;
    let body: RequestBody = read_json(data, length, shared.settings.limits.max_body_bytes).await?;
    let order = body.order()?.of_caller(&caller)?;
    Ok(submit(shared, order.submission(id, &caller)).await)
}

#[get("/v1/jobs/<id>")]
pub(super) async fn fetch(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    id: &str,
) -> Result<Reply, Refusal> {
    let id = caller?.own_id(shared, id)?;
    let answer = if is_home(shared, &id) {
        jobs::fetch(shared, &id)
    } else {
        forward(shared, id, ToEntry::Fetch { job: id }).await
    };
    Ok(Reply { id: Some(id), answer })
}

#[delete("/v1/jobs/<id>")]
pub(super) async fn cancel(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    id: &str,
) -> Result<Reply, Refusal> {
    let id = caller?.own_id(shared, id)?;
    let answer = if is_home(shared, &id) {
        jobs::cancel(shared, &id).await
    } else {
        forward(shared, id, ToEntry::Cancel { job: id }).await
    };
    Ok(Reply { id: Some(id), answer })
}

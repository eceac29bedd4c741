//! Submitting under the caller's own `Idempotency-Key`.

use {
    super::{
        binder::{BindError, MAX_AHEAD_MS},
        body::{BodyLength, DRAINING_RETRY_MS},
        jobs::submit,
        order::{Order, read_order},
        reply::{Refusal, Reply},
        token::Caller,
    },
    crate::{counters, dispatch, shared::Shared},
    rocket::{
        Data, Request, State,
        http::Status,
        post,
        request::{FromRequest, Outcome as GuardOutcome},
    },
    std::sync::Arc,
    sycamorerail_clock::Clock,
    sycamorerail_wire::{
        answer::{Answer, Outcome, Reason, Step},
        ids::JobId,
        message::Unit,
    },
    uuid::Uuid,
};

const HEADER: &str = "Idempotency-Key";
const HOW: &str = "a submission needs an id or a key, so that it runs at most once: reserve an id \
                   with POST /v1/ids and submit with PUT /v1/jobs/{id} or /v1/requests/{id}; or \
                   send the header Idempotency-Key with a version 7 UUID";
const NOTHING_STARTED: &str = "this call started nothing; whether an earlier one with this key \
                               did is not known now: send the same again";
const VERSION: usize = 7;
/// When to come back while the platform is out, in milliseconds.
const PLATFORM_RETRY_MS: u64 = 2_000;
/// When to come back if the budget for keys is used up, in milliseconds.
const BUDGET_RETRY_MS: u64 = 1_000;

/// The caller's key.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerKey(Uuid);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerKey {
    type Error = Refusal;

    async fn from_request(request: &'r Request<'_>) -> GuardOutcome<Self, Refusal> {
        match read_key(request.headers().get_one(HEADER)) {
            Ok(key) => GuardOutcome::Success(Self(key)),
            Err(refusal) => GuardOutcome::Error((Status::BadRequest, refusal)),
        }
    }
}

fn read_key(header: Option<&str>) -> Result<Uuid, Refusal> {
    let text = header.ok_or_else(|| Refusal::invalid(HOW))?;
    let key = Uuid::parse_str(text.trim()).ok().filter(|key| key.get_version_num() == VERSION);
    let key = key.ok_or_else(|| {
        Refusal::invalid("Idempotency-Key: expected a version 7 UUID, so that its age is known")
    })?;
    if made_unix_ms(key) > Clock::unix_ms() + MAX_AHEAD_MS {
        return Err(Refusal::invalid("Idempotency-Key: its time lies in the future"));
    }
    Ok(key)
}

fn made_unix_ms(key: Uuid) -> u64 {
    key.get_timestamp().map_or(0, |timestamp| {
        let (seconds, nanos) = timestamp.to_unix();
        seconds * 1_000 + u64::from(nanos / 1_000_000)
    })
}

#[post("/v1/jobs", data = "<data>")]
pub(super) async fn submit_job(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    key: Result<CallerKey, Refusal>,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    let (caller, key) = (caller?, key?);
    submit_keyed(shared, &caller, key.0, Unit::Job, length, data).await
}

#[post("/v1/requests", data = "<data>")]
pub(super) async fn submit_request(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    key: Result<CallerKey, Refusal>,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    let (caller, key) = (caller?, key?);
    submit_keyed(shared, &caller, key.0, Unit::Request, length, data).await
}

async fn submit_keyed(
    shared: &Arc<Shared>,
    caller: &Caller,
    key: Uuid,
    unit: Unit,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    let order = read_order(shared, caller, unit, length, data).await?;
    let id = match find_id(shared, caller, key, &order).await {
        Ok(id) => id,
        Err(answer) => {
            counters::refusal(answer.reason);
            return Ok(Reply::without_id(answer));
        }
    };
    Ok(submit(shared, order.submission(id, caller)).await)
}

/// The id of a key. What would be refused is not bound, so that the key stays
/// good for another time.
async fn find_id(
    shared: &Arc<Shared>,
    caller: &Caller,
    key: Uuid,
    order: &Order,
) -> Result<JobId, Answer> {
    let Some(binder) = &shared.seams.binder else {
        return Err(in_doubt(Reason::PlatformOut, PLATFORM_RETRY_MS));
    };
    if binder.is_expired(made_unix_ms(key)) {
        return Err(expired());
    }
    let organisation = caller.organisation.key;
    if let Some(known) = binder.known(organisation, key) {
        return Ok(known);
    }
    if shared.lifecycle.is_draining() {
        return Err(in_doubt(Reason::Draining, BUDGET_RETRY_MS));
    }
    would_admit(shared, caller, order)?;
    let binding = shared.lifecycle.before_end(binder.bind(shared, organisation, key)).await;
    let Some(bound) = binding else {
        return Err(in_doubt(Reason::Draining, DRAINING_RETRY_MS));
    };
    bound.map_err(|err| match err {
        BindError::Budget => in_doubt(Reason::PlatformBudget, BUDGET_RETRY_MS),
        BindError::Platform(err) => {
            in_doubt(Reason::PlatformOut, PLATFORM_RETRY_MS).at_peer(err.peer)
        }
        BindError::Malformed => {
            Answer::without_results(Outcome::Unknown, Reason::Invalid, Step::Bind)
                .with_detail("what is bound to the key is no id of this cluster")
        }
    })
}

fn would_admit(shared: &Arc<Shared>, caller: &Caller, order: &Order) -> Result<(), Answer> {
    let Some(kind) = caller.organisation.kinds.get(order.kind()) else {
        return Ok(());
    };
    let (tasks, deadline_ms) = (order.task_count(), order.deadline_ms());
    dispatch::would_admit(shared, &caller.organisation, kind, tasks, deadline_ms).map_err(
        |refused| {
            let retry_ms = refused.retry_after_ms;
            let mut answer = in_doubt(refused.reason, 0);
            answer.step = Step::Admit;
            answer.retry_after_ms = retry_ms;
            answer
        },
    )
}

fn in_doubt(reason: Reason, retry_after_ms: u64) -> Answer {
    Answer::without_results(Outcome::InDoubt, reason, Step::Bind)
        .retry_after_ms(retry_after_ms)
        .with_detail(NOTHING_STARTED)
}

fn expired() -> Answer {
    Answer::without_results(Outcome::Unknown, Reason::Expired, Step::Bind)
        .with_detail("the key is older than the retention: it may have run, and never runs again")
}

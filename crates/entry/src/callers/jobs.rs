//! Submitting, fetching and cancelling under a reserved id.

use {
    super::{
        body::{BodyLength, DRAINING_RETRY_MS},
        order::read_order,
        reply::{Refusal, Reply},
        token::Caller,
    },
    crate::{
        jobs::{self, is_home},
        shared::Shared,
    },
    rocket::{Data, State, delete, get, put},
    std::sync::Arc,
    sycamorerail_wire::{
        answer::{Answer, Outcome, Reason, Step},
        ids::JobId,
        message::{Submission, ToEntry, Unit},
    },
};

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

async fn forward(shared: &Arc<Shared>, id: JobId, call: ToEntry) -> Arc<Answer> {
    let forwarding = (shared.seams.forward)(Arc::clone(shared), id, call);
    let answer = shared.lifecycle.before_end(forwarding).await;
    Arc::new(answer.unwrap_or_else(|| home_unheard(&id)))
}

/// The home may have taken the call.
fn home_unheard(id: &JobId) -> Answer {
    Answer::without_results(Outcome::InDoubt, Reason::Draining, Step::Forward)
        .at_peer(id.home.to_string())
        .retry_after_ms(DRAINING_RETRY_MS)
        .with_detail("stopping; the home of the job has not answered: send the same again")
}

async fn submit_unit(
    shared: &Arc<Shared>,
    caller: Caller,
    unit: Unit,
    id: &str,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    let id = caller.own_id(shared, id)?;
    let order = read_order(shared, &caller, unit, length, data).await?;
    Ok(submit(shared, order.submission(id, &caller)).await)
}

#[put("/v1/jobs/<id>", data = "<data>")]
pub(super) async fn submit_job(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    id: &str,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    submit_unit(shared, caller?, Unit::Job, id, length, data).await
}

#[put("/v1/requests/<id>", data = "<data>")]
pub(super) async fn submit_request(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    id: &str,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    submit_unit(shared, caller?, Unit::Request, id, length, data).await
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

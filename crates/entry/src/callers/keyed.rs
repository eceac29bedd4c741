//! Submitting under the caller's own `Idempotency-Key`.

use {
    super::reply::{Refusal, Reply},
    rocket::{http::Status, post},
    sycamorerail_wire::answer::Reason,
};

const HOW: &str = "a submission needs an id or a key, so that it runs at most once: reserve an id \
                   with POST /v1/ids and submit with PUT /v1/jobs/{id} or /v1/requests/{id}; or \
                   send the header Idempotency-Key with a version 7 UUID";

#[post("/v1/jobs")]
pub(super) fn submit_job() -> Result<Reply, Refusal> {
    Err(Refusal::new(Status::BadRequest, Reason::Invalid, HOW))
}

#[post("/v1/requests")]
pub(super) fn submit_request() -> Result<Reply, Refusal> {
    Err(Refusal::new(Status::BadRequest, Reason::Invalid, HOW))
}

//! HTTP for callers: ids, jobs and requests.

mod binder;
mod body;
mod ids;
mod jobs;
mod keyed;
mod order;
mod reply;
mod status;
mod token;

use rocket::{Catcher, Request, Route, catch, catchers, http::Status, routes};

pub use {
    binder::{BindError, Binder},
    body::{BodyLength, DRAINING_RETRY_MS, read_json},
    reply::{Refusal, Reply},
};

use sycamorerail_wire::answer::Reason;

/// The routes.
#[must_use]
pub fn routes() -> Vec<Route> {
    routes![
        ids::reserve,
        jobs::submit_job,
        jobs::submit_request,
        jobs::fetch,
        jobs::cancel,
        keyed::submit_job,
        keyed::submit_request,
    ]
}

/// What is answered where no route fits.
#[must_use]
pub fn catchers() -> Vec<Catcher> {
    catchers![not_found, other]
}

#[catch(404)]
fn not_found(request: &Request<'_>) -> Refusal {
    let detail = format!("no {} at this path; see docs/API.md", request.method());
    Refusal::new(Status::NotFound, Reason::NotFound, detail)
}

#[catch(default)]
fn other(status: Status, _request: &Request<'_>) -> Refusal {
    Refusal::new(status, Reason::Invalid, status.reason_lossy())
}

//! Health and metrics.

use {
    crate::{counters, shared::Shared},
    rocket::{Route, State, get, http::Status, routes},
    std::sync::Arc,
};

/// The routes.
#[must_use]
pub fn routes() -> Vec<Route> {
    routes![live, ready, page]
}

#[get("/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/ready")]
fn ready(shared: &State<Arc<Shared>>) -> (Status, &'static str) {
    if shared.lifecycle.is_draining() {
        (Status::ServiceUnavailable, "draining\n")
    } else if shared.lifecycle.is_ready() {
        (Status::Ok, "ready\n")
    } else if shared.lifecycle.is_configured() {
        (Status::ServiceUnavailable, "agents are still to dial\n")
    } else {
        (Status::ServiceUnavailable, "no configuration yet\n")
    }
}

#[get("/metrics")]
fn page(shared: &State<Arc<Shared>>) -> String {
    #[allow(clippy::cast_precision_loss)]
    let gauge = |name: &'static str, value: u64| metrics::gauge!(name).set(value as f64);
    gauge("sycamorerail_running_jobs", shared.jobs.running().into());
    gauge("sycamorerail_record_bytes", shared.jobs.record_bytes());
    gauge("sycamorerail_kept_answer_bytes", shared.jobs.kept_answer_bytes());
    counters::page()
}

//! A planned stop of this entry.

use {
    super::{
        operator::Operator,
        reply::{Problem, Reply},
    },
    crate::shared::Shared,
    rocket::{State, post},
    serde::Serialize,
    std::sync::Arc,
    sycamorerail_telemetry::event,
};

#[derive(Debug, Serialize)]
struct Draining<'a> {
    entry: &'a str,
    draining: bool,
    /// Jobs that are finished first.
    running_jobs: u32,
    /// Longest time until the process ends.
    drain_ms: u32,
}

#[post("/drain")]
pub(super) fn drain(
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
) -> Result<Reply, Problem> {
    let operator = operator?;
    event!(Info, "drain_asked", by = operator.name);
    shared.lifecycle.drain();
    Ok(Reply::json(&Draining {
        entry: &shared.settings.name,
        draining: true,
        running_jobs: shared.jobs.running(),
        drain_ms: shared.settings.limits.drain_ms,
    }))
}

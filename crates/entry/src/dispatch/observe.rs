//! What is learnt from ends of tasks and jobs: run times, failing upstreams,
//! room in quotas.

use {
    crate::{
        counters, jobs::JobCell, organisations::Organisation, shared::Shared, upstreams::Agent,
    },
    std::{
        collections::HashSet,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    sycamorerail_decide::{
        ejection,
        view::{UpstreamKey, View},
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::{Answer, Outcome, Reason, TaskEnd},
        message::{AgentReplyBody, Unit},
    },
    tokio::sync::watch,
};

pub use sycamorerail_decide::ejection::EjectionState;

/// Pause between looks at ejected upstreams.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// How a placement ended, as far as its upstream is judged by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observed {
    /// Whether the upstream did well; `None` where nothing is said of it.
    pub succeeded: Option<bool>,
    /// The placement was to probe an ejected upstream.
    pub probe: bool,
}

/// What a reply says of the upstream.
#[must_use]
pub(crate) fn judged(body: &AgentReplyBody) -> Option<bool> {
    match body {
        AgentReplyBody::Ended { end: TaskEnd::Finished(_), .. } => Some(true),
        AgentReplyBody::Ended { end: TaskEnd::Failed { reason, .. }, .. }
        | AgentReplyBody::Broken(reason)
        | AgentReplyBody::NotStarted { reason, .. } => is_upstreams_fault(*reason).then_some(false),
        _ => None,
    }
}

fn is_upstreams_fault(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::TaskFailed
            | Reason::UpstreamUnreachable
            | Reason::UpstreamBroken
            | Reason::UpstreamTimeout
    )
}

impl Observed {
    /// A placement without a reply.
    #[must_use]
    pub fn nothing(probe: bool) -> Self {
        Self { succeeded: None, probe }
    }

    /// Takes what a placement's end says of its upstream.
    pub fn take(self, shared: &Shared, cell: &JobCell, agent: &Agent) {
        let now_ms = shared.now_ms();
        let mut ejections = shared.dispatch.ejections.lock();
        let kind = cell.kind.key;
        let observed = self
            .succeeded
            .and_then(|succeeded| ejections.observe(agent.key, kind, succeeded, now_ms));
        let probed = self
            .probe
            .then(|| ejections.record_probe_end(agent.key, self.succeeded, now_ms))
            .flatten();
        shared.dispatch.note_out(ejections.ejected_count());
        drop(ejections);
        for service in [observed, probed].into_iter().flatten() {
            put(agent, service);
        }
    }
}

fn put(agent: &Agent, service: EjectionState) {
    event!(Warn, "upstream_service", agent = agent.peer, service = format_args!("{service:?}"));
    ejection::publish(service, &agent.live);
}

/// A task ran to its end at an upstream.
pub(crate) fn ran(shared: &Shared, cell: &JobCell, agent: &Agent, run_us: u64) {
    let since_us = u64::try_from(cell.accepted_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    counters::dispatch_overhead_us(since_us.saturating_sub(run_us));
    let mut estimates = shared.dispatch.estimates.lock();
    estimates.observe_run(cell.kind.key, agent.key, run_us, shared.now_ms());
    let mean_us = estimates.upstream_run_us(agent.key);
    drop(estimates);
    agent.live.mean_run_us.store(mean_us, Ordering::Release);
}

/// A job was answered, for the first time or once more after `unknown`.
pub fn answered(shared: &Shared, cell: &JobCell, answer: &Answer) {
    shared.dispatch.forget(cell);
    if cell.released.swap(true, Ordering::AcqRel) {
        return;
    }
    cell.limit.release(cell.task_count().into());
    if cell.unit == Unit::Request && answer.outcome == Outcome::Complete {
        cell.retries.earn();
    }
}

/// The upstreams or the templates have changed.
pub fn upstreams_changed(shared: &Shared, before: &View, after: &View) {
    shared.dispatch.kinds.forget();
    let keys = |view: &View| view.rows.iter().map(|row| row.key).collect::<HashSet<_>>();
    let (before, after) = (keys(before), keys(after));
    let mut ejections = shared.dispatch.ejections.lock();
    after.difference(&before).for_each(|&key| ejections.add(key));
    before.difference(&after).for_each(|&key| ejections.remove(key));
    shared.dispatch.note_out(ejections.ejected_count());
    drop(ejections);
    let mut estimates = shared.dispatch.estimates.lock();
    before.difference(&after).for_each(|&key| estimates.forget_upstream(key));
}

/// Templates were put in force.
pub(crate) fn declare(shared: &Shared, organisations: &[Arc<Organisation>]) {
    let mut estimates = shared.dispatch.estimates.lock();
    for kind in organisations.iter().flat_map(|organisation| organisation.kinds.values()) {
        estimates.declare(kind.key, kind.run_ms, kind.size_bytes);
    }
    drop(estimates);
    shared.dispatch.quotas.divide(shared);
}

/// Lets ejected upstreams return that nobody probes, until told to stop.
pub async fn observe_until(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            _ = stop.wait_for(|&stopped| stopped) => return,
            () = tokio::time::sleep(LOOK_PERIOD) => {}
        }
        let returned = shared.dispatch.ejections.lock().return_unprobed(shared.now_ms());
        let snapshot = shared.upstreams.snapshot();
        for (key, service) in returned {
            if let Some(agent) = snapshot.agent(key) {
                put(agent, service);
            }
        }
    }
}

/// An ejected upstream that is due for a probe and could serve the request.
pub(super) fn take_probe(
    shared: &Shared,
    could_serve: impl FnMut(UpstreamKey) -> bool,
) -> Option<UpstreamKey> {
    if shared.dispatch.out() == 0 {
        return None;
    }
    shared.dispatch.ejections.lock().take_probe(could_serve, shared.now_ms())
}

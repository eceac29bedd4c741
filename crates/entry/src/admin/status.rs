//! How entries and upstreams stand.

use {
    super::{
        Admin, evacuation,
        operator::Operator,
        reply::{Problem, Reply},
        rollout::{self, Rollout},
    },
    crate::{shared::Shared, upstreams::Agent},
    rocket::{State, get},
    serde::Serialize,
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

#[derive(Debug, Serialize)]
struct StatusBody {
    #[serde(flatten)]
    rollout: Rollout,
    evacuations: Vec<evacuation::EvacuationLine>,
    upstreams: Vec<UpstreamLine>,
    jobs: JobsLine,
}

/// One agent's upstream, as this entry sees it.
#[derive(Debug, Serialize)]
struct UpstreamLine {
    agent: String,
    /// The agent's run.
    incarnation: String,
    upstream: Option<String>,
    data_centre: String,
    rack: String,
    connected: bool,
    /// The platform's record allows its use.
    usable: bool,
    leaving: bool,
    /// Its data centre is evacuated.
    evacuated: bool,
    ejected: bool,
    slots: u32,
    running: u32,
    queued: u32,
    /// Placements of this entry without a reply.
    outstanding: u32,
}

/// Jobs of this entry.
#[derive(Debug, Serialize)]
struct JobsLine {
    running: u32,
    record_bytes: u64,
    kept_answer_bytes: u64,
}

fn upstream_line(agent: &Agent, now_ms: u64) -> UpstreamLine {
    let live = &agent.live;
    let read = |number: &AtomicU32| number.load(Ordering::Acquire);
    UpstreamLine {
        agent: agent.identity.name.clone(),
        incarnation: agent.identity.incarnation.to_string(),
        upstream: agent.upstream().map(|upstream| upstream.name),
        data_centre: agent.identity.data_centre.clone(),
        rack: agent.identity.rack.clone(),
        connected: agent.is_up(),
        usable: agent.usable_by().is_some(),
        leaving: live.leaving.load(Ordering::Acquire),
        evacuated: live.evacuated.load(Ordering::Acquire),
        ejected: live.ejected_until_ms.load(Ordering::Acquire) > now_ms,
        slots: read(&live.slots),
        running: read(&live.running),
        queued: read(&live.queued),
        outstanding: read(&live.outstanding),
    }
}

#[get("/status")]
pub(super) async fn status(
    admin: &State<Arc<Admin>>,
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
) -> Result<Reply, Problem> {
    operator?;
    let rollout = rollout::collect(admin, shared).await;
    let evacuations = evacuation::lines(admin, shared).await;
    let (snapshot, now_ms) = (shared.upstreams.snapshot(), shared.now_ms());
    let upstreams = snapshot.agents.iter().map(|agent| upstream_line(agent, now_ms)).collect();
    let jobs = JobsLine {
        running: shared.jobs.running(),
        record_bytes: shared.jobs.record_bytes(),
        kept_answer_bytes: shared.jobs.kept_answer_bytes(),
    };
    Ok(Reply::json(&StatusBody { rollout, evacuations, upstreams, jobs }))
}

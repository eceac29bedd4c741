//! Tries to place one waiting task now.

use {
    super::{
        choose::{choose, max_queued},
        observe::Observed,
        probe::probe_target,
    },
    crate::{
        jobs::JobCell,
        shared::Shared,
        upstreams::{self, Agent, Snapshot},
    },
    std::sync::Arc,
    sycamorerail_decide::{job::TaskAttempt, placement::Choice, view::UpstreamKey},
};

/// Choices made anew where another thread took the slot first.
const MAX_TRIES: usize = 4;

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tried {
    /// It was sent.
    Sent,
    /// It waits no more: the job was answered or stopped.
    Dropped,
    /// There is no room. `restricted` if that may be due to upstreams which
    /// this task avoids.
    Wait { restricted: bool },
}

pub(super) fn try_place(shared: &Arc<Shared>, cell: &Arc<JobCell>, task: TaskAttempt) -> Tried {
    let snapshot = shared.upstreams.snapshot();
    let now_ms = shared.now_ms();
    let (wanted, avoid) = {
        let job = cell.state.lock();
        (job.is_waiting(task), job.upstreams_to_avoid(task, now_ms))
    };
    if !wanted {
        return Tried::Dropped;
    }
    if let Some(key) = probe_target(shared, &snapshot, cell, task, &avoid) {
        return probe(shared, &snapshot, cell, task, key);
    }
    for _ in 0..MAX_TRIES {
        let Choice::Place(key) = choose(shared, &snapshot, cell, &avoid, now_ms) else {
            break;
        };
        if let Some(tried) = try_at(shared, &snapshot, cell, task, key) {
            return tried;
        }
    }
    Tried::Wait { restricted: !avoid.is_empty() }
}

fn probe(
    shared: &Arc<Shared>,
    snapshot: &Snapshot,
    cell: &Arc<JobCell>,
    task: TaskAttempt,
    key: UpstreamKey,
) -> Tried {
    let Some(agent) = snapshot.agent(key) else {
        return Tried::Wait { restricted: true };
    };
    agent.begin_placement();
    let sent = send(shared, cell, agent, task, true);
    if sent == Tried::Dropped {
        Observed::nothing(true).take(shared, cell, agent);
    }
    sent
}

/// Takes a slot in the view, then leave of the job; `None` if the slot is gone.
fn try_at(
    shared: &Arc<Shared>,
    snapshot: &Snapshot,
    cell: &Arc<JobCell>,
    task: TaskAttempt,
    key: UpstreamKey,
) -> Option<Tried> {
    let agent = snapshot.agent(key)?;
    let row = snapshot.view.row(key)?;
    agent.begin_placement();
    if row.free_slots() < -i64::from(max_queued(&cell.kind)) {
        agent.end_placement();
        return None;
    }
    let tried = send(shared, cell, agent, task, false);
    if tried == Tried::Sent {
        cell.note_rack(row.rack);
    }
    Some(tried)
}

fn send(
    shared: &Arc<Shared>,
    cell: &Arc<JobCell>,
    agent: &Arc<Agent>,
    task: TaskAttempt,
    probe: bool,
) -> Tried {
    let placed = cell.state.lock().open_placement(task, agent.key, shared.now_ms());
    let Some(placement) = placed else {
        agent.end_placement();
        return Tried::Dropped;
    };
    upstreams::send(shared, cell, agent, placement, probe);
    Tried::Sent
}

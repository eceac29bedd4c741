//! Tries to place one waiting task now.

use {
    super::choose::{choose, max_queued},
    crate::{
        jobs::JobCell,
        shared::Shared,
        upstreams::{self, Snapshot},
    },
    std::sync::Arc,
    sycamorerail_decide::{job::TaskKey, placement::Choice, view::UpstreamKey},
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

pub(super) fn try_place(shared: &Arc<Shared>, cell: &Arc<JobCell>, task: TaskKey) -> Tried {
    let snapshot = shared.upstreams.snapshot();
    let now_ms = shared.now_ms();
    let (wanted, avoid) = {
        let job = cell.state.lock();
        (job.wants(task), job.avoid(task, now_ms))
    };
    if !wanted {
        return Tried::Dropped;
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

/// Takes a slot in the view, then leave of the job; `None` if the slot is gone.
fn try_at(
    shared: &Arc<Shared>,
    snapshot: &Snapshot,
    cell: &Arc<JobCell>,
    task: TaskKey,
    key: UpstreamKey,
) -> Option<Tried> {
    let agent = snapshot.agent(key)?;
    let row = snapshot.view.row(key)?;
    agent.begin_placement();
    if row.free_slots() < -i64::from(max_queued(&cell.kind)) {
        agent.end_placement();
        return None;
    }
    let placed = cell.state.lock().place(task, key, shared.now_ms());
    let Some(placement) = placed else {
        agent.end_placement();
        return Some(Tried::Dropped);
    };
    cell.note_rack(row.rack);
    upstreams::send(shared, cell, agent, placement);
    Some(Tried::Sent)
}

//! Probing an ejected upstream with one repeatable request.

use {
    super::observe::take_probe,
    crate::{jobs::JobCell, shared::Shared, upstreams::Snapshot},
    std::sync::atomic::Ordering,
    sycamorerail_decide::{job::TaskAttempt, view::UpstreamKey},
};

/// The ejected upstream that this attempt is to probe, if any. Only a request
/// that may run again is risked, and only its first attempt.
pub(super) fn probe_target(
    shared: &Shared,
    snapshot: &Snapshot,
    cell: &JobCell,
    task: TaskAttempt,
    avoid: &[UpstreamKey],
) -> Option<UpstreamKey> {
    if !cell.is_repeatable() || task.attempt > 0 || cell.kind.max_attempts < 2 {
        return None;
    }
    let size_bytes = cell.kind.size_bytes;
    take_probe(shared, |key| {
        let row = snapshot.view.row(key);
        let may_use = snapshot.may_use(key, cell.id.incarnation) && !avoid.contains(&key);
        let serves = row.is_some_and(|row| {
            row.can_serve(cell.kind.key, size_bytes)
                && !row.live.leaving.load(Ordering::Acquire)
                && !row.live.evacuated.load(Ordering::Acquire)
        });
        may_use && serves
    })
}

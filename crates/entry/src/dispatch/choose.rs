//! Asks the kind's policy for an upstream.

use {
    crate::{jobs::JobCell, organisations::Kind, shared::Shared, upstreams::Snapshot},
    std::sync::LazyLock,
    sycamorerail_decide::{
        placement::{Ask, Choice, Policy},
        view::UpstreamKey,
    },
    sycamorerail_settings::template::Priority,
};

/// Most tasks that may wait at an upstream, where time matters more.
const MAX_QUEUED_FOR_TIME: u16 = 1;
/// The same, where wasted messages matter more: they wait at the entry.
const MAX_QUEUED_FOR_WASTE: u16 = 0;

const POLICY: &str = "least_wait";

static CHOOSE: LazyLock<Option<Policy>> = LazyLock::new(|| Policy::by_name(POLICY));

/// Most tasks of the kind that may wait at an upstream beyond its slots.
pub(super) fn max_queued(kind: &Kind) -> u16 {
    match kind.priority {
        Priority::Time => MAX_QUEUED_FOR_TIME,
        Priority::Waste => MAX_QUEUED_FOR_WASTE,
    }
}

/// Chooses an upstream for a task of the job.
pub(super) fn choose(
    shared: &Shared,
    snapshot: &Snapshot,
    cell: &JobCell,
    avoid: &[UpstreamKey],
    now_ms: u64,
) -> Choice {
    let siblings = cell.siblings.lock().clone();
    let kind = &cell.kind;
    let ask = Ask {
        kind: kind.key,
        size_bytes: kind.size_bytes,
        run_ms: kind.run_ms,
        spread: kind.spread,
        local: shared.data_centre,
        avoid: &kind.avoid,
        tried: avoid,
        siblings: &siblings,
        max_queued: max_queued(kind),
    };
    let view = snapshot.view_for(cell.accepted_event);
    match &*CHOOSE {
        Some(policy) => (policy.choose)(&view, &ask, &mut rand::rng(), now_ms),
        None => Choice::Never,
    }
}

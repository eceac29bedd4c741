//! Asks the kind's policy for an upstream.

use {
    super::kinds::{KindNumbers, numbers},
    crate::{jobs::JobCell, organisations::Kind, shared::Shared, upstreams::Snapshot},
    std::sync::LazyLock,
    sycamorerail_decide::{
        placement::{Ask, Choice, Policy},
        view::{RackKey, UpstreamKey},
    },
    sycamorerail_settings::template::Priority,
};

/// Where time matters more: a task may wait at an upstream, to start there
/// without a round trip.
const FOR_TIME: &str = "least_wait";
const MAX_QUEUED_FOR_TIME: u16 = 1;
/// Where wasted messages matter more: tasks wait at the entry.
const FOR_WASTE: &str = "late_binding";
const MAX_QUEUED_FOR_WASTE: u16 = 0;

static CHOOSE_FOR_TIME: LazyLock<Option<Policy>> = LazyLock::new(|| Policy::by_name(FOR_TIME));
static CHOOSE_FOR_WASTE: LazyLock<Option<Policy>> = LazyLock::new(|| Policy::by_name(FOR_WASTE));

/// Most tasks of the kind that may wait at an upstream beyond its slots.
pub(super) fn max_queued(kind: &Kind) -> u16 {
    match kind.priority {
        Priority::Time => MAX_QUEUED_FOR_TIME,
        Priority::Waste => MAX_QUEUED_FOR_WASTE,
    }
}

fn policy(kind: &Kind) -> Option<&'static Policy> {
    match kind.priority {
        Priority::Time => CHOOSE_FOR_TIME.as_ref(),
        Priority::Waste => CHOOSE_FOR_WASTE.as_ref(),
    }
}

/// What a task of the kind needs.
pub(super) fn ask<'a>(
    shared: &Shared,
    kind: &'a Kind,
    numbers: &KindNumbers,
    tried: &'a [UpstreamKey],
    siblings: &'a [(RackKey, u16)],
) -> Ask<'a> {
    Ask {
        kind: kind.key,
        size_bytes: numbers.size_bytes,
        run_ms: numbers.run_ms,
        spread: kind.spread,
        local: shared.data_centre,
        avoid: &kind.avoid,
        tried,
        siblings,
        max_queued: max_queued(kind),
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
    let ask = ask(shared, kind, &numbers(shared, kind), avoid, &siblings);
    let view = snapshot.view_for(cell.accepted_event);
    match policy(kind) {
        Some(policy) => (policy.choose)(&view, &ask, &mut rand::rng(), now_ms),
        None => Choice::Never,
    }
}

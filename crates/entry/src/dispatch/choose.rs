//! Asks the kind's policy for an upstream.

use {
    super::kinds::{KindNumbers, numbers},
    crate::{jobs::JobCell, organisations::Kind, shared::Shared, upstreams::Snapshot},
    std::sync::LazyLock,
    sycamorerail_decide::{
        placement::{Choice, PlacementQuery, Policy},
        view::{RackKey, UpstreamKey},
    },
    sycamorerail_settings::template::PolicyTemplate,
};

/// Tasks that may wait at an upstream beyond its slots, to start there without
/// a round trip. [`late_binding`] takes no notice of it.
///
/// [`late_binding`]: sycamorerail_decide::placement::late_binding
const MAX_QUEUED: u16 = 1;

static RANDOM: LazyLock<Option<Policy>> = LazyLock::new(|| Policy::by_name("random"));
static TWO_CHOICES: LazyLock<Option<Policy>> = LazyLock::new(|| Policy::by_name("two_choices"));
static LEAST_WAIT: LazyLock<Option<Policy>> = LazyLock::new(|| Policy::by_name("least_wait"));
static LATE_BINDING: LazyLock<Option<Policy>> = LazyLock::new(|| Policy::by_name("late_binding"));

/// One policy serves both priorities: none wasted fewer messages, and it was the
/// fastest. See docs/DECISIONS.md. They differ in hedging.
fn policy_name(kind: &Kind) -> PolicyTemplate {
    match kind.policy {
        PolicyTemplate::ByPriority => PolicyTemplate::LeastWait,
        named => named,
    }
}

/// Most tasks of the kind that may wait at an upstream beyond its slots.
pub(super) fn max_queued(kind: &Kind) -> u16 {
    match policy_name(kind) {
        PolicyTemplate::LateBinding => 0,
        _ => MAX_QUEUED,
    }
}

fn policy(kind: &Kind) -> Option<&'static Policy> {
    match policy_name(kind) {
        PolicyTemplate::Random => RANDOM.as_ref(),
        PolicyTemplate::TwoChoices => TWO_CHOICES.as_ref(),
        PolicyTemplate::LateBinding => LATE_BINDING.as_ref(),
        PolicyTemplate::LeastWait | PolicyTemplate::ByPriority => LEAST_WAIT.as_ref(),
    }
}

/// What a task of the kind needs.
pub(super) fn placement_query<'a>(
    shared: &Shared,
    kind: &'a Kind,
    numbers: &KindNumbers,
    tried: &'a [UpstreamKey],
    siblings: &'a [(RackKey, u16)],
) -> PlacementQuery<'a> {
    PlacementQuery {
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
    let query = placement_query(shared, kind, &numbers(shared, kind), avoid, &siblings);
    let view = snapshot.view_for(cell.id.incarnation);
    match policy(kind) {
        Some(policy) => (policy.choose)(&view, &query, &mut rand::rng(), now_ms),
        None => Choice::Never,
    }
}

//! State changes of the upstream beside the agent: announced, leaving, lease lapsed.

use {
    crate::{announced_upstream::AnnouncedUpstream, core::Core},
    std::sync::Arc,
    sycamorerail_decide::gate::UpstreamState,
    sycamorerail_telemetry::event,
};

/// Applies an announcement and renews the upstream's lease.
pub(crate) fn announce(core: &Arc<Core>, announced: AnnouncedUpstream) {
    announced.renew(core.clock.now_ms());
    let state = UpstreamState::Serving { slots: announced.info.slots };
    let before = core.upstream.load_full();
    let same = before.is_some_and(|before| {
        before.info == announced.info && before.base_url == announced.base_url
    });
    let name = announced.info.name.clone();
    core.upstream.store(Some(Arc::new(announced)));
    if !same || core.upstream_state() != state {
        event!(Info, "upstream_announced", upstream = name);
        core.set_upstream_state(state);
    }
}

/// Marks the upstream as leaving: the agent accepts no new tasks, and running tasks go on.
pub(crate) fn leave(core: &Arc<Core>, why: &'static str) {
    if matches!(core.upstream_state(), UpstreamState::Serving { .. }) {
        event!(Info, "upstream_leaving", why = why);
        core.set_upstream_state(UpstreamState::Leaving);
    }
}

/// Marks the upstream as leaving if its lease has lapsed.
pub(crate) fn check_lease(core: &Arc<Core>) {
    let lease_ms = u64::from(core.settings.upstream_lease_ms);
    let upstream = core.upstream.load();
    let lapsed = upstream
        .as_ref()
        .is_some_and(|announced| core.clock.now_ms() > announced.renewed_at_ms() + lease_ms);
    if lapsed {
        leave(core, "lease_lapsed");
    }
}

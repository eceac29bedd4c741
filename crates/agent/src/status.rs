//! The status page in JSON, and the readiness check.

use {
    crate::{core::Core, entries::Entries},
    serde::Serialize,
    sycamorerail_decide::gate::UpstreamState,
};

/// Status of an agent.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    name: String,
    incarnation: String,
    inner_address: String,
    data_centre: String,
    rack: String,
    ready: bool,
    draining: bool,
    upstream: Option<UpstreamStatus>,
    running: usize,
    queued: usize,
    records: usize,
    record_bytes: u64,
    kept_result_bytes: u64,
    fenced: usize,
    config_mark: u64,
    entries: Vec<EntryStatus>,
}

#[derive(Debug, Serialize)]
struct UpstreamStatus {
    name: String,
    address: String,
    slots: u16,
    leaving: bool,
}

/// Reply to an upstream that announces leaving.
#[derive(Debug, Serialize)]
pub(crate) struct RunningTasks {
    /// Number of tasks still running on the upstream.
    pub(crate) running: usize,
}

#[derive(Debug, Serialize)]
struct EntryStatus {
    incarnation: String,
    address: String,
}

/// Returns why the agent is not ready, or `None` if it is ready.
pub(crate) fn unready_reason(core: &Core, entries: &Entries) -> Option<&'static str> {
    if core.is_draining() {
        return Some("draining");
    }
    match core.upstream_state() {
        UpstreamState::Absent => Some("no upstream has announced itself"),
        UpstreamState::Leaving => Some("the upstream is leaving, or its lease lapsed"),
        UpstreamState::Serving { .. } if entries.connected().is_empty() => {
            Some("no session with an entry")
        }
        UpstreamState::Serving { .. } => None,
    }
}

/// Collects the current status.
pub(crate) fn collect(core: &Core, entries: &Entries) -> Status {
    let counts = core.counts();
    Status {
        name: core.identity.name.clone(),
        incarnation: core.identity.incarnation.to_string(),
        inner_address: core.identity.address.to_string(),
        data_centre: core.identity.data_centre.clone(),
        rack: core.identity.rack.clone(),
        ready: unready_reason(core, entries).is_none(),
        draining: core.is_draining(),
        upstream: upstream(core),
        running: counts.running,
        queued: counts.queued,
        records: counts.records,
        record_bytes: counts.record_bytes,
        kept_result_bytes: counts.kept_result_bytes,
        fenced: counts.fenced,
        config_mark: core.config_mark().0,
        entries: entry_statuses(entries),
    }
}

fn upstream(core: &Core) -> Option<UpstreamStatus> {
    let announced = core.upstream.load_full()?;
    Some(UpstreamStatus {
        name: announced.info.name.clone(),
        address: announced.base_url.to_string(),
        slots: announced.info.slots,
        leaving: core.upstream_state() == UpstreamState::Leaving,
    })
}

fn entry_statuses(entries: &Entries) -> Vec<EntryStatus> {
    let line = |(incarnation, address): (_, std::net::SocketAddr)| EntryStatus {
        incarnation: ToString::to_string(&incarnation),
        address: address.to_string(),
    };
    entries.connected().into_iter().map(line).collect()
}

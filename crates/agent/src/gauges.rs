//! Gauges of an agent.

use crate::{core::Core, entries::Entries};

/// Sets all gauges to their current values.
pub(crate) fn set_all(core: &Core, entries: &Entries) {
    let counts = core.counts();
    let set = |name: &'static str, value: u64| metrics::gauge!(name).set(value as f64);
    set("sycamorerail_agent_running", counts.running as u64);
    set("sycamorerail_agent_queued", counts.queued as u64);
    set("sycamorerail_agent_records", counts.records as u64);
    set("sycamorerail_agent_record_bytes", counts.record_bytes);
    set("sycamorerail_agent_kept_result_bytes", counts.kept_result_bytes);
    set("sycamorerail_agent_fenced", counts.fenced as u64);
    set("sycamorerail_agent_sessions", entries.connected().len() as u64);
}

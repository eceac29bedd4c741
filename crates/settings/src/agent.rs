//! Settings of `sycamorerail-agent`.

use {crate::keys::KeySettings, std::net::SocketAddr};

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name, the same over restarts and unique in the cluster.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// Address for the upstream's announcements, health and metrics.
    pub http_address: SocketAddr,
    /// Address of the inner protocol.
    pub inner_address: SocketAddr,
    /// Entries to dial at start; more are learnt from them.
    pub entries: Vec<SocketAddr>,
    /// Keys of the inner protocol.
    pub keys: KeySettings,
    /// How long starts, tombstones and results are kept; not below the entries' retention.
    pub retention_ms: u32,
    /// Most bytes of kept results.
    pub kept_result_bytes: u64,
    /// Most bytes of start records; beyond it placements are refused.
    pub record_bytes: u64,
    /// Most tasks that may wait for a slot.
    pub max_queued: u16,
    /// An upstream not heard of for this long takes no new work.
    pub upstream_lease_ms: u32,
    /// Pause between heartbeats of an idle pair.
    pub heartbeat_ms: u32,
    /// An inner session without a packet for this long is dead.
    pub idle_timeout_ms: u32,
    /// Longest wait for tasks in flight at a planned stop.
    pub drain_ms: u32,
    /// Log level: error, warn, info, debug, trace.
    pub log_level: String,
    /// A broken invariant ends the process.
    pub fatal_invariants: bool,
}

//! Settings of the stand-ins.

use std::net::SocketAddr;

/// Settings of `sycamorerail-platform-standin`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformStandinSettings {
    /// Where it listens.
    pub http_address: SocketAddr,
    /// Seed of its random choices.
    pub seed: u64,
    /// Writes a second beyond which it answers 429; 0 for no limit.
    pub max_writes_per_s: u32,
    /// Reads a second beyond which it answers 429; 0 for no limit.
    pub max_reads_per_s: u32,
    /// Delay of each answer.
    pub delay_ms: u32,
}

/// Settings of `sycamorerail-upstream-standin`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamStandinSettings {
    /// Name it announces.
    pub name: String,
    /// Where it listens.
    pub http_address: SocketAddr,
    /// Base URL of its agent.
    pub agent_url: String,
    /// Slots it announces.
    pub slots: u16,
    /// Largest task it announces.
    pub max_task_bytes: u64,
    /// Kinds it announces: `organisation/kind`, `*/kind` or `*`.
    pub kinds: Vec<String>,
    /// Pause between announcements.
    pub announce_ms: u32,
    /// Run time of a task whose payload names none.
    pub default_run_ms: u32,
    /// Seed of its random choices.
    pub seed: u64,
}

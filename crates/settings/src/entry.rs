//! Settings of `sycamorerail-entry`.

use {crate::keys::KeySettings, std::net::SocketAddr};

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name, the same over restarts and unique in the cluster.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers, operators, health and metrics.
    pub http_address: SocketAddr,
    /// Address of the inner protocol, named in ids.
    pub inner_address: SocketAddr,
    /// Other entries' inner addresses, for a start while the platform is out.
    pub peers: Vec<SocketAddr>,
    /// The platform's service.
    pub platform: PlatformSettings,
    /// Keys of the inner protocol.
    pub keys: KeySettings,
    /// Secret with which ids are tagged, the same on all entries.
    pub cluster_secret: String,
    /// Operators who may call the administration API.
    pub operators: Vec<TokenSettings>,
    /// Bounds of memory and time.
    pub limits: LimitSettings,
    /// Log level: error, warn, info, debug, trace.
    pub log_level: String,
    /// A broken invariant ends the process.
    pub fatal_invariants: bool,
}

/// The platform's service, as one entry uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Base URL.
    pub url: String,
    /// Longest wait for an answer.
    pub timeout_ms: u32,
    /// Most calls a second of this entry, waiting watch included.
    pub call_budget_per_s: u32,
    /// Of these, most for binding callers' own keys.
    pub key_budget_per_s: u32,
    /// Pause between polls behind the watch.
    pub poll_ms: u32,
    /// Lifetime of the entry's lease.
    pub lease_ms: u32,
}

/// A named token, as its SHA-256 in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenSettings {
    /// Whose it is; named in history and logs.
    pub name: String,
    /// SHA-256 of the token, 64 hexadecimal digits.
    pub token_sha256: String,
}

/// Bounds of memory and time of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest body accepted.
    pub max_body_bytes: u64,
    /// Most ids in one reservation.
    pub max_reserved_ids: u32,
    /// How long ids and keys are valid and answers kept.
    pub retention_ms: u32,
    /// Most bytes of job records; beyond it submissions are refused.
    pub record_bytes: u64,
    /// Most bytes of kept answers; beyond it the oldest results are dropped.
    pub kept_answer_bytes: u64,
    /// Most tasks that may wait at the entry.
    pub max_queued_tasks: u32,
    /// A home not reached for this long is taken as lost.
    pub lost_after_ms: u32,
    /// Silence of a session with outstanding work before it is probed.
    pub probe_after_ms: u32,
    /// An inner session without a packet for this long is dead.
    pub idle_timeout_ms: u32,
    /// Longest wait for requests in flight at a planned stop.
    pub drain_ms: u32,
}

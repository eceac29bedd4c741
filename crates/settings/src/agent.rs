//! Settings of `sycamorerail-agent`.

use {
    crate::{
        entry::{LOG_LEVELS, MAX_DEADLINE_MS, MAX_RETENTION_MS},
        error::{LoadError, SettingsErrors},
        keys::KeySettings,
        load,
        reader::{self, Env, Reader},
        rules::NAME,
    },
    std::{net::SocketAddr, path::Path},
};

/// Default of `retention_ms`: the entries' default plus the time for one drain.
pub const DEFAULT_RETENTION_MS: u32 = 150_000;
/// Default of `kept_result_bytes`.
pub const DEFAULT_KEPT_RESULT_BYTES: u64 = 32 * MIB;
/// Default of `record_bytes`.
pub const DEFAULT_RECORD_BYTES: u64 = 32 * MIB;
/// Default of `max_queued`.
pub const DEFAULT_MAX_QUEUED: u16 = 64;
/// Default of `upstream_lease_ms`.
pub const DEFAULT_UPSTREAM_LEASE_MS: u32 = 3_000;
/// Default of `heartbeat_ms`.
pub const DEFAULT_HEARTBEAT_MS: u32 = 30_000;
/// Default of `idle_timeout_ms`.
pub const DEFAULT_IDLE_TIMEOUT_MS: u32 = 75_000;
/// Default of `drain_ms`: above the longest deadline.
pub const DEFAULT_DRAIN_MS: u32 = 65_000;

const MIB: u64 = 1024 * 1024;

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name; unique in the cluster and unchanged across restarts.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// HTTP address for the upstream's announcements, health and metrics.
    pub http_address: SocketAddr,
    /// Address of the inner protocol.
    pub inner_address: SocketAddr,
    /// Entries to connect to at start; the agent learns of other entries from them.
    pub entries: Vec<SocketAddr>,
    /// Keys of the inner protocol.
    pub keys: KeySettings,
    /// How long the agent keeps start records, tombstones and results. Must not be shorter than the
    /// entries' retention.
    pub retention_ms: u32,
    /// Maximum size of all kept results.
    pub kept_result_bytes: u64,
    /// Maximum size of all start records; the agent rejects placements beyond it.
    pub record_bytes: u64,
    /// Maximum number of tasks that wait for a slot.
    pub max_queued: u16,
    /// An upstream that has not announced itself for this long gets no new tasks.
    pub upstream_lease_ms: u32,
    /// Interval between heartbeats on an idle session.
    pub heartbeat_ms: u32,
    /// An inner session that receives no packet for this long is closed.
    pub idle_timeout_ms: u32,
    /// Maximum time that a planned stop waits for tasks in flight.
    pub drain_ms: u32,
    /// Log level: error, warn, info, debug, trace.
    pub log_level: String,
    /// Whether a violated invariant ends the process.
    pub fatal_invariants: bool,
}

impl AgentSettings {
    /// Reads settings from YAML text.
    ///
    /// # Errors
    ///
    /// Lists all fields that are unknown, missing, of the wrong type or out of range.
    pub fn read(yaml: &str, env: Env<'_>) -> Result<Self, SettingsErrors> {
        reader::document(yaml, env, Self::read_fields)
    }

    /// Reads settings from a file, and secrets from the process's environment.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its content is invalid.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        load::load(path, |yaml| Self::read(yaml, &load::process_env))
    }

    fn read_fields(reader: &Reader<'_>) -> Self {
        let lasting_ms = MAX_DEADLINE_MS..=MAX_RETENTION_MS;
        let settings = Self {
            name: reader.text("name", NAME),
            data_centre: reader.text("data_centre", NAME),
            rack: reader.text("rack", NAME),
            http_address: reader.address("http_address"),
            inner_address: reader.dialled_address("inner_address"),
            entries: reader.addresses("entries"),
            keys: reader.section("keys", KeySettings::read),
            retention_ms: reader.number("retention_ms", DEFAULT_RETENTION_MS, lasting_ms.clone()),
            kept_result_bytes: reader.number(
                "kept_result_bytes",
                DEFAULT_KEPT_RESULT_BYTES,
                0..=1024 * MIB,
            ),
            record_bytes: reader.number("record_bytes", DEFAULT_RECORD_BYTES, MIB..=1024 * MIB),
            max_queued: reader.number("max_queued", DEFAULT_MAX_QUEUED, 0..=10_000),
            upstream_lease_ms: reader.number(
                "upstream_lease_ms",
                DEFAULT_UPSTREAM_LEASE_MS,
                100..=60_000,
            ),
            heartbeat_ms: reader.number("heartbeat_ms", DEFAULT_HEARTBEAT_MS, 100..=60_000),
            idle_timeout_ms: reader.number(
                "idle_timeout_ms",
                DEFAULT_IDLE_TIMEOUT_MS,
                500..=120_000,
            ),
            drain_ms: reader.number("drain_ms", DEFAULT_DRAIN_MS, lasting_ms),
            log_level: reader.choice("log_level", "info", LOG_LEVELS).to_owned(),
            fatal_invariants: reader.switch("fatal_invariants", false),
        };
        settings.check(reader);
        settings
    }

    fn check(&self, reader: &Reader<'_>) {
        reader.require(
            &["entries"],
            !self.entries.is_empty(),
            "entries",
            "found none",
            "the inner address of at least one entry",
        );
        reader.require(
            &["heartbeat_ms", "idle_timeout_ms"],
            self.heartbeat_ms < self.idle_timeout_ms,
            "heartbeat_ms",
            format!("found {} with idle_timeout_ms {}", self.heartbeat_ms, self.idle_timeout_ms),
            "less than idle_timeout_ms, otherwise idle sessions time out",
        );
    }
}

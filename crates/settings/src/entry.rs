//! Settings of `sycamorerail-entry`.

use {
    crate::{
        error::{LoadError, SettingsErrors},
        keys::KeySettings,
        load,
        reader::{self, Env, Reader},
        rules::{HTTP_URL, NAME, SHA256},
    },
    std::{fmt, net::SocketAddr, path::Path},
};

/// Maximum deadline of a kind. Retention and drain must not be shorter: a job must not outlive its
/// id, and a planned stop must not cut it off.
pub const MAX_DEADLINE_MS: u32 = 60_000;
/// Maximum retention time.
pub const MAX_RETENTION_MS: u32 = 3_600_000;
/// Minimum length of the cluster secret, in bytes.
pub const MIN_CLUSTER_SECRET_BYTES: usize = 16;

/// Default of `limits.max_body_bytes`.
pub const DEFAULT_MAX_BODY_BYTES: u64 = MIB;
/// Default of `limits.max_reserved_ids`.
pub const DEFAULT_MAX_RESERVED_IDS: u32 = 1_000;
/// Default of `limits.retention_ms`.
pub const DEFAULT_RETENTION_MS: u32 = 120_000;
/// Default of `limits.record_bytes`.
pub const DEFAULT_RECORD_BYTES: u64 = 96 * MIB;
/// Default of `limits.kept_answer_bytes`.
pub const DEFAULT_KEPT_ANSWER_BYTES: u64 = 64 * MIB;
/// Default of `limits.max_queued_tasks`.
pub const DEFAULT_MAX_QUEUED_TASKS: u32 = 20_000;
/// Default of `limits.lost_after_ms`.
pub const DEFAULT_LOST_AFTER_MS: u32 = 2_000;
/// Default of `limits.probe_after_ms`.
pub const DEFAULT_PROBE_AFTER_MS: u32 = 1_500;
/// Default of `limits.idle_timeout_ms`.
pub const DEFAULT_IDLE_TIMEOUT_MS: u32 = 75_000;
/// Default of `limits.drain_ms`: above the longest deadline.
pub const DEFAULT_DRAIN_MS: u32 = 65_000;
/// Default of `platform.timeout_ms`.
pub const DEFAULT_TIMEOUT_MS: u32 = 1_000;
/// Default of `platform.call_budget_per_s`.
pub const DEFAULT_CALL_BUDGET_PER_S: u32 = 50;
/// Default of `platform.key_budget_per_s`.
pub const DEFAULT_KEY_BUDGET_PER_S: u32 = 20;
/// Default of `platform.poll_ms`.
pub const DEFAULT_POLL_MS: u32 = 5_000;
/// Default of `platform.lease_ms`.
pub const DEFAULT_LEASE_MS: u32 = 10_000;

/// Values of `log_level`.
pub(crate) const LOG_LEVELS: &[(&str, &str)] = &[
    ("error", "error"),
    ("warn", "warn"),
    ("info", "info"),
    ("debug", "debug"),
    ("trace", "trace"),
];

const MIB: u64 = 1024 * 1024;
const MAX_OPERATORS: usize = 256;

/// Settings of an entry.
#[derive(Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name; unique in the cluster and unchanged across restarts.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// HTTP address for callers, operators, health and metrics.
    pub http_address: SocketAddr,
    /// Address of the inner protocol.
    pub inner_address: SocketAddr,
    /// Address of the inner protocol that peers dial and that ids contain, if it differs from
    /// `inner_address`.
    pub advertised_address: Option<SocketAddr>,
    /// Inner addresses of other entries, used to start while the platform is unavailable.
    pub peers: Vec<SocketAddr>,
    /// Access to the platform's service.
    pub platform: PlatformSettings,
    /// Keys of the inner protocol.
    pub keys: KeySettings,
    /// Secret that authenticates ids; the same on all entries.
    pub cluster_secret: String,
    /// Operators who may call the administration API.
    pub operators: Vec<TokenSettings>,
    /// Limits on memory and time.
    pub limits: LimitSettings,
    /// Log level: error, warn, info, debug, trace.
    pub log_level: String,
    /// Whether a violated invariant ends the process.
    pub fatal_invariants: bool,
}

/// How an entry uses the platform's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Base URL.
    pub url: String,
    /// Timeout of a call.
    pub timeout_ms: u32,
    /// Maximum calls per second by this entry, including the pending watch call.
    pub call_budget_per_s: u32,
    /// The part of `call_budget_per_s` that may be used to bind keys chosen by callers.
    pub key_budget_per_s: u32,
    /// Interval between the polls that back up the watch.
    pub poll_ms: u32,
    /// Lifetime of the entry's lease.
    pub lease_ms: u32,
}

/// The name and hash of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenSettings {
    /// Name of the token's owner, shown in history and logs.
    pub name: String,
    /// SHA-256 of the token, 64 hexadecimal digits.
    pub token_sha256: String,
}

/// Limits on memory and time of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Maximum number of ids in one reservation.
    pub max_reserved_ids: u32,
    /// How long ids and keys stay valid and answers are kept.
    pub retention_ms: u32,
    /// Maximum size of all job records; the entry rejects submissions beyond it.
    pub record_bytes: u64,
    /// Maximum size of all kept answers; beyond it the entry drops the oldest results.
    pub kept_answer_bytes: u64,
    /// Maximum number of tasks that wait at the entry.
    pub max_queued_tasks: u32,
    /// A job's home entry that has been unreachable for this long counts as lost.
    pub lost_after_ms: u32,
    /// A session with outstanding work that is silent for this long is probed.
    pub probe_after_ms: u32,
    /// An inner session that receives no packet for this long is closed.
    pub idle_timeout_ms: u32,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain_ms: u32,
}

impl fmt::Debug for EntrySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntrySettings")
            .field("name", &self.name)
            .field("data_centre", &self.data_centre)
            .field("http_address", &self.http_address)
            .field("inner_address", &self.inner_address)
            .field("advertised_address", &self.advertised_address)
            .finish_non_exhaustive()
    }
}

impl EntrySettings {
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
        let settings = Self {
            name: reader.text("name", NAME),
            data_centre: reader.text("data_centre", NAME),
            http_address: reader.address("http_address"),
            inner_address: reader.dialled_address("inner_address"),
            advertised_address: reader.optional_dialled_address("advertised_address"),
            peers: reader.addresses("peers"),
            platform: reader.section("platform", PlatformSettings::read),
            keys: reader.section("keys", KeySettings::read),
            cluster_secret: reader.secret("cluster_secret", "cluster_secret", false),
            operators: TokenSettings::read_list(reader, "operators", 1, MAX_OPERATORS),
            limits: reader.section("limits", LimitSettings::read),
            log_level: reader.choice("log_level", "info", LOG_LEVELS).to_owned(),
            fatal_invariants: reader.switch("fatal_invariants", false),
        };
        settings.check(reader);
        settings
    }

    fn check(&self, reader: &Reader<'_>) {
        reader.require(
            &["cluster_secret", "cluster_secret_env"],
            self.cluster_secret.len() >= MIN_CLUSTER_SECRET_BYTES,
            "cluster_secret",
            format!("found {} bytes", self.cluster_secret.len()),
            format!("at least {MIN_CLUSTER_SECRET_BYTES} bytes, as `sycamorerail keys token` prints them"),
        );
        let own_address = self.advertised_address.unwrap_or(self.inner_address);
        reader.require(
            &["peers", "inner_address", "advertised_address"],
            !self.peers.contains(&own_address),
            "peers",
            format!("found {own_address}, the entry's own"),
            "inner addresses of other entries",
        );
    }
}

impl PlatformSettings {
    fn read(reader: &Reader<'_>) -> Self {
        let settings = Self {
            url: reader.text("url", HTTP_URL),
            timeout_ms: reader.number("timeout_ms", DEFAULT_TIMEOUT_MS, 10..=30_000),
            call_budget_per_s: reader.number(
                "call_budget_per_s",
                DEFAULT_CALL_BUDGET_PER_S,
                1..=10_000,
            ),
            key_budget_per_s: reader.number(
                "key_budget_per_s",
                DEFAULT_KEY_BUDGET_PER_S,
                0..=10_000,
            ),
            poll_ms: reader.number("poll_ms", DEFAULT_POLL_MS, 100..=60_000),
            lease_ms: reader.number("lease_ms", DEFAULT_LEASE_MS, 1_000..=600_000),
        };
        reader.require(
            &["key_budget_per_s", "call_budget_per_s"],
            settings.key_budget_per_s <= settings.call_budget_per_s,
            "key_budget_per_s",
            format!(
                "found {} with call_budget_per_s {}",
                settings.key_budget_per_s, settings.call_budget_per_s
            ),
            "at most call_budget_per_s, of which it is a part",
        );
        reader.require(
            &["timeout_ms", "lease_ms"],
            settings.timeout_ms < settings.lease_ms,
            "timeout_ms",
            format!("found {} with lease_ms {}", settings.timeout_ms, settings.lease_ms),
            "less than lease_ms, otherwise one slow renewal loses the lease",
        );
        settings
    }
}

impl TokenSettings {
    pub(crate) fn read_list(
        reader: &Reader<'_>,
        name: &str,
        min_items: usize,
        max_items: usize,
    ) -> Vec<Self> {
        let list = reader.list(name, min_items..=max_items, |item| Self {
            name: item.text("name", NAME),
            token_sha256: item.text("token_sha256", SHA256),
        });
        let names: Vec<_> = list.iter().map(|token| token.name.as_str()).collect();
        reader.require_distinct(name, "name", &names);
        let hashes: Vec<_> = list.iter().map(|token| token.token_sha256.as_str()).collect();
        reader.require_distinct(name, "token_sha256", &hashes);
        list
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            max_reserved_ids: DEFAULT_MAX_RESERVED_IDS,
            retention_ms: DEFAULT_RETENTION_MS,
            record_bytes: DEFAULT_RECORD_BYTES,
            kept_answer_bytes: DEFAULT_KEPT_ANSWER_BYTES,
            max_queued_tasks: DEFAULT_MAX_QUEUED_TASKS,
            lost_after_ms: DEFAULT_LOST_AFTER_MS,
            probe_after_ms: DEFAULT_PROBE_AFTER_MS,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            drain_ms: DEFAULT_DRAIN_MS,
        }
    }
}

impl LimitSettings {
    fn read(reader: &Reader<'_>) -> Self {
        let default = Self::default();
        let bytes = MIB..=4096 * MIB;
        let lasting_ms = MAX_DEADLINE_MS..=MAX_RETENTION_MS;
        let limits = Self {
            // An inner message carries a whole body, so its size limits the body's.
            max_body_bytes: reader.number("max_body_bytes", default.max_body_bytes, 1..=4 * MIB),
            max_reserved_ids: reader.number(
                "max_reserved_ids",
                default.max_reserved_ids,
                1..=100_000,
            ),
            retention_ms: reader.number("retention_ms", default.retention_ms, lasting_ms.clone()),
            record_bytes: reader.number("record_bytes", default.record_bytes, bytes.clone()),
            kept_answer_bytes: reader.number("kept_answer_bytes", default.kept_answer_bytes, bytes),
            max_queued_tasks: reader.number(
                "max_queued_tasks",
                default.max_queued_tasks,
                1..=1_000_000,
            ),
            lost_after_ms: reader.number("lost_after_ms", default.lost_after_ms, 100..=60_000),
            probe_after_ms: reader.number("probe_after_ms", default.probe_after_ms, 10..=60_000),
            idle_timeout_ms: reader.number(
                "idle_timeout_ms",
                default.idle_timeout_ms,
                500..=120_000,
            ),
            drain_ms: reader.number("drain_ms", default.drain_ms, lasting_ms),
        };
        reader.require(
            &["probe_after_ms", "idle_timeout_ms"],
            limits.probe_after_ms < limits.idle_timeout_ms,
            "probe_after_ms",
            format!(
                "found {} with idle_timeout_ms {}",
                limits.probe_after_ms, limits.idle_timeout_ms
            ),
            "less than idle_timeout_ms, otherwise a session times out before it is probed",
        );
        limits
    }
}

//! Settings of the stand-ins: test programs that replace the platform and an upstream.

use {
    crate::{
        error::{LoadError, SettingsErrors},
        load,
        reader::{self, Env, Reader},
        rules::{HTTP_URL, KIND_PATTERN, NAME},
    },
    std::{net::SocketAddr, path::Path},
};

/// Default of `seed`.
pub const DEFAULT_SEED: u64 = 1;
/// Default of `slots`.
pub const DEFAULT_SLOTS: u16 = 8;
/// Default of `max_task_bytes`.
pub const DEFAULT_MAX_TASK_BYTES: u64 = 1024 * 1024;
/// Default of `announce_ms`: a third of an agent's default lease.
pub const DEFAULT_ANNOUNCE_MS: u32 = 1_000;
/// Default of `default_run_ms`.
pub const DEFAULT_RUN_MS: u32 = 100;

/// Default of `kept_starts`.
pub const DEFAULT_KEPT_STARTS: u32 = 2_000_000;

/// Settings of `sycamorerail-platform-standin`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformStandinSettings {
    /// Address on which it listens.
    pub http_address: SocketAddr,
    /// Seed of its random choices.
    pub seed: u64,
    /// Maximum writes per second; beyond it the answer is 429. 0 means no limit.
    pub max_writes_per_s: u32,
    /// Maximum reads per second; beyond it the answer is 429. 0 means no limit.
    pub max_reads_per_s: u32,
    /// Delay before each answer.
    pub delay_ms: u32,
}

/// Settings of `sycamorerail-upstream-standin`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamStandinSettings {
    /// Name it announces.
    pub name: String,
    /// Address on which it listens.
    pub http_address: SocketAddr,
    /// Base URL of its agent.
    pub agent_url: String,
    /// Slots it announces.
    pub slots: u16,
    /// Largest task it announces.
    pub max_task_bytes: u64,
    /// Kinds it announces: `organisation/kind`, `*/kind` or `*`.
    pub kinds: Vec<String>,
    /// Interval between announcements.
    pub announce_ms: u32,
    /// Run time of a task whose payload does not set one.
    pub default_run_ms: u32,
    /// Seed of its random choices.
    pub seed: u64,
    /// Maximum number of ids of started tasks that it keeps; further starts are only counted.
    pub kept_starts: u32,
}

impl PlatformStandinSettings {
    /// Reads settings from YAML text.
    ///
    /// # Errors
    ///
    /// Lists all fields that are unknown, missing, of the wrong type or out of range.
    pub fn read(yaml: &str, env: Env<'_>) -> Result<Self, SettingsErrors> {
        reader::document(yaml, env, Self::read_fields)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its content is invalid.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        load::load(path, |yaml| Self::read(yaml, &load::process_env))
    }

    fn read_fields(reader: &Reader<'_>) -> Self {
        Self {
            http_address: reader.address("http_address"),
            seed: reader.number("seed", DEFAULT_SEED, 0..=u64::MAX),
            max_writes_per_s: reader.number("max_writes_per_s", 0, 0..=u32::MAX),
            max_reads_per_s: reader.number("max_reads_per_s", 0, 0..=u32::MAX),
            delay_ms: reader.number("delay_ms", 0, 0..=60_000),
        }
    }
}

impl UpstreamStandinSettings {
    /// Reads settings from YAML text.
    ///
    /// # Errors
    ///
    /// Lists all fields that are unknown, missing, of the wrong type or out of range.
    pub fn read(yaml: &str, env: Env<'_>) -> Result<Self, SettingsErrors> {
        reader::document(yaml, env, Self::read_fields)
    }

    /// Reads settings from a file.
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
            http_address: reader.address("http_address"),
            agent_url: reader.text("agent_url", HTTP_URL),
            slots: reader.number("slots", DEFAULT_SLOTS, 1..=10_000),
            max_task_bytes: reader.number("max_task_bytes", DEFAULT_MAX_TASK_BYTES, 1..=u64::MAX),
            kinds: reader.texts("kinds", KIND_PATTERN),
            announce_ms: reader.number("announce_ms", DEFAULT_ANNOUNCE_MS, 10..=60_000),
            default_run_ms: reader.number("default_run_ms", DEFAULT_RUN_MS, 0..=60_000),
            seed: reader.number("seed", DEFAULT_SEED, 0..=u64::MAX),
            kept_starts: reader.number("kept_starts", DEFAULT_KEPT_STARTS, 1..=50_000_000),
        };
        reader.require(
            &["kinds"],
            !settings.kinds.is_empty(),
            "kinds",
            "found none",
            "at least one of organisation/kind, */kind or *",
        );
        settings
    }
}

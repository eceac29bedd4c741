//! Names of the platform's keys for entries, homes, agents and fences.

use sycamorerail_wire::ids::Incarnation;

/// Prefix of all that entries mirror.
pub const ROOT: &str = "/sycamorerail/";
/// Entries that serve, each under its lease.
pub const ENTRIES: &str = "/sycamorerail/entries/";
/// Incarnations of entries that may place work, without a lease.
pub const HOMES: &str = "/sycamorerail/homes/";
/// The roster of agents.
pub const AGENTS: &str = "/sycamorerail/agents/";
/// Incarnations of entries that are fenced for good.
pub const FENCED: &str = "/sycamorerail/fenced/";

/// Data centres that were ever evacuated, by name.
pub const EVACUATIONS: &str = "/sycamorerail/evacuations/";

/// Key of an incarnation under one of the prefixes.
#[must_use]
pub fn key(prefix: &str, incarnation: Incarnation) -> String {
    format!("{prefix}{incarnation}")
}

/// The incarnation that a key under the prefix names. Only the form that [`key`] writes names
/// one: another writer's record under another form would take the place of the right one.
#[must_use]
pub fn incarnation(prefix: &str, key: &str) -> Option<Incarnation> {
    let incarnation = key.strip_prefix(prefix)?.parse().ok()?;
    (self::key(prefix, incarnation) == key).then_some(incarnation)
}

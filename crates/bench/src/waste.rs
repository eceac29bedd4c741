//! Messages that served no request to completion, by cause.

use {
    crate::scrape::Series,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

const MESSAGES: &str = "sycamorerail_messages_total";
const AGENT_BYTES: &str = "sycamorerail_agent_control_bytes_total";
const AGENT_MESSAGES: &str = "sycamorerail_agent_control_messages_total";
const AGENT_UDP_BYTES: &str = "sycamorerail_agent_udp_bytes_total";
/// Messages that serve a request: not wasted.
const SERVING: &[&str] = &["placement", "forward"];
/// Key of the starts beyond one a task.
const EXTRA_STARTS: &str = "extra_start";

/// Wasted messages of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Waste {
    /// Wasted messages by `message/cause`.
    pub by_cause: BTreeMap<String, f64>,
    /// All of them.
    pub total: f64,
    /// Over the answers `complete` in the whole load.
    pub per_completed: f64,
    /// Placements sent.
    pub placements: f64,
    /// Submissions forwarded to their home; they serve requests, and are no waste.
    pub forwards: f64,
    /// Control messages by the agents' own count.
    pub agent_control_messages: BTreeMap<String, f64>,
    /// Bytes of these.
    pub agent_control_bytes: f64,
    /// Bytes of all packets between agents and entries, by the agents' count.
    pub agent_udp_bytes: f64,
}

/// Sums what grew in the counters of entries and agents.
#[must_use]
pub fn waste(entries: &Series, agents: &Series, extra_starts: u64, completed: u64) -> Waste {
    let messages = entries.by_label(MESSAGES, "message");
    let of = |message: &str| messages.get(message).copied().unwrap_or(0.0);
    let mut by_cause = wasted_by_cause(entries);
    if extra_starts > 0 {
        by_cause.insert(EXTRA_STARTS.to_owned(), extra_starts as f64);
    }
    let total: f64 = by_cause.values().sum();
    Waste {
        total,
        per_completed: if completed > 0 { total / completed as f64 } else { 0.0 },
        by_cause,
        placements: of("placement"),
        forwards: of("forward"),
        agent_control_messages: agents.by_label(AGENT_MESSAGES, "message"),
        agent_control_bytes: agents.sum(AGENT_BYTES),
        agent_udp_bytes: agents.sum(AGENT_UDP_BYTES),
    }
}

fn wasted_by_cause(entries: &Series) -> BTreeMap<String, f64> {
    let mut by_cause = BTreeMap::new();
    for message in entries.by_label(MESSAGES, "message").into_keys() {
        if SERVING.contains(&message.as_str()) {
            continue;
        }
        let of_message = entries.having(MESSAGES, "message", &message);
        for (cause, count) in of_message.by_label(MESSAGES, "cause") {
            by_cause.insert(format!("{message}/{cause}"), count);
        }
    }
    by_cause
}

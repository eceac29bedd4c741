//! The template of an organisation: its request kinds and their parameters.

use crate::entry::TokenSettings;

/// Template of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// The organisation's name.
    pub organisation: String,
    /// Share of the upstreams.
    pub quota: Quota,
    /// Callers' tokens.
    pub callers: Vec<TokenSettings>,
    /// Request kinds.
    pub kinds: Vec<KindTemplate>,
}

/// Share of the upstreams that an organisation may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Task starts a second, over all entries.
    pub starts_per_s: u32,
    /// Starts at once beyond the rate.
    pub burst: u32,
    /// Most tasks accepted and not answered, over all entries.
    pub max_in_flight: u32,
}

/// One request kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindTemplate {
    /// Its name, in paths and counters.
    pub name: String,
    /// Urgency against other kinds.
    pub urgency: Urgency,
    /// Longest time to the answer.
    pub deadline_ms: u32,
    /// Placement across data centres.
    pub placement: PlacementTemplate,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// What is given up first.
    pub priority: Priority,
    /// Declared size of a task, a hint.
    pub size_bytes: u64,
    /// Declared run time of a task, a hint.
    pub run_ms: u32,
    /// Attempts at a repeatable request, the first included.
    pub max_attempts: u8,
    /// A repeatable request slower than this share of run times is hedged;
    /// `None` for never. In hundredths: 95 for the 95th percentile.
    pub hedge_percentile: Option<u8>,
}

/// Urgency of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Before all others.
    Urgent,
    /// The usual.
    Normal,
    /// After all others.
    Background,
}

/// What a kind gives up first under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Response time matters more: messages may be wasted to save time.
    Time,
    /// Wasted messages matter more: time may be lost to save messages.
    Waste,
}

/// Placement of a kind across data centres.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementTemplate {
    /// How tasks are spread.
    pub spread: SpreadTemplate,
    /// Data centres not to be used, with `avoid`.
    pub avoid: Vec<String>,
}

/// How tasks are spread across data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadTemplate {
    /// Over all data centres and racks.
    Even,
    /// In the entry's own while it has room.
    Local,
    /// Anywhere but in the named ones.
    Avoid,
}

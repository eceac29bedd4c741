//! The template of an organisation: its request kinds and their parameters.

use {
    crate::{
        entry::{MAX_DEADLINE_MS, TokenSettings},
        error::{LoadError, SettingsErrors},
        load,
        reader::{self, Reader},
        rules::NAME,
    },
    std::path::Path,
};

/// Default of `quota.starts_per_s`.
pub const DEFAULT_STARTS_PER_S: u32 = 1_000;
/// Default of `quota.burst`: enough for several jobs of the maximum size at once.
pub const DEFAULT_BURST: u32 = 1_000;
/// Default of `quota.max_in_flight`.
pub const DEFAULT_MAX_IN_FLIGHT: u32 = 5_000;
/// Default of `kinds[].deadline_ms`.
pub const DEFAULT_DEADLINE_MS: u32 = 5_000;
/// Default of `kinds[].size_bytes`.
pub const DEFAULT_SIZE_BYTES: u64 = 1024;
/// Default of `kinds[].run_ms`.
pub const DEFAULT_RUN_MS: u32 = 100;
/// Default of `kinds[].max_attempts` for a repeatable kind; for other kinds it is 1.
pub const DEFAULT_MAX_ATTEMPTS: u8 = 2;

const MAX_KINDS: usize = 64;
const MAX_CALLERS: usize = 256;
const MAX_AVOIDED: usize = 16;

const URGENCIES: &[(&str, Urgency)] = &[
    ("urgent", Urgency::Urgent),
    ("normal", Urgency::Normal),
    ("background", Urgency::Background),
];
const PRIORITIES: &[(&str, Priority)] = &[("time", Priority::Time), ("waste", Priority::Waste)];
const SPREADS: &[(&str, SpreadTemplate)] = &[
    ("even", SpreadTemplate::Even),
    ("local", SpreadTemplate::Local),
    ("avoid", SpreadTemplate::Avoid),
];
const POLICIES: &[(&str, PolicyTemplate)] = &[
    ("by_priority", PolicyTemplate::ByPriority),
    ("random", PolicyTemplate::Random),
    ("two_choices", PolicyTemplate::TwoChoices),
    ("least_wait", PolicyTemplate::LeastWait),
    ("late_binding", PolicyTemplate::LateBinding),
];

/// Template of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// The organisation's name.
    pub organisation: String,
    /// Limits on the organisation's use of the upstreams.
    pub quota: Quota,
    /// Tokens of the organisation's callers.
    pub callers: Vec<TokenSettings>,
    /// Request kinds.
    pub kinds: Vec<KindTemplate>,
}

/// Limits on an organisation's use of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Maximum task starts per second, summed over all entries.
    pub starts_per_s: u32,
    /// Starts that may exceed the rate in a burst.
    pub burst: u32,
    /// Maximum number of tasks accepted but not yet answered, summed over all entries.
    pub max_in_flight: u32,
}

/// One request kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindTemplate {
    /// Name of the kind, as used in URL paths and counters.
    pub name: String,
    /// Urgency relative to other kinds.
    pub urgency: Urgency,
    /// Maximum time until the answer.
    pub deadline_ms: u32,
    /// Placement across data centres.
    pub placement: PlacementTemplate,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// What is sacrificed first under load.
    pub priority: Priority,
    /// Declared size of a task; a hint.
    pub size_bytes: u64,
    /// Declared run time of a task; a hint.
    pub run_ms: u32,
    /// Maximum attempts at a repeatable request, including the first.
    pub max_attempts: u8,
    /// A repeatable request that takes longer than this percentile of run times is hedged: 95 for
    /// the 95th percentile, `None` for never.
    pub hedge_percentile: Option<u8>,
}

/// Urgency of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Before all others.
    Urgent,
    /// The default.
    Normal,
    /// After all others.
    Background,
}

/// Whether a kind sacrifices time or extra messages under load.
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
    /// Data centres that get no tasks; set only with `SpreadTemplate::Avoid`.
    pub avoid: Vec<String>,
    /// How the upstream of a task is chosen.
    pub policy: PolicyTemplate,
}

/// How tasks are spread across data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadTemplate {
    /// Over all data centres and racks.
    Even,
    /// In the entry's own data centre while it has capacity.
    Local,
    /// In all data centres but the listed ones.
    Avoid,
}

/// How the upstream of a task is chosen; see docs/DECISIONS.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyTemplate {
    /// The policy that suits the kind's priority best.
    ByPriority,
    /// A random upstream with free capacity.
    Random,
    /// The better of two random upstreams.
    TwoChoices,
    /// The upstream with the shortest expected wait.
    LeastWait,
    /// Only an upstream with a free slot; other tasks wait at the entry.
    LateBinding,
}

impl Template {
    /// Reads a template from YAML text.
    ///
    /// # Errors
    ///
    /// Lists all fields that are unknown, missing, of the wrong type or out of range.
    pub fn read(yaml: &str) -> Result<Self, SettingsErrors> {
        reader::document(yaml, &|_| None, Self::read_fields)
    }

    /// Reads a template from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its content is invalid.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        load::load(path, Self::read)
    }

    fn read_fields(reader: &Reader<'_>) -> Self {
        let template = Self {
            organisation: reader.text("organisation", NAME),
            quota: reader.section("quota", Quota::read),
            callers: TokenSettings::read_list(reader, "callers", 0, MAX_CALLERS),
            kinds: reader.list("kinds", 1..=MAX_KINDS, KindTemplate::read),
        };
        let names: Vec<_> = template.kinds.iter().map(|kind| kind.name.as_str()).collect();
        reader.require_distinct("kinds", "name", &names);
        template
    }
}

impl Quota {
    fn read(reader: &Reader<'_>) -> Self {
        Self {
            starts_per_s: reader.number("starts_per_s", DEFAULT_STARTS_PER_S, 1..=1_000_000),
            burst: reader.number("burst", DEFAULT_BURST, 1..=1_000_000),
            max_in_flight: reader.number("max_in_flight", DEFAULT_MAX_IN_FLIGHT, 1..=1_000_000),
        }
    }
}

impl KindTemplate {
    fn read(reader: &Reader<'_>) -> Self {
        let repeatable = reader.switch("repeatable", false);
        let default_attempts = if repeatable { DEFAULT_MAX_ATTEMPTS } else { 1 };
        let kind = Self {
            name: reader.text("name", NAME),
            urgency: reader.choice("urgency", Urgency::Normal, URGENCIES),
            deadline_ms: reader.number("deadline_ms", DEFAULT_DEADLINE_MS, 1..=MAX_DEADLINE_MS),
            placement: reader.section("placement", PlacementTemplate::read),
            repeatable,
            priority: reader.choice("priority", Priority::Time, PRIORITIES),
            size_bytes: reader.number("size_bytes", DEFAULT_SIZE_BYTES, 0..=u64::MAX),
            run_ms: reader.number("run_ms", DEFAULT_RUN_MS, 1..=MAX_DEADLINE_MS),
            max_attempts: reader.number("max_attempts", default_attempts, 1..=10),
            hedge_percentile: reader.optional_number("hedge_percentile", 50..=99),
        };
        kind.check(reader);
        kind
    }

    fn check(&self, reader: &Reader<'_>) {
        reader.require(
            &["repeatable", "max_attempts"],
            self.repeatable || self.max_attempts == 1,
            "max_attempts",
            format!("found {} for a kind that is not repeatable", self.max_attempts),
            "1, or repeatable: true",
        );
        reader.require(
            &["repeatable", "hedge_percentile"],
            self.repeatable || self.hedge_percentile.is_none(),
            "hedge_percentile",
            "found for a kind that is not repeatable",
            "none, or repeatable: true",
        );
        reader.require(
            &["run_ms", "deadline_ms"],
            self.run_ms <= self.deadline_ms,
            "run_ms",
            format!("found {} with deadline_ms {}", self.run_ms, self.deadline_ms),
            "at most deadline_ms, otherwise no task can end in time",
        );
    }
}

impl PlacementTemplate {
    fn read(reader: &Reader<'_>) -> Self {
        let placement = Self {
            spread: reader.choice("spread", SpreadTemplate::Even, SPREADS),
            avoid: reader.texts("avoid", NAME),
            policy: reader.choice("policy", PolicyTemplate::ByPriority, POLICIES),
        };
        let avoids = placement.spread == SpreadTemplate::Avoid;
        reader.require(
            &["spread", "avoid"],
            avoids || placement.avoid.is_empty(),
            "avoid",
            "found without spread: avoid",
            "none, or spread: avoid",
        );
        reader.require(
            &["spread", "avoid"],
            !avoids || (1..=MAX_AVOIDED).contains(&placement.avoid.len()),
            "avoid",
            format!("found {} data centres with spread: avoid", placement.avoid.len()),
            format!("1 to {MAX_AVOIDED} names of data centres"),
        );
        placement
    }
}

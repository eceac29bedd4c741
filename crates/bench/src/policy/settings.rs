//! Settings of a model, in YAML.

use {
    eyre::{WrapErr, ensure},
    serde::{Deserialize, Serialize},
    sycamorerail_decide::links::LinkLimits,
};

/// Maximum numbers of entries, upstreams and kinds, which bound the time that a model takes.
const MAX_ENTRIES: u16 = 512;
const MAX_UPSTREAMS: u32 = 2_000;
const MAX_KINDS: usize = 64;

/// A deployment, its load and its faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    /// Name, in reports.
    pub name: String,
    /// Length of the load, in seconds.
    pub seconds: u32,
    /// Number of entries; each job arrives at a random one.
    pub entries: u16,
    /// Delay of a message between an entry and an agent, in milliseconds.
    #[serde(default = "default_message_ms")]
    pub message_ms: f64,
    /// Delay of a message between an agent and its upstream, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: f64,
    /// Largest relative error of an estimate, in either direction.
    #[serde(default = "default_estimate_off")]
    pub estimate_off: f64,
    /// Number of links; by default as in the programs.
    #[serde(default)]
    pub links: LinkSettings,
    /// Groups of equal upstreams.
    pub upstreams: Vec<UpstreamGroup>,
    /// Kinds of requests.
    pub kinds: Vec<KindSettings>,
    /// Periods of higher load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Number of links between agents and entries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Minimum number of entries that each agent links to.
    pub entries_per_agent: u32,
    /// Minimum number of agents that an entry has, if there are as many.
    pub agents_per_entry: u32,
    /// Minimum interval between two load reports on a link, in milliseconds.
    pub load_pause_ms: u32,
}

impl Default for LinkSettings {
    fn default() -> Self {
        let LinkLimits { entries_per_agent, agents_per_entry } = LinkLimits::default();
        Self { entries_per_agent, agents_per_entry, load_pause_ms: 10 }
    }
}

impl LinkSettings {
    fn check(&self) -> eyre::Result<()> {
        ensure!(self.entries_per_agent > 0, "entries_per_agent: must be at least 1");
        ensure!(self.agents_per_entry > 0, "agents_per_entry: must be at least 1");
        check_range("load_pause_ms", self.load_pause_ms.into(), 0.0, 10_000.0)
    }

    /// The limits of links, without the interval of reports.
    #[must_use]
    pub fn limits(&self) -> LinkLimits {
        let Self { entries_per_agent, agents_per_entry, .. } = *self;
        LinkLimits { entries_per_agent, agents_per_entry }
    }
}

/// A group of equal upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamGroup {
    /// Number of upstreams.
    pub count: u32,
    /// Capacity of each, in thousandths of a core.
    pub cpu_milli: u32,
    /// Speed, relative to the run times of the kinds.
    #[serde(default = "one")]
    pub speed: f64,
}

/// A kind of requests: each is a job of one step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSettings {
    /// Name of the kind.
    pub name: String,
    /// Lower goes first.
    pub priority: u8,
    /// Jobs per second.
    pub per_s: f64,
    /// Number of tasks in a job.
    pub tasks: Spread,
    /// Run time of its tasks on an upstream of speed 1, in milliseconds.
    pub run_ms: Spread,
    /// Share of tasks that run longer than usual ...
    #[serde(default)]
    pub tail: f64,
    /// ... by this factor, up to the most of `run_ms`.
    #[serde(default = "one")]
    pub tail_factor: f64,
    /// Capacity that a task takes, in thousandths of a core.
    pub cpu_milli: u32,
    /// A job is on time within this factor of its longest task ...
    pub stretch: f64,
    /// ... plus this time, in milliseconds.
    pub target_ms: u32,
    /// Value of a mean job that is on time, in any unit.
    #[serde(default = "one")]
    pub value: f64,
    /// Value of a mean job that is late, in the same unit.
    #[serde(default)]
    pub late_value: f64,
    /// Share of refused jobs that are submitted again, once, after the retry delay.
    #[serde(default)]
    pub returning: f64,
    /// Share of these that come to the same entry; the others come to one at random.
    #[serde(default)]
    pub sticky: f64,
}

/// A log-normal distribution that is cut at the top.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// Mean before values are capped.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    #[serde(default)]
    pub spread: f64,
    /// Upper bound.
    pub most: f64,
}

/// A period of higher load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Factor of the usual load.
    pub factor: f64,
    /// The kind that arrives more often; all kinds by default.
    #[serde(default)]
    pub kind: Option<String>,
}

/// A fault of some upstreams or entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Type of the fault.
    pub kind: FaultKind,
    /// Start, in seconds.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Number of upstreams or entries that are affected, by their order.
    #[serde(default = "one_of_them")]
    pub count: u32,
    /// Factor of run times for `slow`, share of orders for `late_orders`.
    #[serde(default)]
    pub strength: f64,
}

/// Type of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Upstreams run tasks more slowly.
    Slow,
    /// Tasks on upstreams make no progress.
    Hung,
    /// Upstreams lose all runs and answer no calls.
    Gone,
    /// Some orders to upstreams are not answered and carried out seconds later.
    LateOrders,
    /// Entries crash, lose their jobs and restart.
    EntryLost,
}

impl ModelSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// When the YAML is wrong or a value out of its range; the error names the field.
    pub fn parse(yaml: &str) -> eyre::Result<Self> {
        let settings: Self = serde_norway::from_str(yaml)?;
        settings.check()?;
        Ok(settings)
    }

    /// Total number of upstreams.
    #[must_use]
    pub fn upstream_count(&self) -> u32 {
        self.upstreams.iter().map(|group| group.count).fold(0, u32::saturating_add)
    }

    /// Checks names and ranges.
    fn check(&self) -> eyre::Result<()> {
        ensure!(self.seconds > 0, "seconds: must be at least 1");
        ensure!((1..=MAX_ENTRIES).contains(&self.entries), "entries: must be 1 to {MAX_ENTRIES}");
        check_range("message_ms", self.message_ms, 0.0, 1_000.0)?;
        check_range("call_ms", self.call_ms, 0.0, 1_000.0)?;
        check_range("estimate_off", self.estimate_off, 0.0, 0.9)?;
        self.links.check().wrap_err("links")?;
        let upstreams = self.upstream_count();
        ensure!(
            (1..=MAX_UPSTREAMS).contains(&upstreams),
            "upstreams: must be 1 to {MAX_UPSTREAMS} in all"
        );
        ensure!((1..=MAX_KINDS).contains(&self.kinds.len()), "kinds: must be 1 to {MAX_KINDS}");
        let indexed = self.upstreams.iter().enumerate();
        indexed.clone().try_for_each(|(index, group)| {
            group.check().wrap_err_with(|| format!("upstreams[{index}]"))
        })?;
        for (index, kind) in self.kinds.iter().enumerate() {
            kind.check().wrap_err_with(|| format!("kinds[{index}]"))?;
        }
        for (index, burst) in self.bursts.iter().enumerate() {
            self.check_burst(burst).wrap_err_with(|| format!("bursts[{index}]"))?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(fault).wrap_err_with(|| format!("faults[{index}]"))?;
        }
        Ok(())
    }

    fn check_burst(&self, burst: &Burst) -> eyre::Result<()> {
        check_range("at_s", burst.at_s, 0.0, self.seconds.into())?;
        check_range("for_s", burst.for_s, 0.0, f64::MAX)?;
        check_range("factor", burst.factor, 0.0, 100.0)?;
        let is_known =
            burst.kind.as_ref().is_none_or(|name| self.kinds.iter().any(|kind| kind.name == *name));
        ensure!(is_known, "kind: must be the name of one of kinds");
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> eyre::Result<()> {
        check_range("at_s", fault.at_s, 0.0, self.seconds.into())?;
        check_range("for_s", fault.for_s, 0.0, f64::MAX)?;
        let most = if fault.kind == FaultKind::EntryLost {
            self.entries.into()
        } else {
            self.upstream_count()
        };
        ensure!((1..=most).contains(&fault.count), "count: must be 1 to {most}");
        match fault.kind {
            FaultKind::Slow => check_range("strength", fault.strength, 1.0, 1_000.0),
            FaultKind::LateOrders => check_range("strength", fault.strength, 0.0, 1.0),
            _ => Ok(()),
        }
    }
}

impl UpstreamGroup {
    fn check(&self) -> eyre::Result<()> {
        ensure!(self.cpu_milli > 0, "cpu_milli: must be at least 1");
        check_range("speed", self.speed, 0.01, 100.0)
    }
}

impl KindSettings {
    fn check(&self) -> eyre::Result<()> {
        ensure!(!self.name.is_empty(), "name: must not be empty");
        check_range("per_s", self.per_s, 0.0, 100_000.0)?;
        self.tasks.check("tasks", 1_000.0)?;
        self.run_ms.check("run_ms", 600_000.0)?;
        check_range("tail", self.tail, 0.0, 1.0)?;
        check_range("tail_factor", self.tail_factor, 1.0, 1_000.0)?;
        ensure!(self.cpu_milli > 0, "cpu_milli: must be at least 1");
        check_range("stretch", self.stretch, 1.0, 100.0)?;
        check_range("value", self.value, 0.0, f64::MAX)?;
        check_range("late_value", self.late_value, 0.0, self.value)?;
        check_range("returning", self.returning, 0.0, 1.0)?;
        check_range("sticky", self.sticky, 0.0, 1.0)
    }
}

impl Spread {
    fn check(&self, field: &str, most: f64) -> eyre::Result<()> {
        check_range(&format!("{field}.mean"), self.mean, 1.0, most)?;
        check_range(&format!("{field}.spread"), self.spread, 0.0, 3.0)?;
        check_range(&format!("{field}.most"), self.most, self.mean, most)
    }
}

fn check_range(field: &str, value: f64, least: f64, most: f64) -> eyre::Result<()> {
    ensure!((least..=most).contains(&value), "{field}: must be {least} to {most}, is {value}");
    Ok(())
}

/// A message between data centres, including the delays of two busy processes.
fn default_message_ms() -> f64 {
    1.5
}

/// A message within one VM.
fn default_call_ms() -> f64 {
    0.5
}

fn default_estimate_off() -> f64 {
    0.4
}

fn one() -> f64 {
    1.0
}

fn one_of_them() -> u32 {
    1
}

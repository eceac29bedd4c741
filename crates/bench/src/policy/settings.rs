//! Settings of a model, in YAML.

use {
    eyre::{WrapErr, ensure},
    serde::{Deserialize, Serialize},
    sycamorerail_decide::links::LinkLimits,
};

/// Most entries, upstreams and kinds of a model, for the time that it takes to play.
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
    /// Entries; each job comes to one at random.
    pub entries: u16,
    /// One way between an entry and an agent, in milliseconds.
    #[serde(default = "default_message_ms")]
    pub message_ms: f64,
    /// One way between an agent and its upstream, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: f64,
    /// Estimates are off by up to this share, either way.
    #[serde(default = "default_estimate_off")]
    pub estimate_off: f64,
    /// How many links there are; as in the programs where it is left out.
    #[serde(default)]
    pub links: LinkSettings,
    /// Upstreams, by groups that are alike.
    pub upstreams: Vec<UpstreamGroup>,
    /// Kinds of requests.
    pub kinds: Vec<KindSettings>,
    /// Times in which more comes.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// What fails when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// How many links there are between agents and entries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Entries that each agent links to, at least.
    pub entries_per_agent: u32,
    /// Agents that an entry has, at least, where there are as many.
    pub agents_per_entry: u32,
    /// Shortest time between two loads told on a link, in milliseconds.
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

    /// Without the pause.
    #[must_use]
    pub fn limits(&self) -> LinkLimits {
        let Self { entries_per_agent, agents_per_entry, .. } = *self;
        LinkLimits { entries_per_agent, agents_per_entry }
    }
}

/// Upstreams that are alike.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamGroup {
    /// How many.
    pub count: u32,
    /// Room of each, in thousandths of a core.
    pub cpu_milli: u32,
    /// Work done in a second, in seconds of the kinds' run times.
    #[serde(default = "one")]
    pub speed: f64,
}

/// A kind of requests: each is a job of one step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSettings {
    /// Its name.
    pub name: String,
    /// Lower goes first.
    pub priority: u8,
    /// Jobs a second.
    pub per_s: f64,
    /// Tasks of a job.
    pub tasks: Spread,
    /// Run time of its tasks on an upstream of speed 1, in milliseconds.
    pub run_ms: Spread,
    /// Share of tasks that run longer than usual ...
    #[serde(default)]
    pub tail: f64,
    /// ... by this factor, up to the most of `run_ms`.
    #[serde(default = "one")]
    pub tail_factor: f64,
    /// Room of a task, in thousandths of a core.
    pub cpu_milli: u32,
    /// A job is in time within this factor of its longest task ...
    pub stretch: f64,
    /// ... and this much, in milliseconds.
    pub target_ms: u32,
    /// What a mean job in time is worth to its caller, in any unit.
    #[serde(default = "one")]
    pub value: f64,
    /// What a late one is worth, in the same unit.
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
    /// Mean before the cut.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    #[serde(default)]
    pub spread: f64,
    /// Most.
    pub most: f64,
}

/// A time in which more comes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// Times the usual load.
    pub factor: f64,
    /// Only this kind, where it is named.
    #[serde(default)]
    pub kind: Option<String>,
}

/// A fault of some upstreams or entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What is wrong.
    pub kind: FaultKind,
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// How many it hits, the first ones of all.
    #[serde(default = "one_of_them")]
    pub count: u32,
    /// For `slow` how many times longer runs take, for `late_orders` the share of orders.
    #[serde(default)]
    pub strength: f64,
}

/// What can be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Upstreams run tasks more slowly.
    Slow,
    /// Tasks on upstreams stand still.
    Hung,
    /// Upstreams lose all that runs and answer nothing.
    Gone,
    /// Some orders to upstreams get no answer and are carried out seconds later.
    LateOrders,
    /// Entries are lost with their jobs and come back empty.
    EntryLost,
}

impl ModelSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// When the YAML is wrong or a value out of its range; the error names the field.
    pub fn parse(yaml: &str) -> eyre::Result<Self> {
        let settings: Self = serde_norway::from_str(yaml)?;
        settings.check()?;
        Ok(settings)
    }

    /// Upstreams in all.
    #[must_use]
    pub fn upstream_count(&self) -> u32 {
        self.upstreams.iter().map(|group| group.count).fold(0, u32::saturating_add)
    }

    /// Whether the names and ranges are sound.
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

/// Between data centres and through two busy programs.
fn default_message_ms() -> f64 {
    1.5
}

/// On one VM.
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

//! Scenarios: what is deployed, what load comes, what fails when.

mod check;
mod preset;

use {
    crate::run_time::RunTimes,
    serde::{Deserialize, Serialize},
    serde_json::{Map, Value},
    std::fmt,
};

pub use preset::{Kind, Size};

/// A scenario, checked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, in files and reports.
    pub name: String,
    /// Whose sizes, data centres and kinds.
    pub deployment: Deployment,
    /// Seed of arrivals, run times and stand-ins.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Load before the measured time.
    pub warm_up_ms: u32,
    /// Measured time.
    pub duration_ms: u32,
    /// What comes when.
    pub arrivals: Arrivals,
    /// True run times.
    #[serde(default)]
    pub run_times: RunTimes,
    /// Declared run time over the true mean.
    #[serde(default = "default_factor")]
    pub declared_run_factor: f64,
    /// Label of the policy under test; set by `overrides`.
    #[serde(default = "default_policy")]
    pub policy: String,
    /// Departures from the deployment's sizes.
    #[serde(default)]
    pub sizes: SizeOverrides,
    /// How callers behave.
    #[serde(default)]
    pub client: Client,
    /// Waves of cancellations.
    #[serde(default)]
    pub cancellations: Vec<Cancellation>,
    /// What fails when.
    #[serde(default)]
    pub faults: Vec<FaultStep>,
    /// Fields put over the generated settings and templates.
    #[serde(default)]
    pub overrides: Overrides,
}

/// Whose deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Four data centres in Bavaria.
    Alpenfunk,
    /// Three data centres in Kolkata.
    Rangmancha,
}

impl Deployment {
    /// The name in YAML and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Alpenfunk => "alpenfunk",
            Self::Rangmancha => "rangmancha",
        }
    }
}

/// What comes when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// Share of all slots that the tasks fill on average, outside bursts.
    pub load: f64,
    /// Share of submissions that are requests; the rest are jobs.
    #[serde(default = "default_request_share")]
    pub request_share: f64,
    /// Jobs have 1 to this many tasks, each number as often.
    #[serde(default = "default_max_job_tasks")]
    pub max_job_tasks: u16,
    /// Bursts.
    #[serde(default)]
    pub bursts: Option<Bursts>,
    /// A flood by one organisation, beside all else.
    #[serde(default)]
    pub flood: Option<Flood>,
}

/// What one organisation submits beside its part of the load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Position of the organisation, from 0.
    pub organisation: u16,
    /// When it begins, from the start of the load.
    pub from_ms: u32,
    /// When it ends.
    pub until_ms: u32,
    /// Share of all slots that its tasks would fill.
    pub load: f64,
}

/// A burst at the end of each period.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bursts {
    /// Length of a period.
    pub every_ms: u32,
    /// Length of its burst.
    pub length_ms: u32,
    /// Rate in the burst over the rate outside.
    pub factor: f64,
}

/// Departures from the deployment's sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SizeOverrides {
    /// Entries.
    pub entries: Option<u16>,
    /// Upstreams, each with its agent.
    pub upstreams: Option<u16>,
    /// Slots of an upstream.
    pub slots: Option<u16>,
    /// Organisations, which share the load evenly.
    pub organisations: Option<u16>,
}

/// How callers behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Client {
    /// Deadline given with a submission.
    pub deadline_ms: u32,
    /// After this without an answer the id is submitted again at another entry.
    pub answer_timeout_ms: u32,
    /// After this from the due time the caller gives up.
    pub give_up_ms: u32,
    /// Pause before a submission that broke is sent again.
    pub resubmit_pause_ms: u32,
    /// Ids in one reservation.
    pub reserve_block: u32,
    /// Times that a submission answered `not_run` is sent under a new id.
    pub not_run_retries: u8,
    /// How submissions find an entry.
    pub route: Route,
    /// Pause between the balancer's looks at `/ready`, and its wait for the
    /// answer; an entry that is not ready gets no calls. 0 for no looks.
    pub health_check_ms: u32,
}

/// How submissions find an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// Over all entries in turn, as a balancer does.
    Balancer,
    /// To the entry that reserved the id, as a balancer with lasting
    /// connections does; to others when that fails.
    Home,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            deadline_ms: 20_000,
            answer_timeout_ms: 10_000,
            give_up_ms: 40_000,
            resubmit_pause_ms: 50,
            reserve_block: 50,
            not_run_retries: 3,
            route: Route::Balancer,
            health_check_ms: 500,
        }
    }
}

/// A wave of cancellations.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancellation {
    /// When, from the start of the load.
    pub at_ms: u32,
    /// Share of the submissions in flight that are cancelled.
    pub share: f64,
}

/// One step of the fault script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultStep {
    /// When, from the start of the load.
    pub at_ms: u32,
    /// What.
    pub fault: Fault,
    /// Name of the process, or a prefix followed by `*`.
    pub target: String,
    /// Share of tasks or answers concerned, for faults that take one.
    #[serde(default)]
    pub share: Option<f64>,
    /// Run time over the usual, for stragglers.
    #[serde(default)]
    pub factor: Option<f64>,
    /// Delay of answers, for a slow platform.
    #[serde(default)]
    pub delay_ms: Option<u32>,
}

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Freeze,
    /// SIGCONT.
    Thaw,
    /// SIGTERM: a planned stop.
    Stop,
    /// Asks `scripts/cluster.sh` to start the process again.
    Start,
    /// The upstream fails every task.
    UpstreamFailsEverything,
    /// A share of the upstream's tasks takes longer.
    Stragglers,
    /// The platform answers nothing.
    PlatformOut,
    /// The platform answers late.
    PlatformSlow,
    /// The platform loses a share of answers after the change took effect.
    PlatformLoseAnswers,
    /// The stand-in behaves again.
    Heal,
}

/// Fields put over what the layout generates. Maps are merged, the rest is
/// replaced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overrides {
    /// Settings of each entry.
    pub entry: Map<String, Value>,
    /// Settings of each agent.
    pub agent: Map<String, Value>,
    /// Settings of each upstream stand-in.
    pub upstream: Map<String, Value>,
    /// Settings of the platform stand-in.
    pub platform: Map<String, Value>,
    /// Template of each organisation.
    pub template: Map<String, Value>,
    /// Each kind of each template.
    pub kind: Map<String, Value>,
    /// One kind, by its name, of each template.
    pub kinds: Map<String, Value>,
}

/// A field that is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field.
    pub field: String,
    /// What is allowed there.
    pub allowed: String,
}

/// Why a text is no scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScenarioError {
    /// Not YAML, or a field is unknown, missing or of another type.
    Yaml(String),
    /// Values out of range, all of them.
    Fields(Vec<FieldError>),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Yaml(text) => f.write_str(text),
            Self::Fields(errors) => {
                let lines: Vec<String> =
                    errors.iter().map(|err| format!("{}: {}", err.field, err.allowed)).collect();
                f.write_str(&lines.join("; "))
            }
        }
    }
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    ///
    /// When a field is unknown, missing, or out of its range.
    pub fn parse(yaml: &str) -> Result<Self, ScenarioError> {
        let scenario: Self =
            serde_norway::from_str(yaml).map_err(|err| ScenarioError::Yaml(err.to_string()))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks every field's range.
    ///
    /// # Errors
    ///
    /// All fields out of their range.
    pub fn check(&self) -> Result<(), ScenarioError> {
        let errors = check::errors(self);
        if errors.is_empty() { Ok(()) } else { Err(ScenarioError::Fields(errors)) }
    }

    /// End of the load, in milliseconds from its start.
    #[must_use]
    pub fn end_ms(&self) -> u64 {
        u64::from(self.warm_up_ms) + u64::from(self.duration_ms)
    }

    /// Sizes of the deployment, with this scenario's departures.
    #[must_use]
    pub fn size(&self) -> Size {
        let preset = Size::of(self.deployment);
        Size {
            entries: self.sizes.entries.unwrap_or(preset.entries),
            upstreams: self.sizes.upstreams.unwrap_or(preset.upstreams),
            slots: self.sizes.slots.unwrap_or(preset.slots),
            organisations: self.sizes.organisations.unwrap_or(preset.organisations),
            ..preset
        }
    }

    /// Request kinds of the deployment.
    #[must_use]
    pub fn kinds(&self) -> Vec<Kind> {
        Kind::of(self.deployment)
    }
}

fn default_seed() -> u64 {
    1
}

fn default_factor() -> f64 {
    1.0
}

fn default_policy() -> String {
    "default".to_owned()
}

fn default_request_share() -> f64 {
    0.5
}

fn default_max_job_tasks() -> u16 {
    8
}

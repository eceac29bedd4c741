//! What processes use and send in a window, as a point for slopes.

use {
    crate::{
        client::Client,
        cluster::{Cluster, Role},
        results::{ProcessUsage, RunResult},
        run::{Watch, Watched},
        scrape::Series,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, path::Path, time::Duration},
};

/// Sizes and load that a point stands for, with what was used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Source")]
pub struct Point {
    /// Agents.
    pub agents: f64,
    /// Entries.
    pub entries: f64,
    /// Organisations.
    pub organisations: f64,
    /// Starts a second over all upstreams.
    pub starts_per_s: f64,
    /// Answers that entries keep at the end.
    pub kept_answers: f64,
    /// Length of the window.
    pub window_s: f64,
    /// What each process used.
    pub usage: Vec<ProcessUsage>,
    /// Growth of all counters, by role.
    pub counters: BTreeMap<String, Series>,
}

/// A file of `sample` or of `run`.
#[derive(Deserialize)]
#[serde(untagged)]
enum Source {
    Run(Box<RunResult>),
    Sample(Sample),
}

/// What `sample` writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Agents.
    pub agents: u16,
    /// Entries.
    pub entries: u16,
    /// Organisations.
    pub organisations: u16,
    /// Length of the window.
    pub window_s: f64,
    /// What each process used.
    pub usage: Vec<ProcessUsage>,
    /// Growth of all counters, by role.
    pub counters: BTreeMap<String, Series>,
}

impl From<Source> for Point {
    fn from(source: Source) -> Self {
        match source {
            Source::Run(run) => Self::of_run(&run),
            Source::Sample(sample) => Self {
                agents: f64::from(sample.agents),
                entries: f64::from(sample.entries),
                organisations: f64::from(sample.organisations),
                starts_per_s: 0.0,
                kept_answers: 0.0,
                window_s: sample.window_s,
                usage: sample.usage,
                counters: sample.counters,
            },
        }
    }
}

impl Point {
    fn of_run(run: &RunResult) -> Self {
        let size = run.scenario.size();
        Self {
            agents: f64::from(size.upstreams),
            entries: f64::from(size.entries),
            organisations: f64::from(size.organisations),
            starts_per_s: run.starts.starts as f64 / run.machine.window_s,
            kept_answers: run.timeline.iter().map(|second| second.complete as f64).sum(),
            window_s: run.machine.window_s,
            usage: run.usage.clone(),
            counters: run.counters.clone(),
        }
    }
}

/// Measures the processes of a directory as they are.
///
/// # Errors
///
/// When the directory was not laid out.
pub async fn take(dir: &Path, window_ms: u64) -> eyre::Result<Sample> {
    let cluster = Cluster::load(dir)?;
    let watch = Watch::begin(dir, &cluster, &Client::new()?).await;
    tokio::time::sleep(Duration::from_millis(window_ms)).await;
    let Watched { usage, counters, window_s } = watch.end(dir, &cluster).await;
    let size = cluster.scenario.size();
    Ok(Sample {
        agents: cluster.of_role(Role::Agent).count() as u16,
        entries: cluster.of_role(Role::Entry).count() as u16,
        organisations: size.organisations,
        window_s,
        usage,
        counters,
    })
}

//! Starts counted by the stand-ins of upstreams.

use {
    crate::{
        client::Client,
        cluster::{Cluster, Process, Role},
        verdict::Starts,
    },
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Path of the report with all ids.
const PATH: &str = "/standin/starts?full=1";

/// What one upstream reports.
#[derive(Clone, Debug, Default, Deserialize)]
struct Report {
    starts: u64,
    not_kept: u64,
    slot_violations: u64,
    after_leaving: u64,
    repeated: Vec<String>,
    ids: Vec<String>,
}

/// Counts beside those of single tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTotals {
    /// Starts.
    pub starts: u64,
    /// Starts beyond the announced slots.
    pub slot_violations: u64,
    /// Starts after an upstream told its agent that it leaves.
    pub after_leaving: u64,
}

/// Reports by upstream; the last one stands for an upstream that died since.
#[derive(Debug, Default)]
pub struct StartBook {
    reports: HashMap<String, Vec<Report>>,
    lost: bool,
}

impl StartBook {
    /// Keeps the report of an upstream that is about to be killed.
    pub async fn before_kill(&mut self, client: &Client, upstream: &Process) {
        self.lost = true;
        self.read(client, upstream).await;
    }

    /// Reads all upstreams that live.
    pub async fn read_all(&mut self, client: &Client, cluster: &Cluster) {
        for upstream in cluster.of_role(Role::Upstream) {
            self.read(client, upstream).await;
        }
    }

    async fn read(&mut self, client: &Client, upstream: &Process) {
        let report = match client.get_json(upstream.http_address, PATH).await {
            Ok(value) => serde_json::from_value::<Report>(value).ok(),
            Err(_) => None,
        };
        match report {
            Some(report) => self.reports.entry(upstream.name.clone()).or_default().push(report),
            None => self.lost = true,
        }
    }

    /// Counts by task, and totals.
    #[must_use]
    pub fn sum(&self) -> (Starts, StartTotals) {
        let mut starts = Starts { some_lost: self.lost, ..Starts::default() };
        let mut totals = StartTotals::default();
        for report in self.reports.values().flatten() {
            starts.some_lost |= report.not_kept > 0;
            totals.starts += report.starts;
            totals.slot_violations += report.slot_violations;
            totals.after_leaving += report.after_leaving;
            for id in report.ids.iter().chain(&report.repeated) {
                if let Some(key) = task_of(id) {
                    *starts.counts.entry(key).or_default() += 1;
                }
            }
        }
        (starts, totals)
    }
}

/// Job and position of a task's id, `job.index.attempt`.
#[must_use]
pub fn task_of(id: &str) -> Option<(String, u16)> {
    let (rest, _attempt) = id.rsplit_once('.')?;
    let (job, index) = rest.rsplit_once('.')?;
    Some((job.to_owned(), index.parse().ok()?))
}

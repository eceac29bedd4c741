//! Orders to the stand-ins, and the starts that upstreams counted.

use {
    crate::{
        cluster::Cluster,
        http::{get_json, post_json},
        wait::until,
    },
    eyre::WrapErr,
    serde::{Serialize, de::DeserializeOwned},
    serde_json::to_value,
    std::collections::BTreeMap,
    sycamorerail_bench::{cluster::Role, starts::task_of, verdict::Starts},
    sycamorerail_standin::{
        faults::FaultOrder,
        platform::PlatformFaults,
        upstream::{StartReport, UpstreamFaults},
    },
};

/// Name of the platform's stand-in.
pub const PLATFORM: &str = "platform";

/// Replaces all faults of a stand-in; in force on return, but for `refuse`,
/// which is in force soon after.
///
/// # Errors
///
/// When it cannot be reached.
pub async fn order<F>(cluster: &Cluster, name: &str, order: &FaultOrder<F>) -> eyre::Result<()>
where
    F: Serialize + DeserializeOwned + PartialEq,
{
    let (address, client) = (cluster.http(name), cluster.client());
    post_json(client, address, "/standin/faults", &to_value(order)?).await?;
    if order.refuse {
        return Ok(());
    }
    until(&format!("{name} has its faults"), || async {
        let there = get_json(client, address, "/standin/faults").await?;
        let there: F = serde_json::from_value(there)?;
        Ok((there == order.faults).then_some(()))
    })
    .await
}

/// Replaces the faults of an upstream.
///
/// # Errors
///
/// When it cannot be reached.
pub async fn order_upstream(
    cluster: &Cluster,
    name: &str,
    faults: UpstreamFaults,
) -> eyre::Result<()> {
    order(cluster, name, &FaultOrder { faults, ..FaultOrder::default() }).await
}

/// Replaces the faults of the platform.
///
/// # Errors
///
/// When it cannot be reached.
pub async fn order_platform(cluster: &Cluster, faults: PlatformFaults) -> eyre::Result<()> {
    order(cluster, PLATFORM, &FaultOrder { faults, ..FaultOrder::default() }).await
}

/// Reads what an upstream has started.
///
/// # Errors
///
/// When it cannot be reached.
pub async fn starts_at(cluster: &Cluster, upstream: &str) -> eyre::Result<StartReport> {
    let address = cluster.http(upstream);
    let report = get_json(cluster.client(), address, "/standin/starts?full=1").await;
    let report = report.wrap_err_with(|| format!("starts at {upstream}"))?;
    Ok(serde_json::from_value(report)?)
}

/// Reports of all upstreams, those that have stopped included.
#[derive(Debug, Default)]
pub struct StartBook {
    latest: BTreeMap<String, StartReport>,
    stopped: Vec<StartReport>,
}

impl StartBook {
    /// Reads an upstream; its report replaces the one before.
    ///
    /// # Errors
    ///
    /// When it cannot be reached.
    pub async fn read(&mut self, cluster: &Cluster, upstream: &str) -> eyre::Result<()> {
        let report = starts_at(cluster, upstream).await?;
        self.latest.insert(upstream.to_owned(), report);
        Ok(())
    }

    /// Reads all upstreams that run.
    ///
    /// # Errors
    ///
    /// When one cannot be reached.
    pub async fn read_all(&mut self, cluster: &Cluster) -> eyre::Result<()> {
        for upstream in cluster.running(Role::Upstream) {
            self.read(cluster, &upstream).await?;
        }
        Ok(())
    }

    /// Keeps the last report of an upstream that has stopped.
    pub fn stopped(&mut self, upstream: &str) {
        self.stopped.extend(self.latest.remove(upstream));
    }

    /// All reports.
    pub fn reports(&self) -> impl Iterator<Item = &StartReport> {
        self.latest.values().chain(&self.stopped)
    }

    /// Counts by task.
    #[must_use]
    pub fn starts(&self) -> Starts {
        let mut starts = Starts::default();
        for report in self.reports() {
            starts.some_lost |= report.not_kept > 0 || report.nameless > 0;
            let ids = report.ids.iter().flatten().chain(&report.repeated);
            for key in ids.filter_map(|id| task_of(id)) {
                *starts.counts.entry(key).or_default() += 1;
            }
        }
        starts
    }
}

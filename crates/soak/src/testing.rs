//! What the tests of processes have in common.

use {
    crate::{cluster::Cluster, load::Load, plan::Plan, standins::starts_at, wait::until},
    std::sync::Arc,
    sycamorerail_bench::{cluster::Role, scrape::Series},
    tokio::sync::Mutex,
};

/// One cluster at a time in a test binary, so that the machine isn't overrun.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Runs a test over a cluster, then checks all that callers were told and that
/// no process misbehaved. On failure settings and logs are kept.
///
/// # Panics
///
/// When any of these fails.
pub async fn with_cluster<F>(plan: Plan, test: impl FnOnce(Arc<Load>) -> F)
where
    F: Future<Output = eyre::Result<()>>,
{
    let _alone = ALONE.lock().await;
    let cluster = match Cluster::start(&plan).await {
        Ok(cluster) => Arc::new(cluster),
        Err(err) => panic!("{err:?}"),
    };
    let load = Load::new(Arc::clone(&cluster)).unwrap_or_else(|err| panic!("{err:?}"));
    let ended = async {
        test(Arc::clone(&load)).await?;
        load.check().await
    };
    let ended = ended.await;
    eprintln!("answers: {:?}, other replies: {:?}", load.ledger.outcomes(), load.other_replies());
    if let Err(err) = ended {
        // While processes and directory are still there.
        for process in &cluster.layout().processes {
            eprintln!("-- {}\n{}", process.name, cluster.log_tail(&process.name));
        }
        cluster.save_metrics().await;
        cluster.keep_files_on_drop();
        panic!("{err:?}");
    }
}

/// Waits until the upstreams that run have started so many tasks in all.
///
/// # Errors
///
/// When that takes too long.
pub async fn wait_starts(cluster: &Cluster, count: u64) -> eyre::Result<()> {
    until(&format!("{count} starts"), || async {
        let mut starts = 0;
        for upstream in cluster.running(Role::Upstream) {
            starts += starts_at(cluster, &upstream).await?.starts;
        }
        Ok((starts >= count).then_some(()))
    })
    .await
}

/// Waits until an entry holds so many jobs that are not over.
///
/// # Errors
///
/// When that takes too long.
pub async fn wait_jobs(cluster: &Cluster, entry: &str, count: u32) -> eyre::Result<()> {
    let url = format!("http://{}/metrics", cluster.http(entry));
    until(&format!("{count} jobs at {entry}"), || async {
        let page = cluster.client().get(&url).send().await?.text().await?;
        let held = Series::parse(&page).sum("sycamorerail_running_jobs");
        Ok((held >= f64::from(count)).then_some(()))
    })
    .await
}

//! Upstreams drop connections after the start, or fail everything: what must
//! not be repeated is not, and what may be is served.

use {
    eyre::ensure,
    std::sync::Arc,
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{load::Load, plan::Plan, standins::order_upstream, testing::with_cluster},
    sycamorerail_standin::upstream::UpstreamFaults,
};

const REQUESTS: u32 = 20;
const RUN_MS: u64 = 20;

async fn fail(load: Arc<Load>) -> eyre::Result<()> {
    let drops = UpstreamFaults { drop_share: 1.0, ..UpstreamFaults::default() };
    let fails = UpstreamFaults { fail_everything: true, ..UpstreamFaults::default() };
    order_upstream(&load.cluster, "upstream-1", drops).await?;
    order_upstream(&load.cluster, "upstream-2", fails).await?;
    let (mut once, mut repeatable) = (Vec::new(), Vec::new());
    for organisation in 0..load.cluster.organisations().len() {
        for id in load.reserve(organisation, "entry-1", REQUESTS).await? {
            once.push(load.request(organisation, id, false, RUN_MS));
        }
        for id in load.reserve(organisation, "entry-1", REQUESTS).await? {
            repeatable.push(load.request(organisation, id, true, RUN_MS));
        }
    }
    load.settle_all(&once).await?;
    let answers = load.settle_all(&repeatable).await?;
    let served = answers.iter().filter(|answer| answer.outcome == Outcome::Complete).count();
    ensure!(served > 0, "no request that may be repeated was served by the third upstream");
    // Sent again, they are answered as before.
    load.settle_all(&once).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_not_repeated() {
    with_cluster(Plan { upstreams: 3, ..Plan::default() }, fail).await;
}

//! Nothing starts in an evacuated data centre, also after its programs were replaced, until
//! it is taken back.

use {
    eyre::ensure,
    std::{sync::Arc, time::Duration},
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{
        http::Reply, load::Load, plan::Plan, standins::starts_at, testing::with_cluster,
        wait::until,
    },
    tokio::time::sleep,
};

/// Of `upstream-1`, its agent and `entry-1`.
const DATA_CENTRE: &str = "regensburg";
/// A word is in force everywhere within this: the operators' bound.
const BOUND: Duration = Duration::from_secs(5);
const RUN_MS: u64 = 20;

async fn run_some(load: &Load) -> eyre::Result<()> {
    for number in 0..40 {
        let organisation = number % load.cluster.organisations().len();
        let id = load.reserve_anywhere(organisation).await?;
        let answer = load.settle(&load.request(organisation, id, false, RUN_MS)).await?;
        ensure!(answer.outcome == Outcome::Complete, "{answer:?}");
    }
    Ok(())
}

async fn starts(load: &Load) -> eyre::Result<u64> {
    Ok(starts_at(&load.cluster, "upstream-1").await?.starts)
}

async fn evacuate(load: Arc<Load>) -> eyre::Result<()> {
    let (cluster, operator) = (&load.cluster, load.cluster.operator());
    run_some(&load).await?;
    ensure!(starts(&load).await? > 0, "it serves");

    let said = operator.say(cluster.http("entry-2"), DATA_CENTRE, true).await;
    ensure!(said == Reply::Told(()), "{said:?}");
    sleep(BOUND).await;
    let before = starts(&load).await?;
    run_some(&load).await?;
    ensure!(starts(&load).await? == before, "started there while evacuated");

    for program in ["agent-1", "entry-1"] {
        cluster.kill(program)?;
        cluster.run(program)?;
    }
    cluster.wait_ready("entry-1").await?;
    run_some(&load).await?;
    sleep(BOUND).await;
    run_some(&load).await?;
    ensure!(starts(&load).await? == before, "started there by new programs");

    let said = operator.say(cluster.http("entry-1"), DATA_CENTRE, false).await;
    ensure!(said == Reply::Told(()), "{said:?}");
    until("it serves again", || async {
        run_some(&load).await?;
        Ok((starts(&load).await? > before).then_some(()))
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_until_taken_back() {
    with_cluster(Plan::default(), evacuate).await;
}

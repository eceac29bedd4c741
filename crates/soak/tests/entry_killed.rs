//! An entry is killed with jobs in flight; its callers go to another one.

use {
    futures::future::join_all,
    std::sync::Arc,
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{
        caller::Submission,
        load::Load,
        plan::Plan,
        testing::{wait_starts, with_cluster},
    },
};

/// Run times of a job's tasks: some end before the kill, some after it.
const RUN_MS: [u64; 3] = [50, 400, 1_500];
const JOBS: u32 = 8;
/// Ids that are reserved and not submitted before the kill.
const UNUSED: u32 = 4;

/// Jobs and requests under ids of one entry, for each organisation.
async fn submissions(load: &Load, entry: &str) -> eyre::Result<Vec<Submission>> {
    let mut all = Vec::new();
    for organisation in 0..load.cluster.organisations().len() {
        for (number, id) in load.reserve(organisation, entry, JOBS).await?.into_iter().enumerate() {
            let submission = match number % 4 {
                0 => load.request(organisation, id, false, 800),
                1 => load.request(organisation, id, true, 800),
                _ => load.job(organisation, id, &RUN_MS),
            };
            all.push(submission);
        }
    }
    Ok(all)
}

async fn settle_all(load: &Load, all: &[Submission]) -> eyre::Result<Vec<Outcome>> {
    Ok(load.settle_all(all).await?.into_iter().map(|answer| answer.outcome).collect())
}

/// The callers' first attempt is through the entry that dies.
async fn kill_in_flight(load: Arc<Load>) -> eyre::Result<()> {
    let all = submissions(&load, "entry-1").await?;
    let mut unused = Vec::new();
    for organisation in 0..load.cluster.organisations().len() {
        let ids = load.reserve(organisation, "entry-1", UNUSED).await?;
        unused.extend(ids.into_iter().map(|id| load.job(organisation, id, &RUN_MS)));
    }
    let first = all.iter().map(|one| load.submit("entry-1", one));
    let kill = async {
        wait_starts(&load.cluster, 10).await?;
        load.cluster.kill("entry-1")
    };
    let (_, killed) = tokio::join!(join_all(first), kill);
    killed?;

    // No agent died, so each job has a final answer.
    let outcomes = settle_all(&load, &all).await?;
    assert!(outcomes.iter().all(|outcome| *outcome != Outcome::Unknown), "{outcomes:?}");
    // What was not submitted before cannot have run, and is told so.
    let outcomes = settle_all(&load, &unused).await?;
    assert!(outcomes.iter().all(|outcome| *outcome == Outcome::NotRun), "{outcomes:?}");

    // A new run at the same address takes nothing of the old one's.
    load.cluster.run("entry-1")?;
    load.cluster.wait_ready("entry-1").await?;
    for one in all.iter().chain(&unused) {
        for entry in ["entry-1", "entry-2"] {
            load.submit(entry, one).await;
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_in_flight_resubmit() {
    with_cluster(Plan::default(), kill_in_flight).await;
}

/// The same, with the callers at the entry that lives: it forwards to the home
/// that dies.
async fn kill_home(load: Arc<Load>) -> eyre::Result<()> {
    let all = submissions(&load, "entry-1").await?;
    let first = all.iter().map(|one| load.submit("entry-2", one));
    let kill = async {
        wait_starts(&load.cluster, 10).await?;
        load.cluster.kill("entry-1")
    };
    let (_, killed) = tokio::join!(join_all(first), kill);
    killed?;
    let outcomes = settle_all(&load, &all).await?;
    assert!(outcomes.iter().all(|outcome| *outcome != Outcome::Unknown), "{outcomes:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_home_of_forwarded() {
    with_cluster(Plan::default(), kill_home).await;
}

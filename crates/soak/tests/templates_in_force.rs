//! Templates are published while entries are killed and operators race: each
//! accepted one is in force at every entry, and none goes back.

use {
    eyre::ensure,
    std::{sync::Arc, time::Duration},
    sycamorerail_bench::cluster::Role,
    sycamorerail_soak::{
        load::Load, plan::Plan, publishing::Operators, testing::with_cluster, watcher::Watcher,
    },
    tokio::time::sleep,
};

const RIVALS: u32 = 2;
const BETWEEN: Duration = Duration::from_millis(500);

fn plan() -> Plan {
    Plan { entries: 3, ..Plan::default() }
}

async fn kill_each(load: &Load) -> eyre::Result<()> {
    for entry in load.cluster.running(Role::Entry) {
        load.cluster.kill(&entry)?;
        sleep(BETWEEN).await;
        load.cluster.run(&entry)?;
        load.cluster.wait_ready(&entry).await?;
    }
    Ok(())
}

async fn race(load: Arc<Load>) -> eyre::Result<()> {
    let watcher = Watcher::start(&load.cluster);
    let organisations = 0..load.cluster.organisations().len();
    let start = |organisation| Operators::start(&load, organisation, RIVALS, Duration::ZERO);
    let operators: Vec<_> = organisations.map(start).collect();
    sleep(BETWEEN).await;
    kill_each(&load).await?;
    for operators in operators {
        let accepted = operators.stop().await?;
        eprintln!("{accepted} changes accepted");
        ensure!(accepted > 0, "no change was accepted");
    }
    let reversals = watcher.reversals();
    ensure!(reversals.is_empty(), "{reversals:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn race_during_kills() {
    with_cluster(plan(), race).await;
}

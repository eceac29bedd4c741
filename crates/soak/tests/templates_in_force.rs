//! Templates are published while entries are killed and operators race: each
//! accepted one is in force at every entry, and none goes back.

use {
    eyre::ensure,
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_bench::cluster::Role,
    sycamorerail_soak::{
        load::Load,
        plan::Plan,
        publishing::{Published, publish},
        testing::with_cluster,
        watcher::Watcher,
    },
    tokio::{task::JoinSet, time::sleep},
};

const OPERATORS: u32 = 2;

fn plan() -> Plan {
    Plan { entries: 3, ..Plan::default() }
}

/// Publishes one revision after the other, against another operator; returns
/// which revision has which content.
async fn publish_on(
    load: Arc<Load>,
    number: u32,
    stop: Arc<AtomicBool>,
    highest: Arc<AtomicU64>,
) -> eyre::Result<BTreeMap<u64, u32>> {
    let organisation = load.cluster.organisations()[0].clone();
    let mut accepted = BTreeMap::new();
    let mut count = 0;
    while !stop.load(Ordering::Acquire) {
        let base = highest.load(Ordering::Acquire);
        count += 1;
        let content = 1_000 + OPERATORS * count + number;
        let yaml = organisation.with_max_in_flight(content)?;
        if let Published::Accepted(revision) = publish(&load, &organisation, base, &yaml).await? {
            ensure!(revision == base + 1, "revision {revision} accepted on {base}");
            accepted.insert(revision, content);
            highest.fetch_max(revision, Ordering::AcqRel);
        }
    }
    Ok(accepted)
}

async fn kill_each(load: &Load) -> eyre::Result<()> {
    for entry in load.cluster.running(Role::Entry) {
        load.cluster.kill(&entry)?;
        sleep(Duration::from_millis(500)).await;
        load.cluster.run(&entry)?;
        load.cluster.wait_ready(&entry).await?;
    }
    Ok(())
}

async fn race(load: Arc<Load>) -> eyre::Result<()> {
    let watcher = Watcher::start(&load.cluster);
    let (stop, highest) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let mut operators = JoinSet::new();
    for number in 0..OPERATORS {
        let (stop, highest) = (Arc::clone(&stop), Arc::clone(&highest));
        operators.spawn(publish_on(Arc::clone(&load), number, stop, highest));
    }
    sleep(Duration::from_millis(500)).await;
    let killed = kill_each(&load).await;
    stop.store(true, Ordering::Release);
    let mut accepted = BTreeMap::new();
    let mut count = 0;
    for revisions in operators.join_all().await {
        let revisions = revisions?;
        count += revisions.len();
        accepted.extend(revisions);
    }
    killed?;
    ensure!(accepted.len() == count, "one revision was accepted twice");

    let name = &load.cluster.organisations()[0].name;
    let (&last, _) = accepted.last_key_value().ok_or_else(|| eyre::eyre!("none accepted"))?;
    ensure!(last == 1 + accepted.len() as u64, "{last} after {} changes", accepted.len());
    for entry in load.cluster.running(Role::Entry) {
        let revision = load.cluster.wait_in_force(&entry, name, last).await?;
        ensure!(revision == last, "{entry} has {revision} in force, accepted was {last}");
    }
    let reversals = watcher.reversals();
    ensure!(reversals.is_empty(), "{reversals:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn race_during_kills() {
    with_cluster(plan(), race).await;
}

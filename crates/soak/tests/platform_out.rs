//! The platform's service is out, or loses its answers.

use {
    eyre::ensure,
    futures::future::join_all,
    serde_json::json,
    std::sync::Arc,
    sycamorerail_bench::client::Outcome,
    sycamorerail_soak::{
        http::Reply,
        load::Load,
        operator::{Base, Change},
        plan::{Plan, fields},
        publishing::{Published, publish},
        standins::{order_platform, starts_at},
        testing::{wait_starts, with_cluster},
        wait::until,
    },
    sycamorerail_standin::platform::PlatformFaults,
    uuid::Uuid,
};

fn plan() -> Plan {
    Plan {
        spare_entries: 1,
        entry: fields(json!({"platform": {"timeout_ms": 500, "poll_ms": 500}})),
        ..Plan::default()
    }
}

fn out() -> PlatformFaults {
    PlatformFaults { hang: true, ..PlatformFaults::default() }
}

async fn run_some(load: &Load, entry: &str, through: &str) -> eyre::Result<()> {
    for organisation in 0..load.cluster.organisations().len() {
        let id = load.reserve(organisation, entry, 1).await?.remove(0);
        let job = load.job(organisation, id, &[10, 20, 30]);
        let answer = load.submit(through, &job).await;
        let outcome = answer.as_ref().map(|answer| answer.outcome);
        ensure!(outcome == Some(Outcome::Complete), "{answer:?}");
    }
    Ok(())
}

/// An entry and an agent start while it is out.
async fn start_while_out(load: Arc<Load>) -> eyre::Result<()> {
    let cluster = &load.cluster;
    let alpenfunk = &cluster.organisations()[0];
    let yaml = alpenfunk.with_max_in_flight(4_321)?;
    ensure!(publish(&load, alpenfunk, 1, &yaml).await? == Published::Accepted(2));
    for entry in ["entry-1", "entry-2"] {
        cluster.wait_in_force(entry, &alpenfunk.name, 2).await?;
    }
    order_platform(cluster, out()).await?;

    // It is ready once a peer has given it what is in force, and not before.
    cluster.run("entry-3")?;
    cluster.wait_ready("entry-3").await?;
    let in_force = cluster.operator().in_force(cluster.http("entry-3")).await;
    let revision = in_force.told().and_then(|revisions| revisions.get(&alpenfunk.name).copied());
    ensure!(revision == Some(2), "{revision:?} in force at the new entry");
    run_some(&load, "entry-1", "entry-3").await?;

    // The new run of an agent gets no work; the other one goes on.
    cluster.kill("agent-1")?;
    cluster.run("agent-1")?;
    // An entry that has not heard the new run takes the old one for alive: what
    // it places there before is truly unknown, and not what this test is about.
    // entry-3 could not announce itself, so a new run does not know it yet.
    cluster.wait_unregistered("agent-1", &["entry-1", "entry-2"]).await?;
    let before = starts_at(cluster, "upstream-1").await?.starts;
    until("work goes on", || async {
        let id = load.reserve(0, "entry-2", 1).await?.remove(0);
        let request = load.request(0, id, true, 10);
        let answer = load.submit("entry-2", &request).await;
        Ok(answer.filter(|answer| answer.outcome == Outcome::Complete))
    })
    .await?;
    for _ in 0..10 {
        run_some(&load, "entry-1", "entry-1").await?;
    }
    let after = starts_at(cluster, "upstream-1").await?.starts;
    ensure!(after == before, "{} starts through an agent not registered", after - before);

    order_platform(cluster, PlatformFaults::default()).await?;
    for agent in ["agent-1", "agent-2"] {
        cluster.wait_taking_work(agent).await?;
    }
    run_some(&load, "entry-3", "entry-3").await
}

#[tokio::test(flavor = "multi_thread")]
async fn start_while_platform_out() {
    with_cluster(plan(), start_while_out).await;
}

/// A change that may have taken effect is in doubt until it is looked up.
async fn publish_while_out(load: Arc<Load>) -> eyre::Result<()> {
    let cluster = &load.cluster;
    let (organisation, entry) = (&cluster.organisations()[1], cluster.http("entry-1"));
    let (name, yaml) = (&organisation.name, organisation.with_max_in_flight(777)?);
    let lost = PlatformFaults { lose_answers: 1.0, ..PlatformFaults::default() };
    for (base, faults) in [(1, out()), (2, lost)] {
        order_platform(cluster, faults).await?;
        let (id, at) = (Uuid::now_v7(), Base::Revision(base));
        let first = cluster.operator().publish(entry, name, at, id, &yaml).await;
        let open = matches!(first, Reply::Told(Change::NotRun { .. } | Change::InDoubt { .. }));
        // With lost answers it may be resolved by reading back.
        let accepted = first == Reply::Told(Change::Accepted { revision: base + 1 });
        ensure!(open || (accepted && faults != out()), "{first:?}");
        order_platform(cluster, PlatformFaults::default()).await?;

        // The same change again, at another entry: one revision in all.
        let other = cluster.http("entry-2");
        until("the change is accepted", || async {
            let reply = cluster.operator().publish(other, name, at, id, &yaml).await;
            Ok((reply == Reply::Told(Change::Accepted { revision: base + 1 })).then_some(()))
        })
        .await?;
        for entry in ["entry-1", "entry-2"] {
            let revision = cluster.wait_in_force(entry, name, base + 1).await?;
            ensure!(revision == base + 1, "revision {revision} at {entry}");
            let address = cluster.http(entry);
            let made = cluster.operator().change_of(address, name, base + 1).await;
            ensure!(made == Reply::Told(Some(id)), "{made:?} made it, {id} was sent");
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_while_platform_out() {
    with_cluster(plan(), publish_while_out).await;
}

/// An entry is lost while the fence of it cannot be recorded: nothing is told
/// to be not run before it is.
async fn fence_while_out(load: Arc<Load>) -> eyre::Result<()> {
    let cluster = &load.cluster;
    let mut jobs = Vec::new();
    for organisation in 0..cluster.organisations().len() {
        for id in load.reserve(organisation, "entry-1", 8).await? {
            jobs.push(load.job(organisation, id, &[50, 600]));
        }
    }
    let unused = load.reserve(0, "entry-1", 1).await?.remove(0);
    let unused = load.job(0, unused, &[10]);
    let waiting = join_all(jobs.iter().map(|job| load.submit("entry-1", job)));
    let lose = async {
        wait_starts(cluster, 6).await?;
        order_platform(cluster, out()).await?;
        cluster.kill("entry-1")
    };
    let (_, lost) = tokio::join!(waiting, lose);
    lost?;
    for job in jobs.iter().chain([&unused]) {
        if let Some(answer) = load.submit("entry-2", job).await {
            ensure!(answer.outcome != Outcome::NotRun, "{answer:?}");
        }
    }
    order_platform(cluster, PlatformFaults::default()).await?;
    let settled = load.settle_all(&jobs).await?;
    let open = settled.iter().find(|answer| answer.outcome == Outcome::Unknown);
    ensure!(open.is_none(), "{open:?}");
    let answer = load.settle(&unused).await?;
    ensure!(answer.outcome == Outcome::NotRun, "{answer:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn fence_while_platform_out() {
    with_cluster(plan(), fence_while_out).await;
}

//! Random faults: connections to the entry break, the upstream refuses and
//! drops, tasks are revoked. What the agent said is held against what the
//! upstream started.

mod support;

use {
    futures::{StreamExt, stream},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashSet, time::Duration},
    support::{Cluster, PATIENCE, until},
    sycamorerail_agent::agent::StopOutcome,
    sycamorerail_standin::upstream::UpstreamFaults,
    sycamorerail_wire::{
        answer::{Reason, TaskEnd, TaskRecord},
        ids::TaskId,
        message::{AgentReply, AgentReplyBody, Placement, ToAgent},
        session,
    },
};

const TASKS: u64 = 400;
const AT_ONCE: usize = 40;
const REFUSED: Duration = Duration::from_millis(10);

/// What the agent's last word on a task proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    Started,
    NotStarted,
    Neither,
}

/// Sends until a reply comes, each time over a new connection.
async fn ask(cluster: &Cluster, request: &ToAgent) -> AgentReplyBody {
    loop {
        let connection = cluster.entry.connection().await;
        match session::call::<_, AgentReply>(&connection, request, PATIENCE).await {
            Ok(reply) => return reply.body,
            Err(err) if connection.close_reason().is_some() => drop(err),
            Err(err) => panic!("{err}"),
        }
        until("a new connection", || cluster.entry.has_other_than(&connection)).await;
    }
}

async fn place(cluster: &Cluster, placement: Placement, mut tries: u32) -> Proof {
    let request = ToAgent::Place(placement);
    loop {
        match ask(cluster, &request).await {
            AgentReplyBody::Ended { end: TaskEnd::Finished(_), .. } => return Proof::Started,
            AgentReplyBody::Ended { .. } | AgentReplyBody::Broken(_) => return Proof::Neither,
            AgentReplyBody::NotStarted { never, .. } if never || tries == 0 => {
                return Proof::NotStarted;
            }
            AgentReplyBody::NotStarted { retry_after_ms, .. } => {
                tries -= 1;
                tokio::time::sleep(Duration::from_millis(retry_after_ms.into())).await;
            }
            other => panic!("{other:?}"),
        }
    }
}

async fn revoke(cluster: &Cluster, task: TaskId) -> Proof {
    let AgentReplyBody::Revoked(reports) =
        ask(cluster, &ToAgent::Revoke { tasks: vec![task] }).await
    else {
        panic!("no report");
    };
    match &reports[0].record {
        TaskRecord::NeverStarted => Proof::NotStarted,
        TaskRecord::Ended(TaskEnd::Finished(_)) => Proof::Started,
        TaskRecord::Ended(TaskEnd::Failed { reason: Reason::Cancelled, .. }) => Proof::Neither,
        TaskRecord::Ended(_) | TaskRecord::EndDropped | TaskRecord::Broken(_) => Proof::Neither,
        TaskRecord::Running => panic!("a revoke left a task running"),
    }
}

/// Runs a task as its home would, and now and then cancels it.
async fn run(cluster: &Cluster, sequence: u64) -> (TaskId, Proof) {
    let mut rng = SmallRng::seed_from_u64(sequence);
    let run_ms: u64 = rng.random_range(0..120);
    let mut placement = cluster.placement(sequence, &format!(r#"{{"run_ms":{run_ms}}}"#));
    placement.urgency = rng.random_range(0..3);
    placement.start_within_ms = rng.random_range(0..400);
    let task = placement.task;
    let placed = place(cluster, placement, rng.random_range(0..4));
    if rng.random_bool(0.7) {
        return (task, placed.await);
    }
    let cancel_after = Duration::from_millis(rng.random_range(0..150));
    match tokio::time::timeout(cancel_after, placed).await {
        Ok(proof) => (task, proof),
        Err(_) => (task, revoke(cluster, task).await),
    }
}

async fn disturb(cluster: &Cluster) {
    let mut rng = SmallRng::seed_from_u64(7);
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
        let drop_share = if rng.random_bool(0.5) { 0.1 } else { 0.0 };
        let faults = UpstreamFaults { drop_share, ..Default::default() };
        match rng.random_range(0..10) {
            0..6 => cluster.entry.hang_up().await,
            6 => {
                cluster.upstream.refuse().await.unwrap();
                tokio::time::sleep(REFUSED).await;
                cluster.upstream.heal().await.unwrap();
            }
            _ => cluster.upstream.set_faults(faults).await.unwrap(),
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn words_hold() {
    let cluster = Cluster::start_with(8, |settings| settings.max_queued = 24).await;
    let tasks = stream::iter(0..TASKS).map(|sequence| run(&cluster, sequence));
    let proofs = tokio::select! {
        proofs = tasks.buffer_unordered(AT_ONCE).collect::<Vec<_>>() => proofs,
        () = disturb(&cluster) => unreachable!(),
    };
    cluster.upstream.heal().await.unwrap();
    let Cluster { agent, upstream, .. } = cluster;
    assert_eq!(agent.stop().await, StopOutcome { cut: 0 });
    upstream.idle().await;
    let report = upstream.starts(true);
    assert_eq!((report.repeated, report.not_kept), (Vec::<String>::new(), 0));
    let started: HashSet<String> = report.ids.unwrap().into_iter().collect();
    for (task, proof) in &proofs {
        let was = started.contains(&task.to_string());
        assert!(was || *proof != Proof::Started, "{task} did not start");
        assert!(!was || *proof != Proof::NotStarted, "{task} started");
    }
    for proof in [Proof::Started, Proof::NotStarted, Proof::Neither] {
        assert!(proofs.iter().any(|(_, found)| *found == proof), "no {proof:?} among {proofs:?}");
    }
}

//! Random faults: connections to the entry break, the upstream refuses or drops calls, and
//! tasks are revoked. The agent's replies must agree with what the upstream started.

mod support;

use {
    futures::{StreamExt, stream},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashSet, time::Duration},
    support::{Cluster, TEST_TIMEOUT, wait_until},
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
const CONCURRENT_TASKS: usize = 40;
const REFUSAL_TIME: Duration = Duration::from_millis(10);

/// What the agent's last reply about a task proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    Started,
    NotStarted,
    Neither,
}

/// Sends the request over a new connection each time until a reply arrives.
async fn call_until_reply(cluster: &Cluster, request: &ToAgent) -> AgentReplyBody {
    loop {
        let connection = cluster.entry.connection().await;
        match session::call::<_, AgentReply>(&connection, request, TEST_TIMEOUT).await {
            Ok(reply) => return reply.body,
            Err(err) if connection.close_reason().is_some() => drop(err),
            Err(err) => panic!("{err}"),
        }
        wait_until("a new connection", || cluster.entry.has_other_connection(&connection)).await;
    }
}

async fn place(cluster: &Cluster, placement: Placement, mut tries: u32) -> Proof {
    let request = ToAgent::Place(placement);
    loop {
        match call_until_reply(cluster, &request).await {
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
        call_until_reply(cluster, &ToAgent::Revoke { tasks: vec![task] }).await
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

/// Runs a task as its home entry would, and sometimes cancels it.
async fn run_task(cluster: &Cluster, sequence: u64) -> (TaskId, Proof) {
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

async fn inject_faults(cluster: &Cluster) {
    let mut rng = SmallRng::seed_from_u64(7);
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
        let drop_share = if rng.random_bool(0.5) { 0.1 } else { 0.0 };
        let faults = UpstreamFaults { drop_share, ..Default::default() };
        match rng.random_range(0..10) {
            0..6 => cluster.entry.close_connection().await,
            6 => {
                cluster.upstream.refuse().await.unwrap();
                tokio::time::sleep(REFUSAL_TIME).await;
                cluster.upstream.heal().await.unwrap();
            }
            _ => cluster.upstream.set_faults(faults).await.unwrap(),
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replies_agree_with_starts() {
    let cluster = Cluster::start_with(8, |settings| settings.max_queued = 24).await;
    let tasks = stream::iter(0..TASKS).map(|sequence| run_task(&cluster, sequence));
    let proofs = tokio::select! {
        proofs = tasks.buffer_unordered(CONCURRENT_TASKS).collect::<Vec<_>>() => proofs,
        () = inject_faults(&cluster) => unreachable!(),
    };
    cluster.upstream.heal().await.unwrap();
    let Cluster { agent, upstream, .. } = cluster;
    assert_eq!(agent.stop().await, StopOutcome { cut: 0 });
    upstream.idle().await;
    let report = upstream.starts(true);
    assert_eq!((report.repeated, report.not_kept), (Vec::<String>::new(), 0));
    let started: HashSet<String> = report.ids.unwrap().into_iter().collect();
    for (task, proof) in &proofs {
        let was_started = started.contains(&task.to_string());
        assert!(was_started || *proof != Proof::Started, "{task} did not start");
        assert!(!was_started || *proof != Proof::NotStarted, "{task} started");
    }
    for proof in [Proof::Started, Proof::NotStarted, Proof::Neither] {
        assert!(proofs.iter().any(|(_, found)| *found == proof), "no {proof:?} among {proofs:?}");
    }
}

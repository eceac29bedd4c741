//! An entry with links to only some of the agents: which agents get its tasks, and how it answers
//! jobs that its own agents cannot hold.

use {
    std::{collections::BTreeSet, sync::Arc},
    sycamorerail_decide::dispatch::{
        AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobRequest, KindParameters,
        NoResultReason, PoolView, StepRequest,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, InstanceId, Resources, UpstreamInstance, UpstreamLoad},
    },
};

const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
const LARGER: Resources = Resources { cpu_milli: 15_000, memory_mb: 1_000, accelerators: 0 };
const NOW_MS: u64 = 100;

/// Creates an entry with this many agents whose upstreams are free.
fn entry(run: u64, agents: usize) -> (Dispatch, Vec<AgentKey>) {
    let mut dispatch = Dispatch::new(DispatchLimits::default(), Incarnation(run));
    let connect = |number| {
        let name = format!("agent-{number}");
        let agent = dispatch.agent_connected(&name, Incarnation(1), None, NOW_MS);
        dispatch.agent_ready(agent, NOW_MS);
        let life = UpstreamInstance {
            id: InstanceId::without_start(&name),
            order_fence: 0,
            pool: "desk".to_owned(),
            capacity: CAPACITY,
            labels: Vec::new(),
            leaving: false,
        };
        dispatch.set_instance(agent, life);
        let load = UpstreamLoad {
            usable: true,
            capacity: CAPACITY,
            slowness_percent: 100,
            ..UpstreamLoad::default()
        };
        dispatch.handle_report(agent, &[], load, 0, NOW_MS);
        agent
    };
    let agents = (0..agents).map(connect).collect();
    (dispatch, agents)
}

fn job(number: u64, cpu_milli: u32, label: Option<&str>) -> JobRequest {
    JobRequest {
        id: CallerJobId(number),
        kind: Arc::new(KindParameters {
            name: "kind".to_owned(),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch: 2.0,
            target_ms: 100,
        }),
        spec: String::new(),
        steps: vec![StepRequest {
            count: 1,
            need: Resources { cpu_milli, memory_mb: 1, accelerators: 0 },
            run_ms: 100,
            required_label: label.map(str::to_owned),
            ..StepRequest::default()
        }],
        arrived_ms: NOW_MS,
        deadline_ms: NOW_MS + 10_000,
    }
}

fn placed(dispatch: &mut Dispatch) -> Vec<AgentKey> {
    let placed = dispatch.take_commands().into_iter().filter_map(|command| match command {
        Command::Place(agent, _) => Some(agent),
        _ => None,
    });
    placed.collect()
}

/// Entries that all chose the same free agent would overload it before it can report.
#[test]
fn entries_with_the_same_view_choose_different_agents() {
    let first_choice = |run| {
        let (mut dispatch, agents) = entry(run, 24);
        dispatch.submit(job(1, 1_000, None), NOW_MS).unwrap();
        let chosen = placed(&mut dispatch)[0];
        agents.iter().position(|agent| *agent == chosen).unwrap()
    };
    let chosen: BTreeSet<_> = (1..=12).map(first_choice).collect();
    assert!(chosen.len() >= 6, "{chosen:?}");
}

#[test]
fn an_agent_that_ends_its_link_gets_nothing_more() {
    let (mut dispatch, agents) = entry(1, 2);
    dispatch.agent_unlinks(agents[0]);
    for number in 1..=4 {
        dispatch.submit(job(number, 1_000, None), NOW_MS).unwrap();
    }
    assert_eq!(placed(&mut dispatch), [agents[1]; 4]);
    assert_eq!(dispatch.pool_view(agents[1]).agents, 1);
    // The agent has reconnected and counts again.
    dispatch.agent_ready(agents[0], NOW_MS);
    assert_eq!(dispatch.pool_view(agents[1]), PoolView { agents: 2, largest: CAPACITY });
}

/// "Failed" would be false: the job can run at another entry.
#[test]
fn a_job_that_fits_an_upstream_of_another_entry_has_not_failed() {
    let (mut dispatch, agents) = entry(1, 2);
    let too_large = || job(1, 12_000, None);
    assert_eq!(dispatch.submit(too_large(), NOW_MS), Err(JobAnswer::Failed));
    dispatch.raise_largest_capacity(agents[0], LARGER);
    let answer = dispatch.submit(too_large(), NOW_MS);
    assert!(
        matches!(answer, Err(JobAnswer::NotRun { reason: NoResultReason::NotHere, .. })),
        "{answer:?}"
    );
    assert_eq!(dispatch.submit(job(2, 16_000, None), NOW_MS), Err(JobAnswer::Failed));
}

/// If the entry kept the job, it would be refused only shortly before its caller gives up.
#[test]
fn a_job_that_needs_a_label_of_another_entrys_agents_is_refused_at_once() {
    let (mut dispatch, _) = entry(1, 2);
    let answer = dispatch.submit(job(1, 1_000, Some("rack-3")), NOW_MS);
    assert!(
        matches!(answer, Err(JobAnswer::NotRun { reason: NoResultReason::NotHere, .. })),
        "{answer:?}"
    );
}

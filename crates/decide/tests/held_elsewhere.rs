//! Jobs that another entry has, as agents report them: no copy of such a job runs here.

use {
    std::sync::Arc,
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobRequest, KindParameters,
            NoResultReason, StepRequest,
        },
        ledger::{LedgerLimits, SHORTEST_RESUBMIT_MS},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, NotStarted, Resources, RunEvent, RunReport, TaskKey,
            UpstreamInstance, UpstreamLoad,
        },
    },
};

const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
const JOB: CallerJobId = CallerJobId(1);
const TASK: TaskKey = TaskKey { job: JOB, step: 0, index: 0 };
const HELD: Result<(), JobAnswer> =
    Err(JobAnswer::Unknown { reason: NoResultReason::HeldElsewhere });

fn load(usable: bool) -> UpstreamLoad {
    UpstreamLoad { usable, capacity: CAPACITY, slowness_percent: 100, ..UpstreamLoad::default() }
}

fn job(arrived_ms: u64) -> JobRequest {
    let kind = KindParameters {
        name: "reach-check".to_owned(),
        pool: "desk".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target_ms: 60,
    };
    let need = Resources { cpu_milli: 3_000, memory_mb: 10, accelerators: 0 };
    JobRequest {
        id: JOB,
        kind: Arc::new(kind),
        spec: "spec".to_owned(),
        steps: vec![StepRequest { count: 1, need, run_ms: 100, ..StepRequest::default() }],
        arrived_ms,
        deadline_ms: arrived_ms + 1_500,
    }
}

fn connect(dispatch: &mut Dispatch, run: u64, is_usable: bool, now_ms: u64) -> AgentKey {
    let agent = dispatch.agent_connected("agent", Incarnation(run), None, now_ms);
    dispatch.agent_ready(agent, now_ms);
    let instance = UpstreamInstance {
        id: InstanceId::without_start("life"),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: CAPACITY,
        labels: Vec::new(),
        leaving: false,
    };
    dispatch.set_instance(agent, instance);
    dispatch.handle_report(agent, &[], load(is_usable), 0, now_ms);
    agent
}

fn submit(dispatch: &mut Dispatch, now_ms: u64) -> Result<(), JobAnswer> {
    dispatch.submit(job(now_ms), now_ms).map(drop)
}

/// Returns an entry and its agent, which reports at 100 ms that another entry has the job.
fn entry_with_report() -> (Dispatch, AgentKey) {
    let mut dispatch = Dispatch::new(DispatchLimits::default(), Incarnation(1));
    let agent = connect(&mut dispatch, 1, true, 100);
    dispatch.update_jobs_of_others(agent, vec![JOB], &[]);
    (dispatch, agent)
}

fn placements(dispatch: &mut Dispatch) -> usize {
    let commands = dispatch.take_commands().into_iter();
    commands.filter(|command| matches!(command, Command::Place(..))).count()
}

/// Guards against a copy that runs beside its job, and one that never runs.
#[test]
fn copies_are_refused_until_the_job_is_over() {
    let (mut dispatch, agent) = entry_with_report();
    assert_eq!(submit(&mut dispatch, 110), HELD);
    dispatch.update_jobs_of_others(agent, Vec::new(), &[JOB]);
    assert_eq!(submit(&mut dispatch, 120), Ok(()));
    assert_eq!(placements(&mut dispatch), 1);
}

/// Guards against a copy that is refused for good, as its agent is gone with its runs.
#[test]
fn a_silent_agents_report_counts_until_its_runs_are_over() {
    let (mut dispatch, _) = entry_with_report();
    let over_ms = 100 + DispatchLimits::default().forget_jobs_after_ms;
    assert_eq!(submit(&mut dispatch, over_ms - 1), HELD);
    assert_eq!(submit(&mut dispatch, over_ms), Ok(()));
}

/// Guards against a stall of this entry that counts as silence of the agent.
#[test]
fn an_own_stall_forgets_no_job() {
    let (mut dispatch, _) = entry_with_report();
    dispatch.note_stall(1_300, 1_410);
    assert_eq!(submit(&mut dispatch, 1_410), HELD);
}

/// Guards against a copy beside the runs that a restarted agent is still ending.
#[test]
fn a_restarted_agent_forgets_no_job_before_it_is_usable() {
    let (mut dispatch, agent) = entry_with_report();
    connect(&mut dispatch, 2, false, 110);
    assert_eq!(submit(&mut dispatch, 111), HELD);
    dispatch.handle_report(agent, &[], load(true), 0, 150);
    assert_eq!(submit(&mut dispatch, 151), Ok(()));
}

/// Guards against a job that is refused for good, as an agent that never becomes usable connects
/// again and again.
#[test]
fn reconnects_prolong_no_report() {
    let (mut dispatch, _) = entry_with_report();
    let over_ms = 100 + DispatchLimits::default().forget_jobs_after_ms;
    for (run, now_ms) in (2..).zip((200..over_ms).step_by(200)) {
        connect(&mut dispatch, run, false, now_ms);
    }
    assert_eq!(submit(&mut dispatch, over_ms), Ok(()));
}

/// Guards against a job that an agent refuses, as another entry's run is there, and that is placed
/// at the next one at once.
#[test]
fn a_refused_job_waits_until_it_is_over_elsewhere() {
    let mut dispatch = Dispatch::new(DispatchLimits::default(), Incarnation(1));
    let agent = connect(&mut dispatch, 1, true, 100);
    assert_eq!(submit(&mut dispatch, 100), Ok(()));
    assert_eq!(placements(&mut dispatch), 1);
    dispatch.update_jobs_of_others(agent, vec![JOB], &[]);
    let event = RunEvent::NotStarted(NotStarted::Withdrawn);
    let report = RunReport { number: 1, task: TASK, run: 1, event };
    dispatch.handle_report(agent, &[report], load(true), 0, 110);
    assert_eq!(placements(&mut dispatch), 0);
    dispatch.update_jobs_of_others(agent, Vec::new(), &[JOB]);
    dispatch.handle_report(agent, &[], load(true), 0, 120);
    assert_eq!(placements(&mut dispatch), 1);
}

/// Guards against "not run" as the answer to a job that runs at another entry.
#[test]
fn a_job_that_waits_for_another_entry_is_not_answered_as_not_run() {
    let mut dispatch = Dispatch::new(DispatchLimits::default(), Incarnation(1));
    assert_eq!(submit(&mut dispatch, 100), Ok(()));
    let agent = connect(&mut dispatch, 1, false, 110);
    dispatch.update_jobs_of_others(agent, vec![JOB], &[]);
    let mut answers = Vec::new();
    for now_ms in (200..2_000).step_by(100) {
        dispatch.handle_report(agent, &[], load(false), 0, now_ms);
        dispatch.tick(now_ms);
        let commands = dispatch.take_commands().into_iter();
        answers.extend(commands.filter_map(|command| match command {
            Command::Answer(_, answer) => Some(answer),
            _ => None,
        }));
    }
    assert!(matches!(answers[..], [JobAnswer::Unknown { .. }]), "{answers:?}");
}

/// Guards against entries that are told of a job only after its copy came.
#[test]
fn jobs_are_old_before_their_callers_submit_them_again() {
    let limits = DispatchLimits::default();
    let mut dispatch = Dispatch::new(limits, Incarnation(1));
    assert_eq!(submit(&mut dispatch, 100), Ok(()));
    let old_ms = 100 + limits.share_job_after_ms;
    assert!(dispatch.old_jobs(old_ms - 1).is_empty());
    assert!(dispatch.old_jobs(old_ms).contains(&JOB));
    // The rest is for the heartbeats of an agent's links to both entries.
    assert!(limits.share_job_after_ms + 2 * limits.heartbeat_ms < 1_300);
}

/// Guards against copies that are refused although their entry is gone: an agent that freezes
/// after it has last reported the job can't tell that its run is over.
#[test]
fn reports_of_a_lost_entrys_jobs_expire_before_callers_come_again() {
    for resubmit_ms in [SHORTEST_RESUBMIT_MS, 800, 1_300, 5_000] {
        let limits = LedgerLimits::for_upstream(1_000, resubmit_ms);
        let reported_ms = limits.share_jobs_until_silent_ms();
        assert!(reported_ms + limits.forget_jobs_after_ms() < resubmit_ms, "{limits:?}");
        // What an agent reports with each heartbeat doesn't expire in between.
        assert!(limits.forget_jobs_after_ms() > 2 * limits.heartbeat_ms(), "{limits:?}");
    }
}

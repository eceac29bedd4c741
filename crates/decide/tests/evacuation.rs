//! Evacuated data centres: nothing is placed or started there, running tasks continue, and
//! admission ignores their capacity.

use {
    std::sync::Arc,
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobKey, JobRequest,
            KindParameters, NoResultReason, StepRequest,
        },
        ledger::{EndKind, LeaseAnswer, Ledger, LedgerLimits, RunEnd, StartAnswer},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, Evacuations, InstanceId, NotStarted, PlacementTarget, Resources, RunEvent,
            RunReport, StepPlacement, TaskKey, TaskStart, UpstreamInstance, UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
const NEED: Resources = Resources { cpu_milli: 4_000, memory_mb: 10, accelerators: 0 };
const RUN_MS: u32 = 100;

fn evacuations(revision: u64, data_centres: &[&str]) -> Evacuations {
    let data_centres = data_centres.iter().map(|&name| name.to_owned()).collect();
    Evacuations { revision, data_centres }
}

fn life() -> UpstreamInstance {
    UpstreamInstance {
        id: InstanceId::without_start("life"),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: CAPACITY,
        labels: Vec::new(),
        leaving: false,
    }
}

fn job(id: u64, count: u16, now_ms: u64) -> JobRequest {
    let kind = KindParameters {
        name: "reach-check".to_owned(),
        pool: "desk".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        target_ms: 60,
    };
    let step = StepRequest { count, need: NEED, run_ms: RUN_MS, ..StepRequest::default() };
    JobRequest {
        id: CallerJobId(id),
        kind: Arc::new(kind),
        spec: "spec".to_owned(),
        steps: vec![step],
        arrived_ms: now_ms,
        deadline_ms: now_ms + 1_500,
    }
}

/// Creates an entry at 100 ms with an idle agent in each of these data centres.
fn site(data_centres: &[&str]) -> (Dispatch, Vec<AgentKey>) {
    let mut dispatch = Dispatch::new(DispatchLimits::default(), ENTRY);
    let agents = data_centres.iter().enumerate().map(|(number, data_centre)| {
        let name = format!("agent-{number}");
        let agent = dispatch.agent_connected(&name, Incarnation(1), None, 100);
        dispatch.set_data_centre(agent, data_centre);
        dispatch.agent_ready(agent, 100);
        dispatch.set_instance(agent, life());
        report(&mut dispatch, agent, &[], 100);
        agent
    });
    let agents = agents.collect();
    (dispatch, agents)
}

fn report(dispatch: &mut Dispatch, agent: AgentKey, reports: &[RunReport], now_ms: u64) {
    let load = UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    };
    dispatch.handle_report(agent, reports, load, u64::MAX, now_ms);
}

fn hand_back(dispatch: &mut Dispatch, agent: AgentKey, placement: &StepPlacement, now_ms: u64) {
    let event = RunEvent::NotStarted(NotStarted::Evacuated);
    let reports: Vec<_> = placement
        .tasks
        .iter()
        .map(|start| {
            let task = TaskKey { job: placement.job, step: placement.step, index: start.index };
            RunReport { number: u64::from(start.index) + 1, task, run: start.run, event }
        })
        .collect();
    report(dispatch, agent, &reports, now_ms);
}

fn placements(dispatch: &mut Dispatch) -> Vec<(AgentKey, StepPlacement)> {
    let placed = dispatch.take_commands().into_iter().filter_map(|command| match command {
        Command::Place(agent, placement) => Some((agent, placement)),
        _ => None,
    });
    placed.collect()
}

fn answer(dispatch: &mut Dispatch, job: JobKey) -> Option<JobAnswer> {
    dispatch.take_commands().into_iter().find_map(|command| match command {
        Command::Answer(key, answer) if key == job => Some(answer),
        _ => None,
    })
}

#[test]
fn nothing_is_placed_in_an_evacuated_data_centre() {
    let (mut dispatch, agents) = site(&["north", "south"]);
    dispatch.set_evacuations(evacuations(5, &["north"]), 100);
    dispatch.submit(job(1, 2, 100), 100).unwrap();
    let placed = placements(&mut dispatch);
    assert!(placed.iter().all(|(agent, _)| *agent == agents[1]), "{placed:?}");
    dispatch.set_evacuations(evacuations(6, &[]), 200);
    report(&mut dispatch, agents[0], &[], 200);
    report(&mut dispatch, agents[1], &[], 200);
    dispatch.submit(job(2, 4, 200), 200).unwrap();
    assert_eq!(placements(&mut dispatch).len(), 2, "both serve after the evacuation");
}

#[test]
fn an_agent_that_comes_later_is_evacuated_too() {
    let (mut dispatch, agents) = site(&["north"]);
    dispatch.set_evacuations(evacuations(5, &["south"]), 100);
    let late = dispatch.agent_connected("late", Incarnation(1), None, 100);
    dispatch.set_data_centre(late, "south");
    dispatch.agent_ready(late, 100);
    dispatch.set_instance(late, life());
    report(&mut dispatch, late, &[], 100);
    dispatch.submit(job(1, 2, 100), 100).unwrap();
    let placed = placements(&mut dispatch);
    assert!(placed.iter().all(|(agent, _)| *agent == agents[0]), "{placed:?}");
}

#[test]
fn returned_tasks_are_placed_elsewhere_at_once() {
    let (mut dispatch, agents) = site(&["north", "south"]);
    dispatch.submit(job(1, 4, 100), 100).unwrap();
    let placed = placements(&mut dispatch);
    let (_, north) = placed.iter().find(|(agent, _)| *agent == agents[0]).unwrap();
    dispatch.set_evacuations(evacuations(5, &["north"]), 110);
    hand_back(&mut dispatch, agents[0], north, 111);
    let again = placements(&mut dispatch);
    assert!(again.iter().all(|(agent, _)| *agent == agents[1]), "{again:?}");
    let placed_again: usize = again.iter().map(|(_, placement)| placement.tasks.len()).sum();
    assert_eq!(placed_again, north.tasks.len());
}

#[test]
fn admission_ignores_evacuated_capacity_before_queues_grow() {
    // Four agents hold eight tasks at once; with one of them, a third round would be too late.
    let data_centres = ["north", "south", "south", "south"];
    let (mut dispatch, _) = site(&data_centres);
    assert!(dispatch.submit(job(1, 8, 100), 100).is_ok());
    let (mut dispatch, _) = site(&data_centres);
    dispatch.set_evacuations(evacuations(5, &["south"]), 100);
    let refused = dispatch.submit(job(1, 8, 100), 100).unwrap_err();
    assert!(
        matches!(refused, JobAnswer::NotRun { reason: NoResultReason::Overload, .. }),
        "refused at once: {refused:?}"
    );
}

#[test]
fn without_any_data_centre_a_job_is_refused_at_once_with_a_time_to_come_back() {
    let (mut dispatch, _) = site(&["north", "south"]);
    dispatch.set_evacuations(evacuations(5, &["north", "south"]), 100);
    let refused = dispatch.submit(job(1, 1, 100), 100).unwrap_err();
    let JobAnswer::NotRun { reason: NoResultReason::Evacuated, retry_after_ms } = refused else {
        panic!("{refused:?}")
    };
    assert!(retry_after_ms >= 1_000);
    assert!(dispatch.is_all_evacuated());
}

#[test]
fn a_job_that_was_handed_back_by_all_is_answered_at_once() {
    let (mut dispatch, agents) = site(&["north"]);
    let key = dispatch.submit(job(1, 2, 100), 100).unwrap();
    let placed = placements(&mut dispatch);
    dispatch.set_evacuations(evacuations(5, &["north"]), 110);
    hand_back(&mut dispatch, agents[0], &placed[0].1, 111);
    dispatch.tick(120);
    let answer = answer(&mut dispatch, key);
    assert!(
        matches!(answer, Some(JobAnswer::NotRun { reason: NoResultReason::Evacuated, .. })),
        "{answer:?}"
    );
}

#[test]
fn an_older_list_of_evacuations_is_ignored() {
    let mut held = evacuations(7, &["north"]);
    assert!(!held.merge_newer(&evacuations(6, &[])));
    assert!(!held.merge_newer(&evacuations(9, &["north"])), "same data centres");
    assert!(!held.merge_newer(&evacuations(8, &[])), "a newer revision is known");
    assert!(held.merge_newer(&evacuations(10, &[])));
    assert_eq!(held, evacuations(10, &[]));
}

/// Creates a ledger whose upstream runs task 0 of a job with four tasks and has room for two.
fn busy_ledger() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(life());
    ledger.note_owner_contact(ENTRY, 1);
    renew(&mut ledger, 1, &[], &[]);
    ledger.place(ENTRY, placement(1, 4), 2);
    let first = ledger.next_start(2).unwrap();
    ledger.handle_start_answer(first.task, first.run, StartAnswer::Started, 3);
    ledger
}

fn placement(job: u64, count: u16) -> StepPlacement {
    StepPlacement {
        job: CallerJobId(job),
        step: 0,
        target: PlacementTarget {
            instance: life().id,
            pool: "desk".to_owned(),
            required_label: None,
        },
        spec: "spec".to_owned(),
        tasks: (0..count).map(|index| TaskStart { index, run: 1 }).collect(),
        need: NEED,
        run_ms: RUN_MS,
        priority: 1,
        objective_in_ms: 400,
        give_up_in_ms: 2_000,
        job_mostly_started: false,
        age_ms: 0,
        suspect: false,
    }
}

fn renew(ledger: &mut Ledger, now_ms: u64, running: &[(TaskKey, u32)], ended: &[RunEnd]) {
    let answer = LeaseAnswer {
        instance: life().id,
        fence: 0,
        sent_ms: now_ms,
        clock_ms: 50_000 + now_ms,
        running: running.to_vec(),
        ended: ended.to_vec(),
    };
    ledger.handle_renewal_answer(&answer, now_ms);
}

fn events(ledger: &Ledger) -> Vec<(u16, RunEvent)> {
    let reports = ledger.reports(ENTRY).into_iter();
    reports.map(|report| (report.task.index, report.event)).collect()
}

#[test]
fn an_evacuated_agent_returns_waiting_tasks_and_keeps_running_ones() {
    let mut ledger = busy_ledger();
    assert!(ledger.set_evacuated(true));
    let back = RunEvent::NotStarted(NotStarted::Evacuated);
    let told = events(&ledger);
    assert_eq!(told, [(0, RunEvent::Started), (1, back), (2, back), (3, back)]);
    assert!(ledger.stops_due(4).is_empty(), "running tasks continue");
    let task = TaskKey { job: CallerJobId(1), step: 0, index: 0 };
    let done = RunEnd { number: 1, task, run: 1, kind: EndKind::Done };
    renew(&mut ledger, 103, &[], &[done]);
    assert_eq!(events(&ledger).last(), Some(&(0, RunEvent::Done { run_ms: 100 })));
}

#[test]
fn an_evacuated_agent_starts_nothing_until_the_evacuation_ends() {
    let mut ledger = busy_ledger();
    ledger.set_evacuated(true);
    ledger.place(ENTRY, placement(2, 1), 5);
    assert!(ledger.next_start(5).is_none());
    assert!(!ledger.load(5).usable);
    assert_eq!(events(&ledger).last(), Some(&(0, RunEvent::NotStarted(NotStarted::Evacuated))));
    assert!(ledger.set_evacuated(false));
    ledger.place(ENTRY, placement(3, 1), 6);
    assert!(ledger.load(6).usable);
    assert_eq!(ledger.next_start(6).unwrap().task.job, CallerJobId(3));
}

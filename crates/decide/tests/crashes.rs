//! Upstreams that crash under tasks: told apart from other losses, and no task is started
//! again and again.

use {
    proptest::{collection::vec, prelude::*},
    std::{collections::HashMap, sync::Arc},
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, GiveUp, JobAnswer, JobRequest,
            KindParameters, StepRequest,
        },
        ledger::{LeaseAnswer, Ledger, LedgerLimits, LifeEnd, StartAnswer},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerId, LifeId, Placement, Room, RunEvent, RunReport, TaskKey, TaskStart,
            UpstreamLife, UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const CAPACITY: Room = Room { cpu_milli: 32_000, memory_mb: 1_000, accelerators: 0 };
const NEED: Room = Room { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 };
const AGENTS: usize = 5;
const TASKS: u16 = 4;
/// Crashes of upstreams under one task, after which it is never started again.
const MOST_CRASHES: u32 = 3;

fn life(id: &str, leaving: bool) -> UpstreamLife {
    let (id, pool) = (LifeId::named(id), "desk".to_owned());
    UpstreamLife { id, order_fence: 0, pool, capacity: CAPACITY, labels: Vec::new(), leaving }
}

fn task(index: u16) -> TaskKey {
    TaskKey { job: CallerId(1), step: 0, index }
}

/// A ledger that runs a task of the entry.
fn running() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(life("a", false));
    ledger.owner_heard(ENTRY, 1);
    let answer = LeaseAnswer {
        life: LifeId::named("a"),
        sent_ms: 1,
        clock_ms: 50_001,
        ..LeaseAnswer::default()
    };
    ledger.renewed(&answer, 1);
    let placement = Placement {
        job: CallerId(1),
        step: 0,
        spec: "spec".to_owned(),
        tasks: vec![TaskStart { index: 0, run: 1 }],
        need: NEED,
        run_ms: 100,
        priority: 0,
        objective_in_ms: 400,
        give_up_in_ms: 2_000,
        finishing: false,
        suspect: false,
    };
    ledger.place(ENTRY, placement, 2);
    let order = ledger.next_start(2).unwrap();
    ledger.start_answered(order.task, order.run, StartAnswer::Started, 3);
    ledger
}

fn last_event(ledger: &Ledger) -> RunEvent {
    ledger.reports(ENTRY).last().unwrap().event
}

#[test]
fn a_life_that_ends_without_a_word_is_a_crash() {
    let mut ledger = running();
    ledger.set_upstream(life("b", false));
    assert_eq!(last_event(&ledger), RunEvent::Crashed);
    let mut ledger = running();
    ledger.lose_upstream(LifeEnd::Crashed);
    assert_eq!(last_event(&ledger), RunEvent::Crashed);
}

#[test]
fn an_upstream_that_left_or_said_that_it_leaves_has_not_crashed() {
    let mut ledger = running();
    ledger.lose_upstream(LifeEnd::Left);
    assert_eq!(last_event(&ledger), RunEvent::Lost);
    let mut ledger = running();
    ledger.set_upstream(life("a", true));
    ledger.set_upstream(life("b", false));
    assert_eq!(last_event(&ledger), RunEvent::Lost);
}

#[test]
fn a_lease_that_lapsed_is_no_crash() {
    let mut ledger = running();
    ledger.check_lapse(5_000);
    assert_eq!(last_event(&ledger), RunEvent::Lost);
}

/// An entry with one job and idle agents, and what its agents have.
struct Site {
    dispatch: Dispatch,
    agents: Vec<AgentKey>,
    placed: HashMap<TaskKey, (AgentKey, u32)>,
    starts: HashMap<TaskKey, u32>,
    crashes: HashMap<TaskKey, u32>,
    reports: u64,
    answer: Option<JobAnswer>,
}

impl Site {
    fn new() -> Self {
        let mut dispatch = Dispatch::new(DispatchLimits::default(), ENTRY);
        let agents = (0..AGENTS).map(|number| {
            let name = format!("agent-{number}");
            let agent = dispatch.agent_connected(&name, Incarnation(1), None, 100);
            dispatch.agent_ready(agent, 100);
            dispatch.set_life(agent, life(&name, false));
            agent
        });
        let agents = agents.collect();
        let mut site = Self {
            dispatch,
            agents,
            placed: HashMap::new(),
            starts: HashMap::new(),
            crashes: HashMap::new(),
            reports: 0,
            answer: None,
        };
        site.agents.clone().into_iter().for_each(|agent| site.report(agent, &[]));
        let kind = KindParameters {
            name: "reach-check".to_owned(),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 4,
            stretch: 1.6,
            target_ms: 60,
        };
        let step = StepRequest { count: TASKS, need: NEED, run_ms: 100, ..StepRequest::default() };
        let request = JobRequest {
            id: CallerId(1),
            kind: Arc::new(kind),
            spec: "spec".to_owned(),
            steps: vec![step],
            arrived_ms: 100,
            deadline_ms: 10_000,
        };
        site.dispatch.submit(request, 100).unwrap();
        site.act();
        site
    }

    fn report(&mut self, agent: AgentKey, reports: &[RunReport]) {
        let load = UpstreamLoad {
            usable: true,
            capacity: CAPACITY,
            slowness_percent: 100,
            ..UpstreamLoad::default()
        };
        self.dispatch.report(agent, reports, load, u64::MAX, 100);
    }

    fn tell(&mut self, task: TaskKey, event: RunEvent) {
        let Some(&(agent, run)) = self.placed.get(&task) else { return };
        if event != RunEvent::Started {
            self.placed.remove(&task);
        }
        *self.crashes.entry(task).or_default() += u32::from(event == RunEvent::Crashed);
        self.reports += 1;
        let report = RunReport { number: self.reports, task, run, event };
        self.report(agent, &[report]);
        self.act();
    }

    fn act(&mut self) {
        for command in self.dispatch.take_commands() {
            match command {
                Command::Place(agent, placement) => {
                    for start in placement.tasks {
                        let task = task(start.index);
                        self.placed.insert(task, (agent, start.run));
                        *self.starts.entry(task).or_default() += 1;
                        let crashes = self.crashes.get(&task).copied().unwrap_or(0);
                        assert!(crashes < MOST_CRASHES, "{task} is started after {crashes}");
                    }
                }
                Command::Answer(_, answer) => self.answer = Some(answer),
                _ => {}
            }
        }
    }
}

#[test]
fn a_task_under_which_three_upstreams_crashed_is_not_started_again() {
    let mut site = Site::new();
    for _ in 0..MOST_CRASHES {
        site.tell(task(0), RunEvent::Started);
        site.tell(task(0), RunEvent::Crashed);
    }
    assert_eq!(site.starts[&task(0)], MOST_CRASHES);
    for index in 1..TASKS {
        site.tell(task(index), RunEvent::Stopped);
    }
    assert_eq!(site.answer, Some(JobAnswer::Unknown { why: GiveUp::Crashing }));
}

#[test]
fn losses_for_other_causes_count_for_nothing() {
    let mut site = Site::new();
    for _ in 0..2 * MOST_CRASHES {
        site.tell(task(0), RunEvent::Started);
        site.tell(task(0), RunEvent::Lost);
    }
    (0..TASKS).for_each(|index| site.tell(task(index), RunEvent::Done { run_ms: 100 }));
    assert_eq!(site.answer, Some(JobAnswer::Completed));
}

/// What ran on a lost upstream is placed at once; only what met two crashes is kept apart.
#[test]
fn one_crash_keeps_nothing_waiting_and_two_keep_tasks_apart() {
    let mut site = Site::new();
    let crash = |site: &mut Site| {
        for index in 0..TASKS {
            site.tell(task(index), RunEvent::Started);
            site.tell(task(index), RunEvent::Crashed);
        }
    };
    crash(&mut site);
    assert_eq!(site.placed.len(), usize::from(TASKS));
    crash(&mut site);
    let mut places: Vec<_> = site.placed.values().map(|(agent, _)| *agent).collect();
    places.sort_unstable();
    places.dedup();
    assert_eq!(places.len(), usize::from(TASKS), "each at an upstream of its own");
}

proptest! {
    /// However upstreams crash, no task is started after three crashes, and no job that did
    /// not fail itself is called failed.
    #[test]
    fn crashes_never_fail_a_job(events in vec((0..TASKS, 0..4_u8), 0..80)) {
        let mut site = Site::new();
        for (index, event) in events {
            let event = match event {
                0 => RunEvent::Started,
                1 => RunEvent::Lost,
                2 => RunEvent::Done { run_ms: 100 },
                _ => RunEvent::Crashed,
            };
            site.tell(task(index), event);
            prop_assert!(site.answer != Some(JobAnswer::Failed));
        }
    }
}

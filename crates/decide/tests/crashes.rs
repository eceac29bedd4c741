//! Upstreams that crash under tasks: told apart from other losses, and no task is started
//! again and again.

use {
    proptest::{collection::vec, prelude::*},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobKey, JobRequest,
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
const TASKS: u16 = 4;
/// The job that tests are about.
const JOB: CallerId = CallerId(1);
/// Crashes of upstreams under one task, after which it is never started again.
const MOST_CRASHES: u32 = 3;
/// Upstreams that are lost in a second where they are lost by dozens.
const LOST_IN_A_SECOND: usize = 24;
/// A job is answered within this of its last crash, in milliseconds.
const JUDGED_MS: u64 = 300;

fn life(id: &str, leaving: bool) -> UpstreamLife {
    let (id, pool) = (LifeId::named(id), "desk".to_owned());
    UpstreamLife { id, pool, capacity: CAPACITY, labels: Vec::new(), leaving }
}

fn task(index: u16) -> TaskKey {
    TaskKey { job: JOB, step: 0, index }
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

/// An entry with jobs and idle agents, and what its agents have.
struct Site {
    dispatch: Dispatch,
    now_ms: u64,
    agents: Vec<AgentKey>,
    placed: HashMap<TaskKey, (AgentKey, u32)>,
    starts: HashMap<TaskKey, u32>,
    crashes: HashMap<TaskKey, u32>,
    begun: HashSet<(TaskKey, u32)>,
    down: HashSet<AgentKey>,
    reports: u64,
    jobs: HashMap<JobKey, CallerId>,
    answers: HashMap<CallerId, JobAnswer>,
}

impl Site {
    fn new(agents: usize) -> Self {
        let mut dispatch = Dispatch::new(DispatchLimits::default(), ENTRY);
        let agents = (0..agents).map(|number| {
            let name = format!("agent-{number}");
            let agent = dispatch.agent_connected(&name, Incarnation(number as u64), None, 100);
            dispatch.agent_ready(agent, 100);
            dispatch.set_life(agent, life(&name, false));
            agent
        });
        let agents = agents.collect();
        let mut site = Self {
            dispatch,
            now_ms: 100,
            agents,
            placed: HashMap::new(),
            starts: HashMap::new(),
            crashes: HashMap::new(),
            begun: HashSet::new(),
            down: HashSet::new(),
            reports: 0,
            jobs: HashMap::new(),
            answers: HashMap::new(),
        };
        site.agents.clone().into_iter().for_each(|agent| site.report(agent, &[], true));
        site
    }

    /// The same with the job that the test is about.
    fn with_job() -> Self {
        let mut site = Self::new(5);
        site.submit(JOB, TASKS);
        site
    }

    fn submit(&mut self, id: CallerId, count: u16) {
        let kind = KindParameters {
            name: "reach-check".to_owned(),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 4,
            stretch: 1.6,
            target_ms: 60,
        };
        let step = StepRequest { count, need: NEED, run_ms: 5_000, ..StepRequest::default() };
        let request = JobRequest {
            id,
            kind: Arc::new(kind),
            spec: "spec".to_owned(),
            steps: vec![step],
            arrived_ms: self.now_ms,
            deadline_ms: self.now_ms + 20_000,
        };
        let key = self.dispatch.submit(request, self.now_ms).unwrap();
        self.jobs.insert(key, id);
        self.act();
    }

    fn report(&mut self, agent: AgentKey, reports: &[RunReport], usable: bool) {
        let here = self.placed.values().filter(|(at, _)| *at == agent).count() as u32;
        let taken = Room { cpu_milli: here * NEED.cpu_milli, ..Room::default() };
        let load = UpstreamLoad {
            usable,
            capacity: CAPACITY,
            taken,
            slowness_percent: 100,
            ..UpstreamLoad::default()
        };
        self.dispatch.report(agent, reports, load, u64::MAX, self.now_ms);
    }

    fn tell(&mut self, task: TaskKey, event: RunEvent) {
        let Some(&(agent, run)) = self.placed.get(&task) else { return };
        if event != RunEvent::Started {
            self.placed.remove(&task);
        }
        *self.crashes.entry(task).or_default() += u32::from(event == RunEvent::Crashed);
        self.reports += 1;
        let report = RunReport { number: self.reports, task, run, event };
        self.report(agent, &[report], true);
        self.act();
    }

    /// Ends the life of an agent's upstream without a word; whether another one is there
    /// at once.
    fn crash(&mut self, agent: AgentKey, comes_back: bool) {
        let here = self.placed.iter().filter(|(_, (at, _))| *at == agent);
        let mut here: Vec<_> = here.map(|(&task, &(_, run))| (task, run)).collect();
        here.sort_unstable();
        let mut reports = Vec::new();
        for (task, run) in here {
            self.placed.remove(&task);
            *self.crashes.entry(task).or_default() += 1;
            self.reports += 1;
            reports.push(RunReport { number: self.reports, task, run, event: RunEvent::Crashed });
        }
        if !comes_back {
            self.down.insert(agent);
        }
        self.report(agent, &reports, comes_back);
        self.act();
    }

    /// All that was placed begins.
    fn start_all(&mut self) {
        let begun = &self.begun;
        let is_new =
            |&(&task, &(_, run)): &(&TaskKey, &(AgentKey, u32))| !begun.contains(&(task, run));
        let mut new: Vec<_> =
            self.placed.iter().filter(is_new).map(|(&task, &(_, run))| (task, run)).collect();
        new.sort_unstable();
        for (task, run) in new {
            self.begun.insert((task, run));
            self.tell(task, RunEvent::Started);
        }
    }

    /// Lets time pass after which all agents are heard.
    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        for agent in self.agents.clone() {
            self.dispatch.message_sent(agent, None, self.now_ms);
            self.report(agent, &[], !self.down.contains(&agent));
        }
        self.dispatch.tick(self.now_ms);
        self.act();
    }

    fn answer(&self) -> Option<JobAnswer> {
        self.answers.get(&JOB).copied()
    }

    fn act(&mut self) {
        for command in self.dispatch.take_commands() {
            match command {
                Command::Place(agent, placement) => {
                    self.dispatch.message_sent(agent, Some(&placement), self.now_ms);
                    for start in placement.tasks {
                        let task = TaskKey { job: placement.job, step: 0, index: start.index };
                        self.placed.insert(task, (agent, start.run));
                        *self.starts.entry(task).or_default() += 1;
                        let crashes = self.crashes.get(&task).copied().unwrap_or(0);
                        assert!(crashes < MOST_CRASHES, "{task} is started after {crashes}");
                    }
                }
                Command::Stop(_, job) => self.stop(job),
                Command::Answer(key, answer) => {
                    self.answers.insert(self.jobs[&key], answer);
                }
                _ => {}
            }
        }
    }

    fn stop(&mut self, job: CallerId) {
        let mut here: Vec<_> = self.placed.keys().filter(|task| task.job == job).copied().collect();
        here.sort_unstable();
        here.into_iter().for_each(|task| self.tell(task, RunEvent::Stopped));
    }
}

#[test]
fn a_task_under_which_three_upstreams_crashed_fails_its_job() {
    let mut site = Site::with_job();
    for _ in 0..MOST_CRASHES {
        site.tell(task(0), RunEvent::Started);
        site.tell(task(0), RunEvent::Crashed);
    }
    assert_eq!(site.answer(), None, "others may crash yet");
    site.pass(JUDGED_MS);
    assert_eq!(site.starts[&task(0)], MOST_CRASHES);
    assert_eq!(site.answer(), Some(JobAnswer::Failed));
}

#[test]
fn losses_for_other_causes_count_for_nothing() {
    let mut site = Site::with_job();
    for _ in 0..2 * MOST_CRASHES {
        site.tell(task(0), RunEvent::Started);
        site.tell(task(0), RunEvent::Lost);
    }
    (0..TASKS).for_each(|index| site.tell(task(index), RunEvent::Done { run_ms: 100 }));
    assert_eq!(site.answer(), Some(JobAnswer::Completed));
}

/// What ran on a lost upstream is placed at once; only what met two crashes is kept apart.
#[test]
fn one_crash_keeps_nothing_waiting_and_two_keep_tasks_apart() {
    let mut site = Site::with_job();
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
    /// However upstreams crash, no task is started after three crashes, and a job is called
    /// failed only where three crashed under one of its tasks.
    #[test]
    fn crashes_alone_fail_a_job(events in vec((0..TASKS, 0..4_u8, 0..60_u64), 0..80)) {
        let mut site = Site::with_job();
        for (index, event, later_ms) in events {
            site.pass(later_ms);
            let event = match event {
                0 => RunEvent::Started,
                1 => RunEvent::Lost,
                2 => RunEvent::Done { run_ms: 100 },
                _ => RunEvent::Crashed,
            };
            site.tell(task(index), event);
            if site.answer() == Some(JobAnswer::Failed) {
                prop_assert!(site.crashes.values().any(|crashes| *crashes == MOST_CRASHES));
            }
        }
    }

    /// Jobs beside one that crashes its upstreams run on, however many there are and
    /// whenever the crashes come.
    #[test]
    fn only_the_job_that_crashes_upstreams_fails(
        innocent in 1..40_u64,
        tasks in 1..=TASKS,
        waits_ms in vec(0..400_u64, 3),
    ) {
        let mut site = Site::new(8);
        for number in 0..innocent {
            site.submit(CallerId(100 + number), tasks);
        }
        site.submit(JOB, 1);
        for wait_ms in waits_ms {
            site.start_all();
            site.pass(wait_ms);
            let (agent, _) = site.placed[&task(0)];
            site.crash(agent, true);
        }
        site.pass(JUDGED_MS);
        prop_assert_eq!(site.answer(), Some(JobAnswer::Failed));
        prop_assert_eq!(site.answers.len(), 1);
    }

}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Upstreams that are lost by dozens in a second fail no job, whichever they hit.
    #[test]
    fn a_loss_of_dozens_of_upstreams_fails_no_job(
        order in Just((0..30_usize).collect::<Vec<_>>()).prop_shuffle(),
        hunted in any::<bool>(),
    ) {
        let mut site = Site::new(order.len());
        for number in 0..40 {
            site.submit(CallerId(number), TASKS);
        }
        let mut up: Vec<_> = order.iter().map(|&number| site.agents[number]).collect();
        for _ in 0..LOST_IN_A_SECOND {
            site.start_all();
            // The worst order follows one task from upstream to upstream.
            let of_job = site.placed.get(&task(0)).filter(|_| hunted).map(|(agent, _)| *agent);
            let lost = of_job.unwrap_or(up[0]);
            up.retain(|agent| *agent != lost);
            site.crash(lost, false);
            site.pass(40);
        }
        site.pass(JUDGED_MS);
        prop_assert!(!site.answers.values().any(|answer| *answer == JobAnswer::Failed));
    }
}

//! Run times of upstreams: what is usual for one is a property of its VM, a slow spell passes, and
//! entries place tasks by both.

use {
    std::sync::Arc,
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobRequest, KindParameters, StepRequest,
        },
        ledger::{EndKind, LeaseAnswer, Ledger, LedgerLimits, RunEnd, StartAnswer},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, NotStarted, PlacementTarget, Resources, RunEvent,
            StepPlacement, TaskKey, TaskStart, UpstreamInstance, UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
const NEED: Resources = Resources { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 };
const ESTIMATE_MS: u32 = 100;

fn instance(id: &str) -> UpstreamInstance {
    UpstreamInstance {
        id: InstanceId::without_start(id),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: CAPACITY,
        labels: Vec::new(),
        leaving: false,
    }
}

/// An agent whose upstream runs one task after the other.
struct Agent {
    ledger: Ledger,
    now_ms: u64,
    jobs: u64,
    ends: u64,
}

impl Agent {
    fn new() -> Self {
        let mut agent =
            Self { ledger: Ledger::new(LedgerLimits::default()), now_ms: 1, jobs: 0, ends: 0 };
        agent.ledger.set_upstream(instance("a"));
        agent.renew(&[]);
        agent
    }

    fn renew(&mut self, ended: &[RunEnd]) {
        let answer = LeaseAnswer {
            instance: self.ledger.current_instance().cloned().unwrap_or_default(),
            fence: 0,
            sent_ms: self.now_ms,
            clock_ms: self.now_ms,
            running: Vec::new(),
            ended: ended.to_vec(),
        };
        self.ledger.handle_renewal_answer(&answer, self.now_ms);
    }

    fn place(&mut self, give_up_in_ms: u32) -> TaskKey {
        self.jobs += 1;
        let job = CallerJobId(self.jobs);
        self.ledger.note_owner_contact(ENTRY, self.now_ms);
        let known = self.ledger.announced_instance().unwrap();
        let placement = StepPlacement {
            job,
            step: 0,
            target: PlacementTarget {
                instance: known.id.clone(),
                pool: known.pool.clone(),
                required_label: None,
            },
            spec: "spec".to_owned(),
            tasks: vec![TaskStart { index: 0, run: 1 }],
            need: NEED,
            run_ms: ESTIMATE_MS,
            priority: 1,
            objective_in_ms: give_up_in_ms,
            give_up_in_ms,
            job_mostly_started: false,
            age_ms: 0,
            suspect: false,
        };
        self.ledger.place(ENTRY, placement, self.now_ms);
        TaskKey { job, step: 0, index: 0 }
    }

    /// Runs tasks that take `run_ms` each.
    fn run(&mut self, count: u64, run_ms: u64) {
        for _ in 0..count {
            let task = self.place(10_000);
            self.renew(&[]);
            assert!(self.ledger.next_start(self.now_ms).is_some());
            self.ledger.handle_start_answer(task, 1, StartAnswer::Started, self.now_ms);
            self.now_ms += run_ms;
            self.ends += 1;
            self.renew(&[RunEnd { number: self.ends, task, run: 1, kind: EndKind::Done }]);
        }
    }

    fn slowness_percent(&self, after_ms: u64) -> u32 {
        self.ledger.load(self.now_ms + after_ms).slowness_percent
    }
}

/// Run times that are off the estimates by no more than usual were reported as normal, so that
/// tasks waited at slow upstreams while fast ones were free.
#[test]
fn a_lasting_speed_is_learned() {
    for (run_ms, expected) in [(55, 50..=62), (120, 112..=125), (218, 200..=225)] {
        let mut agent = Agent::new();
        agent.run(100, run_ms);
        assert!(expected.contains(&agent.slowness_percent(0)), "{}", agent.slowness_percent(0));
        assert!(expected.contains(&agent.slowness_percent(10_000)), "it does not fade");
    }
}

#[test]
fn a_slow_spell_passes_and_leaves_the_lasting_speed() {
    let mut agent = Agent::new();
    agent.run(100, 55);
    agent.run(15, 400);
    assert!(agent.slowness_percent(0) > 250);
    let later = agent.slowness_percent(10_000);
    assert!((50..=62).contains(&later), "{later}");
    assert_eq!(agent.ledger.load(agent.now_ms).capacity.cpu_milli, 1_000, "on trial");
    agent.run(20, 55);
    assert_eq!(agent.ledger.load(agent.now_ms).capacity, CAPACITY);
}

/// The room on trial was computed in 32 bits: a room that is valid, but larger than any VM's,
/// made the agent panic.
#[test]
fn a_room_too_large_for_any_vm_is_counted_on_trial() {
    let mut agent = Agent::new();
    agent.run(100, 55);
    agent.run(15, 400);
    let capacity = Resources { cpu_milli: u32::MAX, ..CAPACITY };
    agent.ledger.set_upstream(UpstreamInstance { capacity, ..instance("a") });
    assert_eq!(agent.ledger.load(agent.now_ms).capacity.cpu_milli, u32::MAX / 10);
}

/// An upstream that stays slow must not be on trial for ever.
#[test]
fn a_slow_spell_that_lasts_is_the_new_speed() {
    let mut agent = Agent::new();
    agent.run(100, 55);
    agent.run(60, 300);
    assert_eq!(agent.ledger.load(agent.now_ms).capacity, CAPACITY);
    assert!((250..=330).contains(&agent.slowness_percent(10_000)));
}

/// A kind whose estimates are far too long must not make runs that take as long as estimated look
/// slow, or their tasks too late.
#[test]
fn other_kinds_bear_no_estimates_that_are_too_long() {
    let mut agent = Agent::new();
    agent.run(200, 5);
    agent.run(10, 100);
    assert!(agent.slowness_percent(0) <= 100);
    assert_eq!(agent.ledger.load(agent.now_ms).capacity, CAPACITY);
    let task = agent.place(10_000);
    agent.renew(&[]);
    assert!(agent.ledger.next_start(agent.now_ms).is_some());
    agent.ledger.handle_start_answer(task, 1, StartAnswer::Started, agent.now_ms);
    assert!(agent.slowness_percent(100) <= 100, "not overdue");
}

/// The next instance usually runs on the same VM, and shows soon where it does not.
#[test]
fn the_next_instance_starts_with_the_known_speed() {
    let mut agent = Agent::new();
    agent.run(100, 55);
    agent.ledger.handle_withdrawal("a", agent.now_ms);
    agent.ledger.set_upstream(instance("b"));
    assert!((50..=62).contains(&agent.slowness_percent(0)));
}

/// A fast upstream refused tasks as too late that its entry placed there again at once.
#[test]
fn a_task_that_ends_in_time_at_this_speed_is_kept() {
    let mut agent = Agent::new();
    agent.run(100, 55);
    let task = agent.place(80);
    agent.renew(&[]);
    agent.ledger.drop_expired(agent.now_ms);
    assert!(agent.ledger.next_start(agent.now_ms).is_some());
    let too_late = |event| event == RunEvent::NotStarted(NotStarted::TooLate);
    let mut events = agent.ledger.reports(ENTRY).into_iter();
    assert!(!events.any(|report| report.task == task && too_late(report.event)));
}

/// An entry with one agent for each given slowness.
struct Site {
    dispatch: Dispatch,
    agents: Vec<AgentKey>,
}

const SITE_START_MS: u64 = 100;

impl Site {
    fn new(loads: &[UpstreamLoad]) -> Self {
        let mut dispatch = Dispatch::new(DispatchLimits::default(), Incarnation(1));
        let connect = |(number, load): (usize, &UpstreamLoad)| {
            let name = format!("agent-{number}");
            let agent = dispatch.agent_connected(&name, Incarnation(1), None, SITE_START_MS);
            dispatch.agent_ready(agent, SITE_START_MS);
            dispatch.set_instance(agent, instance("a"));
            dispatch.handle_report(agent, &[], *load, 0, SITE_START_MS);
            agent
        };
        let agents = loads.iter().enumerate().map(connect).collect();
        Self { dispatch, agents }
    }

    /// Positions of the agents that get the tasks of a new job.
    fn place(&mut self, id: u64, count: u16, run_ms: u32) -> Vec<usize> {
        let step = StepRequest { count, need: NEED, run_ms, ..StepRequest::default() };
        self.place_step(id, step)
    }

    fn place_step(&mut self, id: u64, step: StepRequest) -> Vec<usize> {
        let kind = KindParameters {
            name: format!("kind-{}", step.run_ms),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch: 1.6,
            target_ms: 60,
        };
        let request = JobRequest {
            id: CallerJobId(id),
            kind: Arc::new(kind),
            spec: "spec".to_owned(),
            steps: vec![step],
            arrived_ms: SITE_START_MS,
            deadline_ms: SITE_START_MS + 10_000,
        };
        self.dispatch.submit(request, SITE_START_MS).unwrap();
        let commands = self.dispatch.take_commands();
        let mut agents = Vec::new();
        for command in commands {
            if let Command::Place(agent, placement) = command {
                self.dispatch.message_sent(agent, Some(&placement), SITE_START_MS);
                agents.push((agent, placement.tasks.len()));
            }
        }
        let position = |agent| self.agents.iter().position(|known| *known == agent).unwrap();
        agents.into_iter().flat_map(|(agent, tasks)| vec![position(agent); tasks]).collect()
    }
}

fn load(slowness_percent: u32, taken_milli: u32) -> UpstreamLoad {
    let taken = Resources { cpu_milli: taken_milli, ..Resources::default() };
    UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        taken,
        slowness_percent,
        ..UpstreamLoad::default()
    }
}

/// What is on time on a slow upstream leaves the fast ones to what is not.
#[test]
fn tasks_go_to_upstreams_on_which_they_are_on_time() {
    let loads = [load(218, 0), load(100, 6_000), load(100, 6_000)];
    let mut site = Site::new(&loads);
    assert_eq!(site.place(1, 3, 60), [0, 0, 0], "in time on the slow one, which has more room");
    let long = site.place(2, 3, 900);
    assert!(long.iter().all(|agent| *agent > 0), "{long:?}");
}

/// Upstreams that differ by less than an estimate may be off got the long tasks in turns, by the
/// errors of their averages.
#[test]
fn differences_within_the_error_of_an_estimate_are_ignored() {
    let full = |slowness_percent| UpstreamLoad {
        waiting_milli_ms: [5_000_000, 0, 0, 0],
        ..load(slowness_percent, 10_000)
    };
    let mut site = Site::new(&[full(79), full(100), full(126)]);
    let mut placed: Vec<_> = (1..=3).flat_map(|id| site.place(id, 1, 900)).collect();
    placed.sort_unstable();
    assert_eq!(placed, [0, 1, 2], "by what was placed before");
}

/// Tasks queued at fast upstreams while others, on which they would have been on time, were free.
#[test]
fn a_task_waits_for_no_fast_upstream_while_it_is_on_time_elsewhere() {
    let fast = UpstreamLoad { waiting_milli_ms: [500_000, 0, 0, 0], ..load(46, 10_000) };
    let mut site = Site::new(&[fast, load(100, 5_000), load(100, 5_000)]);
    for id in 1..=4 {
        assert!(!site.place(id, 1, 200).contains(&0));
    }
}

/// A task away from its data takes longer, so that being on time there is not as good.
#[test]
fn a_task_goes_to_its_preferred_label_although_others_have_more_room() {
    let mut site = Site::new(&[load(100, 5_000), load(100, 0)]);
    let near = UpstreamInstance { labels: vec!["rack-1".to_owned()], ..instance("a") };
    site.dispatch.set_instance(site.agents[0], near);
    let preferred_label = Some("rack-1".to_owned());
    let step = StepRequest {
        count: 2,
        need: NEED,
        run_ms: 200,
        preferred_label,
        ..StepRequest::default()
    };
    assert_eq!(site.place_step(1, step), [0, 0]);
}

//! Upstreams that crash under tasks: crashes are told apart from other losses, and no task is
//! started again and again.

use {
    proptest::{collection::vec, prelude::*},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobKey, JobRequest,
            KindParameters, NoResultReason, StepRequest,
        },
        ledger::{InstanceEnd, LeaseAnswer, Ledger, LedgerLimits, StartAnswer},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, PlacementTarget, Resources, RunEvent, RunReport,
            StepPlacement, TaskCrashes, TaskKey, TaskStart, UpstreamInstance, UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const CAPACITY: Resources = Resources { cpu_milli: 32_000, memory_mb: 1_000, accelerators: 0 };
const NEED: Resources = Resources { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 };
const TASKS: u16 = 4;
/// The job under test.
const JOB: CallerJobId = CallerJobId(1);
/// Crashes of upstreams under one task after which it is never started again.
const MAX_CRASHES: u32 = 3;
/// Upstreams lost within a second in a mass loss.
const LOST_IN_A_SECOND: usize = 24;
/// Time within which a job is answered after its last crash, in milliseconds.
const VERDICT_MS: u64 = 1_350;

fn life(id: &str, leaving: bool) -> UpstreamInstance {
    let (id, pool) = (InstanceId::without_start(id), "desk".to_owned());
    UpstreamInstance { id, order_fence: 0, pool, capacity: CAPACITY, labels: Vec::new(), leaving }
}

fn task(index: u16) -> TaskKey {
    TaskKey { job: JOB, step: 0, index }
}

/// Creates a ledger that runs a task of the entry.
fn running() -> Ledger {
    let mut ledger = ordered();
    ledger.handle_start_answer(task(0), 1, StartAnswer::Started, 3);
    ledger
}

/// A ledger with an order that was not answered.
fn ordered() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(life("a", false));
    ledger.note_owner_contact(ENTRY, 1);
    let answer = LeaseAnswer {
        instance: InstanceId::without_start("a"),
        sent_ms: 1,
        clock_ms: 50_001,
        ..LeaseAnswer::default()
    };
    ledger.handle_renewal_answer(&answer, 1);
    let placement = StepPlacement {
        job: CallerJobId(1),
        step: 0,
        target: PlacementTarget {
            instance: InstanceId::without_start("a"),
            pool: "desk".to_owned(),
            required_label: None,
        },
        spec: "spec".to_owned(),
        tasks: vec![TaskStart { index: 0, run: 1 }],
        need: NEED,
        run_ms: 100,
        priority: 0,
        objective_in_ms: 400,
        give_up_in_ms: 2_000,
        job_mostly_started: false,
        age_ms: 0,
        suspect: false,
    };
    ledger.place(ENTRY, placement, 2);
    ledger.next_start(2).unwrap();
    ledger
}

fn last_event(ledger: &Ledger) -> RunEvent {
    ledger.reports(ENTRY).last().unwrap().event
}

#[test]
fn an_instance_that_ends_without_notice_has_crashed() {
    let mut ledger = running();
    ledger.set_upstream(life("b", false));
    assert_eq!(last_event(&ledger), RunEvent::Crashed);
    let mut ledger = running();
    ledger.end_instance(InstanceEnd::Crashed);
    assert_eq!(last_event(&ledger), RunEvent::Crashed);
}

#[test]
fn an_upstream_that_left_or_announced_leaving_has_not_crashed() {
    let mut ledger = running();
    ledger.end_instance(InstanceEnd::Left);
    assert_eq!(last_event(&ledger), RunEvent::Lost);
    let mut ledger = running();
    ledger.set_upstream(life("a", true));
    ledger.set_upstream(life("b", false));
    assert_eq!(last_event(&ledger), RunEvent::Lost);
}

#[test]
fn a_lease_that_lapsed_is_no_crash() {
    let mut ledger = running();
    ledger.check_lease_lapse(5_000);
    assert_eq!(last_event(&ledger), RunEvent::Lost);
}

/// Creates an entry with this many connected agents.
/// Guards against crashes at the same time that look unrelated because one agent learns later than
/// others that its upstream's process is gone.
#[test]
fn a_crash_is_dated_by_the_refused_connections() {
    for is_answered in [true, false] {
        let mut ledger = if is_answered { running() } else { ordered() };
        ledger.handle_refused_connections(60);
        ledger.check_lease_lapse(2_000);
        assert_eq!(last_event(&ledger), RunEvent::Crashed);
        let (crashes, _) = ledger.crashes_after(0, ENTRY, 2_000);
        assert_eq!(crashes.iter().map(|crash| crash.ago_ms).collect::<Vec<_>>(), [2_000 - 60]);
    }
}

fn entry_with(agents: usize, now_ms: u64) -> (Dispatch, Vec<AgentKey>) {
    let mut dispatch = Dispatch::new(DispatchLimits::default(), ENTRY);
    let agents = (0..agents).map(|number| {
        let name = format!("agent-{number}");
        let agent = dispatch.agent_connected(&name, Incarnation(number as u64), None, now_ms);
        dispatch.agent_ready(agent, now_ms);
        dispatch.set_instance(agent, life(&name, false));
        agent
    });
    let agents = agents.collect();
    (dispatch, agents)
}

fn request(id: CallerJobId, count: u16, now_ms: u64) -> JobRequest {
    let kind = KindParameters {
        name: "reach-check".to_owned(),
        pool: "desk".to_owned(),
        priority: 0,
        max_attempts: 4,
        stretch: 1.6,
        target_ms: 60,
    };
    let step = StepRequest { count, need: NEED, run_ms: 5_000, ..StepRequest::default() };
    JobRequest {
        id,
        kind: Arc::new(kind),
        spec: "spec".to_owned(),
        steps: vec![step],
        arrived_ms: now_ms,
        deadline_ms: now_ms + 20_000,
    }
}

/// An entry with jobs and idle agents, and the state of those agents.
struct Site {
    dispatch: Dispatch,
    now_ms: u64,
    agents: Vec<AgentKey>,
    placed: HashMap<TaskKey, (AgentKey, u32)>,
    starts: HashMap<TaskKey, u32>,
    crashes: HashMap<TaskKey, u32>,
    begun: HashSet<(TaskKey, u32)>,
    /// Crashes by agent and task, with the time of the last one.
    at_agents: HashMap<(AgentKey, TaskKey), (u8, u64)>,
    down: HashSet<AgentKey>,
    reports: u64,
    jobs: HashMap<JobKey, CallerJobId>,
    answers: HashMap<CallerJobId, JobAnswer>,
}

impl Site {
    fn new(agents: usize) -> Self {
        let (dispatch, agents) = entry_with(agents, 100);
        let mut site = Self {
            dispatch,
            now_ms: 100,
            agents,
            placed: HashMap::new(),
            starts: HashMap::new(),
            crashes: HashMap::new(),
            begun: HashSet::new(),
            at_agents: HashMap::new(),
            down: HashSet::new(),
            reports: 0,
            jobs: HashMap::new(),
            answers: HashMap::new(),
        };
        site.agents.clone().into_iter().for_each(|agent| site.report(agent, &[], true));
        site
    }

    /// Creates the same with the job under test submitted.
    fn with_job() -> Self {
        let mut site = Self::new(5);
        site.submit(JOB, TASKS);
        site
    }

    fn submit(&mut self, id: CallerJobId, count: u16) {
        match self.dispatch.submit(request(id, count, self.now_ms), self.now_ms) {
            Ok(key) => drop(self.jobs.insert(key, id)),
            Err(answer) => drop(self.answers.insert(id, answer)),
        }
        self.act();
    }

    fn report(&mut self, agent: AgentKey, reports: &[RunReport], usable: bool) {
        let here = self.placed.values().filter(|(at, _)| *at == agent).count() as u32;
        let taken = Resources { cpu_milli: here * NEED.cpu_milli, ..Resources::default() };
        let load = UpstreamLoad {
            usable,
            capacity: CAPACITY,
            taken,
            slowness_percent: 100,
            ..UpstreamLoad::default()
        };
        self.dispatch.handle_report(agent, reports, load, u64::MAX, self.now_ms);
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

    /// Crashes an agent's upstream. `comes_back`: whether a new instance is there at once.
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

    /// Starts all placed tasks.
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

    /// Advances the time; all agents report before the tick.
    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        for agent in self.agents.clone() {
            self.dispatch.message_sent(agent, None, self.now_ms);
            self.report(agent, &[], !self.down.contains(&agent));
        }
        self.dispatch.tick(self.now_ms);
        self.act();
    }

    /// Crashes the upstream of the task's agent while nothing else of interest runs there. The
    /// agent sends the crash to all entries before it reports the run.
    fn crash_and_report(&mut self, task: TaskKey) {
        let Some(&(agent, _)) = self.placed.get(&task) else { return };
        let known = self.at_agents.entry((agent, task)).or_default();
        *known = (known.0 + 1, self.now_ms);
        let crashes = known.0;
        let told = TaskCrashes { agent: self.run_of(agent), task, crashes, ago_ms: 0 };
        self.dispatch.record_crash_reports(&[told], self.now_ms);
        self.tell(task, RunEvent::Crashed);
    }

    fn run_of(&self, agent: AgentKey) -> Incarnation {
        Incarnation(self.agents.iter().position(|known| *known == agent).unwrap() as u64)
    }

    /// Replaces the entry by a new one, to which the agents send the crashes they know.
    fn replace_entry(&mut self) {
        let (dispatch, agents) = entry_with(self.agents.len(), self.now_ms);
        assert_eq!(agents, self.agents);
        self.dispatch = dispatch;
        self.placed.clear();
        self.jobs.clear();
        self.begun.clear();
        self.pass(10);
        for (&(agent, task), &(crashes, at_ms)) in &self.at_agents {
            let ago_ms = u32::try_from(self.now_ms - at_ms).unwrap();
            self.dispatch.record_crash_reports(
                &[TaskCrashes { agent: self.run_of(agent), task, crashes, ago_ms }],
                self.now_ms,
            );
        }
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
                        assert!(crashes < MAX_CRASHES, "{task} is started after {crashes}");
                    }
                }
                Command::Stop(_, job) => self.stop(job),
                Command::Answer(key, answer) => {
                    let id = self.jobs.remove(&key).unwrap();
                    self.answers.insert(id, answer);
                }
                _ => {}
            }
        }
    }

    fn stop(&mut self, job: CallerJobId) {
        let mut here: Vec<_> = self.placed.keys().filter(|task| task.job == job).copied().collect();
        here.sort_unstable();
        here.into_iter().for_each(|task| self.tell(task, RunEvent::Stopped));
    }
}

#[test]
fn a_task_under_which_three_upstreams_crashed_fails_its_job() {
    let mut site = Site::with_job();
    for _ in 0..MAX_CRASHES {
        site.tell(task(0), RunEvent::Started);
        site.tell(task(0), RunEvent::Crashed);
    }
    assert_eq!(site.answer(), None, "other upstreams may still crash");
    site.pass(VERDICT_MS);
    assert_eq!(site.starts[&task(0)], MAX_CRASHES);
    assert_eq!(site.answer(), Some(JobAnswer::Failed));
}

/// Guards against a job that is called failed because agents of other upstreams that were lost with
/// its own learn of it a second later, as their leases end.
#[test]
fn a_loss_that_other_agents_learn_of_late_fails_no_job() {
    const LATE_MS: u32 = 1_040;
    let mut site = Site::new(9);
    site.submit(JOB, TASKS);
    let crashed: HashSet<_> = (0..MAX_CRASHES)
        .map(|_| {
            let (agent, _) = site.placed[&task(0)];
            site.crash_and_report(task(0));
            agent
        })
        .collect();
    site.pass(LATE_MS.into());
    let others = site.agents.iter().filter(|agent| !crashed.contains(agent));
    let others: Vec<_> = others.map(|agent| site.run_of(*agent)).collect();
    for agent in others {
        let task = TaskKey { job: CallerJobId(99), ..task(0) };
        let told = TaskCrashes { agent, task, crashes: 1, ago_ms: LATE_MS };
        site.dispatch.record_crash_reports(&[told], site.now_ms);
    }
    site.pass(VERDICT_MS);
    assert_eq!(site.answer(), Some(JobAnswer::Unknown { reason: NoResultReason::Crashing }));
}

#[test]
fn a_crash_that_is_told_and_reported_counts_once() {
    let mut site = Site::with_job();
    site.crash_and_report(task(0));
    site.crash_and_report(task(0));
    site.pass(VERDICT_MS);
    assert_eq!(site.answer(), None);
    site.crash_and_report(task(0));
    site.pass(VERDICT_MS);
    assert_eq!(site.answer(), Some(JobAnswer::Failed));
}

#[test]
fn a_job_that_crashed_three_upstreams_is_refused_by_another_entry() {
    let mut site = Site::with_job();
    (0..MAX_CRASHES).for_each(|_| site.crash_and_report(task(0)));
    site.replace_entry();
    site.submit(JOB, TASKS);
    assert_eq!(
        site.answer(),
        Some(JobAnswer::Unknown { reason: NoResultReason::Crashing }),
        "not judged yet"
    );
    site.pass(VERDICT_MS);
    site.submit(JOB, TASKS);
    assert_eq!(site.answer(), Some(JobAnswer::Failed));
    assert!(site.placed.is_empty());
}

/// Guards against crashes before an entry's start being dated as of now, so that their job was
/// not answered as failed: the entry's clock counts from its start.
#[test]
fn a_crash_before_the_entry_started_keeps_its_age() {
    let (mut dispatch, _) = entry_with(3, 10);
    for run in 0..3 {
        let told =
            TaskCrashes { agent: Incarnation(run), task: task(0), crashes: 1, ago_ms: 5_000 };
        dispatch.record_crash_reports(&[told], 10);
    }
    assert_eq!(dispatch.submit(request(JOB, 1, 10), 10), Err(JobAnswer::Failed));
}

/// A copy of the job runs here while the first one crashes upstreams for another entry.
#[test]
fn a_copy_is_given_up_when_agents_report_crashes() {
    let mut site = Site::with_job();
    site.start_all();
    for run in 0..3 {
        let told = TaskCrashes { agent: Incarnation(run), task: task(0), crashes: 1, ago_ms: 0 };
        site.dispatch.record_crash_reports(&[told], site.now_ms);
    }
    site.act();
    site.pass(VERDICT_MS);
    assert_eq!(site.answer(), Some(JobAnswer::Failed));
}

/// An entry that has just started may receive a job before all agents have sent it their crashes.
#[test]
fn one_agent_is_enough_to_report_a_suspect() {
    let later_ms = 100 + VERDICT_MS;
    let mut first = entry_with(3, 100).0;
    let told = |run| TaskCrashes { agent: Incarnation(run), task: task(0), crashes: 1, ago_ms: 0 };
    assert_eq!(first.record_crash_reports(&[told(0)], 100), [], "one crash makes no suspect");
    let mut of_suspects = first.record_crash_reports(&[told(1)], 100);
    of_suspects.extend(first.record_crash_reports(&[told(2)], 100));
    let mut agent = Ledger::new(LedgerLimits::default());
    agent.learn_crashes(&of_suspects, Incarnation(9), 100);
    let (known, _) = agent.crashes_after(0, Incarnation(9), later_ms);
    let mut next = entry_with(3, later_ms).0;
    next.record_crash_reports(&known, later_ms);
    assert_eq!(next.submit(request(JOB, 1, later_ms), later_ms), Err(JobAnswer::Failed));
    assert_eq!(
        first.record_crash_reports(&known, later_ms),
        [],
        "known crashes are not passed on again"
    );
}

#[test]
fn the_log_of_crashes_is_bounded_in_time() {
    let own = Incarnation(5);
    let mut ledger = running();
    ledger.end_instance(InstanceEnd::Crashed);
    ledger.drop_expired(10);
    let (told, last) = ledger.crashes_after(0, own, 40);
    assert_eq!(told, [TaskCrashes { agent: own, task: task(0), crashes: 1, ago_ms: 30 }]);
    assert_eq!(ledger.crashes_after(last, own, 40), (vec![], last));
    ledger.learn_crashes(&told, own, 40);
    assert_eq!(ledger.crashes_after(last, own, 40), (vec![], last), "its own crashes are not new");
    ledger.drop_expired(59_000);
    assert_eq!(ledger.crashes_after(0, own, 59_000).0.len(), 1);
    ledger.drop_expired(61_000);
    assert_eq!(ledger.crashes_after(0, own, 61_000).0, []);
}

#[test]
fn the_log_of_crashes_is_bounded_in_number() {
    let mut ledger = Ledger::new(LedgerLimits::default());
    for index in 0..1_000 {
        let told = TaskCrashes { agent: Incarnation(1), task: task(index), crashes: 2, ago_ms: 0 };
        ledger.learn_crashes(&[told], Incarnation(5), 100);
    }
    let (kept, last) = ledger.crashes_after(0, Incarnation(5), 100);
    assert_eq!((kept.len(), last), (512, 1_000));
    assert_eq!(kept.last().unwrap().task, task(999));
}

#[test]
fn losses_for_other_causes_are_not_crashes() {
    let mut site = Site::with_job();
    for _ in 0..2 * MAX_CRASHES {
        site.tell(task(0), RunEvent::Started);
        site.tell(task(0), RunEvent::Lost);
    }
    (0..TASKS).for_each(|index| site.tell(task(index), RunEvent::Done { run_ms: 100 }));
    assert_eq!(site.answer(), Some(JobAnswer::Completed));
}

/// Tasks of a lost upstream are placed again at once; only tasks with two crashes run apart.
#[test]
fn one_crash_delays_no_task_and_two_keep_tasks_apart() {
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
    assert_eq!(places.len(), usize::from(TASKS), "each task at its own upstream");
}

proptest! {
    /// However upstreams crash, no task is started after three crashes, and a job fails only if
    /// three upstreams crashed under one of its tasks.
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
                prop_assert!(site.crashes.values().any(|crashes| *crashes == MAX_CRASHES));
            }
        }
    }

    /// However often entries die and the job is submitted again, no task is started after three
    /// crashes, and a task that crashed three upstreams fails its job.
    #[test]
    fn crashes_count_over_the_deaths_of_entries(
        deaths in vec((any::<bool>(), 0..300_u64), 1..12),
    ) {
        let mut site = Site::new(5);
        for (dies, wait_ms) in deaths {
            if dies {
                site.replace_entry();
            }
            if site.jobs.is_empty() {
                site.submit(JOB, 1);
            }
            site.start_all();
            site.crash_and_report(task(0));
            site.pass(wait_ms);
        }
        let crashes = site.crashes.get(&task(0)).copied().unwrap_or(0);
        prop_assert!(crashes <= MAX_CRASHES);
        if crashes == MAX_CRASHES {
            site.replace_entry();
            site.pass(VERDICT_MS);
            site.submit(JOB, 1);
            prop_assert_eq!(site.answer(), Some(JobAnswer::Failed));
        }
    }

    /// Jobs beside one that crashes its upstreams continue, however many there are and whenever
    /// the crashes come.
    #[test]
    fn only_the_job_that_crashes_upstreams_fails(
        innocent in 1..40_u64,
        tasks in 1..=TASKS,
        waits_ms in vec(0..400_u64, 3),
    ) {
        let mut site = Site::new(8);
        for number in 0..innocent {
            site.submit(CallerJobId(100 + number), tasks);
        }
        site.submit(JOB, 1);
        for wait_ms in waits_ms {
            site.start_all();
            site.pass(wait_ms);
            let (agent, _) = site.placed[&task(0)];
            site.crash(agent, true);
        }
        site.pass(VERDICT_MS);
        prop_assert_eq!(site.answer(), Some(JobAnswer::Failed));
        prop_assert_eq!(site.answers.len(), 1);
    }

}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// A loss of dozens of upstreams within a second fails no job, whichever upstreams are hit.
    #[test]
    fn a_loss_of_dozens_of_upstreams_fails_no_job(
        order in Just((0..30_usize).collect::<Vec<_>>()).prop_shuffle(),
        hunted in any::<bool>(),
    ) {
        let mut site = Site::new(order.len());
        for number in 0..40 {
            site.submit(CallerJobId(number), TASKS);
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
        site.pass(VERDICT_MS);
        prop_assert!(!site.answers.values().any(|answer| *answer == JobAnswer::Failed));
    }
}

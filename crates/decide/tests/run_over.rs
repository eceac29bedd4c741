//! What shows that a run is over, on each path by which its task is placed again.

use {
    std::sync::Arc,
    sycamorerail_decide::dispatch::{
        AgentKey, Command, Dispatch, DispatchLimits, JobRequest, KindParameters, LossCause,
        RunOver, StepRequest,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, NotStarted, Resources, RunEvent, RunReport, TaskKey,
            UpstreamInstance, UpstreamLoad,
        },
    },
};

const ENTRY: Incarnation = Incarnation(7);
const AGENT: Incarnation = Incarnation(1);
const CAPACITY: Resources = Resources { cpu_milli: 1_000, memory_mb: 1_000, accelerators: 0 };
const JOB: CallerJobId = CallerJobId(1);
const TASK: TaskKey = TaskKey { job: JOB, step: 0, index: 0 };

fn upstream(id: &str) -> UpstreamInstance {
    UpstreamInstance {
        id: InstanceId::without_start(id),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: CAPACITY,
        labels: Vec::new(),
        leaving: false,
    }
}

fn load() -> UpstreamLoad {
    UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    }
}

fn job(arrived_ms: u64) -> JobRequest {
    JobRequest {
        id: JOB,
        kind: Arc::new(KindParameters {
            name: "kind".to_owned(),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch: 2.0,
            target_ms: 1_000,
        }),
        spec: "spec".to_owned(),
        steps: vec![StepRequest {
            count: 1,
            need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
            run_ms: 5_000,
            ..StepRequest::default()
        }],
        arrived_ms,
        deadline_ms: arrived_ms + 20_000,
    }
}

fn connect(entry: &mut Dispatch, name: &str, now_ms: u64) -> AgentKey {
    let key = entry.agent_connected(name, AGENT, None, now_ms);
    entry.agent_ready(key, now_ms);
    entry.set_instance(key, upstream(name));
    entry.handle_report(key, &[], load(), 1, now_ms);
    key
}

fn reports(entry: &mut Dispatch, agent: AgentKey, reports: &[RunReport], now_ms: u64) {
    entry.message_sent(agent, None, now_ms);
    // Covers all messages that were sent so far.
    entry.handle_report(agent, reports, load(), now_ms, now_ms);
}

fn report(number: u64, run: u32, event: RunEvent) -> RunReport {
    RunReport { number, task: TASK, run, event }
}

/// Longer than any path waits for what shows that a run is over.
const PATIENCE_MS: u64 = 10_000;
const NEXT_PROCESS: Incarnation = Incarnation(2);

/// An entry whose task runs at the one of its two agents, from 110 ms on.
struct Site {
    entry: Dispatch,
    at: AgentKey,
    other: AgentKey,
}

impl Site {
    fn new() -> Self {
        let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
        let (one, two) = (connect(&mut entry, "one", 100), connect(&mut entry, "two", 100));
        entry.submit(job(100), 100).unwrap();
        let commands = entry.take_commands();
        let [Command::Place(at, _)] = commands[..] else { panic!("{commands:?}") };
        reports(&mut entry, at, &[report(1, 1, RunEvent::Started)], 110);
        entry.take_commands();
        Self { entry, at, other: if at == one { two } else { one } }
    }

    fn name(&self) -> String {
        self.entry.agent_silence(self.at, 110).unwrap().0.to_owned()
    }

    /// Whether the task was placed since the last call.
    fn is_placed(&mut self) -> bool {
        let is_place = |command: &Command| matches!(command, Command::Place(..));
        self.entry.take_commands().iter().any(is_place)
    }

    /// Lets time pass until the task is placed again, with the other agent in contact. Returns when.
    fn pass(&mut self, from_ms: u64) -> u64 {
        for now_ms in (from_ms..PATIENCE_MS).step_by(10) {
            reports(&mut self.entry, self.other, &[], now_ms);
            self.entry.tick(now_ms);
            if self.is_placed() {
                return now_ms;
            }
        }
        panic!("not placed again within {PATIENCE_MS} ms");
    }

    fn over(&self) -> RunOver {
        let (run, over) = self.entry.last_over(TASK).unwrap();
        assert_eq!(run, 1);
        over
    }
}

/// Guards against a task that is placed again beside a run that its agent has not ended.
#[test]
fn a_task_is_placed_again_as_its_run_is_reported_to_be_over() {
    let not_started = [
        NotStarted::Leaving,
        NotStarted::Evacuated,
        NotStarted::Withdrawn,
        NotStarted::NoUpstream,
        NotStarted::OldRun,
        NotStarted::NoRoom,
        NotStarted::Refused,
        NotStarted::Unanswered,
    ];
    let ends =
        [RunEvent::Stopped, RunEvent::Lost, RunEvent::Crashed, RunEvent::Failed { run_ms: 5 }];
    for event in not_started.map(RunEvent::NotStarted).into_iter().chain(ends) {
        let mut site = Site::new();
        reports(&mut site.entry, site.at, &[], 120);
        assert!(!site.is_placed(), "before {event:?}");
        // Of another run, and of another agent.
        reports(&mut site.entry, site.at, &[report(2, 9, event)], 120);
        reports(&mut site.entry, site.other, &[report(1, 1, event)], 120);
        assert!(!site.is_placed(), "by another run's {event:?}");
        reports(&mut site.entry, site.at, &[report(3, 1, event)], 120);
        assert!(site.is_placed(), "after {event:?}");
        assert_eq!(site.over(), RunOver::Reported(event));
    }
}

/// Guards against a silent agent's runs that are placed again before the bound on them.
#[test]
fn a_task_of_a_silent_agent_waits_for_the_bound() {
    let mut site = Site::new();
    let lost_ms = DispatchLimits::default().lost_ms;
    assert_eq!(site.pass(120), 110 + lost_ms);
    assert_eq!(site.over(), RunOver::Lost(LossCause::Silent));
    let losses = site.entry.take_losses();
    assert_eq!((losses[0].silent_ms, losses[0].last_message), (lost_ms, "hello"));
}

/// Guards against runs that are placed again while a hello lists them.
#[test]
fn a_task_is_placed_again_as_a_hello_does_not_list_its_run() {
    let mut site = Site::new();
    let name = site.name();
    site.entry.agent_connected(&name, AGENT, Some(&[(TASK, 1)]), 120);
    assert!(!site.is_placed(), "listed");
    site.entry.agent_connected(&name, AGENT, None, 120);
    assert!(!site.is_placed(), "not known to the agent");
    site.entry.agent_connected(&name, AGENT, Some(&[]), 130);
    assert!(site.is_placed());
    assert_eq!(site.over(), RunOver::Lost(LossCause::NotHeld));
}

/// Guards against a run that counts as one that its agent has had.
#[test]
fn a_task_whose_order_is_not_sent_is_placed_again() {
    let mut entry = Dispatch::new(DispatchLimits::default(), ENTRY);
    connect(&mut entry, "one", 100);
    entry.submit(job(100), 100).unwrap();
    entry.agent_connected("one", AGENT, None, 110);
    let over = entry.last_over(TASK);
    assert_eq!(over, Some((1, RunOver::Lost(LossCause::NotSent))));
}

/// Guards against runs of an ended process that are placed again beside what is left of them.
#[test]
fn a_task_of_an_ended_process_waits_for_the_bound_or_its_successor() {
    let mut site = Site::new();
    let name = site.name();
    site.entry.agent_connected(&name, NEXT_PROCESS, Some(&[]), 120);
    assert!(!site.is_placed(), "a hello of another process says nothing of it");
    let lost_ms = DispatchLimits::default().lost_ms;
    let placed_ms = site.pass(130);
    assert!(placed_ms >= 110 + lost_ms, "placed at {placed_ms} ms");

    let mut site = Site::new();
    site.entry.agent_connected(&name, NEXT_PROCESS, Some(&[]), 120);
    site.entry.agent_ready(site.at, 120);
    let unusable = UpstreamLoad { usable: false, ..load() };
    site.entry.handle_report(site.at, &[], unusable, 120, 120);
    assert!(!site.is_placed(), "something of it may be left");
    reports(&mut site.entry, site.at, &[], 130);
    assert!(site.is_placed());
    assert_eq!(site.over(), RunOver::Lost(LossCause::Restarted));
}

//! Returns of refused jobs at an entry: the retry delay, and the admission of those that return.

use {
    std::sync::Arc,
    sycamorerail_decide::dispatch::{
        AgentKey, Dispatch, DispatchLimits, JobAnswer, JobKey, JobRequest, KindParameters,
        NoResultReason, StepRequest, returns::ReturnCounts,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, Resources, RunEvent, RunReport, TaskKey, UpstreamInstance,
            UpstreamLoad,
        },
    },
};

const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
/// Run time and slack of all jobs.
const RUN_MS: u32 = 100;

struct Setup {
    dispatch: Dispatch,
    agent: AgentKey,
    now_ms: u64,
    jobs: u64,
}

impl Setup {
    /// An entry whose only agent connected long ago, and that places half of the work there.
    fn new() -> Self {
        let mut dispatch = Dispatch::new(DispatchLimits::default(), Incarnation(1));
        let agent = dispatch.agent_connected("agent", Incarnation(1), None, 0);
        dispatch.agent_ready(agent, 0);
        let instance = UpstreamInstance {
            id: InstanceId::without_start("life"),
            order_fence: 0,
            pool: "desk".to_owned(),
            capacity: CAPACITY,
            labels: Vec::new(),
            leaving: false,
        };
        dispatch.set_instance(agent, instance);
        let mut setup = Self { dispatch, agent, now_ms: 10_000, jobs: 0 };
        // A job of 100 ms of one core each 50 ms, as another entry places.
        for _ in 0..200 {
            setup.now_ms += 50;
            setup.report(0, 4_000);
            setup.submit_new(0).unwrap();
        }
        setup
    }

    /// Reports a wait for work of priority 1, and the rate at which work of priority 0 arrives.
    fn report(&mut self, wait_ms: u64, arriving_milli: u32) {
        self.dispatch.message_sent(self.agent, None, self.now_ms);
        let is_full = wait_ms > 0;
        let mut load = UpstreamLoad {
            usable: true,
            capacity: CAPACITY,
            taken: if is_full { CAPACITY } else { Resources::default() },
            waiting: u32::from(is_full),
            slowness_percent: 100,
            ..UpstreamLoad::default()
        };
        load.waiting_milli_ms[1] = u64::from(CAPACITY.cpu_milli) * wait_ms;
        load.arriving_milli[0] = arriving_milli;
        self.dispatch.handle_report(self.agent, &[], load, u64::MAX, self.now_ms);
    }

    fn submit_new(&mut self, priority: u8) -> Result<JobKey, JobAnswer> {
        self.jobs += 1;
        self.submit(self.jobs, priority)
    }

    fn submit(&mut self, id: u64, priority: u8) -> Result<JobKey, JobAnswer> {
        let kind = KindParameters {
            name: format!("kind-{priority}"),
            pool: "desk".to_owned(),
            priority,
            max_attempts: 2,
            stretch: 2.0,
            target_ms: 0,
        };
        let step = StepRequest {
            count: 1,
            need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
            run_ms: RUN_MS,
            ..StepRequest::default()
        };
        let request = JobRequest {
            id: CallerJobId(id),
            kind: Arc::new(kind),
            spec: String::new(),
            steps: vec![step],
            arrived_ms: self.now_ms,
            deadline_ms: self.now_ms + 60_000,
        };
        let submitted = self.dispatch.submit(request, self.now_ms);
        self.dispatch.take_commands();
        submitted
    }

    /// Submits new jobs of priority 1 until one is shed, and returns its id and its retry delay.
    fn shed_one(&mut self) -> (u64, u64) {
        loop {
            if let Err(answer) = self.submit_new(1) {
                return (self.jobs, retry_ms(answer, NoResultReason::Shed));
            }
        }
    }

    /// The wait at which new jobs are shed, and a job still ends in time by its estimate.
    fn report_pressure(&mut self) {
        self.report(50, 4_000);
    }
}

fn retry_ms(answer: JobAnswer, expected: NoResultReason) -> u64 {
    match answer {
        JobAnswer::NotRun { reason, retry_after_ms } if reason == expected => retry_after_ms.into(),
        other => panic!("{other:?}"),
    }
}

/// The entry has half of the 6 cores that are left: a job of 100 ms of a core each 33 ms.
#[test]
fn delays_follow_the_gained_capacity() {
    let mut setup = Setup::new();
    setup.report(1_000, 4_000);
    let delays_ms: Vec<_> =
        (0..20).map(|_| retry_ms(setup.submit_new(1).unwrap_err(), NoResultReason::Shed)).collect();
    assert_eq!(delays_ms[0], 100);
    let mean_gap_ms = (delays_ms[19] - delays_ms[0]) as f64 / 19.0;
    assert!((28.0..39.0).contains(&mean_gap_ms), "{delays_ms:?}");
}

#[test]
fn jobs_that_return_are_not_shed() {
    let mut setup = Setup::new();
    setup.report_pressure();
    let (id, delay_ms) = setup.shed_one();
    setup.now_ms += delay_ms;
    setup.report_pressure();
    assert!(setup.submit(id, 1).is_ok());
    assert!(setup.dispatch.last_forecast().is_return);
    let ReturnCounts { promised, redeemed, early } = setup.dispatch.return_counts();
    assert_eq!((promised, redeemed, early), (1, 1, 0));
}

/// Guards against accepting what can't be on time, only because it was promised a time.
#[test]
fn jobs_that_return_are_refused_for_overload() {
    let mut setup = Setup::new();
    setup.report_pressure();
    let (id, delay_ms) = setup.shed_one();
    setup.now_ms += delay_ms;
    setup.report(1_000, 4_000);
    retry_ms(setup.submit(id, 1).unwrap_err(), NoResultReason::Overload);
    assert_eq!(setup.dispatch.return_counts().promised, 2);
}

#[test]
fn jobs_that_return_early_are_new() {
    let mut setup = Setup::new();
    setup.report(60, 4_000);
    let (id, delay_ms) = setup.shed_one();
    setup.now_ms += delay_ms / 2;
    retry_ms(setup.submit(id, 1).unwrap_err(), NoResultReason::Shed);
    assert_eq!(setup.dispatch.return_counts().early, 1);
}

/// Guards against a promise of a job that was accepted before its time.
#[test]
fn accepted_jobs_have_no_promise() {
    let mut setup = Setup::new();
    setup.report(60, 4_000);
    let (id, delay_ms) = setup.shed_one();
    setup.report(0, 4_000);
    setup.submit(id, 1).unwrap();
    let task = TaskKey { job: CallerJobId(id), step: 0, index: 0 };
    let done = RunReport { number: 1, task, run: 1, event: RunEvent::Done { run_ms: RUN_MS } };
    let load = UpstreamLoad::default();
    setup.dispatch.handle_report(setup.agent, &[done], load, u64::MAX, setup.now_ms);
    setup.now_ms += delay_ms;
    setup.report(0, 4_000);
    assert!(setup.submit(id, 1).is_ok());
    assert_eq!(setup.dispatch.return_counts().redeemed, 0);
}

/// Guards a deployment without contention: it has the retry delay that it had.
#[test]
fn a_single_priority_has_no_schedule() {
    let mut setup = Setup::new();
    setup.report(0, 4_000);
    let load = UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        taken: CAPACITY,
        waiting: 1,
        slowness_percent: 100,
        waiting_milli_ms: [10_000_000, 0, 0, 0],
        arriving_milli: [4_000, 0, 0, 0],
        ..UpstreamLoad::default()
    };
    setup.dispatch.handle_report(setup.agent, &[], load, u64::MAX, setup.now_ms);
    let answer = setup.submit_new(0).unwrap_err();
    assert!(retry_ms(answer, NoResultReason::Overload) > 1_000, "{answer:?}");
    assert_eq!(setup.dispatch.return_counts(), ReturnCounts::default());
}

/// Without rates, for example from agents that have just started, the delay is the usual one.
#[test]
fn an_unknown_load_has_no_schedule() {
    let mut setup = Setup::new();
    setup.report(80, 0);
    let (_, delay_ms) = setup.shed_one();
    assert_eq!(delay_ms, 1_000);
    assert_eq!(setup.dispatch.return_counts().promised, 0);
}

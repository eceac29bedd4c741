//! Who is turned away for those that go before: the less urgent and the larger, in the
//! measure in which the others suffer, and only if they would have to wait.

use {
    std::sync::Arc,
    sycamorerail_decide::dispatch::{
        AgentKey, Dispatch, DispatchLimits, JobAnswer, JobKey, JobRequest, KindParameters,
        NoResultReason, StepRequest,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, InstanceId, Resources, UpstreamInstance, UpstreamLoad},
    },
};

const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };

struct Site {
    dispatch: Dispatch,
    agent: AgentKey,
    now_ms: u64,
    jobs: u64,
}

impl Site {
    /// An entry whose only agent connected long ago, its upstream full.
    fn new() -> Self {
        let mut dispatch = Dispatch::new(DispatchLimits::default(), Incarnation(1));
        let agent = dispatch.agent_connected("agent", Incarnation(1), None, 0);
        dispatch.agent_ready(agent, 0);
        dispatch.set_instance(
            agent,
            UpstreamInstance {
                id: InstanceId::without_start("life"),
                order_fence: 0,
                pool: "desk".to_owned(),
                capacity: CAPACITY,
                labels: Vec::new(),
                leaving: false,
            },
        );
        let mut site = Self { dispatch, agent, now_ms: 10_000, jobs: 0 };
        // The agent has heard this entry lately.
        site.dispatch.message_sent(agent, None, site.now_ms);
        site.report(10_000);
        site
    }

    fn report(&mut self, taken_milli: u32) {
        let load = UpstreamLoad {
            usable: true,
            capacity: CAPACITY,
            taken: Resources { cpu_milli: taken_milli, ..Resources::default() },
            running_milli_ms: u64::from(taken_milli) * 100,
            slowness_percent: 100,
            ..UpstreamLoad::default()
        };
        self.dispatch.handle_report(self.agent, &[], load, 1, self.now_ms);
    }

    /// Hands a job in; whether it was turned away for others.
    fn is_shed(&mut self, priority: u8, tasks: u16, run_ms: u32, stretch: f64) -> bool {
        let submitted = self.submit(priority, tasks, 1_000, run_ms, stretch);
        matches!(submitted, Err(JobAnswer::NotRun { reason: NoResultReason::Shed, .. }))
    }

    fn submit(
        &mut self,
        priority: u8,
        tasks: u16,
        cpu_milli: u32,
        run_ms: u32,
        stretch: f64,
    ) -> Result<JobKey, JobAnswer> {
        self.jobs += 1;
        let kind = KindParameters {
            name: format!("kind-{priority}-{tasks}"),
            pool: "desk".to_owned(),
            priority,
            max_attempts: 2,
            stretch,
            target_ms: 0,
        };
        let step = StepRequest {
            count: tasks,
            need: Resources { cpu_milli, memory_mb: 1, accelerators: 0 },
            run_ms,
            ..StepRequest::default()
        };
        let request = JobRequest {
            id: CallerJobId(self.jobs),
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

    /// Jobs of an urgent kind that are refused, as no wait fits into their time.
    fn urgent_jobs_suffer(&mut self) {
        (0..10).for_each(|_| {
            assert!(!self.is_shed(0, 1, 50, 1.0));
        });
    }

    fn shed_of_ten(&mut self, priority: u8, tasks: u16) -> usize {
        (0..10).filter(|_| self.is_shed(priority, tasks, 100, 50.0)).count()
    }
}

#[test]
fn the_less_urgent_are_turned_away_while_the_urgent_suffer() {
    let mut site = Site::new();
    assert_eq!(site.shed_of_ten(1, 1), 0);
    site.urgent_jobs_suffer();
    assert!(site.shed_of_ten(1, 1) >= 8);
}

#[test]
fn the_urgent_are_not_turned_away_for_the_less_urgent() {
    let mut site = Site::new();
    (0..10).for_each(|_| {
        assert!(!site.is_shed(1, 1, 50, 1.0));
    });
    assert_eq!(site.shed_of_ten(0, 1), 0);
}

#[test]
fn among_the_equally_urgent_the_larger_are_turned_away() {
    let mut site = Site::new();
    site.urgent_jobs_suffer();
    assert_eq!(site.shed_of_ten(0, 1), 0);
    assert!(site.shed_of_ten(0, 8) >= 8);
}

#[test]
fn nobody_is_turned_away_who_need_not_wait() {
    let mut site = Site::new();
    site.urgent_jobs_suffer();
    site.report(0);
    assert!(!site.is_shed(1, 1, 100, 50.0));
}

#[test]
fn it_fades_within_seconds() {
    let mut site = Site::new();
    site.urgent_jobs_suffer();
    site.now_ms += 2_000;
    site.dispatch.message_sent(site.agent, None, site.now_ms);
    site.report(10_000);
    assert_eq!(site.shed_of_ten(1, 1), 0);
}

#[test]
fn callers_that_come_again_after_an_outage_are_not_turned_away() {
    let mut site = Site::new();
    site.dispatch.agent_ready(site.agent, site.now_ms);
    site.dispatch.message_sent(site.agent, None, site.now_ms);
    site.report(10_000);
    site.urgent_jobs_suffer();
    assert_eq!(site.shed_of_ten(1, 1), 0);
}

/// Jobs that no upstream could ever hold say nothing about load: nobody is turned away
/// for them.
#[test]
fn jobs_that_can_never_run_turn_nobody_away() {
    let mut site = Site::new();
    for _ in 0..20 {
        let answer = site.submit(0, 1, CAPACITY.cpu_milli + 1, 50, 1.0);
        assert_eq!(answer, Err(JobAnswer::Failed));
    }
    assert_eq!(site.shed_of_ten(1, 1), 0);
}

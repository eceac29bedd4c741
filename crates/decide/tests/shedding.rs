//! Load shedding: less urgent and larger jobs are refused in proportion to the overload of
//! the jobs with precedence, and only if they would have to wait.

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

struct Setup {
    dispatch: Dispatch,
    agent: AgentKey,
    now_ms: u64,
    jobs: u64,
    /// Pool of the jobs to submit.
    pool: &'static str,
}

impl Setup {
    /// An entry whose only agent connected long ago and whose upstream is full.
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
        let mut setup = Self { dispatch, agent, now_ms: 10_000, jobs: 0, pool: "desk" };
        // The agent has recently received a message of this entry.
        setup.dispatch.message_sent(agent, None, setup.now_ms);
        setup.report(10_000);
        setup
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

    /// Submits a job and returns whether it was shed.
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
            name: format!("kind-{}-{priority}-{tasks}", self.pool),
            pool: self.pool.to_owned(),
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

    /// Submits urgent jobs that are refused because their time permits no wait.
    fn refuse_urgent_jobs(&mut self) {
        (0..10).for_each(|_| {
            assert!(!self.is_shed(0, 1, 50, 1.0));
        });
    }

    /// Reports work of a priority class that waits at the agent, and the rate at which it arrives.
    fn report_queue(&mut self, class: usize, waiting_ms: u64, arriving_milli: u32) {
        let mut load = UpstreamLoad {
            usable: true,
            capacity: CAPACITY,
            taken: CAPACITY,
            running_milli_ms: 100,
            waiting: 1,
            slowness_percent: 100,
            ..UpstreamLoad::default()
        };
        load.waiting_milli_ms[class] = u64::from(CAPACITY.cpu_milli) * waiting_ms;
        load.arriving_milli[class] = arriving_milli;
        self.dispatch.handle_report(self.agent, &[], load, 1, self.now_ms);
    }

    /// Share of jobs with 100 ms of run time and 100 ms of slack that is shed, in percent, while
    /// jobs of another priority come as often.
    fn shed_percent_beside(&mut self, priority: u8, tasks: u16, other: u8) -> usize {
        let shed = (0..100).filter(|_| {
            self.is_shed(other, 1, 100, 2.0);
            self.is_shed(priority, tasks, 100, 2.0)
        });
        shed.count()
    }

    fn shed_of_ten(&mut self, priority: u8, tasks: u16) -> usize {
        (0..10).filter(|_| self.is_shed(priority, tasks, 100, 50.0)).count()
    }
}

#[test]
fn less_urgent_jobs_are_shed_while_urgent_jobs_are_refused() {
    let mut setup = Setup::new();
    assert_eq!(setup.shed_of_ten(1, 1), 0);
    setup.refuse_urgent_jobs();
    assert!(setup.shed_of_ten(1, 1) >= 8);
}

#[test]
fn urgent_jobs_are_not_shed_for_less_urgent_ones() {
    let mut setup = Setup::new();
    (0..10).for_each(|_| {
        assert!(!setup.is_shed(1, 1, 50, 1.0));
    });
    assert_eq!(setup.shed_of_ten(0, 1), 0);
}

#[test]
fn larger_jobs_of_equal_urgency_are_shed() {
    let mut setup = Setup::new();
    setup.refuse_urgent_jobs();
    assert_eq!(setup.shed_of_ten(0, 1), 0);
    assert!(setup.shed_of_ten(0, 8) >= 8);
}

#[test]
fn jobs_that_need_not_wait_are_not_shed() {
    let mut setup = Setup::new();
    setup.refuse_urgent_jobs();
    setup.report(0);
    assert!(!setup.is_shed(1, 1, 100, 50.0));
}

#[test]
fn shedding_ends_within_seconds() {
    let mut setup = Setup::new();
    setup.refuse_urgent_jobs();
    setup.now_ms += 2_000;
    setup.dispatch.message_sent(setup.agent, None, setup.now_ms);
    setup.report(10_000);
    assert_eq!(setup.shed_of_ten(1, 1), 0);
}

#[test]
fn retries_after_an_outage_are_not_shed() {
    let mut setup = Setup::new();
    setup.dispatch.agent_ready(setup.agent, setup.now_ms);
    setup.dispatch.message_sent(setup.agent, None, setup.now_ms);
    setup.report(10_000);
    setup.refuse_urgent_jobs();
    assert_eq!(setup.shed_of_ten(1, 1), 0);
}

/// Jobs that no upstream could ever run say nothing about load, so that no job is shed
/// for them.
#[test]
fn jobs_that_can_never_run_cause_no_shedding() {
    let mut setup = Setup::new();
    for _ in 0..20 {
        let answer = setup.submit(0, 1, CAPACITY.cpu_milli + 1, 50, 1.0);
        assert_eq!(answer, Err(JobAnswer::Failed));
    }
    assert_eq!(setup.shed_of_ten(1, 1), 0);
}

/// Guards against queues as long as the slack, which make half of the accepted jobs late.
#[test]
fn waiting_work_sheds_in_proportion() {
    let mut setup = Setup::new();
    for (waiting_ms, shed) in [(5, 0..=0), (35, 45..=55), (60, 95..=100)] {
        setup.report_queue(1, waiting_ms, 0);
        let percent = setup.shed_percent_beside(1, 1, 0);
        assert!(shed.contains(&percent), "{waiting_ms} ms: {percent} %");
    }
}

/// Guards against refusing wide jobs for their width.
#[test]
fn jobs_of_all_sizes_are_shed_alike() {
    let mut setup = Setup::new();
    setup.report_queue(1, 35, 0);
    let narrow = setup.shed_percent_beside(1, 1, 0);
    let wide = setup.shed_percent_beside(1, 8, 0);
    assert!(narrow.abs_diff(wide) <= 5, "{narrow} and {wide} %");
}

/// Work that arrives and goes first takes the place of work that waits.
#[test]
fn arriving_urgent_work_lengthens_the_wait() {
    let mut setup = Setup::new();
    setup.report_queue(1, 8, 0);
    assert_eq!(setup.shed_percent_beside(1, 1, 0), 0);
    let mut load = UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        taken: CAPACITY,
        waiting: 1,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    };
    load.waiting_milli_ms[1] = u64::from(CAPACITY.cpu_milli) * 8;
    load.arriving_milli[0] = CAPACITY.cpu_milli * 8 / 10;
    setup.dispatch.handle_report(setup.agent, &[], load, 1, setup.now_ms);
    let percent = setup.shed_percent_beside(1, 1, 0);
    assert!((55..=65).contains(&percent), "{percent} %");
}

/// Guards against an overload in which only the least urgent kind is refused.
#[test]
fn kinds_yield_to_less_urgent_ones_that_are_shed() {
    let mut setup = Setup::new();
    setup.is_shed(0, 1, 100, 2.0);
    setup.report_queue(2, 35, 0);
    let percent = setup.shed_percent_beside(1, 1, 2);
    assert!((20..=30).contains(&percent), "{percent} %");
}

#[test]
fn the_most_urgent_kind_yields_nothing() {
    let mut setup = Setup::new();
    setup.report_queue(2, 60, 0);
    assert_eq!(setup.shed_percent_beside(0, 1, 2), 0);
}

/// Guards against shedding for a kind with little demand.
#[test]
fn kinds_yield_no_more_than_others_lack() {
    let mut setup = Setup::new();
    setup.is_shed(0, 1, 100, 2.0);
    setup.report_queue(2, 60, 0);
    setup.is_shed(2, 1, 100, 2.0);
    let shed = (0..100).filter(|_| setup.is_shed(1, 1, 100, 2.0)).count();
    assert!((1..=8).contains(&shed), "{shed} of 100");
}

/// Without different priorities nobody yields, and forecasts decide alone.
#[test]
fn a_single_priority_is_not_shed() {
    let mut setup = Setup::new();
    setup.report_queue(1, 60, 0);
    assert_eq!(setup.shed_percent_beside(1, 1, 1), 0);
}

/// Guards against shedding for an overload of other upstreams.
#[test]
fn other_pools_cause_no_shedding() {
    let mut setup = Setup::new();
    let other = setup.dispatch.agent_connected("other", Incarnation(1), None, 0);
    setup.dispatch.agent_ready(other, 0);
    let instance = UpstreamInstance {
        pool: "booth".to_owned(),
        ..setup.dispatch.instance(setup.agent).unwrap().clone()
    };
    setup.dispatch.set_instance(other, instance);
    setup.dispatch.message_sent(other, None, setup.now_ms);
    let full = UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        taken: CAPACITY,
        running_milli_ms: 1_000_000,
        slowness_percent: 100,
        ..UpstreamLoad::default()
    };
    setup.dispatch.handle_report(other, &[], full, 1, setup.now_ms);
    setup.pool = "booth";
    for _ in 0..20 {
        assert!(setup.submit(0, 1, 1_000, 50, 1.0).is_err());
    }
    setup.pool = "desk";
    assert_eq!(setup.shed_of_ten(1, 1), 0);
}

/// Guards against kinds that nobody uses any more: the pool has one priority without them.
#[test]
fn kinds_without_arrivals_do_not_count() {
    let mut setup = Setup::new();
    setup.is_shed(0, 1, 100, 2.0);
    setup.now_ms += 11_000;
    setup.dispatch.agent_ready(setup.agent, setup.now_ms - 10_000);
    setup.dispatch.message_sent(setup.agent, None, setup.now_ms);
    setup.report_queue(1, 60, 0);
    assert_eq!(setup.shed_percent_beside(1, 1, 1), 0);
}

/// Guards against many small kinds that each give up all that a less urgent one lacks.
#[test]
fn kinds_yield_together_no_more_than_others_lack() {
    let mut setup = Setup::new();
    setup.is_shed(0, 1, 100, 2.0);
    setup.report_queue(2, 60, 0);
    setup.is_shed(2, 1, 100, 2.0);
    let shed = (0..100).filter(|number| setup.is_shed(1, 1 + number % 10, 100, 2.0)).count();
    assert!(shed <= 8, "{shed} of 100");
}

/// Priorities beyond the reported classes share the last one, which is not more urgent than itself.
#[test]
fn the_lowest_priorities_do_not_wait_for_themselves() {
    let mut setup = Setup::new();
    setup.report_queue(3, 8, CAPACITY.cpu_milli * 8 / 10);
    assert_eq!(setup.shed_percent_beside(7, 1, 0), 0);
}

/// An agent that falls silent has the queue of its last report for good: guards against shedding
/// for work that other upstreams will never have.
#[test]
fn a_silent_agent_causes_no_shedding() {
    let mut setup = Setup::new();
    setup.report_queue(1, 60, 0);
    let silent = setup.agent;
    let instance = setup.dispatch.instance(silent).unwrap().clone();
    setup.agent = setup.dispatch.agent_connected("other", Incarnation(1), None, 0);
    setup.dispatch.agent_ready(setup.agent, 0);
    setup.dispatch.set_instance(setup.agent, instance);
    setup.now_ms += 700;
    setup.dispatch.message_sent(setup.agent, None, setup.now_ms);
    setup.report_queue(1, 5, 0);
    assert_eq!(setup.shed_percent_beside(1, 1, 0), 0);
}

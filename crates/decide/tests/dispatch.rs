//! Dispatch of jobs at an entry: placement of whole jobs, attempts, refusals, and reconciliation
//! with agents that reconnect.

use {
    std::sync::Arc,
    sycamorerail_decide::dispatch::{
        AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobKey, JobRequest, KindParameters,
        LossCause, NoResultReason, RunLoss, STOP_ANSWER_MS, StepRequest,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, NotStarted, Resources, RunEvent, RunReport, StepPlacement,
            TaskKey, UpstreamInstance, UpstreamLoad,
        },
    },
};

const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };

struct Site {
    dispatch: Dispatch,
    now_ms: u64,
    reports: u64,
}

fn load(taken_milli: u32) -> UpstreamLoad {
    UpstreamLoad {
        usable: true,
        capacity: CAPACITY,
        taken: Resources { cpu_milli: taken_milli, memory_mb: 0, accelerators: 0 },
        slowness_percent: 100,
        ..UpstreamLoad::default()
    }
}

fn life(labels: &[&str]) -> UpstreamInstance {
    UpstreamInstance {
        id: InstanceId::without_start("life"),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: CAPACITY,
        labels: labels.iter().map(|&label| label.to_owned()).collect(),
        leaving: false,
    }
}

fn kind() -> Arc<KindParameters> {
    Arc::new(KindParameters {
        name: "reach-check".to_owned(),
        pool: "desk".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target_ms: 60,
    })
}

fn step(count: u16) -> StepRequest {
    StepRequest {
        count,
        need: Resources { cpu_milli: 3_000, memory_mb: 10, accelerators: 0 },
        run_ms: 100,
        ..StepRequest::default()
    }
}

fn job(id: u64, steps: Vec<StepRequest>) -> JobRequest {
    JobRequest {
        id: CallerJobId(id),
        kind: kind(),
        spec: "spec".to_owned(),
        steps,
        arrived_ms: 100,
        deadline_ms: 2_100,
    }
}

fn task(job: u64, step: u8, index: u16) -> TaskKey {
    TaskKey { job: CallerJobId(job), step, index }
}

impl Site {
    /// Creates an entry at 100 ms, with one agent for each given amount of CPU that its upstream
    /// has taken.
    fn new(taken_milli: &[u32]) -> (Self, Vec<AgentKey>) {
        let dispatch = Dispatch::new(DispatchLimits::default(), Incarnation(1));
        let mut site = Self { dispatch, now_ms: 100, reports: 0 };
        let agents = taken_milli
            .iter()
            .enumerate()
            .map(|(number, taken)| site.connect(&format!("agent-{number}"), 1, load(*taken)))
            .collect();
        (site, agents)
    }

    fn connect(&mut self, name: &str, run: u64, load: UpstreamLoad) -> AgentKey {
        let dispatch = &mut self.dispatch;
        let agent = dispatch.agent_connected(name, Incarnation(run), None, self.now_ms);
        dispatch.agent_ready(agent, self.now_ms);
        dispatch.set_instance(agent, life(&[]));
        dispatch.handle_report(agent, &[], load, 0, self.now_ms);
        agent
    }

    fn submit(&mut self, request: JobRequest) -> JobKey {
        self.dispatch.submit(request, self.now_ms).unwrap()
    }

    fn refuse(&mut self, request: JobRequest) -> JobAnswer {
        self.dispatch.submit(request, self.now_ms).unwrap_err()
    }

    fn tell(&mut self, agent: AgentKey, task: TaskKey, run: u32, event: RunEvent) {
        self.reports += 1;
        let report = RunReport { number: self.reports, task, run, event };
        self.dispatch.handle_report(agent, &[report], load(0), 0, self.now_ms);
    }

    /// Advances the time; messages pass in both directions with these agents before the tick.
    fn tick_at(&mut self, now_ms: u64, agents: &[AgentKey]) {
        self.now_ms = now_ms;
        for &agent in agents {
            self.dispatch.message_sent(agent, None, now_ms);
            self.dispatch.handle_report(agent, &[], load(0), u64::MAX, now_ms);
        }
        self.dispatch.tick(now_ms);
    }

    fn placements(&mut self) -> Vec<(AgentKey, StepPlacement)> {
        let placed =
            self.dispatch.take_commands().into_iter().filter_map(|command| match command {
                Command::Place(agent, placement) => Some((agent, placement)),
                _ => None,
            });
        placed.collect()
    }

    fn answers(&mut self) -> Vec<JobAnswer> {
        let told = self.dispatch.take_commands().into_iter().filter_map(|command| match command {
            Command::Answer(_, answer) => Some(answer),
            _ => None,
        });
        told.collect()
    }
}

fn done() -> RunEvent {
    RunEvent::Done { run_ms: 100 }
}

fn failed() -> RunEvent {
    RunEvent::Failed { run_ms: 100 }
}

#[test]
fn a_job_is_spread_over_free_room() {
    let (mut site, agents) = Site::new(&[0, 0, 9_000]);
    site.submit(job(1, vec![step(6)]));
    let placed = site.placements();
    let count = |agent| -> usize {
        let here = placed.iter().filter(|(at, _)| *at == agent);
        here.map(|(_, placement)| placement.tasks.len()).sum()
    };
    assert_eq!([count(agents[0]), count(agents[1]), count(agents[2])], [3, 3, 0]);
    assert_eq!(placed.len(), 2, "one message for each agent");
}

#[test]
fn placements_count_until_the_agent_has_received_them() {
    let (mut site, agents) = Site::new(&[0, 0]);
    site.submit(job(1, vec![step(1)]));
    let (first, placement) = site.placements().remove(0);
    site.dispatch.message_sent(first, Some(&placement), site.now_ms);
    site.submit(job(2, vec![step(1)]));
    let (second, _) = site.placements().remove(0);
    assert_ne!(first, second);
    // The agent has received the placement, and its load shows nothing taken: the task has ended.
    site.dispatch.handle_report(first, &[], load(0), 1, site.now_ms);
    site.dispatch.handle_report(second, &[], load(3_000), 0, site.now_ms);
    site.submit(job(3, vec![step(1)]));
    assert_eq!(site.placements()[0].0, first);
    assert!(agents.contains(&first));
}

#[test]
fn all_tasks_done_complete_a_job() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(2)]));
    site.tell(agents[0], task(1, 0, 0), 1, done());
    assert!(site.answers().is_empty());
    site.tell(agents[0], task(1, 0, 0), 1, done());
    assert!(site.answers().is_empty(), "a repeated report counts once");
    site.tell(agents[0], task(1, 0, 1), 1, done());
    assert_eq!(site.answers(), [JobAnswer::Completed]);
    assert_eq!(site.dispatch.job_count(), 0);
}

#[test]
fn steps_wait_for_those_before_them() {
    let (mut site, agents) = Site::new(&[0]);
    let second = StepRequest { after: vec![0], ..step(1) };
    site.submit(job(1, vec![step(2), second]));
    assert_eq!(site.placements().len(), 1);
    site.tell(agents[0], task(1, 0, 0), 1, done());
    assert!(site.placements().is_empty());
    site.tell(agents[0], task(1, 0, 1), 1, done());
    assert_eq!(site.placements()[0].1.step, 1);
    site.tell(agents[0], task(1, 1, 0), 1, done());
    assert_eq!(site.answers(), [JobAnswer::Completed]);
}

#[test]
fn a_failed_task_goes_elsewhere_and_fails_its_job_at_the_last_attempt() {
    let (mut site, _) = Site::new(&[0, 0]);
    site.submit(job(1, vec![step(1)]));
    let (first, _) = site.placements().remove(0);
    site.tell(first, task(1, 0, 0), 1, failed());
    let (second, placement) = site.placements().remove(0);
    assert_ne!(first, second);
    assert_eq!(placement.tasks[0].run, 2);
    site.tell(first, task(1, 0, 0), 1, failed());
    assert!(site.answers().is_empty(), "an old run's end does not count");
    site.tell(second, task(1, 0, 0), 2, failed());
    assert_eq!(site.answers(), [JobAnswer::Failed]);
}

#[test]
fn lost_runs_do_not_count_as_attempts() {
    let (mut site, _) = Site::new(&[0, 0]);
    site.submit(job(1, vec![step(1)]));
    for run in 1..6 {
        let (agent, _) = site.placements().remove(0);
        site.tell(agent, task(1, 0, 0), run, RunEvent::Lost);
    }
    let (agent, _) = site.placements().remove(0);
    site.tell(agent, task(1, 0, 0), 6, done());
    assert_eq!(site.answers(), [JobAnswer::Completed]);
}

#[test]
fn not_run_is_answered_only_if_no_task_started() {
    let (mut site, agents) = Site::new(&[0]);
    let key = site.submit(job(1, vec![step(1)]));
    site.dispatch.take_commands();
    site.dispatch.cancel(key);
    assert_eq!(site.dispatch.take_commands(), [Command::Stop(agents[0], CallerJobId(1))]);
    let withdrawn = RunEvent::NotStarted(NotStarted::Withdrawn);
    site.tell(agents[0], task(1, 0, 0), 1, withdrawn);
    let answer = site.answers().remove(0);
    assert!(matches!(answer, JobAnswer::NotRun { reason: NoResultReason::Cancelled, .. }));

    let key = site.submit(job(2, vec![step(1)]));
    site.dispatch.cancel(key);
    site.dispatch.take_commands();
    site.tell(agents[0], task(2, 0, 0), 1, RunEvent::Started);
    site.tell(agents[0], task(2, 0, 0), 1, RunEvent::Stopped);
    assert_eq!(site.answers(), [JobAnswer::Unknown { reason: NoResultReason::Cancelled }]);
}

#[test]
fn a_job_that_cannot_end_in_time_is_refused_at_once() {
    let (mut site, agents) = Site::new(&[9_000]);
    let waiting =
        UpstreamLoad { waiting: 90, waiting_milli_ms: [30_000_000, 0, 0, 0], ..load(9_000) };
    site.dispatch.handle_report(agents[0], &[], waiting, 0, site.now_ms);
    let answer = site.refuse(job(1, vec![step(1)]));
    let JobAnswer::NotRun { reason: NoResultReason::Overload, retry_after_ms } = answer else {
        panic!("{answer:?}");
    };
    assert!((2_500..3_500).contains(&retry_after_ms), "{retry_after_ms}");
}

/// Offers twice the load that two upstreams can run, of jobs that are on time within 210 ms. Jobs
/// that cannot be on time are refused; otherwise all jobs would be late.
#[test]
fn under_twice_the_load_the_rest_is_refused_at_once() {
    let (mut site, agents) = Site::new(&[0, 0]);
    let full = |waiting: u32| UpstreamLoad {
        waiting,
        waiting_milli_ms: [u64::from(waiting) * 300_000, 0, 0, 0],
        ..load(9_000)
    };
    let mut taken = 0;
    for number in 0..200_u32 {
        for &agent in &agents {
            site.dispatch.handle_report(agent, &[], full(number / 4), 0, site.now_ms);
        }
        taken += u32::from(site.dispatch.submit(job(number.into(), vec![step(2)]), 100).is_ok());
    }
    // A task takes 300 core-milliseconds of an upstream with ten cores: 33 tasks a second. With
    // more than 3 waiting tasks, a further one would end after 210 ms.
    assert!((12..=16).contains(&taken), "{taken}");
    site.now_ms = 100 + 315;
    site.dispatch.tick(site.now_ms);
    let stops = site.dispatch.take_commands().into_iter();
    let stopped = stops.filter(|command| matches!(command, Command::Stop(..))).count();
    assert!(stopped >= taken as usize, "all that are left are withdrawn");
}

#[test]
fn a_job_that_no_upstream_could_hold_fails_at_once() {
    let (mut site, _) = Site::new(&[0]);
    let mut huge = step(1);
    huge.need.cpu_milli = 11_000;
    assert_eq!(site.refuse(job(1, vec![huge])), JobAnswer::Failed);
}

/// A job without any upstream takes room from nobody: it waits exactly as long as its result is
/// useful.
#[test]
fn a_job_waits_for_an_upstream_as_long_as_its_result_is_of_use() {
    let (mut site, _) = Site::new(&[]);
    site.submit(job(1, vec![step(1)]));
    // On time within 1.5 x 100 + 60 ms, useful within three times as much.
    site.now_ms = 100 + 630 - 100;
    site.dispatch.tick(site.now_ms);
    assert!(site.answers().is_empty());
    site.now_ms += 1;
    site.dispatch.tick(site.now_ms);
    let answer = site.answers().remove(0);
    assert!(matches!(answer, JobAnswer::NotRun { reason: NoResultReason::NoUpstream, .. }));
}

#[test]
fn a_job_that_waits_beside_full_upstreams_is_refused_at_one_and_a_half_objectives() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::NotStarted(NotStarted::NoRoom));
    site.dispatch.handle_report(agents[0], &[], load(10_000), 0, site.now_ms);
    site.now_ms = 100 + 315;
    site.dispatch.handle_report(agents[0], &[], load(10_000), 0, site.now_ms);
    site.dispatch.tick(site.now_ms);
    let stopped = site.dispatch.take_commands();
    let is_stop = |command: &Command| matches!(command, Command::Stop(..));
    assert!(stopped.iter().any(is_stop), "{stopped:?}");
}

/// An entry that starts after an outage accepts the jobs that waited for it, even late ones, as
/// long as upstreams are free.
#[test]
fn a_job_that_was_held_up_runs_late_on_free_upstreams() {
    let (mut site, agents) = Site::new(&[0]);
    site.now_ms = 100 + 400;
    site.dispatch.handle_report(agents[0], &[], load(0), 0, site.now_ms);
    site.submit(job(1, vec![step(1)]));
    assert_eq!(site.placements().len(), 1);
    site.tell(agents[0], task(1, 0, 0), 1, done());
    assert_eq!(site.answers(), [JobAnswer::Completed]);
}

/// Agents connect before their upstreams are announced. Judged by the first usable upstream
/// alone, all waiting jobs would seem too much and be refused.
#[test]
fn nothing_is_refused_for_load_while_most_upstreams_are_about_to_come() {
    let (mut site, agents) = Site::new(&[0]);
    let waiting_milli_ms = [4_000_000, 0, 0, 0];
    let full = UpstreamLoad { waiting_milli_ms, waiting: 40, ..load(10_000) };
    site.dispatch.handle_report(agents[0], &[], full, 0, site.now_ms);
    let unusable = UpstreamLoad { usable: false, ..load(0) };
    (1..4).for_each(|number| {
        site.connect(&format!("coming-{number}"), 1, unusable);
    });
    site.submit(job(1, vec![step(2)]));
    // Agents that are not usable after two seconds are no longer expected.
    site.now_ms += 2_000;
    site.connect("agent-0", 1, full);
    let late = JobRequest { arrived_ms: site.now_ms, deadline_ms: 9_000, ..job(9, vec![step(2)]) };
    assert!(matches!(
        site.refuse(late),
        JobAnswer::NotRun { reason: NoResultReason::Overload, .. }
    ));
}

#[test]
fn a_silent_agent_gets_nothing_new_and_then_loses_its_runs() {
    let (mut site, agents) = Site::new(&[0]);
    let long = StepRequest { run_ms: 500, ..step(1) };
    site.submit(job(1, vec![long]));
    site.dispatch.take_commands();
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::Started);
    site.now_ms = 100 + 700;
    assert_eq!(site.dispatch.usable_agents(site.now_ms), 0);
    let other = site.connect("agent-b", 1, load(0));
    site.now_ms = 100 + 1_499;
    site.dispatch.tick(site.now_ms);
    assert!(site.placements().is_empty());
    site.dispatch.agent_ready(other, site.now_ms);
    site.dispatch.handle_report(other, &[], load(0), 0, site.now_ms);
    site.now_ms = 100 + 1_500;
    site.dispatch.tick(site.now_ms);
    let (agent, placement) = site.placements().remove(0);
    assert_eq!((agent, placement.tasks[0].run), (other, 2));
    assert_ne!(agent, agents[0]);
}

/// Guards against a second order of a task that no log explains.
#[test]
fn runs_that_count_as_lost_are_told_with_the_cause() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(2)]));
    site.dispatch.take_commands();
    site.dispatch.agent_connected("agent-0", Incarnation(1), Some(&[(task(1, 0, 0), 1)]), 110);
    let (agent, run) = (agents[0], 1);
    let (cause, silent_ms) = (LossCause::NotHeld, 10);
    let (last_message, hello, stalled_ms) = ("hello", 0, 0);
    let not_held = RunLoss {
        agent,
        task: task(1, 0, 1),
        run,
        cause,
        last_message,
        hello,
        silent_ms,
        stalled_ms,
    };
    assert_eq!(site.dispatch.take_losses(), [not_held]);
    site.dispatch.tick(1_600);
    let (cause, silent_ms) = (LossCause::Silent, 1_500);
    let silent = RunLoss {
        agent,
        task: task(1, 0, 0),
        run,
        cause,
        last_message,
        hello,
        silent_ms,
        stalled_ms,
    };
    assert_eq!(site.dispatch.take_losses()[0], silent);
}

#[test]
fn a_new_connection_reconciles_what_the_agent_holds() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(2)]));
    site.dispatch.take_commands();
    let held = [(task(1, 0, 0), 1)];
    let name = "agent-0";
    site.dispatch.agent_disconnected(agents[0]);
    site.dispatch.agent_connected(name, Incarnation(1), Some(&held), site.now_ms);
    site.dispatch.agent_ready(agents[0], site.now_ms);
    site.dispatch.handle_report(agents[0], &[], load(0), 0, site.now_ms);
    let (_, placement) = site.placements().remove(0);
    assert_eq!((placement.tasks[0].index, placement.tasks[0].run), (1, 2));
}

#[test]
fn a_restarted_agent_loses_runs_only_when_it_is_clean() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    site.dispatch.take_commands();
    site.dispatch.agent_connected("agent-0", Incarnation(2), None, site.now_ms);
    site.dispatch.agent_ready(agents[0], site.now_ms);
    let unclean = UpstreamLoad { usable: false, ..load(0) };
    site.dispatch.handle_report(agents[0], &[], unclean, 0, site.now_ms);
    assert!(site.placements().is_empty());
    site.dispatch.handle_report(agents[0], &[], load(0), 0, site.now_ms);
    assert_eq!(site.placements()[0].1.tasks[0].run, 2);
}

#[test]
fn an_upstream_that_has_seen_a_higher_run_gets_one_above_it() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    site.dispatch.take_commands();
    let old = RunEvent::NotStarted(NotStarted::OldRun);
    site.tell(agents[0], task(1, 0, 0), 1, old);
    assert!(site.placements()[0].1.tasks[0].run > 2);
}

#[test]
fn a_copy_of_a_job_in_flight_is_not_taken() {
    let (mut site, _) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    let answer = site.refuse(job(1, vec![step(1)]));
    assert_eq!(answer, JobAnswer::Unknown { reason: NoResultReason::Duplicate });
}

#[test]
fn labels_and_limits_per_upstream_are_kept() {
    let (mut site, agents) = Site::new(&[0, 0, 0]);
    site.dispatch.set_instance(agents[0], life(&["b"]));
    site.dispatch.set_instance(agents[1], life(&["b"]));
    let bound =
        StepRequest { required_label: Some("b".to_owned()), max_per_upstream: Some(2), ..step(5) };
    site.submit(job(1, vec![bound]));
    let placed = site.placements();
    assert_eq!(placed.len(), 2);
    for (agent, placement) in placed {
        assert_ne!(agent, agents[2]);
        assert_eq!(placement.tasks.len(), 2);
    }
}

#[test]
fn failing_and_slow_upstreams_are_avoided() {
    let (mut site, agents) = Site::new(&[0, 0, 3_000]);
    let failing = UpstreamLoad { failing_percent: 60, ..load(0) };
    let slow = UpstreamLoad { slowness_percent: 400, ..load(0) };
    site.dispatch.handle_report(agents[0], &[], failing, 0, site.now_ms);
    site.dispatch.handle_report(agents[1], &[], slow, 0, site.now_ms);
    site.submit(job(1, vec![step(1)]));
    assert_eq!(site.placements()[0].0, agents[2]);
}

/// A cold upstream must not get as many tasks as the others.
#[test]
fn a_cold_upstream_gets_tasks_that_would_wait_elsewhere() {
    let (mut site, agents) = Site::new(&[0, 6_000]);
    site.dispatch.set_cold(agents[0], 3_000, site.now_ms);
    site.submit(job(1, vec![step(1)]));
    assert_eq!(site.placements()[0].0, agents[1]);
    let full = UpstreamLoad { waiting_milli_ms: [10_000_000, 0, 0, 0], ..load(10_000) };
    site.dispatch.handle_report(agents[1], &[], full, 0, site.now_ms);
    site.submit(job(2, vec![step(1)]));
    assert_eq!(site.placements()[0].0, agents[0]);
}

#[test]
fn an_upstream_is_as_good_as_others_once_it_is_warm() {
    let placed_at = |until_warm: &dyn Fn(&mut Site, AgentKey, &[AgentKey])| {
        let (mut site, agents) = Site::new(&[0, 0]);
        site.dispatch.set_cold(agents[0], 500, site.now_ms);
        until_warm(&mut site, agents[0], &agents);
        let full = load(9_000);
        site.dispatch.handle_report(agents[1], &[], full, u64::MAX, site.now_ms);
        site.submit(job(1, vec![step(1)]));
        site.placements()[0].0 == agents[0]
    };
    assert!(placed_at(&|site, _, agents| site.tick_at(600, agents)));
    assert!(placed_at(&|site, cold, _| site.dispatch.set_cold(cold, 0, site.now_ms)));
}

/// If all upstreams are cold, for example after a power failure, jobs are accepted as usual.
#[test]
fn cold_upstreams_do_not_cause_refusals() {
    let (mut site, agents) = Site::new(&[0, 0]);
    agents.iter().for_each(|&agent| site.dispatch.set_cold(agent, 3_000, site.now_ms));
    site.submit(job(1, vec![step(6)]));
    let placed: usize = site.placements().iter().map(|(_, placed)| placed.tasks.len()).sum();
    assert_eq!(placed, 6);
}

/// A job with a started task is finished as long as its result is useful.
#[test]
fn a_job_that_began_is_finished_late() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(2)]));
    site.dispatch.take_commands();
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::Started);
    let back = RunEvent::NotStarted(NotStarted::TooLate);
    site.now_ms = 100 + 3 * 210 - 100;
    site.dispatch.agent_ready(agents[0], site.now_ms);
    site.tell(agents[0], task(1, 0, 1), 1, back);
    let (_, placement) = site.placements().remove(0);
    assert_eq!((placement.tasks[0].index, placement.give_up_in_ms), (1, 100));
}

/// The wait is estimated from tasks that are at least as urgent, not from all waiting tasks.
#[test]
fn an_urgent_task_goes_where_only_less_urgent_ones_wait() {
    let (mut site, agents) = Site::new(&[9_000, 9_000]);
    let urgent = UpstreamLoad { waiting: 2, waiting_milli_ms: [600_000, 0, 0, 0], ..load(9_000) };
    let others = UpstreamLoad { waiting: 9, waiting_milli_ms: [0, 0, 2_700_000, 0], ..load(9_000) };
    site.dispatch.handle_report(agents[0], &[], urgent, 0, site.now_ms);
    site.dispatch.handle_report(agents[1], &[], others, 0, site.now_ms);
    site.submit(job(1, vec![step(1)]));
    assert_eq!(site.placements()[0].0, agents[1]);
}

/// Run times are off by 40 %, so tasks queue at one upstream while another has room again. Half
/// of that room is used for tasks that wait elsewhere.
#[test]
fn waiting_tasks_are_recalled_for_room_elsewhere() {
    let (mut site, agents) = Site::new(&[0, 9_000]);
    site.submit(job(1, vec![step(6)]));
    let placed = site.placements();
    assert!(
        placed.iter().any(|(agent, placement)| *agent == agents[0] && placement.tasks.len() > 3)
    );
    let waiting = UpstreamLoad { waiting: 3, waiting_milli_ms: [900_000, 0, 0, 0], ..load(9_000) };
    site.dispatch.handle_report(agents[0], &[], waiting, 9, site.now_ms);
    site.now_ms += 20;
    site.dispatch.handle_report(agents[1], &[], load(0), 9, site.now_ms);
    let recalls: Vec<_> = site.dispatch.take_commands();
    let [Command::Withdraw(at, tasks)] = &recalls[..] else { panic!("{recalls:?}") };
    assert_eq!((*at, tasks.len()), (agents[0], 1));
    let task = tasks[0];
    site.dispatch.handle_report(agents[1], &[], load(0), 9, site.now_ms);
    let again = site.dispatch.take_commands();
    assert!(
        !again
            .iter()
            .any(|command| matches!(command, Command::Withdraw(_, more) if more.contains(&task)))
    );
    let back = RunEvent::NotStarted(NotStarted::Withdrawn);
    let report = RunReport { number: 1, task, run: 1, event: back };
    site.dispatch.handle_report(agents[0], &[report], waiting, 9, site.now_ms);
    assert_eq!(site.placements()[0].0, agents[1]);
}

/// Reports an agent whose upstream is free, and one at which all tasks of a job wait. Returns how
/// many tasks of each priority are recalled for the free one while work of the highest priority
/// takes this part of the capacity.
fn recalled_by_priority(arriving_milli: u32, urgent_tasks: u16) -> [usize; 2] {
    let (mut site, agents) = Site::new(&[0, 10_000]);
    for priority in [1, 0] {
        let need = Resources { cpu_milli: 1_500, memory_mb: 10, accelerators: 0 };
        let count = if priority == 0 { urgent_tasks } else { 4 };
        let mut request = job(u64::from(priority), vec![StepRequest { need, ..step(count) }]);
        let kind = KindParameters { priority, stretch: 9.0, ..(*request.kind).clone() };
        request.kind = Arc::new(KindParameters { name: format!("kind-{priority}"), ..kind });
        site.submit(request);
    }
    site.dispatch.take_commands();
    let arriving_milli = [arriving_milli, 0, 0, 0];
    let waiting_milli_ms = [600_000, 600_000, 0, 0];
    let waiting = UpstreamLoad { waiting: 4, waiting_milli_ms, arriving_milli, ..load(10_000) };
    site.dispatch.handle_report(agents[0], &[], waiting, 9, site.now_ms);
    site.now_ms += 20;
    let free = UpstreamLoad { arriving_milli, ..load(0) };
    site.dispatch.handle_report(agents[1], &[], free, 9, site.now_ms);
    let mut recalled = [0; 2];
    for command in site.dispatch.take_commands() {
        if let Command::Withdraw(_, tasks) = command {
            tasks.iter().for_each(|task| recalled[usize::from(task.job.0 == 1)] += 1);
        }
    }
    recalled
}

/// Guards against less urgent tasks that take the room which is free while urgent ones wait.
#[test]
fn the_most_urgent_tasks_are_recalled_first() {
    assert_eq!(recalled_by_priority(0, 2), [2, 1]);
    // One of the urgent tasks still waits.
    assert_eq!(recalled_by_priority(3_000, 4), [3, 0]);
}

/// Guards against long, less urgent tasks in the room for which urgent ones arrive all the time.
#[test]
fn room_for_arriving_urgent_work_is_left() {
    assert_eq!(recalled_by_priority(3_000, 2), [2, 2]);
    assert_eq!(recalled_by_priority(8_000, 2), [2, 0]);
}

/// Several entries claim the same room. A task that was recalled and waits again is left in place
/// for twice as long each time.
#[test]
fn the_wait_before_a_recall_doubles_each_time() {
    let (mut site, agents) = Site::new(&[0, 0]);
    let waiting = UpstreamLoad { waiting: 3, waiting_milli_ms: [900_000, 0, 0, 0], ..load(9_000) };
    site.submit(job(1, vec![step(1)]));
    let (mut at, _) = site.placements().remove(0);
    let mut recalls = 0;
    for _ in 0..80 {
        site.now_ms += 5;
        let other = if at == agents[0] { agents[1] } else { agents[0] };
        for agent in [at, other] {
            site.dispatch.agent_ready(agent, site.now_ms);
        }
        site.dispatch.handle_report(at, &[], waiting, 9, site.now_ms);
        site.dispatch.handle_report(other, &[], load(0), 9, site.now_ms);
        let commands = site.dispatch.take_commands();
        if commands.iter().any(|command| matches!(command, Command::Withdraw(..))) {
            recalls += 1;
            let back = RunEvent::NotStarted(NotStarted::Withdrawn);
            site.tell(at, task(1, 0, 0), recalls, back);
            at = other;
        }
    }
    assert_eq!(recalls, 4, "after 15, 45, 105 and 225 ms of 400");
}

/// Jobs that can never succeed fail on every upstream. Other jobs must not be refused because of
/// them.
#[test]
fn failures_on_all_upstreams_do_not_cause_refusals() {
    let (mut site, agents) = Site::new(&[0, 0]);
    for &agent in &agents {
        let failing = UpstreamLoad { failing_percent: 60, ..load(0) };
        site.dispatch.handle_report(agent, &[], failing, 0, site.now_ms);
    }
    site.submit(job(1, vec![step(4)]));
    let placed: usize = site.placements().iter().map(|(_, sent)| sent.tasks.len()).sum();
    assert_eq!(placed, 4);
}

/// Two failures among eight runs may be due to the jobs as well as to the upstream. They are no
/// reason to queue at another upstream.
#[test]
fn a_few_failures_do_not_outweigh_a_queue() {
    let (mut site, agents) = Site::new(&[0, 9_000]);
    let some = UpstreamLoad { failing_percent: 25, ..load(0) };
    let queue = UpstreamLoad { waiting: 3, waiting_milli_ms: [900_000, 0, 0, 0], ..load(9_000) };
    site.dispatch.handle_report(agents[0], &[], some, 0, site.now_ms);
    site.dispatch.handle_report(agents[1], &[], queue, 0, site.now_ms);
    site.submit(job(1, vec![step(1)]));
    assert_eq!(site.placements()[0].0, agents[0]);
}

/// In a burst of short jobs with several tasks each, a job waits for its last task, so one free
/// place is not enough.
#[test]
fn a_job_is_refused_when_its_last_task_cannot_be_in_time() {
    let (mut site, agents) = Site::new(&[0]);
    let waiting = UpstreamLoad {
        waiting: 3,
        waiting_milli_ms: [900_000, 0, 0, 0],
        running_milli_ms: 450_000,
        ..load(9_000)
    };
    site.dispatch.handle_report(agents[0], &[], waiting, 0, site.now_ms);
    let answer = site.refuse(job(1, vec![step(4)]));
    assert!(
        matches!(answer, JobAnswer::NotRun { reason: NoResultReason::Overload, .. }),
        "{answer:?}"
    );
    site.submit(job(2, vec![step(1)]));
    // 900 of waiting work plus a third of 450 until there is room, divided by ten cores.
    let forecast = site.dispatch.last_forecast();
    assert_eq!((forecast.wait_ms, forecast.end_in_ms, forecast.late_ms), (106, 206, 0));
}

/// Jobs of a burst end later than forecast because more urgent ones overtake them. The forecast
/// learns this after a few jobs and forgets it within seconds. No job is refused for it while
/// there is free room.
#[test]
fn forecasts_learn_how_late_jobs_end() {
    let (mut site, agents) = Site::new(&[0]);
    let busy = UpstreamLoad { waiting: 2, waiting_milli_ms: [600_000, 0, 0, 0], ..load(9_000) };
    let ask = |site: &mut Site, id: u64, load: UpstreamLoad| {
        let (arrived_ms, deadline_ms) = (site.now_ms, site.now_ms + 2_000);
        site.dispatch.agent_ready(agents[0], site.now_ms);
        site.dispatch.handle_report(agents[0], &[], load, 0, site.now_ms);
        let request = JobRequest { arrived_ms, deadline_ms, ..job(id, vec![step(1)]) };
        site.dispatch.submit(request, site.now_ms)
    };
    // Forecast for 161 ms, on time within 210 ms.
    let mut taken = 0;
    let refused = loop {
        match ask(&mut site, taken, busy) {
            Ok(_) => site.now_ms += 161 + 250,
            Err(refused) => break refused,
        }
        site.tell(agents[0], task(taken, 0, 0), 1, done());
        taken += 1;
    };
    assert!(
        matches!(refused, JobAnswer::NotRun { reason: NoResultReason::Overload, .. }),
        "{refused:?}"
    );
    assert!((3..=16).contains(&taken), "{taken}");
    assert!(ask(&mut site, 100, load(0)).is_ok());
    site.now_ms += 4_000;
    assert!(ask(&mut site, 101, busy).is_ok());
}

/// Guards against giving up jobs with most of their tasks done: at 1.8 times the usual load this
/// happened to one short job in ten.
#[test]
fn the_last_tasks_of_a_job_that_has_begun_are_finished() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(4)]));
    site.dispatch.take_commands();
    let finish = |site: &mut Site| {
        site.now_ms += 20;
        site.dispatch.tick(site.now_ms);
        let commands = site.dispatch.take_commands().into_iter();
        commands
            .filter(|command| matches!(command, Command::JobMostlyStarted(..)))
            .collect::<Vec<_>>()
    };
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::Started);
    assert_eq!(finish(&mut site), []);
    site.tell(agents[0], task(1, 0, 1), 1, RunEvent::Started);
    // The job is given up 630 ms after it arrived, at 100 + 630 ms.
    let told = Command::JobMostlyStarted(agents[0], CallerJobId(1), 630 - 40);
    assert_eq!(finish(&mut site), [told]);
    assert_eq!(finish(&mut site), [], "once");
    // A returned task is placed as one of the last of its job.
    site.tell(agents[0], task(1, 0, 2), 1, RunEvent::NotStarted(NotStarted::Refused));
    assert!(site.placements()[0].1.job_mostly_started);
}

/// Guards against a copy of a job that runs for another entry being placed at its agent every
/// millisecond.
#[test]
fn a_task_that_is_refused_repeatedly_pauses() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    let refused = RunEvent::NotStarted(NotStarted::Refused);
    let mut placed = Vec::new();
    for now_ms in 100..350 {
        site.tick_at(now_ms, &agents);
        for (agent, placement) in site.placements() {
            placed.push(now_ms);
            site.tell(agent, task(1, 0, 0), placement.tasks[0].run, refused);
        }
    }
    assert_eq!(placed, [100, 101, 151, 201, 251, 301]);
}

/// Guards against a task that keeps running beside a copy of its job, because its stop was lost
/// with the connection.
#[test]
fn ended_jobs_are_stopped_again_on_a_new_connection() {
    let (mut site, agents) = Site::new(&[0]);
    let held = [(task(1, 0, 0), 1)];
    let key = site.submit(job(1, vec![step(1)]));
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::Started);
    let connect = |site: &mut Site| {
        site.dispatch.take_commands();
        site.dispatch.agent_disconnected(agents[0]);
        site.dispatch.agent_connected("agent-0", Incarnation(1), Some(&held), site.now_ms);
        site.dispatch.agent_ready(agents[0], site.now_ms);
        site.dispatch.take_commands()
    };
    let stop = Command::Stop(agents[0], CallerJobId(1));
    assert_eq!(connect(&mut site), [], "the job is still open");
    site.dispatch.cancel(key);
    assert_eq!(connect(&mut site), std::slice::from_ref(&stop), "the job is being ended");
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::Lost);
    assert_eq!(connect(&mut site), [stop], "the job was answered");
}

#[test]
fn a_refusal_without_a_forecast_does_not_report_that_of_another_job() {
    let (mut site, _) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    assert_eq!(site.dispatch.last_forecast().end_in_ms, 100);
    // A job with the same id is refused before its forecast.
    site.refuse(job(1, vec![step(1)]));
    assert_eq!(site.dispatch.last_forecast().end_in_ms, 0);
}

/// An entry that stops refuses only jobs that may not end before it does.
#[test]
fn a_stopping_entry_accepts_jobs_that_end_before_the_stop() {
    let (mut site, _) = Site::new(&[0, 0]);
    site.dispatch.plan_stop(site.now_ms + 250);
    site.submit(job(1, vec![step(1)]));
    site.now_ms += 100;
    let late = JobRequest { arrived_ms: site.now_ms, ..job(2, vec![step(1)]) };
    let refused = site.refuse(late);
    assert!(
        matches!(refused, JobAnswer::NotRun { reason: NoResultReason::Stopping, .. }),
        "{refused:?}"
    );
}

/// Runs jobs one after the other, each for this many times its forecast of 100 ms.
fn jobs_take(site: &mut Site, agent: AgentKey, jobs: std::ops::Range<u64>, times: u64) {
    for id in jobs {
        site.tick_at(site.now_ms, &[agent]);
        let (arrived_ms, deadline_ms) = (site.now_ms, site.now_ms + 60_000);
        site.submit(JobRequest { arrived_ms, deadline_ms, ..job(id, vec![step(1)]) });
        site.now_ms += 100 * times;
        // The run itself takes as long as expected.
        site.tell(agent, task(id, 0, 0), 1, done());
    }
}

/// Guards against accepting jobs that cannot end before the stop when one job in ten takes twice
/// its forecast.
#[test]
fn a_stopping_entry_learns_how_long_jobs_take() {
    let (mut site, agents) = Site::new(&[0]);
    let ask = |site: &mut Site, id, left_ms| {
        site.dispatch.plan_stop(site.now_ms + left_ms);
        let (arrived_ms, deadline_ms) = (site.now_ms, site.now_ms + 60_000);
        let request = JobRequest { arrived_ms, deadline_ms, ..job(id, vec![step(1)]) };
        site.dispatch.submit(request, site.now_ms)
    };
    jobs_take(&mut site, agents[0], 0..40, 3);
    let refused = ask(&mut site, 1_000, 290).unwrap_err();
    assert!(
        matches!(refused, JobAnswer::NotRun { reason: NoResultReason::Stopping, .. }),
        "{refused:?}"
    );
    assert!(ask(&mut site, 1_001, 400).is_ok());
    // No stop is planned any more, and jobs are as quick as expected.
    site.dispatch.plan_stop(u64::MAX);
    jobs_take(&mut site, agents[0], 2_000..2_400, 1);
    assert!(ask(&mut site, 3_000, 160).is_ok());
}

/// Only the first step is placed and forecast when a job arrives.
#[test]
fn a_stopping_entry_counts_later_steps() {
    let (mut site, _) = Site::new(&[0, 0]);
    site.dispatch.plan_stop(site.now_ms + 300);
    site.submit(job(1, vec![step(1)]));
    let then = StepRequest { after: vec![0], ..step(1) };
    let refused = site.refuse(job(2, vec![step(1), then]));
    assert!(
        matches!(refused, JobAnswer::NotRun { reason: NoResultReason::Stopping, .. }),
        "{refused:?}"
    );
}

/// Without an upstream the forecast is 0, which is not the duration of the job.
#[test]
fn a_stopping_entry_without_upstreams_counts_run_times() {
    let (mut site, _) = Site::new(&[]);
    site.dispatch.plan_stop(site.now_ms + 150);
    let refused = site.refuse(job(1, vec![step(1)]));
    assert!(
        matches!(refused, JobAnswer::NotRun { reason: NoResultReason::Stopping, .. }),
        "{refused:?}"
    );
}

/// A job that runs longer than expected must still be answered.
#[test]
fn a_stopping_entry_answers_jobs_that_run_longer_than_expected() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::Started);
    site.dispatch.take_commands();
    let stops_ms = site.now_ms + 250;
    site.dispatch.plan_stop(stops_ms);
    site.tick_at(stops_ms - 1, &agents);
    assert_eq!(site.dispatch.take_commands(), [], "it may end in time");
    site.tick_at(stops_ms, &agents);
    let stop = Command::Stop(agents[0], CallerJobId(1));
    assert_eq!(site.dispatch.take_commands(), [stop]);
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::Stopped);
    assert_eq!(site.answers(), [JobAnswer::Unknown { reason: NoResultReason::Stopping }]);
}

/// An unreachable agent must not delay an answer beyond the stop.
#[test]
fn a_stopping_entry_answers_without_a_report_of_the_agent() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    let stops_ms = site.now_ms + 250;
    site.dispatch.plan_stop(stops_ms);
    site.tick_at(stops_ms, &agents);
    assert_eq!(site.answers(), []);
    site.tick_at(stops_ms + STOP_ANSWER_MS, &agents);
    // It is unknown whether the task started.
    assert_eq!(site.answers(), [JobAnswer::Unknown { reason: NoResultReason::Stopping }]);
    assert_eq!(site.dispatch.job_count(), 0);
}

/// Jobs that only wait have not run, and their callers are told so.
#[test]
fn a_stopping_entry_answers_not_run_for_unstarted_jobs() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    site.dispatch.plan_stop(site.now_ms + 250);
    site.tick_at(site.now_ms + 250, &agents);
    let withdrawn = RunEvent::NotStarted(NotStarted::Withdrawn);
    site.tell(agents[0], task(1, 0, 0), 1, withdrawn);
    let answers = site.answers();
    assert!(
        matches!(answers[..], [JobAnswer::NotRun { reason: NoResultReason::Stopping, .. }]),
        "{answers:?}"
    );
}

/// The last task runs on an upstream that is far too slow, and no other job waits for its room.
#[test]
fn a_job_whose_tasks_all_run_is_finished_for_as_long_as_its_caller_waits() {
    let (mut site, agents) = Site::new(&[0, 0]);
    site.submit(job(1, vec![step(2)]));
    for (agent, placement) in site.placements() {
        for start in placement.tasks {
            site.tell(agent, task(1, 0, start.index), 1, RunEvent::Started);
        }
    }
    // Three times the objective span of 210 ms has long passed; the caller waits until 2,100 ms.
    site.tick_at(2_000, &agents);
    assert_eq!(site.answers(), []);
    site.tick_at(2_100, &agents);
    let stopped = site.dispatch.take_commands();
    assert!(stopped.iter().any(|command| matches!(command, Command::Stop(..))), "{stopped:?}");
}

/// A result that is ready is delivered even while the job is being given up.
#[test]
fn a_job_that_completes_while_it_is_given_up_is_answered_with_its_result() {
    let (mut site, agents) = Site::new(&[0]);
    site.submit(job(1, vec![step(1)]));
    site.tell(agents[0], task(1, 0, 0), 1, RunEvent::Started);
    site.tick_at(2_100, &agents);
    assert_eq!(site.answers(), []);
    site.tell(agents[0], task(1, 0, 0), 1, done());
    assert_eq!(site.answers(), [JobAnswer::Completed]);
    assert_eq!(site.dispatch.job_count(), 0);
}

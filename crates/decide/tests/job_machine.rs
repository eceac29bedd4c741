//! Property tests of a job under random events, with agents that follow the rules of the start
//! gate: late and duplicate replies, broken connections, lost agents, cancellations, fences.

use {
    proptest::{collection::vec, prelude::*},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
    sycamorerail_decide::{
        job::{Action, Event, Job, JobParameters, PlacementKey, Reply, TaskAttempt},
        view::UpstreamKey,
    },
    sycamorerail_wire::answer::{Answer, Outcome, Payload, Reason, TaskEnd, TaskRecord},
};

const AGENTS: u32 = 3;
const DEADLINE_MS: u64 = 1_000;
const REPORT_WAIT_MS: u64 = 200;

/// One event of a test run. Numbers select among the possible targets.
#[derive(Clone, Debug)]
enum Step {
    /// The dispatcher places a waiting attempt.
    Place {
        waiting: usize,
        agent: u32,
    },
    /// A message of the home entry reaches its agent, which starts or refuses the task.
    Arrive {
        message: usize,
        starts: bool,
    },
    /// A running task ends.
    End {
        running: usize,
        end: u8,
    },
    /// An agent's record reaches the home entry as a reply.
    Reply {
        placement: usize,
    },
    /// The reply is lost with its connection; the message is sent again.
    Break {
        placement: usize,
    },
    /// The agent is unreachable for long and may come back.
    Unreachable {
        placement: usize,
    },
    /// The agent's incarnation ends and its records are lost.
    Lose {
        agent: u32,
    },
    /// A revoke reaches its agent and is reported.
    Revoke {
        revoke: usize,
        fails: bool,
    },
    /// Time passes.
    Tick {
        ms: u64,
    },
    Cancel,
    Fence,
}

fn step() -> impl Strategy<Value = Step> {
    let any = any::<usize>;
    prop_oneof![
        6 => (any(), 0..AGENTS).prop_map(|(waiting, agent)| Step::Place { waiting, agent }),
        6 => (any(), prop::bool::weighted(0.8))
            .prop_map(|(message, starts)| Step::Arrive { message, starts }),
        5 => (any(), 0..8_u8).prop_map(|(running, end)| Step::End { running, end }),
        6 => any().prop_map(|placement| Step::Reply { placement }),
        2 => any().prop_map(|placement| Step::Break { placement }),
        1 => any().prop_map(|placement| Step::Unreachable { placement }),
        1 => (0..AGENTS).prop_map(|agent| Step::Lose { agent }),
        3 => (any(), prop::bool::weighted(0.2))
            .prop_map(|(revoke, fails)| Step::Revoke { revoke, fails }),
        2 => (1..400_u64).prop_map(|ms| Step::Tick { ms }),
        1 => Just(Step::Cancel),
        1 => Just(Step::Fence),
    ]
}

#[derive(Clone, Debug, PartialEq)]
enum Known {
    Running,
    Ended(TaskEnd),
    Broken,
    Tombstone,
}

/// The true state of the agents, whatever the home entry knows.
#[derive(Default)]
struct Fleet {
    records: HashMap<(UpstreamKey, TaskAttempt), Known>,
    starts: HashMap<TaskAttempt, u32>,
    gone: HashSet<UpstreamKey>,
}

struct Run {
    job: Job,
    now_ms: u64,
    waiting: Vec<TaskAttempt>,
    /// Messages in transit to an agent.
    messages: Vec<(UpstreamKey, PlacementKey)>,
    /// Placements without a reply at the home entry.
    open: Vec<(UpstreamKey, PlacementKey)>,
    /// Refusals in transit to the home entry.
    refusals: HashMap<PlacementKey, bool>,
    revokes: Vec<(UpstreamKey, TaskAttempt)>,
    answers: Vec<Answer>,
    fleet: Fleet,
    repeatable: bool,
    stopped: bool,
}

impl Run {
    fn new(task_count: u16, max_attempts: u8, hedge_after_ms: Option<u32>) -> Self {
        let parameters = JobParameters {
            task_count,
            max_attempts,
            deadline_at_ms: DEADLINE_MS,
            hedge_after_ms,
            report_wait_ms: REPORT_WAIT_MS as u32,
            retry_after_ms: 500,
        };
        let job = Job::new(parameters);
        Self {
            waiting: job.first_attempts().collect(),
            job,
            now_ms: 0,
            messages: Vec::new(),
            open: Vec::new(),
            refusals: HashMap::new(),
            revokes: Vec::new(),
            answers: Vec::new(),
            fleet: Fleet::default(),
            repeatable: max_attempts > 1,
            stopped: false,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let actions = self.job.handle_event(event, self.now_ms, &mut |_| Some(0));
        for action in actions {
            match action {
                Action::Enqueue { task, .. } => {
                    assert!(!self.stopped && self.answers.is_empty(), "placed after the end");
                    self.waiting.push(task);
                }
                Action::Revoke { upstream, tasks } => {
                    self.revokes.extend(tasks.into_iter().map(|task| (upstream, task)));
                }
                Action::Answer(answer) => self.answers.push(answer),
            }
        }
    }

    fn place(&mut self, waiting: usize, agent: u32) {
        let Some(index) = pick(waiting, self.waiting.len()) else { return };
        let (task, upstream) = (self.waiting[index], UpstreamKey(agent));
        if self.fleet.gone.contains(&upstream)
            || self.job.upstreams_to_avoid(task, self.now_ms).contains(&upstream)
        {
            return;
        }
        self.waiting.remove(index);
        let Some(placement) = self.job.open_placement(task, upstream, self.now_ms) else { return };
        assert!(!self.stopped && self.answers.is_empty(), "placed after the end");
        assert!(
            self.open.iter().all(|(_, other)| other.task != task),
            "two open placements of {task:?}"
        );
        self.open.push((upstream, placement));
        self.messages.push((upstream, placement));
    }

    fn arrive(&mut self, message: usize, starts: bool) {
        let Some(index) = pick(message, self.messages.len()) else { return };
        let (upstream, placement) = self.messages.remove(index);
        if self.fleet.gone.contains(&upstream) {
            return;
        }
        let record = self.fleet.records.get(&(upstream, placement.task));
        match record {
            // A copy of the message joins the first one.
            Some(_) => {}
            None if starts => {
                self.fleet.records.insert((upstream, placement.task), Known::Running);
                *self.fleet.starts.entry(placement.task).or_default() += 1;
            }
            None => {
                self.refusals.insert(placement, false);
            }
        }
    }

    fn end(&mut self, running: usize, end: u8) {
        let mut keys: Vec<_> = self
            .fleet
            .records
            .iter()
            .filter(|(_, known)| **known == Known::Running)
            .map(|(key, _)| *key)
            .collect();
        keys.sort_unstable();
        let Some(index) = pick(running, keys.len()) else { return };
        let known = match end {
            0 => Known::Broken,
            1 => Known::Ended(failed(Reason::TaskFailed)),
            _ => Known::Ended(TaskEnd::Finished(Payload("1".to_owned()))),
        };
        self.fleet.records.insert(keys[index], known);
    }

    fn reply(&mut self, placement: usize) {
        let Some(index) = pick(placement, self.open.len()) else { return };
        let (upstream, placement) = self.open[index];
        let reply = match self.fleet.records.get(&(upstream, placement.task)) {
            Some(Known::Ended(end)) => Reply::Ended(end.clone()),
            Some(Known::Broken) => Reply::Broken(Reason::UpstreamBroken),
            Some(Known::Tombstone) => not_started(true),
            Some(Known::Running) => return,
            None => match self.refusals.remove(&placement) {
                Some(never) => not_started(never),
                None => return,
            },
        };
        self.open.remove(index);
        let event = Event::Replied { placement, peer: Arc::from("a"), reply };
        self.handle_event(event.clone());
        self.handle_event(event);
    }

    /// Copies of the first message may still arrive later.
    fn break_connection(&mut self, placement: usize) {
        let Some(index) = pick(placement, self.open.len()) else { return };
        let (upstream, placement) = self.open[index];
        self.refusals.remove(&placement);
        self.handle_event(Event::ConnectionBroke { placement });
        if self.job.resend_placement(placement) {
            assert!(!self.stopped && self.answers.is_empty(), "sent again after the end");
            self.messages.push((upstream, placement));
        }
    }

    fn unreachable(&mut self, placement: usize) {
        let Some(index) = pick(placement, self.open.len()) else { return };
        let (_, placement) = self.open[index];
        let was_awaited = self.job.resend_placement(placement);
        self.handle_event(Event::AgentUnreachable { placement, peer: Arc::from("a") });
        if was_awaited && !self.repeatable {
            // A task of a job has no other attempt to wait for.
            self.stopped = true;
            let decides_at_ms = self.job.wake_at_ms(self.now_ms).unwrap_or(0);
            assert!(decides_at_ms <= self.now_ms + REPORT_WAIT_MS, "the answer is delayed");
        }
    }

    fn lose(&mut self, agent: u32) {
        let upstream = UpstreamKey(agent);
        if !self.fleet.gone.insert(upstream) {
            return;
        }
        self.fleet.records.retain(|(at, _), _| *at != upstream);
        let lost: Vec<_> =
            self.open.extract_if(.., |(at, _)| *at == upstream).map(|(_, open)| open).collect();
        for placement in lost {
            self.handle_event(Event::AgentLost { placement, peer: Arc::from("a") });
        }
    }

    fn revoke(&mut self, revoke: usize, fails: bool) {
        let Some(index) = pick(revoke, self.revokes.len()) else { return };
        let (upstream, task) = self.revokes.remove(index);
        if fails || self.fleet.gone.contains(&upstream) {
            return self.handle_event(Event::RevokeFailed { upstream, task });
        }
        let known = self.fleet.records.entry((upstream, task)).or_insert(Known::Tombstone);
        if *known == Known::Running {
            *known = Known::Ended(failed(Reason::Cancelled));
        }
        let record = match known.clone() {
            Known::Tombstone => TaskRecord::NeverStarted,
            Known::Ended(end) => TaskRecord::Ended(end),
            Known::Broken => TaskRecord::Broken(Reason::UpstreamBroken),
            Known::Running => TaskRecord::Running,
        };
        self.handle_event(Event::Reported { upstream, task, peer: Arc::from("a"), record });
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Place { waiting, agent } => self.place(waiting, agent),
            Step::Arrive { message, starts } => self.arrive(message, starts),
            Step::End { running, end } => self.end(running, end),
            Step::Reply { placement } => self.reply(placement),
            Step::Break { placement } => self.break_connection(placement),
            Step::Unreachable { placement } => self.unreachable(placement),
            Step::Lose { agent } => self.lose(agent),
            Step::Revoke { revoke, fails } => self.revoke(revoke, fails),
            Step::Tick { ms } => {
                self.now_ms += ms;
                self.stopped |= self.now_ms >= DEADLINE_MS;
                self.handle_event(Event::Tick);
            }
            Step::Cancel => {
                self.stopped = true;
                self.handle_event(Event::Cancel);
            }
            Step::Fence => {
                self.stopped = true;
                self.handle_event(Event::Fenced);
            }
        }
        self.check();
    }

    fn check(&self) {
        for (task, &starts) in &self.fleet.starts {
            assert_eq!(starts, 1, "{task:?} started more than once");
            assert!(self.repeatable || task.attempt == 0, "{task:?} repeated");
        }
        let Some(last) = self.answers.last() else { return };
        let count = usize::from(self.job.parameters().task_count);
        let expected = if last.outcome == Outcome::Complete { count } else { 0 };
        assert_eq!(last.results.len(), expected, "wrong number of results");
        if last.outcome == Outcome::NotRun {
            assert!(self.fleet.starts.is_empty(), "not_run, but started");
            assert!(self.job.no_start_possible());
        }
        for answer in &self.answers[..self.answers.len() - 1] {
            assert_eq!(answer.outcome, Outcome::Unknown, "a final answer was changed");
        }
    }

    /// Lets time pass and all messages arrive late.
    fn finish(&mut self) {
        self.take(Step::Tick { ms: 2 * DEADLINE_MS });
        self.take(Step::Tick { ms: 2 * DEADLINE_MS });
        assert!(!self.answers.is_empty(), "no answer after the deadline");
        for round in 0..self.messages.len() + self.open.len() + self.revokes.len() {
            self.take(Step::Arrive { message: round, starts: true });
            self.take(Step::Revoke { revoke: round, fails: false });
            self.take(Step::Reply { placement: round });
        }
    }
}

fn pick(number: usize, count: usize) -> Option<usize> {
    (count > 0).then(|| number % count)
}

fn failed(reason: Reason) -> TaskEnd {
    TaskEnd::Failed { reason, detail: String::new() }
}

fn not_started(never: bool) -> Reply {
    Reply::NotStarted { reason: Reason::AgentFull, never, retry_after_ms: 0 }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_500))]

    #[test]
    fn job_keeps_rules(task_count in 1..5_u16, steps in vec(step(), 0..80)) {
        let mut run = Run::new(task_count, 1, None);
        steps.into_iter().for_each(|step| run.take(step));
        run.finish();
    }

    #[test]
    fn request_keeps_rules(
        max_attempts in 1..4_u8,
        hedge_after_ms in prop::option::of(1..300_u32),
        steps in vec(step(), 0..80),
    ) {
        let mut run = Run::new(1, max_attempts, hedge_after_ms);
        steps.into_iter().for_each(|step| run.take(step));
        run.finish();
    }
}

//! Model-based test with a home that is alive but cut off, agents with real start gates, and
//! two entries that fence the home. Messages arrive in any order, late or never.
//!
//! Starts are counted where the upstream is called. They are compared with the answers of the
//! home's state machine and the conclusions of each fencing entry.

use {
    proptest::{collection::vec, prelude::*, sample::Index},
    std::{collections::BTreeMap, sync::Arc},
    sycamorerail_decide::{
        fence::{
            Conclusion, JobFacts, Roster,
            collector::{Collector, FenceTimes, Request},
        },
        gate::{
            CallPermit, Gate, Limits, PlacementDecision, SettledTask, TaskStart, UpstreamState,
        },
        job::{Action, Event, Job, JobParameters, PlacementKey, Reply, TaskAttempt},
        view::UpstreamKey,
    },
    sycamorerail_wire::{
        answer::{Answer, Outcome, Payload, Reason, TaskEnd, TaskReport},
        ids::{ContentHash, IdKey, Incarnation, JobId, OrganisationKey, TaskId},
        message::{AgentReplyBody, FencedJob, Placement},
    },
};

const HOME: Incarnation = Incarnation(77);
const AGENTS: usize = 4;
/// Number of tasks of each job; the last job is a repeatable request.
const JOBS: [u16; 4] = [1, 2, 3, 1];
const REQUEST: usize = 3;
const FENCERS: usize = 2;
const DEADLINE_MS: u64 = 2_000;
const LIMITS: Limits = Limits {
    retention_ms: u64::MAX / 2,
    kept_result_bytes: 40,
    record_bytes: 1 << 20,
    max_queued: 2,
};
const TIMES: FenceTimes =
    FenceTimes { window_ms: 5, answer_within_ms: 500, ask_again_ms: 20, unknown_kept_ms: 100 };

#[derive(Clone, Debug)]
enum Op {
    Register,
    Follow,
    Place(Index),
    Deliver(Index),
    Lose(Index),
    End(Index, u8),
    Die(Index),
    Cancel(Index),
    Fence,
    ReadRoster(Index),
    Ask(Index, Index),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let any = any::<Index>;
    prop_oneof![
        3 => Just(Op::Register),
        5 => Just(Op::Follow),
        16 => any().prop_map(Op::Place),
        30 => any().prop_map(Op::Deliver),
        3 => any().prop_map(Op::Lose),
        10 => (any(), 0..8_u8).prop_map(|(run, how)| Op::End(run, how)),
        1 => any().prop_map(Op::Die),
        1 => any().prop_map(Op::Cancel),
        2 => Just(Op::Fence),
        3 => any().prop_map(Op::ReadRoster),
        12 => (any(), any()).prop_map(|(fencer, job)| Op::Ask(fencer, job)),
        6 => (1..150_u64).prop_map(Op::Wait),
    ]
}

/// A change of the platform's records, in the order of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Registered(usize),
    Fenced,
}

#[derive(Clone, Debug)]
enum Message {
    Place { agent: usize, job: usize, key: PlacementKey },
    Placed { agent: usize, job: usize, key: PlacementKey, body: AgentReplyBody },
    Revoke { agent: usize, job: usize, tasks: Vec<TaskAttempt> },
    Revoked { agent: usize, job: usize, tasks: Vec<TaskAttempt>, reports: Vec<TaskReport> },
    Fence { fencer: usize, request: Request },
    Fenced { fencer: usize, request: Request, held: Vec<FencedJob> },
}

struct Agent {
    gate: Gate,
    alive: bool,
    running: Vec<TaskId>,
    waiters: Vec<(TaskId, usize, PlacementKey)>,
}

struct Model {
    now_ms: u64,
    ids: Vec<JobId>,
    log: Vec<Change>,
    /// Number of log entries that the home has seen.
    seen: usize,
    jobs: Vec<Job>,
    waiting: Vec<(usize, TaskAttempt)>,
    home_says: Vec<Option<Answer>>,
    retired: bool,
    agents: Vec<Agent>,
    collectors: Vec<Option<Collector>>,
    concluded: Vec<BTreeMap<usize, Conclusion>>,
    messages: Vec<Message>,
    starts: BTreeMap<TaskId, u32>,
}

fn incarnation(agent: usize) -> Incarnation {
    Incarnation(100 + agent as u64)
}

fn content(job: usize) -> ContentHash {
    ContentHash::of(&[job as u8])
}

fn outcome_of(conclusion: &Conclusion) -> Option<Outcome> {
    match conclusion {
        Conclusion::Complete(_) => Some(Outcome::Complete),
        Conclusion::Failed { .. } => Some(Outcome::Failed),
        Conclusion::NotRun => Some(Outcome::NotRun),
        _ => None,
    }
}

impl Model {
    fn new() -> Self {
        let key = IdKey::derive("test");
        let address = "10.0.0.1:1".parse().unwrap();
        let organisation = OrganisationKey(1);
        let mint = |sequence| JobId::mint(&key, address, HOME, 1, sequence, organisation);
        let parameters = |(job, task_count): (usize, &u16)| JobParameters {
            task_count: *task_count,
            max_attempts: if job == REQUEST { 3 } else { 1 },
            deadline_at_ms: DEADLINE_MS,
            hedge_after_ms: (job == REQUEST).then_some(50),
            report_wait_ms: 200,
            retry_after_ms: 10,
        };
        let jobs: Vec<_> = JOBS.iter().enumerate().map(parameters).map(Job::new).collect();
        let first = |(job, task_count): (usize, &u16)| {
            (0..*task_count).map(move |index| (job, TaskAttempt { index, attempt: 0 }))
        };
        let agent = |agent| {
            let mut gate = Gate::new(incarnation(agent), LIMITS);
            gate.set_upstream(UpstreamState::Serving { slots: 2 });
            Agent { gate, alive: true, running: Vec::new(), waiters: Vec::new() }
        };
        Self {
            now_ms: 0,
            ids: (0..JOBS.len() as u64).map(mint).collect(),
            log: vec![Change::Registered(0)],
            seen: 1,
            jobs,
            waiting: JOBS.iter().enumerate().flat_map(first).collect(),
            home_says: vec![None; JOBS.len()],
            retired: false,
            agents: (0..AGENTS).map(agent).collect(),
            collectors: vec![None; FENCERS],
            concluded: vec![BTreeMap::new(); FENCERS],
            messages: Vec::new(),
            starts: BTreeMap::new(),
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Register => self.register(),
            Op::Follow => self.follow(),
            Op::Place(index) => self.place(&index),
            Op::Deliver(index) => self.deliver(&index),
            Op::Lose(index) => self.lose(&index),
            Op::End(index, how) => self.end(&index, how),
            Op::Die(index) => self.agents[index.index(AGENTS)].alive = false,
            Op::Cancel(index) => self.drive(index.index(JOBS.len()), Event::Cancel),
            Op::Fence => self.fence(),
            Op::ReadRoster(fencer) => self.read_roster(fencer.index(FENCERS)),
            Op::Ask(fencer, job) => self.ask(fencer.index(FENCERS), job.index(JOBS.len())),
            Op::Wait(ms) => self.wait(ms),
        }
        self.conclude_all();
    }

    fn register(&mut self) {
        let known = self.log.iter().filter(|change| **change != Change::Fenced).count();
        if known < AGENTS {
            self.log.push(Change::Registered(known));
        }
    }

    fn fence(&mut self) {
        if !self.log.contains(&Change::Fenced) {
            self.log.push(Change::Fenced);
        }
    }

    /// The home reads one more change of the log.
    fn follow(&mut self) {
        let Some(change) = self.log.get(self.seen) else { return };
        self.seen += 1;
        if *change == Change::Fenced {
            self.retire();
        }
    }

    fn retire(&mut self) {
        self.retired = true;
        (0..JOBS.len()).for_each(|job| self.drive(job, Event::Fenced));
    }

    fn usable(&self) -> Vec<usize> {
        let seen = &self.log[..self.seen];
        if seen.contains(&Change::Fenced) {
            return Vec::new();
        }
        let registered = seen.iter().filter_map(|change| match change {
            Change::Registered(agent) => Some(*agent),
            Change::Fenced => None,
        });
        registered.collect()
    }

    fn place(&mut self, index: &Index) {
        let usable = self.usable();
        if self.waiting.is_empty() || usable.is_empty() {
            return;
        }
        let (job, task) = self.waiting.remove(index.index(self.waiting.len()));
        let agent = usable[index.index(usable.len())];
        if let Some(key) =
            self.jobs[job].open_placement(task, UpstreamKey(agent as u32), self.now_ms)
        {
            self.messages.push(Message::Place { agent, job, key });
        }
    }

    fn drive(&mut self, job: usize, event: Event) {
        let actions = self.jobs[job].handle_event(event, self.now_ms, &mut |_| Some(0));
        for action in actions {
            match action {
                Action::Enqueue { task, .. } => self.waiting.push((job, task)),
                Action::Revoke { upstream, tasks } => {
                    self.messages.push(Message::Revoke { agent: upstream.0 as usize, job, tasks });
                }
                Action::Answer(answer) => self.home_answers(job, answer),
            }
        }
    }

    fn home_answers(&mut self, job: usize, answer: Answer) {
        if let Some(before) = &self.home_says[job] {
            assert_eq!(before.outcome, Outcome::Unknown, "home changed a final answer");
        }
        if answer.outcome == Outcome::NotRun {
            assert_eq!(self.starts_of(job), 0, "home said not_run of a started job");
        }
        self.home_says[job] = Some(answer);
    }

    fn deliver(&mut self, index: &Index) {
        if self.messages.is_empty() {
            return;
        }
        match self.messages.remove(index.index(self.messages.len())) {
            Message::Place { agent, job, key } => self.agent_placed(agent, job, key),
            Message::Placed { agent, job, key, body } => self.home_replied(agent, job, key, body),
            Message::Revoke { agent, job, tasks } => self.agent_revoked(agent, job, tasks),
            Message::Revoked { agent, job, tasks, reports } => {
                self.home_reported(agent, job, &tasks, &reports);
            }
            Message::Fence { fencer, request } => self.agent_fenced(fencer, request),
            Message::Fenced { fencer, request, held } => {
                if let Some(collector) = &mut self.collectors[fencer] {
                    collector.handle_answer(&request, held);
                }
            }
        }
    }

    fn agent_placed(&mut self, at: usize, job: usize, key: PlacementKey) {
        if !self.agents[at].alive {
            let peer = Arc::from("agent");
            return self.drive(job, Event::AgentLost { placement: key, peer });
        }
        let placement = self.placement(at, job, key.task);
        let task = placement.task;
        let agent = &mut self.agents[at];
        agent.waiters.push((task, job, key));
        match agent.gate.place(placement, self.now_ms) {
            PlacementDecision::Start(start) => self.start(at, &start),
            PlacementDecision::Queued { .. } | PlacementDecision::Joined => {}
            PlacementDecision::Settled(body) => {
                self.reply(at, &[SettledTask { task, reply: body }]);
            }
            PlacementDecision::Refused(refusal) => {
                agent.waiters.retain(|waiter| *waiter != (task, job, key));
                let body = refusal.reply();
                self.messages.push(Message::Placed { agent: at, job, key, body });
            }
        }
    }

    fn placement(&self, agent: usize, job: usize, task: TaskAttempt) -> Placement {
        Placement {
            agent: incarnation(agent),
            task: TaskId { job: self.ids[job], index: task.index, attempt: task.attempt },
            task_count: JOBS[job],
            content: content(job),
            organisation: "o".to_owned(),
            kind: "k".to_owned(),
            payload: Payload::default(),
            start_within_ms: 300,
            end_within_ms: 3_000,
            urgency: 0,
            config_mark: Default::default(),
        }
    }

    fn start(&mut self, at: usize, start: &TaskStart) {
        let task = start.placement.task;
        let agent = &mut self.agents[at];
        if agent.gate.permit_call(task) == CallPermit::Granted {
            agent.running.push(task);
            let starts = self.starts.entry(task).or_default();
            *starts += 1;
            assert_eq!(*starts, 1, "{task} started twice");
        }
    }

    fn reply(&mut self, at: usize, settled: &[SettledTask]) {
        for SettledTask { task, reply } in settled {
            let waiters = std::mem::take(&mut self.agents[at].waiters);
            let (told, left): (Vec<_>, Vec<_>) =
                waiters.into_iter().partition(|(waits, ..)| waits == task);
            self.agents[at].waiters = left;
            let replies = told.into_iter().map(|(_, job, key)| Message::Placed {
                agent: at,
                job,
                key,
                body: reply.clone(),
            });
            self.messages.extend(replies);
        }
        self.start_next(at);
    }

    fn start_next(&mut self, at: usize) {
        let mut settled = Vec::new();
        while let Some(start) = self.agents[at].gate.take_next(self.now_ms, &mut settled) {
            self.start(at, &start);
        }
        if !settled.is_empty() {
            self.reply(at, &settled);
        }
    }

    fn end(&mut self, index: &Index, how: u8) {
        let running = |at: usize| self.agents[at].running.iter().map(move |task| (at, *task));
        let all: Vec<_> = (0..AGENTS).flat_map(running).collect();
        if all.is_empty() {
            return;
        }
        let (at, task) = all[index.index(all.len())];
        let agent = &mut self.agents[at];
        agent.running.retain(|running| *running != task);
        if !agent.alive {
            return;
        }
        let settled = match how {
            0 => {
                let end = TaskEnd::Failed { reason: Reason::TaskFailed, detail: String::new() };
                agent.gate.record_end(task, end, 1, self.now_ms)
            }
            1 => agent.gate.record_broken(task, Reason::UpstreamBroken, self.now_ms),
            _ => {
                let end = TaskEnd::Finished(Payload(format!("result {}", task.index)));
                agent.gate.record_end(task, end, 1, self.now_ms)
            }
        };
        self.reply(at, &settled.into_iter().collect::<Vec<_>>());
    }

    fn home_replied(&mut self, at: usize, job: usize, key: PlacementKey, body: AgentReplyBody) {
        let reply = match body {
            AgentReplyBody::Ended { end, .. } => Reply::Ended(end),
            AgentReplyBody::Broken(reason) => Reply::Broken(reason),
            AgentReplyBody::NotStarted { reason, never, retry_after_ms } => {
                if reason == Reason::Fenced && !self.retired {
                    self.retire();
                }
                Reply::NotStarted { reason, never, retry_after_ms }
            }
            other => panic!("{other:?} from agent {at}"),
        };
        self.drive(job, Event::Replied { placement: key, peer: "agent".into(), reply });
    }

    fn agent_revoked(&mut self, at: usize, job: usize, tasks: Vec<TaskAttempt>) {
        let upstream = UpstreamKey(at as u32);
        if !self.agents[at].alive {
            let failed = |task| Event::RevokeFailed { upstream, task };
            return tasks.into_iter().for_each(|task| self.drive(job, failed(task)));
        }
        let id = |task: &TaskAttempt| TaskId {
            job: self.ids[job],
            index: task.index,
            attempt: task.attempt,
        };
        let ids: Vec<_> = tasks.iter().map(id).collect();
        let revoked = self.agents[at].gate.revoke(&ids, self.now_ms);
        self.agents[at].running.retain(|task| !revoked.aborted.contains(task));
        let reports = revoked.reports;
        self.messages.push(Message::Revoked { agent: at, job, tasks, reports });
        self.reply(at, &revoked.settled);
    }

    fn home_reported(&mut self, at: usize, job: usize, tasks: &[TaskAttempt], told: &[TaskReport]) {
        let upstream = UpstreamKey(at as u32);
        for &task in tasks {
            let is_of = |report: &&TaskReport| {
                (report.task.index, report.task.attempt) == (task.index, task.attempt)
            };
            let event = match told.iter().find(is_of) {
                Some(report) => Event::Reported {
                    upstream,
                    task,
                    peer: "agent".into(),
                    record: report.record.clone(),
                },
                None => Event::RevokeFailed { upstream, task },
            };
            self.drive(job, event);
        }
    }

    fn agent_fenced(&mut self, fencer: usize, request: Request) {
        let at = usize::try_from(request.agent.0 - 100).unwrap();
        if !self.agents[at].alive {
            if let Some(collector) = &mut self.collectors[fencer] {
                collector.handle_no_answer(&request, self.now_ms);
            }
            return;
        }
        let fenced = self.agents[at].gate.fence(HOME, &request.jobs);
        self.messages.push(Message::Fenced { fencer, request, held: fenced.jobs });
        self.reply(at, &fenced.settled);
    }

    /// A message is lost with its connection; the waiting side notices.
    fn lose(&mut self, index: &Index) {
        if self.messages.is_empty() {
            return;
        }
        match self.messages.remove(index.index(self.messages.len())) {
            Message::Place { agent, job, key } | Message::Placed { agent, job, key, .. } => {
                self.agents[agent].waiters.retain(|(_, of, waits)| (*of, *waits) != (job, key));
                self.drive(job, Event::ConnectionBroke { placement: key });
                if self.jobs[job].resend_placement(key) {
                    self.messages.push(Message::Place { agent, job, key });
                } else {
                    let tasks = vec![key.task];
                    self.messages.push(Message::Revoke { agent, job, tasks });
                }
            }
            Message::Revoke { agent, job, tasks } | Message::Revoked { agent, job, tasks, .. } => {
                let upstream = UpstreamKey(agent as u32);
                for task in tasks {
                    self.drive(job, Event::RevokeFailed { upstream, task });
                }
            }
            Message::Fence { fencer, request } | Message::Fenced { fencer, request, .. } => {
                if let Some(collector) = &mut self.collectors[fencer] {
                    collector.handle_no_answer(&request, self.now_ms);
                }
            }
        }
    }

    fn read_roster(&mut self, fencer: usize) {
        if self.collectors[fencer].is_some() || !self.log.contains(&Change::Fenced) {
            return;
        }
        let agents = self.log.iter().filter_map(|change| match change {
            Change::Registered(agent) => Some(incarnation(*agent)),
            Change::Fenced => None,
        });
        let roster = Roster { agents: agents.collect(), whole: true };
        self.collectors[fencer] = Some(Collector::new(roster, TIMES));
    }

    fn ask(&mut self, fencer: usize, job: usize) {
        if let Some(collector) = &mut self.collectors[fencer] {
            collector.ask_about(self.ids[job], self.now_ms);
        }
    }

    fn wait(&mut self, ms: u64) {
        self.now_ms += ms;
        for fencer in 0..FENCERS {
            if let Some(collector) = &mut self.collectors[fencer] {
                let requests = collector.due_requests(self.now_ms);
                let fence = |request| Message::Fence { fencer, request };
                self.messages.extend(requests.into_iter().map(fence));
            }
        }
        for at in 0..AGENTS {
            let settled = self.agents[at].gate.expire(self.now_ms);
            self.reply(at, &settled);
        }
        (0..JOBS.len()).for_each(|job| self.drive(job, Event::Tick));
    }

    fn conclude_all(&mut self) {
        for fencer in 0..FENCERS {
            for job in 0..JOBS.len() {
                let Some(collector) = &self.collectors[fencer] else { continue };
                let known =
                    JobFacts { content: Some(content(job)), single_attempt: job != REQUEST };
                let conclusion = collector.conclude(self.ids[job], known, self.now_ms);
                assert_ne!(conclusion, Conclusion::Conflict);
                if conclusion.is_final() {
                    // Like the entry, keeps the first final conclusion.
                    self.concluded[fencer].entry(job).or_insert(conclusion);
                }
            }
        }
    }

    fn starts_of(&self, job: usize) -> u32 {
        let of_job = self.starts.iter().filter(|(task, _)| task.job == self.ids[job]);
        of_job.map(|(_, starts)| *starts).sum()
    }

    fn check(&self) {
        for (job, task_count) in JOBS.into_iter().enumerate() {
            let finals = self.concluded.iter().filter_map(|concluded| concluded.get(&job));
            let fencers = finals.clone().filter_map(outcome_of);
            let home = self.home_says[job].iter().map(|answer| answer.outcome);
            let home = home.filter(|outcome| *outcome != Outcome::Unknown);
            let all: Vec<_> = fencers.chain(home).collect();
            assert!(all.windows(2).all(|pair| pair[0] == pair[1]), "job {job}: {all:?}");
            if all.contains(&Outcome::NotRun) {
                assert_eq!(self.starts_of(job), 0, "job {job} started after not_run");
            }
            if job != REQUEST {
                let results = finals.filter_map(|conclusion| match conclusion {
                    Conclusion::Complete(results) => Some(results),
                    _ => None,
                });
                let expected: Vec<_> =
                    (0..task_count).map(|index| Payload(format!("result {index}"))).collect();
                results.for_each(|results| assert_eq!(*results, expected));
            }
        }
    }
}

fn run(ops: Vec<Op>) -> Model {
    let mut model = Model::new();
    ops.into_iter().for_each(|op| model.step(op));
    model.check();
    model
}

/// Delivers all messages, ends all running tasks, and asks about all jobs, long enough for
/// every conclusion that can be reached.
fn settle(model: &mut Model, any: &Index) {
    for _ in 0..60 {
        while !model.messages.is_empty() {
            model.deliver(any);
            model.conclude_all();
        }
        model.end(any, 2);
        for fencer in 0..FENCERS {
            (0..JOBS.len()).for_each(|job| model.ask(fencer, job));
        }
        model.wait(30);
        model.conclude_all();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_500))]

    #[test]
    fn home_and_fencers_agree(ops in vec(op(), 1..160)) {
        run(ops);
    }

    #[test]
    fn a_resumed_home_agrees_with_fencers(ops in vec(op(), 1..120), any in any::<Index>()) {
        let mut model = run(ops);
        model.fence();
        (0..FENCERS).for_each(|fencer| model.read_roster(fencer));
        settle(&mut model, &any);
        while model.seen < model.log.len() {
            model.follow();
        }
        settle(&mut model, &any);
        model.check();
    }
}

//! The steps of an entry's process, as `entry::runs` takes them.

use {
    super::{Connection, LATENCY_MS, stall_before_check_ms, upstream::RUN_MS},
    std::collections::{BTreeMap, VecDeque},
    sycamorerail_decide::{
        dispatch::{
            AgentKey, Command, Dispatch, DispatchLimits, JobAnswer, JobKey, JobRequest,
            KindParameters, StepRequest,
        },
        receipts::Receipts,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, FromRunsAgent, Resources, RunsHello, ToRunsAgent},
    },
};

const ENTRY_TICK_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 200;
const SECOND_BEAT_MS: u64 = 60;
const ENTRY_SILENCE_MS: u64 = 2_500;

#[derive(Clone, Copy, Debug)]
pub enum EntryStep {
    /// Sends what is decided.
    Send,
    Tick,
    Caller,
    Accept(usize),
    Count(usize),
    Apply(usize),
    Write(usize),
    Beat(usize),
    End(usize),
}

pub struct Entry {
    pub incarnation: Incarnation,
    pub dispatch: Dispatch,
    /// What is decided is sent in a step of its own, except by the pass over what is due.
    pub sends_apart: bool,
    must_send: bool,
    pub tick_ms: u64,
    pub passes: u64,
    /// Connections whose hello was not read yet.
    pub backlog: Vec<usize>,
    pub links: Vec<EntryLink>,
    pub agents: BTreeMap<AgentKey, usize>,
    pub inbox: VecDeque<CallerMessage>,
    pub waiting: BTreeMap<JobKey, u64>,
    /// The last submission of each job.
    pub submissions: BTreeMap<CallerJobId, u64>,
    /// Runs that were taken for lost: submission, agent and number.
    pub lost: Vec<(u64, usize, u32)>,
    pub answers: Vec<(u64, JobAnswer)>,
}

#[derive(Clone, Copy, Debug)]
pub enum CallerMessage {
    Submit { job: u64, submission: u64 },
    Left(u64),
}

pub struct EntryLink {
    pub connection: usize,
    pub agent: AgentKey,
    pub is_present: bool,
    pub outbox: Vec<ToRunsAgent>,
    pub heard: Receipts,
    pub confirmed: u64,
    pub beat_ms: u64,
    pub is_first_beat: bool,
    pub silent_ms: u64,
    /// A message that was counted and not applied yet.
    pub counted: Option<FromRunsAgent>,
}

pub fn request(job: u64, submission: u64, now_ms: u64) -> JobRequest {
    let kind = KindParameters {
        name: "reach-check".to_owned(),
        pool: "desk".to_owned(),
        priority: 0,
        max_attempts: 100,
        stretch: 1.5,
        target_ms: 60_000,
    };
    let step = StepRequest {
        count: 1,
        need: Resources { cpu_milli: 1_000, memory_mb: 0, accelerators: 0 },
        run_ms: RUN_MS as u32,
        ..StepRequest::default()
    };
    JobRequest {
        id: CallerJobId(job),
        kind: kind.into(),
        spec: submission.to_string(),
        steps: vec![step],
        arrived_ms: now_ms,
        deadline_ms: now_ms + 60_000,
    }
}

impl Entry {
    pub fn new(incarnation: Incarnation, sends_apart: bool, now_ms: u64) -> Self {
        Self {
            incarnation,
            dispatch: Dispatch::new(DispatchLimits::default(), incarnation),
            sends_apart,
            must_send: false,
            tick_ms: now_ms,
            passes: 0,
            backlog: Vec::new(),
            links: Vec::new(),
            agents: BTreeMap::new(),
            inbox: VecDeque::new(),
            waiting: BTreeMap::new(),
            submissions: BTreeMap::new(),
            lost: Vec::new(),
            answers: Vec::new(),
        }
    }

    pub fn steps(&self, connections: &[Connection]) -> Vec<(u64, EntryStep)> {
        let mut steps = vec![(self.tick_ms, EntryStep::Tick)];
        if self.must_send {
            steps.push((0, EntryStep::Send));
        }
        if !self.inbox.is_empty() {
            steps.push((0, EntryStep::Caller));
        }
        for &number in &self.backlog {
            let connection = &connections[number];
            let hello_ms = connection.hello.as_ref().map_or(0, |(sent_ms, _)| sent_ms + LATENCY_MS);
            steps.push((hello_ms.max(connection.blocked_until_ms[0]), EntryStep::Accept(number)));
        }
        for (number, link) in self.links.iter().enumerate() {
            if !link.is_present {
                steps.push((0, EntryStep::End(number)));
            }
            if link.counted.is_some() {
                steps.push((0, EntryStep::Apply(number)));
            } else if let Some(at_ms) = connections[link.connection].at_entry_ms() {
                steps.push((at_ms, EntryStep::Count(number)));
            }
            if !link.outbox.is_empty() {
                steps.push((0, EntryStep::Write(number)));
            }
            steps.push((link.beat_ms, EntryStep::Beat(number)));
            steps.push((link.silent_ms, EntryStep::End(number)));
        }
        steps
    }

    fn decided(&mut self, now_ms: u64) {
        if self.sends_apart {
            self.must_send = true;
        } else {
            self.act(now_ms);
        }
    }

    pub fn act(&mut self, now_ms: u64) {
        self.must_send = false;
        for loss in self.dispatch.take_losses() {
            let submission = self.submissions[&loss.task.job];
            self.lost.push((submission, self.agents[&loss.agent], loss.run));
        }
        for command in self.dispatch.take_commands() {
            match command {
                Command::Place(agent, placement) => {
                    self.dispatch.message_sent(agent, Some(&placement), now_ms);
                    self.send(agent, ToRunsAgent::Place(placement));
                }
                Command::Stop(agent, job) => {
                    self.dispatch.message_sent(agent, None, now_ms);
                    self.send(agent, ToRunsAgent::Stop(job));
                }
                Command::Withdraw(agent, tasks) => {
                    self.dispatch.message_sent(agent, None, now_ms);
                    self.send(agent, ToRunsAgent::Withdraw(tasks));
                }
                Command::JobMostlyStarted(agent, job, give_up_in_ms) => {
                    self.dispatch.message_sent(agent, None, now_ms);
                    self.send(agent, ToRunsAgent::JobMostlyStarted { job, give_up_in_ms });
                }
                Command::Answer(key, answer) => {
                    self.answers.extend(self.waiting.remove(&key).map(|job| (job, answer)));
                }
            }
        }
    }

    pub fn send(&mut self, agent: AgentKey, message: ToRunsAgent) {
        let present = self.links.iter_mut().find(|link| link.is_present && link.agent == agent);
        if let Some(link) = present {
            link.outbox.push(message);
        }
    }

    pub fn tick(&mut self, now_ms: u64) {
        if let Some(stall_ms) = stall_before_check_ms(self.tick_ms, now_ms) {
            self.dispatch.note_stall(stall_ms, now_ms);
        }
        self.tick_ms = now_ms + ENTRY_TICK_MS;
        self.dispatch.tick(now_ms);
        self.act(now_ms);
        self.passes += 1;
    }

    pub fn handle_caller(&mut self, now_ms: u64) {
        match self.inbox.pop_front() {
            Some(CallerMessage::Submit { job, submission }) => {
                match self.dispatch.submit(request(job, submission, now_ms), now_ms) {
                    Ok(key) => {
                        self.waiting.insert(key, job);
                        self.submissions.insert(CallerJobId(job), submission);
                    }
                    Err(answer) => self.answers.push((job, answer)),
                }
            }
            Some(CallerMessage::Left(job)) => {
                let left = self.waiting.iter().find(|(_, waiting)| **waiting == job);
                if let Some(key) = left.map(|(key, _)| *key) {
                    self.waiting.remove(&key);
                    self.dispatch.cancel(key);
                }
            }
            None => {}
        }
        self.decided(now_ms);
    }

    pub fn accept(&mut self, connection: usize, agent: usize, hello: &RunsHello, now_ms: u64) {
        self.backlog.retain(|waiting| *waiting != connection);
        let is_same = hello.last_heard_entry == Some(self.incarnation);
        let held = is_same.then_some(&*hello.held_runs);
        let reports = &hello.unconfirmed_reports;
        let dispatch = &mut self.dispatch;
        if dispatch.is_hello_overtaken(&hello.name, hello.agent, hello.number) {
            return;
        }
        if is_same {
            dispatch.apply_resent_reports(&hello.name, hello.agent, reports, now_ms);
        }
        let key = dispatch.agent_connected(&hello.name, hello.agent, held, now_ms);
        dispatch.set_hello(key, hello.number);
        dispatch.set_data_centre(key, &hello.data_centre);
        dispatch.agent_ready(key, now_ms);
        self.agents.insert(key, agent);
        let before = self.links.iter_mut().filter(|link| link.agent == key);
        before.for_each(|link| link.is_present = false);
        let upstream = dispatch.instance(key).cloned();
        dispatch.message_sent(key, None, now_ms);
        let mut heard = Receipts::default();
        heard.record(self.passes);
        self.links.push(EntryLink {
            connection,
            agent: key,
            is_present: true,
            outbox: vec![ToRunsAgent::Welcome { entry: self.incarnation, upstream }],
            heard,
            confirmed: if is_same { reports.last().map_or(0, |last| last.number) } else { 0 },
            beat_ms: now_ms,
            is_first_beat: true,
            silent_ms: now_ms + ENTRY_SILENCE_MS,
            counted: None,
        });
        self.decided(now_ms);
    }

    pub fn count(&mut self, link: usize, message: FromRunsAgent, now_ms: u64) {
        let link = &mut self.links[link];
        link.silent_ms = now_ms + ENTRY_SILENCE_MS;
        link.counted = Some(message);
    }

    pub fn apply(&mut self, link: usize, now_ms: u64) {
        let link = &mut self.links[link];
        let message = link.counted.take().filter(|_| link.is_present);
        if let Some(message) = &message {
            self.dispatch.agent_heard(link.agent, message.name(), now_ms);
        }
        link.heard.record(self.passes);
        match message {
            Some(FromRunsAgent::Report { heard, reports, load }) => {
                let last = reports.last().map_or(0, |report| report.number);
                link.confirmed = link.confirmed.max(last);
                self.dispatch.handle_report(link.agent, &reports, load, heard, now_ms);
            }
            Some(FromRunsAgent::Upstream(instance)) => {
                self.dispatch.set_instance(link.agent, instance);
            }
            _ => {}
        }
        self.decided(now_ms);
    }

    pub fn beat(&mut self, link: usize, now_ms: u64) {
        let link = &mut self.links[link];
        let pause_ms = if link.is_first_beat { SECOND_BEAT_MS } else { HEARTBEAT_MS };
        link.is_first_beat = false;
        link.beat_ms += pause_ms;
        if link.is_present {
            self.dispatch.message_sent(link.agent, None, now_ms);
            let heard = link.heard.acknowledgeable(self.passes);
            let confirmed = link.confirmed;
            let largest = Resources::default();
            link.outbox.push(ToRunsAgent::Heartbeat { heard, confirmed, agents: 0, largest });
        }
    }

    pub fn end_link(&mut self, link: usize, now_ms: u64) -> usize {
        let link = self.links.remove(link);
        if link.is_present {
            self.dispatch.agent_disconnected(link.agent);
        }
        self.decided(now_ms);
        link.connection
    }
}

//! The steps of an agent's process, as `agent::leased` takes them.

use {
    super::{
        Connection, ENTRIES, stall_before_check_ms,
        upstream::{Answer, Call, CallBody, Upstream},
    },
    sycamorerail_decide::{
        ack_tracker::AckTracker,
        ledger::{Ledger, LedgerLimits, StartAnswer, StartRefusal, is_significant_change},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            FromRunsAgent, RunReport, RunsHello, TaskKey, ToRunsAgent, UpstreamInstance,
            UpstreamLoad,
        },
    },
};

const AGENT_TICK_MS: u64 = 25;
const ANSWER_WITHIN_MS: u64 = 200;
const RENEWAL_WAIT_MS: u64 = 40;
const HEARTBEAT_MS: u64 = 200;
const LOAD_PAUSE_MS: u64 = 10;
pub const REDIAL_MS: u64 = 30;
const WELCOME_WITHIN_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
pub enum AgentStep {
    Tick,
    Renew { now: bool },
    Send(usize),
    Answer(usize),
    Dial(usize),
    Read(usize),
    Write(usize),
    End(usize),
}

pub struct Agent {
    pub incarnation: Incarnation,
    pub ledger: Ledger,
    pub tick_ms: u64,
    pub renew_ms: u64,
    pub renew_now: bool,
    pub is_answered: bool,
    pub may_acknowledge: bool,
    /// Orders that were decided and not sent yet.
    pub orders: Vec<(u64, u64, CallBody)>,
    pub pending: Vec<Pending>,
    pub next_call: u64,
    /// Number of the last hello.
    pub hellos: u64,
    pub links: [AgentLink; ENTRIES],
}

/// A call whose answer is awaited.
pub struct Pending {
    pub id: u64,
    pub sent_ms: u64,
    pub is_fenced: bool,
    pub fence: u64,
    pub body: CallBody,
    pub timeout_ms: u64,
    pub answer: Option<(u64, Answer)>,
}

#[derive(Default)]
pub struct AgentLink {
    pub connection: Option<usize>,
    pub dial_ms: u64,
    pub last_entry: Option<Incarnation>,
    /// Set until the welcome.
    pub hello: Option<SentHello>,
    pub open: Option<OpenLink>,
}

pub struct SentHello {
    number: u64,
    sent_ms: u64,
    held_runs: Vec<(TaskKey, u32)>,
    last_report: u64,
}

pub struct OpenLink {
    pub entry: Incarnation,
    /// Number of the hello that began it.
    pub hello: u64,
    pub acks: AckTracker,
    pub heard: u64,
    pub reported_up_to: u64,
    pub is_instance_sent: bool,
    pub load: Option<UpstreamLoad>,
    pub load_ms: u64,
    pub load_waits: bool,
    pub heartbeat_ms: u64,
    pub is_changed: bool,
    pub is_dropped: bool,
}

impl Agent {
    pub fn new(incarnation: Incarnation, recorded: UpstreamInstance, now_ms: u64) -> Self {
        let mut ledger = Ledger::new(LedgerLimits::default());
        ledger.set_upstream(recorded);
        let link = || AgentLink { dial_ms: now_ms, ..AgentLink::default() };
        Self {
            incarnation,
            ledger,
            tick_ms: now_ms,
            renew_ms: now_ms,
            renew_now: false,
            is_answered: false,
            may_acknowledge: false,
            orders: Vec::new(),
            pending: Vec::new(),
            next_call: 0,
            hellos: 0,
            links: std::array::from_fn(|_| link()),
        }
    }

    /// Steps with the times at which they are due.
    pub fn steps(&self, connections: &[Connection]) -> Vec<(u64, AgentStep)> {
        let mut steps = vec![(self.tick_ms, AgentStep::Tick)];
        if self.pending.iter().filter(|call| call.is_renewal()).count() < 4 {
            steps.push((self.renew_ms, AgentStep::Renew { now: false }));
            if self.renew_now {
                steps.push((0, AgentStep::Renew { now: true }));
            }
        }
        steps.extend((0..self.orders.len()).map(|order| (0, AgentStep::Send(order))));
        for (number, call) in self.pending.iter().enumerate() {
            let answered_ms = call.answer.as_ref().map_or(u64::MAX, |(at_ms, _)| *at_ms);
            steps.push((answered_ms.min(call.timeout_ms), AgentStep::Answer(number)));
        }
        for (entry, link) in self.links.iter().enumerate() {
            let Some(connection) = link.connection else {
                steps.push((link.dial_ms, AgentStep::Dial(entry)));
                continue;
            };
            if let Some(at_ms) = connections[connection].at_agent_ms() {
                steps.push((at_ms, AgentStep::Read(entry)));
            }
            if let Some(hello) = &link.hello {
                steps.push((hello.sent_ms + WELCOME_WITHIN_MS, AgentStep::End(entry)));
            }
            if let Some(open) = &link.open {
                let load_ms = if open.load_waits { open.load_ms } else { u64::MAX };
                let write_ms = if open.is_changed { 0 } else { open.heartbeat_ms.min(load_ms) };
                steps.push((write_ms, AgentStep::Write(entry)));
                let silent_ms =
                    open.acks.acked_sent_ms() + LedgerLimits::default().owner_timeout_ms;
                steps.push((if open.is_dropped { 0 } else { silent_ms }, AgentStep::End(entry)));
            }
        }
        steps
    }

    pub fn execute_decisions(&mut self, now_ms: u64) {
        let fence = self.ledger.fence();
        while let Some(order) = self.ledger.next_start(now_ms) {
            self.orders.push((now_ms, fence, CallBody::Start(order)));
        }
        for (task, run) in self.ledger.stops_due(now_ms) {
            self.orders.push((now_ms, fence, CallBody::Stop(task, run)));
        }
        self.ledger.take_decisions();
        self.links
            .iter_mut()
            .filter_map(|link| link.open.as_mut())
            .for_each(|open| open.is_changed = true);
    }

    pub fn tick(&mut self, now_ms: u64) {
        if let Some(stall_ms) = stall_before_check_ms(self.tick_ms, now_ms) {
            self.ledger.note_stall(stall_ms, now_ms);
        }
        self.tick_ms = now_ms + AGENT_TICK_MS;
        self.ledger.check_lease_lapse(now_ms);
        self.ledger.drop_expired(now_ms);
        let silent = self.ledger.drop_silent_owners(now_ms);
        self.execute_decisions(now_ms);
        for open in self.links.iter_mut().filter_map(|link| link.open.as_mut()) {
            open.is_dropped |= silent.contains(&open.entry);
        }
    }

    pub fn call(&mut self, upstream: &mut Upstream, fence: u64, body: CallBody, now_ms: u64) {
        self.next_call += 1;
        let wait_ms = if let CallBody::Renew { wait_ms, .. } = body { wait_ms } else { 0 };
        self.pending.push(Pending {
            id: self.next_call,
            sent_ms: now_ms,
            is_fenced: self.ledger.is_fenced(),
            fence,
            body: body.clone(),
            timeout_ms: now_ms + ANSWER_WITHIN_MS + wait_ms,
            answer: None,
        });
        upstream.send(Call { agent: self.incarnation, id: self.next_call, fence, body }, now_ms);
    }

    pub fn renew(&mut self, upstream: &mut Upstream, is_extra: bool, now_ms: u64) {
        let may_wait = self.is_answered && !is_extra;
        let acknowledge = std::mem::take(&mut self.may_acknowledge);
        let is_fenced = self.ledger.is_fenced();
        let lease = if is_fenced { self.ledger.lease_until_clock_ms(now_ms) } else { None };
        let acknowledged =
            if is_fenced && acknowledge { self.ledger.last_acknowledged_end() } else { 0 };
        let may_wait = may_wait && is_fenced && self.ledger.upstream_clock_ms(now_ms).is_some();
        let wait_ms = if may_wait { RENEWAL_WAIT_MS } else { 0 };
        let fence = self.ledger.fence();
        self.call(upstream, fence, CallBody::Renew { lease, acknowledged, wait_ms }, now_ms);
        if is_extra {
            self.renew_now = false;
        } else {
            self.renew_ms = now_ms + 60;
        }
    }

    pub fn send_order(&mut self, upstream: &mut Upstream, order: usize, now_ms: u64) {
        let (decided_ms, fence, body) = self.orders.remove(order);
        match &body {
            CallBody::Start(order)
                if now_ms > decided_ms + LedgerLimits::default().start_within_ms =>
            {
                let refused = StartAnswer::Refused(StartRefusal::Late);
                self.ledger.handle_start_answer(order.task, order.run, refused, now_ms);
                self.execute_decisions(now_ms);
            }
            _ => self.call(upstream, fence, body, now_ms),
        }
    }

    pub fn answered(&mut self, call: usize, now_ms: u64) {
        let call = self.pending.remove(call);
        let answer = call.answer.filter(|(at_ms, _)| *at_ms <= now_ms).map(|(_, answer)| answer);
        match (call.body, answer) {
            (CallBody::Start(order), answer) => {
                let answer = match answer {
                    Some(Answer::Start(answer)) => answer,
                    _ => StartAnswer::Unanswered,
                };
                self.ledger.handle_start_answer(order.task, order.run, answer, now_ms);
            }
            (CallBody::Stop(task, run), Some(Answer::Stop(true))) => {
                self.ledger.handle_stop_confirmation(task, run, now_ms);
                self.renew_now = true;
            }
            (_, Some(Answer::Renew(mut answer))) => {
                answer.sent_ms = call.sent_ms;
                (self.is_answered, self.may_acknowledge) = (true, true);
                let pause_ms = if call.is_fenced && !answer.ended.is_empty() { 3 } else { 0 };
                self.renew_ms = self.renew_ms.min(now_ms + pause_ms);
                if call.is_fenced {
                    self.ledger.handle_renewal_answer(&answer, now_ms);
                } else {
                    self.ledger.handle_fence_answer(&answer, now_ms);
                }
            }
            (_, Some(Answer::Fenced(clock_ms))) => {
                self.ledger.handle_fence_refusal(call.fence, clock_ms);
                self.renew_ms = self.renew_ms.min(now_ms);
            }
            (CallBody::Renew { .. }, _) => {
                (self.is_answered, self.may_acknowledge) = (false, false);
                return;
            }
            _ => return,
        }
        self.execute_decisions(now_ms);
    }

    pub fn dial(&mut self, name: usize, entry: usize, now_ms: u64) -> RunsHello {
        self.hellos += 1;
        let link = &mut self.links[entry];
        let known = link.last_entry;
        let hello = RunsHello {
            agent: self.incarnation,
            name: name.to_string(),
            data_centre: "a".to_owned(),
            last_heard_entry: known,
            held_runs: known
                .map(|known| self.ledger.hold_for_hello(known, self.hellos))
                .unwrap_or_default(),
            unconfirmed_reports: known.map(|known| self.ledger.reports(known)).unwrap_or_default(),
            configuration_revision: 0,
            number: self.hellos,
        };
        let last_report = hello.unconfirmed_reports.last().map_or(0, |report| report.number);
        let held_runs = hello.held_runs.clone();
        let number = hello.number;
        link.hello = Some(SentHello { number, sent_ms: now_ms, held_runs, last_report });
        hello
    }

    pub fn end_link(&mut self, entry: usize, now_ms: u64) -> Option<usize> {
        let link = &mut self.links[entry];
        let pause_ms = if link.open.take().is_some() { 0 } else { REDIAL_MS };
        link.hello = None;
        link.dial_ms = now_ms + pause_ms;
        link.connection.take()
    }

    pub fn read(&mut self, from: usize, message: ToRunsAgent, now_ms: u64) {
        if let ToRunsAgent::Welcome { entry, upstream } = message {
            return self.welcomed(from, entry, upstream, now_ms);
        }
        let Some(open) = &mut self.links[from].open else { return };
        open.heard += 1;
        match message {
            ToRunsAgent::Place(placement) => {
                self.ledger.place_over(open.entry, open.hello, placement, now_ms);
            }
            ToRunsAgent::Stop(job) => self.ledger.stop_job(open.entry, job),
            ToRunsAgent::JobMostlyStarted { job, give_up_in_ms } => {
                self.ledger.prioritise_job(open.entry, job, give_up_in_ms, now_ms);
            }
            ToRunsAgent::Withdraw(tasks) => {
                tasks.into_iter().for_each(|task| self.ledger.withdraw_task(open.entry, task));
            }
            ToRunsAgent::Heartbeat { heard, confirmed, .. } => {
                open.acks.record_ack(heard);
                if let Some(heard_ms) = open.acks.last_ack_sent_ms() {
                    self.ledger.note_owner_contact(open.entry, heard_ms);
                }
                self.ledger.confirm_reports(open.entry, confirmed);
                return;
            }
            _ => {}
        }
        self.execute_decisions(now_ms);
    }

    pub fn welcomed(
        &mut self,
        from: usize,
        entry: Incarnation,
        upstream: Option<UpstreamInstance>,
        now_ms: u64,
    ) {
        let Some(hello) = self.links[from].hello.take() else { return };
        let last_entry = self.links[from].last_entry.replace(entry);
        let is_same = last_entry == Some(entry);
        self.ledger.introduce_owner(entry, hello.sent_ms);
        if is_same {
            self.ledger.report_missing_runs(entry, &hello.held_runs);
        }
        if let Some(instance) = upstream {
            self.ledger.restore_fence(&instance);
        }
        if let Some(before) = last_entry.filter(|_| !is_same) {
            self.ledger.drop_owner(before);
        }
        let mut acks = AckTracker::new(hello.sent_ms);
        acks.record_sent(hello.sent_ms);
        self.links[from].open = Some(OpenLink {
            entry,
            hello: hello.number,
            acks,
            heard: 1,
            reported_up_to: if is_same { hello.last_report } else { 0 },
            is_instance_sent: false,
            load: None,
            load_ms: now_ms,
            load_waits: false,
            heartbeat_ms: now_ms,
            is_changed: true,
            is_dropped: false,
        });
        self.execute_decisions(now_ms);
    }

    pub fn write(&mut self, to: usize, now_ms: u64) -> Vec<FromRunsAgent> {
        let Some(open) = &mut self.links[to].open else { return Vec::new() };
        open.is_changed = false;
        let mut messages = Vec::new();
        if let Some(instance) = self.ledger.proven_instance().filter(|_| !open.is_instance_sent) {
            open.is_instance_sent = true;
            messages.push(FromRunsAgent::Upstream(instance.clone()));
        }
        let is_new = |report: &RunReport| report.number > open.reported_up_to;
        let reports: Vec<_> = self.ledger.reports(open.entry).into_iter().filter(is_new).collect();
        let load = self.ledger.load(now_ms);
        let is_changed = open.load.is_none_or(|sent| is_significant_change(&sent, &load));
        let is_load_due = is_changed && now_ms >= open.load_ms;
        if reports.is_empty() && !is_load_due && now_ms < open.heartbeat_ms {
            open.load_waits = is_changed;
        } else {
            open.reported_up_to = reports.last().map_or(open.reported_up_to, |last| last.number);
            open.load = Some(load);
            open.load_ms = now_ms + LOAD_PAUSE_MS;
            open.heartbeat_ms = now_ms + HEARTBEAT_MS;
            open.load_waits = false;
            messages.push(FromRunsAgent::Report { heard: open.heard, reports, load });
        }
        for _ in &messages {
            open.acks.record_sent(now_ms);
        }
        messages
    }
}

impl Pending {
    pub fn is_renewal(&self) -> bool {
        matches!(self.body, CallBody::Renew { .. })
    }
}

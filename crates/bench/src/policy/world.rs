//! Entries, agents and upstreams in virtual time, and what goes between them.

use {
    super::{
        agent::{ModelAgent, Renewal},
        clock::{Clock, MS, Micros, millis},
        entry::{ModelEntry, numbers_of, parameters},
        jobs::{ModelJob, draw_jobs},
        settings::{Fault, FaultKind, ModelSettings},
        tally::{End, Ended, Note, Outcome, count},
        upstream::EndDue,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::sync::Arc,
    sycamorerail_decide::{
        dispatch::{AgentKey, Command, JobAnswer, KindParameters},
        ledger::{LeaseAnswer, StartAnswer, StartOrder},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{FromRunsAgent, TaskKey, ToRunsAgent},
    },
};

/// Time before the load in which links open and leases are renewed.
const SETTLE: Micros = 1_000 * MS;
/// Time after the load in which what was accepted ends.
const AFTER: Micros = 15_000 * MS;
/// Ticks of entries and agents, as in the programs.
const ENTRY_TICK: Micros = 20 * MS;
const AGENT_TICK: Micros = 25 * MS;
/// Heartbeat of an entry to an agent.
const BEAT: Micros = 200 * MS;
/// A call to an upstream without an answer is given up after this.
const ANSWER_WITHIN: Micros = 200 * MS;
/// An upstream that is back announces itself within this.
const ANNOUNCED_AFTER: Micros = 700 * MS;
/// The balancer takes an entry that is lost out after this; callers then reach others.
const BALANCED_AFTER: Micros = 2_000 * MS;
const MICROS_PER_S: f64 = 1_000_000.0;

/// A link from an agent to a run of an entry.
#[derive(Clone, Copy, Debug)]
struct Link {
    entry: usize,
    run: Incarnation,
    agent: usize,
}

#[derive(Debug)]
enum Event {
    Arrives(usize),
    EntryTick(usize),
    AgentTick(usize),
    Beat(Link),
    Tell(Link, ToRunsAgent),
    Report(Link, FromRunsAgent),
    ReportDue(Link),
    Order { agent: usize, life: u64, order: StartOrder },
    Ordered { agent: usize, life: u64, task: TaskKey, run: u32, answer: StartAnswer },
    Stop { agent: usize, life: u64, task: TaskKey, run: u32 },
    Stopped { agent: usize, life: u64, task: TaskKey, run: u32 },
    RenewalDue(usize),
    Renew { agent: usize, life: u64, renewal: Renewal },
    WaitOver { agent: usize, number: u64 },
    Renewed { agent: usize, life: u64, answer: Option<LeaseAnswer> },
    RunEnds { agent: usize, life: u64, due: EndDue },
    Announced(usize),
    FaultBegins(usize),
    FaultEnds(usize),
}

/// Plays a model; the same settings and seed give the same outcome.
#[must_use]
pub fn play(settings: &ModelSettings, seed: u64) -> Outcome {
    let mut jobs = draw_jobs(settings, seed);
    for job in &mut jobs {
        job.at += SETTLE;
    }
    let mut world = World::new(settings, &jobs, seed);
    world.set_up();
    let end = SETTLE + u64::from(settings.seconds) * 1_000 * MS + AFTER;
    while let Some(event) = world.clock.next_before(end) {
        world.take(event);
    }
    let World { ends, notes, messages, recalls, .. } = world;
    for job in &mut jobs {
        job.at -= SETTLE;
    }
    Outcome { messages, recalls, ..count(settings, &jobs, &ends, &notes) }
}

struct World<'a> {
    settings: &'a ModelSettings,
    jobs: &'a [ModelJob],
    kinds: Vec<Arc<KindParameters>>,
    clock: Clock<Event>,
    entries: Vec<ModelEntry>,
    agents: Vec<ModelAgent>,
    ends: Vec<Option<Ended>>,
    notes: Vec<Note>,
    /// When each entry that is lost was lost.
    lost_at: Vec<Micros>,
    /// Share of calls to each upstream that get no answer.
    unanswered: Vec<f64>,
    rng: SmallRng,
    runs: u64,
    messages: u64,
    recalls: u64,
}

impl<'a> World<'a> {
    fn new(settings: &'a ModelSettings, jobs: &'a [ModelJob], seed: u64) -> Self {
        let entries = usize::from(settings.entries);
        let groups = settings.upstreams.iter();
        let upstreams = groups.flat_map(|group| std::iter::repeat_n(group, group.count as usize));
        let agents: Vec<_> =
            upstreams.map(|group| ModelAgent::new(group.cpu_milli, group.speed, entries)).collect();
        Self {
            settings,
            jobs,
            kinds: settings.kinds.iter().map(parameters).collect(),
            clock: Clock::default(),
            entries: (0..entries).map(|number| ModelEntry::new(number as u64 + 1)).collect(),
            unanswered: vec![0.0; agents.len()],
            agents,
            ends: vec![None; jobs.len()],
            notes: vec![Note::default(); jobs.len()],
            lost_at: vec![0; entries],
            // Another stream of numbers than that of the jobs.
            rng: SmallRng::seed_from_u64(!seed),
            runs: entries as u64,
            messages: 0,
            recalls: 0,
        }
    }

    fn set_up(&mut self) {
        for entry in 0..self.entries.len() {
            self.connect_all(entry);
            self.clock.after(ENTRY_TICK, Event::EntryTick(entry));
        }
        for agent in 0..self.agents.len() {
            self.clock.at(0, Event::RenewalDue(agent));
            self.clock.after(AGENT_TICK, Event::AgentTick(agent));
        }
        for (number, job) in self.jobs.iter().enumerate() {
            self.clock.at(job.at, Event::Arrives(number));
        }
        for (number, fault) in self.settings.faults.iter().enumerate() {
            let begin = SETTLE + (fault.at_s * MICROS_PER_S) as Micros;
            let end = begin + (fault.for_s * MICROS_PER_S) as Micros;
            self.clock.at(begin, Event::FaultBegins(number));
            self.clock.at(end, Event::FaultEnds(number));
        }
    }

    fn connect_all(&mut self, entry: usize) {
        let now = self.clock.now();
        let run = self.entries[entry].run;
        for agent in 0..self.agents.len() {
            self.agents[agent].connect(entry, run, now);
            let life = self.agents[agent].life();
            self.entries[entry].connect(life, now);
            let link = Link { entry, run, agent };
            self.clock.at(now, Event::ReportDue(link));
            self.clock.after(BEAT, Event::Beat(link));
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrives(job) => self.arrives(job),
            Event::EntryTick(entry) => self.tick_entry(entry),
            Event::AgentTick(agent) => self.tick_agent(agent),
            Event::Beat(link) => self.beat(link),
            Event::Tell(link, message) => self.told(link, message),
            Event::Report(link, message) => self.reported(link, message),
            Event::ReportDue(link) => self.report(link),
            Event::Order { agent, life, order } => self.ordered(agent, life, &order),
            Event::Ordered { agent, life, task, run, answer } => {
                self.order_answered(agent, life, (task, run), answer);
            }
            Event::Stop { agent, life, task, run } => self.stop(agent, life, task, run),
            Event::Stopped { agent, life, task, run } => self.stopped(agent, life, task, run),
            Event::RenewalDue(agent) => self.renewal_due(agent),
            Event::Renew { agent, life, renewal } => self.renew(agent, life, renewal),
            Event::WaitOver { agent, number } => self.answer_waiting(agent, Some(number)),
            Event::Renewed { agent, life, answer } => {
                self.agents[agent].renewed(life, answer, self.clock.now());
                self.act(agent);
            }
            Event::RunEnds { agent, life, due } => self.run_ends(agent, life, due),
            Event::Announced(agent) => {
                self.agents[agent].announce();
                self.act(agent);
            }
            Event::FaultBegins(fault) => self.fault_begins(fault),
            Event::FaultEnds(fault) => self.fault_ends(fault),
        }
    }

    fn message_delay(&self) -> Micros {
        (self.settings.message_ms * MS as f64) as Micros
    }

    fn call_delay(&self) -> Micros {
        (self.settings.call_ms * MS as f64) as Micros
    }

    // Callers and entries.

    fn arrives(&mut self, number: usize) {
        let job = &self.jobs[number];
        let Some(entry) = self.entry_for(job.entry) else {
            return self.ended(number, End::Failed);
        };
        let cpu_milli = self.settings.kinds[job.kind].cpu_milli;
        let submitted = self.entries[entry].submit(number, job, &self.kinds[job.kind], cpu_milli);
        if submitted.is_err() {
            let has_room = |agent: &ModelAgent| {
                let load = agent.ledger.load(millis(self.clock.now()));
                load.usable && load.capacity.less(&load.taken).cpu_milli >= cpu_milli
            };
            self.notes[number].was_free = self.agents.iter().any(has_room);
            self.ended(number, End::Refused);
        }
        self.carry_out(entry);
    }

    /// The entry that a caller reaches: its own, or another one once it is out.
    fn entry_for(&self, own: usize) -> Option<usize> {
        if self.entries[own].is_up {
            return Some(own);
        }
        let is_out = self.clock.now() >= self.lost_at[own] + BALANCED_AFTER;
        let up = self.entries.iter().position(|entry| entry.is_up);
        up.filter(|_| is_out)
    }

    fn ended(&mut self, job: usize, end: End) {
        let after = self.clock.now() - self.jobs[job].at;
        self.ends[job].get_or_insert(Ended { end, after });
    }

    fn answered(&mut self, number: usize, answer: JobAnswer) {
        let (job, now) = (&self.jobs[number], self.clock.now());
        let end = match answer {
            JobAnswer::Completed if now <= job.in_time_until() => End::InTime,
            JobAnswer::Completed if now <= job.useful_until() => End::Late,
            JobAnswer::NotRun { .. } => End::Refused,
            _ => End::Failed,
        };
        self.ended(number, end);
    }

    /// Does what the dispatch of an entry wants.
    fn carry_out(&mut self, entry: usize) {
        let commands = self.entries[entry].dispatch.take_commands();
        for command in commands {
            match command {
                Command::Place(agent, placement) => {
                    let now_ms = millis(self.clock.now());
                    let dispatch = &mut self.entries[entry].dispatch;
                    dispatch.message_sent(agent, Some(&placement), now_ms);
                    self.tell_counted(entry, agent, ToRunsAgent::Place(placement));
                }
                Command::Stop(agent, job) => self.tell(entry, agent, ToRunsAgent::Stop(job)),
                Command::Withdraw(agent, tasks) => {
                    self.recalls += tasks.len() as u64;
                    self.tell(entry, agent, ToRunsAgent::Withdraw(tasks));
                }
                Command::Finish(agent, job, give_up_in_ms) => {
                    self.tell(entry, agent, ToRunsAgent::Finish { job, give_up_in_ms });
                }
                Command::Answer(job, answer) => {
                    if let Some(number) = self.entries[entry].jobs.remove(&job) {
                        self.answered(number, answer);
                    }
                }
            }
        }
    }

    fn tell(&mut self, entry: usize, agent: AgentKey, message: ToRunsAgent) {
        let now_ms = millis(self.clock.now());
        self.entries[entry].dispatch.message_sent(agent, None, now_ms);
        self.tell_counted(entry, agent, message);
    }

    /// Sends a message that the dispatch has counted.
    fn tell_counted(&mut self, entry: usize, agent: AgentKey, message: ToRunsAgent) {
        let Some(agent) = self.entries[entry].number_of(agent) else { return };
        let link = Link { entry, run: self.entries[entry].run, agent };
        self.messages += 1;
        let delay = self.message_delay();
        self.clock.after(delay, Event::Tell(link, message));
    }

    fn is_present(&self, link: Link) -> bool {
        let entry = &self.entries[link.entry];
        entry.is_up && entry.run == link.run
    }

    fn tick_entry(&mut self, entry: usize) {
        if self.entries[entry].is_up {
            self.entries[entry].dispatch.tick(millis(self.clock.now()));
            self.carry_out(entry);
        }
        self.clock.after(ENTRY_TICK, Event::EntryTick(entry));
    }

    fn beat(&mut self, link: Link) {
        if !self.is_present(link) {
            return;
        }
        let entry = &self.entries[link.entry];
        let beat = ToRunsAgent::Beat { heard: 0, confirmed: entry.confirmed[link.agent] };
        let key = entry.agents[link.agent];
        self.tell(link.entry, key, beat);
        self.clock.after(BEAT, Event::Beat(link));
    }

    fn reported(&mut self, link: Link, message: FromRunsAgent) {
        if !self.is_present(link) {
            return;
        }
        let now_ms = millis(self.clock.now());
        let entry = &mut self.entries[link.entry];
        let agent = entry.agents[link.agent];
        match message {
            FromRunsAgent::Report { heard, reports, load } => {
                let last = reports.last().map_or(0, |report| report.number);
                let confirmed = &mut entry.confirmed[link.agent];
                *confirmed = last.max(*confirmed);
                entry.dispatch.report(agent, &reports, load, heard, now_ms);
            }
            FromRunsAgent::Upstream(life) => entry.dispatch.set_life(agent, life),
            _ => {}
        }
        self.carry_out(link.entry);
    }

    // Agents and upstreams.

    fn tick_agent(&mut self, agent: usize) {
        let now_ms = millis(self.clock.now());
        let ledger = &mut self.agents[agent].ledger;
        ledger.check_lapse(now_ms);
        ledger.expire(now_ms);
        ledger.drop_silent_owners(now_ms);
        self.act(agent);
        self.clock.after(AGENT_TICK, Event::AgentTick(agent));
    }

    fn told(&mut self, link: Link, message: ToRunsAgent) {
        let now_ms = millis(self.clock.now());
        let agent = &mut self.agents[link.agent];
        if !agent.hear(link.entry, link.run) {
            return;
        }
        let ledger = &mut agent.ledger;
        match message {
            ToRunsAgent::Place(placement) => ledger.place(link.run, placement, now_ms),
            ToRunsAgent::Stop(job) => ledger.stop_job(link.run, job),
            ToRunsAgent::Withdraw(tasks) => {
                tasks.into_iter().for_each(|task| ledger.withdraw(link.run, task));
            }
            ToRunsAgent::Finish { job, give_up_in_ms } => {
                ledger.finish_job(link.run, job, give_up_in_ms, now_ms);
            }
            ToRunsAgent::Beat { confirmed, .. } => {
                ledger.owner_heard(link.run, now_ms);
                ledger.confirmed(link.run, confirmed);
            }
            _ => {}
        }
        self.act(link.agent);
    }

    /// Sends what an agent wants after a change, and reports it.
    fn act(&mut self, agent: usize) {
        let (now, delay) = (self.clock.now(), self.call_delay());
        let wanted = self.agents[agent].wanted(now);
        let life = self.agents[agent].life;
        for order in wanted.starts {
            self.clock.after(delay, Event::Order { agent, life, order });
        }
        for (task, run) in wanted.stops {
            self.clock.after(delay, Event::Stop { agent, life, task, run });
        }
        for entry in 0..self.entries.len() {
            self.report_now(Link { entry, run: self.entries[entry].run, agent });
        }
    }

    fn report_now(&mut self, link: Link) -> Option<Micros> {
        if !self.is_present(link) {
            return None;
        }
        let (report, next) = self.agents[link.agent].report(link.entry, self.clock.now());
        if let Some(report) = report {
            self.messages += 1;
            let delay = self.message_delay();
            self.clock.after(delay, Event::Report(link, report));
        }
        Some(next)
    }

    fn report(&mut self, link: Link) {
        if let Some(next) = self.report_now(link) {
            self.clock.at(next.max(self.clock.now() + MS), Event::ReportDue(link));
        }
    }

    fn is_lost(&mut self, agent: usize) -> bool {
        let share = self.unanswered[agent];
        !self.agents[agent].upstream.answers() || (share > 0.0 && self.rng.random::<f64>() < share)
    }

    fn ordered(&mut self, agent: usize, life: u64, order: &StartOrder) {
        let (task, run) = (order.task, order.run);
        let delay = self.call_delay();
        if life != self.agents[agent].life || self.is_lost(agent) {
            let answer = StartAnswer::Unanswered;
            let event = Event::Ordered { agent, life, task, run, answer };
            return self.clock.after(ANSWER_WITHIN, event);
        }
        let (job, index) = numbers_of(task);
        let work = self.jobs[job].run_micros[index];
        let now = self.clock.now();
        let answer = self.agents[agent].upstream.start(task, run, work, now);
        if let Some(due) = self.agents[agent].upstream.end_due(task) {
            let cpu_milli = self.settings.kinds[self.jobs[job].kind].cpu_milli;
            self.notes[job].work += (due.at - now) * u64::from(cpu_milli);
            self.clock.at(due.at, Event::RunEnds { agent, life, due });
        }
        self.clock.after(delay, Event::Ordered { agent, life, task, run, answer });
    }

    fn order_answered(
        &mut self,
        agent: usize,
        life: u64,
        (task, run): (TaskKey, u32),
        answer: StartAnswer,
    ) {
        if life != self.agents[agent].life {
            return;
        }
        let now_ms = millis(self.clock.now());
        self.agents[agent].ledger.start_answered(task, run, answer, now_ms);
        self.act(agent);
    }

    fn run_ends(&mut self, agent: usize, life: u64, due: EndDue) {
        if life == self.agents[agent].life && self.agents[agent].upstream.finish(due) {
            self.answer_waiting(agent, None);
        }
    }

    fn stop(&mut self, agent: usize, life: u64, task: TaskKey, run: u32) {
        if life != self.agents[agent].life || self.is_lost(agent) {
            return;
        }
        self.agents[agent].upstream.stop(task, run);
        let delay = self.call_delay();
        self.clock.after(delay, Event::Stopped { agent, life, task, run });
        self.answer_waiting(agent, None);
    }

    fn stopped(&mut self, agent: usize, life: u64, task: TaskKey, run: u32) {
        if life != self.agents[agent].life {
            return;
        }
        let now = self.clock.now();
        self.agents[agent].ledger.stop_confirmed(task, run, millis(now));
        let look = self.agents[agent].look_now(now);
        self.send_renewal(agent, look);
        self.act(agent);
    }

    fn renewal_due(&mut self, agent: usize) {
        let now = self.clock.now();
        let due = self.agents[agent].renewal_due(now);
        self.send_renewal(agent, due);
        let next = self.agents[agent].renew_at().max(now + MS);
        self.clock.at(next, Event::RenewalDue(agent));
    }

    fn send_renewal(&mut self, agent: usize, renewal: Option<Renewal>) {
        let Some(renewal) = renewal else { return };
        let life = self.agents[agent].life;
        let delay = self.call_delay();
        self.clock.after(delay, Event::Renew { agent, life, renewal });
    }

    fn renew(&mut self, agent: usize, life: u64, renewal: Renewal) {
        if life != self.agents[agent].life || self.is_lost(agent) {
            let delay = ANSWER_WITHIN + renewal.wait;
            return self.clock.after(delay, Event::Renewed { agent, life, answer: None });
        }
        let has_ends = self.agents[agent].upstream.has_ends(renewal.acknowledged);
        self.agents[agent].waiting.push(renewal);
        if renewal.wait == 0 || has_ends {
            return self.answer_waiting(agent, Some(renewal.number));
        }
        let number = renewal.number;
        self.clock.after(renewal.wait, Event::WaitOver { agent, number });
    }

    /// Answers a renewal that waits at an upstream, or all of them.
    fn answer_waiting(&mut self, agent: usize, only: Option<u64>) {
        let (now, delay) = (self.clock.now(), self.call_delay());
        let at = &mut self.agents[agent];
        let is_answered = |waiting: &Renewal| only.is_none_or(|number| waiting.number == number);
        let (answered, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut at.waiting).into_iter().partition(is_answered);
        at.waiting = left;
        let life = at.life;
        for renewal in answered {
            let answer = Some(at.upstream.list(renewal.acknowledged, renewal.sent, now));
            self.clock.after(delay, Event::Renewed { agent, life, answer });
        }
    }

    // Faults.

    fn fault_begins(&mut self, number: usize) {
        let Fault { kind, count, strength, .. } = self.settings.faults[number];
        for index in 0..count as usize {
            match kind {
                FaultKind::Slow => self.set_slowness(index, strength),
                FaultKind::Hung => self.set_slowness(index, f64::INFINITY),
                FaultKind::Gone => self.lose_upstream(index),
                FaultKind::LateOrders => self.unanswered[index] = strength,
                FaultKind::EntryLost => self.lose_entry(index),
            }
        }
    }

    fn fault_ends(&mut self, number: usize) {
        let Fault { kind, count, .. } = self.settings.faults[number];
        for index in 0..count as usize {
            match kind {
                FaultKind::Slow | FaultKind::Hung => self.set_slowness(index, 1.0),
                FaultKind::Gone => {
                    self.agents[index].upstream.come_back();
                    self.clock.after(ANNOUNCED_AFTER, Event::Announced(index));
                }
                FaultKind::LateOrders => self.unanswered[index] = 0.0,
                FaultKind::EntryLost => {
                    self.runs += 1;
                    self.entries[index] = ModelEntry::new(self.runs);
                    self.connect_all(index);
                }
            }
        }
    }

    fn set_slowness(&mut self, agent: usize, slowness: f64) {
        let life = self.agents[agent].life;
        let dues = self.agents[agent].upstream.set_slowness(slowness, self.clock.now());
        for due in dues {
            self.clock.at(due.at, Event::RunEnds { agent, life, due });
        }
    }

    fn lose_upstream(&mut self, agent: usize) {
        let life = self.agents[agent].life;
        let waiting = self.agents[agent].waiting.len();
        self.agents[agent].lose_upstream();
        for _ in 0..waiting {
            self.clock.after(ANSWER_WITHIN, Event::Renewed { agent, life, answer: None });
        }
    }

    fn lose_entry(&mut self, entry: usize) {
        self.entries[entry].is_up = false;
        self.lost_at[entry] = self.clock.now();
        let mut lost: Vec<_> = self.entries[entry].jobs.drain().map(|(_, job)| job).collect();
        lost.sort_unstable();
        lost.into_iter().for_each(|job| self.ended(job, End::Failed));
    }
}

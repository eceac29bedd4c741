//! Entries, agents and upstreams in virtual time, and the messages between them.

mod agents;
mod entries;
mod faults;

use {
    super::{
        agent::{ModelAgent, Renewal},
        clock::{Clock, MS, Micros},
        entry::{ModelEntry, parameters},
        jobs::{ModelJob, draw_jobs},
        settings::{ModelSettings, UpstreamGroup},
        tally::{Ended, Note, Outcome, count},
        upstream::EndDue,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::BTreeSet, sync::Arc},
    sycamorerail_decide::{
        dispatch::KindParameters,
        ledger::{LeaseAnswer, StartAnswer, StartOrder},
        links::{LinkLimits, links_per_agent, rank_entries},
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{FromRunsAgent, TaskKey, ToRunsAgent},
    },
};

/// Time before the load, in which links are opened and leases are renewed.
const SETTLE: Micros = 1_000 * MS;
/// Time after the load, in which accepted jobs end.
const AFTER: Micros = 15_000 * MS;
/// Ticks of entries and agents, as in the programs.
const ENTRY_TICK: Micros = 20 * MS;
const AGENT_TICK: Micros = 25 * MS;
/// Heartbeat of an entry to an agent.
const HEARTBEAT_INTERVAL: Micros = 200 * MS;
/// Timeout of a call to an upstream.
const ANSWER_TIMEOUT: Micros = 200 * MS;
/// Time until an upstream that has restarted announces itself.
const ANNOUNCED_AFTER: Micros = 700 * MS;
/// Time until the load balancer has removed a lost entry and callers reach others.
const BALANCED_AFTER: Micros = 2_000 * MS;
const MICROS_PER_S: f64 = 1_000_000.0;

/// A link from an agent to an incarnation of an entry.
#[derive(Clone, Copy, Debug)]
struct Link {
    entry: usize,
    run: Incarnation,
    agent: usize,
}

#[derive(Debug)]
enum Event {
    Arrives(usize),
    Returns(usize),
    EntryTick(usize),
    AgentTick(usize),
    Heartbeat(Link),
    Deliver(Link, ToRunsAgent),
    Report(Link, FromRunsAgent),
    ReportDue(Link),
    Order { agent: usize, life: u64, order: StartOrder },
    Ordered { agent: usize, life: u64, task: TaskKey, run: u32, answer: StartAnswer },
    Stop { agent: usize, life: u64, task: TaskKey, run: u32 },
    Stopped { agent: usize, life: u64, task: TaskKey, run: u32 },
    RenewalDue { agent: usize, turn: u64 },
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
    /// Jobs; those that return with their last arrival and entry.
    jobs: Vec<ModelJob>,
    kinds: Vec<Arc<KindParameters>>,
    clock: Clock<Event>,
    entries: Vec<ModelEntry>,
    agents: Vec<ModelAgent>,
    /// Entries that each agent links to.
    linked: Vec<BTreeSet<usize>>,
    ends: Vec<Option<Ended>>,
    notes: Vec<Note>,
    /// Time at which each entry was lost last.
    lost_at: Vec<Micros>,
    /// Share of calls to each upstream that get no answer.
    unanswered: Vec<f64>,
    rng: SmallRng,
    runs: u64,
    messages: u64,
    recalls: u64,
}

/// The entries that each agent links to, by number.
fn linked(entries: usize, agents: usize, limits: &LinkLimits) -> Vec<BTreeSet<usize>> {
    let all: Vec<_> = (0..entries).collect();
    let count = links_per_agent(entries, agents, limits);
    let of =
        |agent: usize| rank_entries(&agent.to_string(), &all).into_iter().take(count).collect();
    (0..agents).map(of).collect()
}

impl<'a> World<'a> {
    fn new(settings: &'a ModelSettings, jobs: &'a [ModelJob], seed: u64) -> Self {
        let entries = usize::from(settings.entries);
        let groups = settings.upstreams.iter();
        let upstreams = groups.flat_map(|group| std::iter::repeat_n(group, group.count as usize));
        let load_pause = Micros::from(settings.links.load_pause_ms) * MS;
        let agent = |group: &UpstreamGroup| {
            ModelAgent::new(group.cpu_milli, group.speed, entries, load_pause)
        };
        let agents: Vec<_> = upstreams.map(agent).collect();
        Self {
            settings,
            kinds: settings.kinds.iter().map(parameters).collect(),
            linked: linked(entries, agents.len(), &settings.links.limits()),
            clock: Clock::default(),
            entries: (0..entries).map(|number| ModelEntry::new(number as u64 + 1)).collect(),
            unanswered: vec![0.0; agents.len()],
            agents,
            ends: vec![None; jobs.len()],
            notes: vec![Note::default(); jobs.len()],
            jobs: jobs.to_vec(),
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
            self.schedule_renewal(agent);
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
            if !self.linked[agent].contains(&entry) {
                continue;
            }
            self.agents[agent].connect(entry, run, now);
            let life = self.agents[agent].life();
            self.entries[entry].connect(agent, life, now);
            let link = Link { entry, run, agent };
            self.clock.at(now, Event::ReportDue(link));
            self.clock.after(HEARTBEAT_INTERVAL, Event::Heartbeat(link));
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrives(job) => self.arrives(job),
            Event::Returns(job) => self.returns(job),
            Event::EntryTick(entry) => self.tick_entry(entry),
            Event::AgentTick(agent) => self.tick_agent(agent),
            Event::Heartbeat(link) => self.heartbeat(link),
            Event::Deliver(link, message) => self.deliver(link, message),
            Event::Report(link, message) => self.reported(link, message),
            Event::ReportDue(link) => self.report(link),
            Event::Order { agent, life, order } => self.ordered(agent, life, &order),
            Event::Ordered { agent, life, task, run, answer } => {
                self.order_answered(agent, life, (task, run), answer);
            }
            Event::Stop { agent, life, task, run } => self.stop(agent, life, task, run),
            Event::Stopped { agent, life, task, run } => self.stopped(agent, life, task, run),
            Event::RenewalDue { agent, turn } => self.renewal_due(agent, turn),
            Event::Renew { agent, life, renewal } => self.renew(agent, life, renewal),
            Event::WaitOver { agent, number } => self.answer_waiting(agent, Some(number)),
            Event::Renewed { agent, life, answer } => {
                if self.agents[agent].renewed(life, answer, self.clock.now()) {
                    self.schedule_renewal(agent);
                }
                self.act(agent);
            }
            Event::RunEnds { agent, life, due } => self.run_ends(agent, life, due),
            Event::Announced(agent) => {
                self.agents[agent].announce();
                self.tell_upstream(agent);
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
}

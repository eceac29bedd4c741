//! Entries, agents, upstreams and callers, with links in between, in virtual time. A process takes
//! one step at a time and may stall between any two of them.

mod agent;
mod entry;
mod upstream;

use {
    agent::{Agent, AgentStep, REDIAL_MS},
    entry::{CallerMessage, Entry, EntryStep},
    std::collections::{BTreeMap, VecDeque},
    sycamorerail_decide::dispatch::JobAnswer,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{FromRunsAgent, RunsHello, ToRunsAgent, UpstreamInstance},
    },
    upstream::{CALL_MS, CallBody, Upstream, instance},
};

/// A run is over this long after its caller's connection broke or its entry died, when a copy of
/// the job may arrive elsewhere.
pub const OVER_AFTER_CALLER_MS: u64 = 1_300;
/// A run is over this long after its entry took it for lost.
pub const OVER_AFTER_LOSS_MS: u64 = 0;

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 2;
pub const LATENCY_MS: u64 = 2;
/// Links and leases stand when the first fault comes.
pub const WARM_UP_MS: u64 = 500;
/// Processes notice stalls from this length on.
const MIN_STALL_MS: u64 = 300;
/// What is left of a plan's last faults shows within this time.
pub const AFTERMATH_MS: u64 = 3_500;

/// The stall before a periodic check that was due then, if the process notices it.
fn stall_before_check_ms(due_ms: u64, now_ms: u64) -> Option<u64> {
    Some(now_ms.saturating_sub(due_ms)).filter(|stall_ms| *stall_ms >= MIN_STALL_MS)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Entry(usize),
    Agent(usize),
}

pub use Process::{Agent as AgentOf, Entry as EntryOf};

impl Process {
    pub fn index(self) -> usize {
        match self {
            EntryOf(entry) => entry,
            AgentOf(agent) => ENTRIES + agent,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Fault {
    /// A caller submits a job, unless it is under way.
    Submit {
        job: u64,
        entry: usize,
    },
    /// The caller's connection breaks.
    Leave {
        job: u64,
    },
    /// A process stands still after some more steps; `order` varies the order of steps that are
    /// due together.
    Stall {
        process: Process,
        steps: u32,
        ms: u64,
        order: u64,
    },
    /// Links of an entry are cut. What was on its way arrives up to `lag_ms` later than what is
    /// sent on a new connection.
    Cut {
        entry: usize,
        agents: [bool; AGENTS],
        ways: [bool; 2],
        ms: u64,
        lag_ms: u64,
    },
    /// A connection is reset.
    Reset {
        entry: usize,
        agent: usize,
    },
    Kill {
        process: Process,
        restart_ms: u64,
    },
    /// Calls that are sent within `ms` reach the upstream `late_ms` later.
    Slow {
        agent: usize,
        ms: u64,
        late_ms: u64,
    },
}

/// A connection of an agent to an entry. Times in queues are those of sending.
#[derive(Debug)]
pub struct Connection {
    pub entry: usize,
    pub agent: usize,
    pub hello: Option<(u64, RunsHello)>,
    pub to_entry: VecDeque<(u64, FromRunsAgent)>,
    pub to_agent: VecDeque<(u64, ToRunsAgent)>,
    /// Nothing arrives before, at the entry and at the agent.
    pub blocked_until_ms: [u64; 2],
    pub closed_ms: Option<u64>,
}

/// When the next message of a queue, or the end of the connection, arrives.
pub fn arrival_ms<T>(
    queue: &VecDeque<(u64, T)>,
    closed_ms: Option<u64>,
    blocked_until_ms: u64,
) -> Option<u64> {
    let sent_ms = queue.front().map(|(sent_ms, _)| *sent_ms).or(closed_ms)?;
    Some(blocked_until_ms.max(sent_ms + LATENCY_MS))
}

impl Connection {
    pub fn at_entry_ms(&self) -> Option<u64> {
        arrival_ms(&self.to_entry, self.closed_ms, self.blocked_until_ms[0])
    }

    pub fn at_agent_ms(&self) -> Option<u64> {
        arrival_ms(&self.to_agent, self.closed_ms, self.blocked_until_ms[1])
    }
}

/// When and in which order a process takes its steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    pub still_until_ms: u64,
    /// Steps until the next stall, and its length.
    pub stall: Option<(u32, u64)>,
    pub order: u64,
}

impl Pace {
    pub fn pick(&mut self, count: usize) -> usize {
        if self.order == 0 {
            return 0;
        }
        // SplitMix64.
        self.order = self.order.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.order ^ (self.order >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed >> 33) as usize % count
    }
}
/// Where a caller's job is.
#[derive(Clone, Copy, Debug)]
pub enum Caller {
    At {
        entry: usize,
        submission: u64,
    },
    /// Comes to the entry at that time.
    Returns {
        entry: usize,
        at_ms: u64,
    },
}

pub struct World {
    pub now_ms: u64,
    pub incarnations: u64,
    pub entries: Vec<Option<Entry>>,
    /// See [`Entry::sends_apart`].
    pub sends_apart: bool,
    pub agents: Vec<Option<Agent>>,
    pub upstreams: Vec<Upstream>,
    pub recorded: Vec<UpstreamInstance>,
    pub connections: Vec<Connection>,
    /// No connection is made until then, by entry and agent.
    pub cut_until_ms: [[u64; AGENTS]; ENTRIES],
    pub paces: [Pace; ENTRIES + AGENTS],
    pub restarts: Vec<(u64, Process)>,
    pub callers: BTreeMap<u64, Caller>,
    pub submissions: u64,
    /// When the runs of a submission have to be over.
    pub over_by_ms: BTreeMap<u64, u64>,
    /// Runs that an entry took for lost: submission, agent, number, and when they are over.
    pub lost: Vec<(u64, usize, u32, u64)>,
    pub twice: Option<String>,
    pub late: Option<String>,
    pub trace: bool,
}

/// What happens next.
pub enum Next {
    Restart(Process),
    Call(usize),
    Return(u64),
    Step(Process),
}

impl World {
    pub fn new(slow_permille: [u64; AGENTS], sends_apart: bool) -> Self {
        let upstream = |slow_permille| Upstream { slow_permille, ..Upstream::default() };
        let mut world = Self {
            now_ms: 0,
            incarnations: 0,
            entries: (0..ENTRIES).map(|_| None).collect(),
            sends_apart,
            agents: (0..AGENTS).map(|_| None).collect(),
            upstreams: slow_permille.map(upstream).into(),
            recorded: vec![instance(); AGENTS],
            connections: Vec::new(),
            cut_until_ms: Default::default(),
            paces: Default::default(),
            restarts: Vec::new(),
            callers: BTreeMap::new(),
            submissions: 0,
            over_by_ms: BTreeMap::new(),
            lost: Vec::new(),
            twice: None,
            late: None,
            trace: std::env::var_os("RUN_BOUND_TRACE").is_some(),
        };
        (0..ENTRIES).for_each(|entry| world.begin(EntryOf(entry)));
        (0..AGENTS).for_each(|agent| world.begin(AgentOf(agent)));
        world.pass(WARM_UP_MS);
        world
    }

    pub fn play(plan: &[(u64, Fault)], slow_permille: [u64; AGENTS]) -> Self {
        Self::play_with(plan, slow_permille, false)
    }

    pub fn play_with(
        plan: &[(u64, Fault)],
        slow_permille: [u64; AGENTS],
        sends_apart: bool,
    ) -> Self {
        let mut world = Self::new(slow_permille, sends_apart);
        for (wait_ms, fault) in plan {
            world.pass(*wait_ms);
            world.apply(fault);
        }
        world.pass(AFTERMATH_MS);
        world
    }

    pub fn begin(&mut self, process: Process) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        self.paces[process.index()] = Pace::default();
        match process {
            EntryOf(entry) => {
                self.entries[entry] = Some(Entry::new(incarnation, self.sends_apart, self.now_ms));
            }
            AgentOf(agent) => {
                let recorded = self.recorded[agent].clone();
                self.agents[agent] = Some(Agent::new(incarnation, recorded, self.now_ms));
            }
        }
    }

    pub fn apply(&mut self, fault: &Fault) {
        let now_ms = self.now_ms;
        if self.trace {
            eprintln!("{now_ms}: {fault:?}");
        }
        match *fault {
            Fault::Submit { job, entry } => {
                self.callers.entry(job).or_insert(Caller::Returns { entry, at_ms: now_ms });
            }
            Fault::Leave { job } => {
                if let Some(Caller::At { entry, .. }) = self.callers.get(&job).copied() {
                    self.caller_lost(job);
                    let entry = self.entries[entry].as_mut().unwrap();
                    entry.inbox.push_back(CallerMessage::Left(job));
                }
            }
            Fault::Stall { process, steps, ms, order } => {
                let pace = &mut self.paces[process.index()];
                (pace.stall, pace.order) = (Some((steps, ms)), order);
            }
            Fault::Cut { entry, agents, ways, ms, lag_ms } => {
                for agent in (0..AGENTS).filter(|agent| agents[*agent]) {
                    let until_ms = &mut self.cut_until_ms[entry][agent];
                    *until_ms = (*until_ms).max(now_ms + ms);
                    let is_cut =
                        |link: &&mut Connection| link.entry == entry && link.agent == agent;
                    for connection in self.connections.iter_mut().filter(is_cut) {
                        for way in (0..2).filter(|way| ways[*way]) {
                            let until_ms = &mut connection.blocked_until_ms[way];
                            *until_ms = (*until_ms).max(now_ms + ms + lag_ms);
                        }
                    }
                }
            }
            Fault::Reset { entry, agent } => {
                let is_reset = |link: &&mut Connection| link.entry == entry && link.agent == agent;
                for connection in self.connections.iter_mut().filter(is_reset) {
                    connection.to_entry.clear();
                    connection.to_agent.clear();
                    connection.closed_ms.get_or_insert(now_ms);
                }
            }
            Fault::Kill { process, restart_ms } => self.kill(process, restart_ms),
            Fault::Slow { agent, ms, late_ms } => {
                let upstream = &mut self.upstreams[agent];
                (upstream.late_until_ms, upstream.late_ms) = (now_ms + ms, late_ms);
            }
        }
    }

    /// The connection of a caller breaks, who submits a copy elsewhere.
    pub fn caller_lost(&mut self, job: u64) {
        let at_ms = self.now_ms + OVER_AFTER_CALLER_MS;
        if let Some(Caller::At { entry, submission }) = self.callers.get(&job).copied() {
            self.over_by_ms.insert(submission, at_ms);
            self.callers.insert(job, Caller::Returns { entry: (entry + 1) % ENTRIES, at_ms });
        }
    }

    pub fn kill(&mut self, process: Process, restart_ms: u64) {
        let now_ms = self.now_ms;
        let ends = |link: &&mut Connection| match process {
            EntryOf(entry) => link.entry == entry,
            AgentOf(agent) => link.agent == agent,
        };
        match process {
            EntryOf(entry) if self.entries[entry].is_some() => {
                let at = |(job, caller): (&u64, &Caller)| {
                    matches!(caller, Caller::At { entry: at, .. } if *at == entry).then_some(*job)
                };
                let lost: Vec<_> = self.callers.iter().filter_map(at).collect();
                lost.into_iter().for_each(|job| self.caller_lost(job));
                self.entries[entry] = None;
            }
            AgentOf(agent) if self.agents[agent].is_some() => self.agents[agent] = None,
            _ => return,
        }
        for connection in self.connections.iter_mut().filter(ends) {
            connection.closed_ms.get_or_insert(now_ms);
        }
        self.restarts.push((now_ms + restart_ms, process));
    }

    /// Lets time pass, with all that is due.
    pub fn pass(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while let Some((at_ms, next)) = self.next().filter(|(at_ms, _)| *at_ms <= until_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            match next {
                Next::Restart(process) => {
                    self.restarts.retain(|(_, other)| *other != process);
                    self.begin(process);
                }
                Next::Call(upstream) => self.carry_out(upstream),
                Next::Return(job) => self.submit(job),
                Next::Step(process) => self.step(process),
            }
            self.check();
            if self.twice.is_some() {
                return;
            }
        }
        self.now_ms = until_ms;
    }

    pub fn next(&self) -> Option<(u64, Next)> {
        let restarts =
            self.restarts.iter().map(|(at_ms, process)| (*at_ms, Next::Restart(*process)));
        let calls = self.upstreams.iter().enumerate().filter_map(|(number, upstream)| {
            Some((upstream.calls.iter().map(|(at_ms, _)| *at_ms).min()?, Next::Call(number)))
        });
        let returns = self.callers.iter().filter_map(|(job, caller)| match caller {
            Caller::Returns { at_ms, .. } => Some((*at_ms, Next::Return(*job))),
            Caller::At { .. } => None,
        });
        let entries = self.entries.iter().enumerate().filter_map(|(number, entry)| {
            let due =
                entry.as_ref()?.steps(&self.connections).into_iter().map(|step| step.0).min()?;
            Some((EntryOf(number), due))
        });
        let agents = self.agents.iter().enumerate().filter_map(|(number, agent)| {
            let due =
                agent.as_ref()?.steps(&self.connections).into_iter().map(|step| step.0).min()?;
            Some((AgentOf(number), due))
        });
        let steps = entries.chain(agents).map(|(process, due_ms)| {
            let still_until_ms = self.paces[process.index()].still_until_ms;
            (due_ms.max(still_until_ms), Next::Step(process))
        });
        restarts
            .chain(calls)
            .chain(returns)
            .chain(steps)
            .min_by_key(|(at_ms, _)| (*at_ms).max(self.now_ms))
    }

    pub fn step(&mut self, process: Process) {
        let now_ms = self.now_ms;
        let pace = &mut self.paces[process.index()];
        if let Some((steps, ms)) = pace.stall {
            pace.stall = steps.checked_sub(1).map(|left| (left, ms));
            if pace.stall.is_none() {
                pace.still_until_ms = now_ms + ms;
                return;
            }
        }
        match process {
            EntryOf(number) => {
                let entry = self.entries[number].as_ref().unwrap();
                let mut due = entry.steps(&self.connections);
                due.retain(|(at_ms, _)| *at_ms <= now_ms);
                let (_, step) = due[pace.pick(due.len())];
                if self.trace && !matches!(step, EntryStep::Tick) {
                    eprintln!("{now_ms}: entry {number} {step:?}");
                }
                self.entry_step(number, step);
            }
            AgentOf(number) => {
                let agent = self.agents[number].as_ref().unwrap();
                let mut due = agent.steps(&self.connections);
                due.retain(|(at_ms, _)| *at_ms <= now_ms);
                let (_, step) = due[pace.pick(due.len())];
                if self.trace && !matches!(step, AgentStep::Tick) {
                    eprintln!("{now_ms}: agent {number} {step:?}");
                }
                self.agent_step(number, step);
            }
        }
    }

    pub fn entry_step(&mut self, number: usize, step: EntryStep) {
        let now_ms = self.now_ms;
        let entry = self.entries[number].as_mut().unwrap();
        match step {
            EntryStep::Send => entry.act(now_ms),
            EntryStep::Tick => entry.tick(now_ms),
            EntryStep::Caller => entry.handle_caller(now_ms),
            EntryStep::Accept(connection) => {
                let Connection { hello, agent, .. } = &mut self.connections[connection];
                let (_, hello) = hello.take().unwrap();
                entry.accept(connection, *agent, &hello, now_ms);
            }
            EntryStep::Count(link) => {
                let connection = entry.links[link].connection;
                match self.connections[connection].to_entry.pop_front() {
                    Some((_, message)) => entry.count(link, message, now_ms),
                    None => drop(entry.end_link(link, now_ms)),
                }
            }
            EntryStep::Apply(link) => entry.apply(link, now_ms),
            EntryStep::Write(link) => {
                let link = &mut entry.links[link];
                let messages = link.outbox.drain(..).map(|message| (now_ms, message));
                self.connections[link.connection].to_agent.extend(messages);
            }
            EntryStep::Beat(link) => entry.beat(link, now_ms),
            EntryStep::End(link) => {
                let connection = entry.end_link(link, now_ms);
                self.connections[connection].closed_ms.get_or_insert(now_ms);
            }
        }
        self.note_decisions(number);
    }

    pub fn note_decisions(&mut self, number: usize) {
        let by_ms = self.now_ms + OVER_AFTER_LOSS_MS;
        let entry = self.entries[number].as_mut().unwrap();
        let lost = entry.lost.drain(..);
        self.lost.extend(lost.map(|(submission, agent, run)| (submission, agent, run, by_ms)));
        for (job, answer) in std::mem::take(&mut entry.answers) {
            let is_here = matches!(self.callers.get(&job), Some(Caller::At { entry, .. }) if *entry == number);
            match answer {
                _ if !is_here => {}
                JobAnswer::Unknown { .. } => self.caller_lost(job),
                JobAnswer::NotRun { .. } => {
                    let at_ms = self.now_ms + 100;
                    self.callers.insert(job, Caller::Returns { entry: number, at_ms });
                }
                _ => drop(self.callers.remove(&job)),
            }
        }
    }

    pub fn agent_step(&mut self, number: usize, step: AgentStep) {
        let now_ms = self.now_ms;
        let agent = self.agents[number].as_mut().unwrap();
        let upstream = &mut self.upstreams[number];
        match step {
            AgentStep::Tick => agent.tick(now_ms),
            AgentStep::Renew { now } => agent.renew(upstream, now, now_ms),
            AgentStep::Send(order) => agent.send_order(upstream, order, now_ms),
            AgentStep::Answer(call) => agent.answered(call, now_ms),
            AgentStep::Dial(entry) => {
                if self.entries[entry].is_none() || self.cut_until_ms[entry][number] > now_ms {
                    agent.links[entry].dial_ms = now_ms + 2 * REDIAL_MS;
                    return;
                }
                let hello = Some((now_ms, agent.dial(number, entry, now_ms)));
                agent.links[entry].connection = Some(self.connections.len());
                let backlog = &mut self.entries[entry].as_mut().unwrap().backlog;
                backlog.push(self.connections.len());
                self.connections.push(Connection {
                    entry,
                    agent: number,
                    hello,
                    to_entry: VecDeque::new(),
                    to_agent: VecDeque::new(),
                    blocked_until_ms: [0; 2],
                    closed_ms: None,
                });
            }
            AgentStep::Read(entry) => {
                let connection = agent.links[entry].connection.unwrap();
                match self.connections[connection].to_agent.pop_front() {
                    Some((_, message)) => agent.read(entry, message, now_ms),
                    None => drop(agent.end_link(entry, now_ms)),
                }
            }
            AgentStep::Write(entry) => {
                let messages = agent.write(entry, now_ms);
                let connection = &mut self.connections[agent.links[entry].connection.unwrap()];
                connection.to_entry.extend(messages.into_iter().map(|message| (now_ms, message)));
            }
            AgentStep::End(entry) => {
                let connection = agent.end_link(entry, now_ms).unwrap();
                self.connections[connection].closed_ms.get_or_insert(now_ms);
            }
        }
        if let Some(instance) = agent.ledger.proven_instance() {
            self.recorded[number].clone_from(instance);
        }
    }

    pub fn carry_out(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let upstream = &mut self.upstreams[number];
        let Some(place) = upstream.calls.iter().position(|(at_ms, _)| *at_ms <= now_ms) else {
            return;
        };
        let (_, call) = upstream.calls.remove(place);
        let answer = upstream.carry_out(&call, now_ms);
        if self.trace && !matches!(call.body, CallBody::Collect) {
            eprintln!("{now_ms}: upstream {number} {call:?} {answer:?}");
        }
        let agent = self.agents[number].as_mut().filter(|agent| agent.incarnation == call.agent);
        let Some(agent) = agent else { return };
        if let Some(pending) = agent.pending.iter_mut().find(|pending| pending.id == call.id) {
            pending.answer = answer.map(|answer| (now_ms + CALL_MS, answer));
        }
    }

    pub fn submit(&mut self, job: u64) {
        let Some(Caller::Returns { entry: number, .. }) = self.callers.get(&job).copied() else {
            return;
        };
        let caller = match &mut self.entries[number] {
            Some(entry) => {
                self.submissions += 1;
                let submission = self.submissions;
                entry.inbox.push_back(CallerMessage::Submit { job, submission });
                Caller::At { entry: number, submission }
            }
            None => {
                let at_ms = self.now_ms + OVER_AFTER_CALLER_MS;
                Caller::Returns { entry: (number + 1) % ENTRIES, at_ms }
            }
        };
        self.callers.insert(job, caller);
    }

    pub fn check(&mut self) {
        let now_ms = self.now_ms;
        self.upstreams.iter_mut().for_each(|upstream| upstream.pass_time(now_ms));
        for (number, upstream) in self.upstreams.iter().enumerate() {
            for (task, run) in &upstream.running {
                let mut others = self.upstreams[..number].iter();
                if let Some(other) = others.find_map(|other| other.running.get(task)) {
                    self.twice =
                        Some(format!("{task} runs twice at {now_ms} ms: {other:?}, {run:?}"));
                }
                let by_ms = self.over_by_ms.get(&run.submission);
                if let Some(by_ms) = by_ms.filter(|by_ms| now_ms > **by_ms) {
                    let late =
                        format!("{task} runs at {now_ms} ms, was to be over by {by_ms}: {run:?}");
                    self.late.get_or_insert(late);
                }
                let is_lost = |lost: &&(u64, usize, u32, u64)| {
                    (lost.0, lost.1, lost.2) == (run.submission, number, run.number)
                };
                if let Some(lost) = self.lost.iter().find(is_lost).filter(|lost| now_ms > lost.3) {
                    let late =
                        format!("{task} runs at {now_ms} ms, lost at {} ms: {run:?}", lost.3);
                    self.late.get_or_insert(late);
                }
            }
        }
    }
}

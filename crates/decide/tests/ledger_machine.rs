//! Model-based test of ledgers against upstreams: calls are carried out late or never, answers
//! are lost, agents restart or are suspended, and upstreams restart under their ids. No
//! upstream's capacity is exceeded, and no task runs twice at once.
//!
//! One case is excluded because the protocol cannot detect it: an order for an earlier instance
//! that reaches the next instance before any call with a new fence, after the agent has settled
//! the order or has not heard from the upstream for as long as it trusts it.

use {
    proptest::{collection::vec, prelude::*, sample::Index},
    std::collections::HashMap,
    sycamorerail_decide::ledger::{
        EndKind, InstanceEnd, LeaseAnswer, Ledger, LedgerLimits, RunEnd, StartAnswer, StartOrder,
        StartRefusal,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, InstanceId, PlacementTarget, Resources, RunEvent, StepPlacement, TaskKey,
            TaskStart, UpstreamInstance,
        },
    },
};

const ENTRY: Incarnation = Incarnation(1);
const SITES: usize = 2;
/// Start time of the first instances.
const STARTED_UNIX_MS: u64 = 1_700_000_000_000;
/// How long an agent waits for an answer to a renewal.
const ANSWER_WITHIN_MS: u64 = 240;
/// Shorter than the time in which a process starts.
const AGENT_STARTS_MS: u64 = 20;
/// Longest lease that an upstream grants.
const LEASE_MS: u64 = 1_000;
const JOBS: u64 = 6;
const CAPACITY_MILLI: u32 = 10_000;
const NEED_MILLI: [u32; 3] = [2_000, 4_000, 7_000];

#[derive(Clone, Debug)]
enum Op {
    Place {
        job: u64,
        site: usize,
    },
    StopJob {
        job: u64,
        site: usize,
    },
    Order {
        site: usize,
    },
    /// Carries out a pending start or stop, and delivers its answer.
    CarryOut {
        call: Index,
        lose_answer: bool,
    },
    /// The agent gives up waiting; the call may still be carried out.
    TimeOut(Index),
    Renew {
        site: usize,
        lose_answer: bool,
    },
    /// Carries out an unanswered renewal.
    LateRenewal(Index),
    End {
        site: usize,
        run: Index,
        fails: bool,
    },
    RestartAgent {
        site: usize,
    },
    /// The upstream restarts under its id; its time of day may have been set back.
    RestartUpstream {
        site: usize,
        started_unix_ms: u64,
        /// The agent has found no listener in between.
        is_noticed: bool,
    },
    /// The current instance of an upstream announces itself, or a late announcement of the
    /// previous instance arrives.
    Announce {
        site: usize,
        is_late: bool,
    },
    Withdraw {
        site: usize,
    },
    /// A renewal is carried out; its answer is delayed.
    SlowRenewal {
        site: usize,
    },
    /// A delayed answer arrives.
    LateAnswer(Index),
    /// A site works normally: its lease is renewed, a task is placed if the entry has not
    /// placed it anywhere, and pending starts and stops are sent and carried out.
    Work {
        site: usize,
        job: u64,
    },
    /// The VM of a site is suspended, perhaps together with its upstream.
    Suspend {
        site: usize,
        ms: u64,
        with_upstream: bool,
    },
    Wait {
        ms: u64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let site = 0..SITES;
    let any = any::<Index>;
    prop_oneof![
        8 => (0..JOBS, site.clone()).prop_map(|(job, site)| Op::Place { job, site }),
        2 => (0..JOBS, site.clone()).prop_map(|(job, site)| Op::StopJob { job, site }),
        10 => site.clone().prop_map(|site| Op::Order { site }),
        16 => (any(), any_bool()).prop_map(|(call, lose_answer)| Op::CarryOut { call, lose_answer }),
        4 => any().prop_map(Op::TimeOut),
        14 => (site.clone(), proptest::bool::ANY).prop_map(|(site, lose_answer)| Op::Renew { site, lose_answer }),
        3 => any().prop_map(Op::LateRenewal),
        6 => (site.clone(), any(), proptest::bool::ANY).prop_map(|(site, run, fails)| Op::End { site, run, fails }),
        1 => site.clone().prop_map(|site| Op::RestartAgent { site }),
        3 => (site.clone(), started(), any_bool()).prop_map(|(site, started_unix_ms, is_noticed)| Op::RestartUpstream { site, started_unix_ms, is_noticed }),
        4 => (site.clone(), any_bool()).prop_map(|(site, is_late)| Op::Announce { site, is_late }),
        1 => site.clone().prop_map(|site| Op::Withdraw { site }),
        3 => site.clone().prop_map(|site| Op::SlowRenewal { site }),
        3 => any().prop_map(Op::LateAnswer),
        2 => (site.clone(), 50..4_000_u64, proptest::bool::ANY).prop_map(|(site, ms, with_upstream)| Op::Suspend { site, ms, with_upstream }),
        16 => (site, 0..JOBS).prop_map(|(site, job)| Op::Work { site, job }),
        10 => prop_oneof![4 => 1..120_u64, 3 => 200..900_u64, 1 => 900..2_500_u64].prop_map(|ms| Op::Wait { ms }),
    ]
}

fn started() -> impl Strategy<Value = u64> {
    let near = STARTED_UNIX_MS - 100_000..STARTED_UNIX_MS + 100_000;
    prop_oneof![4 => near, 1 => 0..2 * STARTED_UNIX_MS]
}

fn any_bool() -> impl Strategy<Value = bool> {
    prop_oneof![4 => Just(false), 1 => Just(true)]
}

/// Model of an upstream as seen by the agents' calls. Its clock is 2 % slow.
#[derive(Debug, Default)]
struct Upstream {
    started_unix_ms: u64,
    /// Start time of the previous instance.
    before_unix_ms: Option<u64>,
    began_ms: u64,
    /// It has seen a fence that was taken for this instance.
    is_fenced: bool,
    running: HashMap<TaskKey, (u32, u32)>,
    highest: HashMap<TaskKey, u32>,
    ended: Vec<RunEnd>,
    last_end: u64,
    fence: u64,
    lease_until_clock_ms: u64,
    /// Total time for which its clock stood still.
    suspended_ms: u64,
}

impl Upstream {
    fn new(started_unix_ms: u64, now_ms: u64) -> Self {
        Self { started_unix_ms, began_ms: now_ms, ..Self::default() }
    }

    fn restart(&mut self, started_unix_ms: u64, now_ms: u64) {
        let before_unix_ms = Some(self.started_unix_ms);
        *self = Self { before_unix_ms, ..Self::new(started_unix_ms, now_ms) };
    }

    fn id(&self) -> InstanceId {
        instance(self.started_unix_ms).id
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        1_000 + (now_ms - self.began_ms - self.suspended_ms) * 98 / 100
    }

    fn lapse(&mut self, now_ms: u64) {
        if self.clock_ms(now_ms) > self.lease_until_clock_ms {
            for (task, (run, _)) in std::mem::take(&mut self.running) {
                self.list(task, run, EndKind::Lapsed);
            }
        }
    }

    fn list(&mut self, task: TaskKey, run: u32, kind: EndKind) {
        self.last_end += 1;
        self.ended.push(RunEnd { number: self.last_end, task, run, kind });
        let highest = self.highest.entry(task).or_default();
        *highest = run.max(*highest);
    }

    fn start(
        &mut self,
        order: &StartOrder,
        need_milli: u32,
        fence: u64,
        now_ms: u64,
    ) -> StartAnswer {
        self.lapse(now_ms);
        if fence < self.fence {
            return StartAnswer::Refused(StartRefusal::Fenced);
        }
        self.fence = fence;
        if self.running.get(&order.task).is_some_and(|(run, _)| *run == order.run) {
            return StartAnswer::Started;
        }
        if self.highest.get(&order.task).is_some_and(|highest| order.run <= *highest) {
            return StartAnswer::Refused(StartRefusal::OldRun);
        }
        if self.clock_ms(now_ms) > order.late_after_clock_ms {
            return StartAnswer::Refused(StartRefusal::Late);
        }
        let until = order.late_after_clock_ms.min(self.clock_ms(now_ms) + LEASE_MS);
        self.lease_until_clock_ms = self.lease_until_clock_ms.max(until);
        self.running.insert(order.task, (order.run, need_milli));
        StartAnswer::Started
    }

    fn stop(&mut self, task: TaskKey, run: u32, fence: u64, now_ms: u64) -> bool {
        self.lapse(now_ms);
        if fence < self.fence {
            return false;
        }
        let highest = self.highest.entry(task).or_default();
        *highest = run.max(*highest);
        if self.running.get(&task).is_some_and(|(running, _)| *running == run) {
            self.running.remove(&task);
            self.list(task, run, EndKind::Stopped);
        }
        true
    }

    fn renew(
        &mut self,
        lease: Option<u64>,
        fence: u64,
        acknowledged: u64,
        now_ms: u64,
    ) -> Option<LeaseAnswer> {
        self.lapse(now_ms);
        if fence < self.fence {
            return None;
        }
        self.fence = fence;
        if let Some(until) = lease {
            let until = until.min(self.clock_ms(now_ms) + LEASE_MS);
            self.lease_until_clock_ms = self.lease_until_clock_ms.max(until);
        }
        self.ended.retain(|ended| ended.number > acknowledged);
        Some(LeaseAnswer {
            instance: self.id(),
            fence,
            sent_ms: now_ms,
            clock_ms: self.clock_ms(now_ms),
            running: self.running.iter().map(|(task, (run, _))| (*task, *run)).collect(),
            ended: self.ended.clone(),
        })
    }

    fn taken_milli(&self) -> u32 {
        self.running.values().map(|(_, need)| need).sum()
    }
}

/// A call of an agent that the upstream may still carry out.
#[derive(Clone, Debug)]
enum Call {
    Start { site: usize, agent: u32, order: StartOrder, fence: u64, answered: bool },
    Stop { site: usize, agent: u32, task: TaskKey, run: u32, fence: u64 },
}

#[derive(Clone, Debug)]
struct LateRenewal {
    site: usize,
    lease: Option<u64>,
    fence: u64,
}

struct Site {
    ledger: Ledger,
    upstream: Upstream,
    /// The upstream's instance as recorded for the agent's next run.
    recorded: UpstreamInstance,
    agent: u32,
    /// Total time for which its VM was suspended since the agent started.
    suspended_ms: u64,
}

impl Site {
    /// Makes the calls that precede an agent's first order, repeated while they are refused.
    fn fence(&mut self, now_ms: u64) {
        while !self.ledger.is_fenced() || self.upstream.fence < self.ledger.fence() {
            self.renew(None, now_ms);
        }
    }

    /// Carries out a renewal and delivers the answer, if there is one.
    fn renew(&mut self, lease: Option<u64>, now_ms: u64) {
        if let Some((answer, is_fenced)) = self.carry_out(lease, now_ms) {
            self.answered(&answer, is_fenced, now_ms);
        }
    }

    /// Carries out a renewal; returns the answer and whether a fence had been taken before.
    fn carry_out(&mut self, lease: Option<u64>, now_ms: u64) -> Option<(LeaseAnswer, bool)> {
        let Self { ledger, upstream, .. } = self;
        let (fence, is_fenced) = (ledger.fence(), ledger.is_fenced());
        let acknowledged = if is_fenced { ledger.last_acknowledged_end() } else { 0 };
        let answer = upstream.renew(lease.filter(|_| is_fenced), fence, acknowledged, now_ms);
        if answer.is_none() {
            ledger.handle_fence_refusal(fence, upstream.clock_ms(now_ms));
        } else if is_fenced && ledger.current_instance() == Some(&upstream.id()) {
            upstream.is_fenced = true;
        }
        answer.map(|answer| (answer, is_fenced))
    }

    fn answered(&mut self, answer: &LeaseAnswer, is_fenced: bool, now_ms: u64) {
        if is_fenced {
            self.ledger.handle_renewal_answer(answer, now_ms);
        } else {
            self.ledger.handle_fence_answer(answer, now_ms);
        }
    }

    /// Whether nothing in the protocol keeps this order for an earlier instance from being
    /// carried out by the current one.
    fn is_left_open(&self, order: &StartOrder, now_ms: u64) -> bool {
        let is_held = self.ledger.held_runs(ENTRY).contains(&(order.task, order.run));
        !(self.upstream.is_fenced || is_held && self.ledger.is_trusted(now_ms))
    }
}

/// An answer in transit to an agent.
struct SlowAnswer {
    site: usize,
    agent: u32,
    answer: LeaseAnswer,
    is_fenced: bool,
}

/// The entry's view of a task: where it is placed, and the number of its last run.
#[derive(Clone, Copy, Debug, Default)]
struct Belief {
    site: Option<usize>,
    run: u32,
}

struct World {
    now_ms: u64,
    sites: Vec<Site>,
    calls: Vec<Call>,
    renewals: Vec<LateRenewal>,
    answers: Vec<SlowAnswer>,
    tasks: HashMap<TaskKey, Belief>,
}

fn instance(started_unix_ms: u64) -> UpstreamInstance {
    UpstreamInstance {
        id: InstanceId { id: "a".to_owned(), started_unix_ms: Some(started_unix_ms) },
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: CAPACITY_MILLI, memory_mb: 0, accelerators: 0 },
        labels: Vec::new(),
        leaving: false,
    }
}

fn task(job: u64) -> TaskKey {
    TaskKey { job: CallerJobId(job), step: 0, index: 0 }
}

fn need_milli(task: TaskKey) -> u32 {
    NEED_MILLI[task.job.0 as usize % NEED_MILLI.len()]
}

fn new_ledger(recorded: UpstreamInstance) -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(recorded);
    ledger
}

impl World {
    fn new() -> Self {
        let site = || {
            let mut site = Site {
                ledger: new_ledger(instance(STARTED_UNIX_MS)),
                upstream: Upstream::new(STARTED_UNIX_MS, 0),
                recorded: instance(STARTED_UNIX_MS),
                agent: 0,
                suspended_ms: 0,
            };
            site.fence(0);
            site
        };
        Self {
            now_ms: 1,
            sites: (0..SITES).map(|_| site()).collect(),
            calls: Vec::new(),
            renewals: Vec::new(),
            answers: Vec::new(),
            tasks: HashMap::new(),
        }
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Place { job, site } => self.place(task(job), site),
            Op::StopJob { job, site } => self.sites[site].ledger.stop_job(ENTRY, CallerJobId(job)),
            Op::Order { site } => self.order(site),
            Op::CarryOut { call, lose_answer } => self.carry_out(call, lose_answer),
            Op::TimeOut(call) => self.time_out(call),
            Op::Renew { site, lose_answer } => self.renew(site, lose_answer),
            Op::LateRenewal(renewal) => self.late_renewal(renewal),
            Op::End { site, run, fails } => self.end(site, run, fails),
            Op::RestartAgent { site } => self.restart(site),
            Op::RestartUpstream { site, started_unix_ms, is_noticed } => {
                self.restart_upstream(site, started_unix_ms, is_noticed);
            }
            Op::Announce { site, is_late } => self.announce(site, is_late),
            Op::Withdraw { site } => {
                self.sites[site].ledger.handle_withdrawal("a", self.now_ms);
            }
            Op::SlowRenewal { site } => self.slow_renewal(site),
            Op::LateAnswer(answer) => self.late_answer(answer),
            Op::Work { site, job } => self.work(site, job),
            Op::Suspend { site, ms, with_upstream } => self.suspend(site, ms, with_upstream),
            Op::Wait { ms } => self.now_ms += ms,
        }
        for site in &mut self.sites {
            site.upstream.lapse(self.now_ms);
            site.ledger.note_suspension(site.suspended_ms, self.now_ms);
            site.ledger.check_lease_lapse(self.now_ms);
            site.ledger.drop_expired(self.now_ms);
            if let Some(instance) = site.ledger.proven_instance() {
                site.recorded = instance.clone();
            }
        }
        self.read_reports();
        self.check();
    }

    /// The entry, which knows the agent's upstream, places a task that it has not placed anywhere.
    fn place(&mut self, task: TaskKey, site: usize) {
        let belief = self.tasks.entry(task).or_default();
        if belief.site.is_some() {
            return;
        }
        belief.site = Some(site);
        belief.run += 1;
        let known = self.sites[site].ledger.announced_instance();
        let target = known.map_or_else(PlacementTarget::default, |known| PlacementTarget {
            instance: known.id.clone(),
            pool: known.pool.clone(),
            required_label: None,
        });
        let placement = StepPlacement {
            job: task.job,
            step: 0,
            target,
            spec: String::new(),
            tasks: vec![TaskStart { index: 0, run: belief.run }],
            need: Resources { cpu_milli: need_milli(task), memory_mb: 0, accelerators: 0 },
            run_ms: 50,
            priority: 0,
            objective_in_ms: 1_000,
            give_up_in_ms: 3_000,
            job_mostly_started: false,
            age_ms: 0,
            suspect: false,
        };
        let ledger = &mut self.sites[site].ledger;
        ledger.note_owner_contact(ENTRY, self.now_ms);
        ledger.place(ENTRY, placement, self.now_ms);
    }

    fn order(&mut self, site: usize) {
        let Site { ledger, agent, .. } = &mut self.sites[site];
        let fence = ledger.fence();
        ledger.note_owner_contact(ENTRY, self.now_ms);
        while let Some(order) = ledger.next_start(self.now_ms) {
            let start = Call::Start { site, agent: *agent, order, fence, answered: false };
            self.calls.push(start);
        }
        for (task, run) in ledger.stops_due(self.now_ms) {
            self.calls.push(Call::Stop { site, agent: *agent, task, run, fence });
        }
    }

    /// Time passes everywhere; the suspended VM notices it when it resumes.
    fn suspend(&mut self, site: usize, ms: u64, with_upstream: bool) {
        self.now_ms += ms;
        let site = &mut self.sites[site];
        site.suspended_ms += ms;
        if with_upstream {
            site.upstream.suspended_ms += ms;
        }
    }

    fn work(&mut self, site: usize, job: u64) {
        self.announce(site, false);
        self.renew(site, false);
        self.place(task(job), site);
        let before = self.calls.len();
        self.order(site);
        for call in self.calls.split_off(before) {
            self.deliver(call, false);
        }
    }

    fn carry_out(&mut self, call: Index, lose_answer: bool) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.swap_remove(call.index(self.calls.len()));
        self.deliver(call, lose_answer);
    }

    fn deliver(&mut self, call: Call, lose_answer: bool) {
        let now_ms = self.now_ms;
        match call {
            Call::Start { site, agent, order, fence, answered } => {
                let site = &mut self.sites[site];
                if site.is_left_open(&order, now_ms) {
                    return;
                }
                let need = need_milli(order.task);
                let answer = site.upstream.start(&order, need, fence, now_ms);
                if site.agent == agent && !answered {
                    let answer = if lose_answer { StartAnswer::Unanswered } else { answer };
                    site.ledger.handle_start_answer(order.task, order.run, answer, now_ms);
                }
            }
            Call::Stop { site, agent, task, run, fence } => {
                let site = &mut self.sites[site];
                let stopped = site.upstream.stop(task, run, fence, now_ms);
                if site.agent == agent && stopped && !lose_answer {
                    site.ledger.handle_stop_confirmation(task, run, now_ms);
                }
            }
        }
    }

    fn time_out(&mut self, call: Index) {
        if self.calls.is_empty() {
            return;
        }
        let place = call.index(self.calls.len());
        let Call::Start { site, agent, order, answered, .. } = &mut self.calls[place] else {
            return;
        };
        let site = &mut self.sites[*site];
        if site.agent == *agent && !std::mem::replace(answered, true) {
            let (task, run) = (order.task, order.run);
            site.ledger.handle_start_answer(task, run, StartAnswer::Unanswered, self.now_ms);
        }
    }

    fn renew(&mut self, site: usize, lose_answer: bool) {
        let Site { ledger, upstream, .. } = &mut self.sites[site];
        if ledger.current_instance().is_none() {
            return;
        }
        let lease = ledger.lease_until_clock_ms(self.now_ms).filter(|_| ledger.is_fenced());
        if lose_answer {
            // Carried out now, and perhaps once more later.
            let fence = ledger.fence();
            upstream.renew(lease, fence, 0, self.now_ms);
            self.renewals.push(LateRenewal { site, lease, fence });
            return;
        }
        self.sites[site].renew(lease, self.now_ms);
    }

    fn restart_upstream(&mut self, site: usize, started_unix_ms: u64, is_noticed: bool) {
        let Site { ledger, upstream, .. } = &mut self.sites[site];
        if started_unix_ms == upstream.started_unix_ms {
            return;
        }
        if is_noticed && ledger.current_instance().is_some() {
            ledger.end_instance(InstanceEnd::Crashed);
        }
        upstream.restart(started_unix_ms, self.now_ms);
    }

    fn announce(&mut self, site: usize, is_late: bool) {
        let Site { ledger, upstream, .. } = &mut self.sites[site];
        let late = upstream.before_unix_ms.filter(|_| is_late);
        ledger.handle_announcement(instance(late.unwrap_or(upstream.started_unix_ms)), self.now_ms);
    }

    fn slow_renewal(&mut self, site: usize) {
        let now_ms = self.now_ms;
        let asked = &mut self.sites[site];
        if asked.ledger.current_instance().is_none() {
            return;
        }
        let lease = asked.ledger.lease_until_clock_ms(now_ms);
        if let Some((answer, is_fenced)) = asked.carry_out(lease, now_ms) {
            let agent = asked.agent;
            self.answers.push(SlowAnswer { site, agent, answer, is_fenced });
        }
    }

    /// Delivers a delayed answer, unless the agent no longer waits for it.
    fn late_answer(&mut self, answer: Index) {
        if self.answers.is_empty() {
            return;
        }
        let place = answer.index(self.answers.len());
        let SlowAnswer { site, agent, answer, is_fenced } = self.answers.swap_remove(place);
        let site = &mut self.sites[site];
        let is_awaited = self.now_ms <= answer.sent_ms + ANSWER_WITHIN_MS;
        if is_awaited && agent == site.agent {
            site.answered(&answer, is_fenced, self.now_ms);
        }
    }

    fn late_renewal(&mut self, renewal: Index) {
        if self.renewals.is_empty() {
            return;
        }
        let LateRenewal { site, lease, fence } =
            self.renewals.swap_remove(renewal.index(self.renewals.len()));
        self.sites[site].upstream.renew(lease, fence, 0, self.now_ms);
    }

    fn end(&mut self, site: usize, run: Index, fails: bool) {
        let upstream = &mut self.sites[site].upstream;
        if upstream.running.is_empty() {
            return;
        }
        let mut running: Vec<_> = upstream.running.keys().copied().collect();
        running.sort_unstable();
        let task = running[run.index(running.len())];
        let (number, _) = upstream.running.remove(&task).unwrap();
        let kind = if fails { EndKind::Failed } else { EndKind::Done };
        upstream.list(task, number, kind);
    }

    /// A new run of the agent takes a higher fence. The entry learns how the earlier runs of
    /// tasks ended once the ledger reports that nothing is left of them.
    fn restart(&mut self, site: usize) {
        self.now_ms += AGENT_STARTS_MS;
        let site = &mut self.sites[site];
        site.ledger = new_ledger(site.recorded.clone());
        site.agent += 1;
        site.suspended_ms = 0;
        site.fence(self.now_ms);
    }

    fn read_reports(&mut self) {
        for (number, site) in self.sites.iter_mut().enumerate() {
            let reports = site.ledger.reports(ENTRY);
            for report in &reports {
                let belief = self.tasks.get_mut(&report.task).unwrap();
                let present = belief.site == Some(number) && belief.run == report.run;
                if present && report.event != RunEvent::Started {
                    belief.site = None;
                }
            }
            let last = reports.last().map_or(0, |report| report.number);
            site.ledger.confirm_reports(ENTRY, last);
            if site.agent > 0 && site.ledger.load(self.now_ms).usable {
                let held = site.ledger.held_runs(ENTRY);
                for (task, belief) in &mut self.tasks {
                    if belief.site == Some(number) && !held.contains(&(*task, belief.run)) {
                        belief.site = None;
                    }
                }
            }
        }
    }

    fn check(&self) {
        for site in &self.sites {
            let taken = site.upstream.taken_milli();
            assert!(taken <= CAPACITY_MILLI, "{taken} taken at {} ms", self.now_ms);
        }
        for &task in self.tasks.keys() {
            let runs = self.sites.iter().filter(|site| site.upstream.running.contains_key(&task));
            assert!(runs.count() <= 1, "{task} runs twice at {} ms", self.now_ms);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    #[test]
    fn capacity_and_single_runs_hold(ops in vec(op(), 1..250)) {
        let mut world = World::new();
        for op in ops {
            world.run(op);
        }
    }
}

/// The agent's next run knew only the last instance, whose fence did not bound the fence of the
/// instance before it: a late order was carried out beyond the capacity.
#[test]
fn two_restarts_with_the_time_of_day_gone_back_and_a_new_agent() {
    let restarted =
        |started_unix_ms| Op::RestartUpstream { site: 0, started_unix_ms, is_noticed: false };
    let mut world = World::new();
    world.run(restarted(0));
    world.run(Op::Work { site: 0, job: 2 });
    world.run(Op::Renew { site: 0, lose_answer: false });
    world.run(restarted(STARTED_UNIX_MS - 100_000));
    world.run(Op::Order { site: 0 });
    let late = world.calls.remove(0);
    world.run(Op::RestartAgent { site: 0 });
    world.run(Op::Work { site: 0, job: 1 });
    world.deliver(late, false);
    world.check();
}

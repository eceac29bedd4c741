//! Ledgers against upstreams as a state machine: calls are carried out late or
//! never, answers are lost, agents restart and stand still. No upstream's room
//! is exceeded, and no task runs twice at once.

use {
    proptest::{collection::vec, prelude::*, sample::Index},
    std::collections::HashMap,
    sycamorerail_decide::ledger::{
        EndKind, Ended, LeaseAnswer, Ledger, LedgerLimits, StartAnswer, StartOrder, StartRefusal,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerId, LifeId, Placement, Room, RunEvent, TaskKey, TaskStart, UpstreamLife},
    },
};

const ENTRY: Incarnation = Incarnation(1);
const SITES: usize = 2;
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
    /// Carries out a start or stop that is under way, and delivers its answer.
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
    /// An unanswered renewal is carried out now.
    LateRenewal(Index),
    End {
        site: usize,
        run: Index,
        fails: bool,
    },
    RestartAgent {
        site: usize,
    },
    /// A site at work: its lease is renewed, a task placed if the entry has it
    /// nowhere, and what is due is ordered and carried out.
    Work {
        site: usize,
        job: u64,
    },
    /// The VM of a site is suspended; its upstream may be, too.
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
        2 => (site.clone(), 50..4_000_u64, proptest::bool::ANY).prop_map(|(site, ms, with_upstream)| Op::Suspend { site, ms, with_upstream }),
        16 => (site, 0..JOBS).prop_map(|(site, job)| Op::Work { site, job }),
        10 => prop_oneof![4 => 1..120_u64, 3 => 200..900_u64, 1 => 900..2_500_u64].prop_map(|ms| Op::Wait { ms }),
    ]
}

fn any_bool() -> impl Strategy<Value = bool> {
    prop_oneof![4 => Just(false), 1 => Just(true)]
}

/// An upstream as the agents' calls meet it. Its clock is 2 % slow.
#[derive(Debug, Default)]
struct Upstream {
    running: HashMap<TaskKey, (u32, u32)>,
    highest: HashMap<TaskKey, u32>,
    ended: Vec<Ended>,
    last_end: u64,
    fence: u64,
    lease_until_clock_ms: u64,
    /// For so long its clock stood still.
    suspended_ms: u64,
}

impl Upstream {
    fn clock_ms(&self, now_ms: u64) -> u64 {
        1_000 + (now_ms - self.suspended_ms) * 98 / 100
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
        self.ended.push(Ended { number: self.last_end, task, run, kind });
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
        self.lease_until_clock_ms = self.lease_until_clock_ms.max(order.late_after_clock_ms);
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
            let until = until.min(self.clock_ms(now_ms) + 1_000);
            self.lease_until_clock_ms = self.lease_until_clock_ms.max(until);
        }
        self.ended.retain(|ended| ended.number > acknowledged);
        Some(LeaseAnswer {
            life: life().id,
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
    fence: u64,
    agent: u32,
    /// For so long its VM was suspended since the agent began.
    suspended_ms: u64,
}

/// What the entry believes of a task: where it is, and its last start.
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
    tasks: HashMap<TaskKey, Belief>,
}

fn life() -> UpstreamLife {
    UpstreamLife {
        id: LifeId::named("a"),
        pool: "desk".to_owned(),
        capacity: Room { cpu_milli: CAPACITY_MILLI, memory_mb: 0, accelerators: 0 },
        labels: Vec::new(),
        leaving: false,
    }
}

fn task(job: u64) -> TaskKey {
    TaskKey { job: CallerId(job), step: 0, index: 0 }
}

fn need_milli(task: TaskKey) -> u32 {
    NEED_MILLI[task.job.0 as usize % NEED_MILLI.len()]
}

fn new_ledger() -> Ledger {
    let mut ledger = Ledger::new(LedgerLimits::default());
    ledger.set_upstream(life());
    ledger
}

impl World {
    fn new() -> Self {
        let site = || Site {
            ledger: new_ledger(),
            upstream: Upstream::default(),
            fence: 1,
            agent: 0,
            suspended_ms: 0,
        };
        Self {
            now_ms: 1,
            sites: (0..SITES).map(|_| site()).collect(),
            calls: Vec::new(),
            renewals: Vec::new(),
            tasks: HashMap::new(),
        }
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Place { job, site } => self.place(task(job), site),
            Op::StopJob { job, site } => self.sites[site].ledger.stop_job(ENTRY, CallerId(job)),
            Op::Order { site } => self.order(site),
            Op::CarryOut { call, lose_answer } => self.carry_out(call, lose_answer),
            Op::TimeOut(call) => self.time_out(call),
            Op::Renew { site, lose_answer } => self.renew(site, lose_answer),
            Op::LateRenewal(renewal) => self.late_renewal(renewal),
            Op::End { site, run, fails } => self.end(site, run, fails),
            Op::RestartAgent { site } => self.restart(site),
            Op::Work { site, job } => self.work(site, job),
            Op::Suspend { site, ms, with_upstream } => self.suspend(site, ms, with_upstream),
            Op::Wait { ms } => self.now_ms += ms,
        }
        for site in &mut self.sites {
            site.upstream.lapse(self.now_ms);
            site.ledger.note_suspended(site.suspended_ms, self.now_ms);
            site.ledger.check_lapse(self.now_ms);
            site.ledger.expire(self.now_ms);
        }
        self.read_reports();
        self.check();
    }

    /// The entry places a task where it believes it nowhere.
    fn place(&mut self, task: TaskKey, site: usize) {
        let belief = self.tasks.entry(task).or_default();
        if belief.site.is_some() {
            return;
        }
        belief.site = Some(site);
        belief.run += 1;
        let placement = Placement {
            job: task.job,
            step: 0,
            spec: String::new(),
            tasks: vec![TaskStart { index: 0, run: belief.run }],
            need: Room { cpu_milli: need_milli(task), memory_mb: 0, accelerators: 0 },
            run_ms: 50,
            priority: 0,
            objective_in_ms: 1_000,
            give_up_in_ms: 3_000,
            finishing: false,
            suspect: false,
        };
        let ledger = &mut self.sites[site].ledger;
        ledger.owner_heard(ENTRY, self.now_ms);
        ledger.place(ENTRY, placement, self.now_ms);
    }

    fn order(&mut self, site: usize) {
        let Site { ledger, fence, agent, .. } = &mut self.sites[site];
        ledger.owner_heard(ENTRY, self.now_ms);
        while let Some(order) = ledger.next_start(self.now_ms) {
            let start = Call::Start { site, agent: *agent, order, fence: *fence, answered: false };
            self.calls.push(start);
        }
        for (task, run) in ledger.stops_due(self.now_ms) {
            self.calls.push(Call::Stop { site, agent: *agent, task, run, fence: *fence });
        }
    }

    /// Time passes for all; the suspended VM finds out as it wakes.
    fn suspend(&mut self, site: usize, ms: u64, with_upstream: bool) {
        self.now_ms += ms;
        let site = &mut self.sites[site];
        site.suspended_ms += ms;
        if with_upstream {
            site.upstream.suspended_ms += ms;
        }
    }

    fn work(&mut self, site: usize, job: u64) {
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
                let need = need_milli(order.task);
                let answer = site.upstream.start(&order, need, fence, now_ms);
                if site.agent == agent && !answered {
                    let answer = if lose_answer { StartAnswer::Unanswered } else { answer };
                    site.ledger.start_answered(order.task, order.run, answer, now_ms);
                }
            }
            Call::Stop { site, agent, task, run, fence } => {
                let site = &mut self.sites[site];
                let stopped = site.upstream.stop(task, run, fence, now_ms);
                if site.agent == agent && stopped && !lose_answer {
                    site.ledger.stop_confirmed(task, run, now_ms);
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
            site.ledger.start_answered(task, run, StartAnswer::Unanswered, self.now_ms);
        }
    }

    fn renew(&mut self, site: usize, lose_answer: bool) {
        let Site { ledger, upstream, fence, .. } = &mut self.sites[site];
        let lease = ledger.lease_until_clock_ms(self.now_ms);
        if lose_answer {
            // Carried out now, and perhaps once more later.
            upstream.renew(lease, *fence, 0, self.now_ms);
            self.renewals.push(LateRenewal { site, lease, fence: *fence });
            return;
        }
        let answer = upstream.renew(lease, *fence, ledger.acknowledged(), self.now_ms);
        let answer = answer.expect("only a later agent has a higher fence");
        ledger.renewed(&answer, self.now_ms);
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

    /// A new run of the agent takes a higher fence. The entry learns what became
    /// of the runs before it once the ledger says that nothing is left.
    fn restart(&mut self, site: usize) {
        let site = &mut self.sites[site];
        site.ledger = new_ledger();
        site.fence += 1;
        site.agent += 1;
        site.suspended_ms = 0;
        site.upstream.renew(None, site.fence, 0, self.now_ms);
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
            site.ledger.confirmed(ENTRY, last);
            if site.agent > 0 && site.ledger.load(self.now_ms).usable {
                let held = site.ledger.held(ENTRY);
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
    fn room_and_single_runs_hold(ops in vec(op(), 1..250)) {
        let mut world = World::new();
        for op in ops {
            world.run(op);
        }
    }
}

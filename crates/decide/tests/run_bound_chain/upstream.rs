//! An upstream as seen by its agents' calls.

use {
    std::collections::BTreeMap,
    sycamorerail_decide::ledger::{
        EndKind, LeaseAnswer, RunEnd, StartAnswer, StartOrder, StartRefusal,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{InstanceId, Resources, TaskKey, UpstreamInstance},
    },
};

pub const CALL_MS: u64 = 1;
pub const LEASE_MS: u64 = 1_000;
pub const RUN_MS: u64 = 4_000;

pub fn instance() -> UpstreamInstance {
    UpstreamInstance {
        id: InstanceId { id: "a".to_owned(), started_unix_ms: Some(1_700_000_000_000) },
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: 10_000, memory_mb: 0, accelerators: 0 },
        labels: Vec::new(),
        leaving: false,
    }
}

/// A run on an upstream, with the submission of its job.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub number: u32,
    pub submission: u64,
    pub end_ms: u64,
}

/// Model of an upstream as seen by its agents' calls.
#[derive(Debug, Default)]
pub struct Upstream {
    /// How much slower than the agent's its clock is.
    pub slow_permille: u64,
    pub running: BTreeMap<TaskKey, Run>,
    pub highest: BTreeMap<TaskKey, u32>,
    pub ended: Vec<RunEnd>,
    pub last_end: u64,
    pub fence: u64,
    pub lease_until_clock_ms: u64,
    /// Calls on their way, by the time of their arrival.
    pub calls: Vec<(u64, Call)>,
    pub late_until_ms: u64,
    pub late_ms: u64,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub agent: Incarnation,
    pub id: u64,
    pub fence: u64,
    pub body: CallBody,
}

#[derive(Clone, Debug)]
pub enum CallBody {
    Start(StartOrder),
    Stop(TaskKey, u32),
    Renew {
        lease: Option<u64>,
        acknowledged: u64,
        wait_ms: u64,
    },
    /// The answer to a renewal is due.
    Collect,
}

#[derive(Clone, Debug)]
pub enum Answer {
    Start(StartAnswer),
    Stop(bool),
    Renew(LeaseAnswer),
    Fenced(u64),
}

impl Upstream {
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        1_000 + now_ms * (1_000 - self.slow_permille) / 1_000
    }

    pub fn pass_time(&mut self, now_ms: u64) {
        let has_lapsed = self.clock_ms(now_ms) > self.lease_until_clock_ms;
        let over: Vec<_> =
            self.running.iter().filter(|(_, run)| has_lapsed || now_ms >= run.end_ms).collect();
        let over: Vec<_> = over.into_iter().map(|(task, run)| (*task, run.number)).collect();
        for (task, number) in over {
            self.end(task, number, if has_lapsed { EndKind::Lapsed } else { EndKind::Done });
        }
    }

    pub fn end(&mut self, task: TaskKey, run: u32, kind: EndKind) {
        self.running.remove(&task);
        self.last_end += 1;
        self.ended.push(RunEnd { number: self.last_end, task, run, kind });
    }

    pub fn send(&mut self, call: Call, now_ms: u64) {
        let late_ms = if now_ms < self.late_until_ms { self.late_ms } else { 0 };
        self.calls.push((now_ms + CALL_MS + late_ms, call));
    }

    pub fn carry_out(&mut self, call: &Call, now_ms: u64) -> Option<Answer> {
        self.pass_time(now_ms);
        let is_fenced_off = call.fence < self.fence;
        match &call.body {
            CallBody::Start(_) if is_fenced_off => {
                Some(Answer::Start(StartAnswer::Refused(StartRefusal::Fenced)))
            }
            CallBody::Stop(..) if is_fenced_off => Some(Answer::Stop(false)),
            CallBody::Renew { .. } if is_fenced_off => Some(Answer::Fenced(self.clock_ms(now_ms))),
            CallBody::Start(order) => {
                self.fence = call.fence;
                Some(Answer::Start(self.start(order, now_ms)))
            }
            CallBody::Stop(task, run) => {
                let highest = self.highest.entry(*task).or_default();
                *highest = (*run).max(*highest);
                if self.running.get(task).is_some_and(|running| running.number == *run) {
                    self.end(*task, *run, EndKind::Stopped);
                }
                Some(Answer::Stop(true))
            }
            CallBody::Renew { lease, acknowledged, wait_ms } => {
                self.fence = call.fence;
                if let Some(until) = lease {
                    let until = (*until).min(self.clock_ms(now_ms) + LEASE_MS);
                    self.lease_until_clock_ms = self.lease_until_clock_ms.max(until);
                }
                self.ended.retain(|ended| ended.number > *acknowledged);
                let collect = Call { body: CallBody::Collect, ..call.clone() };
                self.calls.push((now_ms + wait_ms, collect));
                None
            }
            CallBody::Collect => Some(Answer::Renew(LeaseAnswer {
                instance: instance().id,
                fence: call.fence,
                sent_ms: 0,
                clock_ms: self.clock_ms(now_ms),
                running: self.running.iter().map(|(task, run)| (*task, run.number)).collect(),
                ended: self.ended.clone(),
            })),
        }
    }

    pub fn start(&mut self, order: &StartOrder, now_ms: u64) -> StartAnswer {
        if self.running.get(&order.task).is_some_and(|run| run.number == order.run) {
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
        self.highest.insert(order.task, order.run);
        let submission = order.spec.parse().unwrap();
        let run = Run { number: order.run, submission, end_ms: now_ms + RUN_MS };
        self.running.insert(order.task, run);
        StartAnswer::Started
    }
}

//! A modelled upstream: it carries out orders at its current speed, lists ends of runs, and is
//! unreachable while it is gone.

use {
    super::clock::{Micros, millis},
    std::collections::BTreeMap,
    sycamorerail_decide::ledger::{EndKind, LeaseAnswer, RunEnd, StartAnswer, StartRefusal},
    sycamorerail_wire::runs::{InstanceId, TaskKey},
};

/// An active run.
#[derive(Clone, Copy, Debug)]
struct Running {
    run: u32,
    /// Remaining work at `since`, in microseconds at speed 1.
    left: f64,
    since: Micros,
    /// Incremented with each change of the speed, to recognise outdated end events.
    version: u64,
}

/// Expected end of a run at the current speed.
#[derive(Clone, Copy, Debug)]
pub struct EndDue {
    /// The task.
    pub task: TaskKey,
    /// When it ends.
    pub at: Micros,
    /// Version of the speed for which the end was computed.
    pub version: u64,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    speed: f64,
    /// Factor of run times; infinite while runs make no progress.
    slowness: f64,
    is_gone: bool,
    running: BTreeMap<TaskKey, Running>,
    /// Highest run of each task that ran or was stopped here.
    highest: BTreeMap<TaskKey, u32>,
    ended: Vec<RunEnd>,
    ends: u64,
    versions: u64,
}

impl Upstream {
    /// Creates an idle upstream.
    pub fn new(speed: f64) -> Self {
        Self {
            speed,
            slowness: 1.0,
            is_gone: false,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            versions: 0,
        }
    }

    /// Whether it answers calls.
    pub fn answers(&self) -> bool {
        !self.is_gone
    }

    /// Starts a run with this amount of work.
    pub fn start(&mut self, task: TaskKey, run: u32, work: u64, now: Micros) -> StartAnswer {
        if self.running.get(&task).is_some_and(|running| running.run == run) {
            return StartAnswer::Started;
        }
        if self.highest.get(&task).is_some_and(|highest| *highest >= run) {
            return StartAnswer::Refused(StartRefusal::OldRun);
        }
        self.highest.insert(task, run);
        self.versions += 1;
        let version = self.versions;
        self.running.insert(task, Running { run, left: work as f64, since: now, version });
        StartAnswer::Started
    }

    /// Stops a run, or prevents it from starting.
    pub fn stop(&mut self, task: TaskKey, run: u32) {
        let highest = self.highest.entry(task).or_insert(0);
        *highest = run.max(*highest);
        if self.running.get(&task).is_some_and(|running| running.run <= run) {
            self.end(task, EndKind::Stopped);
        }
    }

    /// When the run of a task ends.
    pub fn end_due(&self, task: TaskKey) -> Option<EndDue> {
        let running = self.running.get(&task)?;
        let rate = self.speed / self.slowness;
        let at = running.since as f64 + running.left / rate;
        at.is_finite().then(|| EndDue { task, at: at.ceil() as Micros, version: running.version })
    }

    /// Ends a run that is due, unless the speed has changed since; returns whether it did.
    pub fn finish(&mut self, due: EndDue) -> bool {
        let is_present =
            self.running.get(&due.task).is_some_and(|running| running.version == due.version);
        if is_present {
            self.end(due.task, EndKind::Done);
        }
        is_present
    }

    fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(running) = self.running.remove(&task) else { return };
        self.ends += 1;
        self.ended.push(RunEnd { number: self.ends, task, run: running.run, kind });
    }

    /// Whether there are ends beyond those acknowledged.
    pub fn has_ends(&self, acknowledged: u64) -> bool {
        self.ended.last().is_some_and(|last| last.number > acknowledged)
    }

    /// Answers a renewal that was sent at this time.
    pub fn list(&mut self, acknowledged: u64, sent: Micros, now: Micros) -> LeaseAnswer {
        self.ended.retain(|ended| ended.number > acknowledged);
        LeaseAnswer {
            instance: InstanceId::default(),
            fence: 0,
            sent_ms: millis(sent),
            clock_ms: millis(now),
            running: self.running.iter().map(|(task, running)| (*task, running.run)).collect(),
            ended: self.ended.clone(),
        }
    }

    /// Sets the factor of run times; returns the new ends.
    pub fn set_slowness(&mut self, slowness: f64, now: Micros) -> Vec<EndDue> {
        let rate = self.speed / self.slowness;
        for running in self.running.values_mut() {
            running.left -= (now - running.since) as f64 * rate;
            running.since = now;
            self.versions += 1;
            running.version = self.versions;
        }
        self.slowness = slowness;
        let tasks: Vec<_> = self.running.keys().copied().collect();
        tasks.into_iter().filter_map(|task| self.end_due(task)).collect()
    }

    /// Loses all runs and answers no calls.
    pub fn leave(&mut self) {
        *self = Self { is_gone: true, versions: self.versions, ..Self::new(self.speed) };
    }

    /// Restarts without runs.
    pub fn come_back(&mut self) {
        self.is_gone = false;
    }
}

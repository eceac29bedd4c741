//! Tasks under which upstreams crashed, to tell to entries: they outlive the entries that
//! placed them.

use {
    std::collections::VecDeque,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{TaskCrashes, TaskKey},
    },
};

/// Tasks that are remembered, at most; those that were noted last. All that an upstream runs
/// at once fits many times.
const MAX_TASKS: usize = 512;
/// Crashes count for so long: callers whose entry died hand a job in again within seconds.
pub(crate) const CRASHES_KEPT_MS: i64 = 60_000;

#[derive(Clone, Copy, Debug)]
struct Noted {
    /// Rises with each note.
    number: u64,
    /// `None` where it was the own upstream.
    agent: Option<Incarnation>,
    task: TaskKey,
    crashes: u8,
    /// When the last one was, once the time is known.
    at_ms: Option<i64>,
}

/// What is remembered, in the order of the notes.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    noted: VecDeque<Noted>,
    last: u64,
}

impl CrashLog {
    /// The own upstream crashed while the task ran.
    pub(super) fn note(&mut self, task: TaskKey) {
        let crashes = self.known(None, task).saturating_add(1);
        self.replace(None, task, crashes, None);
    }

    /// An entry told of a crash elsewhere.
    pub(super) fn learn(&mut self, told: &TaskCrashes, now_ms: u64) {
        let &TaskCrashes { agent, task, crashes, .. } = told;
        if crashes > self.known(Some(agent), task) {
            self.replace(Some(agent), task, crashes, Some(told.last_crash_ms(now_ms)));
        }
    }

    fn known(&self, agent: Option<Incarnation>, task: TaskKey) -> u8 {
        let known = self.noted.iter().find(|noted| (noted.agent, noted.task) == (agent, task));
        known.map_or(0, |noted| noted.crashes)
    }

    fn replace(
        &mut self,
        agent: Option<Incarnation>,
        task: TaskKey,
        crashes: u8,
        at_ms: Option<i64>,
    ) {
        self.noted.retain(|noted| (noted.agent, noted.task) != (agent, task));
        self.last += 1;
        self.noted.push_back(Noted { number: self.last, agent, task, crashes, at_ms });
        if self.noted.len() > MAX_TASKS {
            self.noted.pop_front();
        }
    }

    /// What was noted since the last call was noted about now; what is old is forgotten.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let now_ms = now_ms as i64;
        for noted in &mut self.noted {
            noted.at_ms.get_or_insert(now_ms);
        }
        self.noted.retain(|noted| noted.at_ms.is_none_or(|at_ms| now_ms < at_ms + CRASHES_KEPT_MS));
    }

    /// Notes above this number, as those of this run of the agent.
    pub(super) fn after(&self, number: u64, own: Incarnation, now_ms: u64) -> Vec<TaskCrashes> {
        if number == self.last {
            return Vec::new();
        }
        let newer = self.noted.iter().filter(|noted| noted.number > number);
        let told = newer.map(|&Noted { agent, task, crashes, at_ms, .. }| {
            let last_ms = at_ms.unwrap_or(now_ms as i64);
            TaskCrashes::from_last_crash(last_ms, (agent.unwrap_or(own), task, crashes), now_ms)
        });
        told.collect()
    }

    /// Number of the last note.
    pub(super) fn last(&self) -> u64 {
        self.last
    }
}

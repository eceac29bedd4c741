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
pub(crate) const CRASH_RETENTION_MS: i64 = 60_000;

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
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
    records: VecDeque<CrashRecord>,
    last_number: u64,
}

impl CrashLog {
    /// The own upstream crashed while the task ran.
    pub(super) fn record_own(&mut self, task: TaskKey) {
        let crashes = self.crash_count(None, task).saturating_add(1);
        self.replace(None, task, crashes, None);
    }

    /// An entry told of a crash elsewhere.
    pub(super) fn record_remote(&mut self, told: &TaskCrashes, now_ms: u64) {
        let &TaskCrashes { agent, task, crashes, .. } = told;
        if crashes > self.crash_count(Some(agent), task) {
            self.replace(Some(agent), task, crashes, Some(told.last_crash_ms(now_ms)));
        }
    }

    fn crash_count(&self, agent: Option<Incarnation>, task: TaskKey) -> u8 {
        let known = self.records.iter().find(|record| (record.agent, record.task) == (agent, task));
        known.map_or(0, |record| record.crashes)
    }

    fn replace(
        &mut self,
        agent: Option<Incarnation>,
        task: TaskKey,
        crashes: u8,
        at_ms: Option<i64>,
    ) {
        self.records.retain(|record| (record.agent, record.task) != (agent, task));
        self.last_number += 1;
        self.records.push_back(CrashRecord {
            number: self.last_number,
            agent,
            task,
            crashes,
            at_ms,
        });
        if self.records.len() > MAX_TASKS {
            self.records.pop_front();
        }
    }

    /// What was noted since the last call was noted about now; what is old is forgotten.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let now_ms = now_ms as i64;
        for record in &mut self.records {
            record.at_ms.get_or_insert(now_ms);
        }
        self.records
            .retain(|record| record.at_ms.is_none_or(|at_ms| now_ms < at_ms + CRASH_RETENTION_MS));
    }

    /// Notes above this number, as those of this run of the agent.
    pub(super) fn after(&self, number: u64, own: Incarnation, now_ms: u64) -> Vec<TaskCrashes> {
        if number == self.last_number {
            return Vec::new();
        }
        let newer = self.records.iter().filter(|record| record.number > number);
        let told = newer.map(|&CrashRecord { agent, task, crashes, at_ms, .. }| {
            let last_ms = at_ms.unwrap_or(now_ms as i64);
            TaskCrashes::from_last_crash(last_ms, (agent.unwrap_or(own), task, crashes), now_ms)
        });
        told.collect()
    }

    /// Number of the last note.
    pub(super) fn last_number(&self) -> u64 {
        self.last_number
    }
}

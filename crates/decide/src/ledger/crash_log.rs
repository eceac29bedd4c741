//! Log of tasks during which upstreams crashed, to be passed on to the entries. The records
//! outlive the entry that placed the task.

use {
    std::collections::VecDeque,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{TaskCrashes, TaskKey},
    },
};

/// Maximum number of records; the most recent ones are kept. This is several times the number
/// of tasks that one upstream runs at once.
const MAX_RECORDS: usize = 512;
/// How long a crash counts. Callers whose entry died resubmit their job within seconds.
pub(crate) const CRASH_RETENTION_MS: i64 = 60_000;

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    /// Rises with each record.
    number: u64,
    /// Agent whose upstream crashed; `None` for this agent's own upstream.
    agent: Option<Incarnation>,
    task: TaskKey,
    crashes: u8,
    /// Time of the last crash; `None` until the next call of [`CrashLog::expire`] sets it.
    at_ms: Option<i64>,
}

/// The crash records, in ascending order of their numbers.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    records: VecDeque<CrashRecord>,
    last_number: u64,
}

impl CrashLog {
    /// Records that this agent's upstream crashed while the task ran. Without a time,
    /// [`Self::expire`] dates the crash.
    pub(super) fn record_own(&mut self, task: TaskKey, crashed_ms: Option<u64>) {
        let crashes = self.crash_count(None, task).saturating_add(1);
        self.replace(None, task, crashes, crashed_ms.map(|ms| ms as i64));
    }

    /// Records crashes at another agent that an entry reported.
    pub(super) fn record_remote(&mut self, reported: &TaskCrashes, now_ms: u64) {
        let &TaskCrashes { agent, task, crashes, .. } = reported;
        if crashes > self.crash_count(Some(agent), task) {
            self.replace(Some(agent), task, crashes, Some(reported.last_crash_ms(now_ms)));
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
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Dates the records made since the last call with `now_ms` and removes those that are
    /// older than [`CRASH_RETENTION_MS`].
    pub(super) fn expire(&mut self, now_ms: u64) {
        let now_ms = now_ms as i64;
        for record in &mut self.records {
            record.at_ms.get_or_insert(now_ms);
        }
        self.records
            .retain(|record| record.at_ms.is_none_or(|at_ms| now_ms < at_ms + CRASH_RETENTION_MS));
    }

    /// Returns the records with a number above `number`. Those of this agent's upstream are
    /// returned under its incarnation `own`.
    pub(super) fn after(&self, number: u64, own: Incarnation, now_ms: u64) -> Vec<TaskCrashes> {
        if number == self.last_number {
            return Vec::new();
        }
        let newer = self.records.iter().filter(|record| record.number > number);
        let reported = newer.map(|&CrashRecord { agent, task, crashes, at_ms, .. }| {
            let last_ms = at_ms.unwrap_or(now_ms as i64);
            TaskCrashes::from_last_crash(last_ms, (agent.unwrap_or(own), task, crashes), now_ms)
        });
        reported.collect()
    }

    /// Returns the number of the latest record.
    pub(super) fn last_number(&self) -> u64 {
        self.last_number
    }
}

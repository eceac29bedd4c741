//! What was started here: every task id, and each that was started twice.

use {
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, hash_map::Entry},
};

/// Starts since the beginning.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReport {
    /// The upstream's name.
    pub upstream: String,
    /// Tasks started.
    pub starts: u64,
    /// Tasks answered as done.
    pub done: u64,
    /// Tasks answered as failed.
    pub failed: u64,
    /// Tasks whose connection was closed without an answer.
    pub dropped: u64,
    /// Starts without a task id.
    pub nameless: u64,
    /// Starts whose id was not kept, as the bound was reached. Proofs from
    /// this report hold only while it is 0.
    pub not_kept: u64,
    /// Tasks running now.
    pub running: u64,
    /// Most tasks that ran at once.
    pub most_running: u64,
    /// Starts beyond the announced slots.
    pub slot_violations: u64,
    /// Starts after the upstream told its agent that it leaves.
    pub after_leaving: u64,
    /// Ids that were started more than once.
    pub repeated: Vec<String>,
    /// All ids, where asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ids: Option<Vec<String>>,
}

/// How a task ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered with a result.
    Done,
    /// Answered as failed.
    Failed,
    /// Not answered.
    Dropped,
}

/// The record of starts, bounded in the number of ids.
#[derive(Debug)]
pub struct Starts {
    slots: u64,
    most_ids: usize,
    ids: HashMap<Box<str>, u32>,
    leaving: bool,
    report: StartReport,
}

impl Starts {
    /// No starts yet. Keeps up to `most_ids` ids.
    #[must_use]
    pub fn new(upstream: &str, slots: u16, most_ids: usize) -> Self {
        let report = StartReport { upstream: upstream.to_owned(), ..StartReport::default() };
        Self { slots: u64::from(slots), most_ids, ids: HashMap::new(), leaving: false, report }
    }

    /// Records a start.
    pub fn start(&mut self, task: Option<&str>) {
        let report = &mut self.report;
        report.starts += 1;
        report.running += 1;
        report.most_running = report.most_running.max(report.running);
        report.slot_violations += u64::from(report.running > self.slots);
        report.after_leaving += u64::from(self.leaving);
        match task {
            Some(task) => self.keep(task),
            None => self.report.nameless += 1,
        }
    }

    fn keep(&mut self, task: &str) {
        let full = self.ids.len() >= self.most_ids;
        match self.ids.entry(task.into()) {
            Entry::Occupied(mut times) => *times.get_mut() += 1,
            Entry::Vacant(_) if full => self.report.not_kept += 1,
            Entry::Vacant(place) => {
                place.insert(1);
            }
        }
    }

    /// Records the end of a task.
    pub fn end(&mut self, end: End) {
        let report = &mut self.report;
        report.running -= 1;
        match end {
            End::Done => report.done += 1,
            End::Failed => report.failed += 1,
            End::Dropped => report.dropped += 1,
        }
    }

    /// The agent was told that the upstream leaves.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Tasks running now.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.report.running
    }

    /// The report, with all ids where `full`.
    #[must_use]
    pub fn report(&self, full: bool) -> StartReport {
        let repeated = self.ids.iter().filter(|(_, times)| **times > 1);
        let mut repeated: Vec<String> = repeated.map(|(id, _)| id.to_string()).collect();
        repeated.sort_unstable();
        let ids = full.then(|| self.ids.keys().map(ToString::to_string).collect());
        StartReport { repeated, ids, ..self.report.clone() }
    }
}

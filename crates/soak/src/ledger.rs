//! What callers were told of each id, held against the starts that the
//! upstreams counted.

use {
    crate::caller::Submission,
    parking_lot::Mutex,
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
    sycamorerail_bench::{
        client::{Answer, Outcome},
        verdict::Told,
    },
};

/// All that callers were told.
#[derive(Debug, Default)]
pub struct Ledger {
    records: Mutex<HashMap<String, Record>>,
}

/// Reason of answers about ids older than the retention.
const EXPIRED: &str = "expired";

#[derive(Debug)]
struct Record {
    submission: Submission,
    submitted_at: Instant,
    heard: Vec<Heard>,
    /// Results of the first complete answer.
    complete: Option<Vec<Value>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Heard {
    outcome: Outcome,
    reason: String,
    entry: String,
    results: u16,
    own_results: u16,
    /// A complete answer other than the first.
    differs: bool,
}

impl Heard {
    fn name(&self) -> String {
        format!("{}/{}", self.outcome.name(), self.reason)
    }

    fn is_whole_and_own(&self, tasks: usize) -> bool {
        let expected = if self.outcome == Outcome::Complete { tasks } else { 0 };
        usize::from(self.results) == expected && self.own_results == self.results
    }
}

/// Whether an outcome is final.
#[must_use]
pub fn is_final(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Complete | Outcome::Failed | Outcome::NotRun)
}

impl Ledger {
    /// Notes a submission, before it is sent.
    pub fn submitted(&self, submission: &Submission) {
        let record = Record {
            submission: submission.clone(),
            submitted_at: Instant::now(),
            heard: Vec::new(),
            complete: None,
        };
        self.records.lock().entry(submission.id.clone()).or_insert(record);
    }

    /// Notes an answer that came through an entry.
    ///
    /// # Panics
    ///
    /// When the id was not noted as submitted.
    pub fn heard(&self, id: &str, answer: &Answer, entry: &str) {
        let mut records = self.records.lock();
        let record = records.get_mut(id).expect("noted as submitted");
        let own = own_results(&record.submission, answer);
        let mut differs = false;
        if answer.outcome == Outcome::Complete {
            let first = record.complete.get_or_insert_with(|| answer.results.clone());
            // Attempts at a repeatable request may have results of their own.
            differs = record.submission.starts_once() && *first != answer.results;
        }
        record.heard.push(Heard {
            outcome: answer.outcome,
            reason: answer.reason.clone(),
            entry: entry.to_owned(),
            results: answer.results.len() as u16,
            own_results: own,
            differs,
        });
    }

    /// Ids whose last word is not final.
    #[must_use]
    pub fn open(&self) -> Vec<Submission> {
        let records = self.records.lock();
        let open = records.values().filter(|record| record.settled().is_none());
        open.map(|record| record.submission.clone()).collect()
    }

    /// Submissions not older than `age`.
    #[must_use]
    pub fn recent(&self, age: Duration) -> Vec<Submission> {
        let records = self.records.lock();
        let recent = records.values().filter(|record| record.submitted_at.elapsed() <= age);
        recent.map(|record| record.submission.clone()).collect()
    }

    /// Answers heard.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.records.lock().values().map(|record| record.heard.len() as u64).sum()
    }

    /// All submissions.
    #[must_use]
    pub fn submissions(&self) -> Vec<Submission> {
        self.records.lock().values().map(|record| record.submission.clone()).collect()
    }

    /// Ids by how they stand: the final outcome, or the last one, and its reason.
    #[must_use]
    pub fn outcomes(&self) -> BTreeMap<String, u64> {
        let mut outcomes = BTreeMap::new();
        for record in self.records.lock().values() {
            *outcomes.entry(record.stands_at()).or_default() += 1;
        }
        outcomes
    }

    /// What was told of one id, in order, to explain a violation.
    #[must_use]
    pub fn story(&self, id: &str) -> String {
        let records = self.records.lock();
        let Some(record) = records.get(id) else { return String::new() };
        let heard = record.heard.iter().map(|heard| {
            format!("{} ({}) through {}", heard.outcome.name(), heard.reason, heard.entry)
        });
        let heard: Vec<String> = heard.collect();
        let Submission { unit, kind, payloads, .. } = &record.submission;
        format!("{unit:?} of {} {kind}: {}", payloads.len(), heard.join(", "))
    }

    /// What was told of each id so far, to be held against the starts.
    #[must_use]
    pub fn told(&self) -> Vec<Told> {
        self.records.lock().values().map(Record::told).collect()
    }
}

impl Record {
    /// The first final answer.
    fn settled(&self) -> Option<&Heard> {
        self.heard.iter().find(|heard| is_final(heard.outcome))
    }

    fn stands_at(&self) -> String {
        match self.settled().or(self.heard.last()) {
            Some(heard) if heard.reason == EXPIRED => {
                let before = self.heard.iter().rfind(|heard| heard.reason != EXPIRED);
                let before = before.map_or("no answer".to_owned(), Heard::name);
                format!("{} after {before}", heard.name())
            }
            Some(heard) => heard.name(),
            None => "no_answer".to_owned(),
        }
    }

    fn told(&self) -> Told {
        let tasks = self.submission.payloads.len();
        let broken = self.heard.iter().find(|heard| !heard.is_whole_and_own(tasks));
        let not_run = self.heard.iter().find(|heard| heard.outcome == Outcome::NotRun);
        let shown = broken.or(not_run).or(self.settled()).or(self.heard.last());
        Told {
            id: self.submission.id.clone(),
            unit: self.submission.unit,
            repeatable: self.submission.repeatable,
            tasks: tasks as u16,
            outcome: shown.map_or(Outcome::NoAnswer, |heard| heard.outcome),
            results: shown.map_or(0, |heard| heard.results),
            own_results: shown.map_or(0, |heard| heard.own_results),
            contradicted: self.is_contradicted(),
        }
    }

    fn is_contradicted(&self) -> bool {
        let Some(first) = self.settled() else { return false };
        let other = |heard: &Heard| is_final(heard.outcome) && heard.outcome != first.outcome;
        self.heard.iter().any(|heard| heard.differs || other(heard))
    }
}

/// Results that answer the payload at the same position of this submission.
fn own_results(submission: &Submission, answer: &Answer) -> u16 {
    let own = |(index, result): &(usize, &Value)| {
        let task = format!("{}.{index}.", submission.id);
        let payload = submission.payloads.get(*index);
        let echoes = payload.is_some_and(|payload| result["echo"] == payload["echo"]);
        echoes && result["task"].as_str().is_some_and(|found| found.starts_with(&task))
    };
    answer.results.iter().enumerate().filter(own).count() as u16
}

//! What a run found.

use {
    crate::{
        cluster::Ended,
        faults::{Fault, Faults, Killed},
        load::{Cut, Load},
        options::Options,
        random_callers::count_units,
        standins::StartBook,
        watcher::Watcher,
    },
    serde::Serialize,
    std::{collections::BTreeMap, fmt, sync::Arc},
    sycamorerail_bench::verdict::{Violations, extra_starts},
};

/// What a run found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of load and faults.
    pub seed: u64,
    /// Length of load and faults.
    pub seconds: u64,
    /// Submissions by unit.
    pub submissions: BTreeMap<&'static str, u64>,
    /// Tasks submitted.
    pub tasks: u64,
    /// Starts that upstreams counted.
    pub starts: u64,
    /// Starts beyond the first of a task: retries and hedges of requests that
    /// may be repeated, if nothing is violated.
    pub repeated_starts: u64,
    /// Starts after an upstream had told its agent that it leaves.
    pub starts_after_leaving: u64,
    /// Answers heard, those of resubmissions included.
    pub answers: u64,
    /// Ids by final answer, or by the last one.
    pub outcomes: BTreeMap<String, u64>,
    /// Share of ids whose answer stayed `unknown`, by cause.
    pub unknown_shares: BTreeMap<String, f64>,
    /// Calls that ended without an answer on a job.
    pub other_replies: BTreeMap<String, u64>,
    /// Faults brought about.
    pub faults: BTreeMap<Fault, u64>,
    /// Processes that ended as told.
    pub processes_ended: u64,
    /// Changes of templates accepted.
    pub templates_accepted: usize,
    /// Broken promises on jobs and requests.
    pub violations: Violations,
    /// Connections that a planned stop broke.
    pub cut_requests: u64,
    /// Revisions in force that went back.
    pub reversals: u64,
    /// Ids without an answer when everything was well again.
    pub unanswered: u64,
    /// Processes that broke an invariant or ended otherwise than told.
    pub misbehaved: Vec<String>,
    /// Everything else that should not be, and stories of the violations.
    pub notes: Vec<String>,
}

const MAX_LINE_CHARS: usize = 2_000;

impl Report {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        Self { seed: options.seed, seconds: options.seconds, ..Self::default() }
    }

    /// Notes something that should not be.
    pub fn note(&mut self, what: String) {
        self.notes.push(what.chars().take(MAX_LINE_CHARS).collect());
    }

    /// Whether a promise was broken.
    #[must_use]
    pub fn violated(&self) -> bool {
        let counted = self.violations.total() + self.cut_requests + self.reversals;
        counted + self.unanswered > 0 || !self.misbehaved.is_empty() || !self.notes.is_empty()
    }

    /// Takes what is known at the end.
    ///
    /// # Errors
    ///
    /// When an upstream cannot be reached.
    pub async fn take(
        &mut self,
        load: &Arc<Load>,
        faults: &Faults,
        watcher: &Watcher,
    ) -> eyre::Result<()> {
        self.violations = load.violations().await?;
        self.take_starts(&*load.starts.lock().await);
        self.take_answers(load);
        self.faults = faults.counts();
        self.misbehaved = load.cluster.misbehaved()?;
        let ended = load.cluster.ended();
        self.processes_ended = ended.iter().filter(|ended| Ended::as_told(ended)).count() as u64;
        for cut in load.cuts().iter().filter(|cut| !is_of_kill(cut, &faults.killed())) {
            self.cut_requests += 1;
            self.note(format!("cut at {} after {:?}: {}", cut.entry, cut.lasted(), cut.how));
        }
        for reversal in watcher.reversals() {
            self.reversals += 1;
            self.note(format!("{reversal:?}"));
        }
        Ok(())
    }

    fn take_starts(&mut self, book: &StartBook) {
        self.starts = book.reports().map(|report| report.starts).sum();
        self.starts_after_leaving = book.reports().map(|report| report.after_leaving).sum();
        self.repeated_starts = extra_starts(&book.starts());
    }

    fn take_answers(&mut self, load: &Load) {
        let submissions = load.ledger.submissions();
        self.submissions = count_units(&submissions);
        self.tasks = submissions.iter().map(|one| one.payloads.len() as u64).sum();
        self.answers = load.ledger.answers();
        self.outcomes = load.ledger.outcomes();
        self.other_replies = load.other_replies();
        let total = submissions.len().max(1) as f64;
        for (outcome, count) in &self.outcomes {
            if outcome.starts_with("unknown") {
                self.unknown_shares.insert(outcome.clone(), *count as f64 / total);
            } else if outcome.starts_with("in_doubt") || outcome.starts_with("no_answer") {
                self.unanswered += count;
            }
        }
        for example in self.violations.examples.clone() {
            let id = example.rsplit(' ').next().unwrap_or_default();
            self.note(format!("{example}: {}", load.ledger.story(id)));
        }
    }
}

fn is_of_kill(cut: &Cut, killed: &[Killed]) -> bool {
    let meant = |kill: &Killed| kill.name == cut.entry;
    let overlaps = |kill: &Killed| kill.began <= cut.ended && cut.began <= kill.ended;
    killed.iter().any(|kill| meant(kill) && overlaps(kill))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violations {
            double_starts,
            not_run_started,
            partial_answers,
            foreign_results,
            complete_unstarted,
            contradictions,
            ..
        } = &self.violations;
        writeln!(f, "seed {}, {} s of load and faults", self.seed, self.seconds)?;
        writeln!(f, "submissions: {:?}, {} tasks", self.submissions, self.tasks)?;
        writeln!(f, "answers heard: {}; ids by answer: {:?}", self.answers, self.outcomes)?;
        writeln!(f, "calls without an answer on a job: {:?}", self.other_replies)?;
        writeln!(f, "starts: {}, repeated: {}", self.starts, self.repeated_starts)?;
        writeln!(f, "starts after leaving was told: {}", self.starts_after_leaving)?;
        writeln!(f, "share unknown, by cause: {:.5?}", self.unknown_shares)?;
        writeln!(f, "faults: {:?}; processes ended: {}", self.faults, self.processes_ended)?;
        writeln!(f, "templates accepted: {}", self.templates_accepted)?;
        writeln!(f, "violations:")?;
        let lines = [
            ("double starts", *double_starts),
            ("partial answers", *partial_answers),
            ("foreign results", *foreign_results),
            ("not_run but started", *not_run_started),
            ("complete but not started", *complete_unstarted),
            ("contradicting answers", *contradictions),
            ("requests cut at planned stops", self.cut_requests),
            ("revisions that went back", self.reversals),
            ("ids without an answer", self.unanswered),
            ("invariants broken, processes ended badly", self.misbehaved.len() as u64),
            ("others", self.notes.len() as u64),
        ];
        for (what, count) in lines {
            writeln!(f, "  {what}: {count}")?;
        }
        for line in self.misbehaved.iter().chain(&self.notes) {
            writeln!(f, "- {line}")?;
        }
        Ok(())
    }
}

//! Whether callers were told the truth: what each was told, against the
//! starts that the upstreams counted.

use {
    crate::{arrivals::Unit, client::Outcome},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// What a caller was told of one id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The id.
    pub id: String,
    /// Job or request.
    pub unit: Unit,
    /// Whether its kind may be repeated.
    pub repeatable: bool,
    /// Tasks submitted.
    pub tasks: u16,
    /// The last outcome.
    pub outcome: Outcome,
    /// Results in the answer.
    pub results: u16,
    /// Results that echo the caller's own payload at the same position.
    pub own_results: u16,
    /// An earlier final answer of the same id said something else.
    pub contradicted: bool,
}

/// Starts counted by id and position of the task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Starts {
    /// How often each task was started.
    pub counts: HashMap<(String, u16), u32>,
    /// An upstream died with its counts, so that a missing start proves nothing.
    pub some_lost: bool,
}

impl Starts {
    /// Tasks of an id that were started at all.
    #[must_use]
    pub fn started(&self, id: &str) -> usize {
        self.counts.keys().filter(|(job, _)| job == id).count()
    }
}

/// Broken promises; all must be 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Tasks that may start once and started more often.
    pub double_starts: u64,
    /// Ids told `not_run` with a start.
    pub not_run_started: u64,
    /// Answers with some but not all results, or results without `complete`.
    pub partial_answers: u64,
    /// Results of another submission or position.
    pub foreign_results: u64,
    /// Ids told `complete` with a task that no upstream started.
    pub complete_unstarted: u64,
    /// Ids with two final answers that contradict each other.
    pub contradictions: u64,
    /// Some of the ids concerned.
    pub examples: Vec<String>,
}

const MAX_EXAMPLES: usize = 20;

impl Violations {
    /// All of them.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.double_starts
            + self.not_run_started
            + self.partial_answers
            + self.foreign_results
            + self.complete_unstarted
            + self.contradictions
    }

    fn note(&mut self, what: &str, told: &Told) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(format!("{what}: {}", told.id));
        }
    }
}

/// Checks all that was told.
#[must_use]
pub fn violations(told: &[Told], starts: &Starts) -> Violations {
    let mut found = Violations::default();
    for one in told {
        check_starts(one, starts, &mut found);
        check_answer(one, &mut found);
    }
    found
}

fn check_starts(told: &Told, starts: &Starts, found: &mut Violations) {
    let count = |task: u16| starts.counts.get(&(told.id.clone(), task)).copied().unwrap_or(0);
    let once = told.unit == Unit::Job || !told.repeatable;
    let doubled = (0..told.tasks).filter(|&task| count(task) > 1).count() as u64;
    if once && doubled > 0 {
        found.double_starts += doubled;
        found.note("double start", told);
    }
    let started = (0..told.tasks).any(|task| count(task) > 0);
    if told.outcome == Outcome::NotRun && started {
        found.not_run_started += 1;
        found.note("not_run but started", told);
    }
    let unstarted = (0..told.tasks).any(|task| count(task) == 0);
    if told.outcome == Outcome::Complete && unstarted && !starts.some_lost {
        found.complete_unstarted += 1;
        found.note("complete but not started", told);
    }
}

fn check_answer(told: &Told, found: &mut Violations) {
    let expected = if told.outcome == Outcome::Complete { told.tasks } else { 0 };
    if told.results != expected {
        found.partial_answers += 1;
        found.note("partial answer", told);
    }
    if told.own_results != told.results {
        found.foreign_results += 1;
        found.note("foreign result", told);
    }
    if told.contradicted {
        found.contradictions += 1;
        found.note("contradiction", told);
    }
}

/// Starts beyond one a task: hedges and retries of repeatable requests.
#[must_use]
pub fn extra_starts(starts: &Starts) -> u64 {
    starts.counts.values().map(|&count| u64::from(count.saturating_sub(1))).sum()
}

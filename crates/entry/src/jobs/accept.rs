//! Taking submissions, fetches and cancellations of jobs of this home.

use {
    super::{
        cell::JobCell,
        drive::{drive, start},
        table::{Found, MemoryFull, Record, SubmissionSize},
    },
    crate::{counters, dispatch, organisations, shared::Shared},
    std::sync::Arc,
    sycamorerail_decide::job::Event,
    sycamorerail_telemetry::invariant::{Invariant, check},
    sycamorerail_wire::{
        answer::{Answer, Outcome, Reason, Step},
        ids::{ContentHash, JobId, MAX_JOB_TASKS, OrganisationKey},
        message::{Submission, Unit},
    },
};

/// When to come back where memory is full, in milliseconds.
const MEMORY_RETRY_MS: u64 = 2_000;
/// When to come back with another id after a refusal found again.
const BURNT_RETRY_MS: u64 = 500;
/// Shortest and longest time told to those who fetch a running job.
const FETCH_RETRY_MS: (u64, u64) = (20, 1_000);

/// Why a submission is not taken: its id is refused for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When to come back with another id, in milliseconds, if that helps.
    pub retry_after_ms: Option<u64>,
    /// More for a person.
    pub detail: Option<String>,
}

impl Refused {
    /// A refusal after which the caller may come back.
    #[must_use]
    pub fn for_now(reason: Reason, retry_after_ms: u64) -> Self {
        Self { reason, retry_after_ms: Some(retry_after_ms), detail: None }
    }

    /// A refusal after which coming back is of no use.
    #[must_use]
    pub fn for_good(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, retry_after_ms: None, detail: Some(detail.into()) }
    }

    fn answer(self) -> Answer {
        counters::refusal(self.reason);
        Answer {
            retry_after_ms: self.retry_after_ms,
            detail: self.detail,
            tasks_started: Some(0),
            ..Answer::without_results(Outcome::NotRun, self.reason, Step::Admit)
        }
    }
}

/// What came of a submission.
#[derive(Clone, Debug)]
pub enum Accepted {
    /// It runs, as a new job or an earlier one.
    Running(Arc<JobCell>),
    /// It is answered already.
    Answered(Arc<Answer>),
}

/// Whether the id was minted by this process.
#[must_use]
pub fn is_home(shared: &Shared, id: &JobId) -> bool {
    id.home == shared.inner_address
        && (id.incarnation == shared.incarnation() || shared.jobs.is_retired(id.incarnation))
}

/// Takes a submission and waits for its answer. Dropping the future does not
/// cancel the job.
pub async fn submit(shared: &Arc<Shared>, submission: Submission) -> Arc<Answer> {
    match accept(shared, submission) {
        Accepted::Running(cell) => answered(shared, &cell).await,
        Accepted::Answered(answer) => answer,
    }
}

/// Waits for a job's answer. What a planned stop leaves without one goes on.
async fn answered(shared: &Shared, cell: &JobCell) -> Arc<Answer> {
    let answer = shared.lifecycle.before_end(cell.answered()).await;
    answer.unwrap_or_else(|| Arc::new(left_running()))
}

/// Takes a submission: starts it, joins it, or answers it.
pub fn accept(shared: &Arc<Shared>, submission: Submission) -> Accepted {
    if let Err(answer) = check_submission(&submission) {
        return Accepted::Answered(Arc::new(answer));
    }
    let (id, content) = (submission.job, submission.content);
    let size = SubmissionSize::of(&submission.payloads);
    let mut refused = None;
    let decided = shared.jobs.find_or_decide(&id, size, || {
        make_cell(shared, submission).map_err(|why| {
            let reason = why.reason;
            refused = Some(why);
            reason
        })
    });
    if let Some(refused) = refused {
        return Accepted::Answered(Arc::new(refused.answer()));
    }
    match decided {
        Ok((_, Some(cell))) => {
            start(shared, &cell);
            Accepted::Running(cell)
        }
        Ok((found, None)) => joined(found, &id, content),
        Err(MemoryFull) => Accepted::Answered(Arc::new(memory_full())),
    }
}

fn check_submission(submission: &Submission) -> Result<(), Answer> {
    let count = submission.payloads.len();
    let fits = match submission.unit {
        Unit::Job => (1..=MAX_JOB_TASKS).contains(&count),
        Unit::Request => count == 1,
    };
    let owned = OrganisationKey::of(&submission.organisation) == submission.job.organisation;
    if fits && owned {
        return Ok(());
    }
    let reason = if owned { Reason::Invalid } else { Reason::Forbidden };
    counters::refusal(reason);
    Err(Answer::without_results(Outcome::Failed, reason, Step::Accept))
}

fn make_cell(shared: &Arc<Shared>, submission: Submission) -> Result<Arc<JobCell>, Refused> {
    if shared.lifecycle.is_draining() {
        return Err(Refused::for_now(Reason::Draining, BURNT_RETRY_MS));
    }
    if shared.jobs.is_retired(submission.job.incarnation) {
        return Err(Refused::for_now(Reason::Fenced, BURNT_RETRY_MS));
    }
    let organisations = shared.organisations.load();
    let found = organisations.of_key(submission.job.organisation).and_then(|organisation| {
        let kind = organisation.kinds.get(&submission.kind)?;
        Some((Arc::clone(organisation), Arc::clone(kind)))
    });
    let Some((organisation, kind)) = found else {
        let detail = format!("no kind {:?} in the template in force", submission.kind);
        return Err(Refused::for_good(Reason::NotFound, detail));
    };
    dispatch::admit(shared, &organisation, &kind, &submission)?;
    Ok(Arc::new(new_cell(shared, submission, organisation, kind)))
}

fn new_cell(
    shared: &Shared,
    submission: Submission,
    organisation: Arc<organisations::Organisation>,
    kind: Arc<organisations::Kind>,
) -> JobCell {
    let slow_after_us = dispatch::kind_numbers(shared, &kind).slow_after_us;
    JobCell::new(shared, submission, organisation, kind, slow_after_us)
}

fn joined(found: Found, id: &JobId, content: ContentHash) -> Accepted {
    match found {
        Found::Record(Record::Running(cell)) if cell.content == content => {
            check(Invariant::OwnAnswer, cell.id == *id, id);
            Accepted::Running(cell)
        }
        Found::Record(Record::Answered { content: kept, answer }) if kept == content => {
            Accepted::Answered(answer)
        }
        Found::Record(_) => Accepted::Answered(Arc::new(conflict())),
        other => Accepted::Answered(Arc::new(without_record(&other))),
    }
}

/// Tells where a job stands.
#[must_use]
pub fn fetch(shared: &Shared, id: &JobId) -> Arc<Answer> {
    match shared.jobs.find(id) {
        Found::Record(Record::Running(cell)) => Arc::new(still_running(shared, &cell)),
        Found::Record(Record::Answered { answer, .. }) => answer,
        other => Arc::new(without_record(&other)),
    }
}

/// Cancels a job and waits for its answer. An id that was not submitted is
/// refused for good.
pub async fn cancel(shared: &Arc<Shared>, id: &JobId) -> Arc<Answer> {
    match shared.jobs.burn(id, Reason::Cancelled) {
        Ok(Found::Record(Record::Running(cell))) => {
            drive(shared, &cell, Event::Cancel);
            answered(shared, &cell).await
        }
        Ok(Found::Record(Record::Answered { answer, .. })) => answer,
        Ok(other) => Arc::new(without_record(&other)),
        Err(MemoryFull) => Arc::new(memory_full()),
    }
}

fn still_running(shared: &Shared, cell: &JobCell) -> Answer {
    let left_ms = cell.deadline_at_ms.saturating_sub(shared.now_ms());
    let retry_ms = u64::from(cell.kind.run_ms).min(left_ms);
    Answer::without_results(Outcome::InDoubt, Reason::Running, Step::Run)
        .retry_after_ms(retry_ms.clamp(FETCH_RETRY_MS.0, FETCH_RETRY_MS.1))
}

fn left_running() -> Answer {
    Answer::without_results(Outcome::InDoubt, Reason::Draining, Step::Run)
        .retry_after_ms(FETCH_RETRY_MS.1)
        .with_detail("stopping; what runs of the job goes on, and other entries tell its end")
}

fn without_record(found: &Found) -> Answer {
    match found {
        Found::Expired => expired(),
        Found::Burnt(reason) => Answer {
            tasks_started: Some(0),
            ..Answer::without_results(Outcome::NotRun, *reason, Step::Admit)
                .retry_after_ms(BURNT_RETRY_MS)
                .with_detail("the id was refused before; reserve another one")
        },
        _ => Answer::without_results(Outcome::InDoubt, Reason::NotSubmitted, Step::Accept)
            .with_detail("the id is reserved; nothing was submitted under it yet"),
    }
}

fn memory_full() -> Answer {
    counters::refusal(Reason::MemoryFull);
    Answer::without_results(Outcome::InDoubt, Reason::MemoryFull, Step::Admit)
        .retry_after_ms(MEMORY_RETRY_MS)
        .with_detail("nothing was started by this call; the id stays good: send the same again")
}

fn conflict() -> Answer {
    counters::refusal(Reason::Conflict);
    Answer::without_results(Outcome::Failed, Reason::Conflict, Step::Accept)
        .with_detail("another kind or body was submitted under this id; this one never runs")
}

fn expired() -> Answer {
    counters::refusal(Reason::Expired);
    Answer::without_results(Outcome::Unknown, Reason::Expired, Step::Accept)
        .with_detail("the id is older than the retention: it may have run, and never runs again")
}

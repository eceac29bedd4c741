//! One accepted job: what was submitted, its state machine, its answer.

use {
    super::table::SubmissionSize,
    crate::{
        organisations::{Kind, Organisation},
        shared::Shared,
    },
    parking_lot::Mutex,
    std::sync::{Arc, atomic::AtomicBool},
    sycamorerail_decide::{
        admission::limit::OrganisationLimit,
        job::{Job, JobParameters},
        queue::WaitingKey,
        retry::RetryBudget,
        view::RackKey,
    },
    sycamorerail_wire::{
        answer::{Answer, Payload},
        ids::{ContentHash, JobId},
        message::{Submission, Unit},
    },
    tokio::sync::watch,
};

/// Longest wait for reports of revoked tasks, in milliseconds.
pub const REPORT_WAIT_MS: u32 = 200;
/// What a caller is told where coming back makes sense, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// One accepted job.
#[derive(Debug)]
pub struct JobCell {
    /// Its id.
    pub id: JobId,
    /// Its organisation, as in force when it was accepted.
    pub organisation: Arc<Organisation>,
    /// Its kind, as in force when it was accepted.
    pub kind: Arc<Kind>,
    /// Job or request.
    pub unit: Unit,
    /// Hash of the submission.
    pub content: ContentHash,
    /// One payload a task.
    pub payloads: Vec<Payload>,
    /// What it takes of memory.
    pub size: SubmissionSize,
    /// When it was accepted, in monotonic milliseconds.
    pub accepted_at_ms: u64,
    /// When it was accepted, for durations below a millisecond.
    pub accepted_at: std::time::Instant,
    /// When it must be answered, in monotonic milliseconds.
    pub deadline_at_ms: u64,
    /// Run time after which an attempt counts as slow, if it may be hedged.
    pub slow_after_us: Option<u64>,
    /// The organisation's limit, against which the job counts.
    pub limit: Arc<OrganisationLimit>,
    /// The organisation's budget of retries.
    pub retries: Arc<RetryBudget>,
    /// Whether the job counts against the limit no more.
    pub released: AtomicBool,
    /// Its places in the queue, those left included.
    pub queued: Mutex<Vec<WaitingKey>>,
    /// The state machine.
    pub state: Mutex<Job>,
    /// Tasks placed, by rack.
    pub siblings: Mutex<Vec<(RackKey, u16)>>,
    /// The answer; callers that wait subscribe.
    pub answer: watch::Sender<Option<Arc<Answer>>>,
}

impl JobCell {
    /// A job accepted now. An attempt slower than `slow_after_us` is hedged if
    /// the request is repeatable.
    #[must_use]
    pub fn new(
        shared: &Shared,
        submission: Submission,
        organisation: Arc<Organisation>,
        kind: Arc<Kind>,
        slow_after_us: Option<u64>,
    ) -> Self {
        let now_ms = shared.now_ms();
        let deadline_ms =
            submission.deadline_ms.map_or(kind.deadline_ms, |asked| asked.min(kind.deadline_ms));
        let deadline_at_ms = now_ms + u64::from(deadline_ms);
        let repeatable = submission.unit == Unit::Request && kind.repeatable;
        let parameters = JobParameters {
            task_count: u16::try_from(submission.payloads.len()).unwrap_or(u16::MAX),
            max_attempts: if repeatable { kind.max_attempts } else { 1 },
            deadline_at_ms,
            hedge_after_ms: slow_after_us.filter(|_| repeatable).map(to_ms),
            report_wait_ms: REPORT_WAIT_MS,
            retry_after_ms: RETRY_AFTER_MS,
        };
        Self {
            id: submission.job,
            kind,
            unit: submission.unit,
            content: submission.content,
            size: SubmissionSize::of(&submission.payloads),
            payloads: submission.payloads,
            accepted_at_ms: now_ms,
            accepted_at: std::time::Instant::now(),
            deadline_at_ms,
            slow_after_us,
            limit: shared.dispatch.quotas.limit(&organisation),
            retries: shared.dispatch.quotas.retries(&organisation),
            released: AtomicBool::new(false),
            queued: Mutex::new(Vec::new()),
            organisation,
            state: Mutex::new(Job::new(parameters)),
            siblings: Mutex::new(Vec::new()),
            answer: watch::Sender::new(None),
        }
    }

    /// Whether its task may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.unit == Unit::Request && self.kind.repeatable
    }

    /// Tasks of the job.
    #[must_use]
    pub fn task_count(&self) -> u16 {
        u16::try_from(self.payloads.len()).unwrap_or(u16::MAX)
    }

    /// Waits for the answer.
    pub async fn answered(&self) -> Arc<Answer> {
        let mut answers = self.answer.subscribe();
        loop {
            if let Some(answer) = answers.borrow_and_update().clone() {
                return answer;
            }
            // The sender lives as long as `self`.
            let _ = answers.changed().await;
        }
    }

    /// Notes that a task was placed in a rack.
    pub fn note_rack(&self, rack: RackKey) {
        let mut siblings = self.siblings.lock();
        match siblings.iter_mut().find(|(other, _)| *other == rack) {
            Some((_, count)) => *count += 1,
            None => siblings.push((rack, 1)),
        }
    }
}

fn to_ms(us: u64) -> u32 {
    u32::try_from(us.div_ceil(1_000)).unwrap_or(u32::MAX)
}

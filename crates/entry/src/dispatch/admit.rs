//! Whether a submission is taken.

use {
    super::{
        choose::placement_query,
        kinds::{KindNumbers, numbers},
    },
    crate::{
        jobs::Refused,
        organisations::{Kind, Organisation},
        shared::Shared,
    },
    std::sync::Arc,
    sycamorerail_decide::admission::{self, AdmissionRequest},
    sycamorerail_wire::{answer::Reason, message::Submission},
};

/// Decides whether a submission is taken. What is taken counts against the
/// quota until its job is answered.
///
/// # Errors
///
/// Why it is not; its id is then refused for good.
pub fn admit(
    shared: &Shared,
    organisation: &Arc<Organisation>,
    kind: &Arc<Kind>,
    submission: &Submission,
) -> Result<(), Refused> {
    let numbers = numbers(shared, kind);
    let tasks = u16::try_from(submission.payloads.len()).unwrap_or(u16::MAX);
    let request = request(shared, organisation, kind, &numbers, (tasks, submission.deadline_ms));
    let limit = shared.dispatch.quotas.limit(organisation);
    let view = &shared.upstreams.snapshot().view;
    admission::admit(&request, &limit, view, &numbers.forecast, shared.now_ms())
        .map_err(|refusal| refused(&refusal, kind))
}

/// Whether a submission would be taken now. It counts against nothing.
///
/// # Errors
///
/// Why it would not.
pub fn would_admit(
    shared: &Shared,
    organisation: &Arc<Organisation>,
    kind: &Arc<Kind>,
    tasks: u16,
    deadline_ms: Option<u32>,
) -> Result<(), Refused> {
    let numbers = numbers(shared, kind);
    let request = request(shared, organisation, kind, &numbers, (tasks, deadline_ms));
    let now_ms = shared.now_ms();
    let view = &shared.upstreams.snapshot().view;
    shared
        .dispatch
        .quotas
        .limit(organisation)
        .check(tasks, now_ms)
        .and_then(|()| admission::check_placeable(&request, view, now_ms))
        .and_then(|()| admission::check_room(&request, &numbers.forecast))
        .and_then(|()| admission::check_deadline(&request, &numbers.forecast))
        .map_err(|refusal| refused(&refusal, kind))
}

fn request<'a>(
    shared: &Shared,
    organisation: &Organisation,
    kind: &'a Kind,
    numbers: &KindNumbers,
    (tasks, deadline_ms): (u16, Option<u32>),
) -> AdmissionRequest<'a> {
    let (queue_room, backlog) = shared.dispatch.room(organisation.key, kind.urgency);
    AdmissionRequest {
        query: placement_query(shared, kind, numbers, &[], &[]),
        tasks,
        deadline_ms: deadline_ms.map_or(kind.deadline_ms, |ms| ms.min(kind.deadline_ms)),
        least_run_ms: numbers.least_run_ms,
        queue_room,
        backlog,
    }
}

fn refused(refusal: &admission::Refusal, kind: &Kind) -> Refused {
    let detail = match refusal.reason {
        Reason::NeverPlaceable => {
            let (name, size_bytes) = (&kind.name, kind.size_bytes);
            Some(format!("no upstream could ever hold a task of {name}, {size_bytes} bytes"))
        }
        Reason::QuotaUsedUp => Some("the organisation's quota is used up for now".to_owned()),
        _ => None,
    };
    Refused { reason: refusal.reason, retry_after_ms: refusal.retry_after_ms, detail }
}

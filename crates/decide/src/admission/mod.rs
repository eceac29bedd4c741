//! Admission control: admits a submission, or refuses it at once with a reason.
//!
//! A refusal costs the caller one round trip and the system nothing else. A
//! submission that is admitted and then misses its deadline wastes capacity that
//! others could use. Submissions that cannot succeed are therefore refused
//! before they are placed or queued, with the delay after which a retry makes
//! sense.
//!
//! - [`limit`] enforces an organisation's quota;
//! - [`forecast`] estimates how long a task would wait;
//! - [`admit`] applies both, the cheapest check first.
//!
//! Two mechanisms keep organisations fair to each other under bursts: the quota
//! bounds what each may request, and the waiting queue (see [`crate::queue`])
//! divides slots and queue room when all quotas together exceed the fleet.

pub mod forecast;
pub mod limit;

use {
    crate::{
        dispatch::EVACUATED_RETRY_MS,
        placement::{PlacementQuery, spread::SpreadRule},
        queue::Backlog,
        view::{UpstreamRow, View},
    },
    forecast::Forecast,
    limit::OrganisationLimit,
    std::sync::atomic::Ordering,
    sycamorerail_wire::answer::Reason,
};

/// Retry delay while no upstream accepts work, in milliseconds: about the time
/// that an upstream needs to announce itself or to return from ejection.
pub const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 1_000;

/// Shortest and longest retry delay, in milliseconds: a shorter one causes a
/// storm of retries, a longer one leaves slots idle.
pub const RETRY_AFTER_MS: (u64, u64) = (5, 10_000);

/// The forecast wait is extended by one part in this many, because a task that
/// is admitted and then late costs more than a refusal: it has occupied its
/// caller, and often slots, for nothing.
const WAIT_MARGIN_DIVISOR: u64 = 4;

/// Why a submission is refused. None of its tasks runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason that the caller is told.
    pub reason: Reason,
    /// Delay after which a retry makes sense, in milliseconds; `None` if never.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a temporary refusal. The delay is clamped to [`RETRY_AFTER_MS`].
    #[must_use]
    pub fn retry_later(reason: Reason, retry_after_ms: u64) -> Self {
        let (least_ms, most_ms) = RETRY_AFTER_MS;
        Self { reason, retry_after_ms: Some(retry_after_ms.clamp(least_ms, most_ms)) }
    }

    /// Creates a refusal that a later retry cannot change.
    #[must_use]
    pub fn permanent(reason: Reason) -> Self {
        Self { reason, retry_after_ms: None }
    }
}

/// A submission to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Requirements of each of its tasks.
    pub query: PlacementQuery<'a>,
    /// Number of its tasks.
    pub tasks: u16,
    /// Time left until its deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Shortest expected run time, in milliseconds: a low percentile of recent
    /// observations, 0 without any. It must not be a declared run time: a wrong
    /// declaration would refuse every request and never be corrected.
    pub least_run_ms: u32,
    /// Number of tasks that its organisation may still add to the waiting queue.
    pub queue_room: u32,
    /// Waiting tasks ahead of it.
    pub backlog: Backlog,
}

/// Admits or refuses a submission. Admitted tasks count against the quota until
/// they are released.
///
/// The quota is checked first, so that each refusal in a flood costs only a few
/// atomic loads. It is charged last, so that a refusal for another reason
/// consumes none of it.
///
/// # Errors
///
/// Returns the refusal if the submission is not admitted.
pub fn admit(
    request: &AdmissionRequest<'_>,
    limit: &OrganisationLimit,
    view: &View,
    forecast: &Forecast,
    now_ms: u64,
) -> Result<(), Refusal> {
    limit.count_requested(request.tasks);
    limit.check(request.tasks, now_ms)?;
    check_placeable(request, view, now_ms)?;
    check_room(request, forecast)?;
    check_deadline(request, forecast)?;
    limit.take(request.tasks, now_ms)
}

/// Checks that some upstream accepts work of the kind now.
///
/// # Errors
///
/// `NeverPlaceable` if no known upstream could ever run the tasks, `Evacuated` if
/// all that could are in evacuated data centres, otherwise `NoUpstream`.
pub fn check_placeable(
    request: &AdmissionRequest<'_>,
    view: &View,
    now_ms: u64,
) -> Result<(), Refusal> {
    let query = &request.query;
    let rule = SpreadRule::new(view, query);
    let mut eligible = view.rows.iter().filter(|row| is_eligible(row, query, &rule)).peekable();
    if !view.rows.is_empty() && eligible.peek().is_none() {
        return Err(Refusal::permanent(Reason::NeverPlaceable));
    }
    if eligible.any(|row| row.takes_work(now_ms)) {
        return Ok(());
    }
    if is_evacuated(query, view) {
        return Err(Refusal::retry_later(Reason::Evacuated, EVACUATED_RETRY_MS.into()));
    }
    Err(Refusal::retry_later(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER_MS))
}

/// Returns whether there are upstreams that could serve the query and are not
/// leaving, and all of them are in evacuated data centres.
#[must_use]
pub fn is_evacuated(query: &PlacementQuery<'_>, view: &View) -> bool {
    let rule = SpreadRule::new(view, query);
    let is_staying = |row: &&UpstreamRow| {
        is_eligible(row, query, &rule) && !row.live.leaving.load(Ordering::Acquire)
    };
    let mut staying = view.rows.iter().filter(is_staying).peekable();
    staying.peek().is_some() && staying.all(|row| row.live.evacuated.load(Ordering::Acquire))
}

fn is_eligible(row: &UpstreamRow, query: &PlacementQuery<'_>, rule: &SpreadRule<'_>) -> bool {
    row.can_serve(query.kind, query.size_bytes) && !rule.forbids(row)
}

/// Checks that the waiting queue has room for the tasks that find no free slot.
///
/// # Errors
///
/// `Overloaded`, with the time until the queue has drained far enough.
pub fn check_room(request: &AdmissionRequest<'_>, forecast: &Forecast) -> Result<(), Refusal> {
    let to_queue = u32::from(request.tasks).saturating_sub(forecast.free_slots);
    match to_queue.saturating_sub(request.queue_room) {
        0 => Ok(()),
        missing => Err(Refusal::retry_later(Reason::Overloaded, forecast.drain_ms(missing))),
    }
}

/// Checks that the last of the tasks can start early enough.
///
/// If slots for all of them are free, the tasks pass in any case: they delay
/// nobody, and they keep the estimate of their run time up to date.
///
/// # Errors
///
/// `DeadlineUnreachable`, with the time until the wait is short enough if nothing
/// else is admitted.
pub fn check_deadline(request: &AdmissionRequest<'_>, forecast: &Forecast) -> Result<(), Refusal> {
    let ahead = request.backlog.tasks_ahead();
    let forecast_ms = forecast.wait_ms(ahead, u32::from(request.tasks));
    let wait_ms = forecast_ms.saturating_add(forecast_ms / WAIT_MARGIN_DIVISOR);
    let end_ms = wait_ms.saturating_add(u64::from(request.least_run_ms));
    match end_ms.saturating_sub(u64::from(request.deadline_ms)) {
        late_ms if late_ms > 0 && wait_ms > 0 => {
            // The margin shrinks together with the forecast.
            let shrink_ms = late_ms - late_ms / (WAIT_MARGIN_DIVISOR + 1);
            Err(Refusal::retry_later(Reason::DeadlineUnreachable, shrink_ms))
        }
        _ => Ok(()),
    }
}

//! Whether a submission is taken, or refused at once and why.
//!
//! A refusal costs the caller one round trip and the system nothing else; a
//! submission taken and then failed at its deadline costs everyone. So what
//! can't be met is refused before it is placed or queued, with the time after
//! which it is worth coming back.
//!
//! - [`limit`] holds an organisation to its quota;
//! - [`forecast`] tells how long a task would wait;
//! - [`admit`] asks both, the cheapest check first.
//!
//! Fairness between organisations under burst has two parts: the quota bounds
//! what each may ask for, and the waiting queue (see [`crate::queue`]) shares
//! out slots and room when all quotas together exceed the fleet.

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

/// When to come back while no upstream takes work, in milliseconds: about the
/// time an upstream needs to announce itself or to come back from ejection.
pub const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 1_000;

/// Bounds of the time after which a refused caller is told to come back, in
/// milliseconds: sooner makes a storm of retries, later leaves slots idle.
pub const RETRY_AFTER_MS: (u64, u64) = (5, 10_000);

/// Part of a forecast wait that is added to it: one taken and then late has
/// held its caller and often slots for nothing, which costs more than a refusal.
const WAIT_MARGIN_PART: u64 = 4;

/// Why a submission is not taken. Nothing of it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it is worth coming back, in milliseconds; `None` if never.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal; the time to come back is kept within [`RETRY_AFTER_MS`].
    #[must_use]
    pub fn retry_later(reason: Reason, retry_after_ms: u64) -> Self {
        let (least_ms, most_ms) = RETRY_AFTER_MS;
        Self { reason, retry_after_ms: Some(retry_after_ms.clamp(least_ms, most_ms)) }
    }

    /// A refusal of what can't be taken later either.
    #[must_use]
    pub fn permanent(reason: Reason) -> Self {
        Self { reason, retry_after_ms: None }
    }
}

/// A submission that asks to be taken.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// What each of its tasks needs.
    pub query: PlacementQuery<'a>,
    /// Its tasks.
    pub tasks: u16,
    /// Time left until its deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Shortest run time to be counted on, in milliseconds: a low percentile of
    /// fresh observations, 0 without. A declared run time must not stand here,
    /// for a wrong one would refuse every request and never be corrected.
    pub least_run_ms: u32,
    /// Tasks that its organisation may still add to the waiting queue.
    pub queue_room: u32,
    /// What waits before it.
    pub backlog: Backlog,
}

/// Takes a submission or refuses it. What is taken counts against the quota
/// until its tasks are released.
///
/// Refused by the quota first, so that a flood costs a few loads of atomics
/// each; the quota is charged last, so that a refusal for another reason leaves
/// it to others of the organisation.
///
/// # Errors
///
/// Why it is not taken.
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

/// Whether some upstream takes work of the kind now, and if not, whether one
/// ever could.
///
/// # Errors
///
/// `NoUpstream`, `Evacuated` or `NeverPlaceable`.
pub fn check_placeable(
    request: &AdmissionRequest<'_>,
    view: &View,
    now_ms: u64,
) -> Result<(), Refusal> {
    let query = &request.query;
    let rule = SpreadRule::new(view, query);
    let mut can_serve = view.rows.iter().filter(|row| could_go_to(row, query, &rule)).peekable();
    if !view.rows.is_empty() && can_serve.peek().is_none() {
        return Err(Refusal::permanent(Reason::NeverPlaceable));
    }
    if can_serve.any(|row| row.takes_work(now_ms)) {
        return Ok(());
    }
    if is_evacuated(query, view) {
        return Err(Refusal::retry_later(Reason::Evacuated, EVACUATED_RETRY_MS.into()));
    }
    Err(Refusal::retry_later(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER_MS))
}

/// Whether some upstream could serve that is not leaving, and all of these are in
/// evacuated data centres.
#[must_use]
pub fn is_evacuated(query: &PlacementQuery<'_>, view: &View) -> bool {
    let rule = SpreadRule::new(view, query);
    let stays = |row: &&UpstreamRow| {
        could_go_to(row, query, &rule) && !row.live.leaving.load(Ordering::Acquire)
    };
    let mut staying = view.rows.iter().filter(stays).peekable();
    staying.peek().is_some() && staying.all(|row| row.live.evacuated.load(Ordering::Acquire))
}

fn could_go_to(row: &UpstreamRow, query: &PlacementQuery<'_>, rule: &SpreadRule<'_>) -> bool {
    row.can_serve(query.kind, query.size_bytes) && !rule.forbids(row)
}

/// Whether the waiting queue has room for those tasks that find no slot.
///
/// # Errors
///
/// `Overloaded`, until the missing places are free at the queue's pace.
pub fn check_room(request: &AdmissionRequest<'_>, forecast: &Forecast) -> Result<(), Refusal> {
    let to_queue = u32::from(request.tasks).saturating_sub(forecast.free_slots);
    match to_queue.saturating_sub(request.queue_room) {
        0 => Ok(()),
        missing => Err(Refusal::retry_later(Reason::Overloaded, forecast.drain_ms(missing))),
    }
}

/// Whether the last of the tasks can start early enough.
///
/// While the slots for all of them are free they are taken in any case: that
/// costs no one, and keeps the estimate of their run time fresh.
///
/// # Errors
///
/// `DeadlineUnreachable`, until the wait has become short enough if nothing
/// else is taken.
pub fn check_deadline(request: &AdmissionRequest<'_>, forecast: &Forecast) -> Result<(), Refusal> {
    let ahead = request.backlog.tasks_ahead();
    let forecast_ms = forecast.wait_ms(ahead, u32::from(request.tasks));
    let wait_ms = forecast_ms.saturating_add(forecast_ms / WAIT_MARGIN_PART);
    let end_ms = wait_ms.saturating_add(u64::from(request.least_run_ms));
    match end_ms.saturating_sub(u64::from(request.deadline_ms)) {
        late_ms if late_ms > 0 && wait_ms > 0 => {
            // As the forecast shrinks, its margin does.
            let shrink_ms = late_ms - late_ms / (WAIT_MARGIN_PART + 1);
            Err(Refusal::retry_later(Reason::DeadlineUnreachable, shrink_ms))
        }
        _ => Ok(()),
    }
}

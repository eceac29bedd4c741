//! Counters and histograms of an entry. Labels are enums or literals, so that
//! their number is bounded.

use {
    metrics_exporter_prometheus::PrometheusHandle,
    std::sync::OnceLock,
    sycamorerail_telemetry::metrics_page,
    sycamorerail_wire::answer::{Outcome, Reason},
};

static PAGE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder, once a process. What is counted before is lost.
pub fn install() {
    let _ = handle();
}

fn handle() -> Option<&'static PrometheusHandle> {
    PAGE.get_or_init(|| metrics_page::install().ok()).as_ref()
}

/// Renders the page.
#[must_use]
pub fn page() -> String {
    handle().map(PrometheusHandle::render).unwrap_or_default()
}

/// Kinds of messages to agents and entries, for the sum of wasted ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A placement sent.
    Placement,
    /// A placement sent again after a broken connection.
    PlacementResent,
    /// A placement replied with "not started": wasted.
    PlacementRefused,
    /// A revoke sent: wasted.
    Revoke,
    /// A probe sent: wasted.
    Probe,
    /// A heartbeat or hello received: wasted.
    Beat,
    /// A submission, fetch or cancellation sent to its home.
    Forward,
    /// A fence sent.
    Fence,
    /// The start of a peer told to an agent: wasted.
    EntryStarted,
    /// Evacuated data centres told to an agent: wasted.
    Evacuations,
}

impl Message {
    /// The label.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Placement => "placement",
            Self::PlacementResent => "placement_resent",
            Self::PlacementRefused => "placement_refused",
            Self::Revoke => "revoke",
            Self::Probe => "probe",
            Self::Beat => "beat",
            Self::Forward => "forward",
            Self::Fence => "fence",
            Self::EntryStarted => "entry_started",
            Self::Evacuations => "evacuations",
        }
    }
}

/// Counts a message by kind and cause.
pub fn message(message: Message, cause: Reason) {
    metrics::counter!(
        "sycamorerail_messages_total",
        "message" => message.name(),
        "cause" => cause.name()
    )
    .increment(1);
}

/// Counts an answer to a caller.
pub fn answer(outcome: Outcome, reason: Reason) {
    metrics::counter!(
        "sycamorerail_answers_total",
        "outcome" => outcome.name(),
        "reason" => reason.name()
    )
    .increment(1);
}

/// Counts a refusal.
pub fn refusal(reason: Reason) {
    metrics::counter!("sycamorerail_refusals_total", "reason" => reason.name()).increment(1);
}

/// Counts a task or attempt that is placed again.
pub fn retry(reason: Reason) {
    metrics::counter!("sycamorerail_retries_total", "reason" => reason.name()).increment(1);
}

/// Records the time of a task outside its upstream: from the acceptance of its
/// job to its end, less its run time. Waits for a slot are part of it.
pub fn dispatch_overhead_us(overhead_us: u64) {
    record("sycamorerail_dispatch_overhead_us", overhead_us);
}

/// Records the time of a placement between entry and upstream: from its sending
/// to its reply, less its run time and its wait at the agent.
pub fn placement_overhead_us(overhead_us: u64) {
    record("sycamorerail_placement_overhead_us", overhead_us);
}

#[allow(clippy::cast_precision_loss)]
fn record(name: &'static str, us: u64) {
    metrics::histogram!(name).record(us as f64);
}

//! Counters of an agent.

use {
    sycamorerail_decide::gate::{PlacementDecision, PlacementRefusal},
    sycamorerail_wire::{answer::TaskEnd, message::AgentReplyBody},
};

/// Counts the outcome of a placement, and the reason of a refusal.
pub(crate) fn placement(outcome: &PlacementDecision) {
    let result = match outcome {
        PlacementDecision::Start(_) => "started",
        PlacementDecision::Queued { .. } => "queued",
        PlacementDecision::Joined => "joined",
        PlacementDecision::Settled(_) => "known",
        PlacementDecision::Refused(PlacementRefusal { reason, .. }) => {
            metrics::counter!("sycamorerail_agent_refusals_total", "reason" => reason.name())
                .increment(1);
            "refused"
        }
    };
    metrics::counter!("sycamorerail_agent_placements_total", "result" => result).increment(1);
}

/// Counts a call to the upstream.
pub(crate) fn upstream_call() {
    metrics::counter!("sycamorerail_agent_starts_total").increment(1);
}

/// Counts the end of an accepted task.
pub(crate) fn task_end(reply: &AgentReplyBody) {
    let (result, reason) = match reply {
        AgentReplyBody::Ended { end: TaskEnd::Finished(_), .. } => ("finished", "done"),
        AgentReplyBody::Ended { end: TaskEnd::Failed { reason, .. }, .. } => {
            ("failed", reason.name())
        }
        AgentReplyBody::Broken(reason) => ("broken", reason.name()),
        AgentReplyBody::NotStarted { reason, .. } => ("not_started", reason.name()),
        AgentReplyBody::Revoked(_)
        | AgentReplyBody::Fenced(_)
        | AgentReplyBody::Probed
        | AgentReplyBody::Acknowledged => return,
    };
    metrics::counter!("sycamorerail_agent_ends_total", "result" => result, "reason" => reason)
        .increment(1);
}

/// Counts a hello or heartbeat with the encoded bytes of request and reply.
pub(crate) fn control_message(message: &'static str, bytes: usize) {
    metrics::counter!("sycamorerail_agent_control_messages_total", "message" => message)
        .increment(1);
    metrics::counter!("sycamorerail_agent_control_bytes_total", "message" => message)
        .increment(bytes as u64);
}

/// Counts a request from an entry by message type.
pub(crate) fn request(message: &'static str) {
    metrics::counter!("sycamorerail_agent_requests_total", "message" => message).increment(1);
}

/// Counts the UDP bytes of a session since the last count, including the QUIC overhead.
pub(crate) fn packets(sent_bytes: u64, received_bytes: u64) {
    metrics::counter!("sycamorerail_agent_udp_bytes_total", "direction" => "sent")
        .increment(sent_bytes);
    metrics::counter!("sycamorerail_agent_udp_bytes_total", "direction" => "received")
        .increment(received_bytes);
}

/// Counts a session that was opened, ended or failed to open.
pub(crate) fn session(result: &'static str) {
    metrics::counter!("sycamorerail_agent_sessions_total", "result" => result).increment(1);
}

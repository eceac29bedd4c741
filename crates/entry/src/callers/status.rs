//! The HTTP status of each answer; the only place that maps them.

use {
    rocket::http::Status,
    sycamorerail_wire::answer::{Answer, Outcome, Reason},
};

/// The status of an answer.
pub(super) fn of(answer: &Answer) -> Status {
    match answer.outcome {
        Outcome::Complete => Status::Ok,
        Outcome::Failed => of_failed(answer.reason),
        Outcome::NotRun => of_not_run(answer.reason),
        Outcome::Unknown => of_unknown(answer.reason),
        Outcome::InDoubt => of_in_doubt(answer.reason),
    }
}

fn of_failed(reason: Reason) -> Status {
    match reason {
        Reason::Conflict | Reason::Cancelled => Status::Conflict,
        Reason::DeadlinePassed => Status::GatewayTimeout,
        Reason::Invalid => Status::BadRequest,
        Reason::Forbidden => Status::Forbidden,
        _ => Status::BadGateway,
    }
}

fn of_not_run(reason: Reason) -> Status {
    match reason {
        Reason::QuotaUsedUp | Reason::Overloaded => Status::TooManyRequests,
        Reason::Cancelled => Status::Conflict,
        Reason::NeverPlaceable => Status::UnprocessableEntity,
        Reason::NotFound => Status::NotFound,
        Reason::DeadlinePassed => Status::GatewayTimeout,
        _ => Status::ServiceUnavailable,
    }
}

fn of_unknown(reason: Reason) -> Status {
    match reason {
        Reason::Expired | Reason::ResultDropped => Status::Gone,
        _ => Status::InternalServerError,
    }
}

fn of_in_doubt(reason: Reason) -> Status {
    match reason {
        Reason::NotSubmitted => Status::NotFound,
        Reason::QuotaUsedUp | Reason::Overloaded => Status::TooManyRequests,
        Reason::NeverPlaceable => Status::UnprocessableEntity,
        Reason::MemoryFull
        | Reason::PlatformOut
        | Reason::PlatformBudget
        | Reason::Draining
        | Reason::NoUpstream
        | Reason::Evacuated
        | Reason::DeadlineUnreachable => Status::ServiceUnavailable,
        _ => Status::Accepted,
    }
}

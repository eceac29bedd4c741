//! Exit codes of the command line.

use sycamorerail_wire::answer::{Outcome, Reason};

/// How a command ended. The numbers are a promise to scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitCode {
    /// All is well: accepted, complete, or the same.
    Ok = 0,
    /// A fault of this machine, as a file that cannot be written.
    General = 1,
    /// The options are wrong.
    Usage = 2,
    /// Settings, a template or a submission were refused as invalid.
    Invalid = 3,
    /// `diff` found a difference.
    Different = 4,
    /// The job or request definitely failed.
    JobFailed = 10,
    /// It was not run, and never will be under this id.
    NotRun = 11,
    /// It may have run, or the change may have taken effect.
    Unknown = 12,
    /// Not decided yet: come back later.
    InDoubt = 13,
    /// Another change or another body was first.
    Conflict = 14,
    /// No such organisation, revision or job.
    NotFound = 15,
    /// The token is missing, unknown, or does not allow this.
    Forbidden = 16,
    /// The entry could not be reached; nothing was sent.
    Unreachable = 17,
    /// The entry refused for now, as while the platform is out.
    Refused = 18,
}

impl ExitCode {
    /// The code of an answer: its reason's where that says more than the
    /// outcome, else the outcome's, else the HTTP status's.
    pub(crate) fn of_answer(outcome: Option<Outcome>, reason: Reason, status: u16) -> Self {
        let by_outcome = || outcome.map(Self::of_outcome);
        Self::of_reason(reason).or_else(by_outcome).unwrap_or_else(|| Self::of_status(status))
    }

    fn of_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Complete => Self::Ok,
            Outcome::Failed => Self::JobFailed,
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
            Outcome::InDoubt => Self::InDoubt,
        }
    }

    fn of_reason(reason: Reason) -> Option<Self> {
        match reason {
            Reason::Conflict => Some(Self::Conflict),
            Reason::NotFound | Reason::NotSubmitted => Some(Self::NotFound),
            Reason::Unauthorised | Reason::Forbidden => Some(Self::Forbidden),
            Reason::Invalid | Reason::TooLarge => Some(Self::Invalid),
            _ => None,
        }
    }

    /// The code of an HTTP status whose body is not understood.
    pub(crate) fn of_status(status: u16) -> Self {
        match status {
            401 | 403 => Self::Forbidden,
            404 => Self::NotFound,
            409 | 412 => Self::Conflict,
            400 | 413 | 422 | 428 => Self::Invalid,
            // A gateway may have passed the call on.
            502 | 504 => Self::Unknown,
            _ => Self::Refused,
        }
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

//! A change of an organisation's template, and how it may end.

use {
    crate::envelope::{Envelope, Stamp, UnreadableRecord, ValueTooLarge},
    std::fmt,
    sycamorerail_platform::PlatformError,
    sycamorerail_settings::SettingsErrors,
    sycamorerail_wire::message::ConfigMark,
    uuid::{NoContext, Timestamp, Uuid},
};

/// What the change expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// No such organisation, or a deleted one.
    Absent,
    /// This revision.
    Revision(u64),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create or replace by this YAML.
    Put(String),
    /// Make the template of an earlier revision the next one.
    Rollback(u64),
    /// Delete, leaving a tombstone.
    Delete,
}

impl Action {
    /// The label of counters and logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Put(_) => "put",
            Self::Rollback(_) => "rollback",
            Self::Delete => "delete",
        }
    }
}

/// A change to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Organisation's name.
    pub organisation: String,
    /// What it expects to find.
    pub base: Base,
    /// What is to be done.
    pub action: Action,
    /// Its identity, and who makes it when.
    pub stamp: Stamp,
}

/// Makes the identity of a change at `now_unix_ms`.
#[must_use]
pub fn new_change_id(now_unix_ms: u64) -> Uuid {
    let nanos = u32::try_from(now_unix_ms % 1_000).unwrap_or(0) * 1_000_000;
    Uuid::new_v7(Timestamp::from_unix(NoContext, now_unix_ms / 1_000, nanos))
}

/// A change that is known to have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Organisation's name.
    pub organisation: String,
    /// Its revision.
    pub revision: u64,
    /// Platform revision by which it had taken effect.
    pub mark: ConfigMark,
    /// Its identity, and who made it when.
    pub stamp: Stamp,
}

/// The revision that stands where a change expected another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Winner {
    /// Its number.
    pub revision: u64,
    /// Its change.
    pub stamp: Stamp,
    /// It is a tombstone.
    pub deleted: bool,
}

impl From<&Envelope> for Winner {
    fn from(envelope: &Envelope) -> Self {
        Self {
            revision: envelope.revision,
            stamp: envelope.stamp.clone(),
            deleted: envelope.deleted,
        }
    }
}

/// Why a change is not known to have taken effect.
///
/// All but [`ChangeError::InDoubt`] mean that it did not and never will.
#[derive(Debug)]
pub enum ChangeError {
    /// Another change came first; `None` where there is no such organisation.
    Conflict(Option<Winner>),
    /// The template is not valid.
    Invalid(SettingsErrors),
    /// There is no such organisation.
    NoOrganisation,
    /// The revision's template is not kept, or it is a tombstone.
    NoRevision(u64),
    /// The record would be too large.
    TooLarge(ValueTooLarge),
    /// The record that stands cannot be read.
    Unreadable(UnreadableRecord),
    /// The platform did not take it.
    NotRun {
        /// Last error.
        error: PlatformError,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// It may have taken effect, or may still. Ask again by its identity.
    InDoubt {
        /// Its identity.
        change_id: Uuid,
        /// The revision it makes if it takes effect.
        revision: u64,
        /// Last error; `None` where the history no longer tells.
        error: Option<PlatformError>,
        /// When to ask, in milliseconds.
        retry_after_ms: u64,
    },
}

impl ChangeError {
    /// The label of counters and logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Conflict(_) => "conflict",
            Self::Invalid(_) => "invalid",
            Self::NoOrganisation | Self::NoRevision(_) => "not_found",
            Self::TooLarge(_) => "too_large",
            Self::Unreadable(_) => "unreadable",
            Self::NotRun { .. } => "not_run",
            Self::InDoubt { .. } => "in_doubt",
        }
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(Some(winner)) => write!(f, "revision {} stands", winner.revision),
            Self::Conflict(None) | Self::NoOrganisation => f.write_str("no such organisation"),
            Self::Invalid(errors) => errors.fmt(f),
            Self::NoRevision(revision) => write!(f, "no template of revision {revision} is kept"),
            Self::TooLarge(err) => err.fmt(f),
            Self::Unreadable(err) => err.fmt(f),
            Self::NotRun { error, .. } => write!(f, "not taken: {error}"),
            Self::InDoubt { change_id, error: Some(error), .. } => {
                write!(f, "change {change_id} is in doubt: {error}")
            }
            Self::InDoubt { change_id, error: None, .. } => {
                write!(f, "change {change_id} is older than the history kept")
            }
        }
    }
}

impl std::error::Error for ChangeError {}

/// Where a change stands, by a look-up of its identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeState {
    /// It took effect.
    Accepted(Accepted),
    /// It did not take effect and never will.
    NotRun,
    /// It has not taken effect, and still may.
    InDoubt,
    /// It is not in the history kept, which does not reach back far enough,
    /// or its revision was not given.
    Unknown,
}

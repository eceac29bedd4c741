//! What can go wrong with a call, where, and whether it may have taken effect.

use std::fmt;

/// The call during which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlatformStep {
    /// Building the client.
    Setup,
    /// Reading a prefix or one key.
    Range,
    /// Writing a key by compare-and-swap.
    Swap,
    /// Deleting a key by compare-and-swap.
    Delete,
    /// Granting a lease.
    Grant,
    /// Keeping a lease alive.
    KeepAlive,
    /// Opening or following a watch.
    Watch,
}

impl PlatformStep {
    /// The label of counters and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Setup => "setup",
            Self::Range => "range",
            Self::Swap => "swap",
            Self::Delete => "delete",
            Self::Grant => "grant",
            Self::KeepAlive => "keep_alive",
            Self::Watch => "watch",
        }
    }

    /// Whether the call changes anything at the platform.
    #[must_use]
    pub fn changes(self) -> bool {
        matches!(self, Self::Swap | Self::Delete | Self::Grant | Self::KeepAlive)
    }
}

/// Whether a failed call may have changed something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing was changed.
    None,
    /// The change may have taken effect; only reading back tells.
    Open,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformErrorKind {
    /// The connection was refused, could not be made, or broke.
    Unreachable,
    /// No whole answer came in time.
    Timeout,
    /// The platform answered with this HTTP status.
    Status(u16),
    /// The process's own call budget is used up; nothing was sent.
    Budget,
    /// The answer, or the configured URL, could not be understood.
    Malformed(String),
}

impl PlatformErrorKind {
    /// The label of counters and logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Timeout => "timeout",
            Self::Status(429) => "rate_limited",
            Self::Status(_) => "status",
            Self::Budget => "budget",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformError {
    /// The call.
    pub step: PlatformStep,
    /// Base URL of the service.
    pub peer: String,
    /// What went wrong.
    pub kind: PlatformErrorKind,
    /// Whether the change may have taken effect.
    pub effect: Effect,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: ", self.step.name(), self.peer)?;
        match &self.kind {
            PlatformErrorKind::Unreachable => f.write_str("unreachable")?,
            PlatformErrorKind::Timeout => f.write_str("no answer in time")?,
            PlatformErrorKind::Status(status) => write!(f, "status {status}")?,
            PlatformErrorKind::Budget => f.write_str("the call budget is used up")?,
            PlatformErrorKind::Malformed(why) => write!(f, "not understood: {why}")?,
        }
        match self.effect {
            Effect::None => Ok(()),
            Effect::Open => f.write_str(" (the change may have taken effect)"),
        }
    }
}

impl std::error::Error for PlatformError {}

//! What can go wrong with the records, and at which step.

use {
    std::fmt,
    sycamorerail_platform::{Effect, PlatformError},
};

/// The change or reading during which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MembershipStep {
    /// Announcing this entry under its lease.
    Announce,
    /// Recording this incarnation as one that may place work.
    Home,
    /// Registering an agent.
    Register,
    /// Recording a fence.
    Fence,
    /// Reading the roster after a fence.
    Roster,
    /// Retiring or deleting old records.
    Sweep,
}

impl MembershipStep {
    /// The label of counters and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Announce => "announce",
            Self::Home => "home",
            Self::Register => "register",
            Self::Fence => "fence",
            Self::Roster => "roster",
            Self::Sweep => "sweep",
        }
    }
}

/// A record could not be written or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// The platform's call failed.
    Platform(MembershipStep, PlatformError),
    /// The platform answered as of an older revision than one it had told.
    Stale {
        /// The step.
        step: MembershipStep,
        /// Revision of the answer.
        mark: u64,
        /// Revision that it must not be below.
        least: u64,
    },
    /// The platform's answer contradicts what was asked.
    Contradiction(MembershipStep),
}

impl MembershipError {
    /// Whether the change may have taken effect.
    #[must_use]
    pub fn may_have_changed(&self) -> bool {
        match self {
            Self::Platform(_, error) => error.effect == Effect::Open,
            Self::Stale { .. } | Self::Contradiction(_) => true,
        }
    }
}

impl fmt::Display for MembershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(step, error) => write!(f, "{}: {error}", step.name()),
            Self::Stale { step, mark, least } => {
                write!(f, "{}: the answer is as of {mark}, before {least}", step.name())
            }
            Self::Contradiction(step) => {
                write!(f, "{}: the platform contradicts itself", step.name())
            }
        }
    }
}

impl std::error::Error for MembershipError {}

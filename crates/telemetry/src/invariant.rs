//! Invariants asserted inside the programs, in release builds too.
//!
//! A breach is counted, logged as an error, and ends the process where the
//! setting `fatal_invariants` is on, as in tests.

use std::sync::atomic::{AtomicBool, Ordering};

static FATAL: AtomicBool = AtomicBool::new(false);

/// Exit code of a process that ended on a broken invariant.
pub const EXIT_CODE: i32 = 86;

/// What must always hold, by its number in docs/PROOFS.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// I1: a task starts at most once.
    StartsOnce,
    /// I2: an answer is complete or failed, never partial.
    WholeAnswer,
    /// I3: an answer goes to the submission with its id, organisation and content.
    OwnAnswer,
    /// I4: `not_run` implies no start, ever after.
    TrueNotRun,
    /// I5: a request that is not repeatable starts at most once.
    NotRepeated,
    /// I6: no placement to an upstream that is leaving.
    NoWorkWhenLeaving,
    /// I7: a draining process cuts no request.
    NoCutInDrain,
    /// I8: the revision in force never goes back.
    RevisionGrows,
}

impl Invariant {
    /// The label of counters and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::StartsOnce => "i1_starts_once",
            Self::WholeAnswer => "i2_whole_answer",
            Self::OwnAnswer => "i3_own_answer",
            Self::TrueNotRun => "i4_true_not_run",
            Self::NotRepeated => "i5_not_repeated",
            Self::NoWorkWhenLeaving => "i6_no_work_when_leaving",
            Self::NoCutInDrain => "i7_no_cut_in_drain",
            Self::RevisionGrows => "i8_revision_grows",
        }
    }
}

/// Makes breaches end the process.
pub fn set_fatal(fatal: bool) {
    FATAL.store(fatal, Ordering::Release);
}

/// Checks an invariant; returns whether it holds.
pub fn check(invariant: Invariant, holds: bool, subject: &dyn std::fmt::Display) -> bool {
    metrics::counter!("sycamorerail_invariant_checks_total", "invariant" => invariant.name())
        .increment(1);
    if holds {
        return true;
    }
    metrics::counter!("sycamorerail_invariant_breaches_total", "invariant" => invariant.name())
        .increment(1);
    crate::event!(Error, "invariant_broken", invariant = invariant.name(), subject = subject);
    if FATAL.load(Ordering::Acquire) {
        std::process::exit(EXIT_CODE);
    }
    false
}

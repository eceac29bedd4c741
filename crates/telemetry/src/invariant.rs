//! Invariants that are checked at run time, also in release builds.
//!
//! A violation is counted and logged as an error. It ends the process if the setting
//! `fatal_invariants` is on, as it is in tests.

use std::sync::atomic::{AtomicBool, Ordering};

static FATAL: AtomicBool = AtomicBool::new(false);

/// Exit code of a process that was ended by an invariant violation.
pub const EXIT_CODE: i32 = 86;

/// Invariants, numbered as in docs/PROOFS.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// I1: a task starts at most once.
    StartsOnce,
    /// I2: an answer never holds partial results.
    WholeAnswer,
    /// I3: an answer goes only to the submission with the same id, organisation and content.
    OwnAnswer,
    /// I4: once the outcome is `not_run`, no task has started and none ever will.
    TrueNotRun,
    /// I5: a request whose kind is not repeatable starts at most once.
    NotRepeated,
    /// I6: no task is placed on an upstream that is leaving.
    NoWorkWhenLeaving,
    /// I7: a draining process interrupts no request.
    NoCutInDrain,
    /// I8: the revision in force never decreases.
    RevisionGrows,
}

impl Invariant {
    /// Label in metrics and logs.
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

/// Sets whether a violation ends the process.
pub fn set_fatal(fatal: bool) {
    FATAL.store(fatal, Ordering::Release);
}

/// Counts a check of an invariant and reports a violation unless `holds`. Returns `holds`.
/// The log line names `subject`.
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

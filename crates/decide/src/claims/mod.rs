//! Claims on jobs: which entry may run a job that callers can submit to several entries.
//!
//! An entry claims a job at the job's holders before it starts any of its tasks. The holders are
//! the entries that rank first for the job's id, so that every entry asks the same ones. Two
//! entries that are granted a majority of them share a holder, which has granted one of them only.
//!
//! [`ClaimTable`] is the state of a holder, [`Claims`] that of an entry that claims.

mod claimant;
mod table;

pub use {
    claimant::{ClaimDecision, ClaimRequest, ClaimState, Claims},
    table::{ClaimOwner, ClaimTable},
};

use {
    crate::rendezvous,
    std::{cmp::Reverse, net::SocketAddr},
    sycamorerail_wire::runs::CallerJobId,
};

/// Number of holders of a claim: a majority answers while one of them is lost.
pub const HOLDERS: usize = 3;

/// Limits of claims, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Time for which runs may go on after their entry is gone or has given up their job, in
    /// milliseconds.
    pub run_over_ms: u64,
    /// Time after which a claim counts as granted that some holders grant and the others leave
    /// unanswered, in milliseconds.
    pub patience_ms: u64,
    /// Time without contact after which a holder is none any more, in milliseconds: all claims
    /// that it had granted are over.
    pub forget_holder_ms: u64,
}

/// Returns the entries that hold claims on a job, the same at every entry that knows the same
/// entries.
#[must_use]
pub fn holders(job: CallerJobId, entries: &[SocketAddr]) -> Vec<SocketAddr> {
    let id = job.to_string();
    let mut ranked: Vec<_> = entries
        .iter()
        .map(|entry| (Reverse(rendezvous::weight(&id, &entry.to_string())), *entry))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(HOLDERS);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

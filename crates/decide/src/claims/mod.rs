//! Claims on jobs: which entry may run a job that callers can submit to several entries.
//!
//! An entry claims a job at the job's holders before it starts any of its tasks. The holders are
//! the entries that rank first for the job's id, so that every entry asks the same ones. Two
//! entries that are granted a majority of them share a holder, which has granted one of them only.
//! Without a majority no job is started, and one that runs is given up in time for its runs to be
//! over before its holders grant it to another entry.
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
    std::{cmp::Reverse, collections::HashSet, net::SocketAddr},
    sycamorerail_wire::runs::{CallerJobId, EntryAddress},
};

/// Number of holders of a claim: a majority answers while one of them is lost.
pub const HOLDERS: usize = 3;

/// Limits of claims, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Time for which runs may go on after their entry is gone or has given up their job, in
    /// milliseconds.
    pub run_over_ms: u64,
    /// Time for which a claim lasts beyond that, in milliseconds.
    pub margin_ms: u64,
    /// Time after the last contact with a majority of its holders after which an entry gives a job
    /// up, in milliseconds. The runs of the job have to be over within [`Self::stop_within_ms`],
    /// before the claim ends, and agents must not take the entry for silent meanwhile.
    pub give_up_ms: u64,
    /// A claim counts as granted only if the majority of its holders was in contact within this
    /// time, in milliseconds.
    pub confirm_within_ms: u64,
    /// Time within which the runs of a job are over at agents that are in contact once it is given
    /// up, in milliseconds.
    pub stop_within_ms: u64,
    /// Time after which an entry no longer expects the vote of a holder that it can't reach, in
    /// milliseconds.
    pub lost_after_ms: u64,
}

impl ClaimLimits {
    /// Time for which a claim lasts after the last sign of its claimant, in milliseconds: its runs
    /// are over, whether they can be stopped or end with their leases.
    #[must_use]
    pub fn outlast_ms(&self) -> u64 {
        self.run_over_ms + self.margin_ms
    }

    /// Time after the last contact with a majority of its holders within which a claim may be
    /// granted, in milliseconds. Agents may have been acknowledged until now.
    fn grant_within_ms(&self) -> u64 {
        self.confirm_within_ms.min(self.margin_ms)
    }
}

/// Returns the voters of a set that hold claims on a job, the same at every entry that knows the
/// same set. They are in different data centres if there are as many, so that the loss of one leaves
/// a majority.
#[must_use]
pub fn holders(job: CallerJobId, entries: &[EntryAddress]) -> Vec<SocketAddr> {
    let id = job.to_string();
    let weight = |entry: &EntryAddress| rendezvous::weight(&id, &entry.address.to_string());
    let mut ranked: Vec<_> = entries.iter().map(|entry| (Reverse(weight(entry)), entry)).collect();
    ranked.sort_unstable();
    ranked.dedup_by_key(|(_, entry)| entry.address);
    let ranked = ranked.into_iter().map(|(_, entry)| entry);
    let mut data_centres = HashSet::new();
    let (first, others): (Vec<&EntryAddress>, Vec<_>) =
        ranked.partition(|entry| data_centres.insert(entry.data_centre.as_str()));
    let chosen = first.into_iter().chain(others).take(HOLDERS);
    chosen.map(|entry| entry.address).collect()
}

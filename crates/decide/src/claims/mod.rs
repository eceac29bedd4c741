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
mod limits;
mod table;

pub use {
    claimant::{ClaimDecision, ClaimRequest, ClaimState, Claims},
    limits::ClaimLimits,
    table::{ClaimOwner, ClaimTable},
};

use {
    crate::rendezvous,
    std::{cmp::Reverse, collections::HashSet, net::SocketAddr},
    sycamorerail_wire::runs::{CallerJobId, EntryAddress},
};

/// Number of holders of a claim: a majority answers while one of them is lost.
pub const HOLDERS: usize = 3;

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

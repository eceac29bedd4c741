//! Which entries vote on claims.
//!
//! The platform keeps one numbered list of voters ([`VoterList`]). An entry that is gone stays on
//! it until the others have agreed on a list without it: silence, or the end of a lease, alone
//! takes nobody's vote.
//!
//! A change goes over a list with two sets of voters, of which both decide, and ends once
//!
//! - half of the old voters have adopted that list, and tell so in the roster;
//! - each other old voter is missing there, so that it can't vote by its lease any more;
//! - the time has passed after which it can't vote by the word of a majority either, and its
//!   claimants have given their jobs up.
//!
//! [`Electorate`] is what an entry knows of the list, and decides whether it votes;
//! [`VoterChanges`] decides when the list is to be changed. [`leave_out`] is the list without voters
//! that are gone for good by the word of an operator.

mod changes;
mod electorate;
mod leave_out;

pub use {
    changes::{RosterEntry, VoterChanges},
    electorate::{Electorate, RosterLease, VotersAnswer},
    leave_out::{LEAVE_OUT_AFTER_MS, LeaveOutError, leave_out},
};

use {
    crate::claims::ClaimLimits,
    std::net::SocketAddr,
    sycamorerail_wire::runs::{EntryAddress, VoterList},
};

/// A voter whose lease is not known to be alive votes while a majority has told it within this
/// time that its list is in force, in milliseconds: several messages, so that a connection may be
/// replaced between them.
pub const CONTACT_WITHIN_MS: u64 = 1_500;
/// One of two voters that has voted within this time, in milliseconds, vouches for its list to the
/// other one if that has started again.
const VOUCH_WITHIN_MS: u64 = 3_000;
/// Voters of a list of two.
const PAIR: usize = 2;
/// What the settling of a change allows for messages and timers, in milliseconds.
const SETTLE_SLACK_MS: u64 = 400;

/// Time after which nobody votes on a list, and nothing runs by it, once half of its voters have
/// adopted a later one and the others are missing in the roster, in milliseconds. The platform
/// may end a lease before its time, which its entry learns with the next renewal.
#[must_use]
pub fn settle_ms(limits: &ClaimLimits, lease_ms: u64, voters: usize) -> u64 {
    // One of two may have gone back to the list, and its earlier process is in the roster until
    // its lease ends.
    let vouched_ms = if voters == PAIR { VOUCH_WITHIN_MS + lease_ms } else { 0 };
    let voted_ms = CONTACT_WITHIN_MS.max(lease_ms);
    voted_ms + limits.outlast_ms().max(vouched_ms) + SETTLE_SLACK_MS
}

/// What a reading of the platform's list of voters has shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VotersRead {
    /// There is none. Nobody has voted before, as nobody votes without a list.
    Absent,
    /// There is one, which can't be read.
    Unreadable,
    /// The list.
    List(VoterList),
}

/// The sets of voters of a list, of which each has to decide by a majority. None without a list.
#[derive(Clone, Copy, Debug, Default)]
pub struct VoterSets<'a> {
    present: &'a [EntryAddress],
    next: &'a [EntryAddress],
}

impl<'a> VoterSets<'a> {
    /// The sets, at most two.
    pub fn iter(self) -> impl Iterator<Item = &'a [EntryAddress]> {
        [self.present, self.next].into_iter().filter(|set| !set.is_empty())
    }

    /// The voters of both sets.
    pub fn voters(self) -> impl Iterator<Item = &'a EntryAddress> {
        let is_other = move |entry: &&EntryAddress| !self.present.contains(entry);
        self.present.iter().chain(self.next.iter().filter(is_other))
    }

    /// Whether an entry is a voter.
    #[must_use]
    pub fn contains(self, entry: SocketAddr) -> bool {
        self.voters().any(|voter| voter.address == entry)
    }
}

impl<'a> From<&'a [EntryAddress]> for VoterSets<'a> {
    fn from(voters: &'a [EntryAddress]) -> Self {
        Self { present: voters, next: &[] }
    }
}

impl<'a> From<&'a Vec<EntryAddress>> for VoterSets<'a> {
    fn from(voters: &'a Vec<EntryAddress>) -> Self {
        voters.as_slice().into()
    }
}

impl<'a> From<&'a VoterList> for VoterSets<'a> {
    fn from(list: &'a VoterList) -> Self {
        Self { present: &list.voters, next: &list.next }
    }
}

/// Number of the voters of a set that `is_in` names.
fn count(voters: &[EntryAddress], is_in: impl Fn(SocketAddr) -> bool) -> usize {
    voters.iter().filter(|voter| is_in(voter.address)).count()
}

/// Whether some voters of a set are a majority, by whose word a list is in force.
pub fn is_majority(voters: &[EntryAddress], is_in: impl Fn(SocketAddr) -> bool) -> bool {
    count(voters, is_in) * 2 > voters.len()
}

/// Whether some voters of a set are enough to change the list: each majority has one of them.
fn is_half(voters: &[EntryAddress], is_in: impl Fn(SocketAddr) -> bool) -> bool {
    count(voters, is_in) * 2 >= voters.len()
}

//! When the list of voters is to be changed, and to what.

use {
    super::{VoterSets, is_half, settle_ms},
    crate::claims::ClaimLimits,
    std::{collections::HashMap, net::SocketAddr},
    sycamorerail_wire::runs::{EntryAddress, VoterList},
};

/// A voter that is missing from the roster for this long is to be left out, in milliseconds. An
/// entry that starts again, or whose lease has ended while the platform was away, is back sooner.
const MISSING_AFTER_MS: u64 = 2_500;
/// Entries that join within this time do so by one change, in milliseconds.
const GATHER_MS: u64 = 500;
/// Entries of a new deployment are in the roster within this time of the first one's start, in
/// milliseconds.
const FIRST_LIST_AFTER_MS: u64 = 600;
/// An entry leaves this time to each one before it in the roster, in milliseconds, so that one of
/// them writes.
const TURN_MS: u64 = 300;

/// An entry of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    /// The entry.
    pub entry: EntryAddress,
    /// Number of the list of voters that it has adopted.
    pub voters_number: u64,
}

/// What an entry has seen of the roster that changes the list of voters.
#[derive(Debug)]
pub struct VoterChanges {
    own: SocketAddr,
    limits: ClaimLimits,
    lease_ms: u64,
    /// Since when each voter has been missing from the roster.
    missing_ms: HashMap<SocketAddr, u64>,
    /// The list that is wanted in place of the present one, and since when.
    wanted: Option<(VoterList, u64)>,
}

/// A list that is to follow once it has been wanted for some time.
struct Wanted {
    list: VoterList,
    after_ms: u64,
}

impl VoterChanges {
    /// Creates the state of an entry that has seen no roster. Entries are there under leases of
    /// this time, in milliseconds.
    #[must_use]
    pub fn new(own: SocketAddr, limits: ClaimLimits, lease_ms: u64) -> Self {
        Self { own, limits, lease_ms, missing_ms: HashMap::new(), wanted: None }
    }

    /// Returns the list to write in place of `list`, if it is time. The roster has to be one of the
    /// revision of the list or a later one.
    pub fn next(
        &mut self,
        list: Option<&VoterList>,
        roster: &[RosterEntry],
        now_ms: u64,
    ) -> Option<VoterList> {
        let wanted = match list {
            None => first_list(roster),
            Some(list) => self.change(list, roster, now_ms),
        };
        let Some(Wanted { list, after_ms }) = wanted else {
            self.wanted = None;
            return None;
        };
        self.wanted = self.wanted.take().filter(|(before, _)| *before == list);
        let (_, since_ms) = *self.wanted.get_or_insert((list.clone(), now_ms));
        (now_ms >= since_ms + after_ms + self.turn_ms(roster)).then_some(list)
    }

    /// Entries that have joined become voters, and those that are missing for long end as such. Less
    /// than half of the voters change nothing.
    fn change(&mut self, list: &VoterList, roster: &[RosterEntry], now_ms: u64) -> Option<Wanted> {
        let next = self.next_voters(list, roster, now_ms);
        let is_under_way = !list.next.is_empty();
        if is_under_way && next == list.next {
            return self.end_of_change(list, roster);
        }
        if !is_under_way && next == list.voters {
            return None;
        }
        // One change takes the place of another one under way: both need the same old voters.
        let is_enough = is_half(&list.voters, |entry| find(roster, entry).is_some());
        let voters = list.voters.clone();
        let list = VoterList { number: list.number + 1, voters, next };
        is_enough.then_some(Wanted { list, after_ms: GATHER_MS })
    }

    /// The next voters take the place of the old ones once these agree, and half of the next ones
    /// are there to change the list again.
    fn end_of_change(&self, list: &VoterList, roster: &[RosterEntry]) -> Option<Wanted> {
        let is_served = is_half(&list.next, |entry| find(roster, entry).is_some());
        let after_ms = settle_ms(&self.limits, self.lease_ms, list.voters.len());
        let ended =
            VoterList { number: list.number + 1, voters: list.next.clone(), next: Vec::new() };
        (is_served && is_agreed(list, roster)).then_some(Wanted { list: ended, after_ms })
    }

    /// The voters that are to follow those of a list, as the roster shows.
    fn next_voters(
        &mut self,
        list: &VoterList,
        roster: &[RosterEntry],
        now_ms: u64,
    ) -> Vec<EntryAddress> {
        let all: Vec<_> = VoterSets::from(list).voters().collect();
        let is_missing = |entry: SocketAddr| find(roster, entry).is_none();
        self.missing_ms.retain(|entry, _| is_missing(*entry));
        for entry in all.iter().map(|entry| entry.address).filter(|entry| is_missing(*entry)) {
            self.missing_ms.entry(entry).or_insert(now_ms);
        }
        let under_way = if list.next.is_empty() { &list.voters } else { &list.next };
        let stays = |entry: &&&EntryAddress| match self.missing_ms.get(&entry.address) {
            Some(missing_ms) => {
                now_ms < missing_ms + MISSING_AFTER_MS && under_way.contains(*entry)
            }
            None => true,
        };
        let is_new = |entry: &&EntryAddress| all.iter().all(|known| known.address != entry.address);
        let join = roster.iter().map(|entry| &entry.entry).filter(is_new);
        all.iter().filter(stays).copied().chain(join).cloned().collect()
    }

    fn turn_ms(&self, roster: &[RosterEntry]) -> u64 {
        let before = roster.iter().filter(|entry| entry.entry.address < self.own).count();
        before as u64 * TURN_MS
    }
}

/// The first list of a deployment. Which entries it names does not matter to safety, as nobody
/// votes without one. An entry that has adopted one shows that the list was lost.
fn first_list(roster: &[RosterEntry]) -> Option<Wanted> {
    if roster.iter().any(|entry| entry.voters_number > 0) {
        return None;
    }
    let voters: Vec<_> = roster.iter().map(|entry| entry.entry.clone()).collect();
    let list = VoterList { number: 1, voters, next: Vec::new() };
    (!list.voters.is_empty()).then_some(Wanted { list, after_ms: FIRST_LIST_AFTER_MS })
}

/// Whether half of the old voters have adopted a change, and the others can't vote any more.
fn is_agreed(list: &VoterList, roster: &[RosterEntry]) -> bool {
    let has_adopted =
        |entry| find(roster, entry).is_some_and(|entry| entry.voters_number >= list.number);
    let has_ended = |entry| has_adopted(entry) || find(roster, entry).is_none();
    is_half(&list.voters, has_adopted) && list.voters.iter().all(|voter| has_ended(voter.address))
}

pub(super) fn find(roster: &[RosterEntry], entry: SocketAddr) -> Option<&RosterEntry> {
    roster.iter().find(|known| known.entry.address == entry)
}

//! When the list of voters is to be changed, and to what.

use {
    super::{is_majority, settle_ms},
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
    /// Since when each voter has been missing from the roster.
    missing_ms: HashMap<SocketAddr, u64>,
    /// Since when a change is wanted, with the number of the list before it.
    wanted: Option<(u64, u64)>,
}

/// A list that is to follow once it has been wanted for some time.
struct Wanted {
    list: VoterList,
    after_ms: u64,
}

impl VoterChanges {
    /// Creates the state of an entry that has seen no roster.
    #[must_use]
    pub fn new(own: SocketAddr, limits: ClaimLimits) -> Self {
        Self { own, limits, missing_ms: HashMap::new(), wanted: None }
    }

    /// Returns the list to write in place of `list`, if it is time. The roster has to be one of the
    /// revision of the list or a later one. `is_out` tells of voters without agents, so that
    /// nothing that they grant could run.
    pub fn next(
        &mut self,
        list: Option<&VoterList>,
        roster: &[RosterEntry],
        is_out: impl Fn(SocketAddr) -> bool,
        now_ms: u64,
    ) -> Option<VoterList> {
        let wanted = match list {
            None => first_list(roster),
            Some(list) if list.next.is_empty() => self.change(list, roster, is_out, now_ms),
            Some(list) => self.end_of_change(list, roster, is_out),
        };
        let number = list.map_or(0, |list| list.number);
        self.wanted = self.wanted.filter(|(of, _)| wanted.is_some() && *of == number);
        let Wanted { list, after_ms } = wanted?;
        let (_, since_ms) = *self.wanted.get_or_insert((number, now_ms));
        (now_ms >= since_ms + after_ms + self.turn_ms(roster)).then_some(list)
    }

    /// Entries that have joined become voters, and those that are missing for long end as such. A
    /// minority of the voters changes nothing.
    fn change(
        &mut self,
        list: &VoterList,
        roster: &[RosterEntry],
        is_out: impl Fn(SocketAddr) -> bool,
        now_ms: u64,
    ) -> Option<Wanted> {
        let is_present = |entry: SocketAddr| find(roster, entry).is_some();
        let is_missing = |entry: &SocketAddr| !is_present(*entry);
        let voters = || list.voters.iter().map(|voter| voter.address);
        self.missing_ms
            .retain(|entry, _| voters().any(|voter| voter == *entry) && is_missing(entry));
        for entry in voters().filter(is_missing) {
            self.missing_ms.entry(entry).or_insert(now_ms);
        }
        let is_gone = |entry: SocketAddr| {
            let missing_ms = self.missing_ms.get(&entry);
            missing_ms.is_some_and(|missing_ms| now_ms >= missing_ms + MISSING_AFTER_MS)
        };
        let stay = list.voters.iter().filter(|voter| !is_gone(voter.address));
        let is_new = |entry: &&EntryAddress| voters().all(|voter| voter != entry.address);
        let join = roster.iter().map(|entry| &entry.entry).filter(is_new);
        let next: Vec<_> = stay.chain(join).cloned().collect();
        let is_wanted = next != list.voters && is_majority(&list.voters, is_present, is_out);
        let voters = list.voters.clone();
        let list = VoterList { number: list.number + 1, voters, next };
        is_wanted.then_some(Wanted { list, after_ms: GATHER_MS })
    }

    /// A change ends once a majority of the old voters has adopted it, and the others can't vote
    /// any more.
    fn end_of_change(
        &self,
        list: &VoterList,
        roster: &[RosterEntry],
        is_out: impl Fn(SocketAddr) -> bool,
    ) -> Option<Wanted> {
        let has_adopted =
            |entry| find(roster, entry).is_some_and(|entry| entry.voters_number >= list.number);
        let has_ended = |entry| has_adopted(entry) || find(roster, entry).is_none();
        let is_agreed = is_majority(&list.voters, has_adopted, is_out)
            && list.voters.iter().all(|voter| has_ended(voter.address));
        let list =
            VoterList { number: list.number + 1, voters: list.next.clone(), next: Vec::new() };
        is_agreed.then_some(Wanted { list, after_ms: settle_ms(&self.limits) })
    }

    fn turn_ms(&self, roster: &[RosterEntry]) -> u64 {
        let before = roster.iter().filter(|entry| entry.entry.address < self.own).count();
        before as u64 * TURN_MS
    }
}

/// The first list of a deployment. Which entries it names does not matter to safety, as nobody
/// votes without one.
fn first_list(roster: &[RosterEntry]) -> Option<Wanted> {
    let voters: Vec<_> = roster.iter().map(|entry| entry.entry.clone()).collect();
    let list = VoterList { number: 1, voters, next: Vec::new() };
    (!list.voters.is_empty()).then_some(Wanted { list, after_ms: FIRST_LIST_AFTER_MS })
}

pub(super) fn find(roster: &[RosterEntry], entry: SocketAddr) -> Option<&RosterEntry> {
    roster.iter().find(|known| known.entry.address == entry)
}

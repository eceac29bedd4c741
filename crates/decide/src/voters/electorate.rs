//! The list of voters that an entry has adopted, and whether it may vote by it.

use {
    super::{CONTACT_WITHIN_MS, PAIR, VOUCH_WITHIN_MS, VoterSets, is_majority},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    sycamorerail_wire::runs::VoterList,
};

/// A voter whose lease ends within this time asks the others, in milliseconds, so that it votes
/// on by their word.
const LEASE_SPARE_MS: u64 = 1_500;

/// What an entry tells others of its list of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VotersAnswer {
    /// Number of the list; 0 without one.
    pub number: u64,
    /// Whether the entry can say that the list is in force.
    pub has_word: bool,
    /// Whether it has voted by the list lately.
    pub vouches: bool,
}

/// The lease under which the platform keeps this entry in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RosterLease {
    /// Platform revision at which the entry was written under it.
    pub revision: u64,
    /// Until when it is surely alive, in milliseconds.
    pub until_ms: u64,
}

/// What an entry knows of the list of voters.
#[derive(Debug)]
pub struct Electorate {
    own: SocketAddr,
    list: Option<Arc<VoterList>>,
    /// Whether a list was read at the platform since this entry has started, or is vouched for.
    /// Before, it may have adopted a later list than it knows of.
    has_word: bool,
    /// When the last message was sent to each entry that has answered it with the word that this
    /// entry's list is in force.
    contacts_ms: HashMap<SocketAddr, u64>,
    lease: Option<RosterLease>,
    /// When this entry last had a vote by the list.
    voted_ms: Option<u64>,
    /// Platform revision as of which the list was read there.
    read_revision: u64,
}

impl Electorate {
    /// Creates the state of an entry that knows of no list, and has no vote.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            list: None,
            has_word: false,
            contacts_ms: HashMap::new(),
            lease: None,
            voted_ms: None,
            read_revision: 0,
        }
    }

    /// The list that was adopted.
    #[must_use]
    pub fn list(&self) -> Option<&Arc<VoterList>> {
        self.list.as_ref()
    }

    /// The number of the list that was adopted, 0 without one.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.list.as_ref().map_or(0, |list| list.number)
    }

    /// The sets of voters of the list that was adopted.
    #[must_use]
    pub fn sets(&self) -> VoterSets<'_> {
        self.list.as_deref().map_or_else(VoterSets::default, VoterSets::from)
    }

    /// Adopts a list of the platform, as of one of its revisions, if it is later than this one's.
    /// Returns whether it is.
    pub fn read(&mut self, list: Option<VoterList>, revision: u64) -> bool {
        self.read_revision = self.read_revision.max(revision);
        list.is_some_and(|list| {
            self.has_word = true;
            self.adopt(list)
        })
    }

    /// Adopts the list of another entry, if it is later than this one's. Returns whether it is.
    pub fn told(&mut self, list: VoterList) -> bool {
        self.adopt(list)
    }

    fn adopt(&mut self, list: VoterList) -> bool {
        if list.number <= self.number() || list.voters.is_empty() {
            return false;
        }
        self.list = Some(Arc::new(list));
        // These have answered with the list before.
        self.contacts_ms.clear();
        self.voted_ms = None;
        true
    }

    /// Records that an entry has answered a message of some time.
    pub fn answered(&mut self, entry: SocketAddr, answer: VotersAnswer, sent_ms: u64) {
        if answer.number != self.number() {
            return;
        }
        // The other one of two has no majority without this one to tell it the list.
        self.has_word |= answer.vouches && self.sets().voters().count() == PAIR;
        if answer.has_word {
            let contact_ms = self.contacts_ms.entry(entry).or_default();
            *contact_ms = sent_ms.max(*contact_ms);
        }
    }

    /// What this entry tells others of its list.
    #[must_use]
    pub fn answer(&self, now_ms: u64) -> VotersAnswer {
        let is_lately = |voted_ms: u64| now_ms < voted_ms + VOUCH_WITHIN_MS;
        VotersAnswer {
            number: self.number(),
            has_word: self.has_word,
            vouches: self.voted_ms.is_some_and(is_lately),
        }
    }

    /// Records the lease, or that it has ended.
    pub fn set_lease(&mut self, lease: Option<RosterLease>) {
        self.lease = lease;
    }

    /// Whether the list is surely in force at some time by the lease: nobody votes by a later one
    /// before the lease has ended. A list that was read before the lease began may be an old one.
    fn is_leased(&self, at_ms: u64) -> bool {
        self.lease
            .is_some_and(|lease| at_ms < lease.until_ms && self.read_revision >= lease.revision)
    }

    /// Whether this entry votes: its lease is alive, or a majority of the voters has told it lately
    /// that the list is in force.
    pub fn has_vote(&mut self, now_ms: u64) -> bool {
        let has_vote = self.may_vote(now_ms);
        if has_vote {
            self.voted_ms = Some(now_ms);
        }
        has_vote
    }

    /// Whether this entry votes on claims whose holders are those of the list of this number. A claim
    /// of an entry that is two lists behind may have a majority that has nobody of the present one.
    pub fn votes_on(&mut self, voters_number: u64, now_ms: u64) -> bool {
        voters_number == self.number() && self.has_vote(now_ms)
    }

    /// The same without a note that it has voted.
    #[must_use]
    pub fn may_vote(&self, now_ms: u64) -> bool {
        let is_in_contact = |entry| {
            let contact_ms = self.contacts_ms.get(&entry);
            entry == self.own
                || contact_ms.is_some_and(|contact_ms| now_ms < contact_ms + CONTACT_WITHIN_MS)
        };
        let sets = self.sets();
        self.has_word
            && sets.contains(self.own)
            && (self.is_leased(now_ms) || sets.iter().all(|set| is_majority(set, is_in_contact)))
    }

    /// Whether this entry knows so little of the voters that no claim can be granted: it has no
    /// list, or is one of two voters and has no word yet.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        self.list.is_none() || !self.has_word && self.sets().voters().count() == PAIR
    }

    /// Whether other entries have to be asked for their lists: this one has none, or its lease may
    /// end soon.
    #[must_use]
    pub fn needs_contacts(&self, now_ms: u64) -> bool {
        self.list.is_none()
            || self.sets().contains(self.own) && !self.is_leased(now_ms + LEASE_SPARE_MS)
    }
}

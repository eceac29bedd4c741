//! The list of voters that an entry has adopted, and whether it may vote by it.

use {
    super::{CONTACT_WITHIN_MS, VOUCH_WITHIN_MS, VoterSets, is_majority},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    sycamorerail_wire::runs::VoterList,
};

/// A voter whose lease ends within this time asks the others, in milliseconds, so that it votes
/// on by their word.
const LEASE_SPARE_MS: u64 = 1_500;

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
    /// Lists that other entries have told this one before it has one.
    told: HashMap<SocketAddr, VoterList>,
    /// When the last message was sent to each entry that has answered it with this entry's list.
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
            told: HashMap::new(),
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
        let is_new = list.is_some_and(|list| self.adopt(list));
        self.read_revision = self.read_revision.max(revision);
        is_new
    }

    /// Takes note of the list of another entry, and adopts it if it is later than this one's. An
    /// entry without a list adopts one that another vouches for, as it has voted lately, or that a
    /// majority of its voters has told: a single one may have missed the change to a later list
    /// that this entry had adopted before it started again. Returns whether it has adopted one.
    pub fn told(&mut self, list: VoterList, by: SocketAddr, is_vouched: bool) -> bool {
        if self.list.is_some() || is_vouched {
            return self.adopt(list);
        }
        let number = list.number;
        self.told.insert(by, list.clone());
        let has_told = |entry| self.told.get(&entry).is_some_and(|told| told.number == number);
        let is_told = |set| is_majority(set, has_told, |_| false);
        VoterSets::from(&list).iter().all(is_told) && self.adopt(list)
    }

    fn adopt(&mut self, list: VoterList) -> bool {
        if list.number <= self.number() || list.voters.is_empty() {
            return false;
        }
        self.list = Some(Arc::new(list));
        self.told.clear();
        // These have answered with the list before.
        self.contacts_ms.clear();
        self.voted_ms = None;
        true
    }

    /// Records that an entry with a list of this number has answered a message of some time.
    pub fn answered(&mut self, entry: SocketAddr, number: u64, sent_ms: u64) {
        if number == self.number() {
            let contact_ms = self.contacts_ms.entry(entry).or_default();
            *contact_ms = sent_ms.max(*contact_ms);
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

    /// Whether this entry votes: its lease is alive, or a majority of the voters that are not out
    /// has told it lately that the list is in force.
    pub fn has_vote(&mut self, is_out: impl Fn(SocketAddr) -> bool, now_ms: u64) -> bool {
        let has_vote = self.may_vote(is_out, now_ms);
        if has_vote {
            self.voted_ms = Some(now_ms);
        }
        has_vote
    }

    /// Whether this entry had a vote by its list so lately that it vouches for it.
    #[must_use]
    pub fn vouches(&self, now_ms: u64) -> bool {
        self.voted_ms.is_some_and(|voted_ms| now_ms < voted_ms + VOUCH_WITHIN_MS)
    }

    fn may_vote(&self, is_out: impl Fn(SocketAddr) -> bool, now_ms: u64) -> bool {
        let is_in_contact = |entry| {
            let contact_ms = self.contacts_ms.get(&entry);
            entry == self.own
                || contact_ms.is_some_and(|contact_ms| now_ms < contact_ms + CONTACT_WITHIN_MS)
        };
        let sets = self.sets();
        sets.contains(self.own)
            && (self.is_leased(now_ms)
                || sets.iter().all(|set| is_majority(set, is_in_contact, &is_out)))
    }

    /// Whether other entries have to be asked for their lists: this one has none, or its lease may
    /// end soon.
    #[must_use]
    pub fn needs_contacts(&self, now_ms: u64) -> bool {
        self.list.is_none()
            || self.sets().contains(self.own) && !self.is_leased(now_ms + LEASE_SPARE_MS)
    }
}

//! The list of voters in force at this entry, and the messages that it needs to vote.

use {
    super::{JobService, by_data_centre},
    parking_lot::{Mutex, MutexGuard},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    sycamorerail_decide::{
        claims::ClaimLimits,
        voters::{Electorate, RosterLease, VoterSets, VotersRead},
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::runs::{EntryAddress, VoterList},
    tokio::sync::watch,
};

/// Pause between messages to other voters by which this entry learns whether its list is in force,
/// in milliseconds. Several are answered in the time for which it votes by them.
const CONTACT_PAUSE_MS: u64 = 400;

/// What this entry knows of the voters.
pub(super) struct Voters {
    /// Locked after the table of claims.
    electorate: Mutex<Electorate>,
    /// The list in force.
    list: watch::Sender<Option<Arc<VoterList>>>,
    /// When other voters were last asked for their lists.
    contacted_ms: AtomicU64,
    /// Whether this entry had a vote lately, for the log.
    had_vote: AtomicBool,
    /// Whether the platform's list was not read yet.
    is_unread: AtomicBool,
    /// Whether the settings say that the whole system starts for the first time.
    is_first_start: AtomicBool,
}

impl Voters {
    /// An entry without others, the only voter.
    pub(super) fn alone(own: EntryAddress) -> Self {
        let mut electorate = Electorate::new(own.address);
        electorate.set_lease(Some(RosterLease { revision: 1, until_ms: u64::MAX }));
        let list = VoterList { number: 1, voters: vec![own], next: Vec::new() };
        electorate.read(Some(list), 1);
        let list = watch::Sender::new(electorate.list().cloned());
        Self {
            electorate: Mutex::new(electorate),
            list,
            contacted_ms: AtomicU64::new(0),
            had_vote: AtomicBool::new(true),
            is_unread: AtomicBool::new(false),
            is_first_start: AtomicBool::new(false),
        }
    }

    pub(super) fn electorate(&self) -> MutexGuard<'_, Electorate> {
        self.electorate.lock()
    }

    /// The list in force, if one is known.
    pub(super) fn list(&self) -> Option<Arc<VoterList>> {
        self.list.borrow().clone()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Option<Arc<VoterList>>> {
        self.list.subscribe()
    }

    /// Whether other voters are to be asked now for their lists.
    fn are_contacts_due(&self, now_ms: u64) -> bool {
        let contacted_ms = self.contacted_ms.load(Ordering::Relaxed);
        let is_due = now_ms >= contacted_ms + CONTACT_PAUSE_MS
            && self.electorate.lock().needs_contacts(now_ms);
        if is_due {
            self.contacted_ms.store(now_ms, Ordering::Relaxed);
        }
        is_due
    }
}

/// The sets of voters of a list, none without one.
pub(super) fn sets(list: Option<&VoterList>) -> VoterSets<'_> {
    list.map_or_else(VoterSets::default, VoterSets::from)
}

impl JobService {
    /// Takes the voters from the platform's list, and from other entries, from now on. Until one
    /// is known this entry neither votes nor starts jobs, and until claims are over that an earlier
    /// process of it may have granted it grants none.
    ///
    /// It need not wait where the settings say that the whole system starts for the first time, and
    /// the platform's first reading shows no list. The settings alone may be those of an earlier
    /// start.
    pub fn follow_voters(&self, is_first_start: bool) {
        self.wait_for_earlier_claims();
        self.voters.is_unread.store(true, Ordering::Relaxed);
        self.voters.is_first_start.store(is_first_start, Ordering::Relaxed);
        *self.voters.electorate.lock() = Electorate::new(self.settings.own);
        self.voters.list.send_replace(None);
        self.claims.set_list(None);
    }

    /// Takes note of the platform's list of voters, as of one of its revisions.
    pub fn read_voters(&self, read: VotersRead, revision: u64) {
        if self.voters.is_unread.swap(false, Ordering::Relaxed) {
            let is_first_start = self.voters.is_first_start.load(Ordering::Relaxed);
            self.note_first_reading(&read, is_first_start);
        }
        let list = match read {
            VotersRead::List(list) => Some(list),
            VotersRead::Absent => None,
            // It may be a later one, so that the one before is not known to be in force.
            VotersRead::Unreadable => return,
        };
        self.adopt_voters("platform", |electorate| electorate.read(list, revision));
    }

    /// Before the list is adopted, so that this entry has no vote yet.
    fn note_first_reading(&self, read: &VotersRead, is_first_start: bool) {
        // A list that others have told is one that the platform has lost.
        let is_absent = *read == VotersRead::Absent && self.voters.list().is_none();
        if is_first_start && is_absent {
            self.rule_out_earlier_claims();
        }
        event!(
            Info,
            "voters_first_read",
            first_start = is_first_start,
            absent = is_absent,
            grants_in_ms = self.grants_in_ms(),
        );
    }

    /// Takes note of the list of voters that another entry has.
    pub(super) fn voters_told(&self, list: VoterList) {
        self.adopt_voters("entries", |electorate| electorate.told(list));
    }

    fn adopt_voters(&self, source: &str, adopt: impl FnOnce(&mut Electorate) -> bool) {
        let mut electorate = self.voters.electorate.lock();
        if !adopt(&mut electorate) {
            return;
        }
        // Under the lock, so that an earlier list doesn't overtake a later one.
        self.voters.list.send_replace(electorate.list().cloned());
        let Some(list) = electorate.list().cloned() else { return };
        drop(electorate);
        // Others are asked at once whether it is in force.
        self.voters.contacted_ms.store(0, Ordering::Relaxed);
        event!(
            Info,
            "voters_changed",
            number = list.number,
            voters = list.voters.len(),
            data_centres = by_data_centre(&list.voters),
            next = list.next.len(),
            next_data_centres = by_data_centre(&list.next),
            source = source,
        );
        metrics::gauge!("sycamorerail_voters").set(list.voters.len() as f64);
    }

    /// The list of voters in force, if one is known. Wakes when it changes.
    #[must_use]
    pub fn voters(&self) -> watch::Receiver<Option<Arc<VoterList>>> {
        self.voters.subscribe()
    }

    /// Records the lease under which this entry is in the roster, or that it has ended.
    pub fn set_roster_lease(&self, lease: Option<RosterLease>) {
        self.voters.electorate.lock().set_lease(lease);
    }

    /// Limits of claims, which tell when a change of voters has settled.
    #[must_use]
    pub fn claim_limits(&self) -> ClaimLimits {
        self.claims.limits()
    }

    /// Whether this entry votes now.
    pub(super) fn has_vote(&self, now_ms: u64) -> bool {
        let has_vote = self.voters.electorate.lock().has_vote(now_ms);
        if self.voters.had_vote.swap(has_vote, Ordering::Relaxed) != has_vote {
            event!(Info, "vote_changed", has_vote = has_vote);
        }
        has_vote
    }

    /// The same for the log, which is no vote.
    pub(super) fn may_vote(&self, now_ms: u64) -> bool {
        self.voters.electorate.lock().may_vote(now_ms)
    }

    /// Number of the list of voters in force; 0 if none is known.
    pub(super) fn voters_number(&self) -> u64 {
        self.voters.list().map_or(0, |list| list.number)
    }

    /// Whether this entry votes on claims whose holders are those of the list of this number.
    pub(super) fn votes_on(&self, voters_number: u64, now_ms: u64) -> bool {
        self.has_vote(now_ms) && self.voters.electorate.lock().votes_on(voters_number, now_ms)
    }

    /// Entries to ask for their lists of voters, if it is time.
    pub(super) fn due_contacts(&self, now_ms: u64) -> Vec<SocketAddr> {
        if !self.voters.are_contacts_due(now_ms) {
            return Vec::new();
        }
        let own = self.settings.own;
        let entries: Vec<_> = match self.voters.list() {
            Some(list) => VoterSets::from(&*list).voters().map(|voter| voter.address).collect(),
            None => self.cluster.lock().all().into_iter().collect(),
        };
        entries.into_iter().filter(|entry| *entry != own).collect()
    }
}

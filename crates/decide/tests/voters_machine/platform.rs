//! The platform: keys with revisions, leases, and calls that are carried out late or never.

use {
    std::{collections::BTreeMap, rc::Rc},
    sycamorerail_wire::runs::VoterList,
};

/// Lifetime of a lease after a renewal: 3 s by a clock that is two percent faster than the
/// entries' ones.
const LEASE_MS: u64 = 2_940;

/// A key of the roster.
#[derive(Clone, Copy)]
pub struct RosterKey {
    pub voters_number: u64,
    pub lease: u64,
    pub modified: u64,
}

/// All keys as of one revision.
#[derive(Clone, Default)]
pub struct Snapshot {
    pub revision: u64,
    pub at_ms: u64,
    /// The list of voters, and the revision of its last change.
    pub list: Option<(VoterList, u64)>,
    pub roster: BTreeMap<usize, RosterKey>,
}

/// A call of an entry.
#[derive(Clone)]
pub enum Call {
    /// Writes the entry's key under a new lease.
    Announce {
        voters_number: u64,
        called_ms: u64,
        expected: Option<u64>,
    },
    /// Writes it again under the same lease.
    Rewrite {
        voters_number: u64,
        expected: u64,
        lease: u64,
    },
    KeepAlive {
        lease: u64,
    },
    PutList {
        list: VoterList,
        expected: Option<u64>,
    },
    Read,
}

/// What came of a call.
pub enum Reply {
    Announced {
        lease: u64,
        revision: u64,
    },
    Written {
        revision: u64,
    },
    /// The key is another one: that of an earlier lease, if there is one.
    Differs {
        modified: Option<u64>,
    },
    Lost,
    Kept(bool),
    Read(Rc<Snapshot>),
}

pub struct Platform {
    /// What each change has left.
    history: Vec<Rc<Snapshot>>,
    /// When leases end.
    leases: BTreeMap<u64, u64>,
    last_lease: u64,
}

impl Platform {
    pub fn new() -> Self {
        Self {
            history: vec![Rc::new(Snapshot { revision: 1, ..Snapshot::default() })],
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }

    pub fn current(&self) -> &Rc<Snapshot> {
        self.history.last().unwrap()
    }

    /// The last state at some time.
    pub fn as_of(&self, at_ms: u64) -> &Rc<Snapshot> {
        let later = self.history.partition_point(|snapshot| snapshot.at_ms <= at_ms);
        &self.history[later.saturating_sub(1)]
    }

    fn change(&mut self, now_ms: u64, change: impl FnOnce(&mut Snapshot, u64)) -> u64 {
        let mut next = Snapshot::clone(self.current());
        next.revision += 1;
        next.at_ms = now_ms;
        let revision = next.revision;
        change(&mut next, revision);
        self.history.push(Rc::new(next));
        revision
    }

    /// Ends leases that are due.
    pub fn tick(&mut self, now_ms: u64) {
        let due: Vec<_> = self.leases.iter().filter(|(_, ends_ms)| **ends_ms <= now_ms).collect();
        let due: Vec<_> = due.into_iter().map(|(lease, _)| *lease).collect();
        for lease in due {
            self.end_lease(lease, now_ms);
        }
    }

    fn end_lease(&mut self, lease: u64, now_ms: u64) {
        self.leases.remove(&lease);
        let keys: Vec<_> =
            self.current().roster.iter().filter(|(_, key)| key.lease == lease).collect();
        let keys: Vec<_> = keys.into_iter().map(|(entry, _)| *entry).collect();
        for entry in keys {
            self.change(now_ms, |next, _| {
                next.roster.remove(&entry);
            });
        }
    }

    /// Keeps all leases for longer, as after a change of the platform's leader.
    pub fn prolong(&mut self, by_ms: u64) {
        self.leases.values_mut().for_each(|ends_ms| *ends_ms += by_ms);
    }

    pub fn carry_out(&mut self, entry: usize, call: &Call, now_ms: u64) -> Reply {
        match call {
            Call::Announce { voters_number, called_ms, expected } => {
                let ends_ms = called_ms + LEASE_MS;
                let modified = self.current().roster.get(&entry).map(|key| key.modified);
                if modified != *expected {
                    return Reply::Differs { modified };
                }
                if ends_ms <= now_ms {
                    return Reply::Lost;
                }
                self.last_lease += 1;
                let lease = self.last_lease;
                self.leases.insert(lease, ends_ms);
                let revision = self.put_entry(entry, *voters_number, lease, now_ms);
                Reply::Announced { lease, revision }
            }
            Call::Rewrite { voters_number, expected, lease } => {
                let is_same =
                    self.current().roster.get(&entry).is_some_and(|key| key.modified == *expected);
                if !is_same || !self.leases.contains_key(lease) {
                    return Reply::Lost;
                }
                let revision = self.put_entry(entry, *voters_number, *lease, now_ms);
                Reply::Written { revision }
            }
            Call::KeepAlive { lease } => {
                let ends_ms = self.leases.get_mut(lease);
                Reply::Kept(ends_ms.map(|ends_ms| *ends_ms = now_ms + LEASE_MS).is_some())
            }
            Call::PutList { list, expected } => {
                let modified = self.current().list.as_ref().map(|(_, modified)| *modified);
                if modified != *expected {
                    return Reply::Lost;
                }
                let list = list.clone();
                let put = |next: &mut Snapshot, revision| next.list = Some((list, revision));
                Reply::Written { revision: self.change(now_ms, put) }
            }
            Call::Read => Reply::Read(Rc::clone(self.current())),
        }
    }

    fn put_entry(&mut self, entry: usize, voters_number: u64, lease: u64, now_ms: u64) -> u64 {
        self.change(now_ms, |next, modified| {
            next.roster.insert(entry, RosterKey { voters_number, lease, modified });
        })
    }
}

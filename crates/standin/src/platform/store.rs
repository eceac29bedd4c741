//! The key-value store: revisions, transactions, leases and history. No I/O
//! and no clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Revision of an empty store.
const FIRST_REVISION: u64 = 1;

/// A key and what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision at which it was created.
    pub create_revision: u64,
    /// Revision of its last change.
    pub mod_revision: u64,
    /// Changes since its creation, that included.
    pub version: u64,
    /// The lease it is bound to; 0 for none.
    pub lease: u64,
}

/// One key, or all from one up to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// First key.
    pub key: Vec<u8>,
    /// First key beyond; empty for one key, `\0` for all from the first on.
    pub end: Vec<u8>,
}

impl KeyRange {
    fn holds(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.key;
        }
        key >= self.key.as_slice() && (self.end == b"\0" || key < self.end.as_slice())
    }
}

/// What a comparison looks at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Revision of creation; 0 for a key that does not exist.
    Create(u64),
    /// Revision of the last change; 0 for a key that does not exist.
    Mod(u64),
    /// Number of changes; 0 for a key that does not exist.
    Version(u64),
}

/// How a comparison relates the key's to the given number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// The same.
    Equal,
    /// Not the same.
    NotEqual,
    /// The key's is greater.
    Greater,
    /// The key's is less.
    Less,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key looked at.
    pub key: Vec<u8>,
    /// What of it, and the number given.
    pub target: Target,
    /// How they must relate.
    pub relation: Relation,
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Writes a key.
    Put {
        /// The key.
        key: Vec<u8>,
        /// Its new value.
        value: Vec<u8>,
        /// The lease to bind it to; 0 for none.
        lease: u64,
    },
    /// Deletes keys.
    Delete(KeyRange),
    /// Reads keys.
    Range(KeyRange),
}

/// A transaction: one branch runs as a whole, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// All must hold for `success` to run.
    pub compare: Vec<Compare>,
    /// Runs if all conditions hold.
    pub success: Vec<Operation>,
    /// Runs otherwise.
    pub failure: Vec<Operation>,
}

/// The answer to one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationAnswer {
    /// Written.
    Put,
    /// So many keys were deleted.
    Delete(usize),
    /// The keys read.
    Range(Vec<Item>),
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnAnswer {
    /// Whether `success` ran.
    pub succeeded: bool,
    /// The store's revision after it.
    pub revision: u64,
    /// One answer a step.
    pub answers: Vec<OperationAnswer>,
}

/// Why the store refused a call; nothing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// There is no such lease.
    NoLease,
    /// A transaction may write a key only once.
    KeyTwice,
    /// A key must not be empty.
    EmptyKey,
}

/// The history asked for is gone; it begins at this revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted(pub u64);

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its revision.
    pub revision: u64,
    /// The key.
    pub key: Vec<u8>,
    /// The item written; none when the key was deleted.
    pub item: Option<Item>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_s: u64,
    ends_at_ms: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    items: BTreeMap<Vec<u8>, Item>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    history: VecDeque<Event>,
    most_events: usize,
    kept_from: u64,
}

impl Store {
    /// An empty store that keeps this many events. Leases get numbers from
    /// `first_lease` on.
    #[must_use]
    pub fn new(most_events: usize, first_lease: u64) -> Self {
        Self {
            revision: FIRST_REVISION,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: first_lease.max(1),
            history: VecDeque::new(),
            most_events,
            kept_from: 0,
        }
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads keys, in their order.
    #[must_use]
    pub fn range(&self, range: &KeyRange) -> Vec<Item> {
        let from = self.items.range(range.key.clone()..);
        let held = from.take_while(|(key, _)| range.holds(key));
        held.map(|(_, item)| item.clone()).collect()
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// When a step is refused; then none has run.
    pub fn transact(&mut self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        let succeeded = txn.compare.iter().all(|compare| self.compare(compare));
        let operations = if succeeded { &txn.success } else { &txn.failure };
        self.check(operations)?;
        let revision = self.revision + 1;
        let answers: Vec<_> = operations.iter().map(|step| self.run(step, revision)).collect();
        let wrote = |answer: &OperationAnswer| match answer {
            OperationAnswer::Put => true,
            OperationAnswer::Delete(deleted) => *deleted > 0,
            OperationAnswer::Range(_) => false,
        };
        if answers.iter().any(wrote) {
            self.end_revision(revision);
        }
        Ok(TxnAnswer { succeeded, revision: self.revision, answers })
    }

    fn compare(&self, compare: &Compare) -> bool {
        let item = self.items.get(&compare.key);
        let (held, given) = match compare.target {
            Target::Create(given) => (item.map_or(0, |item| item.create_revision), given),
            Target::Mod(given) => (item.map_or(0, |item| item.mod_revision), given),
            Target::Version(given) => (item.map_or(0, |item| item.version), given),
        };
        match compare.relation {
            Relation::Equal => held == given,
            Relation::NotEqual => held != given,
            Relation::Greater => held > given,
            Relation::Less => held < given,
        }
    }

    fn check(&self, operations: &[Operation]) -> Result<(), StoreError> {
        let mut written = BTreeSet::new();
        for operation in operations {
            let Operation::Put { key, lease, .. } = operation else { continue };
            if key.is_empty() {
                return Err(StoreError::EmptyKey);
            }
            if !written.insert(key) {
                return Err(StoreError::KeyTwice);
            }
            if *lease != 0 && !self.leases.contains_key(lease) {
                return Err(StoreError::NoLease);
            }
        }
        Ok(())
    }

    fn run(&mut self, operation: &Operation, revision: u64) -> OperationAnswer {
        match operation {
            Operation::Put { key, value, lease } => self.put(key, value, *lease, revision),
            Operation::Delete(range) => {
                let keys: Vec<_> = self.range(range).into_iter().map(|item| item.key).collect();
                OperationAnswer::Delete(self.delete(keys, revision))
            }
            Operation::Range(range) => OperationAnswer::Range(self.range(range)),
        }
    }

    fn put(&mut self, key: &[u8], value: &[u8], lease: u64, revision: u64) -> OperationAnswer {
        let old = self.items.get(key);
        let item = Item {
            key: key.to_vec(),
            value: value.to_vec(),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease,
        };
        self.history.push_back(Event { revision, key: key.to_vec(), item: Some(item.clone()) });
        self.items.insert(key.to_vec(), item);
        OperationAnswer::Put
    }

    fn delete(&mut self, keys: Vec<Vec<u8>>, revision: u64) -> usize {
        let deleted = keys.len();
        for key in keys {
            self.items.remove(&key);
            self.history.push_back(Event { revision, key, item: None });
        }
        deleted
    }

    fn end_revision(&mut self, revision: u64) {
        self.revision = revision;
        while self.history.len() > self.most_events {
            let Some(dropped) = self.history.pop_front() else { return };
            self.kept_from = dropped.revision + 1;
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl_s: u64, now_ms: u64) -> u64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let ttl_s = ttl_s.max(1);
        self.leases.insert(id, Lease { ttl_s, ends_at_ms: now_ms + ttl_s * 1_000 });
        id
    }

    /// Renews a lease; returns its time to live in seconds if it is alive.
    pub fn keep_alive(&mut self, id: u64, now_ms: u64) -> Option<u64> {
        self.expire(now_ms);
        let lease = self.leases.get_mut(&id)?;
        lease.ends_at_ms = now_ms + lease.ttl_s * 1_000;
        Some(lease.ttl_s)
    }

    /// Ends leases whose time is over and deletes their keys, one revision a
    /// lease. Returns whether a key was deleted.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let over = |lease: &Lease| lease.ends_at_ms <= now_ms;
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| over(lease)).map(|(id, _)| *id).collect();
        let before = self.revision;
        for id in ended {
            self.leases.remove(&id);
            let bound = self.items.values().filter(|item| item.lease == id);
            let keys: Vec<_> = bound.map(|item| item.key.clone()).collect();
            let revision = self.revision + 1;
            if self.delete(keys, revision) > 0 {
                self.end_revision(revision);
            }
        }
        self.revision != before
    }

    /// Changes in the range from a revision on, in their order.
    ///
    /// # Errors
    ///
    /// When a part of that history is gone.
    pub fn events(&self, range: &KeyRange, from_revision: u64) -> Result<Vec<Event>, Compacted> {
        if from_revision < self.kept_from {
            return Err(Compacted(self.kept_from));
        }
        let first = self.history.partition_point(|event| event.revision < from_revision);
        let events = self.history.range(first..);
        Ok(events.filter(|event| range.holds(&event.key)).cloned().collect())
    }
}

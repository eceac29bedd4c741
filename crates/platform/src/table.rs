//! The decisions of a mirror: what a copy of one prefix takes in, and what is
//! old and left out. No I/O and no clock.
//!
//! A table is exact as of its mark: it reflects every change up to there.
//! Items from peers may be ahead of the mark; a key never moves back.

use {
    crate::value::KeyValue,
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
};

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has this value from `KeyValue::modified` on.
    Put(KeyValue),
    /// The key is gone from this platform revision on.
    Delete {
        /// The key.
        key: String,
        /// Platform revision of the deletion.
        revision: u64,
    },
}

impl Change {
    /// Platform revision of the change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.modified,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// What became of changes, of a full copy, or of items from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// At least one key changed.
    Changed,
    /// No key changed; the mark may have grown.
    Unchanged,
    /// Older than the table, or changes in between are missing; left out.
    Refused,
}

/// A copy of one prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    // Shared, so that the next copy of the table costs no copy of the values.
    items: BTreeMap<String, Arc<KeyValue>>,
    mark: u64,
    newest: u64,
    synced: bool,
}

impl Table {
    /// Platform revision as of which the table is exact.
    #[must_use]
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Highest platform revision at which a key of the prefix is known to have
    /// changed. Unlike the mark it stands still while other prefixes change.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether there may be a change at this platform revision, told as the
    /// newest of another copy, that this one does not reflect.
    #[must_use]
    pub fn lacks(&self, newest_elsewhere: u64) -> bool {
        newest_elsewhere > self.newest.max(self.mark)
    }

    /// Whether a full copy was applied.
    #[must_use]
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// Items whose key has the prefix, in the order of keys.
    pub fn list<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a KeyValue> + 'a {
        self.items
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, item)| item.as_ref())
    }

    /// One item.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        self.items.get(key).map(Arc::as_ref)
    }

    /// Applies changes in the platform's order, all or none. `after` is the
    /// revision since which they are complete; refused when it is beyond the
    /// mark, as changes in between are missing. Returns the new mark's effect.
    pub fn apply_changes(&mut self, after: u64, changes: &[Change]) -> Applied {
        if !self.synced || after > self.mark {
            return Applied::Refused;
        }
        let mut changed = false;
        let old_mark = self.mark;
        for change in changes.iter().filter(|change| change.revision() > old_mark) {
            changed |= self.apply_change(change);
            self.mark = self.mark.max(change.revision());
        }
        outcome(changed)
    }

    fn apply_change(&mut self, change: &Change) -> bool {
        self.newest = self.newest.max(change.revision());
        match change {
            Change::Put(item) => self.put_newer(item),
            Change::Delete { key, revision } => {
                let older = self.items.get(key).is_some_and(|known| known.modified < *revision);
                older && self.items.remove(key).is_some()
            }
        }
    }

    /// The platform says that nothing changed in the prefix up to `mark` since
    /// `after`.
    pub fn apply_progress(&mut self, after: u64, mark: u64) -> Applied {
        if !self.synced || after > self.mark {
            return Applied::Refused;
        }
        self.mark = self.mark.max(mark);
        Applied::Unchanged
    }

    /// Applies a copy of the whole prefix as of `mark`. A key that it lacks is
    /// deleted, unless the table has a later change of it. A copy older than
    /// the table is refused.
    pub fn apply_full(&mut self, mark: u64, items: Vec<KeyValue>) -> Applied {
        if mark < self.mark {
            return Applied::Refused;
        }
        let present: BTreeMap<&str, u64> =
            items.iter().map(|item| (item.key.as_str(), item.modified)).collect();
        let before = self.items.len();
        self.items.retain(|key, known| known.modified > mark || present.contains_key(key.as_str()));
        let deleted = before != self.items.len();
        drop(present);
        if deleted {
            // When exactly is not told; no later than the mark.
            self.newest = self.newest.max(mark);
        }
        let changed = items.iter().fold(deleted, |changed, item| self.put_newer(item) || changed);
        self.mark = mark;
        self.synced = true;
        outcome(changed)
    }

    /// Whether the table holds just these keys at these revisions, told by the
    /// platform as of `mark`; if so the mark grows.
    pub fn confirm_full(&mut self, mark: u64, outline: &[(String, u64)]) -> bool {
        if !self.synced || mark < self.mark || outline.len() != self.items.len() {
            return false;
        }
        let same = |(key, modified): &(String, u64)| {
            self.get(key).is_some_and(|k| k.modified == *modified)
        };
        let all_same = outline.iter().all(same);
        if all_same {
            self.mark = mark;
        }
        all_same
    }

    /// Takes items that a peer holds: each that is newer than the known one
    /// and than the mark. The mark stays, for the peer's copy may be partial.
    pub fn apply_from_peer(&mut self, items: &[KeyValue]) -> Applied {
        let mut changed = false;
        let mark = self.mark;
        for item in items.iter().filter(|item| item.modified > mark) {
            changed |= self.put_newer(item);
        }
        outcome(changed)
    }

    fn put_newer(&mut self, item: &KeyValue) -> bool {
        let known = self.items.get(&item.key).map_or(0, |known| known.modified);
        if item.modified <= known {
            return false;
        }
        self.newest = self.newest.max(item.modified);
        self.items.insert(item.key.clone(), Arc::new(item.clone()));
        true
    }
}

fn outcome(changed: bool) -> Applied {
    if changed { Applied::Changed } else { Applied::Unchanged }
}

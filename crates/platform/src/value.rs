//! What the service holds, and how changes of it end.

use crate::json::Kv;

/// A key and what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Platform revision at which it was created.
    pub created: u64,
    /// Platform revision of its last change.
    pub modified: u64,
    /// The lease it is bound to; 0 for none.
    pub lease: u64,
}

/// All keys of a prefix at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// Platform revision of the answer.
    pub mark: u64,
    /// The keys, in their order.
    pub items: Vec<KeyValue>,
}

/// The state of a key that a swap asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// There is no such key.
    Absent,
    /// Its last change was at this platform revision.
    Modified(u64),
}

/// How a compare-and-swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The change took effect at this platform revision.
    Done {
        /// Platform revision of the change.
        mark: u64,
    },
    /// The comparison failed and nothing changed.
    Lost {
        /// The key as it is. As expected where only a guard failed.
        current: Option<KeyValue>,
    },
}

/// A lease at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

impl From<Kv> for KeyValue {
    fn from(kv: Kv) -> Self {
        Self {
            key: kv.key.0,
            value: kv.value.0,
            created: kv.create_revision.0,
            modified: kv.mod_revision.0,
            lease: kv.lease.0,
        }
    }
}

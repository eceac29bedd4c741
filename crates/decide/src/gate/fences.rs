//! Fenced runs of entries. A fence is permanent.

use {std::collections::HashSet, sycamorerail_wire::ids::Incarnation};

/// Maximum number of fenced incarnations. A fleet of 100 entries that all fail
/// once an hour reaches it after 27 days of one run of an agent. When a further
/// fence cannot be stored, the agent refuses all placements until it is restarted.
pub const MAX_FENCED: usize = 65_536;

#[derive(Debug, Default)]
pub(super) struct Fences {
    fenced: HashSet<Incarnation>,
    overflowed: bool,
}

impl Fences {
    pub(super) fn insert(&mut self, home: Incarnation) {
        if self.fenced.len() < MAX_FENCED {
            self.fenced.insert(home);
        } else if !self.fenced.contains(&home) {
            self.overflowed = true;
        }
    }

    pub(super) fn contains(&self, home: Incarnation) -> bool {
        self.fenced.contains(&home)
    }

    /// Whether a fence could not be stored, so that any home may be fenced.
    pub(super) fn is_full(&self) -> bool {
        self.overflowed
    }

    pub(super) fn len(&self) -> usize {
        self.fenced.len()
    }
}

//! Runs of entries that are fenced for good.

use {std::collections::HashSet, sycamorerail_wire::ids::Incarnation};

/// Most fenced incarnations. A fleet of 100 entries that are all lost once an
/// hour reaches it after 27 days of one run of an agent; from then on the agent
/// takes no placements until it is restarted, for it could not keep a fence.
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

    /// A fence could not be kept: any home may be fenced.
    pub(super) fn is_full(&self) -> bool {
        self.overflowed
    }

    pub(super) fn len(&self) -> usize {
        self.fenced.len()
    }
}

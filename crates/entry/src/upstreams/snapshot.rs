//! The upstreams known at one moment, for the path of a request.

use {
    super::agent::Agent,
    std::{borrow::Cow, sync::Arc},
    sycamorerail_decide::view::{UpstreamKey, UpstreamRow, View},
    sycamorerail_wire::ids::Incarnation,
};

/// The upstreams known at one moment.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Upstreams that may be used, for policies.
    pub view: View,
    /// All agents, in the order of their keys.
    pub agents: Vec<Arc<Agent>>,
    /// The run of this entry that may use all of the view, if it is the same
    /// for all.
    pub usable_by: Option<Incarnation>,
}

impl Snapshot {
    /// Finds an agent.
    #[must_use]
    pub fn agent(&self, key: UpstreamKey) -> Option<&Arc<Agent>> {
        let found = self.agents.binary_search_by_key(&key, |agent| agent.key);
        found.ok().map(|index| &self.agents[index])
    }

    /// The upstreams that a job of this run of the entry may use.
    #[must_use]
    pub fn view_for(&self, home: Incarnation) -> Cow<'_, View> {
        if self.usable_by == Some(home) {
            return Cow::Borrowed(&self.view);
        }
        let may_use = |row: &&UpstreamRow| self.may_use(row.key, home);
        let rows = self.view.rows.iter().filter(may_use).cloned().collect();
        Cow::Owned(View { rows })
    }

    /// Whether a job of this run of the entry may use an upstream.
    #[must_use]
    pub fn may_use(&self, key: UpstreamKey, home: Incarnation) -> bool {
        self.agent(key).is_some_and(|agent| agent.usable_by() == Some(home))
    }
}

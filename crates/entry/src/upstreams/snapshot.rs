//! The upstreams known at one moment, for the path of a request.

use {
    super::agent::Agent,
    std::{borrow::Cow, sync::Arc},
    sycamorerail_decide::view::{Row, UpstreamKey, View},
};

/// The upstreams known at one moment.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Upstreams that may be used, for policies.
    pub view: View,
    /// All agents, in the order of their keys.
    pub agents: Vec<Arc<Agent>>,
    /// The latest event since which one of the view may be used.
    pub newest_usable: u64,
}

impl Snapshot {
    /// Finds an agent.
    #[must_use]
    pub fn agent(&self, key: UpstreamKey) -> Option<&Arc<Agent>> {
        let found = self.agents.binary_search_by_key(&key, |agent| agent.key);
        found.ok().map(|index| &self.agents[index])
    }

    /// The upstreams that a job may use: those usable before it was accepted.
    #[must_use]
    pub fn view_for(&self, accepted_event: u64) -> Cow<'_, View> {
        if self.newest_usable < accepted_event {
            return Cow::Borrowed(&self.view);
        }
        let may_use = |row: &&Row| self.may_use(row.key, accepted_event);
        let rows = self.view.rows.iter().filter(may_use).cloned().collect();
        Cow::Owned(View { rows })
    }

    /// Whether a job may use an upstream.
    #[must_use]
    pub fn may_use(&self, key: UpstreamKey, accepted_event: u64) -> bool {
        let since = self.agent(key).and_then(|agent| agent.usable_since());
        since.is_some_and(|since| since < accepted_event)
    }
}

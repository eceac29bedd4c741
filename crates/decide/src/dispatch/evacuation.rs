//! Data centres that operators have evacuated: nothing is placed at their upstreams until the
//! evacuation ends.
//!
//! This covers a planned loss of capacity: admission ignores the capacity of an evacuated data
//! centre at once, before queues elsewhere grow.

use {
    super::{AgentKey, AgentView, Dispatch, Ending, NoResultReason},
    sycamorerail_wire::runs::Evacuations,
};

impl Dispatch {
    /// Replaces the evacuations in force. Agents hand back the tasks that wait with them.
    pub fn set_evacuations(&mut self, evacuations: Evacuations, now_ms: u64) {
        self.evacuations = evacuations;
        for agent in self.agents.values_mut() {
            agent.is_evacuated = self.evacuations.contains(&agent.data_centre);
        }
        self.place_unplaced(now_ms);
    }

    /// Sets the data centre of an agent.
    pub fn set_data_centre(&mut self, key: AgentKey, data_centre: &str) {
        let Some(view) = self.agents.get_mut(key) else { return };
        view.is_evacuated = self.evacuations.contains(data_centre);
        data_centre.clone_into(&mut view.data_centre);
    }

    /// The data centre of an agent.
    #[must_use]
    pub fn data_centre(&self, key: AgentKey) -> Option<&str> {
        self.agents.get(key).map(|view| view.data_centre.as_str())
    }

    /// Whether this entry has links to upstreams of the pool and all of them are evacuated.
    pub(super) fn is_pool_evacuated(&self, pool: &str) -> bool {
        self.are_all_evacuated(|agent| {
            agent.instance.as_ref().is_some_and(|instance| instance.pool == pool)
        })
    }

    /// Whether this entry has links to upstreams and all of them are evacuated.
    #[must_use]
    pub fn is_all_evacuated(&self) -> bool {
        self.are_all_evacuated(|_| true)
    }

    fn are_all_evacuated(&self, is_relevant: impl Fn(&AgentView) -> bool) -> bool {
        let linked = self.agents.values().filter(|agent| agent.is_linked() && is_relevant(agent));
        let mut linked = linked.peekable();
        linked.peek().is_some() && linked.all(|agent| agent.is_evacuated)
    }

    /// Gives up unplaced jobs whose pool is evacuated.
    pub(super) fn end_evacuated(&mut self) {
        if self.evacuations.data_centres.is_empty() {
            return;
        }
        let nowhere = |key| {
            let pool = &self.jobs[key].request.kind.pool;
            self.is_pool_evacuated(pool)
        };
        let ended: Vec<_> = self.unplaced.iter().copied().filter(|&key| nowhere(key)).collect();
        for key in ended {
            self.begin_ending(key, Ending::GivenUp(NoResultReason::Evacuated));
        }
    }
}

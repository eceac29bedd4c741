//! Data centres that are evacuated by the operators' word: their upstreams get nothing
//! more until they are taken back.
//!
//! It answers the loss of a planned part of the room: admission counts without it from
//! the word on, before queues elsewhere show it.

use {
    super::{AgentKey, AgentView, Dispatch, Ending, NoResultReason},
    sycamorerail_wire::runs::Evacuations,
};

impl Dispatch {
    /// Takes other evacuations into force. Agents hand back what waits with them.
    pub fn set_evacuations(&mut self, evacuations: Evacuations, now_ms: u64) {
        self.evacuations = evacuations;
        for agent in self.agents.values_mut() {
            agent.is_evacuated = self.evacuations.contains(&agent.data_centre);
        }
        self.place_waiting(now_ms);
    }

    /// Names the data centre of an agent.
    pub fn set_data_centre(&mut self, key: AgentKey, data_centre: &str) {
        let Some(view) = self.agents.get_mut(key) else { return };
        view.is_evacuated = self.evacuations.contains(data_centre);
        data_centre.clone_into(&mut view.data_centre);
    }

    /// Whether all upstreams of a pool that this entry has links to are evacuated.
    pub(super) fn is_pool_evacuated(&self, pool: &str) -> bool {
        self.are_all_evacuated(|agent| agent.life.as_ref().is_some_and(|life| life.pool == pool))
    }

    /// Whether there are links to upstreams, and all of them are evacuated.
    #[must_use]
    pub fn is_all_evacuated(&self) -> bool {
        self.are_all_evacuated(|_| true)
    }

    fn are_all_evacuated(&self, concerns: impl Fn(&AgentView) -> bool) -> bool {
        let linked = self.agents.values().filter(|agent| agent.is_linked() && concerns(agent));
        let mut linked = linked.peekable();
        linked.peek().is_some() && linked.all(|agent| agent.is_evacuated)
    }

    /// Gives up what has no upstream left to go to.
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
            self.end(key, Ending::GivenUp(NoResultReason::Evacuated));
        }
    }
}

//! Tells other entries, through agents, which jobs this entry holds that their callers may submit
//! there.
//!
//! Entries have no connections to each other, and an agent links to some of them only. A few agents
//! together reach all entries that any agent reaches.

use {
    super::JobService,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
    },
    sycamorerail_decide::dispatch::AgentKey,
    sycamorerail_wire::runs::{CallerJobId, ToRunsAgent},
};

/// Old jobs that agents were told of, by agent.
pub(super) type ToldJobs = HashMap<AgentKey, BTreeSet<CallerJobId>>;

impl JobService {
    /// Tells agents what has changed about the old jobs since the last call.
    pub(super) fn share_old_jobs(&self) {
        let mut dispatch = self.dispatch.lock();
        let now_ms = self.clock.now_ms();
        let old = dispatch.old_jobs(now_ms);
        let mut told = self.told_jobs.lock();
        if old.is_empty() && told.is_empty() {
            return;
        }
        let relays = if old.is_empty() { BTreeSet::new() } else { self.relays() };
        for &agent in &relays {
            told.entry(agent).or_default();
        }
        told.retain(|agent, known| {
            let jobs = if relays.contains(agent) { old.clone() } else { BTreeSet::new() };
            let held: Vec<_> = jobs.difference(known).copied().collect();
            let over: Vec<_> = known.difference(&jobs).copied().collect();
            if !held.is_empty() || !over.is_empty() {
                dispatch.message_sent(*agent, None, now_ms);
                self.send(*agent, ToRunsAgent::OldJobs { held, over });
            }
            *known = jobs;
            !known.is_empty()
        });
    }

    /// Agents that together are connected to all other entries that any agent is connected to.
    fn relays(&self) -> BTreeSet<AgentKey> {
        let cluster = self.cluster.lock();
        let connected =
            cluster.by_agent.iter().map(|(agent, entries)| (*agent, &entries.connected));
        choose_relays(&connected.collect(), self.settings.own)
    }
}

/// Chooses agents one after the other by the number of entries that they add.
fn choose_relays(
    connected: &BTreeMap<AgentKey, &Vec<SocketAddr>>,
    own: SocketAddr,
) -> BTreeSet<AgentKey> {
    let mut left: BTreeSet<_> = connected.values().flat_map(|entries| *entries).copied().collect();
    left.remove(&own);
    let mut relays = BTreeSet::new();
    while !left.is_empty() {
        let added = |entries: &[SocketAddr]| entries.iter().filter(|it| left.contains(it)).count();
        let best = connected.iter().max_by_key(|(_, entries)| added(entries));
        let Some((agent, entries)) = best else { break };
        left.retain(|entry| !entries.contains(entry));
        relays.insert(*agent);
    }
    relays
}

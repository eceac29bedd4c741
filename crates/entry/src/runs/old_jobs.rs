//! Tells other entries, through agents, which jobs this entry holds that their callers may submit
//! there.
//!
//! Entries connect to each other for claims only, and an agent links to some of them. A few agents
//! together reach all entries to which any agent linked here is connected.

use {
    super::JobService,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
    },
    sycamorerail_decide::dispatch::AgentKey,
    sycamorerail_wire::runs::{CallerJobId, ToRunsAgent},
    tokio::sync::watch,
};

/// Old jobs that agents were told of, by agent.
pub(super) type ToldJobs = HashMap<AgentKey, BTreeSet<CallerJobId>>;

/// State of the last call of [`JobService::share_old_jobs`], which does nothing if it is unchanged.
pub(super) struct SharedJobs {
    old: BTreeSet<CallerJobId>,
    /// Agents that together are connected to all other entries that any agent is connected to.
    relays: BTreeSet<AgentKey>,
    cluster_changes: watch::Receiver<()>,
}

impl SharedJobs {
    pub(super) fn new(cluster_changes: watch::Receiver<()>) -> Self {
        Self { old: BTreeSet::new(), relays: BTreeSet::new(), cluster_changes }
    }
}

impl JobService {
    /// Tells agents what has changed about the old jobs.
    pub(super) fn share_old_jobs(&self, shared: &mut SharedJobs) {
        let mut dispatch = self.dispatch.lock();
        let now_ms = self.clock.now_ms();
        let old = dispatch.old_jobs(now_ms);
        let is_cluster_changed = shared.cluster_changes.has_changed().unwrap_or(false);
        if old == shared.old && !is_cluster_changed {
            return;
        }
        if is_cluster_changed {
            shared.cluster_changes.mark_unchanged();
            shared.relays = self.relays();
        }
        let mut told = self.told_jobs.lock();
        for &agent in &shared.relays {
            told.entry(agent).or_default();
        }
        let none = BTreeSet::new();
        told.retain(|agent, known| {
            let jobs = if shared.relays.contains(agent) { &old } else { &none };
            let held: Vec<_> = jobs.difference(known).copied().collect();
            let over: Vec<_> = known.difference(jobs).copied().collect();
            if !held.is_empty() || !over.is_empty() {
                dispatch.message_sent(*agent, None, now_ms);
                self.send(*agent, ToRunsAgent::OldJobs { held, over });
            }
            known.clone_from(jobs);
            !known.is_empty()
        });
        shared.old = old;
    }

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

//! Agents by name, and the snapshot made of them.

use {
    super::{agent::Agent, link::Link, snapshot::Snapshot},
    crate::shared::Shared,
    arc_swap::{ArcSwap, Guard},
    parking_lot::Mutex,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, atomic::Ordering},
    },
    sycamorerail_decide::view::{KindKey, UpstreamKey},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{ids::Incarnation, message::AgentHello, runs::Evacuations},
    tokio::sync::watch,
};

/// A run not connected for this long without open placements is forgotten.
const FORGET_AFTER_MS: u64 = 30_000;

#[derive(Debug, Default)]
struct Agents {
    by_name: HashMap<String, Arc<Agent>>,
    /// Runs whose name was taken by another run.
    gone: HashSet<Incarnation>,
    next_key: u32,
}

/// All agents known.
#[derive(Debug, Default)]
pub struct Registry {
    agents: Mutex<Agents>,
    snapshot: ArcSwap<Snapshot>,
}

impl Registry {
    /// The upstreams known now.
    #[must_use]
    pub fn snapshot(&self) -> Guard<Arc<Snapshot>> {
        self.snapshot.load()
    }

    /// Takes an agent's hello; `None` if its run is gone for good.
    pub fn hello(
        &self,
        shared: &Shared,
        connection: &quinn::Connection,
        hello: AgentHello,
    ) -> Option<Arc<Agent>> {
        let agent = self.find_or_add(shared, &hello)?;
        agent.link.send_if_modified(|link| set_up(link, connection));
        agent.set_upstream(hello.upstream);
        agent.take_load(hello.load, shared.now_ms());
        // Down meant "leaving", whichever load was taken last.
        agent.live.leaving.store(hello.load.leaving, Ordering::Release);
        if let Some(run) = (shared.seams.usable_by)(shared, &agent.identity) {
            agent.set_usable_by(Some(run));
        }
        self.rebuild(shared);
        Some(agent)
    }

    fn find_or_add(&self, shared: &Shared, hello: &AgentHello) -> Option<Arc<Agent>> {
        let mut agents = self.agents.lock();
        let identity = &hello.agent;
        if agents.gone.contains(&identity.incarnation) {
            return None;
        }
        if let Some(known) = agents.by_name.get(&identity.name).cloned() {
            if known.identity.incarnation == identity.incarnation {
                return Some(known);
            }
            agents.gone.insert(known.identity.incarnation);
            known.live.leaving.store(true, Ordering::Release);
            known.link.send_replace(Link::Gone);
            event!(Warn, "agent_replaced", agent = known.peer, run = identity.incarnation);
        }
        let key = UpstreamKey(agents.next_key);
        agents.next_key += 1;
        let agent = Arc::new(Agent::new(key, identity.clone(), &shared.names));
        agent.mark_evacuated(&shared.evacuations.borrow());
        agents.by_name.insert(identity.name.clone(), Arc::clone(&agent));
        event!(Info, "agent_added", agent = agent.peer, run = identity.incarnation);
        Some(agent)
    }

    /// Notes that a connection of an agent has ended.
    pub fn disconnected(&self, agent: &Agent, connection: usize, now_ms: u64) {
        let was_current = agent.link.send_if_modified(|link| {
            let current = matches!(link, Link::Up(up) if up.stable_id() == connection);
            if current {
                *link = Link::Down;
            }
            current
        });
        if was_current {
            agent.down_since_ms.store(now_ms, Ordering::Release);
            agent.live.leaving.store(true, Ordering::Release);
            event!(Warn, "agent_disconnected", agent = agent.peer);
        }
    }

    /// Makes agents usable by a run of this entry, or by none.
    pub fn change_usable(&self, shared: &Shared, changes: &[(Incarnation, Option<Incarnation>)]) {
        let known = self.agents.lock().by_name.values().cloned().collect::<Vec<_>>();
        let changes: HashMap<_, _> = changes.iter().copied().collect();
        for agent in known {
            if let Some(run) = changes.get(&agent.identity.incarnation) {
                agent.set_usable_by(*run);
            }
        }
        self.rebuild(shared);
    }

    /// Marks the agents of evacuated data centres, as held now: the lock orders this
    /// with other changes and with agents that are added.
    pub(crate) fn mark_evacuated(&self, evacuations: &watch::Sender<Evacuations>) {
        let agents = self.agents.lock();
        let held = evacuations.borrow();
        agents.by_name.values().for_each(|agent| agent.mark_evacuated(&held));
    }

    /// Forgets runs that are away for long.
    pub fn forget_lost(&self, shared: &Shared) {
        let now_ms = shared.now_ms();
        let forgotten = {
            let mut agents = self.agents.lock();
            let before = agents.by_name.len();
            agents.by_name.retain(|_, agent| {
                let down_for_ms =
                    now_ms.saturating_sub(agent.down_since_ms.load(Ordering::Acquire));
                agent.is_up()
                    || down_for_ms < FORGET_AFTER_MS
                    || agent.live.outstanding.load(Ordering::Acquire) > 0
            });
            before - agents.by_name.len()
        };
        if forgotten > 0 {
            self.rebuild(shared);
        }
    }

    /// Makes a new snapshot, after agents or templates have changed.
    pub fn rebuild(&self, shared: &Shared) {
        let kinds = known_kinds(shared);
        let agents = self.agents.lock();
        let mut all: Vec<_> = agents.by_name.values().cloned().collect();
        all.sort_unstable_by_key(|agent| agent.key);
        let mut snapshot = Snapshot::default();
        let mut runs = HashSet::new();
        for agent in &all {
            if let Some(row) = agent.row(&kinds) {
                runs.insert(agent.usable_by());
                snapshot.view.rows.push(row);
            }
        }
        snapshot.usable_by = runs.iter().next().copied().flatten().filter(|_| runs.len() == 1);
        snapshot.agents = all;
        let before = self.snapshot.swap(Arc::new(snapshot));
        let after = self.snapshot.load();
        crate::dispatch::upstreams_changed(shared, &before.view, &after.view);
    }
}

fn set_up(link: &mut Link, connection: &quinn::Connection) -> bool {
    match link {
        Link::Gone => false,
        Link::Up(up) if up.stable_id() == connection.stable_id() => false,
        Link::Up(_) | Link::Down => {
            *link = Link::Up(connection.clone());
            true
        }
    }
}

fn known_kinds(shared: &Shared) -> Vec<(String, KindKey)> {
    let organisations = shared.organisations.load();
    let kinds = organisations.all().flat_map(|organisation| {
        organisation
            .kinds
            .values()
            .map(|kind| (format!("{}/{}", organisation.name, kind.name), kind.key))
    });
    kinds.collect()
}

//! Links to entries: which ones the agent keeps, and how it redials those that break or fall
//! silent.
//!
//! `decide::links` chooses the links; [`link`] is one connection.

mod link;

use {
    super::LeasedAgent,
    crate::pause::jittered,
    link::{Cluster, Link, LinkEnd},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
    sycamorerail_decide::links::{
        LinkChoice, LinkLimits, LinkState, next_link_count, rank_entries, select_links,
    },
    sycamorerail_telemetry::{build, event},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{EntryAddress, Resources},
    },
    tokio::{
        sync::{Notify, watch},
        time::{Instant, sleep, timeout_at},
    },
};

/// First and longest pause between dial attempts, in milliseconds.
const REDIAL_MS: (u64, u64) = (30, 200);
/// An unreachable entry that no entry lists is forgotten this long after it was last listed
/// or connected.
const FORGET_AFTER_MS: u64 = 30_000;
/// Interval between recalculations of the number of links. The agent counts that entries
/// send are up to this old.
const LINK_COUNT_PAUSE_MS: u64 = 1_000;

/// All links of an agent.
#[derive(Debug)]
pub(super) struct Links {
    limits: LinkLimits,
    known: Mutex<Known>,
    /// Signals that links must be chosen again.
    changed: Notify,
}

/// Known entries and the wanted number of links.
#[derive(Debug, Default)]
struct Known {
    entries: BTreeMap<SocketAddr, KnownEntry>,
    /// Wanted number of links; 0 before the first choice.
    wanted: usize,
    /// Largest capacity, per resource, of any upstream in the agent's pool.
    largest: Resources,
}

#[derive(Debug, Default)]
struct KnownEntry {
    /// When this entry was last listed.
    named_ms: u64,
    /// Entries that this one listed last.
    names: BTreeSet<EntryAddress>,
    connected_since_ms: Option<u64>,
    failing_since_ms: Option<u64>,
    /// Incarnation of the last connection to it.
    last_run: Option<Incarnation>,
    /// Number of agents in this agent's pool that are connected to it.
    agents: u32,
    /// Tells the Tokio task of the link whether to keep it; `None` without such a task.
    kept: Option<watch::Sender<bool>>,
}

impl KnownEntry {
    fn state(&self) -> LinkState {
        LinkState {
            is_kept: self.kept.as_ref().is_some_and(|kept| *kept.borrow()),
            connected_since_ms: self.connected_since_ms,
            failing_since_ms: self.failing_since_ms,
        }
    }

    /// Whether this Tokio task, known by its receiver, keeps the link.
    fn has_task(&self, task: &watch::Receiver<bool>) -> bool {
        self.kept.as_ref().is_some_and(|kept| kept.subscribe().same_channel(task))
    }
}

impl Links {
    pub(super) fn new(limits: LinkLimits) -> Self {
        Self { limits, known: Mutex::default(), changed: Notify::new() }
    }

    pub(super) fn connected(&self) -> usize {
        let known = self.known.lock();
        known.entries.values().filter(|entry| entry.connected_since_ms.is_some()).count()
    }

    /// Adds addresses at which entries may be reached.
    pub(super) fn add_entries(&self, entries: &[SocketAddr], now_ms: u64) {
        let mut known = self.known.lock();
        for &entry in entries {
            known.entries.entry(entry).or_default().named_ms = now_ms;
        }
        drop(known);
        self.changed.notify_one();
    }

    /// Stores the list of all entries that the entry `by` knows.
    fn set_listed_by(&self, by: SocketAddr, entries: Vec<EntryAddress>, now_ms: u64) {
        let addresses: Vec<_> = entries.iter().map(|entry| entry.address).collect();
        if let Some(by) = self.known.lock().entries.get_mut(&by) {
            by.names = entries.into_iter().collect();
        }
        self.add_entries(&addresses, now_ms);
    }

    /// Stores what a heartbeat of the entry `by` reports about the agent's pool.
    fn update_from_heartbeat(&self, by: SocketAddr, agents: u32, largest: &Resources) {
        let mut known = self.known.lock();
        known.largest = known.largest.max_of_each(largest);
        if let Some(entry) = known.entries.get_mut(&by) {
            entry.agents = agents;
        }
    }

    /// Returns what the agent knows about all entries.
    fn cluster(&self) -> Cluster {
        let known = self.known.lock();
        let connected =
            known.entries.iter().filter(|(_, entry)| entry.connected_since_ms.is_some());
        let connected = connected.map(|(address, _)| *address).collect();
        let named = known.named().into_iter().cloned().collect();
        Cluster { connected, named, largest: known.largest }
    }

    fn update_entry(&self, peer: SocketAddr, update: impl FnOnce(&mut KnownEntry)) {
        if let Some(entry) = self.known.lock().entries.get_mut(&peer) {
            update(entry);
        }
        self.changed.notify_one();
    }

    fn connected_to(&self, peer: SocketAddr, run: Incarnation, now_ms: u64) {
        self.update_entry(peer, |entry| {
            entry.connected_since_ms = Some(now_ms);
            entry.failing_since_ms = None;
            entry.last_run = Some(run);
        });
    }

    fn disconnected_from(&self, peer: SocketAddr, now_ms: u64) {
        self.update_entry(peer, |entry| {
            entry.connected_since_ms = None;
            entry.names.clear();
            entry.named_ms = now_ms;
        });
    }

    fn failed(&self, peer: SocketAddr, now_ms: u64) {
        self.update_entry(peer, |entry| {
            entry.failing_since_ms.get_or_insert(now_ms);
        });
    }

    fn last_run(&self, peer: SocketAddr) -> Option<Incarnation> {
        self.known.lock().entries.get(&peer)?.last_run
    }

    /// Marks the task of a link as ended unless the link is to be kept; returns whether it
    /// ended. An entry that was forgotten and listed again has a task of its own.
    fn end_unless_kept(&self, peer: SocketAddr, task: &watch::Receiver<bool>) -> bool {
        let mut known = self.known.lock();
        let Some(entry) = known.entries.get_mut(&peer).filter(|entry| entry.has_task(task)) else {
            return true;
        };
        if entry.state().is_kept {
            return false;
        }
        entry.kept = None;
        entry.failing_since_ms = None;
        true
    }
}

impl Known {
    /// Returns the entries that other entries list.
    fn named(&self) -> BTreeSet<&EntryAddress> {
        self.entries.values().flat_map(|entry| &entry.names).collect()
    }

    /// Forgets entries that no entry lists and that cannot be reached.
    fn forget_lost(&mut self, seeds: &[SocketAddr], now_ms: u64) {
        let named: BTreeSet<_> = self.named().iter().map(|entry| entry.address).collect();
        self.entries.retain(|address, entry| {
            let is_old = now_ms >= entry.named_ms + FORGET_AFTER_MS;
            let is_lost = entry.connected_since_ms.is_none() && !named.contains(address);
            let is_forgotten = is_old && is_lost && !seeds.contains(address);
            if is_forgotten {
                event!(Info, "entry_forgotten", peer = address);
                if let Some(kept) = &entry.kept {
                    kept.send_replace(false);
                }
            }
            !is_forgotten
        });
    }

    /// Returns the entries in the agent's order of preference.
    fn ranked(&self, agent_name: &str) -> Vec<(SocketAddr, LinkState)> {
        let addresses: Vec<_> = self.entries.keys().copied().collect();
        let ranked = rank_entries(agent_name, &addresses);
        ranked.into_iter().map(|address| (address, self.entries[&address].state())).collect()
    }

    /// Adapts the wanted number of links to the entries' counts of agents once all links work.
    fn update_wanted(&mut self, limits: &LinkLimits, now_ms: u64) {
        let settled = self.entries.values().filter(|entry| entry.state().is_stable(now_ms));
        let seen: Vec<_> = settled.map(|entry| entry.agents).collect();
        if seen.len() < self.wanted {
            return;
        }
        let before = self.wanted;
        self.wanted = next_link_count(before, self.entries.len(), &seen, limits);
        if self.wanted != before {
            event!(Info, "links_wanted", links = self.wanted, before = before);
        }
    }
}

/// Chooses links whenever entries appear, disappear or fail, for as long as the agent runs.
pub(super) async fn choose_links(agent: Arc<LeasedAgent>) {
    loop {
        let recount_at = Instant::now() + jittered(LINK_COUNT_PAUSE_MS);
        loop {
            choose_now(&agent);
            if timeout_at(recount_at, agent.links.changed.notified()).await.is_err() {
                break;
            }
        }
        agent.links.known.lock().update_wanted(&agent.links.limits, agent.clock.now_ms());
    }
}

fn choose_now(agent: &Arc<LeasedAgent>) {
    let now_ms = agent.clock.now_ms();
    let links = &agent.links;
    let mut known = links.known.lock();
    known.forget_lost(&agent.settings.seeds, now_ms);
    known.wanted = next_link_count(known.wanted, known.entries.len(), &[], &links.limits);
    let ranked = known.ranked(&agent.settings.name);
    let LinkChoice { dial, end } = select_links(&ranked, known.wanted, now_ms);
    for address in dial {
        let Some(entry) = known.entries.get_mut(&address) else { continue };
        if let Some(kept) = &entry.kept {
            kept.send_replace(true);
            continue;
        }
        let kept = watch::Sender::new(true);
        tokio::spawn(keep_link(Arc::clone(agent), address, kept.subscribe()));
        entry.kept = Some(kept);
    }
    for address in end {
        event!(Info, "link_released", peer = address, links = known.wanted);
        let entry = known.entries.get(&address);
        if let Some(kept) = entry.and_then(|entry| entry.kept.as_ref()) {
            kept.send_replace(false);
        }
    }
}

/// Keeps a link to an entry for as long as the link is chosen.
async fn keep_link(agent: Arc<LeasedAgent>, peer: SocketAddr, kept: watch::Receiver<bool>) {
    let mut pause_ms = REDIAL_MS.0;
    while !agent.links.end_unless_kept(peer, &kept) {
        let last_run = agent.links.last_run(peer);
        match Link::open(&agent, peer, last_run, kept.clone()).await {
            Ok((link, reader, writer)) => {
                if let Some(before) = last_run.filter(|before| *before != link.entry) {
                    agent.update_ledger(|ledger, _| ledger.drop_ended_owner(before));
                }
                pause_ms = REDIAL_MS.0;
                agent.links.connected_to(peer, link.entry, agent.clock.now_ms());
                let end = link.run(reader, writer).await;
                agent.links.disconnected_from(peer, agent.clock.now_ms());
                agent.copies.lock().remove_source(link.entry);
                agent.old_jobs.lock().remove(&link.entry);
                agent.update_ledger(|ledger, _| match end {
                    LinkEnd::Released => ledger.drop_owner(link.entry),
                    LinkEnd::Broken(_) | LinkEnd::Silent => {
                        ledger.forget_settled_owner(link.entry);
                    }
                });
                event!(
                    Info,
                    "link_ended",
                    build = build::code(),
                    peer = peer,
                    entry = link.entry,
                    up_ms = agent.clock.now_ms(),
                    end = end,
                );
            }
            Err(error) => {
                event!(Debug, "dial_failed", peer = peer, error = error);
                agent.links.failed(peer, agent.clock.now_ms());
                sleep(jittered(pause_ms)).await;
                pause_ms = (pause_ms * 2).min(REDIAL_MS.1);
            }
        }
    }
}

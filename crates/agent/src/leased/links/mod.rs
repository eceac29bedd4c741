//! Links to entries, dialled by the agent: which ones it keeps, and how they are made
//! anew when they break or fall silent.
//!
//! `decide::links` chooses them; [`link`] is one connection.

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
        LinkChoice, LinkLimits, LinkState, choose, next_count, preferred,
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::{ids::Incarnation, runs::Resources},
    tokio::{
        sync::{Notify, watch},
        time::{Instant, sleep, timeout_at},
    },
};

/// First and longest pause between attempts to dial.
const REDIAL_MS: (u64, u64) = (30, 200);
/// An entry that nobody names any more is let go after failing this long.
const FORGET_AFTER_MS: u64 = 30_000;
/// Pause between looks at how many links are needed. Entries' counts of agents are that old.
const COUNT_PAUSE_MS: u64 = 1_000;

/// All links of an agent.
#[derive(Debug)]
pub(super) struct Links {
    limits: LinkLimits,
    known: Mutex<Known>,
    /// Links are to be chosen anew.
    changed: Notify,
}

/// What an agent knows of entries.
#[derive(Debug, Default)]
struct Known {
    entries: BTreeMap<SocketAddr, KnownEntry>,
    /// Links wanted; 0 before the first choice.
    wanted: usize,
    /// The most of each that an upstream of the agent's pool has.
    largest: Resources,
}

#[derive(Debug, Default)]
struct KnownEntry {
    /// When it was last named.
    named_ms: u64,
    /// Entries that it named last.
    names: BTreeSet<SocketAddr>,
    connected_ms: Option<u64>,
    failing_ms: Option<u64>,
    /// Its run that was heard last.
    last_run: Option<Incarnation>,
    /// Agents of this one's pool that it has.
    agents: u32,
    /// Tells the task that keeps the link whether to go on; none without a task.
    kept: Option<watch::Sender<bool>>,
}

impl KnownEntry {
    fn state(&self) -> LinkState {
        LinkState {
            is_kept: self.kept.as_ref().is_some_and(|kept| *kept.borrow()),
            connected_ms: self.connected_ms,
            failing_ms: self.failing_ms,
        }
    }
}

impl Links {
    pub(super) fn new(limits: LinkLimits) -> Self {
        Self { limits, known: Mutex::default(), changed: Notify::new() }
    }

    pub(super) fn connected(&self) -> usize {
        let known = self.known.lock();
        known.entries.values().filter(|entry| entry.connected_ms.is_some()).count()
    }

    /// Entries may be reached at these addresses.
    pub(super) fn learn(&self, entries: &[SocketAddr], now_ms: u64) {
        let mut known = self.known.lock();
        for &entry in entries {
            known.entries.entry(entry).or_default().named_ms = now_ms;
        }
        drop(known);
        self.changed.notify_one();
    }

    /// An entry names all that it knows.
    fn told(&self, by: SocketAddr, entries: &[SocketAddr], now_ms: u64) {
        if let Some(by) = self.known.lock().entries.get_mut(&by) {
            by.names = entries.iter().copied().collect();
        }
        self.learn(entries, now_ms);
    }

    /// An entry tells what it has of the agent's pool.
    fn beat(&self, by: SocketAddr, agents: u32, largest: &Resources) {
        let mut known = self.known.lock();
        known.largest = known.largest.max_of_each(largest);
        if let Some(entry) = known.entries.get_mut(&by) {
            entry.agents = agents;
        }
    }

    /// What the agent knows of all entries.
    fn cluster(&self) -> Cluster {
        let known = self.known.lock();
        let connected = known.entries.iter().filter(|(_, entry)| entry.connected_ms.is_some());
        let connected = connected.map(|(address, _)| *address).collect();
        let named = known.named().into_iter().collect();
        Cluster { connected, named, largest: known.largest }
    }

    fn change(&self, peer: SocketAddr, change: impl FnOnce(&mut KnownEntry)) {
        if let Some(entry) = self.known.lock().entries.get_mut(&peer) {
            change(entry);
        }
        self.changed.notify_one();
    }

    fn connected_to(&self, peer: SocketAddr, run: Incarnation, now_ms: u64) {
        self.change(peer, |entry| {
            entry.connected_ms = Some(now_ms);
            entry.failing_ms = None;
            entry.last_run = Some(run);
        });
    }

    fn disconnected_from(&self, peer: SocketAddr, now_ms: u64) {
        self.change(peer, |entry| {
            entry.connected_ms = None;
            entry.names.clear();
            entry.named_ms = now_ms;
        });
    }

    fn failed(&self, peer: SocketAddr, now_ms: u64) {
        self.change(peer, |entry| {
            entry.failing_ms.get_or_insert(now_ms);
        });
    }

    fn last_run(&self, peer: SocketAddr) -> Option<Incarnation> {
        self.known.lock().entries.get(&peer)?.last_run
    }

    /// Ends the task of a link unless the link is to be kept; returns whether it ended.
    fn finish(&self, peer: SocketAddr) -> bool {
        let mut known = self.known.lock();
        let Some(entry) = known.entries.get_mut(&peer) else { return true };
        if entry.state().is_kept {
            return false;
        }
        entry.kept = None;
        entry.failing_ms = None;
        true
    }
}

impl Known {
    /// Entries that others name.
    fn named(&self) -> BTreeSet<SocketAddr> {
        self.entries.values().flat_map(|entry| entry.names.iter().copied()).collect()
    }

    /// Forgets entries that nobody names and that cannot be reached.
    fn forget(&mut self, seeds: &[SocketAddr], now_ms: u64) {
        let named = self.named();
        self.entries.retain(|address, entry| {
            let is_old = now_ms >= entry.named_ms + FORGET_AFTER_MS;
            let is_lost = entry.connected_ms.is_none() && !named.contains(address);
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

    /// Entries in the agent's order of preference.
    fn ranked(&self, agent: &str) -> Vec<(SocketAddr, LinkState)> {
        let addresses: Vec<_> = self.entries.keys().copied().collect();
        let ranked = preferred(agent, &addresses);
        ranked.into_iter().map(|address| (address, self.entries[&address].state())).collect()
    }

    /// Adapts the number of links to what entries tell, once all links work.
    fn count(&mut self, limits: &LinkLimits, now_ms: u64) {
        let settled = self.entries.values().filter(|entry| entry.state().is_settled(now_ms));
        let seen: Vec<_> = settled.map(|entry| entry.agents).collect();
        if seen.len() < self.wanted {
            return;
        }
        let before = self.wanted;
        self.wanted = next_count(before, self.entries.len(), &seen, limits);
        if self.wanted != before {
            event!(Info, "links_wanted", links = self.wanted, before = before);
        }
    }
}

/// Chooses links whenever entries come, go or fail, for as long as the agent runs.
pub(super) async fn keep_chosen(leased: Arc<LeasedAgent>) {
    loop {
        let count_at = Instant::now() + jittered(COUNT_PAUSE_MS);
        loop {
            choose_now(&leased);
            if timeout_at(count_at, leased.links.changed.notified()).await.is_err() {
                break;
            }
        }
        leased.links.known.lock().count(&leased.links.limits, leased.clock.now_ms());
    }
}

fn choose_now(leased: &Arc<LeasedAgent>) {
    let now_ms = leased.clock.now_ms();
    let links = &leased.links;
    let mut known = links.known.lock();
    known.forget(&leased.settings.seeds, now_ms);
    known.wanted = next_count(known.wanted, known.entries.len(), &[], &links.limits);
    let ranked = known.ranked(&leased.settings.name);
    let LinkChoice { dial, end } = choose(&ranked, known.wanted, now_ms);
    for address in dial {
        let Some(entry) = known.entries.get_mut(&address) else { continue };
        if let Some(kept) = &entry.kept {
            kept.send_replace(true);
            continue;
        }
        let kept = watch::Sender::new(true);
        tokio::spawn(keep(Arc::clone(leased), address, kept.subscribe()));
        entry.kept = Some(kept);
    }
    for address in end {
        event!(Info, "link_let_go", peer = address, links = known.wanted);
        let entry = known.entries.get(&address);
        if let Some(kept) = entry.and_then(|entry| entry.kept.as_ref()) {
            kept.send_replace(false);
        }
    }
}

/// Keeps a link to an entry for as long as it is chosen.
async fn keep(leased: Arc<LeasedAgent>, peer: SocketAddr, kept: watch::Receiver<bool>) {
    let mut pause_ms = REDIAL_MS.0;
    while !leased.links.finish(peer) {
        let last_run = leased.links.last_run(peer);
        match Link::open(&leased, peer, last_run, kept.clone()).await {
            Ok((link, reader, writer)) => {
                if let Some(before) = last_run.filter(|before| *before != link.entry) {
                    leased.change(|ledger, _| ledger.drop_owner(before));
                }
                pause_ms = REDIAL_MS.0;
                leased.links.connected_to(peer, link.entry, leased.clock.now_ms());
                let end = link.run(reader, writer).await;
                leased.links.disconnected_from(peer, leased.clock.now_ms());
                if matches!(end, LinkEnd::LetGo) {
                    leased.change(|ledger, _| ledger.drop_owner(link.entry));
                }
                event!(Info, "link_ended", peer = peer, entry = link.entry, end = end);
            }
            Err(error) => {
                event!(Debug, "dial_failed", peer = peer, error = error);
                leased.links.failed(peer, leased.clock.now_ms());
                sleep(jittered(pause_ms)).await;
                pause_ms = (pause_ms * 2).min(REDIAL_MS.1);
            }
        }
    }
}

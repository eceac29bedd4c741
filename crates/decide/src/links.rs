//! Chooses the entries to which an agent keeps links.
//!
//! If each agent had a link to each entry, the messages of an agent would grow with the
//! number of entries, and the agents that an entry examines for each task with the number
//! of agents. An agent therefore links only to some entries, which it chooses by rendezvous
//! hashing of both names: each entry has a different set of agents, and few links change
//! when an entry is added or removed. The number of links follows from the agent counts
//! that entries report. With few entries or few agents, the same rule results in a link to
//! every entry.

use {crate::rendezvous::weight, std::cmp::Reverse};

/// An entry that cannot be reached for this long is replaced by another, in milliseconds.
/// A restart takes less time, and the callers of a failed entry have moved by then.
const REPLACE_AFTER_MS: u64 = 1_000;
/// A link is closed only after the links preferred to it have worked for this long, in
/// milliseconds: longer than most jobs run, and than a missing heartbeat goes unnoticed.
const STABLE_AFTER_MS: u64 = 2_000;
/// Entries considered per wanted link. If all of them fail, the agent dials no further
/// ones.
const CANDIDATES_PER_LINK: usize = 2;
/// An agent closes a link only if entries would still have this percentage of their minimum
/// of agents: counts of single entries differ by a fifth from their mean.
const SURPLUS_PERCENT: usize = 150;

/// Minimum numbers of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Minimum number of entries that each agent links to.
    pub entries_per_agent: u32,
    /// Minimum number of agents of a pool that an entry has, if there are as many.
    pub agents_per_entry: u32,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            // If a third of all entries fail at once, one agent in 240 has no link left
            // until it has dialled others.
            entries_per_agent: 5,
            // In a simulation of 55 entries and 240 upstreams, 98.8 % of all jobs are in
            // time with 18 agents and 98.9 % with 24. With 32, fewer are in time than with
            // 24 (98.0 % against 98.3 % with load reports every 20 ms), at the cost of more
            // messages.
            agents_per_entry: 24,
        }
    }
}

/// Returns how many links each agent needs so that every entry has its minimum of agents,
/// if the number of agents is known.
#[must_use]
pub fn links_per_agent(entries: usize, agents: usize, limits: &LinkLimits) -> usize {
    let needed = (entries * limits.agents_per_entry as usize).div_ceil(agents.max(1));
    clamp_to_limits(needed, entries, limits)
}

/// Returns how many links an agent should have, given the previous number `wanted` and the
/// number of agents of its pool that each linked entry reports. The number at most doubles
/// at a time, because reported counts are low while agents start.
#[must_use]
pub fn next_link_count(
    wanted: usize,
    entries: usize,
    reported_agents: &[u32],
    limits: &LinkLimits,
) -> usize {
    let wanted = clamp_to_limits(wanted, entries, limits);
    let min_agents = limits.agents_per_entry as usize;
    let sum = reported_agents.iter().map(|agents| *agents as usize).sum::<usize>();
    if reported_agents.is_empty() || sum == 0 {
        return wanted;
    }
    let needed = (wanted * min_agents * reported_agents.len()).div_ceil(sum);
    let with_one_less = sum * (wanted - 1) / wanted;
    let next = if needed > wanted {
        needed.min(wanted * 2)
    } else if with_one_less * 100 >= min_agents * reported_agents.len() * SURPLUS_PERCENT {
        wanted - 1
    } else {
        wanted
    };
    clamp_to_limits(next, entries, limits)
}

fn clamp_to_limits(links: usize, entries: usize, limits: &LinkLimits) -> usize {
    links.max(limits.entries_per_agent.max(1) as usize).min(entries.max(1))
}

/// Returns the entries in an agent's order of preference. The order is stable, and differs
/// from agent to agent.
#[must_use]
pub fn rank_entries<E: Copy + ToString>(agent: &str, entries: &[E]) -> Vec<E> {
    let mut ranked = entries.to_vec();
    ranked.sort_by_cached_key(|entry| Reverse(weight(agent, &entry.to_string())));
    ranked
}

/// State of an agent's link to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// The link is being dialled, or is connected and not being closed.
    pub is_kept: bool,
    /// Since when it is connected, in monotonic milliseconds.
    pub connected_since_ms: Option<u64>,
    /// Since when dialling fails, in monotonic milliseconds.
    pub failing_since_ms: Option<u64>,
}

impl LinkState {
    fn is_unreachable(&self, now_ms: u64) -> bool {
        self.failing_since_ms.is_some_and(|since_ms| now_ms >= since_ms + REPLACE_AFTER_MS)
    }

    /// Returns whether it has worked long enough that less preferred links may be closed.
    #[must_use]
    pub fn is_stable(&self, now_ms: u64) -> bool {
        self.connected_since_ms.is_some_and(|since_ms| now_ms >= since_ms + STABLE_AFTER_MS)
    }
}

/// Links to open and to close.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkChoice<E> {
    /// Entries to dial.
    pub dial: Vec<E>,
    /// Entries whose links are to be closed.
    pub end: Vec<E>,
}

/// Chooses among entries in the agent's order of preference.
///
/// The first `wanted` reachable entries are linked, and the agent keeps dialling the
/// unreachable ones before them. Other links are closed once enough of these are stable.
#[must_use]
pub fn select_links<E: Copy>(
    ranked: &[(E, LinkState)],
    wanted: usize,
    now_ms: u64,
) -> LinkChoice<E> {
    let mut reachable = 0;
    let mut candidate_count = 0;
    for (_, state) in ranked.iter().take(wanted * CANDIDATES_PER_LINK) {
        if reachable == wanted {
            break;
        }
        candidate_count += 1;
        reachable += usize::from(!state.is_unreachable(now_ms));
    }
    let (first, others) = ranked.split_at(candidate_count);
    let is_missing = |(_, state): &&(E, LinkState)| !state.is_kept;
    let dial = first.iter().filter(is_missing).map(|(entry, _)| *entry).collect();
    let is_working = |(_, state): &&(E, LinkState)| state.is_kept && state.is_stable(now_ms);
    let works = first.iter().filter(is_working).count();
    let end = if works < wanted.min(ranked.len()) {
        Vec::new()
    } else {
        others.iter().filter(|(_, state)| state.is_kept).map(|(entry, _)| *entry).collect()
    };
    LinkChoice { dial, end }
}

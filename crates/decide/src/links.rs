//! Which entries an agent keeps links to.
//!
//! With a link from each agent to each entry, what an agent has to tell grows with the
//! number of entries, and what an entry looks at for each task with that of agents. So an
//! agent links to some entries only, chosen by rendezvous hashing of both names: each
//! entry has agents of its own, and few links move when an entry comes or goes. How many
//! follows from what entries tell of the agents they have. Where there are few entries or
//! few agents the same rule gives a link to every entry.

use {crate::rendezvous::weight, std::cmp::Reverse};

/// An entry that cannot be reached for this long is replaced by another, in milliseconds:
/// a restart takes less, and a lost entry's callers have gone to others by then.
const REPLACED_AFTER_MS: u64 = 1_000;
/// A link is let go only when those that are preferred to it have worked for so long, in
/// milliseconds: longer than most jobs and than one heartbeat goes unnoticed.
const SETTLED_MS: u64 = 2_000;
/// Entries looked at, for each link wanted: with all of them lost an agent dials no more.
const LOOKED_AT: usize = 2;
/// Agents that an entry must have beyond its least, in percent, before an agent has one
/// link less: counts of single entries differ by a fifth from their mean.
const TOO_MANY_PERCENT: usize = 150;

/// How many links there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Entries that each agent links to, at least.
    pub entries_per_agent: u32,
    /// Agents of its pool that an entry has, at least, where there are as many.
    pub agents_per_entry: u32,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            // With a third of all entries lost at once one agent in 240 has none left, until
            // it has dialled others.
            entries_per_agent: 5,
            // Model, 55 entries, 240 upstreams: 18 have 98.8 % of all jobs in time, 24 have
            // 98.9 %, and 32 have less than 24 (98.0 and 98.3 % with loads each 20 ms) for
            // more messages.
            agents_per_entry: 24,
        }
    }
}

/// Links of each agent that give every entry its agents, where their number is known.
#[must_use]
pub fn links_per_agent(entries: usize, agents: usize, limits: &LinkLimits) -> usize {
    let wanted = (entries * limits.agents_per_entry as usize).div_ceil(agents.max(1));
    bounded(wanted, entries, limits)
}

/// Links that an agent is to have, by those it wanted so far and the agents of its pool
/// that the entries at its links have. It at most doubles at a time, as counts are low
/// while agents start.
#[must_use]
pub fn next_link_count(wanted: usize, entries: usize, seen: &[u32], limits: &LinkLimits) -> usize {
    let wanted = bounded(wanted, entries, limits);
    let least = limits.agents_per_entry as usize;
    let sum = seen.iter().map(|agents| *agents as usize).sum::<usize>();
    if seen.is_empty() || sum == 0 {
        return wanted;
    }
    let needed = (wanted * least * seen.len()).div_ceil(sum);
    let with_one_less = sum * (wanted - 1) / wanted;
    let next = if needed > wanted {
        needed.min(wanted * 2)
    } else if with_one_less * 100 >= least * seen.len() * TOO_MANY_PERCENT {
        wanted - 1
    } else {
        wanted
    };
    bounded(next, entries, limits)
}

fn bounded(links: usize, entries: usize, limits: &LinkLimits) -> usize {
    links.max(limits.entries_per_agent.max(1) as usize).min(entries.max(1))
}

/// The entries in an agent's order of preference: the same whenever it is asked, and
/// another one for each agent.
#[must_use]
pub fn rank_entries<E: Copy + ToString>(agent: &str, entries: &[E]) -> Vec<E> {
    let mut ranked = entries.to_vec();
    ranked.sort_by_cached_key(|entry| Reverse(weight(agent, &entry.to_string())));
    ranked
}

/// What an agent knows of its link to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// It is dialled, or connected and not being ended.
    pub is_kept: bool,
    /// Since when there is a connection.
    pub connected_since_ms: Option<u64>,
    /// Since when it cannot be reached although it is dialled.
    pub failing_since_ms: Option<u64>,
}

impl LinkState {
    fn is_replaced(&self, now_ms: u64) -> bool {
        self.failing_since_ms.is_some_and(|since_ms| now_ms >= since_ms + REPLACED_AFTER_MS)
    }

    /// Whether it has worked for a while.
    #[must_use]
    pub fn is_stable(&self, now_ms: u64) -> bool {
        self.connected_since_ms.is_some_and(|since_ms| now_ms >= since_ms + SETTLED_MS)
    }
}

/// What is to be done about links.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkChoice<E> {
    /// Entries to dial.
    pub dial: Vec<E>,
    /// Entries whose links are to be ended.
    pub end: Vec<E>,
}

/// Chooses among entries in the agent's order of preference.
///
/// The first `wanted` that can be reached are kept, and those before them that cannot are
/// dialled on. Others are let go once all that are wanted work.
#[must_use]
pub fn select_links<E: Copy>(
    ranked: &[(E, LinkState)],
    wanted: usize,
    now_ms: u64,
) -> LinkChoice<E> {
    let mut reachable = 0;
    let mut looked_at = 0;
    for (_, state) in ranked.iter().take(wanted * LOOKED_AT) {
        if reachable == wanted {
            break;
        }
        looked_at += 1;
        reachable += usize::from(!state.is_replaced(now_ms));
    }
    let (first, others) = ranked.split_at(looked_at);
    let is_wanted = |(_, state): &&(E, LinkState)| !state.is_kept;
    let dial = first.iter().filter(is_wanted).map(|(entry, _)| *entry).collect();
    let works = |(_, state): &&(E, LinkState)| state.is_kept && state.is_stable(now_ms);
    let works = first.iter().filter(works).count();
    let end = if works < wanted.min(ranked.len()) {
        Vec::new()
    } else {
        others.iter().filter(|(_, state)| state.is_kept).map(|(entry, _)| *entry).collect()
    };
    LinkChoice { dial, end }
}

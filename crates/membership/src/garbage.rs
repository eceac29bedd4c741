//! Which old records may be retired, closed or deleted. Pure.
//!
//! A record of an agent must stay as long as an entry can still have placed a
//! task there whose id is within the retention: whoever fences that entry has
//! to hear the agent, or count it as silent. Hence the order
//!
//! 1. the agent is retired: no entry that sees it uses the agent any more;
//! 2. each home has taken note, or is fenced with its fence marked silent;
//! 3. the retention and a margin for clocks that differ pass;
//! 4. the record is deleted.

use {
    crate::members::{Members, Recorded},
    std::collections::BTreeMap,
    sycamorerail_wire::ids::Incarnation,
};

/// Most changes asked for at once.
pub const MAX_CHANGES: usize = 8;

/// Times of the sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SweepTimes {
    /// How long ids are valid.
    pub retention_ms: u64,
    /// How far apart the entries' clocks may be.
    pub clock_margin_ms: u64,
}

impl SweepTimes {
    fn settled_ms(self) -> u64 {
        self.retention_ms + self.clock_margin_ms
    }
}

/// A change of the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Mark the agent as retired.
    RetireAgent(Incarnation),
    /// The agent is heard by this entry: take the mark back.
    RestoreAgent(Incarnation),
    /// Delete the agent's record.
    DeleteAgent(Incarnation),
    /// The home is neither announced nor fenced: fence it, unless it answers.
    FenceHome(Incarnation),
    /// Mark the home's fence as silent.
    SilenceFence(Incarnation),
    /// Delete the home's record.
    DeleteHome(Incarnation),
}

/// Since when this entry has seen things stand as they do.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    since_ms: BTreeMap<Standing, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// The agent is not connected here.
    Unheard(Incarnation),
    /// A later run of the agent is registered.
    Replaced(Incarnation),
    /// All homes have taken note of the agent's retirement at this revision.
    Noted(Incarnation, u64),
    /// The home is not announced.
    Unannounced(Incarnation),
    /// The home is fenced.
    Fenced(Incarnation),
}

impl Memory {
    /// Forgets when a home was last seen announced, as it has just answered.
    pub fn home_answered(&mut self, home: Incarnation) {
        self.since_ms.remove(&Standing::Unannounced(home));
    }
}

/// What one entry sees.
pub struct Sight<'a> {
    /// The records.
    pub members: &'a Members,
    /// The entry's own incarnation.
    pub own: Incarnation,
    /// Whether an agent is connected here.
    pub connected: &'a dyn Fn(Incarnation) -> bool,
}

impl Sight<'_> {
    /// Whether this entry sweeps: the one announced with the lowest
    /// incarnation. Two that think so do no harm, each change is conditional.
    fn sweeps(&self) -> bool {
        self.members.entries.keys().next() == Some(&self.own)
    }
}

/// Decides on the changes due now, few at a time.
pub fn decide(
    memory: &mut Memory,
    sight: &Sight<'_>,
    times: SweepTimes,
    now_ms: u64,
) -> Vec<Change> {
    let mut changes = restored(sight);
    if sight.sweeps() {
        let standings = standings(sight);
        memory.since_ms.retain(|standing, _| standings.contains(standing));
        for &standing in &standings {
            memory.since_ms.entry(standing).or_insert(now_ms);
        }
        let due = memory.since_ms.iter().filter_map(|(&standing, &since_ms)| {
            due(sight.members, standing, now_ms.saturating_sub(since_ms), times)
        });
        changes.extend(due);
    } else {
        memory.since_ms.clear();
    }
    changes.sort_unstable();
    changes.dedup();
    changes.truncate(MAX_CHANGES);
    changes
}

fn restored(sight: &Sight<'_>) -> Vec<Change> {
    let replaced = sight.members.replaced();
    let agents = sight.members.agents.iter().filter(|(_, agent)| agent.record.retired);
    agents
        .filter(|(key, _)| (sight.connected)(**key) && !replaced.contains(key))
        .map(|(key, _)| Change::RestoreAgent(*key))
        .collect()
}

fn standings(sight: &Sight<'_>) -> Vec<Standing> {
    let members = sight.members;
    let replaced = members.replaced();
    let mut standings = Vec::new();
    for (&key, agent) in &members.agents {
        if agent.record.retired {
            if all_noted(members, agent.modified) {
                standings.push(Standing::Noted(key, agent.modified));
            }
        } else if replaced.contains(&key) {
            standings.push(Standing::Replaced(key));
        } else if !(sight.connected)(key) {
            standings.push(Standing::Unheard(key));
        }
    }
    for home in members.homes.keys().filter(|home| **home != sight.own) {
        if members.fenced.contains_key(home) {
            standings.push(Standing::Fenced(*home));
        } else if !members.entries.contains_key(home) {
            standings.push(Standing::Unannounced(*home));
        }
    }
    standings
}

/// Whether no home can use an agent retired at this revision, or what it used
/// it for can't be concluded from the agent's absence.
fn all_noted(members: &Members, retired_at: u64) -> bool {
    members.homes.iter().all(|(home, known)| {
        let noted = known.created > retired_at || known.record.seen >= retired_at;
        noted || is_silent(members, *home)
    })
}

fn is_silent(members: &Members, home: Incarnation) -> bool {
    members.fenced.get(&home).is_some_and(|fence: &Recorded<_>| fence.record.silent)
}

fn due(members: &Members, standing: Standing, for_ms: u64, times: SweepTimes) -> Option<Change> {
    let settled = for_ms > times.settled_ms();
    match standing {
        Standing::Replaced(agent) if for_ms > times.clock_margin_ms => {
            Some(Change::RetireAgent(agent))
        }
        Standing::Unheard(agent) if settled => Some(Change::RetireAgent(agent)),
        Standing::Noted(agent, _) if settled => Some(Change::DeleteAgent(agent)),
        Standing::Unannounced(home) if settled => Some(Change::FenceHome(home)),
        Standing::Fenced(home) if is_silent(members, home) => Some(Change::DeleteHome(home)),
        Standing::Fenced(home) if settled => Some(Change::SilenceFence(home)),
        _ => None,
    }
}

//! Which entries there are, as the roster and the agents tell.

use {
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
    },
    sycamorerail_decide::dispatch::AgentKey,
    sycamorerail_wire::runs::EntryAddress,
};

/// Entries known, by who told.
#[derive(Debug, Default)]
pub(super) struct Cluster {
    /// Those of the roster, or this entry alone before the roster was read in this process.
    pub(super) roster: Vec<EntryAddress>,
    /// Whether the roster was read in this process.
    pub(super) is_roster_read: bool,
    /// Those that each agent linked here knows.
    pub(super) by_agent: HashMap<AgentKey, AgentsEntries>,
}

/// Entries that an agent knows.
#[derive(Debug)]
pub(super) struct AgentsEntries {
    /// It is connected to them.
    pub(super) connected: Vec<SocketAddr>,
    /// Its entries told it of them.
    pub(super) named: Vec<EntryAddress>,
}

impl Cluster {
    /// Entries that are surely there, to tell agents of. What agents were told is not
    /// among them: entries that are gone would be named for ever.
    pub(super) fn members(&self) -> Vec<EntryAddress> {
        let connected = self.by_agent.values().flat_map(|entries| &entries.connected).copied();
        let rostered = self.roster.iter().map(|entry| entry.address);
        self.located(rostered.chain(connected).collect())
    }

    /// Adds the data centres of entries, as far as they are known.
    fn located(&self, addresses: BTreeSet<SocketAddr>) -> Vec<EntryAddress> {
        let named = self.by_agent.values().flat_map(|entries| &entries.named);
        let known: BTreeMap<_, _> = named
            .chain(&self.roster)
            .filter(|entry| !entry.data_centre.is_empty())
            .map(|entry| (entry.address, &entry.data_centre))
            .collect();
        let located = |address| {
            let data_centre = known.get(&address).copied().cloned().unwrap_or_default();
            EntryAddress { address, data_centre }
        };
        addresses.into_iter().map(located).collect()
    }

    /// Whether [`Self::all`] names every entry that may hold a job. What agents tell does not: at
    /// the start of an entry, few or none are connected, and each knows the entries of its own
    /// links.
    pub(super) fn is_complete(&self) -> bool {
        self.is_roster_read
    }

    /// All that may be there.
    pub(super) fn all(&self) -> BTreeSet<SocketAddr> {
        let named = self.by_agent.values().flat_map(|entries| &entries.named);
        let known = self.members();
        known.iter().chain(named).map(|entry| entry.address).collect()
    }
}

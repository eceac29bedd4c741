//! One consistent reading of the records, and which agents may be used.

use {
    crate::{
        keys::{self, AGENTS, ENTRIES, FENCED, HOMES},
        record::{self, AgentRecord, EntryRecord, FenceRecord, HomeRecord},
    },
    serde::de::DeserializeOwned,
    std::collections::{BTreeMap, HashMap, HashSet},
    sycamorerail_platform::{KeyValue, table::Table},
    sycamorerail_wire::ids::Incarnation,
};

/// A record with its revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded<R> {
    /// The value.
    pub record: R,
    /// Platform revision at which it was created.
    pub created: u64,
    /// Platform revision of its last change.
    pub modified: u64,
}

/// All records as of one platform revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Platform revision as of which this is exact.
    pub mark: u64,
    /// Entries that serve.
    pub entries: BTreeMap<Incarnation, Recorded<EntryRecord>>,
    /// Incarnations of entries that may place work.
    pub homes: BTreeMap<Incarnation, Recorded<HomeRecord>>,
    /// The roster.
    pub agents: BTreeMap<Incarnation, Recorded<AgentRecord>>,
    /// Incarnations of entries fenced for good.
    pub fenced: BTreeMap<Incarnation, Recorded<FenceRecord>>,
}

impl Members {
    /// Reads the records of a copy of the platform's prefix.
    ///
    /// Records ahead of the copy's mark, which came from a peer, are left out:
    /// among them a registration could show without a fence before it. The
    /// entries are the exception, as nothing depends on their order.
    #[must_use]
    pub fn read(table: &Table) -> Self {
        Self {
            mark: table.mark(),
            entries: read(table, ENTRIES, u64::MAX),
            homes: read(table, HOMES, table.mark()),
            agents: read(table, AGENTS, table.mark()),
            fenced: read_fenced(table),
        }
    }

    /// Whether `home` may place work at `agent`.
    ///
    /// Both its own record and the agent's registration show, the agent is
    /// not retired, and no fence of `home` shows.
    #[must_use]
    pub fn may_use(&self, home: Incarnation, agent: Incarnation) -> bool {
        self.homes.contains_key(&home)
            && !self.fenced.contains_key(&home)
            && self.agents.get(&agent).is_some_and(|known| !known.record.retired)
    }

    /// Highest revision at which an agent was retired; 0 for none.
    #[must_use]
    pub fn last_retirement(&self) -> u64 {
        let retired = self.agents.values().filter(|agent| agent.record.retired);
        retired.map(|agent| agent.modified).max().unwrap_or(0)
    }

    /// Agents that were replaced by later runs of the same names.
    #[must_use]
    pub fn replaced(&self) -> HashSet<Incarnation> {
        let mut latest: HashMap<&str, u64> = HashMap::new();
        for agent in self.agents.values() {
            let created = latest.entry(&agent.record.agent.name).or_default();
            *created = agent.created.max(*created);
        }
        let is_replaced =
            |agent: &Recorded<AgentRecord>| agent.created < latest[&*agent.record.agent.name];
        let replaced = self.agents.iter().filter(|(_, agent)| is_replaced(agent));
        replaced.map(|(run, _)| *run).collect()
    }
}

/// A fence holds whatever its value says, and also if a peer told it.
fn read_fenced(table: &Table) -> BTreeMap<Incarnation, Recorded<FenceRecord>> {
    let unreadable = FenceRecord { fenced_unix_ms: 0, silent: true };
    let read = |item: &KeyValue| {
        let record = record::from_json(&item.value).unwrap_or_else(|| unreadable.clone());
        Recorded { record, created: item.created, modified: item.modified }
    };
    let items = table.list(FENCED);
    items.filter_map(|item| Some((keys::incarnation(FENCED, &item.key)?, read(item)))).collect()
}

fn read<R: DeserializeOwned>(
    table: &Table,
    prefix: &str,
    most: u64,
) -> BTreeMap<Incarnation, Recorded<R>> {
    let items = table.list(prefix).filter(|item| item.modified <= most);
    items
        .filter_map(|item| {
            let incarnation = keys::incarnation(prefix, &item.key)?;
            let record = record::from_json(&item.value)?;
            let recorded = Recorded { record, created: item.created, modified: item.modified };
            Some((incarnation, recorded))
        })
        .collect()
}

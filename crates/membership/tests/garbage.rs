//! Old records: what is retired, closed and deleted, and that no fence can
//! miss an agent that its home may have used within the retention.

use {
    proptest::{collection::vec, prelude::*, sample::Index},
    std::collections::{BTreeMap, BTreeSet},
    sycamorerail_membership::{
        AgentRecord, EntryRecord, FenceRecord, HomeRecord, Members,
        garbage::{Change, Memory, Sight, SweepTimes, decide},
        members::Recorded,
    },
    sycamorerail_wire::{ids::Incarnation, message::AgentIdentity},
};

const TIMES: SweepTimes = SweepTimes { retention_ms: 100, clock_margin_ms: 20 };
const MOST_HOMES: u64 = 5;
const MOST_AGENTS: u64 = 6;

#[derive(Clone, Debug)]
enum Op {
    AddHome,
    AddAgent { replaces: bool },
    Follow(Index),
    TakeNote(Index),
    Use(Index, Index),
    Lapse(Index),
    Announce(Index),
    Connect(Index, Index, bool),
    Reach(Index, bool),
    Sweep(Index),
    Fence(Index),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let index = any::<Index>;
    prop_oneof![
        1 => Just(Op::AddHome),
        2 => any::<bool>().prop_map(|replaces| Op::AddAgent { replaces }),
        12 => index().prop_map(Op::Follow),
        8 => index().prop_map(Op::TakeNote),
        10 => (index(), index()).prop_map(|(home, agent)| Op::Use(home, agent)),
        2 => index().prop_map(Op::Lapse),
        2 => index().prop_map(Op::Announce),
        3 => (index(), index(), any::<bool>()).prop_map(|(home, agent, on)| {
            Op::Connect(home, agent, on)
        }),
        2 => (index(), any::<bool>()).prop_map(|(home, on)| Op::Reach(home, on)),
        20 => index().prop_map(Op::Sweep),
        1 => index().prop_map(Op::Fence),
        12 => (1..60_u64).prop_map(Op::Wait),
    ]
}

/// One entry: what it has seen of the platform, and what it did.
#[derive(Default)]
struct Home {
    seen: Members,
    memory: Memory,
    connected: BTreeSet<Incarnation>,
    reachable: bool,
    retired: bool,
    /// Last time it may have placed a task of a new id at each agent.
    used_ms: BTreeMap<Incarnation, u64>,
}

#[derive(Default)]
struct Model {
    now_ms: u64,
    platform: Members,
    homes: BTreeMap<Incarnation, Home>,
    agents: Vec<Incarnation>,
    deleted: usize,
}

fn entry() -> EntryRecord {
    let address = "10.0.0.1:1".parse().unwrap();
    EntryRecord {
        name: "e".to_owned(),
        data_centre: "d".to_owned(),
        inner_address: address,
        http_address: address,
    }
}

fn agent(run: Incarnation, name: String) -> AgentRecord {
    let agent = AgentIdentity {
        incarnation: run,
        name,
        address: "10.0.0.2:1".parse().unwrap(),
        data_centre: "d".to_owned(),
        rack: "r".to_owned(),
    };
    AgentRecord { agent, registered_unix_ms: 0, retired: false }
}

/// Writes a record if its last change was at `expected`.
fn swap<R>(
    mark: &mut u64,
    records: &mut BTreeMap<Incarnation, Recorded<R>>,
    key: Incarnation,
    expected: Option<u64>,
    record: R,
) {
    let current = records.get(&key);
    if current.map(|known| known.modified) == expected {
        let created = current.map_or(*mark + 1, |known| known.created);
        *mark += 1;
        records.insert(key, Recorded { record, created, modified: *mark });
    }
}

/// Deletes a record if its last change was at `expected`.
fn delete<R>(
    mark: &mut u64,
    records: &mut BTreeMap<Incarnation, Recorded<R>>,
    key: Incarnation,
    expected: u64,
) -> bool {
    let same = records.get(&key).is_some_and(|known| known.modified == expected);
    if same {
        *mark += 1;
        records.remove(&key);
    }
    same
}

impl Model {
    fn step(&mut self, op: Op) {
        match op {
            Op::AddHome => self.add_home(),
            Op::AddAgent { replaces } => self.add_agent(replaces),
            Op::Follow(home) => self.with(home, Self::follow),
            Op::TakeNote(home) => self.with(home, Self::take_note),
            Op::Use(home, agent) => self.use_agent(home, agent),
            Op::Lapse(home) => self.with(home, |model, home| {
                if model.platform.entries.remove(&home).is_some() {
                    model.platform.mark += 1;
                }
            }),
            Op::Announce(home) => self.with(home, |model, home| {
                let Members { mark, entries, .. } = &mut model.platform;
                swap(mark, entries, home, None, entry());
            }),
            Op::Connect(home, agent, on) => self.connect(home, agent, on),
            Op::Reach(home, on) => self.with(home, |model, home| {
                model.homes.get_mut(&home).unwrap().reachable = on;
            }),
            Op::Sweep(home) => self.with(home, Self::sweep),
            Op::Fence(home) => self.with(home, |model, home| {
                let Members { mark, fenced, .. } = &mut model.platform;
                swap(mark, fenced, home, None, FenceRecord::default());
            }),
            Op::Wait(ms) => self.now_ms += ms,
        }
        self.check();
    }

    fn with(&mut self, index: Index, act: impl FnOnce(&mut Self, Incarnation)) {
        let homes: Vec<_> = self.homes.keys().copied().collect();
        if !homes.is_empty() {
            act(self, homes[index.index(homes.len())]);
        }
    }

    fn add_home(&mut self) {
        let key = Incarnation(1 + self.homes.len() as u64);
        if key.0 > MOST_HOMES {
            return;
        }
        self.homes.insert(key, Home::default());
        let Members { mark, entries, homes, .. } = &mut self.platform;
        swap(mark, entries, key, None, entry());
        let inner_address = entry().inner_address;
        swap(mark, homes, key, None, HomeRecord { inner_address, seen: 0 });
    }

    fn add_agent(&mut self, replaces: bool) {
        let number = self.agents.len() as u64;
        if number >= MOST_AGENTS {
            return;
        }
        let run = Incarnation(100 + number);
        self.agents.push(run);
        let name = format!("agent-{}", if replaces { number / 2 } else { number });
        let Members { mark, agents, .. } = &mut self.platform;
        swap(mark, agents, run, None, agent(run, name));
    }

    fn follow(&mut self, home: Incarnation) {
        let entry = self.homes.get_mut(&home).unwrap();
        entry.seen = self.platform.clone();
        entry.retired |= entry.seen.fenced.contains_key(&home);
    }

    /// As the entry's own record is kept: after what was seen is in force.
    fn take_note(&mut self, home: Incarnation) {
        let seen = &self.homes[&home].seen;
        let Some(own) = seen.homes.get(&home) else { return };
        let is_fenced = self.platform.fenced.contains_key(&home);
        if own.record.seen < seen.last_retirement() && !is_fenced {
            let record = HomeRecord { seen: seen.mark, ..own.record.clone() };
            let Members { mark, homes, .. } = &mut self.platform;
            swap(mark, homes, home, Some(own.modified), record);
        }
    }

    fn use_agent(&mut self, home: Index, agent: Index) {
        if self.agents.is_empty() {
            return;
        }
        let agent = self.agents[agent.index(self.agents.len())];
        self.with(home, |model, home| {
            let now_ms = model.now_ms;
            let entry = model.homes.get_mut(&home).unwrap();
            if !entry.retired && entry.seen.may_use(home, agent) {
                entry.used_ms.insert(agent, now_ms);
            }
        });
    }

    fn connect(&mut self, home: Index, agent: Index, on: bool) {
        if self.agents.is_empty() {
            return;
        }
        let agent = self.agents[agent.index(self.agents.len())];
        self.with(home, |model, home| {
            let connected = &mut model.homes.get_mut(&home).unwrap().connected;
            if on {
                connected.insert(agent)
            } else {
                connected.remove(&agent)
            };
        });
    }

    fn sweep(&mut self, home: Incarnation) {
        let entry = self.homes.get_mut(&home).unwrap();
        let connected = |agent: Incarnation| entry.connected.contains(&agent);
        let sight = Sight { members: &entry.seen, own: home, connected: &connected };
        let changes = decide(&mut entry.memory, &sight, TIMES, self.now_ms);
        let seen = entry.seen.clone();
        for change in changes {
            self.carry_out(home, &seen, change);
        }
    }

    fn carry_out(&mut self, sweeper: Incarnation, seen: &Members, change: Change) {
        if let Change::FenceHome(home) = change
            && self.homes[&home].reachable
        {
            return self.homes.get_mut(&sweeper).unwrap().memory.home_answered(home);
        }
        let Members { mark, homes, agents, fenced, .. } = &mut self.platform;
        match change {
            Change::RetireAgent(agent) | Change::RestoreAgent(agent) => {
                let known = &seen.agents[&agent];
                let retired = matches!(change, Change::RetireAgent(_));
                let record = AgentRecord { retired, ..known.record.clone() };
                swap(mark, agents, agent, Some(known.modified), record);
            }
            Change::DeleteAgent(agent) => {
                let modified = seen.agents[&agent].modified;
                self.deleted += usize::from(delete(mark, agents, agent, modified));
            }
            Change::DeleteHome(home) => {
                delete(mark, homes, home, seen.homes[&home].modified);
            }
            Change::FenceHome(home) | Change::SilenceFence(home) => {
                let expected = seen.fenced.get(&home).map(|known| known.modified);
                let record = FenceRecord { fenced_unix_ms: 0, silent: true };
                swap(mark, fenced, home, expected, record);
            }
        }
    }

    /// Whoever fences a home now, and takes ids as valid a margin too long,
    /// must find each agent that the home may have used for them.
    fn check(&self) {
        for (key, home) in &self.homes {
            let silent = self.platform.fenced.get(key).is_some_and(|fence| fence.record.silent);
            let oldest_ms = self.now_ms.saturating_sub(TIMES.retention_ms + TIMES.clock_margin_ms);
            for (agent, used_ms) in &home.used_ms {
                let in_roster = self.platform.agents.contains_key(agent);
                let valid = *used_ms >= oldest_ms;
                assert!(silent || in_roster || !valid, "{key} used {agent} at {used_ms}");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn roster_whole(ops in vec(op(), 1..250)) {
        let mut model = Model::default();
        model.add_home();
        model.add_agent(false);
        ops.into_iter().for_each(|op| model.step(op));
    }

    #[test]
    fn cut_home_counted(ops in vec(cut_op(), 1..120)) {
        let (mut model, one, two) = two_homes();
        (0..3).for_each(|_| model.add_agent(true));
        model.follow(one);
        model.follow(two);
        for op in ops {
            match op {
                CutOp::Sweep => {
                    model.follow(one);
                    model.take_note(one);
                    model.sweep(one);
                }
                CutOp::Glimpse => model.follow(two),
                CutOp::Note => model.take_note(two),
                CutOp::Any(op) => model.step(op),
            }
            model.check();
        }
    }
}

/// What happens around a home that sees the platform seldom.
#[derive(Clone, Debug)]
enum CutOp {
    /// The other home sees the platform and sweeps.
    Sweep,
    /// The home sees the platform once.
    Glimpse,
    /// The home tells what it saw.
    Note,
    Any(Op),
}

fn cut_op() -> impl Strategy<Value = CutOp> {
    let index = any::<Index>;
    let other = prop_oneof![
        2 => (index(), any::<bool>()).prop_map(|(home, on)| Op::Reach(home, on)),
        1 => index().prop_map(Op::Lapse),
        1 => index().prop_map(Op::Fence),
        2 => any::<bool>().prop_map(|replaces| Op::AddAgent { replaces }),
    ];
    prop_oneof![
        40 => Just(CutOp::Sweep),
        2 => Just(CutOp::Glimpse),
        2 => Just(CutOp::Note),
        20 => (index(), index()).prop_map(|(home, agent)| CutOp::Any(Op::Use(home, agent))),
        20 => (1..130_u64).prop_map(|ms| CutOp::Any(Op::Wait(ms))),
        6 => other.prop_map(CutOp::Any),
    ]
}

/// Follows and sweeps at the first entry until nothing is due any more.
fn sweep_long(model: &mut Model) {
    for _ in 0..40 {
        let homes: Vec<_> = model.homes.keys().copied().collect();
        for home in homes {
            if model.platform.entries.contains_key(&home) {
                model.follow(home);
                model.take_note(home);
                model.sweep(home);
            }
        }
        model.now_ms += 30;
        model.check();
    }
}

fn two_homes() -> (Model, Incarnation, Incarnation) {
    let mut model = Model::default();
    model.add_home();
    model.add_home();
    (model, Incarnation(1), Incarnation(2))
}

#[test]
fn replaced_deleted() {
    let (mut model, one, _) = two_homes();
    model.add_agent(true);
    model.add_agent(true);
    model.homes.get_mut(&one).unwrap().connected.insert(Incarnation(101));
    sweep_long(&mut model);
    let left: Vec<_> = model.platform.agents.keys().copied().collect();
    assert_eq!((left, model.deleted), (vec![Incarnation(101)], 1));
}

#[test]
fn heard_stays() {
    let (mut model, one, two) = two_homes();
    model.add_agent(false);
    model.add_agent(false);
    model.homes.get_mut(&one).unwrap().connected.insert(Incarnation(100));
    // The second is heard by an entry that doesn't sweep: it takes the mark
    // back each time.
    model.homes.get_mut(&two).unwrap().connected.insert(Incarnation(101));
    sweep_long(&mut model);
    assert_eq!(model.platform.agents.len(), 2);
}

#[test]
fn dead_home_closed() {
    let (mut model, one, two) = two_homes();
    model.add_agent(false);
    model.platform.entries.remove(&two);
    sweep_long(&mut model);
    assert!(model.platform.fenced[&two].record.silent);
    let homes: Vec<_> = model.platform.homes.keys().copied().collect();
    assert_eq!(homes, [one]);
    assert_eq!(model.deleted, 1, "the agent that nobody heard");
}

#[test]
fn cut_home_spared() {
    let (mut model, _, two) = two_homes();
    model.add_agent(false);
    model.follow(two);
    model.platform.entries.remove(&two);
    model.homes.get_mut(&two).unwrap().reachable = true;
    sweep_long(&mut model);
    assert!(!model.platform.fenced.contains_key(&two), "it answers");
    assert_eq!(model.deleted, 0, "it has not taken note of the retirement");
}

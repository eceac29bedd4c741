//! The copy of a prefix under any order of watch, poll and peers.

use {
    proptest::{collection::vec, prelude::*, sample::Index},
    std::collections::BTreeMap,
    sycamorerail_platform::{
        KeyValue,
        table::{Applied, Change, Table},
    },
};

const KEYS: [&str; 4] = ["/p/a", "/p/b", "/p/c", "/p/d"];

/// One revision of the platform: a change of the prefix, or of something else.
#[derive(Clone, Debug)]
enum Step {
    Put(usize),
    Delete(usize),
    Elsewhere,
}

/// Something that reaches the table.
#[derive(Clone, Debug)]
enum Delivery {
    Changes(Index, Index),
    Full(Index),
    Outline(Index),
    Progress(Index, Index),
    Peer(Index, Vec<bool>),
}

type State = BTreeMap<String, KeyValue>;

/// What happened at the platform.
struct History {
    changes: Vec<Change>,
    /// The state as of each revision.
    states: Vec<State>,
}

impl History {
    fn of(steps: &[Step]) -> Self {
        let mut states = vec![State::new(), State::new()];
        let mut changes = Vec::new();
        for step in steps {
            let revision = states.len() as u64;
            let mut state = states.last().unwrap().clone();
            changes.extend(Self::change(step, revision, &state));
            match changes.last() {
                Some(Change::Put(item)) if item.modified == revision => {
                    state.insert(item.key.clone(), item.clone());
                }
                Some(Change::Delete { key, revision: at }) if *at == revision => {
                    state.remove(key);
                }
                _ => {}
            }
            states.push(state);
        }
        Self { changes, states }
    }

    fn change(step: &Step, revision: u64, state: &State) -> Option<Change> {
        match *step {
            Step::Put(index) => {
                let key = KEYS[index].to_owned();
                let created = state.get(&key).map_or(revision, |known| known.created);
                let value = revision.to_string();
                Some(Change::Put(KeyValue { key, value, created, modified: revision, lease: 0 }))
            }
            Step::Delete(index) if state.contains_key(KEYS[index]) => {
                Some(Change::Delete { key: KEYS[index].to_owned(), revision })
            }
            _ => None,
        }
    }

    fn last(&self) -> u64 {
        self.states.len() as u64 - 1
    }

    fn at(&self, revision: u64) -> &State {
        &self.states[usize::try_from(revision).unwrap()]
    }

    fn pick(&self, index: Index) -> u64 {
        index.index(self.states.len()) as u64
    }

    fn between(&self, after: u64, up_to: u64) -> Vec<Change> {
        let inside = |change: &&Change| (after + 1..=up_to).contains(&change.revision());
        self.changes.iter().filter(inside).cloned().collect()
    }

    fn items(&self, revision: u64) -> Vec<KeyValue> {
        self.at(revision).values().cloned().collect()
    }
}

fn deliver(history: &History, table: &mut Table, delivery: &Delivery) {
    match delivery {
        Delivery::Changes(one, other) => {
            let (one, other) = (history.pick(*one), history.pick(*other));
            let (after, up_to) = (one.min(other), one.max(other));
            table.apply_changes(after, &history.between(after, up_to));
        }
        Delivery::Full(at) => {
            let at = history.pick(*at);
            table.apply_full(at, history.items(at));
        }
        Delivery::Outline(at) => {
            let at = history.pick(*at);
            let outline: Vec<_> =
                history.items(at).into_iter().map(|item| (item.key, item.modified)).collect();
            table.confirm_full(at, &outline);
        }
        Delivery::Progress(one, other) => {
            let (one, other) = (history.pick(*one), history.pick(*other));
            let (after, up_to) = (one.min(other), one.max(other));
            if history.between(after, up_to).is_empty() {
                table.apply_progress(after, up_to);
            }
        }
        Delivery::Peer(at, held) => {
            let items = history.items(history.pick(*at)).into_iter().zip(held);
            let items: Vec<_> = items.filter(|(_, held)| **held).map(|(item, _)| item).collect();
            table.apply_from_peer(&items);
        }
    }
}

fn held(table: &Table) -> State {
    table.list("/p/").map(|item| (item.key.clone(), item.clone())).collect()
}

/// Up to its mark the table is exact; what is beyond came from a peer.
fn exact(history: &History, table: &Table) -> Result<(), TestCaseError> {
    let held = held(table);
    let ahead = |item: &KeyValue| item.modified > table.mark();
    for item in held.values().filter(|item| ahead(item)) {
        prop_assert_eq!(history.at(item.modified).get(&item.key), Some(item));
    }
    if !table.synced() {
        prop_assert!(held.values().all(ahead));
        return Ok(());
    }
    let told = history.at(table.mark());
    for key in KEYS {
        if !held.get(key).is_some_and(ahead) {
            prop_assert_eq!(held.get(key), told.get(key));
        }
    }
    Ok(())
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..KEYS.len()).prop_map(Step::Put),
        2 => (0..KEYS.len()).prop_map(Step::Delete),
        1 => Just(Step::Elsewhere),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => any::<(Index, Index)>().prop_map(|(one, other)| Delivery::Changes(one, other)),
        2 => any::<Index>().prop_map(Delivery::Full),
        1 => any::<Index>().prop_map(Delivery::Outline),
        1 => any::<(Index, Index)>().prop_map(|(one, other)| Delivery::Progress(one, other)),
        2 => (any::<Index>(), vec(any::<bool>(), KEYS.len()))
            .prop_map(|(at, held)| Delivery::Peer(at, held)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn any_order(steps in vec(step(), 1..40), deliveries in vec(delivery(), 0..40)) {
        let history = History::of(&steps);
        let mut table = Table::default();
        let mut seen: BTreeMap<String, u64> = BTreeMap::new();
        for delivery in &deliveries {
            let (mark, newest) = (table.mark(), table.newest());
            deliver(&history, &mut table, delivery);
            prop_assert!(table.mark() >= mark && table.newest() >= newest);
            prop_assert!(table.newest() <= history.last());
            exact(&history, &table)?;
            for (key, item) in held(&table) {
                let before = seen.insert(key, item.modified).unwrap_or(0);
                prop_assert!(item.modified >= before, "{delivery:?} moved a key back");
            }
        }
        let last = history.last();
        prop_assert_ne!(table.apply_full(last, history.items(last)), Applied::Refused);
        prop_assert_eq!(&held(&table), history.at(last));
        prop_assert_eq!(table.mark(), last);
    }

    #[test]
    fn watch_alone(steps in vec(step(), 1..40), cuts in vec(any::<Index>(), 0..6)) {
        let history = History::of(&steps);
        let mut table = Table::default();
        table.apply_full(0, Vec::new());
        let mut told: Vec<u64> = cuts.iter().map(|cut| history.pick(*cut)).collect();
        told.sort_unstable();
        told.push(history.last());
        let mut after: u64 = 0;
        for up_to in told {
            // Each piece overlaps the one before it.
            let from = after.saturating_sub(2);
            let applied = table.apply_changes(from, &history.between(from, up_to));
            prop_assert_ne!(applied, Applied::Refused);
            table.apply_progress(from, up_to);
            after = table.mark();
        }
        prop_assert_eq!(&held(&table), history.at(history.last()));
    }
}

fn item(key: &str, modified: u64) -> KeyValue {
    let key = key.to_owned();
    KeyValue { key, value: String::new(), created: modified, modified, lease: 0 }
}

#[test]
fn newest_spreads() {
    let mut table = Table::default();
    table.apply_full(5, vec![item("/p/a", 2)]);
    assert_eq!((table.newest(), table.lacks(5), table.lacks(6)), (2, false, true));
    // A deletion that only the copy shows is a change too.
    table.apply_full(7, Vec::new());
    assert_eq!(table.newest(), 7);
    // Another copy may know by a poll what this one knows by the watch.
    table.apply_progress(7, 9);
    assert_eq!((table.newest(), table.lacks(9)), (7, false));
    table.apply_from_peer(&[item("/p/b", 12)]);
    assert_eq!((table.mark(), table.newest(), table.lacks(12)), (9, 12, false));
}

#[test]
fn gap_refused() {
    let mut table = Table::default();
    assert_eq!(table.apply_changes(0, &[Change::Put(item("/p/a", 2))]), Applied::Refused);
    table.apply_full(5, vec![item("/p/a", 2)]);
    assert_eq!(table.apply_changes(6, &[Change::Put(item("/p/b", 8))]), Applied::Refused);
    assert_eq!(table.apply_full(4, Vec::new()), Applied::Refused);
    assert_eq!((table.mark(), table.list("").count()), (5, 1));
}

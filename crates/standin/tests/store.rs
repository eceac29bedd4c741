//! The stand-in's store: transactions, leases and history.

use {
    proptest::{collection::vec, prelude::*},
    sycamorerail_standin::platform::store::{
        Compacted, Compare, Event, KeyRange, Operation, OperationAnswer, Relation, Store,
        StoreError, Target, Txn,
    },
};

fn one(key: &str) -> KeyRange {
    KeyRange { key: key.into(), end: Vec::new() }
}

fn all() -> KeyRange {
    KeyRange { key: vec![0], end: vec![0] }
}

fn put(key: &str, lease: u64) -> Operation {
    Operation::Put { key: key.into(), value: b"v".to_vec(), lease }
}

fn run(store: &mut Store, success: Vec<Operation>) -> u64 {
    store.transact(&Txn { success, ..Txn::default() }).unwrap().revision
}

fn holds(store: &mut Store, key: &str, target: Target, relation: Relation) -> bool {
    let compare = vec![Compare { key: key.into(), target, relation }];
    store.transact(&Txn { compare, ..Txn::default() }).unwrap().succeeded
}

#[test]
fn one_revision() {
    let mut store = Store::new(100, 1);
    let revision = run(&mut store, vec![put("a", 0), put("b", 0)]);
    let items = store.range(&all());
    assert!(items.iter().all(|item| item.mod_revision == revision));
    // Reading, and deleting nothing, are no changes.
    let reads = vec![Operation::Range(all()), Operation::Delete(one("c"))];
    assert_eq!(run(&mut store, reads), revision);
    let answer = store.transact(&Txn {
        success: vec![Operation::Delete(all()), put("a", 0), Operation::Range(all())],
        ..Txn::default()
    });
    let answers = answer.unwrap().answers;
    assert_eq!(answers[0], OperationAnswer::Delete(2));
    assert_eq!(answers[2], OperationAnswer::Range(store.range(&all())));
}

#[test]
fn compare_targets() {
    let mut store = Store::new(100, 1);
    let created = run(&mut store, vec![put("a", 0)]);
    let modified = run(&mut store, vec![put("a", 0)]);
    for (target, expected) in [
        (Target::Create(created), true),
        (Target::Create(modified), false),
        (Target::Mod(modified), true),
        (Target::Mod(created), false),
        (Target::Version(2), true),
        (Target::Version(1), false),
    ] {
        assert_eq!(holds(&mut store, "a", target, Relation::Equal), expected);
    }
    assert!(holds(&mut store, "gone", Target::Create(0), Relation::Equal));
    assert!(holds(&mut store, "a", Target::Create(0), Relation::NotEqual));
    assert!(holds(&mut store, "a", Target::Mod(created), Relation::Greater));
    assert!(holds(&mut store, "a", Target::Version(3), Relation::Less));
}

#[test]
fn refused_whole() {
    let mut store = Store::new(100, 1);
    let mut refusal = |success| store.transact(&Txn { success, ..Txn::default() }).unwrap_err();
    assert_eq!(refusal(vec![put("a", 0), put("b", 9)]), StoreError::NoLease);
    assert_eq!(refusal(vec![put("a", 0), put("a", 0)]), StoreError::KeyTwice);
    assert_eq!(refusal(vec![put("a", 0), put("", 0)]), StoreError::EmptyKey);
    assert_eq!(store.range(&all()), []);
}

#[test]
fn lease_end() {
    let mut store = Store::new(100, 1);
    let (kept, lapsed) = (store.grant(10, 0), store.grant(10, 0));
    run(&mut store, vec![put("kept", kept), put("x", lapsed), put("y", lapsed)]);
    // A later write without the lease frees the key from it.
    run(&mut store, vec![put("y", 0)]);
    assert_eq!(store.keep_alive(kept, 9_000), Some(10));
    assert!(!store.expire(9_999));
    assert!(store.expire(10_000));
    assert_eq!(store.keep_alive(lapsed, 10_000), None);
    let keys: Vec<_> = store.range(&all()).into_iter().map(|item| item.key).collect();
    assert_eq!(keys, [b"kept".to_vec(), b"y".to_vec()]);
    let gone = Event { revision: store.revision(), key: b"x".to_vec(), item: None };
    assert_eq!(store.events(&all(), store.revision()), Ok(vec![gone]));
}

#[test]
fn bounded_history() {
    let mut store = Store::new(2, 1);
    let revisions: Vec<u64> = (0..5).map(|_| run(&mut store, vec![put("a", 0)])).collect();
    assert_eq!(store.events(&all(), revisions[3]).unwrap().len(), 2);
    assert_eq!(store.events(&all(), revisions[2]), Err(Compacted(revisions[3])));
}

proptest! {
    /// Whoever applies the events from any revision on to the state of then
    /// has the state of now.
    #[test]
    fn events_replay(writes in vec((0u8..4, any::<bool>()), 1..40), from in any::<prop::sample::Index>()) {
        let mut store = Store::new(1_000, 1);
        let mut states = vec![(store.revision(), store.range(&all()))];
        for (key, deletes) in writes {
            let key = key.to_string();
            let step = if deletes { Operation::Delete(one(&key)) } else { put(&key, 0) };
            run(&mut store, vec![step]);
            states.push((store.revision(), store.range(&all())));
        }
        let (revision, mut state) = states[from.index(states.len())].clone();
        for event in store.events(&all(), revision + 1).unwrap() {
            state.retain(|item| item.key != event.key);
            state.extend(event.item);
        }
        state.sort_by(|one, other| one.key.cmp(&other.key));
        prop_assert_eq!(state, store.range(&all()));
    }
}

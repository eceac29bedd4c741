//! The stored value: revisions grow, history has no gap, size is bounded.

use {
    proptest::prelude::*,
    sycamorerail_templates::envelope::{
        Envelope, Fate, MAX_HISTORY, MAX_HISTORY_YAML_BYTES, MAX_VALUE_BYTES, Stamp,
    },
    uuid::Uuid,
};

const CASES: u32 = 64;

fn stamp(number: u128) -> Stamp {
    Stamp {
        change_id: Uuid::from_u128(number),
        published_by: "ops".to_owned(),
        published_unix_ms: 1,
    }
}

/// Templates of a few bytes up to large ones, with much to escape; `None` deletes.
fn changes() -> impl Strategy<Value = Vec<Option<String>>> {
    let yaml = (0_usize..60_000, prop_oneof![Just("\n"), Just("x"), Just("\u{7}"), Just("é")])
        .prop_map(|(count, text)| text.repeat(count));
    prop::collection::vec(prop::option::weighted(0.8, yaml), 1..40)
}

fn publish_all(changes: &[Option<String>]) -> Envelope {
    let mut current = None;
    for (number, yaml) in changes.iter().enumerate() {
        let next = Envelope::next(current.as_ref(), stamp(number as u128 + 1), yaml.clone());
        current = Some(next.expect("within the bound"));
    }
    current.expect("at least one change")
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn revisions_grow(changes in changes()) {
        let envelope = publish_all(&changes);
        prop_assert_eq!(envelope.revision, changes.len() as u64);
        prop_assert_eq!(envelope.deleted, changes.last().unwrap().is_none());
        prop_assert_eq!(envelope.history.len(), (changes.len() - 1).min(MAX_HISTORY));
        for (position, past) in envelope.history.iter().enumerate() {
            prop_assert_eq!(past.revision, envelope.revision - 1 - position as u64);
            let original = &changes[past.revision as usize - 1];
            prop_assert_eq!(past.deleted, original.is_none());
            prop_assert!(past.yaml.is_none() || &past.yaml == original);
            prop_assert_eq!(envelope.yaml_of(past.revision), past.yaml.as_deref());
        }
    }

    #[test]
    fn size_bounded(changes in changes()) {
        let envelope = publish_all(&changes);
        prop_assert!(envelope.encode().len() <= MAX_VALUE_BYTES);
        let newest = changes.len().checked_sub(2).map(|previous| &changes[previous]);
        if let Some(newest) = newest {
            prop_assert_eq!(&envelope.history[0].yaml, newest);
        }
        let older: usize = envelope.history.iter().skip(1).flat_map(|past| &past.yaml)
            .map(String::len).sum();
        prop_assert!(older <= MAX_HISTORY_YAML_BYTES);
    }

    #[test]
    fn round_trip(changes in changes()) {
        let envelope = publish_all(&changes);
        prop_assert_eq!(Envelope::decode(&envelope.encode()).unwrap(), envelope);
    }

    #[test]
    fn fates_true(changes in changes(), revision in 1_u64..45) {
        let envelope = publish_all(&changes);
        for past in 1..=changes.len() as u64 {
            let fate = envelope.fate(Uuid::from_u128(past.into()), past);
            let kept = past + MAX_HISTORY as u64 >= envelope.revision;
            prop_assert_eq!(fate, if kept { Fate::Taken(past) } else { Fate::Forgotten });
        }
        let expected = if revision > envelope.revision {
            Fate::Open
        } else if revision + MAX_HISTORY as u64 >= envelope.revision {
            Fate::NeverTaken
        } else {
            Fate::Forgotten
        };
        prop_assert_eq!(envelope.fate(Uuid::max(), revision), expected);
    }
}

#[test]
fn too_large_refused() {
    let yaml = "\u{7}".repeat(MAX_VALUE_BYTES / 4);
    assert!(Envelope::next(None, stamp(1), Some(yaml)).is_err());
}

#[test]
fn foreign_text_refused() {
    for text in ["", "{}", "[1]", r#"{"revision":"one"}"#] {
        assert!(Envelope::decode(text).is_err(), "{text}");
    }
}

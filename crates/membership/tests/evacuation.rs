//! Words on data centres at the platform's stand-in: repeated, lost, raced, in doubt.

use {
    std::{collections::BTreeSet, time::Duration},
    sycamorerail_membership::{
        EvacuationRecord,
        evacuation::{self, Standing, UnreadableLog, WordError},
        keys::ROOT,
        record,
    },
    sycamorerail_platform::{Expected, Mirror, Platform, PlatformConfig, Swap},
    sycamorerail_standin::platform::{PlatformFaults, PlatformStandin, PlatformStandinConfig},
    tokio::time::{Instant, sleep},
};

const PATIENCE: Duration = Duration::from_secs(30);
const NORTH: &str = "north";

async fn standin() -> PlatformStandin {
    PlatformStandin::start(PlatformStandinConfig::default()).await.unwrap()
}

fn client(standin: &PlatformStandin, timeout_ms: u32) -> Platform {
    let config = PlatformConfig { url: standin.url(), timeout_ms, call_budget_per_s: 5_000 };
    Platform::new(config).unwrap()
}

fn word(evacuated: bool, change_id: &str) -> EvacuationRecord {
    EvacuationRecord {
        evacuated,
        change_id: change_id.to_owned(),
        changed_by: "anna".to_owned(),
        changed_unix_ms: 1_796_000_000_000,
    }
}

async fn said(platform: &Platform, evacuated: bool, change_id: &str) -> Standing {
    evacuation::say(platform, NORTH, &word(evacuated, change_id)).await.unwrap()
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain until {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn said_again_changes_nothing() {
    let standin = standin().await;
    let platform = client(&standin, 1_000);
    let nothing = said(&platform, false, "a").await;
    assert_eq!((nothing.changed, nothing.revision), (false, 0));
    let first = said(&platform, true, "b").await;
    assert!(first.changed);
    let again = said(&platform, true, "c").await;
    assert_eq!((again.changed, again.revision), (false, first.revision));
    assert_eq!(again.record.change_id, "b");
    let restored = said(&platform, false, "d").await;
    assert!(restored.changed && restored.revision > first.revision);
    assert!(!said(&platform, false, "e").await.changed);
    assert!(said(&platform, true, "f").await.changed);
}

#[tokio::test]
async fn lost_answers_are_read_back() {
    let standin = standin().await;
    let platform = client(&standin, 1_000);
    let faults = PlatformFaults { lose_answers: 1.0, ..Default::default() };
    standin.set_faults(faults).await.unwrap();
    let evacuated = said(&platform, true, "a").await;
    assert!(evacuated.changed);
    let restored = said(&platform, false, "b").await;
    assert!(restored.changed && restored.revision > evacuated.revision);
}

#[tokio::test]
async fn outage_is_not_run() {
    let standin = standin().await;
    let platform = client(&standin, 1_000);
    standin.refuse().await.unwrap();
    let refused = evacuation::say(&platform, NORTH, &word(true, "a")).await;
    assert!(matches!(refused, Err(WordError::NotRun(_))), "{refused:?}");
    standin.heal().await.unwrap();
    assert_eq!(platform.get(&evacuation::key(NORTH)).await.unwrap(), None);
}

#[tokio::test]
async fn late_copy_never_takes_effect() {
    let standin = standin().await;
    let platform = client(&standin, 1_000);
    said(&platform, true, "a").await;
    said(&platform, false, "b").await;
    let late = record::to_json(&word(true, "a"));
    let key = evacuation::key(NORTH);
    let swapped = platform.swap(&key, Expected::Absent, &late, None, &[]).await.unwrap();
    assert!(matches!(swapped, Swap::Lost { .. }), "{swapped:?}");
}

/// Six operators, three for each word, at a platform that loses answers: each change that
/// is told stands once, and the last one told is what stands.
#[tokio::test]
async fn races_end_in_one_word() {
    let standin = standin().await;
    let faults = PlatformFaults { lose_answers: 0.3, ..Default::default() };
    standin.set_faults(faults).await.unwrap();
    let operators = (0..6).map(|operator| {
        let platform = client(&standin, 1_000);
        tokio::spawn(async move {
            let mut changes = Vec::new();
            for turn in 0..20 {
                let word = word(operator % 2 == 0, &format!("{operator}-{turn}"));
                match evacuation::say(&platform, NORTH, &word).await {
                    Ok(standing) if standing.changed => {
                        assert_eq!(standing.record, word);
                        changes.push((standing.revision, word));
                    }
                    Ok(standing) => assert_eq!(standing.record.evacuated, word.evacuated),
                    Err(WordError::Conflict(standing)) => {
                        assert_ne!(standing.record.evacuated, word.evacuated);
                    }
                    Err(error) => panic!("{error}"),
                }
            }
            changes
        })
    });
    let told = futures_of(operators.collect()).await;
    let revisions: BTreeSet<_> = told.iter().map(|(revision, _)| *revision).collect();
    assert_eq!(revisions.len(), told.len(), "two changes at one revision");
    standin.heal().await.unwrap();
    let last = client(&standin, 1_000).get(&evacuation::key(NORTH)).await.unwrap().unwrap();
    let (newest, word) = told.iter().max_by_key(|(revision, _)| *revision).unwrap();
    assert!(last.modified >= *newest);
    if last.modified == *newest {
        assert_eq!(record::from_json(&last.value), Some(word.clone()));
    }
}

async fn futures_of<T>(tasks: Vec<tokio::task::JoinHandle<Vec<T>>>) -> Vec<T> {
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.unwrap());
    }
    all
}

#[tokio::test]
async fn in_force_by_the_mirror() {
    let standin = standin().await;
    let platform = client(&standin, 1_000);
    let mirror = Mirror::start(platform.clone(), ROOT, 500);
    let unread = evacuation::key("unread");
    platform.swap(&unread, Expected::Absent, "not json", None, &[]).await.unwrap();
    let revision = said(&platform, true, "a").await.revision;
    evacuation::say(&platform, "south", &word(true, "b")).await.unwrap();
    evacuation::say(&platform, "south", &word(false, "c")).await.unwrap();
    let names = || evacuation::in_force(&mirror.snapshot()).data_centres;
    let newest = standin.revision();
    until("the mirror has all", || mirror.mark() >= newest).await;
    assert_eq!(names(), [NORTH]);
    let copy = mirror.snapshot();
    let standing: Vec<_> = evacuation::standing(&copy).collect();
    assert_eq!((standing[0].0, standing[0].1.revision), (NORTH, revision));
    UnreadableLog::default().look(&copy);
    evacuation::say(&platform, "unread", &word(true, "d")).await.unwrap();
    until("a word replaces what cannot be read", || names() == [NORTH, "unread"]).await;
}

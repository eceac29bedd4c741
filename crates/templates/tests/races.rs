//! Racing operators, lost answers and outages: each revision is accepted once,
//! history is complete, every entry gets there, none goes back.

mod site;

use {
    futures::future::join_all,
    proptest::prelude::*,
    site::{Entry, Observer, base_of, put, standin},
    std::collections::BTreeMap,
    sycamorerail_standin::platform::{PlatformFaults, PlatformStandin},
    sycamorerail_templates::{Accepted, Change, ChangeError, ChangeState, Envelope, envelope},
    tokio::time::{Duration, sleep},
    uuid::Uuid,
};

const CASES: u32 = 6;
const ENTRIES: usize = 3;
const CHANGES_EACH: u32 = 6;
const ORGANISATIONS: [&str; 2] = ["alpenfunk", "rangmancha"];

/// Publishes with the revision last heard of until accepted `CHANGES_EACH` times.
async fn operate(entry: &Entry, organisation: &str) -> Vec<Accepted> {
    let mut accepted = Vec::new();
    let mut revision = 0;
    while accepted.len() < CHANGES_EACH as usize {
        let change = put(organisation, base_of(revision), 100 + accepted.len() as u32);
        match entry.publisher.publish(&change).await {
            Ok(done) => {
                revision = done.revision;
                accepted.push(done);
            }
            Err(ChangeError::Conflict(winner)) => {
                revision = winner.map_or(0, |winner| winner.revision);
            }
            Err(ChangeError::InDoubt { revision: sent, .. }) => {
                accepted.extend(resolve(entry, &change, sent).await);
            }
            Err(ChangeError::NotRun { .. }) => sleep(Duration::from_millis(20)).await,
            Err(other) => panic!("{other}"),
        }
    }
    accepted
}

/// Repeats a change in doubt until its fate is told.
async fn resolve(entry: &Entry, change: &Change, sent: u64) -> Option<Accepted> {
    let (organisation, id) = (&change.organisation, change.stamp.change_id);
    loop {
        match entry.publisher.look_up(organisation, id, Some(sent)).await {
            Ok(ChangeState::Accepted(accepted)) => return Some(accepted),
            Ok(ChangeState::NotRun) => return None,
            Ok(ChangeState::Unknown) => panic!("forgotten within a short run"),
            Ok(ChangeState::InDoubt) => match entry.publisher.publish(change).await {
                Ok(accepted) => return Some(accepted),
                Err(ChangeError::Conflict(_)) => {}
                Err(ChangeError::InDoubt { .. } | ChangeError::NotRun { .. }) => {}
                Err(other) => panic!("{other}"),
            },
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn disturb(standin: &PlatformStandin, lose_answers: f64, outage_ms: u64) {
    let losing = PlatformFaults { lose_answers, ..PlatformFaults::default() };
    standin.set_faults(losing).await.unwrap();
    for order in 0..3 {
        sleep(Duration::from_millis(100)).await;
        match order {
            0 => standin.refuse().await.unwrap(),
            1 => standin.set_faults(PlatformFaults { hang: true, ..losing }).await.unwrap(),
            _ => standin.set_faults(PlatformFaults { freeze: true, ..losing }).await.unwrap(),
        }
        sleep(Duration::from_millis(outage_ms)).await;
        standin.set_faults(losing).await.unwrap();
    }
    sleep(Duration::from_millis(200)).await;
    standin.heal().await.unwrap();
}

fn check_winners(accepted: &[Accepted], stored: &Envelope) {
    let mut by_revision: BTreeMap<u64, Uuid> = BTreeMap::new();
    for done in accepted {
        let other = by_revision.insert(done.revision, done.stamp.change_id);
        assert_eq!(other, None, "revision {} accepted twice", done.revision);
    }
    let revisions: Vec<_> = by_revision.keys().copied().collect();
    let all: Vec<_> = (1..=stored.revision).collect();
    assert_eq!(revisions, all, "each revision is some operator's accepted change");
    for past in &stored.history {
        assert_eq!(by_revision[&past.revision], past.stamp.change_id);
    }
    assert_eq!(by_revision[&stored.revision], stored.stamp.change_id);
}

async fn race(seed: u64, lose_answers: f64, outage_ms: u64) {
    let standin = standin(seed).await;
    let entries: Vec<_> = (0..ENTRIES).map(|_| Entry::start(&standin.url())).collect();
    let observers: [Observer; ENTRIES] = std::array::from_fn(|_| Observer::default());
    for (entry, observer) in entries.iter().zip(&observers) {
        tokio::spawn(observer.follow(&entry.in_force));
    }
    let operators = ORGANISATIONS
        .iter()
        .flat_map(|organisation| entries.iter().map(|entry| operate(entry, organisation)));
    let restarts = restart_often(&standin);
    let (accepted, (), restarted) =
        tokio::join!(join_all(operators), disturb(&standin, lose_answers, outage_ms), restarts);
    for organisation in ORGANISATIONS {
        let of = |done: &&Accepted| done.organisation == organisation;
        let accepted: Vec<_> = accepted.iter().flatten().filter(of).cloned().collect();
        let item = entries[0].platform.get(&envelope::key(organisation)).await.unwrap().unwrap();
        let stored = Envelope::decode(&item.value).unwrap();
        check_winners(&accepted, &stored);
        for entry in &entries {
            entry.until_revision(organisation, stored.revision).await;
        }
    }
    for observer in observers.iter().chain([&restarted]) {
        assert_eq!(observer.reversals(), Vec::<String>::new());
    }
}

/// One more process, started anew again and again.
async fn restart_often(standin: &PlatformStandin) -> Observer {
    let observer = Observer::default();
    for _ in 0..8 {
        let entry = Entry::start(&standin.url());
        let follow = tokio::spawn(observer.follow(&entry.in_force));
        sleep(Duration::from_millis(150)).await;
        follow.abort();
        let _ = follow.await;
    }
    observer
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(CASES) })]

    #[test]
    fn one_winner(seed in any::<u64>(), outage_ms in 50_u64..900) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(race(seed, 0.3, outage_ms));
    }
}

//! A platform stand-in, entries' sets in force, and operators.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    parking_lot::Mutex,
    std::{collections::BTreeMap, future::Future, sync::Arc, time::Duration},
    sycamorerail_platform::{Mirror, Platform, PlatformConfig},
    sycamorerail_standin::platform::{PlatformStandin, PlatformStandinConfig},
    sycamorerail_telemetry::invariant,
    sycamorerail_templates::{Action, Base, Change, InForce, Publisher, Stamp, new_change_id},
    tokio::time::{Instant, sleep},
    uuid::Uuid,
};

pub const WAIT: Duration = Duration::from_secs(30);
pub const SETTLE_MS: u32 = 600;
pub const TIMEOUT_MS: u32 = 200;
const POLL_MS: u32 = 1_000;
const NOW_UNIX_MS: u64 = 1_796_000_000_000;

pub async fn standin(seed: u64) -> PlatformStandin {
    invariant::set_fatal(true);
    let config = PlatformStandinConfig { seed, ..PlatformStandinConfig::default() };
    PlatformStandin::start(config).await.expect("a free port")
}

/// What one entry holds.
#[derive(Clone)]
pub struct Entry {
    pub platform: Platform,
    pub in_force: InForce,
    pub publisher: Publisher,
}

impl Entry {
    pub fn start(url: &str) -> Self {
        let config = PlatformConfig {
            url: url.to_owned(),
            timeout_ms: TIMEOUT_MS,
            call_budget_per_s: 10_000,
        };
        let platform = Platform::new(config).expect("a URL");
        let mirror = Mirror::start(platform.clone(), "/sycamorerail/", POLL_MS);
        let in_force = InForce::start(mirror);
        let publisher = Publisher::new(platform.clone(), in_force.clone(), SETTLE_MS);
        Self { platform, in_force, publisher }
    }

    pub fn revision(&self, organisation: &str) -> u64 {
        self.in_force.load().records.get(organisation).map_or(0, |record| record.revision)
    }

    pub async fn until_ready(&self) {
        until("a set in force", || self.in_force.ready()).await;
    }

    pub async fn until_revision(&self, organisation: &str, revision: u64) {
        until("the revision in force", || self.revision(organisation) >= revision).await;
    }
}

/// Waits for a condition.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Notes the revisions in force at one entry, and any that goes back.
#[derive(Clone, Default)]
pub struct Observer {
    highest: Arc<Mutex<BTreeMap<String, u64>>>,
    reversals: Arc<Mutex<Vec<String>>>,
}

impl Observer {
    /// Follows an entry as long as it lives; carried over restarts.
    pub fn follow(&self, in_force: &InForce) -> impl Future<Output = ()> + use<> {
        let observer = self.clone();
        let (mut changed, set) = (in_force.subscribe(), in_force.clone());
        async move {
            loop {
                observer.note(set.load().revisions());
                if changed.changed().await.is_err() {
                    return;
                }
            }
        }
    }

    fn note(&self, revisions: Vec<(String, u64)>) {
        let mut highest = self.highest.lock();
        for (name, revision) in revisions {
            let known = highest.entry(name.clone()).or_default();
            if revision < *known {
                self.reversals.lock().push(format!("{name}: {known} to {revision}"));
            }
            *known = revision.max(*known);
        }
    }

    pub fn reversals(&self) -> Vec<String> {
        self.reversals.lock().clone()
    }
}

pub fn yaml(organisation: &str, deadline_ms: u32) -> String {
    format!(
        "organisation: {organisation}\nkinds:\n  - name: probe\n    deadline_ms: {deadline_ms}\n    run_ms: 1\n"
    )
}

pub fn change(organisation: &str, base: Base, action: Action, by: &str) -> Change {
    Change {
        organisation: organisation.to_owned(),
        base,
        action,
        stamp: Stamp {
            change_id: new_change_id(NOW_UNIX_MS),
            published_by: by.to_owned(),
            published_unix_ms: NOW_UNIX_MS,
        },
    }
}

pub fn put(organisation: &str, base: Base, deadline_ms: u32) -> Change {
    change(organisation, base, Action::Put(yaml(organisation, deadline_ms)), "ops")
}

pub fn base_of(revision: u64) -> Base {
    if revision == 0 { Base::Absent } else { Base::Revision(revision) }
}

pub fn foreign_id() -> Uuid {
    new_change_id(NOW_UNIX_MS)
}

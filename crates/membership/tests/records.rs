//! The records at the platform's stand-in: leases, registrations, fences.

use {
    parking_lot::Mutex,
    std::{collections::HashSet, sync::Arc, time::Duration},
    sycamorerail_membership::{
        EntryRecord, Hooks, Membership, MembershipConfig,
        keys::{self, AGENTS, ENTRIES, FENCED, HOMES, ROOT},
        register::turn,
    },
    sycamorerail_platform::{Expected, Mirror, Platform, PlatformConfig, Swap},
    sycamorerail_standin::platform::{PlatformFaults, PlatformStandin, PlatformStandinConfig},
    sycamorerail_wire::{ids::Incarnation, message::AgentIdentity},
};

const PATIENCE: Duration = Duration::from_secs(30);
const FLEET: u64 = 1_100;

/// One entry's membership.
struct Site {
    membership: Membership,
    platform: Platform,
    connected: Arc<Mutex<HashSet<Incarnation>>>,
    retired: Arc<Mutex<Vec<Incarnation>>>,
}

async fn standin() -> PlatformStandin {
    PlatformStandin::start(PlatformStandinConfig::default()).await.unwrap()
}

fn config(run: u64) -> MembershipConfig {
    let address = |port| format!("10.0.0.{run}:{port}").parse().unwrap();
    let own = EntryRecord {
        name: format!("entry-{run}"),
        data_centre: "here".to_owned(),
        inner_address: address(1),
        http_address: address(2),
    };
    MembershipConfig {
        own,
        incarnation: Incarnation(run),
        lease_ms: 2_000,
        retention_ms: 60_000,
        clock_margin_ms: 10_000,
        registrations_per_s: 1_000,
        own_registrations_per_s: 1_000,
        sweep_pause_ms: 50,
        peers: vec!["10.0.0.99:1".parse().unwrap()],
    }
}

fn start(standin: &PlatformStandin, run: u64) -> Site {
    start_with(standin, config(run))
}

fn start_with(standin: &PlatformStandin, config: MembershipConfig) -> Site {
    let config_of_client =
        PlatformConfig { url: standin.url(), timeout_ms: 1_000, call_budget_per_s: 5_000 };
    let platform = Platform::new(config_of_client).unwrap();
    let mirror = Mirror::start(platform.clone(), ROOT, 500);
    let connected: Arc<Mutex<HashSet<Incarnation>>> = Arc::default();
    let retired: Arc<Mutex<Vec<Incarnation>>> = Arc::default();
    let (is_connected, notes) = (Arc::clone(&connected), Arc::clone(&retired));
    let hooks = Hooks {
        retired: Box::new(move |fenced| {
            notes.lock().push(fenced);
            Incarnation(fenced.0 + 1_000)
        }),
        changed: Box::new(|| {}),
        connected: Box::new(move |agent| is_connected.lock().contains(&agent)),
        reaches: Box::new(|_, _| Box::pin(async { false })),
    };
    let membership = Membership::start(platform.clone(), mirror, config, hooks);
    Site { membership, platform, connected, retired }
}

fn agent(run: u64) -> AgentIdentity {
    AgentIdentity {
        incarnation: Incarnation(run),
        name: format!("agent-{run}"),
        address: "10.0.1.1:1".parse().unwrap(),
        data_centre: "here".to_owned(),
        rack: "r".to_owned(),
    }
}

impl Site {
    fn hello(&self, agent: &AgentIdentity) {
        self.connected.lock().insert(agent.incarnation);
        self.membership.heard(agent);
    }

    async fn has(&self, prefix: &str, run: u64) -> bool {
        let key = keys::key(prefix, Incarnation(run));
        self.platform.get(&key).await.ok().flatten().is_some()
    }
}

async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.unwrap_or_else(|_| panic!("never: {what}"));
}

#[tokio::test]
async fn entry_announced() {
    let standin = standin().await;
    let (one, two) = (start(&standin, 1), start(&standin, 2));
    let both = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.99:1"].map(|text| text.parse().unwrap());
    for site in [&one, &two] {
        until("both are known", async || site.membership.addresses() == both).await;
    }
    one.membership.leave().await;
    until("it is gone", async || !one.has(ENTRIES, 1).await).await;
    assert!(one.has(HOMES, 1).await, "its jobs may still be asked for");
}

#[tokio::test]
async fn lost_lease() {
    let standin = standin().await;
    let site = start(&standin, 1);
    until("it is announced", async || site.has(ENTRIES, 1).await).await;
    let before = site.platform.get(&keys::key(ENTRIES, Incarnation(1))).await.unwrap().unwrap();
    standin.advance(60_000);
    let renewed = async || {
        let now = site.platform.get(&keys::key(ENTRIES, Incarnation(1))).await.unwrap();
        now.is_some_and(|record| record.lease != before.lease)
    };
    until("it is announced under a new lease", renewed).await;
    assert_eq!(site.membership.current(), Incarnation(1), "the same run");
}

#[tokio::test]
async fn agent_registered() {
    let standin = standin().await;
    let (one, two) = (start(&standin, 1), start(&standin, 2));
    let agents: Vec<_> = (100..130).map(agent).collect();
    assert!(!one.membership.usable(agents[0].incarnation));
    for site in [&one, &two] {
        until("both are known", async || site.membership.members().entries.len() == 2).await;
    }
    agents.iter().for_each(|agent| [&one, &two].iter().for_each(|site| site.hello(agent)));
    for site in [&one, &two] {
        let all = async || agents.iter().all(|agent| site.membership.usable(agent.incarnation));
        until("all are usable", all).await;
    }
    let range = one.platform.range(AGENTS).await.unwrap();
    assert_eq!(range.items.len(), agents.len());
    let once = range.items.iter().all(|item| item.created == item.modified);
    assert!(once, "each was written once");
}

/// The whole fleet starts at once: no write is refused for the rate.
#[tokio::test]
async fn fleet_start() {
    let limits = PlatformStandinConfig { max_writes_per_s: 300, ..Default::default() };
    let standin = PlatformStandin::start(limits).await.unwrap();
    let paced = |run| {
        let per_s = (150, 50);
        start_with(
            &standin,
            MembershipConfig {
                registrations_per_s: per_s.0,
                own_registrations_per_s: per_s.1,
                ..config(run)
            },
        )
    };
    let sites: Vec<_> = (1..=4).map(paced).collect();
    for site in &sites {
        let all = async || site.membership.members().entries.len() == sites.len();
        until("all are known", all).await;
    }
    let agents: Vec<_> = (1_000..1_000 + FLEET).map(agent).collect();
    agents.iter().for_each(|agent| sites.iter().for_each(|site| site.hello(agent)));
    for site in &sites {
        let all = async || site.membership.members().agents.len() == agents.len();
        until("all are registered", all).await;
    }
    let calls = standin.calls();
    assert_eq!(calls.refused, 0);
    // One that is slow is helped out by the next, so not just one an agent.
    assert!(calls.txn < 2 * FLEET, "the first writes, the others find it: {calls:?}");
    let range = sites[0].platform.range(AGENTS).await.unwrap();
    assert!(range.items.iter().all(|item| item.created == item.modified));
}

#[tokio::test]
async fn registered_after_outage() {
    let standin = standin().await;
    let site = start(&standin, 1);
    until("it is a home", async || site.has(HOMES, 1).await).await;
    standin.refuse().await.unwrap();
    site.hello(&agent(100));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!site.membership.usable(Incarnation(100)));
    standin.heal().await.unwrap();
    until("it is usable", async || site.membership.usable(Incarnation(100))).await;
}

#[tokio::test]
async fn lost_answers() {
    let standin = standin().await;
    let faults = PlatformFaults { lose_answers: 0.5, ..PlatformFaults::default() };
    standin.set_faults(faults).await.unwrap();
    let site = start(&standin, 1);
    (100..110).for_each(|run| site.hello(&agent(run)));
    let usable = async || (100..110).all(|run| site.membership.usable(Incarnation(run)));
    until("all are usable", usable).await;
    let fenced = async || site.membership.fence(Incarnation(77)).await.is_ok();
    until("a fence is recorded", fenced).await;
    assert!(site.has(FENCED, 77).await);
}

#[tokio::test]
async fn fence_then_roster() {
    let standin = standin().await;
    let (home, other) = (start(&standin, 1), start(&standin, 2));
    home.hello(&agent(100));
    until("it is usable", async || home.membership.usable(Incarnation(100))).await;
    let roster = other.membership.fence(Incarnation(1)).await.unwrap();
    assert_eq!((roster.agents.as_slice(), roster.whole), (&[Incarnation(100)][..], true));
    assert!(other.has(FENCED, 1).await);
    until("it retires", async || *home.retired.lock() == [Incarnation(1)]).await;
    until("it goes on", async || home.membership.usable(Incarnation(100))).await;
    assert_eq!(home.membership.current(), Incarnation(1_001));
    assert!(!home.membership.may_use(Incarnation(1), Incarnation(100)));
    until("the new run is announced", async || home.has(ENTRIES, 1_001).await).await;
    until("the old one is not", async || !home.has(ENTRIES, 1).await).await;
    assert_eq!(other.membership.fences_told(), [Incarnation(1)]);
    assert_eq!(other.membership.fence(Incarnation(1)).await.unwrap(), roster, "again");
}

#[tokio::test]
async fn fenced_registrar() {
    let standin = standin().await;
    let site = start(&standin, 1);
    until("it is a home", async || site.has(HOMES, 1).await).await;
    standin.mute_watches(true);
    let key = keys::key(FENCED, Incarnation(1));
    let fence = site.platform.swap(&key, Expected::Absent, "{}", None, &[]).await.unwrap();
    assert!(matches!(fence, Swap::Done { .. }));
    site.hello(&agent(100));
    until("it learns of its fence", async || !site.retired.lock().is_empty()).await;
    until("it is registered", async || site.has(AGENTS, 100).await).await;
}

#[tokio::test]
async fn fence_needs_platform() {
    let standin = standin().await;
    let site = start(&standin, 1);
    standin.refuse().await.unwrap();
    assert!(site.membership.fence(Incarnation(9)).await.is_err());
}

#[test]
fn turns_differ() {
    let entries: Vec<_> = (1..=5).map(Incarnation).collect();
    let mut firsts = [0; 5];
    for agent in 0..1_000 {
        let turns: Vec<_> =
            entries.iter().map(|own| turn(Incarnation(agent), *own, &entries)).collect();
        let mut sorted = turns.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, [0, 1, 2, 3, 4]);
        firsts[turns.iter().position(|turn| *turn == 0).unwrap()] += 1;
    }
    assert!(firsts.iter().all(|&first| first > 120), "{firsts:?}");
}

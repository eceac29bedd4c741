//! Templates by way of peers: a start while the platform is out, and an entry
//! that is cut off from it.

mod admin_site;

use {
    admin_site::{Relay, Silent, Site, yaml},
    std::time::Duration,
    tokio::time::sleep,
};

#[tokio::test]
async fn start_from_peers() {
    let mut site = Site::start(2).await;
    for organisation in ["alpenfunk", "rangmancha"] {
        assert_eq!(site.put(0, organisation, 0, &yaml(organisation, 100)).await.status, 200);
        site.until_revision(1, organisation, 1).await;
    }
    site.standin.refuse().await.unwrap();
    let address = site.standin.address();
    site.add_entry(address).await;
    site.until_ready(2).await;
    assert_eq!(
        site.entries[2].in_force.load().revisions(),
        site.entries[0].in_force.load().revisions()
    );
    site.standin.heal().await.unwrap();
    assert_eq!(site.put(1, "alpenfunk", 1, &yaml("alpenfunk", 200)).await.status, 200);
    site.until_revision(2, "alpenfunk", 2).await;
}

#[tokio::test]
async fn not_ready_alone() {
    let mut site = Site::start(0).await;
    site.standin.refuse().await.unwrap();
    let address = site.standin.address();
    site.add_entry(address).await;
    sleep(Duration::from_millis(700)).await;
    assert!(!site.is_ready(0).await);
    site.standin.heal().await.unwrap();
    site.until_ready(0).await;
}

#[tokio::test]
async fn cut_off_entry() {
    let mut site = Site::start(1).await;
    let relay = Relay::start(site.standin.address()).await;
    site.add_entry(relay.address).await;
    site.until_ready(1).await;
    assert_eq!(site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 100)).await.status, 200);
    site.until_revision(1, "alpenfunk", 1).await;
    // Known to each other by the platform before the cut.
    admin_site::until("they know each other", async || {
        site.entries[0].peers.others(&site.entries[0].entry.shared).len() == 1
    })
    .await;
    relay.cut();
    assert_eq!(site.put(0, "alpenfunk", 1, &yaml("alpenfunk", 200)).await.status, 200);
    site.until_revision(1, "alpenfunk", 2).await;
}

#[tokio::test]
async fn silent_watch() {
    let mut site = Site::start(1).await;
    let relay = Relay::start(site.standin.address()).await;
    site.add_entry(relay.address).await;
    site.until_ready(1).await;
    admin_site::until("they know each other", async || {
        site.entries[0].peers.others(&site.entries[0].entry.shared).len() == 1
    })
    .await;
    relay.stall();
    assert_eq!(site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 100)).await.status, 200);
    site.until_revision(1, "alpenfunk", 1).await;
}

/// An entry that has the newest revision and one that missed it, neither of
/// which can be dialled by what the platform tells. A third one starts without
/// the platform: the first one answers it later than the other.
#[tokio::test]
async fn start_waits_for_newest() {
    let mut site = Site::start(0).await;
    let (nowhere, late) = (Silent::bind().await, Silent::bind().await);
    let direct = site.standin.address();
    let relay = Relay::start(direct).await;
    site.add_entry_with(direct, |newest| newest.advertised_address = Some(late.address())).await;
    site.add_entry_with(relay.address, |lagging| {
        lagging.advertised_address = Some(nowhere.address());
        lagging.peers.clear();
    })
    .await;
    for entry in [0, 1] {
        site.until_ready(entry).await;
    }
    assert_eq!(site.put(0, "alpenfunk", 0, &yaml("alpenfunk", 100)).await.status, 200);
    site.until_revision(1, "alpenfunk", 1).await;
    relay.cut();
    assert_eq!(site.put(0, "alpenfunk", 1, &yaml("alpenfunk", 200)).await.status, 200);
    site.standin.refuse().await.unwrap();

    let peers = vec![site.bound(1), late.address()];
    site.add_entry_with(direct, |third| third.peers = peers).await;
    sleep(Duration::from_millis(1_000)).await;
    late.carry_to(site.bound(0));
    admin_site::until("a revision is in force", async || site.revision(2, "alpenfunk") > 0).await;
    assert_eq!(site.revision(2, "alpenfunk"), 2, "it went back by a restart");
    assert_eq!(site.revision(1, "alpenfunk"), 1, "the other one still lags");
}

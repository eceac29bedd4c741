//! The set in force: what is taken in, from the platform and from peers.

mod site;

use {
    site::{Entry, put, standin, until, yaml},
    sycamorerail_platform::Expected,
    sycamorerail_templates::{Base, Envelope, Stamp, envelope},
    sycamorerail_wire::message::{ConfigMark, TemplateRecord},
    uuid::Uuid,
};

fn envelope_of(revision: u64, yaml: &str, history: &[&str]) -> String {
    let stamp = |number: u64| Stamp {
        change_id: Uuid::from_u128(number.into()),
        published_by: "ops".to_owned(),
        published_unix_ms: 1,
    };
    let mut current = None;
    for (number, text) in history.iter().chain([&yaml]).enumerate() {
        let text = (*text).to_owned();
        current = Envelope::next(current.as_ref(), stamp(number as u64 + 1), Some(text)).ok();
    }
    let mut envelope = current.unwrap();
    envelope.revision = revision;
    envelope.encode()
}

async fn store(entry: &Entry, organisation: &str, value: &str) {
    let key = envelope::key(organisation);
    let current = entry.platform.get(&key).await.unwrap();
    let expected = current.map_or(Expected::Absent, |item| Expected::Modified(item.modified));
    entry.platform.swap(&key, expected, value, None, &[]).await.unwrap();
    entry.in_force.mirror().sync().await.unwrap();
}

/// Stores a record and waits until the set has passed it.
async fn store_and_pass(entry: &Entry, organisation: &str, value: &str) {
    store(entry, organisation, value).await;
    let flag = format!("flag-{}", entry.in_force.load().records.len());
    store(entry, &flag, &envelope_of(1, &yaml(&flag, 1), &[])).await;
    entry.until_revision(&flag, 1).await;
}

#[tokio::test]
async fn previous_kept() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    store_and_pass(&entry, "alpenfunk", &envelope_of(4, &yaml("alpenfunk", 1), &[])).await;
    let invalid = envelope_of(5, "kinds: 7", &[]);
    let older = envelope_of(3, &yaml("alpenfunk", 2), &[]);
    let misnamed = envelope_of(6, &yaml("rangmancha", 2), &[]);
    for value in ["not a record", &invalid, &older, &misnamed] {
        store_and_pass(&entry, "alpenfunk", value).await;
        assert_eq!(entry.revision("alpenfunk"), 4);
    }
    store(&entry, "alpenfunk", &envelope_of(7, &yaml("alpenfunk", 3), &[])).await;
    entry.until_revision("alpenfunk", 7).await;
}

#[tokio::test]
async fn past_one_after_restart() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    let history = [&*yaml("alpenfunk", 1), &*yaml("alpenfunk", 2)];
    store(&entry, "alpenfunk", &envelope_of(3, "newer: format", &history)).await;
    let restarted = Entry::start(&standin.url());
    restarted.until_revision("alpenfunk", 2).await;
    store(&entry, "alpenfunk", &envelope_of(4, &yaml("alpenfunk", 4), &[])).await;
    restarted.until_revision("alpenfunk", 4).await;
}

#[tokio::test]
async fn ready_when_empty() {
    let standin = standin(1).await;
    standin.refuse().await.unwrap();
    let entry = Entry::start(&standin.url());
    assert!(!entry.in_force.ready());
    entry.in_force.take_from_peer(Vec::new());
    assert!(!entry.in_force.ready(), "a peer without records proves nothing");
    standin.heal().await.unwrap();
    entry.until_ready().await;
    assert_eq!(entry.in_force.load().records.len(), 0);
}

/// All records of a peer, page by page.
fn pages(peer: &Entry) -> Vec<TemplateRecord> {
    let (mut all, mut since) = (Vec::new(), ConfigMark(0));
    loop {
        let page = peer.in_force.records_since(since);
        let Some(last) = page.last() else { return all };
        assert!(last.mark > since);
        since = last.mark;
        all.extend(page);
    }
}

#[tokio::test]
async fn start_from_peer() {
    let standin = standin(1).await;
    let peer = Entry::start(&standin.url());
    let long = format!("# {}\n", "x".repeat(200 * 1024));
    for number in 0..12 {
        let name = format!("organisation-{number}");
        let value = envelope_of(2, &format!("{}{long}", yaml(&name, 1)), &[]);
        store(&peer, &name, &value).await;
    }
    peer.until_revision("organisation-11", 2).await;
    standin.refuse().await.unwrap();
    assert!(peer.in_force.records_since(ConfigMark(0)).len() < 12, "more than a page");
    let started = Entry::start(&standin.url());
    started.in_force.take_from_peer(pages(&peer));
    assert!(started.in_force.ready());
    assert_eq!(started.in_force.load().revisions(), peer.in_force.load().revisions());
    assert_eq!(pages(&started), pages(&peer), "it can serve the next one");
    standin.heal().await.unwrap();
    let change = put("organisation-3", Base::Revision(2), 9);
    peer.publisher.publish(&change).await.unwrap();
    started.until_revision("organisation-3", 3).await;
}

#[tokio::test]
async fn peer_never_reverts() {
    let standin = standin(1).await;
    let (one, two) = (Entry::start(&standin.url()), Entry::start(&standin.url()));
    one.publisher.publish(&put("alpenfunk", Base::Absent, 1)).await.unwrap();
    let old = one.in_force.records_since(ConfigMark(0));
    one.publisher.publish(&put("alpenfunk", Base::Revision(1), 2)).await.unwrap();
    two.until_revision("alpenfunk", 2).await;
    two.in_force.take_from_peer(old);
    assert_eq!(two.revision("alpenfunk"), 2);
}

#[tokio::test]
async fn mark_seen_elsewhere() {
    let standin = standin(1).await;
    let (one, two) = (Entry::start(&standin.url()), Entry::start(&standin.url()));
    two.until_ready().await;
    let accepted = one.publisher.publish(&put("alpenfunk", Base::Absent, 1)).await.unwrap();
    two.in_force.seen_mark(accepted.mark);
    until("the change seen elsewhere", || !two.in_force.behind()).await;
    two.until_revision("alpenfunk", 1).await;
}

#[tokio::test]
async fn marks_out_of_order() {
    let standin = standin(1).await;
    let one = Entry::start(&standin.url());
    for organisation in ["alpenfunk", "rangmancha"] {
        one.publisher.publish(&put(organisation, Base::Absent, 1)).await.unwrap();
    }
    standin.refuse().await.unwrap();
    let started = Entry::start(&standin.url());
    let mut records = one.in_force.records_since(ConfigMark(0));
    started.in_force.take_from_peer(records.split_off(1));
    started.in_force.take_from_peer(records);
    assert_eq!(started.in_force.load().revisions(), one.in_force.load().revisions());
}

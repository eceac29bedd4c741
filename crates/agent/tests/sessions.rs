//! Sessions with entries: dialling, heartbeats and updates.

mod support;

use {
    std::sync::atomic::Ordering,
    support::{Cluster, FakeEntry, HOME, any_port, settings, start_agent, wait_until},
    sycamorerail_wire::{
        ids::Incarnation,
        keys::generate_authority,
        message::{AgentReplyBody, ToAgent},
    },
};

#[tokio::test]
async fn entry_learns_upstream() {
    let authority = generate_authority("test").unwrap();
    let entry = FakeEntry::start(&authority, HOME, any_port());
    let agent = start_agent(settings(&authority, vec![entry.address])).await;
    entry.connection().await;
    let hello = entry.last_hello().unwrap();
    assert_eq!((hello.upstream, hello.load.slots), (None, 0));
    assert_eq!(hello.agent.incarnation, agent.incarnation());
    let _upstream = support::start_upstream(&agent, 3).await;
    let is_updated = || entry.last_hello().is_some_and(|hello| hello.load.slots == 3);
    wait_until("the entry knows the slots", is_updated).await;
    let upstream = entry.last_hello().unwrap().upstream.unwrap();
    assert_eq!((upstream.name.as_str(), upstream.slots), ("upstream", 3));
}

#[tokio::test]
async fn listed_entries_are_dialled() {
    let cluster = Cluster::start(1).await;
    let second = FakeEntry::start(&cluster.authority, Incarnation(78), any_port());
    cluster.entry.set_members(vec![cluster.entry.address, second.address], Vec::new());
    cluster.entry.close_connection().await;
    second.connection().await;
    let reply = second.place(&cluster.placement(1, "{}")).await;
    assert!(matches!(reply, AgentReplyBody::Ended { .. }), "{reply:?}");
}

#[tokio::test]
async fn entry_restarts() {
    let cluster = Cluster::start(1).await;
    let address = cluster.entry.address;
    cluster.entry.connection().await;
    cluster.entry.stop().await;
    let again = FakeEntry::start(&cluster.authority, Incarnation(79), address);
    again.connection().await;
    let reply = again.call(&ToAgent::Probe).await;
    assert_eq!(reply.agent, cluster.agent.incarnation());
}

#[tokio::test]
async fn idle_session_sends_heartbeats() {
    let cluster = Cluster::start_with(1, |settings| settings.heartbeat_ms = 50).await;
    let heartbeats = || cluster.entry.received.heartbeats.load(Ordering::Acquire);
    wait_until("three heartbeats", || heartbeats() >= 3).await;
}

#[tokio::test]
async fn busy_session_asks_for_entries() {
    let cluster = Cluster::start_with(1, |settings| settings.heartbeat_ms = 200).await;
    let second = FakeEntry::start(&cluster.authority, Incarnation(78), any_port());
    cluster.entry.set_members(vec![second.address], Vec::new());
    let busy = async {
        for sequence in 0.. {
            cluster.entry.place(&cluster.placement(sequence, "{}")).await;
        }
    };
    tokio::select! {
        () = busy => {}
        _ = second.connection() => {}
    }
}

#[tokio::test]
async fn one_session_per_incarnation() {
    let cluster = Cluster::start(1).await;
    let first = cluster.entry.connection().await;
    let twin = FakeEntry::start(&cluster.authority, HOME, any_port());
    cluster.entry.set_members(vec![twin.address], Vec::new());
    cluster.upstream.leave().await.unwrap();
    twin.connection().await;
    first.closed().await;
    assert_eq!(cluster.agent.sessions(), 1);
    let reply = twin.call(&ToAgent::Probe).await;
    assert_eq!(reply.agent, cluster.agent.incarnation());
}

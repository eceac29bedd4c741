//! Sessions: dialled, kept, told of changes.

mod support;

use {
    std::sync::atomic::Ordering,
    support::{Cluster, FakeEntry, HOME, any_port, settings, start_agent, until},
    sycamorerail_wire::{
        ids::Incarnation,
        keys::generate_authority,
        message::{AgentReplyBody, ToAgent},
    },
};

#[tokio::test]
async fn upstream_told() {
    let authority = generate_authority("test").unwrap();
    let entry = FakeEntry::start(&authority, HOME, any_port());
    let agent = start_agent(settings(&authority, vec![entry.address])).await;
    entry.connection().await;
    let hello = entry.last_hello().unwrap();
    assert_eq!((hello.upstream, hello.load.slots), (None, 0));
    assert_eq!(hello.agent.incarnation, agent.incarnation());
    let _upstream = support::start_upstream(&agent, 3).await;
    let told = || entry.last_hello().is_some_and(|hello| hello.load.slots == 3);
    until("told", told).await;
    let upstream = entry.last_hello().unwrap().upstream.unwrap();
    assert_eq!((upstream.name.as_str(), upstream.slots), ("upstream", 3));
}

#[tokio::test]
async fn entries_learnt() {
    let cluster = Cluster::start(1).await;
    let second = FakeEntry::start(&cluster.authority, Incarnation(78), any_port());
    cluster.entry.list(vec![cluster.entry.address, second.address], Vec::new());
    cluster.entry.hang_up().await;
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
async fn idle_beats() {
    let cluster = Cluster::start_with(1, |settings| settings.heartbeat_ms = 50).await;
    let beats = || cluster.entry.heard.beats.load(Ordering::Acquire);
    until("three heartbeats", || beats() >= 3).await;
}

#[tokio::test]
async fn busy_asks() {
    let cluster = Cluster::start_with(1, |settings| settings.heartbeat_ms = 200).await;
    let second = FakeEntry::start(&cluster.authority, Incarnation(78), any_port());
    cluster.entry.list(vec![second.address], Vec::new());
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
async fn same_run_once() {
    let cluster = Cluster::start(1).await;
    let first = cluster.entry.connection().await;
    let twin = FakeEntry::start(&cluster.authority, HOME, any_port());
    cluster.entry.list(vec![twin.address], Vec::new());
    cluster.upstream.leave().await.unwrap();
    twin.connection().await;
    first.closed().await;
    assert_eq!(cluster.agent.sessions(), 1);
    let reply = twin.call(&ToAgent::Probe).await;
    assert_eq!(reply.agent, cluster.agent.incarnation());
}

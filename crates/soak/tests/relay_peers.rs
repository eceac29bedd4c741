//! A relay holds up the bytes of one peer and carries those of others.

use {
    std::{net::SocketAddr, time::Duration},
    sycamorerail_soak::tcp_relay::{Passage, TcpRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Longer than an open relay takes.
const HELD_FOR: Duration = Duration::from_millis(300);
/// Longer than anything takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                copy(&mut reader, &mut writer).await
            });
        }
    });
    address
}

async fn says(stream: &mut TcpStream, text: &[u8], within: Duration) -> bool {
    stream.write_all(text).await.unwrap();
    echoed(stream, text, within).await
}

async fn echoed(stream: &mut TcpStream, text: &[u8], within: Duration) -> bool {
    let mut back = vec![0; text.len()];
    timeout(within, stream.read_exact(&mut back)).await.is_ok_and(|read| read.is_ok())
}

#[tokio::test]
async fn one_peer_is_held_both_ways_or_one() {
    let relay = TcpRelay::start("127.0.0.1:0".parse().unwrap(), echo().await).await.unwrap();
    let mut one = TcpStream::connect(relay.address()).await.unwrap();
    let mut other = TcpStream::connect(relay.address()).await.unwrap();
    assert!(says(&mut one, b"hello side-1", PATIENCE).await);
    assert!(says(&mut other, b"hello side-2", PATIENCE).await);
    for passage in [Passage::Held, Passage::HeldToTarget, Passage::HeldFromTarget] {
        relay.set_for("side-1", passage);
        assert!(!says(&mut one, b"held", HELD_FOR).await, "{passage:?}");
        assert!(says(&mut other, b"goes on", PATIENCE).await, "{passage:?}");
        relay.set_for("side-1", Passage::Open);
        assert!(echoed(&mut one, b"held", PATIENCE).await, "{passage:?}");
    }
}

/// A relay before an echo, with two connections: of `side-1` and of `side-10`.
async fn relayed() -> (TcpRelay, [TcpStream; 2]) {
    let relay = TcpRelay::start("127.0.0.1:0".parse().unwrap(), echo().await).await.unwrap();
    let mut one = TcpStream::connect(relay.address()).await.unwrap();
    let mut other = TcpStream::connect(relay.address()).await.unwrap();
    assert!(says(&mut one, b"\x06side-1", PATIENCE).await);
    assert!(says(&mut other, b"\x07side-10", PATIENCE).await);
    (relay, [one, other])
}

/// Guards against a peer that is held in place of another whose name its own begins with.
#[tokio::test]
async fn names_may_be_bytes() {
    let (relay, [mut one, mut other]) = relayed().await;
    relay.set_for_each(&[b"\x06side-1".as_slice(), b"\x06side-2"], Passage::Held);
    assert!(!says(&mut one, b"held", HELD_FOR).await);
    assert!(says(&mut other, b"goes on", PATIENCE).await);
}

/// Guards against a cut that new connections of a held peer get through, or that holds those of
/// others up.
#[tokio::test]
async fn new_connections_of_a_held_peer_wait() {
    let (relay, _) = relayed().await;
    relay.set_for("side-2", Passage::Held);
    let mut one = TcpStream::connect(relay.address()).await.unwrap();
    let mut other = TcpStream::connect(relay.address()).await.unwrap();
    assert!(!says(&mut one, b"hello side-2", HELD_FOR).await);
    assert!(says(&mut other, b"hello side-3", PATIENCE).await);
    relay.set_for("side-2", Passage::Open);
    assert!(echoed(&mut one, b"hello side-2", PATIENCE).await);
}

/// Guards against connections that were given up during a cut and come to life after it.
#[tokio::test]
async fn connections_given_up_while_held_are_not_carried_on() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target_address = target.local_addr().unwrap();
    let relay = TcpRelay::start("127.0.0.1:0".parse().unwrap(), target_address).await.unwrap();
    relay.set_for("side-1", Passage::Held);
    let mut given_up = TcpStream::connect(relay.address()).await.unwrap();
    given_up.write_all(b"hello side-1").await.unwrap();
    assert!(timeout(HELD_FOR, target.accept()).await.is_err());
    drop(given_up);
    let mut kept = TcpStream::connect(relay.address()).await.unwrap();
    kept.write_all(b"hello side-1, again").await.unwrap();
    sleep(HELD_FOR).await;
    relay.set_for("side-1", Passage::Open);
    let (mut carried, _) = timeout(PATIENCE, target.accept()).await.unwrap().unwrap();
    let mut hello = [0; 19];
    carried.read_exact(&mut hello).await.unwrap();
    assert_eq!(&hello, b"hello side-1, again");
    assert!(timeout(HELD_FOR, target.accept()).await.is_err());
}

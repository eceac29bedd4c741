//! A relay holds up the bytes of one peer and carries those of others.

use {
    std::{net::SocketAddr, time::Duration},
    sycamorerail_soak::tcp_relay::{Passage, TcpRelay},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy},
        net::{TcpListener, TcpStream},
        time::timeout,
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

//! The bound of a planned stop, in a process of its own: here the stop has to cut a call, which
//! ends the process of other tests.

mod support;

use {
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{PATIENCE, World},
    sycamorerail_entry::drain::InFlight,
    sycamorerail_telemetry::invariant,
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// Bound of the drain, in milliseconds.
const BOUND_MS: u32 = 1_500;
/// Time for connections to close after it, a few pauses of 100 ms.
const CLOSE_SLACK: Duration = Duration::from_millis(500);

/// A drain must not wait anew for each part: what kept the HTTP server open was added to the wait
/// for calls of other entries, beyond the time at which the process is killed.
#[tokio::test]
async fn the_bound_holds_for_all_parts_together() {
    let world = World::with_limits(|limits| limits.drain_ms = BOUND_MS).await;
    let mut half_sent = TcpStream::connect(world.entry.http_address()).await.unwrap();
    half_sent.write_all(b"GET /ready HTTP/1.1\r\nHost:").await.unwrap();
    let shared = Arc::clone(&world.entry.shared);
    // It comes once nothing is in flight, and does not end.
    let call = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(BOUND_MS.into()) / 2).await;
        let call = InFlight::of_peer(&shared);
        std::future::pending::<()>().await;
        drop(call);
    });
    invariant::set_fatal(false);
    let begun = Instant::now();
    let drained = tokio::time::timeout(PATIENCE, world.entry.drain()).await;
    let took = begun.elapsed();
    assert!(drained.expect("the drain did not end").is_err(), "no call was in flight");
    call.abort();
    assert!(took < Duration::from_millis(BOUND_MS.into()) + CLOSE_SLACK, "{took:?}");
}

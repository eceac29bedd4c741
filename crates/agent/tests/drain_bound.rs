//! A planned stop that exceeds `drain_ms`. The test is alone in its process, because it
//! violates an invariant on purpose.

mod support;

use {
    support::Cluster, sycamorerail_agent::agent::StopOutcome, sycamorerail_telemetry::invariant,
    sycamorerail_wire::session::peer_drained,
};

#[tokio::test]
async fn drain_ends_after_drain_ms() {
    let cluster = Cluster::start_with(1, |settings| settings.drain_ms = 100).await;
    invariant::set_fatal(false);
    let _running = cluster.entry.spawn_place(&cluster.placement(1, r#"{"run_ms":600000}"#)).await;
    cluster.wait_until_started(1).await;
    let connection = cluster.entry.connection().await;
    assert_eq!(cluster.agent.stop().await, StopOutcome { cut: 2 });
    connection.closed().await;
    assert!(!peer_drained(&connection));
}

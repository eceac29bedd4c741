//! Agents that connect to an entry before it has a membership.

mod forward_cluster;
mod support;

use forward_cluster::{Cluster, until};

/// Guards against an agent that nobody registers, as each entry accepted it before its membership
/// had begun.
#[tokio::test]
async fn an_agent_that_connects_before_membership_begins_is_registered() {
    let mut cluster = Cluster::start(0, 0).await;
    cluster.add_unattached_node().await;
    cluster.add_agent().await;
    let node = &cluster.nodes[0];
    until("the agent is connected", async || {
        !node.entry.shared.upstreams.snapshot().agents.is_empty()
    })
    .await;
    node.attach();
    cluster.all_usable().await;
}

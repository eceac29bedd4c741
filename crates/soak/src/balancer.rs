//! Which entries are in service, as the platform's balancer sees it.

use {
    crate::{cluster::Cluster, http::is_ready},
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Weak,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    sycamorerail_bench::cluster::Role,
    tokio::time::{sleep, timeout},
};

const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// An entry that does not say that it is ready within this is out of service.
const LOOK_TIMEOUT: Duration = Duration::from_secs(1);

/// Entries in service, by looks at their readiness.
#[derive(Debug, Default)]
pub struct Balancer {
    in_service: Mutex<Vec<(String, SocketAddr)>>,
    turn: AtomicUsize,
}

impl Balancer {
    /// Looks at the cluster's entries until dropped.
    #[must_use]
    pub fn start(cluster: Arc<Cluster>) -> Arc<Self> {
        let balancer = Arc::new(Self::default());
        let entries: Vec<(String, SocketAddr)> = cluster
            .layout()
            .of_role(Role::Entry)
            .map(|entry| (entry.name.clone(), entry.http_address))
            .collect();
        let client = cluster.client().clone();
        for (name, address) in entries {
            tokio::spawn(look(Arc::downgrade(&balancer), client.clone(), name, address));
        }
        balancer
    }

    /// The next entry in service, in turn.
    #[must_use]
    pub fn next(&self) -> Option<(String, SocketAddr)> {
        let in_service = self.in_service.lock();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        in_service.get(turn % in_service.len().max(1)).cloned()
    }

    fn set(&self, name: &str, address: SocketAddr, ready: bool) {
        let mut in_service = self.in_service.lock();
        let there = in_service.iter().position(|(other, _)| other == name);
        match (there, ready) {
            (None, true) => in_service.push((name.to_owned(), address)),
            (Some(at), false) => drop(in_service.remove(at)),
            _ => {}
        }
    }
}

async fn look(
    balancer: Weak<Balancer>,
    client: reqwest::Client,
    name: String,
    address: SocketAddr,
) {
    while let Some(balancer) = balancer.upgrade() {
        let ready = timeout(LOOK_TIMEOUT, is_ready(&client, address)).await.unwrap_or(false);
        balancer.set(&name, address, ready);
        drop(balancer);
        sleep(LOOK_PERIOD).await;
    }
}

//! The platform's balancer before the entries: each in turn, those left out
//! that are not ready.

use {
    crate::{
        client::Client,
        cluster::{Cluster, Role},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Entries in turn.
pub struct Balancer {
    client: Client,
    entries: Vec<(SocketAddr, AtomicBool)>,
    turn: AtomicUsize,
}

impl Balancer {
    /// All entries count as ready until looked at.
    #[must_use]
    pub fn new(cluster: &Cluster, client: &Client) -> Arc<Self> {
        let entries = cluster.of_role(Role::Entry);
        Arc::new(Self {
            client: client.clone(),
            entries: entries.map(|entry| (entry.http_address, AtomicBool::new(true))).collect(),
            turn: AtomicUsize::new(0),
        })
    }

    /// Address of the nth entry.
    #[must_use]
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].0
    }

    /// The next entry that is ready; the next of all when none is.
    pub fn next(&self) -> SocketAddr {
        let first = self.turn.fetch_add(1, Ordering::Relaxed);
        let count = self.entries.len();
        let in_turn = (0..count).map(|step| &self.entries[(first + step) % count]);
        let ready = in_turn.clone().find(|(_, ready)| ready.load(Ordering::Relaxed));
        ready.unwrap_or(&self.entries[first % count]).0
    }

    /// Looks at all entries from time to time, until dropped by the caller.
    pub async fn check_health(self: Arc<Self>, every_ms: u32) {
        if every_ms == 0 {
            return;
        }
        let pause = Duration::from_millis(u64::from(every_ms));
        let client = &self.client;
        loop {
            tokio::time::sleep(pause).await;
            let looks = self.entries.iter().map(|(address, ready)| async move {
                let is_ready = client.is_ready(*address, pause).await;
                ready.store(is_ready, Ordering::Relaxed);
            });
            futures::future::join_all(looks).await;
        }
    }
}

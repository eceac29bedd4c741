//! Watches the revisions in force at each entry: none may go back, over
//! restarts too.

use {
    crate::{cluster::Cluster, operator::Operator},
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Weak},
        time::Duration,
    },
    sycamorerail_bench::cluster::Role,
    tokio::time::sleep,
};

const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// A revision that went back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reversal {
    /// The entry.
    pub entry: String,
    /// The organisation.
    pub organisation: String,
    /// In force before.
    pub before: u64,
    /// In force after it.
    pub after: u64,
}

#[derive(Debug, Default)]
struct Seen {
    /// By entry and organisation.
    in_force: BTreeMap<(String, String), u64>,
    reversals: Vec<Reversal>,
}

/// Watches the entries until dropped.
#[derive(Debug, Default)]
pub struct Watcher {
    seen: Mutex<Seen>,
}

impl Watcher {
    /// Watches all entries laid out.
    #[must_use]
    pub fn start(cluster: &Cluster) -> Arc<Self> {
        let watcher = Arc::new(Self::default());
        for entry in cluster.layout().of_role(Role::Entry) {
            let (operator, name) = (cluster.operator().clone(), entry.name.clone());
            tokio::spawn(watch(Arc::downgrade(&watcher), operator, name, entry.http_address));
        }
        watcher
    }

    /// What went back so far.
    #[must_use]
    pub fn reversals(&self) -> Vec<Reversal> {
        self.seen.lock().reversals.clone()
    }

    fn note(&self, entry: &str, in_force: BTreeMap<String, u64>) {
        let mut seen = self.seen.lock();
        let Seen { in_force: known, reversals } = &mut *seen;
        for (organisation, revision) in in_force {
            let before = known.entry((entry.to_owned(), organisation.clone())).or_default();
            if revision < *before {
                let (before, entry) = (*before, entry.to_owned());
                reversals.push(Reversal { entry, organisation, before, after: revision });
            } else {
                *before = revision;
            }
        }
    }
}

async fn watch(watcher: Weak<Watcher>, operator: Operator, entry: String, address: SocketAddr) {
    while let Some(watcher) = watcher.upgrade() {
        // Looks follow each other, so their order is that of what they saw.
        if let Some(in_force) = operator.in_force(address).await.told() {
            watcher.note(&entry, in_force);
        }
        drop(watcher);
        sleep(LOOK_PERIOD).await;
    }
}

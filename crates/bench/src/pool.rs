//! Ids reserved ahead of the load, outside the measured time.

use {
    crate::{
        client::Client,
        cluster::{Cluster, Role},
        scenario::Scenario,
    },
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Ids older than this are left unused: entries refuse those beyond their
/// retention.
const MAX_AGE_MS: u64 = 20_000;
/// Pause between refills.
const REFILL_MS: u64 = 200;

/// A reserved id.
#[derive(Clone, Debug)]
pub struct Reserved {
    /// The id.
    pub id: String,
    /// Position of the entry that minted it.
    pub home: usize,
    minted: Instant,
}

/// Ids of all organisations.
pub struct IdPool {
    client: Client,
    entries: Vec<SocketAddr>,
    tokens: Vec<String>,
    stock: Vec<Mutex<VecDeque<Reserved>>>,
    block: u32,
    turn: AtomicUsize,
    /// Reservations made while a submission waited for one.
    pub in_line: AtomicU64,
}

impl IdPool {
    /// An empty pool.
    #[must_use]
    pub fn new(client: Client, cluster: &Cluster, scenario: &Scenario) -> Arc<Self> {
        Arc::new(Self {
            client,
            entries: cluster.of_role(Role::Entry).map(|entry| entry.http_address).collect(),
            tokens: cluster.organisations.iter().map(|org| org.token.clone()).collect(),
            stock: cluster.organisations.iter().map(|_| Mutex::default()).collect(),
            block: scenario.client.reserve_block,
            turn: AtomicUsize::new(0),
            in_line: AtomicU64::new(0),
        })
    }

    /// Fills each organisation's stock from every entry once.
    ///
    /// # Errors
    ///
    /// When an entry refuses.
    pub async fn fill(&self) -> eyre::Result<()> {
        for organisation in 0..self.tokens.len() {
            for entry in 0..self.entries.len() {
                let reserved = self.reserve(organisation, entry).await?;
                self.put(organisation, reserved);
            }
        }
        Ok(())
    }

    /// Keeps the stock filled until dropped by the caller.
    pub async fn keep_filled(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(REFILL_MS)).await;
            for organisation in 0..self.tokens.len() {
                self.refill(organisation).await;
            }
        }
    }

    async fn refill(&self, organisation: usize) {
        let low = self.block as usize * self.entries.len() / 2;
        let fresh = |reserved: &Reserved| reserved.minted.elapsed() < max_age();
        let count = lock(&self.stock[organisation]).iter().filter(|id| fresh(id)).count();
        if count >= low {
            return;
        }
        let entry = self.next_entry();
        if let Ok(reserved) = self.reserve(organisation, entry).await {
            self.put(organisation, reserved);
        }
    }

    /// Takes an id, reserving one at once where the stock is empty.
    ///
    /// # Errors
    ///
    /// When no entry reserves.
    pub async fn take(&self, organisation: usize) -> eyre::Result<Reserved> {
        loop {
            let next = lock(&self.stock[organisation]).pop_front();
            match next {
                Some(reserved) if reserved.minted.elapsed() < max_age() => return Ok(reserved),
                Some(_) => {}
                None => break,
            }
        }
        self.in_line.fetch_add(1, Ordering::Relaxed);
        let entry = self.next_entry();
        let mut reserved = self.reserve(organisation, entry).await?;
        let first = reserved.pop().ok_or_else(|| eyre::eyre!("no id in the reservation"))?;
        self.put(organisation, reserved);
        Ok(first)
    }

    async fn reserve(&self, organisation: usize, home: usize) -> eyre::Result<Vec<Reserved>> {
        let token = &self.tokens[organisation];
        let minted = Instant::now();
        let ids = self.client.reserve(self.entries[home], token, self.block).await?;
        Ok(ids.into_iter().map(|id| Reserved { id, home, minted }).collect())
    }

    /// Adds ids so that those of different entries alternate at the front.
    fn put(&self, organisation: usize, reserved: Vec<Reserved>) {
        let mut stock = lock(&self.stock[organisation]);
        let old = std::mem::take(&mut *stock);
        let mut old = old.into_iter();
        for new in reserved {
            stock.extend(old.next());
            stock.push_back(new);
        }
        stock.extend(old);
    }

    fn next_entry(&self) -> usize {
        self.turn.fetch_add(1, Ordering::Relaxed) % self.entries.len()
    }
}

fn max_age() -> Duration {
    Duration::from_millis(MAX_AGE_MS)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

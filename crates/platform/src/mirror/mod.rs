//! A local copy of one prefix, kept by one watch with a slow poll behind it.

mod follow;
mod poll;
mod shared;

use {
    crate::{client::Platform, error::PlatformError, table::Table, value::KeyValue},
    shared::Shared,
    std::sync::{Arc, atomic::Ordering},
    tokio::{sync::watch, task::JoinHandle},
};

/// A mirror of one prefix. Clones share it; the last one dropped ends it.
#[derive(Clone, Debug)]
pub struct Mirror {
    shared: Arc<Shared>,
    _tasks: Arc<Tasks>,
}

#[derive(Debug)]
struct Tasks([JoinHandle<()>; 2]);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

impl Mirror {
    /// Starts to follow the prefix. `poll_ms` is the pause between polls while
    /// the watch is up. Needs a tokio runtime.
    #[must_use]
    pub fn start(platform: Platform, prefix: &str, poll_ms: u32) -> Self {
        let shared = Arc::new(Shared::new(platform, prefix, poll_ms));
        let follow = tokio::spawn(follow::follow(Arc::clone(&shared)));
        let poll = tokio::spawn(poll::poll_on(Arc::clone(&shared)));
        Self { shared, _tasks: Arc::new(Tasks([follow, poll])) }
    }

    /// Platform revision as of which the copy is exact; never falls.
    #[must_use]
    pub fn mark(&self) -> u64 {
        self.shared.published.load().mark()
    }

    /// Highest platform revision at which a key of this prefix is known to
    /// have changed, heard from the platform or a peer; never falls. This is
    /// the mark to spread: it stands still while other prefixes change.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.shared.published.load().newest()
    }

    /// Whether a full copy was held at least once.
    #[must_use]
    pub fn synced(&self) -> bool {
        self.shared.published.load().synced()
    }

    /// Whether the watch is up now or the last poll was answered.
    #[must_use]
    pub fn healthy(&self) -> bool {
        self.shared.watch_up.load(Ordering::Acquire)
            || self.shared.poll_answered.load(Ordering::Acquire)
    }

    /// Items whose key has the prefix, all as of one moment.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        self.shared.published.load().list(prefix).cloned().collect()
    }

    /// One item.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        self.shared.published.load().get(key).cloned()
    }

    /// The whole copy as of one moment, without cloning its items.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Table> {
        self.shared.published.load_full()
    }

    /// Wakes on each change of the copy or its mark; the value is the mark.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Polls now; returns the mark.
    ///
    /// # Errors
    ///
    /// When the platform doesn't answer.
    pub async fn sync(&self) -> Result<u64, PlatformError> {
        self.shared.poll().await
    }

    /// Takes items that a peer holds; of each key the newer one stays. Keys
    /// whose order matters to one another must come together, from one copy.
    pub fn apply_from_peer(&self, items: Vec<KeyValue>) {
        self.shared.change(|table| table.apply_from_peer(&items));
    }

    /// Polls soon. Many calls make one poll.
    pub fn poke(&self) {
        self.shared.poke.store(true, Ordering::Release);
        self.shared.poll_wanted.notify_one();
    }

    /// A peer told this [`Self::newest`]. Polls soon unless the watch brings
    /// it meanwhile, or the copy is exact beyond it. Many calls make one poll.
    pub fn seen_elsewhere(&self, mark: u64) {
        if !self.shared.published.load().lacks(mark) {
            return;
        }
        self.shared.seen_elsewhere.fetch_max(mark, Ordering::AcqRel);
        self.shared.poll_wanted.notify_one();
    }
}

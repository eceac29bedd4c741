//! A local copy of one prefix, kept by one watch with a slow poll behind it.

use {
    crate::{
        client::{KeyValue, Platform},
        error::PlatformError,
        table::{Applied, Table},
        watch::{Told, Watch},
    },
    arc_swap::ArcSwap,
    parking_lot::Mutex,
    rand::Rng,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_telemetry::event,
    tokio::{
        sync::{Notify, watch},
        task::JoinHandle,
        time::sleep,
    },
};

/// First pause before a broken watch is opened again.
const BACKOFF_FIRST_MS: u64 = 50;
/// Longest pause before a broken watch is opened again.
const BACKOFF_MOST_MS: u64 = 2_000;
/// Longest pause between polls while the watch is down.
const WATCHLESS_POLL_MS: u64 = 1_000;
/// A mark seen elsewhere is waited for this long before a poll.
const POKE_DELAY_MS: u64 = 50;
/// Least pause between polls.
const POLL_GAP_MS: u64 = 200;

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

#[derive(Debug)]
struct Shared {
    platform: Platform,
    prefix: String,
    poll_ms: u64,
    /// Taken by whoever changes the copy; readers load `published`.
    writing: Mutex<()>,
    published: ArcSwap<Table>,
    changed: watch::Sender<u64>,
    watch_up: AtomicBool,
    poll_answered: AtomicBool,
    /// Highest revision that the present watch told of.
    watch_told: AtomicU64,
    poll_wanted: Notify,
    seen_elsewhere: AtomicU64,
    poke: AtomicBool,
    full_wanted: AtomicBool,
    watch_suspect: Notify,
}

impl Mirror {
    /// Starts to follow the prefix. `poll_ms` is the pause between polls while
    /// the watch is up. Needs a tokio runtime.
    #[must_use]
    pub fn start(platform: Platform, prefix: &str, poll_ms: u32) -> Self {
        let shared = Arc::new(Shared {
            platform,
            prefix: prefix.to_owned(),
            poll_ms: u64::from(poll_ms.max(1)),
            writing: Mutex::new(()),
            published: ArcSwap::default(),
            changed: watch::Sender::new(0),
            watch_up: AtomicBool::new(false),
            poll_answered: AtomicBool::new(false),
            watch_told: AtomicU64::new(0),
            poll_wanted: Notify::new(),
            seen_elsewhere: AtomicU64::new(0),
            poke: AtomicBool::new(false),
            full_wanted: AtomicBool::new(false),
            watch_suspect: Notify::new(),
        });
        let follow = tokio::spawn(follow(Arc::clone(&shared)));
        let poll = tokio::spawn(poll_on(Arc::clone(&shared)));
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
    /// it meanwhile. Many calls make one poll.
    pub fn seen_elsewhere(&self, mark: u64) {
        if mark <= self.newest() {
            return;
        }
        self.shared.seen_elsewhere.fetch_max(mark, Ordering::AcqRel);
        self.shared.poll_wanted.notify_one();
    }
}

impl Shared {
    /// Changes the copy as a whole, and tells subscribers if anything moved.
    fn change(&self, apply: impl FnOnce(&mut Table) -> Applied) -> Applied {
        let _writing = self.writing.lock();
        let old = self.published.load_full();
        let mut table = Table::clone(&old);
        let applied = apply(&mut table);
        let mark = table.mark();
        let moved = applied == Applied::Changed || mark != old.mark();
        if moved || table.synced() != old.synced() {
            self.published.store(Arc::new(table));
            self.changed.send_replace(mark);
        }
        applied
    }

    /// Compares keys and revisions first; fetches values only where they differ.
    async fn poll(&self) -> Result<u64, PlatformError> {
        let polled = self.poll_uncounted().await;
        self.poll_answered.store(polled.is_ok(), Ordering::Release);
        polled
    }

    async fn poll_uncounted(&self) -> Result<u64, PlatformError> {
        if self.published.load().synced() {
            let (mark, outline) = self.platform.outline(&self.prefix).await?;
            let mut same = false;
            self.change(|table| {
                same = table.confirm_full(mark, &outline);
                Applied::Unchanged
            });
            if same {
                return Ok(self.published.load().mark());
            }
        }
        let range = self.platform.range(&self.prefix).await?;
        let newest = range.items.iter().map(|item| item.modified).max().unwrap_or(0);
        let mark = range.mark;
        if self.change(|table| table.apply_full(mark, range.items)) == Applied::Refused {
            event!(Debug, "platform_copy_old", prefix = self.prefix, mark = mark, newest = newest);
        }
        Ok(self.published.load().mark())
    }

    fn poll_pause_ms(&self) -> u64 {
        if self.watch_up.load(Ordering::Acquire) {
            return self.poll_ms;
        }
        self.poll_ms.min(WATCHLESS_POLL_MS)
    }

    /// Waits out the pause, or for a wish for a poll that still stands after
    /// the watch had time to bring the change.
    async fn wait_for_poll(&self) {
        let pause = sleep(jittered(self.poll_pause_ms()));
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return,
                () = self.poll_wanted.notified() => {}
            }
            sleep(jittered(POKE_DELAY_MS)).await;
            let seen = self.seen_elsewhere.load(Ordering::Acquire);
            let poked = self.poke.swap(false, Ordering::AcqRel);
            if poked || seen > self.published.load().newest() {
                return;
            }
        }
    }
}

/// Half to all of the pause, at random, so that processes don't act in step.
fn jittered(pause_ms: u64) -> Duration {
    let most = pause_ms.max(1);
    Duration::from_millis(rand::rng().random_range(most.div_ceil(2)..=most))
}

/// Polls as long as the mirror lives. A poll that finds what the watch has not
/// told by the next poll has the watch opened anew.
async fn poll_on(shared: Arc<Shared>) {
    let mut owed = 0;
    loop {
        shared.wait_for_poll().await;
        if owed > shared.watch_told.load(Ordering::Acquire) {
            shared.watch_suspect.notify_one();
        }
        let before = shared.published.load().newest();
        if let Err(error) = shared.poll().await {
            event!(Debug, "platform_poll_failed", prefix = shared.prefix, error = error);
        }
        let after = shared.published.load().newest();
        owed = if after > before { after } else { 0 };
        sleep(Duration::from_millis(POLL_GAP_MS)).await;
    }
}

/// Follows the prefix by one watch after another as long as the mirror lives.
async fn follow(shared: Arc<Shared>) {
    let mut backoff_ms = BACKOFF_FIRST_MS;
    loop {
        match follow_once(&shared).await {
            Ok(()) => backoff_ms = BACKOFF_FIRST_MS,
            Err(error) => {
                event!(Debug, "platform_watch_failed", prefix = shared.prefix, error = error);
            }
        }
        let was_up = shared.watch_up.swap(false, Ordering::AcqRel);
        if was_up {
            backoff_ms = BACKOFF_FIRST_MS;
            shared.poll_wanted.notify_one();
        }
        sleep(jittered(backoff_ms)).await;
        backoff_ms = (backoff_ms * 2).min(BACKOFF_MOST_MS);
    }
}

async fn follow_once(shared: &Shared) -> Result<(), PlatformError> {
    if !shared.published.load().synced() || shared.full_wanted.swap(false, Ordering::AcqRel) {
        shared.poll().await?;
    }
    let start = shared.published.load().mark();
    let watch = shared.platform.watch(&shared.prefix, start + 1).await?;
    shared.watch_told.store(start, Ordering::Release);
    shared.watch_up.store(true, Ordering::Release);
    tokio::select! {
        ended = take_in(shared, watch, start) => ended,
        () = shared.watch_suspect.notified() => Ok(()),
    }
}

async fn take_in(shared: &Shared, mut watch: Watch, start: u64) -> Result<(), PlatformError> {
    // The watch told everything of the prefix from `start` up to here.
    let mut after = start;
    loop {
        let applied = match watch.next().await? {
            Told::Compacted => Applied::Refused,
            Told::Progress(mark) => {
                let applied = shared.change(|table| table.apply_progress(after, mark));
                after = after.max(mark);
                applied
            }
            Told::Changes(changes) => {
                let applied = shared.change(|table| table.apply_changes(after, &changes));
                let last = changes.iter().map(crate::table::Change::revision).max().unwrap_or(0);
                after = after.max(last);
                applied
            }
        };
        shared.watch_told.store(after, Ordering::Release);
        if applied == Applied::Refused {
            shared.full_wanted.store(true, Ordering::Release);
            return Ok(());
        }
    }
}

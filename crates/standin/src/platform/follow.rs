//! The stream of one watch.

use {
    super::{
        PlatformFaults,
        json::{Int, Streamed, WatchCreate, WatchEvent, WatchResponse},
        state::State,
        store::KeyRange,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Pause between empty lines, by which the server learns that a caller left.
const PULSE_MS: u64 = 250;

/// One waiting watch; counted as such until dropped.
pub(super) struct Follower {
    state: Arc<State>,
    range: KeyRange,
    next_revision: u64,
    progress: bool,
    told_at: Instant,
    created: bool,
    ended: bool,
    cut: watch::Receiver<u64>,
    revision: watch::Receiver<u64>,
    faults: watch::Receiver<PlatformFaults>,
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.state.counters.waiting_watches.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Follower {
    pub(super) fn new(state: Arc<State>, request: WatchCreate) -> Self {
        state.counters.waiting_watches.fetch_add(1, Ordering::Relaxed);
        let next_revision = match request.start_revision.0 {
            0 => state.store.lock().revision() + 1,
            start => start,
        };
        Self {
            range: KeyRange { key: request.key.0, end: request.range_end.0 },
            next_revision,
            progress: request.progress_notify,
            told_at: Instant::now(),
            created: false,
            ended: false,
            cut: state.watch_cut.subscribe(),
            revision: state.revision.subscribe(),
            faults: state.faults.subscribe(),
            state,
        }
    }

    /// The next line of the stream; none when it ends.
    pub(super) async fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            self.state.thawed().await;
            if self.over() {
                return None;
            }
            if !std::mem::replace(&mut self.created, true) {
                let revision = self.state.store.lock().revision();
                return Some(self.line(|answer| {
                    answer.created = true;
                    answer.header.revision = Int(revision);
                }));
            }
            if let Some(line) = self.catch_up() {
                let delay = self.state.delay();
                sleep(delay).await;
                self.state.thawed().await;
                return Some(line);
            }
            if self.waited_in_vain().await {
                return Some(self.pulse());
            }
        }
    }

    fn over(&self) -> bool {
        let faults = *self.faults.borrow();
        self.ended || faults.hang || faults.no_watches || self.cut.has_changed().unwrap_or(true)
    }

    fn catch_up(&mut self) -> Option<Vec<u8>> {
        self.revision.mark_unchanged();
        if self.faults.borrow().mute_watches {
            return None;
        }
        let state = Arc::clone(&self.state);
        let store = state.store.lock();
        let read = store.events(&self.range, self.next_revision);
        let revision = store.revision();
        drop(store);
        let events = match read {
            Ok(events) => events,
            Err(compacted) => {
                self.ended = true;
                return Some(self.line(|answer| {
                    answer.canceled = true;
                    answer.compact_revision = Int(compacted.0);
                }));
            }
        };
        self.next_revision = self.next_revision.max(revision + 1);
        if events.is_empty() {
            return None;
        }
        let events = events.into_iter().map(WatchEvent::from).collect();
        Some(self.line(|answer| answer.events = events))
    }

    /// Waits for something to happen; true when nothing has for a while.
    async fn waited_in_vain(&mut self) -> bool {
        tokio::select! {
            _ = self.revision.changed() => false,
            _ = self.cut.changed() => {
                self.ended = true;
                false
            }
            _ = self.faults.changed() => false,
            () = sleep(Duration::from_millis(PULSE_MS)) => true,
        }
    }

    fn pulse(&mut self) -> Vec<u8> {
        let due = Duration::from_millis(u64::from(self.state.config.progress_ms));
        if self.progress && self.told_at.elapsed() >= due {
            return self.line(|_| ());
        }
        b"\n".to_vec()
    }

    /// A line as of the last revision that was looked through.
    fn line(&mut self, fill: impl FnOnce(&mut WatchResponse)) -> Vec<u8> {
        self.told_at = Instant::now();
        let mut answer = WatchResponse::new(self.next_revision.saturating_sub(1));
        fill(&mut answer);
        let mut line = serde_json::to_vec(&Streamed { result: answer }).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

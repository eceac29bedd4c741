//! How long a task would wait, from the view and from the queue's own pace.

use crate::{
    placement::PlacementQuery,
    view::{UpstreamRow, View},
};

/// Length of a window of [`DrainRate`], in milliseconds.
const WINDOW_MS: u64 = 250;

/// Weight of the last window against those before.
const NEW_WEIGHT: f64 = 0.4;

/// The fleet as one kind of task sees it. It reads every row, so it is made
/// every few milliseconds rather than for every request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Free slots known of.
    pub free_slots: u32,
    /// Of the tasks queued at upstreams beyond their slots, an entry's part.
    pub queued_there: u32,
    /// Tasks a second that this entry can count on to be started once no slot
    /// is free.
    pub starts_per_s: f64,
}

impl Forecast {
    /// Reads the view.
    ///
    /// `drain_per_s` is the pace at which tasks left this entry's queue lately,
    /// as they did while it was not empty; `None` without one. Then the pace is
    /// what all slots do, divided by the `entries` that share them.
    #[must_use]
    pub fn new(
        view: &View,
        query: &PlacementQuery<'_>,
        drain_per_s: Option<f64>,
        entries: u32,
        now_ms: u64,
    ) -> Self {
        let serves = |row: &&UpstreamRow| {
            row.can_serve(query.kind, query.size_bytes) && row.takes_work(now_ms)
        };
        let mut forecast = Self::default();
        for row in view.rows.iter().filter(serves) {
            forecast.add(row, query);
        }
        let entries = entries.max(1);
        forecast.queued_there = forecast.queued_there.div_ceil(entries);
        forecast.starts_per_s = drain_per_s.unwrap_or(forecast.starts_per_s / f64::from(entries));
        forecast
    }

    fn add(&mut self, row: &UpstreamRow, query: &PlacementQuery<'_>) {
        let free_slots = row.free_slots();
        self.free_slots += free_slots.max(0) as u32;
        self.queued_there += (-free_slots).max(0) as u32;
        self.starts_per_s += row.starts_per_s(query.run_ms as f32 * 1_000.0);
    }

    /// Expected wait of the last of `tasks` new tasks behind `ahead` others, in
    /// milliseconds.
    #[must_use]
    pub fn wait_ms(&self, ahead: u32, tasks: u32) -> u64 {
        let needed = ahead.saturating_add(tasks);
        match needed.saturating_sub(self.free_slots) {
            0 => 0,
            waiting => self.drain_ms(waiting.saturating_add(self.queued_there)),
        }
    }

    /// Time to start that many waiting tasks, in milliseconds.
    #[must_use]
    pub fn drain_ms(&self, tasks: u32) -> u64 {
        (f64::from(tasks) * 1_000.0 / self.starts_per_s.max(0.001)).ceil() as u64
    }
}

/// Pace at which tasks leave the waiting queue.
///
/// While tasks wait, it is the share of the fleet that this entry gets against
/// the others, which no view tells.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    window_start_ms: u64,
    left: u32,
    per_s: Option<f64>,
}

impl DrainRate {
    /// Counts tasks that left the queue to an upstream while others waited.
    pub fn record(&mut self, tasks: u32, now_ms: u64) {
        self.close_window(now_ms);
        self.left += tasks;
    }

    /// The queue is empty: the pace says nothing any more.
    pub fn clear(&mut self, now_ms: u64) {
        *self = Self { window_start_ms: now_ms, left: 0, per_s: None };
    }

    /// Tasks a second; `None` before the first full window.
    #[must_use]
    pub fn per_s(&mut self, now_ms: u64) -> Option<f64> {
        self.close_window(now_ms);
        self.per_s
    }

    fn close_window(&mut self, now_ms: u64) {
        let length_ms = now_ms.saturating_sub(self.window_start_ms);
        if length_ms < WINDOW_MS {
            return;
        }
        let last_per_s = f64::from(self.left) * 1_000.0 / length_ms as f64;
        let before_per_s = self.per_s.unwrap_or(last_per_s);
        self.per_s = Some(NEW_WEIGHT * last_per_s + (1.0 - NEW_WEIGHT) * before_per_s);
        self.window_start_ms = now_ms;
        self.left = 0;
    }
}

//! Forecast of a task's waiting time, from the view and the queue's drain rate.

use crate::{
    placement::PlacementQuery,
    view::{UpstreamRow, View},
};

/// Length of a measurement window of [`DrainRate`], in milliseconds.
const RATE_WINDOW_MS: u64 = 250;

/// Weight of the latest window in the smoothed rate.
const LATEST_WINDOW_WEIGHT: f64 = 0.4;

/// Capacity of the fleet for one kind of task. Building it reads every row, so
/// the entry builds it every few milliseconds and not for every request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Free slots, as far as known.
    pub free_slots: u32,
    /// This entry's part of the tasks that are queued at upstreams beyond their
    /// slots.
    pub queued_at_upstreams: u32,
    /// Tasks per second that this entry can expect to start while no slot is
    /// free.
    pub starts_per_s: f64,
}

impl Forecast {
    /// Builds the forecast from the view.
    ///
    /// `drain_per_s` is the recent rate at which tasks left this entry's queue
    /// while it was not empty, `None` if there is none. The rate is then that of
    /// all slots, divided by the `entries` that share them.
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
        forecast.queued_at_upstreams = forecast.queued_at_upstreams.div_ceil(entries);
        forecast.starts_per_s = drain_per_s.unwrap_or(forecast.starts_per_s / f64::from(entries));
        forecast
    }

    fn add(&mut self, row: &UpstreamRow, query: &PlacementQuery<'_>) {
        let free_slots = row.free_slots();
        self.free_slots += free_slots.max(0) as u32;
        self.queued_at_upstreams += (-free_slots).max(0) as u32;
        self.starts_per_s += row.starts_per_s(query.run_ms as f32 * 1_000.0);
    }

    /// Returns the expected wait of the last of `tasks` new tasks that queue
    /// behind `ahead` others, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, ahead: u32, tasks: u32) -> u64 {
        let needed = ahead.saturating_add(tasks);
        match needed.saturating_sub(self.free_slots) {
            0 => 0,
            waiting => self.drain_ms(waiting.saturating_add(self.queued_at_upstreams)),
        }
    }

    /// Returns the time to start that many waiting tasks, in milliseconds.
    #[must_use]
    pub fn drain_ms(&self, tasks: u32) -> u64 {
        (f64::from(tasks) * 1_000.0 / self.starts_per_s.max(0.001)).ceil() as u64
    }
}

/// Rate at which tasks leave the waiting queue.
///
/// While tasks wait, it shows the share of the fleet that this entry obtains in
/// competition with other entries. The view does not contain that share.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    window_start_ms: u64,
    departures: u32,
    per_s: Option<f64>,
}

impl DrainRate {
    /// Counts tasks that were sent from the queue to an upstream while others
    /// waited.
    pub fn record(&mut self, tasks: u32, now_ms: u64) {
        self.close_window(now_ms);
        self.departures += tasks;
    }

    /// Discards the rate, because an empty queue has none.
    pub fn clear(&mut self, now_ms: u64) {
        *self = Self { window_start_ms: now_ms, departures: 0, per_s: None };
    }

    /// Returns tasks per second; `None` before the first full window.
    #[must_use]
    pub fn per_s(&mut self, now_ms: u64) -> Option<f64> {
        self.close_window(now_ms);
        self.per_s
    }

    fn close_window(&mut self, now_ms: u64) {
        let length_ms = now_ms.saturating_sub(self.window_start_ms);
        if length_ms < RATE_WINDOW_MS {
            return;
        }
        let last_per_s = f64::from(self.departures) * 1_000.0 / length_ms as f64;
        let before_per_s = self.per_s.unwrap_or(last_per_s);
        self.per_s =
            Some(LATEST_WINDOW_WEIGHT * last_per_s + (1.0 - LATEST_WINDOW_WEIGHT) * before_per_s);
        self.window_start_ms = now_ms;
        self.departures = 0;
    }
}

//! How late the periodic checks of a process are, which shows how long it waits for a processor.

/// Time in which a remembered delay loses half of its weight, in milliseconds: a machine that was
/// busy stays so for about as long.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Delay from which a check is late, in milliseconds. Timers and other tasks of the process cause
/// smaller ones.
const LATE_MS: u64 = 20;

/// Delays of periodic checks.
#[derive(Clone, Copy, Debug)]
pub struct Lag {
    interval_ms: u64,
    last_check_ms: u64,
    /// By this time, everything that had reached the process before was handled.
    handled_until_ms: u64,
    /// The last check was late.
    was_late: bool,
    delay_ms: f64,
}

impl Lag {
    /// Starts with the first check now. The next ones are due at this interval.
    #[must_use]
    pub fn new(interval_ms: u64, now_ms: u64) -> Self {
        Self {
            interval_ms,
            last_check_ms: now_ms,
            handled_until_ms: now_ms,
            was_late: false,
            delay_ms: 0.0,
        }
    }

    /// Records a check. Returns its delay in milliseconds.
    pub fn record(&mut self, now_ms: u64) -> u64 {
        let delay_ms = now_ms.saturating_sub(self.last_check_ms + self.interval_ms);
        self.delay_ms = self.remembered_ms(now_ms).max(delay_ms as f64);
        // After a late check, nothing shows when the process stopped handling events.
        self.was_late = delay_ms >= LATE_MS;
        self.handled_until_ms = if self.was_late { self.last_check_ms } else { now_ms };
        self.last_check_ms = now_ms;
        delay_ms
    }

    /// Largest delay of late, in milliseconds. Delays count less as they age.
    #[must_use]
    pub fn recent_ms(&self, now_ms: u64) -> u64 {
        self.remembered_ms(now_ms) as u64
    }

    /// How long ago an event may have reached the process that it handles only now, in
    /// milliseconds.
    #[must_use]
    pub fn unhandled_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.handled_until_ms)
    }

    /// How long an event that is handled now may have waited because the process stood still, in
    /// milliseconds; 0 if it did not.
    #[must_use]
    pub fn stalled_ms(&self, now_ms: u64) -> u64 {
        let is_overdue = now_ms >= self.last_check_ms + self.interval_ms + LATE_MS;
        if is_overdue || self.was_late { self.unhandled_ms(now_ms) } else { 0 }
    }

    fn remembered_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.last_check_ms) as f64;
        self.delay_ms * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }
}

/// Shortest stall that [`StallMeter`] tells of, in milliseconds. A peer is taken for lost after a
/// silence of several times as long.
pub const MIN_STALL_MS: u64 = 300;

/// Tells of the times in which a process stood still, by the delays of a periodic check.
///
/// In that time it heard nobody, so that it shows nothing about the silence of others.
#[derive(Clone, Copy, Debug)]
pub struct StallMeter {
    interval_ms: u64,
    last_check_ms: u64,
}

impl StallMeter {
    /// Starts with a check now. The next ones are due at this interval.
    #[must_use]
    pub fn new(interval_ms: u64, now_ms: u64) -> Self {
        Self { interval_ms, last_check_ms: now_ms }
    }

    /// Records a check. Returns how long the process stood still before it, in milliseconds, if
    /// that is [`MIN_STALL_MS`] or more.
    pub fn record(&mut self, now_ms: u64) -> Option<u64> {
        let last_check_ms = std::mem::replace(&mut self.last_check_ms, now_ms);
        let stall_ms = now_ms.saturating_sub(last_check_ms + self.interval_ms);
        Some(stall_ms).filter(|stall_ms| *stall_ms >= MIN_STALL_MS)
    }
}

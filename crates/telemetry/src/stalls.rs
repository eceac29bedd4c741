//! Stalls: times in which the process did not handle events, with what the kernel tells of the
//! cause.

use {
    crate::event,
    parking_lot::Mutex,
    std::{fs, sync::Arc, time::Duration},
    sycamorerail_clock::{Clock, lag::Lag},
    tokio::time::{MissedTickBehavior, interval},
};

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of a check from which it is logged as a stall, in milliseconds.
const STALL_MS: u64 = 100;
/// Interval at which the figures that a stall is compared with are read again, in milliseconds.
const USAGE_INTERVAL_MS: u64 = 1_000;

/// Checks of the runtime's thread. Clones share them.
#[derive(Clone, Debug)]
pub struct StallWatch {
    clock: Clock,
    lag: Arc<Mutex<Lag>>,
}

impl StallWatch {
    /// Starts the checks on the present runtime, which has a single thread.
    pub fn start() -> Self {
        let clock = Clock::start();
        let lag = Lag::new(CHECK_INTERVAL.as_millis() as u64, clock.now_ms());
        let watch = Self { clock, lag: Arc::new(Mutex::new(lag)) };
        tokio::spawn(watch.clone().check_regularly());
        watch
    }

    /// Largest recent delay of the process, in milliseconds.
    #[must_use]
    pub fn recent_ms(&self) -> u64 {
        self.lag.lock().recent_ms(self.clock.now_ms())
    }

    /// How long ago an event may have reached the process that it handles only now, in
    /// milliseconds.
    #[must_use]
    pub fn unhandled_ms(&self) -> u64 {
        self.lag.lock().unhandled_ms(self.clock.now_ms())
    }

    /// How long an event that is handled now may have waited because the process stood still, in
    /// milliseconds; 0 if it did not.
    #[must_use]
    pub fn stalled_ms(&self) -> u64 {
        self.lag.lock().stalled_ms(self.clock.now_ms())
    }

    async fn check_regularly(self) {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut usage = Usage::read(self.clock.now_ms());
        loop {
            checks.tick().await;
            let now_ms = self.clock.now_ms();
            let delay_ms = self.lag.lock().record(now_ms);
            let is_stall = delay_ms >= STALL_MS;
            if is_stall || now_ms >= usage.read_ms + USAGE_INTERVAL_MS {
                let before = std::mem::replace(&mut usage, Usage::read(now_ms));
                if is_stall {
                    log_stall(delay_ms, &before, &usage);
                }
            }
        }
    }
}

fn log_stall(delay_ms: u64, before: &Usage, now: &Usage) {
    metrics::counter!("sycamorerail_stalls_total").increment(1);
    event!(
        Warn,
        "process_stalled",
        delay_ms = delay_ms,
        within_ms = now.read_ms - before.read_ms,
        running_ms = now.running_ms.saturating_sub(before.running_ms),
        waiting_ms = now.waiting_ms.saturating_sub(before.waiting_ms),
        major_faults = now.major_faults.saturating_sub(before.major_faults),
    );
}

/// What the kernel counts for the runtime's thread. Zero where it does not tell.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    read_ms: u64,
    /// Time on a processor.
    running_ms: u64,
    /// Time in which it could run and had no processor.
    waiting_ms: u64,
    /// Pages that were read from a disk.
    major_faults: u64,
}

impl Usage {
    fn read(now_ms: u64) -> Self {
        let schedstat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
        let mut times_ns = schedstat.split_whitespace().map(|time| time.parse().unwrap_or(0));
        let mut next_ms = || times_ns.next().unwrap_or(0) / 1_000_000;
        Self {
            read_ms: now_ms,
            running_ms: next_ms(),
            waiting_ms: next_ms(),
            major_faults: major_faults().unwrap_or(0),
        }
    }
}

/// The tenth field of `stat` after the name, which stands in brackets and may contain spaces.
fn major_faults() -> Option<u64> {
    let stat = fs::read_to_string("/proc/thread-self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    fields.split_whitespace().nth(9)?.parse().ok()
}

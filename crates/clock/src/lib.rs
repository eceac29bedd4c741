//! Clock of the process: a monotonic time that includes VM suspensions, and Unix time for ids.
//!
//! `std::time::Instant` and the runtime's timers stop while the VM is suspended. If leases,
//! silence and deadlines were measured with them, this process would rely on them for seconds
//! after other processes had given them up. Code that makes decisions reads the time from
//! here; timers only trigger the next check.

pub mod lag;

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_boottime_ms: u64,
    start_monotonic_ms: u64,
    /// Duration of suspensions that a test simulates, in milliseconds.
    test_suspension_ms: Option<&'static AtomicU64>,
}

impl Clock {
    /// Returns a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        let (start_boottime_ms, start_monotonic_ms) =
            (read_ms(ClockId::CLOCK_BOOTTIME), read_ms(ClockId::CLOCK_MONOTONIC));
        Self { start_boottime_ms, start_monotonic_ms, test_suspension_ms: None }
    }

    /// Returns a clock for tests that simulate suspensions: it adds `suspension_ms` to its time.
    /// Timers do not see that time, as in a real suspension.
    #[must_use]
    pub fn start_with_test_suspension(suspension_ms: &'static AtomicU64) -> Self {
        Self { test_suspension_ms: Some(suspension_ms), ..Self::start() }
    }

    /// Time since the start in milliseconds, including suspensions. Never decreases, and is
    /// never 0, which callers use for "never".
    #[must_use]
    pub fn now_ms(self) -> u64 {
        1 + self.elapsed_boottime_ms() + self.simulated_suspension_ms()
    }

    /// How long the VM has been suspended since the start, in milliseconds.
    #[must_use]
    pub fn suspended_ms(self) -> u64 {
        // CLOCK_BOOTTIME is read first, so that time between the two reads does not count as a
        // suspension.
        let boottime_ms = self.elapsed_boottime_ms();
        let monotonic_ms =
            read_ms(ClockId::CLOCK_MONOTONIC).saturating_sub(self.start_monotonic_ms);
        boottime_ms.saturating_sub(monotonic_ms) + self.simulated_suspension_ms()
    }

    /// Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn elapsed_boottime_ms(self) -> u64 {
        read_ms(ClockId::CLOCK_BOOTTIME).saturating_sub(self.start_boottime_ms)
    }

    fn simulated_suspension_ms(self) -> u64 {
        self.test_suspension_ms.map_or(0, |suspension_ms| suspension_ms.load(Ordering::Acquire))
    }
}

fn read_ms(clock: ClockId) -> u64 {
    let time = clock_gettime(clock).expect("the kernel has this clock since Linux 2.6.39");
    let ms = time.tv_sec() * 1_000 + time.tv_nsec() / 1_000_000;
    u64::try_from(ms).unwrap_or(0)
}

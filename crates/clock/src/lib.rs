//! The process's clock: time for decisions, which goes on while the VM is suspended, and
//! Unix time for ids.
//!
//! `std::time::Instant` and the runtime's timers stand still while a VM is suspended.
//! Leases, silence and deadlines that went by them would be believed to hold seconds
//! after others have given them up. Whoever decides takes the time from here; timers only
//! say when to look again.

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
    start_ms: u64,
    start_steady_ms: u64,
    /// Time that passed in a suspension that a test has made up, in milliseconds.
    made_up: Option<&'static AtomicU64>,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        let (start_ms, start_steady_ms) =
            (read_ms(ClockId::CLOCK_BOOTTIME), read_ms(ClockId::CLOCK_MONOTONIC));
        Self { start_ms, start_steady_ms, made_up: None }
    }

    /// A clock that leaps by what is added, for tests: timers do not.
    #[must_use]
    pub fn start_with_test_suspension(leaps_ms: &'static AtomicU64) -> Self {
        Self { made_up: Some(leaps_ms), ..Self::start() }
    }

    /// Time in milliseconds; it never goes back. Never 0, which stands for "never".
    #[must_use]
    pub fn now_ms(self) -> u64 {
        1 + self.real_ms() + self.made_up_ms()
    }

    /// For how much of that time the VM was suspended, in milliseconds.
    #[must_use]
    pub fn suspended_ms(self) -> u64 {
        // In this order, so that time between the two is not taken for a suspension.
        let real_ms = self.real_ms();
        let steady_ms = read_ms(ClockId::CLOCK_MONOTONIC).saturating_sub(self.start_steady_ms);
        real_ms.saturating_sub(steady_ms) + self.made_up_ms()
    }

    /// Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn real_ms(self) -> u64 {
        read_ms(ClockId::CLOCK_BOOTTIME).saturating_sub(self.start_ms)
    }

    fn made_up_ms(self) -> u64 {
        self.made_up.map_or(0, |leaps_ms| leaps_ms.load(Ordering::Acquire))
    }
}

fn read_ms(clock: ClockId) -> u64 {
    let time = clock_gettime(clock).expect("the kernel has this clock since Linux 2.6.39");
    let ms = time.tv_sec() * 1_000 + time.tv_nsec() / 1_000_000;
    u64::try_from(ms).unwrap_or(0)
}

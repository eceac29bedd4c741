//! Enforces an organisation's quota at one entry: rate, burst and tasks in flight.
//!
//! The rate limit is a generic cell rate algorithm (GCRA). It keeps the
//! theoretical arrival time: the time by which all admitted starts are paid for
//! at the quota's rate. This time may be ahead of the present by the burst. It
//! fits into one atomic, so that the request path takes no lock; a token bucket
//! needs two values, its tokens and the time of the last refill.
//!
//! A job larger than the burst is admitted when the bucket is full and leaves
//! it in debt. A job larger than this entry's part of the tasks in flight is
//! admitted when no task is in flight here. Such jobs could otherwise never run.
//! Over all entries, the bound on tasks in flight may therefore be exceeded by
//! one job per entry, for as long as that job runs; the rate still holds over
//! time.

use {
    super::Refusal,
    std::sync::atomic::{AtomicU32, AtomicU64, Ordering},
    sycamorerail_wire::answer::Reason,
};

const NS_PER_MS: u64 = 1_000_000;
const NS_PER_S: f64 = 1e9;

/// Longest interval between two starts, in nanoseconds: one day.
const MAX_INTERVAL_NS: f64 = 86_400e9;

/// Interval that stands for an organisation with a rate of zero.
const ZERO_RATE_INTERVAL_NS: u64 = 0;

/// Retry delay if too many tasks are in flight, in milliseconds: about the run
/// time of a short task.
const IN_FLIGHT_RETRY_AFTER_MS: u64 = 100;

/// Part of an organisation's quota that one entry may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPart {
    /// Task starts per second.
    pub starts_per_s: f64,
    /// Starts that may exceed the rate at one moment.
    pub burst: f64,
    /// Maximum number of tasks that are admitted and not yet answered.
    pub max_in_flight: u32,
}

/// Limits of one organisation at one entry, shared by all threads.
#[derive(Debug)]
pub struct OrganisationLimit {
    interval_ns: AtomicU64,
    burst_ns: AtomicU64,
    max_in_flight: AtomicU32,
    /// Time by which all admitted starts are paid for, in monotonic nanoseconds.
    theoretical_arrival_ns: AtomicU64,
    in_flight: AtomicU32,
    requested: AtomicU32,
}

impl OrganisationLimit {
    /// Creates a limit with a full bucket and no tasks in flight.
    #[must_use]
    pub fn new(part: QuotaPart) -> Self {
        let limit = Self {
            interval_ns: AtomicU64::new(0),
            burst_ns: AtomicU64::new(0),
            max_in_flight: AtomicU32::new(0),
            theoretical_arrival_ns: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            requested: AtomicU32::new(0),
        };
        limit.set(part);
        limit
    }

    /// Changes the quota part. Admitted tasks keep counting.
    pub fn set(&self, part: QuotaPart) {
        let interval_ns = if part.starts_per_s > 0.0 {
            (NS_PER_S / part.starts_per_s).clamp(1.0, MAX_INTERVAL_NS)
        } else {
            ZERO_RATE_INTERVAL_NS as f64
        };
        let burst_ns = part.burst.max(1.0) * interval_ns;
        self.interval_ns.store(interval_ns as u64, Ordering::Release);
        self.burst_ns.store(burst_ns as u64, Ordering::Release);
        self.max_in_flight.store(part.max_in_flight, Ordering::Release);
    }

    /// Returns the number of tasks that are admitted and not released.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts requested tasks, whether they are admitted or not.
    pub fn count_requested(&self, tasks: u16) {
        self.requested.fetch_add(tasks.into(), Ordering::Relaxed);
    }

    /// Returns the tasks requested since the last call, for [`crate::share`].
    #[must_use]
    pub fn take_requested(&self) -> u32 {
        self.requested.swap(0, Ordering::Relaxed)
    }

    /// Checks whether that many tasks would be admitted now, without counting them.
    ///
    /// # Errors
    ///
    /// `QuotaUsedUp`, with the time until the quota permits them.
    pub fn check(&self, tasks: u16, now_ms: u64) -> Result<(), Refusal> {
        if !self.fits_in_flight(self.in_flight(), tasks) {
            return Err(refusal(IN_FLIGHT_RETRY_AFTER_MS));
        }
        let theoretical_arrival_ns = self.theoretical_arrival_ns.load(Ordering::Acquire);
        match self.wait_ns(theoretical_arrival_ns, tasks, now_ms) {
            0 => Ok(()),
            wait_ns => Err(refusal(wait_ns.div_ceil(NS_PER_MS))),
        }
    }

    /// Admits all of the tasks or none.
    ///
    /// # Errors
    ///
    /// `QuotaUsedUp`, with the time until the quota permits them.
    pub fn take(&self, tasks: u16, now_ms: u64) -> Result<(), Refusal> {
        if !self.take_in_flight(tasks) {
            return Err(refusal(IN_FLIGHT_RETRY_AFTER_MS));
        }
        self.take_starts(tasks, now_ms).inspect_err(|_| self.release(u32::from(tasks)))
    }

    /// Removes tasks that ended or were not run from the tasks in flight.
    pub fn release(&self, tasks: u32) {
        let decrease = |in_flight: u32| Some(in_flight.saturating_sub(tasks));
        _ = self.in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, decrease);
    }

    fn take_in_flight(&self, tasks: u16) -> bool {
        let increase = |in_flight: u32| {
            self.fits_in_flight(in_flight, tasks).then(|| in_flight.saturating_add(tasks.into()))
        };
        self.in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, increase).is_ok()
    }

    fn take_starts(&self, tasks: u16, now_ms: u64) -> Result<(), Refusal> {
        let cost_ns = u64::from(tasks) * self.interval_ns.load(Ordering::Acquire);
        let mut wait_ns = 0;
        let advance = |theoretical_arrival_ns: u64| {
            wait_ns = self.wait_ns(theoretical_arrival_ns, tasks, now_ms);
            (wait_ns == 0)
                .then(|| theoretical_arrival_ns.max(now_ms * NS_PER_MS).saturating_add(cost_ns))
        };
        let taken =
            self.theoretical_arrival_ns.fetch_update(Ordering::AcqRel, Ordering::Acquire, advance);
        taken.map(drop).map_err(|_| refusal(wait_ns.div_ceil(NS_PER_MS)))
    }

    fn fits_in_flight(&self, in_flight: u32, tasks: u16) -> bool {
        let max_in_flight = self.max_in_flight.load(Ordering::Acquire);
        let has_room = in_flight.saturating_add(tasks.into()) <= max_in_flight;
        has_room || (in_flight == 0 && max_in_flight > 0)
    }

    /// Returns the time until the rate permits that many tasks, or until the
    /// bucket is full if they exceed the burst; 0 if it permits them now.
    fn wait_ns(&self, theoretical_arrival_ns: u64, tasks: u16, now_ms: u64) -> u64 {
        let burst_ns = self.burst_ns.load(Ordering::Acquire);
        let interval_ns = self.interval_ns.load(Ordering::Acquire);
        if interval_ns == ZERO_RATE_INTERVAL_NS {
            return u64::MAX;
        }
        let cost_ns = u64::from(tasks) * interval_ns;
        let now_ns = now_ms * NS_PER_MS;
        let paid_ns = theoretical_arrival_ns.max(now_ns) + cost_ns.min(burst_ns);
        paid_ns.saturating_sub(now_ns + burst_ns)
    }
}

fn refusal(retry_after_ms: u64) -> Refusal {
    Refusal::retry_later(Reason::QuotaUsedUp, retry_after_ms)
}

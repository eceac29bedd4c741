//! An organisation's quota at one entry: rate, burst and tasks in flight.
//!
//! The rate is kept as a virtual time, the generic cell rate algorithm: the
//! time at which all starts taken so far would be paid for at the quota's rate.
//! It may run ahead of the present by the burst. One atomic holds it, so that
//! the request's path takes no lock; a token bucket would need two, its tokens
//! and when they were counted.
//!
//! A job larger than the burst is taken when the bucket is full and leaves it
//! in debt; one larger than this entry's part of the tasks in flight is taken
//! when none is in flight here. Otherwise it could never run. So over all
//! entries the bound may be passed by one job an entry, never for longer than
//! that job runs; the rate still holds over time.

use {
    super::Refusal,
    std::sync::atomic::{AtomicU32, AtomicU64, Ordering},
    sycamorerail_wire::answer::Reason,
};

const NS_A_MS: u64 = 1_000_000;
const NS_A_S: f64 = 1e9;

/// Longest time one start may cost, in nanoseconds: a day.
const MAX_INTERVAL_NS: f64 = 86_400e9;

/// Interval of an organisation that may start nothing.
const CLOSED_NS: u64 = 0;

/// When to come back if too many tasks are in flight, in milliseconds: about
/// the run time of a short task.
const IN_FLIGHT_RETRY_AFTER_MS: u64 = 100;

/// Part of an organisation's quota that one entry may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPart {
    /// Task starts a second.
    pub starts_per_s: f64,
    /// Starts at once beyond the rate.
    pub burst: f64,
    /// Most tasks accepted and not answered.
    pub max_in_flight: u32,
}

/// Limits of one organisation at one entry, shared by all threads.
#[derive(Debug)]
pub struct OrganisationLimit {
    interval_ns: AtomicU64,
    burst_ns: AtomicU64,
    max_in_flight: AtomicU32,
    /// When all starts taken are paid for, in monotonic nanoseconds.
    paid_at_ns: AtomicU64,
    in_flight: AtomicU32,
    asked: AtomicU32,
}

impl OrganisationLimit {
    /// A full bucket, with nothing in flight.
    #[must_use]
    pub fn new(part: QuotaPart) -> Self {
        let limit = Self {
            interval_ns: AtomicU64::new(0),
            burst_ns: AtomicU64::new(0),
            max_in_flight: AtomicU32::new(0),
            paid_at_ns: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            asked: AtomicU32::new(0),
        };
        limit.set(part);
        limit
    }

    /// Changes the part; what was taken stays taken.
    pub fn set(&self, part: QuotaPart) {
        let interval_ns = if part.starts_per_s > 0.0 {
            (NS_A_S / part.starts_per_s).clamp(1.0, MAX_INTERVAL_NS)
        } else {
            CLOSED_NS as f64
        };
        let burst_ns = part.burst.max(1.0) * interval_ns;
        self.interval_ns.store(interval_ns as u64, Ordering::Release);
        self.burst_ns.store(burst_ns as u64, Ordering::Release);
        self.max_in_flight.store(part.max_in_flight, Ordering::Release);
    }

    /// Tasks taken and not released.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts tasks asked for, whether they are taken or not.
    pub fn count_requested(&self, tasks: u16) {
        self.asked.fetch_add(tasks.into(), Ordering::Relaxed);
    }

    /// Tasks asked for since the last call, for [`crate::share`].
    #[must_use]
    pub fn take_requested(&self) -> u32 {
        self.asked.swap(0, Ordering::Relaxed)
    }

    /// Whether that many tasks would be taken now.
    ///
    /// # Errors
    ///
    /// `QuotaUsedUp`, until there are tokens.
    pub fn check(&self, tasks: u16, now_ms: u64) -> Result<(), Refusal> {
        if !self.has_place(self.in_flight(), tasks) {
            return Err(refusal(IN_FLIGHT_RETRY_AFTER_MS));
        }
        let paid_at_ns = self.paid_at_ns.load(Ordering::Acquire);
        match self.missing_ns(paid_at_ns, tasks, now_ms) {
            0 => Ok(()),
            missing_ns => Err(refusal(missing_ns.div_ceil(NS_A_MS))),
        }
    }

    /// Takes that many tasks, or none.
    ///
    /// # Errors
    ///
    /// `QuotaUsedUp`, until there are tokens.
    pub fn take(&self, tasks: u16, now_ms: u64) -> Result<(), Refusal> {
        if !self.take_places(tasks) {
            return Err(refusal(IN_FLIGHT_RETRY_AFTER_MS));
        }
        self.take_starts(tasks, now_ms).inspect_err(|_| self.release(u32::from(tasks)))
    }

    /// Gives back the places of tasks that ended or were not run.
    pub fn release(&self, tasks: u32) {
        let less = |in_flight: u32| Some(in_flight.saturating_sub(tasks));
        _ = self.in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, less);
    }

    fn take_places(&self, tasks: u16) -> bool {
        let more = |in_flight: u32| {
            self.has_place(in_flight, tasks).then(|| in_flight.saturating_add(tasks.into()))
        };
        self.in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).is_ok()
    }

    fn take_starts(&self, tasks: u16, now_ms: u64) -> Result<(), Refusal> {
        let cost_ns = u64::from(tasks) * self.interval_ns.load(Ordering::Acquire);
        let mut missing_ns = 0;
        let later = |paid_at_ns: u64| {
            missing_ns = self.missing_ns(paid_at_ns, tasks, now_ms);
            (missing_ns == 0).then(|| paid_at_ns.max(now_ms * NS_A_MS).saturating_add(cost_ns))
        };
        let taken = self.paid_at_ns.fetch_update(Ordering::AcqRel, Ordering::Acquire, later);
        taken.map(drop).map_err(|_| refusal(missing_ns.div_ceil(NS_A_MS)))
    }

    fn has_place(&self, in_flight: u32, tasks: u16) -> bool {
        let max_in_flight = self.max_in_flight.load(Ordering::Acquire);
        let has_room = in_flight.saturating_add(tasks.into()) <= max_in_flight;
        has_room || (in_flight == 0 && max_in_flight > 0)
    }

    /// Time until there are tokens for that many tasks, or until the bucket is
    /// full if they are more than it holds; 0 if there are.
    fn missing_ns(&self, paid_at_ns: u64, tasks: u16, now_ms: u64) -> u64 {
        let burst_ns = self.burst_ns.load(Ordering::Acquire);
        let interval_ns = self.interval_ns.load(Ordering::Acquire);
        if interval_ns == CLOSED_NS {
            return u64::MAX;
        }
        let cost_ns = u64::from(tasks) * interval_ns;
        let now_ns = now_ms * NS_A_MS;
        let paid_ns = paid_at_ns.max(now_ns) + cost_ns.min(burst_ns);
        paid_ns.saturating_sub(now_ns + burst_ns)
    }
}

fn refusal(retry_after_ms: u64) -> Refusal {
    Refusal::retry_later(Reason::QuotaUsedUp, retry_after_ms)
}

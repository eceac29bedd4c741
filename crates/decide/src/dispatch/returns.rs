//! Schedule of returns: when callers whose jobs were refused for load are to come back.
//!
//! Callers that are refused together would return together and be refused again. Each refused job
//! therefore gets the time at which capacity for it is expected, behind the earlier promises to
//! jobs of its priority or higher. A job that returns at its time has waited for it, so that it is
//! preferred to new ones.

use {
    std::collections::{BTreeMap, HashMap},
    sycamorerail_wire::runs::{CallerJobId, PRIORITY_CLASSES},
};

/// Range of the delay, in milliseconds. Callers don't wait longer than the upper bound, and rates
/// tell little about the time after it.
pub const RETURN_RANGE_MS: (u64, u64) = (100, 5_000);
/// Time after the promised one within which a job counts as returning, in milliseconds: callers'
/// timers and connections are late by less.
pub const RETURN_WINDOW_MS: u64 = 2_000;
/// Most promises that are kept: those of an entry that refuses 600 jobs a second for the time that
/// a promise lasts.
pub const MAX_PROMISES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Promise {
    due_ms: f64,
    /// Number of the promise, by which the oldest one is found.
    number: u64,
}

/// Promises to one priority class.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// Time until which capacity is promised to jobs of this priority or higher.
    promised_until_ms: f64,
    /// Rate at which the entry last gained capacity for the class, in thousandths of a core.
    rate_milli: f64,
}

impl Class {
    /// Adjusts what is promised to another rate: promises made while the rate was low would
    /// otherwise hold up callers long after it has recovered.
    fn adjust_rate(&mut self, rate_milli: f64, now_ms: f64) {
        let ahead_ms = self.promised_until_ms - now_ms;
        if ahead_ms > 0.0 && self.rate_milli > 0.0 && rate_milli > self.rate_milli {
            self.promised_until_ms = now_ms + ahead_ms * self.rate_milli / rate_milli;
        }
        self.rate_milli = rate_milli;
    }
}

/// How often each thing happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnCounts {
    /// Promises that were made.
    pub promised: u64,
    /// Jobs that returned at their time.
    pub redeemed: u64,
    /// Jobs that returned before their time.
    pub early: u64,
}

/// Promises of an entry to refused jobs.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    promises: HashMap<CallerJobId, Promise>,
    by_age: BTreeMap<u64, CallerJobId>,
    classes: [Class; PRIORITY_CLASSES],
    counts: ReturnCounts,
}

impl ReturnSchedule {
    /// Returns the delay after which a refused job should return, in milliseconds.
    ///
    /// A job that already has a promise keeps it: otherwise callers that return too early would
    /// move those behind them further back. If no capacity is left within the longest delay, the
    /// job gets this delay without a promise, as promises beyond the capacity could not be kept.
    pub fn promise(
        &mut self,
        id: CallerJobId,
        priority: u8,
        work_milli_ms: u64,
        rate_milli: u64,
        now_ms: u64,
    ) -> u32 {
        let now = now_ms as f64;
        let (least_ms, most_ms) = (RETURN_RANGE_MS.0 as f64, RETURN_RANGE_MS.1 as f64);
        let kept = self.promises.get(&id).filter(|promise| promise.due_ms > now);
        if let Some(promise) = kept {
            return whole_ms((promise.due_ms - now).max(least_ms));
        }
        let class = usize::from(priority).min(PRIORITY_CLASSES - 1);
        self.classes[class].adjust_rate(rate_milli as f64, now);
        let due_ms = self.classes[class].promised_until_ms.max(now + least_ms);
        if rate_milli == 0 || due_ms > now + most_ms {
            return whole_ms(most_ms);
        }
        self.reserve(class, work_milli_ms as f64, rate_milli as f64, due_ms);
        self.insert(id, due_ms);
        whole_ms(due_ms - now)
    }

    /// Moves later promises to jobs of this class, and to less urgent ones, behind this work.
    fn reserve(&mut self, class: usize, work_milli_ms: f64, rate_milli: f64, due_ms: f64) {
        let mut until_ms = due_ms + work_milli_ms / rate_milli;
        self.classes[class] = Class { promised_until_ms: until_ms, rate_milli };
        for less_urgent in &mut self.classes[class + 1..] {
            let own_rate_milli = less_urgent.rate_milli;
            let rate_milli = if own_rate_milli > 0.0 { own_rate_milli } else { rate_milli };
            let from_ms = less_urgent.promised_until_ms.max(due_ms);
            until_ms = until_ms.max(from_ms + work_milli_ms / rate_milli);
            less_urgent.promised_until_ms = until_ms;
        }
    }

    fn insert(&mut self, id: CallerJobId, due_ms: f64) {
        self.counts.promised += 1;
        self.forget(id);
        if self.promises.len() >= MAX_PROMISES
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.promises.remove(&oldest);
        }
        let number = self.counts.promised;
        self.promises.insert(id, Promise { due_ms, number });
        self.by_age.insert(number, id);
    }

    /// Returns whether a job returns at its time, and removes its promise. The promise to a job
    /// that returns earlier is kept.
    pub fn redeem(&mut self, id: CallerJobId, now_ms: u64) -> bool {
        let Some(&Promise { due_ms, .. }) = self.promises.get(&id) else { return false };
        if (now_ms as f64) < due_ms {
            self.counts.early += 1;
            return false;
        }
        self.forget(id);
        let is_at_its_time = now_ms as f64 <= due_ms + RETURN_WINDOW_MS as f64;
        self.counts.redeemed += u64::from(is_at_its_time);
        is_at_its_time
    }

    /// Removes the promise to a job, for example because it was accepted before its time.
    pub fn forget(&mut self, id: CallerJobId) {
        if let Some(promise) = self.promises.remove(&id) {
            self.by_age.remove(&promise.number);
        }
    }

    /// Number of promises that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether no promise is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    /// How often each thing happened since the start.
    #[must_use]
    pub fn counts(&self) -> ReturnCounts {
        self.counts
    }
}

/// Rounds up, so that a caller never returns before its time.
fn whole_ms(delay_ms: f64) -> u32 {
    delay_ms.ceil() as u32
}

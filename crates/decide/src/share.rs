//! Sharing an organisation's quota over entries without a message a request.
//!
//! Each entry may use a part of each quota. It tells the others what is asked
//! of it ([`UsageReport`]); from the reports heard every entry computes its own
//! part:
//!
//! - entries not heard lately keep an equal part, for that is what an entry
//!   that hears nothing gives itself;
//! - the rest is shared among those heard: a fifth equally, so that a caller
//!   who moves to another entry finds some room there, and four fifths by
//!   demand.
//!
//! Entries that have heard the same reports thus use the whole quota and no
//! more; so do the two sides of a cut network, each by itself. While reports
//! are on their way, entries compute from different ones, and the sum may be
//! passed or missed until the next window; an entry counts its own demand as
//! it last reported it, for a newer one would widen that gap.
//!
//! A report names what has changed since the one that the other entry holds.
//! A large change is told at the end of its window, others are gathered for
//! [`REFRESH_INTERVAL_MS`]: every entry tells every other one, so that a report of all
//! organisations a second would be most of the control traffic.
//!
//! Ruled out: a message a request to an owner of the quota (a round trip, and
//! an owner to be lost), leases of tokens from the platform (writes grow with
//! entries times organisations), equal parts alone (the balancer keeps long
//! connections, so demand is uneven).

use {
    crate::admission::limit::QuotaPart,
    std::collections::{HashMap, HashSet},
    sycamorerail_wire::{
        ids::{Incarnation, OrganisationKey},
        message::UsageReport,
    },
};

/// A report older than this counts as not heard, in milliseconds: two that
/// come every [`REFRESH_INTERVAL_MS`] may be lost.
pub const REPORT_VALID_MS: u64 = 12_000;

/// How long small changes are gathered, and how often an entry is told that
/// there is no change, in milliseconds.
pub const REFRESH_INTERVAL_MS: u64 = 5_000;

/// A demand changed by this factor is told at the end of the window.
const LARGE_CHANGE: f64 = 1.5;
/// Smaller changes than this are never large, in task starts a second.
const SMALL_PER_S: f64 = 10.0;

/// Part of what is shared by demand that goes to each entry alike.
const EQUAL_PART: f64 = 0.2;

/// Weight of the last window in the smoothed demand.
const NEW_WEIGHT: f64 = 0.5;

/// Quota of one organisation, over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Task starts a second.
    pub starts_per_s: u32,
    /// Starts at once beyond the rate.
    pub burst: u32,
    /// Most tasks accepted and not answered.
    pub max_in_flight: u32,
}

impl Quota {
    /// The part of one of `entries`. Of the tasks in flight each gets one, so
    /// that a small quota closes no entry, and its fraction of the others: the
    /// sum stays within the quota, or is one an entry if that is more.
    #[must_use]
    pub fn part(&self, fraction: f64, entries: usize) -> QuotaPart {
        let shared_in_flight = self.max_in_flight.saturating_sub(entries as u32);
        let in_flight = 1 + (f64::from(shared_in_flight) * fraction) as u32;
        QuotaPart {
            starts_per_s: f64::from(self.starts_per_s) * fraction,
            burst: f64::from(self.burst) * fraction,
            max_in_flight: if self.max_in_flight == 0 { 0 } else { in_flight },
        }
    }
}

#[derive(Clone, Debug)]
struct Heard {
    at_ms: u64,
    /// Number of the last report.
    number: u64,
    starts_per_s: HashMap<OrganisationKey, u32>,
}

/// What was told of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    starts_per_s: u32,
    /// Number of the report that first told it.
    number: u64,
}

/// What one entry knows of the demand at all of them.
#[derive(Clone, Debug)]
pub struct QuotaShares {
    own: Incarnation,
    /// Smoothed demand of this entry, a second.
    demand_per_s: HashMap<OrganisationKey, f64>,
    told: HashMap<OrganisationKey, Told>,
    /// Number of the latest report.
    number: u64,
    refreshed_at_ms: u64,
    heard: HashMap<Incarnation, Heard>,
}

impl QuotaShares {
    /// Nothing is heard yet.
    #[must_use]
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            demand_per_s: HashMap::new(),
            told: HashMap::new(),
            number: 1,
            refreshed_at_ms: 0,
            heard: HashMap::new(),
        }
    }

    /// Ends a window of this entry: `asked` are the task starts that callers
    /// asked for in it, the refused ones included. Returns the number of the
    /// report that is to be told now: see [`Self::report`].
    pub fn close_window(
        &mut self,
        asked: impl IntoIterator<Item = (OrganisationKey, u32)>,
        window_ms: u32,
        now_ms: u64,
    ) -> u64 {
        self.smooth(asked, window_ms);
        let refresh = now_ms >= self.refreshed_at_ms + REFRESH_INTERVAL_MS;
        if refresh {
            self.refreshed_at_ms = now_ms;
        }
        let next = self.number + 1;
        for (organisation, starts_per_s) in self.to_tell(refresh) {
            self.told.insert(organisation, Told { starts_per_s, number: next });
            self.number = next;
        }
        self.receive_report(&self.report(0), now_ms);
        self.number
    }

    fn smooth(&mut self, asked: impl IntoIterator<Item = (OrganisationKey, u32)>, window_ms: u32) {
        self.demand_per_s.values_mut().for_each(|demand| *demand *= 1.0 - NEW_WEIGHT);
        let window_s = f64::from(window_ms.max(1)) / 1_000.0;
        for (organisation, asked) in asked {
            let demand = self.demand_per_s.entry(organisation).or_default();
            *demand += NEW_WEIGHT * f64::from(asked) / window_s;
        }
        self.demand_per_s.retain(|_, demand| demand.round() >= 1.0);
    }

    /// Demands that differ from what was told by much, or at all.
    fn to_tell(&self, at_all: bool) -> Vec<(OrganisationKey, u32)> {
        let organisations: HashSet<_> = self.demand_per_s.keys().chain(self.told.keys()).collect();
        let changed = organisations.into_iter().filter_map(|organisation| {
            let demand = self.demand_per_s.get(organisation).copied().unwrap_or(0.0);
            let told = self.told.get(organisation).map_or(0, |told| told.starts_per_s);
            let now = demand.round() as u32;
            let differs = if at_all { now != told } else { is_large(f64::from(told), demand) };
            differs.then_some((*organisation, now))
        });
        changed.collect()
    }

    /// What to tell an entry that holds the report of this number; 0 for one
    /// that holds none.
    #[must_use]
    pub fn report(&self, since: u64) -> UsageReport {
        // Only a report that gives the changes has to tell of an end.
        let matters = |told: &Told| told.number > since && (since > 0 || told.starts_per_s > 0);
        let told = self.told.iter().filter(|(_, told)| matters(told));
        let starts_per_s = told.map(|(key, told)| (*key, told.starts_per_s)).collect();
        UsageReport { entry: self.own, number: self.number, since, starts_per_s }
    }

    /// Takes an entry's report; `false` if it gives the changes to one that is
    /// not held, so that all must be told.
    pub fn receive_report(&mut self, report: &UsageReport, now_ms: u64) -> bool {
        self.heard.retain(|_, it| it.at_ms + REPORT_VALID_MS >= now_ms);
        let mut starts_per_s = match self.heard.remove(&report.entry) {
            _ if report.since == 0 => HashMap::new(),
            Some(held) if held.number == report.since => held.starts_per_s,
            _ => return false,
        };
        starts_per_s.extend(report.starts_per_s.iter().copied());
        let heard = Heard { at_ms: now_ms, number: report.number, starts_per_s };
        self.heard.insert(report.entry, heard);
        true
    }

    /// Part of the organisation's quota that this entry may use, of 1.
    ///
    /// `entries` are all entries known, this one included.
    #[must_use]
    pub fn fraction(
        &self,
        organisation: OrganisationKey,
        entries: &[Incarnation],
        now_ms: u64,
    ) -> f64 {
        let equal = 1.0 / entries.len().max(1) as f64;
        let fresh = entries.iter().filter_map(|entry| self.fresh(*entry, now_ms));
        let demands = fresh.map(|it| it.demand_per_s(organisation));
        let (count, total_per_s) =
            demands.fold((0.0, 0.0), |(count, total), it| (count + 1.0, total + it));
        let Some(own) = self.fresh(self.own, now_ms).filter(|_| total_per_s > 0.0) else {
            return equal;
        };
        let own_per_s = own.demand_per_s(organisation);
        let by_demand = count * own_per_s / total_per_s;
        equal * (EQUAL_PART + (1.0 - EQUAL_PART) * by_demand)
    }

    fn fresh(&self, entry: Incarnation, now_ms: u64) -> Option<&Heard> {
        self.heard.get(&entry).filter(|it| it.at_ms + REPORT_VALID_MS >= now_ms)
    }
}

impl Heard {
    fn demand_per_s(&self, organisation: OrganisationKey) -> f64 {
        self.starts_per_s.get(&organisation).copied().map_or(0.0, f64::from)
    }
}

/// Whether a demand has changed so much that it is told at once.
fn is_large(told_per_s: f64, now_per_s: f64) -> bool {
    let (less, more) = (told_per_s.min(now_per_s), told_per_s.max(now_per_s));
    more - less >= SMALL_PER_S && more >= less * LARGE_CHANGE
}

//! Divides an organisation's quota among entries without a message per request.
//!
//! Each entry may use a part of each quota. It reports its demand to the other
//! entries ([`UsageReport`]), and computes its own part from the reports that it
//! has received:
//!
//! - entries without a recent report keep an equal part, which is also what an
//!   entry that receives no reports assigns to itself;
//! - the rest is divided among the entries with a recent report: a fifth equally,
//!   so that a caller who moves to another entry finds some room there, and four
//!   fifths by demand.
//!
//! Entries that hold the same reports together use the whole quota and no more, and
//! so do the two sides of a partitioned network, each by itself. While reports are
//! in flight, entries compute from different ones, and the sum may be above or below
//! the quota until the next window. An entry counts its own demand as last reported,
//! because a newer value would widen that gap.
//!
//! A report contains the changes since the report that the other entry holds. A
//! large change is reported at the end of its window, other changes are collected
//! for [`REFRESH_INTERVAL_MS`]: every entry reports to every other one, and full
//! reports every second would be most of the control traffic.
//!
//! The alternatives have drawbacks. A message per request to an owner of the quota
//! costs a round trip, and the owner can fail. With leases of tokens from the
//! platform, writes grow with entries times organisations. Equal parts alone do not
//! fit the demand, which is uneven because the load balancer keeps long connections.

use {
    crate::admission::limit::QuotaPart,
    std::collections::{HashMap, HashSet},
    sycamorerail_wire::{
        ids::{Incarnation, OrganisationKey},
        message::UsageReport,
    },
};

/// How long a report counts, in milliseconds. Two reports in a row, sent every
/// [`REFRESH_INTERVAL_MS`], may be lost.
pub const REPORT_VALID_MS: u64 = 12_000;

/// How long small changes are collected, and how often an entry is sent a report
/// without changes, in milliseconds.
pub const REFRESH_INTERVAL_MS: u64 = 5_000;

/// A demand that changed by this factor is reported at the end of the window.
const LARGE_CHANGE_FACTOR: f64 = 1.5;
/// Smallest change that can count as large, in task starts per second.
const MIN_LARGE_CHANGE_PER_S: f64 = 10.0;

/// Fraction of the quota of reporting entries that is divided equally.
const EQUAL_FRACTION: f64 = 0.2;

/// Weight of the latest window in the smoothed demand.
const LATEST_WINDOW_WEIGHT: f64 = 0.5;

/// Quota of one organisation, over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Task starts per second.
    pub starts_per_s: u32,
    /// Starts that may exceed the rate at one moment.
    pub burst: u32,
    /// Maximum number of tasks that are admitted and not yet answered.
    pub max_in_flight: u32,
}

impl Quota {
    /// Returns the part of one of `entries`. Of the tasks in flight, each entry gets
    /// one, so that a small quota closes no entry, plus its fraction of the
    /// remainder. The sum stays within the quota, or is one per entry if that is
    /// more.
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

/// Last report received from an entry.
#[derive(Clone, Debug)]
struct ReceivedReport {
    at_ms: u64,
    /// Sequence number of the report.
    number: u64,
    starts_per_s: HashMap<OrganisationKey, u32>,
}

/// Last reported demand of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedDemand {
    starts_per_s: u32,
    /// Number of the report that first contained it.
    number: u64,
}

/// Demand at all entries, as one entry knows it.
#[derive(Clone, Debug)]
pub struct QuotaShares {
    own: Incarnation,
    /// Smoothed demand at this entry, in task starts per second.
    demand_per_s: HashMap<OrganisationKey, f64>,
    reported: HashMap<OrganisationKey, ReportedDemand>,
    /// Number of the latest report.
    number: u64,
    refreshed_at_ms: u64,
    received: HashMap<Incarnation, ReceivedReport>,
}

impl QuotaShares {
    /// Creates the state of an entry that has received no reports.
    #[must_use]
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            demand_per_s: HashMap::new(),
            reported: HashMap::new(),
            number: 1,
            refreshed_at_ms: 0,
            received: HashMap::new(),
        }
    }

    /// Ends a window of this entry. `requested` contains the task starts that callers
    /// requested in it, including the refused ones. Returns the number of the report
    /// to send now, see [`Self::report`].
    pub fn close_window(
        &mut self,
        requested: impl IntoIterator<Item = (OrganisationKey, u32)>,
        window_ms: u32,
        now_ms: u64,
    ) -> u64 {
        self.smooth(requested, window_ms);
        let refresh = now_ms >= self.refreshed_at_ms + REFRESH_INTERVAL_MS;
        if refresh {
            self.refreshed_at_ms = now_ms;
        }
        let next = self.number + 1;
        for (organisation, starts_per_s) in self.changes_to_report(refresh) {
            self.reported.insert(organisation, ReportedDemand { starts_per_s, number: next });
            self.number = next;
        }
        self.receive_report(&self.report(0), now_ms);
        self.number
    }

    fn smooth(
        &mut self,
        requested: impl IntoIterator<Item = (OrganisationKey, u32)>,
        window_ms: u32,
    ) {
        self.demand_per_s.values_mut().for_each(|demand| *demand *= 1.0 - LATEST_WINDOW_WEIGHT);
        let window_s = f64::from(window_ms.max(1)) / 1_000.0;
        for (organisation, requested) in requested {
            let demand = self.demand_per_s.entry(organisation).or_default();
            *demand += LATEST_WINDOW_WEIGHT * f64::from(requested) / window_s;
        }
        self.demand_per_s.retain(|_, demand| demand.round() >= 1.0);
    }

    /// Returns the demands to report: those that changed much, or with `any_change`
    /// all that changed.
    fn changes_to_report(&self, any_change: bool) -> Vec<(OrganisationKey, u32)> {
        let organisations: HashSet<_> =
            self.demand_per_s.keys().chain(self.reported.keys()).collect();
        let changed = organisations.into_iter().filter_map(|organisation| {
            let demand = self.demand_per_s.get(organisation).copied().unwrap_or(0.0);
            let reported =
                self.reported.get(organisation).map_or(0, |reported| reported.starts_per_s);
            let now = demand.round() as u32;
            let differs =
                if any_change { now != reported } else { is_large(f64::from(reported), demand) };
            differs.then_some((*organisation, now))
        });
        changed.collect()
    }

    /// Returns the report for an entry that holds the report with number `since`; 0
    /// for an entry that holds none.
    #[must_use]
    pub fn report(&self, since: u64) -> UsageReport {
        // A full report leaves out organisations without demand; a report of changes
        // must contain a demand that ended.
        let is_included = |reported: &ReportedDemand| {
            reported.number > since && (since > 0 || reported.starts_per_s > 0)
        };
        let reported = self.reported.iter().filter(|(_, reported)| is_included(reported));
        let starts_per_s = reported.map(|(key, reported)| (*key, reported.starts_per_s)).collect();
        UsageReport { entry: self.own, number: self.number, since, starts_per_s }
    }

    /// Applies an entry's report. Returns `false` if the report contains changes to
    /// one that is not held, so that a full report is needed.
    pub fn receive_report(&mut self, report: &UsageReport, now_ms: u64) -> bool {
        self.received.retain(|_, it| it.at_ms + REPORT_VALID_MS >= now_ms);
        let mut starts_per_s = match self.received.remove(&report.entry) {
            _ if report.since == 0 => HashMap::new(),
            Some(held) if held.number == report.since => held.starts_per_s,
            _ => return false,
        };
        starts_per_s.extend(report.starts_per_s.iter().copied());
        let received = ReceivedReport { at_ms: now_ms, number: report.number, starts_per_s };
        self.received.insert(report.entry, received);
        true
    }

    /// Returns the fraction of the organisation's quota that this entry may use,
    /// from 0 to 1.
    ///
    /// `entries` are all known entries, including this one.
    #[must_use]
    pub fn fraction(
        &self,
        organisation: OrganisationKey,
        entries: &[Incarnation],
        now_ms: u64,
    ) -> f64 {
        let equal = 1.0 / entries.len().max(1) as f64;
        let fresh = entries.iter().filter_map(|entry| self.recent_report(*entry, now_ms));
        let demands = fresh.map(|it| it.demand_per_s(organisation));
        let (count, total_per_s) =
            demands.fold((0.0, 0.0), |(count, total), it| (count + 1.0, total + it));
        let Some(own) = self.recent_report(self.own, now_ms).filter(|_| total_per_s > 0.0) else {
            return equal;
        };
        let own_per_s = own.demand_per_s(organisation);
        let by_demand = count * own_per_s / total_per_s;
        equal * (EQUAL_FRACTION + (1.0 - EQUAL_FRACTION) * by_demand)
    }

    fn recent_report(&self, entry: Incarnation, now_ms: u64) -> Option<&ReceivedReport> {
        self.received.get(&entry).filter(|it| it.at_ms + REPORT_VALID_MS >= now_ms)
    }
}

impl ReceivedReport {
    fn demand_per_s(&self, organisation: OrganisationKey) -> f64 {
        self.starts_per_s.get(&organisation).copied().map_or(0.0, f64::from)
    }
}

/// Returns whether a demand has changed so much that it is reported at the end of
/// the window.
fn is_large(reported_per_s: f64, now_per_s: f64) -> bool {
    let (less, more) = (reported_per_s.min(now_per_s), reported_per_s.max(now_per_s));
    more - less >= MIN_LARGE_CHANGE_PER_S && more >= less * LARGE_CHANGE_FACTOR
}

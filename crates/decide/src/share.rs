//! Sharing an organisation's quota over entries without a message a request.
//!
//! Each entry may use a part of each quota. Once a window (about a second) it
//! tells the others what was asked of it ([`UsageReport`]); from the reports
//! heard every entry computes its own part:
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
//! Ruled out: a message a request to an owner of the quota (a round trip, and
//! an owner to be lost), leases of tokens from the platform (writes grow with
//! entries times organisations), equal parts alone (the balancer keeps long
//! connections, so demand is uneven).

use {
    crate::admission::limit::QuotaPart,
    std::collections::HashMap,
    sycamorerail_wire::{
        ids::{Incarnation, OrganisationKey},
        message::UsageReport,
    },
};

/// A report older than this counts as not heard, in milliseconds.
pub const FRESH_MS: u64 = 5_000;

/// Part of what is shared by demand that goes to each entry alike.
const EQUAL_PART: f64 = 0.2;

/// Weight of the last window in the demand that is reported.
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
    demand_per_s: HashMap<OrganisationKey, f64>,
}

/// What one entry knows of the demand at all of them.
#[derive(Clone, Debug)]
pub struct Shares {
    own: Incarnation,
    /// Smoothed demand of this entry, a second.
    demand_per_s: HashMap<OrganisationKey, f64>,
    heard: HashMap<Incarnation, Heard>,
}

impl Shares {
    /// Nothing is heard yet.
    #[must_use]
    pub fn new(own: Incarnation) -> Self {
        Self { own, demand_per_s: HashMap::new(), heard: HashMap::new() }
    }

    /// Ends a window of this entry: `asked` are the task starts that callers
    /// asked for in it, the refused ones included. Returns the report for the
    /// other entries.
    pub fn close_window(
        &mut self,
        asked: impl IntoIterator<Item = (OrganisationKey, u32)>,
        window_ms: u32,
        now_ms: u64,
    ) -> UsageReport {
        self.demand_per_s.values_mut().for_each(|demand| *demand *= 1.0 - NEW_WEIGHT);
        let window_s = f64::from(window_ms.max(1)) / 1_000.0;
        for (organisation, asked) in asked {
            let demand = self.demand_per_s.entry(organisation).or_default();
            *demand += NEW_WEIGHT * f64::from(asked) / window_s;
        }
        self.demand_per_s.retain(|_, demand| (*demand * window_s).round() >= 1.0);
        let in_window = |(organisation, demand): (&OrganisationKey, &f64)| {
            (*organisation, (demand * window_s).round() as u32)
        };
        let demand = self.demand_per_s.iter().map(in_window).collect();
        let report = UsageReport { entry: self.own, window_ms, demand };
        self.hear(&report, now_ms);
        report
    }

    /// Takes an entry's report.
    pub fn hear(&mut self, report: &UsageReport, now_ms: u64) {
        let window_s = f64::from(report.window_ms.max(1)) / 1_000.0;
        let per_s = |&(organisation, demand): &(OrganisationKey, u32)| {
            (organisation, f64::from(demand) / window_s)
        };
        let demand_per_s = report.demand.iter().map(per_s).collect();
        self.heard.insert(report.entry, Heard { at_ms: now_ms, demand_per_s });
        self.heard.retain(|_, it| it.at_ms + FRESH_MS >= now_ms);
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
        let demands = fresh.map(|it| it.demand_per_s.get(&organisation).copied().unwrap_or(0.0));
        let (count, total_per_s) =
            demands.fold((0.0, 0.0), |(count, total), it| (count + 1.0, total + it));
        let Some(own) = self.fresh(self.own, now_ms).filter(|_| total_per_s > 0.0) else {
            return equal;
        };
        let own_per_s = own.demand_per_s.get(&organisation).copied().unwrap_or(0.0);
        let by_demand = count * own_per_s / total_per_s;
        equal * (EQUAL_PART + (1.0 - EQUAL_PART) * by_demand)
    }

    fn fresh(&self, entry: Incarnation, now_ms: u64) -> Option<&Heard> {
        self.heard.get(&entry).filter(|it| it.at_ms + FRESH_MS >= now_ms)
    }
}

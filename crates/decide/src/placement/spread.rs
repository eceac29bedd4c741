//! Spread of a job's tasks over failure domains: data centres and racks.
//!
//! `Even` bounds the tasks of a job that the loss of one domain affects. Of the
//! tasks placed so far, including the next one, a data centre receives at most one
//! and a half times its fair share, and a rack at most one and a half times its
//! fair share of the data centre's bound. The fair share is an equal part, or the
//! domain's part of the upstreams if that is larger; equal parts alone would fill a
//! small data centre and leave a large one idle.
//!
//! The bounds of all domains together always exceed the job, so that some domain is
//! always below its bound. If the domains below their bound are full, the task
//! waits for one of them. If none of them accepts work at all (for example because
//! they are leaving or ejected), the bound is ignored, because a job that never
//! runs is worse than one that is spread badly.
//!
//! The first task of a job and a single request have no siblings, and no bound.

use {
    super::{PlacementQuery, Spread},
    crate::view::{DataCentreKey, RackKey, UpstreamRow, View},
    std::cell::OnceCell,
};

/// A domain's bound, in halves of its fair share.
const BOUND_HALVES: u64 = 3;

/// The fair share itself, in halves.
const FAIR_HALVES: u64 = 2;

/// Rank of a row by the spread rule; a lower one is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpreadRank {
    /// The best rank.
    Preferred,
    /// Chosen if no preferred row is better.
    Allowed,
    /// Its data centre or rack has reached its bound; chosen if no row below the
    /// bound accepts work.
    OverShare,
}

/// The spread rule for one task.
#[derive(Debug)]
pub enum SpreadRule<'a> {
    /// All rows have the same rank.
    Any,
    /// This data centre is preferred.
    Local(DataCentreKey),
    /// These data centres are forbidden.
    Avoid(&'a [DataCentreKey]),
    /// Rows in domains below their share of the job are preferred. The domains are
    /// counted when the first row is ranked; while no row has room, none is.
    Shares {
        /// The upstreams.
        view: &'a View,
        /// The task, with its siblings.
        query: &'a PlacementQuery<'a>,
        /// The counts, once they are needed.
        counts: OnceCell<DomainCounts>,
    },
}

impl<'a> SpreadRule<'a> {
    /// Returns the rule for a task.
    #[must_use]
    pub fn new(view: &'a View, query: &'a PlacementQuery<'a>) -> Self {
        match query.spread {
            Spread::Local => Self::Local(query.local),
            Spread::Avoid => Self::Avoid(query.avoid),
            Spread::Even if query.siblings.is_empty() => Self::Any,
            Spread::Even => Self::Shares { view, query, counts: OnceCell::new() },
        }
    }

    /// Returns whether the task must not go to this row.
    #[must_use]
    pub fn forbids(&self, row: &UpstreamRow) -> bool {
        matches!(self, Self::Avoid(avoid) if avoid.contains(&row.data_centre))
    }

    /// Returns the rank of a row that is not forbidden.
    #[must_use]
    pub fn rank(&self, row: &UpstreamRow) -> SpreadRank {
        match self {
            Self::Any | Self::Avoid(_) => SpreadRank::Preferred,
            Self::Local(local) if row.data_centre == *local => SpreadRank::Preferred,
            Self::Local(_) => SpreadRank::Allowed,
            Self::Shares { view, query, counts } => {
                counts.get_or_init(|| DomainCounts::count(view, query)).rank(row.rack)
            }
        }
    }
}

/// A failure domain's fair share of some tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FairShare {
    /// Tasks to divide among the domains.
    pub tasks: u32,
    /// Number of domains.
    pub domains: u32,
    /// Upstreams in this domain.
    pub domain_rows: u32,
    /// Upstreams in all domains.
    pub rows: u32,
}

impl FairShare {
    /// Returns the maximum number of tasks for this domain: one and a half fair
    /// shares, rounded up. The fair share is the larger one of an equal part and the
    /// domain's part of the upstreams.
    #[must_use]
    pub fn bound(&self) -> u32 {
        let tasks = BOUND_HALVES * u64::from(self.tasks);
        let equal = tasks.div_ceil(2 * u64::from(self.domains));
        let by_rows = (tasks * u64::from(self.domain_rows)).div_ceil(2 * u64::from(self.rows));
        equal.max(by_rows) as u32
    }

    /// Returns whether `placed` is at least that many halves of the fair share. It
    /// runs for each rack at each choice, so it multiplies instead of dividing.
    fn is_reached(&self, placed: u32, halves: u64) -> bool {
        let placed = 2 * u64::from(placed);
        let tasks = halves * u64::from(self.tasks);
        placed * u64::from(self.domains) >= tasks
            && placed * u64::from(self.rows) >= tasks * u64::from(self.domain_rows)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DataCentre {
    rows: u32,
    racks: u32,
    placed: u32,
    bound: u32,
    is_at_fair_share: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rack {
    data_centre: DataCentreKey,
    rows: u32,
    placed: u32,
}

/// Rows and siblings by data centre and rack, indexed by their keys.
#[derive(Debug)]
pub struct DomainCounts {
    data_centres: Vec<DataCentre>,
    racks: Vec<Rack>,
    rows: u32,
    placed: u32,
}

impl DomainCounts {
    fn count(view: &View, query: &PlacementQuery<'_>) -> Self {
        let placed = query.siblings.iter().map(|&(_, tasks)| u32::from(tasks)).sum();
        let racks = view.rows.iter().map(|row| usize::from(row.rack.0) + 1).max().unwrap_or(0);
        let racks = vec![Rack::default(); racks];
        let mut counts = Self { data_centres: vec![], racks, rows: 0, placed };
        for row in view.rows.iter().filter(|row| row.can_serve(query.kind, query.size_bytes)) {
            let rack = &mut counts.racks[usize::from(row.rack.0)];
            rack.data_centre = row.data_centre;
            rack.rows += 1;
        }
        counts.add_siblings(query.siblings);
        counts.sum_up();
        counts
    }

    /// Adds the siblings to their racks. Siblings in a rack that no longer exists
    /// count for the job, but for no domain.
    fn add_siblings(&mut self, siblings: &[(RackKey, u16)]) {
        for &(rack, tasks) in siblings {
            if let Some(rack) = self.racks.get_mut(usize::from(rack.0)) {
                rack.placed += u32::from(tasks);
            }
        }
    }

    fn sum_up(&mut self) {
        for rack in self.racks.iter().filter(|rack| rack.rows > 0) {
            let data_centre =
                resized_to_index(&mut self.data_centres, usize::from(rack.data_centre.0));
            data_centre.racks += 1;
            data_centre.rows += rack.rows;
            data_centre.placed += rack.placed;
            self.rows += rack.rows;
        }
        let domains = self.data_centres.iter().filter(|it| it.rows > 0).count() as u32;
        let (tasks, rows) = (self.placed + 1, self.rows);
        for it in self.data_centres.iter_mut().filter(|it| it.rows > 0) {
            let share = FairShare { tasks, domains, domain_rows: it.rows, rows };
            it.bound = share.bound();
            it.is_at_fair_share = share.is_reached(it.placed, FAIR_HALVES);
        }
    }

    fn rank(&self, rack: RackKey) -> SpreadRank {
        let Some(rack) = self.racks.get(usize::from(rack.0)).filter(|rack| rack.rows > 0) else {
            return SpreadRank::Allowed;
        };
        let data_centre = &self.data_centres[usize::from(rack.data_centre.0)];
        let (domains, rows) = (data_centre.racks, data_centre.rows);
        let share = |tasks| FairShare { tasks, domains, domain_rows: rack.rows, rows };
        if data_centre.placed >= data_centre.bound
            || share(data_centre.bound).is_reached(rack.placed, BOUND_HALVES)
        {
            SpreadRank::OverShare
        } else if data_centre.is_at_fair_share
            || share(data_centre.placed + 1).is_reached(rack.placed, FAIR_HALVES)
        {
            SpreadRank::Allowed
        } else {
            SpreadRank::Preferred
        }
    }
}

fn resized_to_index<T: Clone + Default>(items: &mut Vec<T>, index: usize) -> &mut T {
    if items.len() <= index {
        items.resize(index + 1, T::default());
    }
    &mut items[index]
}

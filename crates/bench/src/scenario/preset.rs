//! Sizes and kinds of the two deployments.

use super::Deployment;

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Names of the data centres.
    pub data_centres: &'static [&'static str],
    /// Entries.
    pub entries: u16,
    /// Upstreams, each with its agent.
    pub upstreams: u16,
    /// Slots of an upstream.
    pub slots: u16,
    /// Upstreams in a rack.
    pub rack_upstreams: u16,
    /// Memory of a worker.
    pub worker_bytes: u64,
    /// Organisations.
    pub organisations: u16,
}

const GIB: u64 = 1 << 30;

impl Size {
    /// Sizes of today.
    #[must_use]
    pub fn of(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Alpenfunk => Self {
                data_centres: &["regensburg", "nuernberg", "augsburg", "passau"],
                entries: 4,
                upstreams: 10,
                slots: 8,
                rack_upstreams: 3,
                worker_bytes: 130 * GIB,
                organisations: 3,
            },
            Deployment::Rangmancha => Self {
                data_centres: &["salt-lake", "new-town", "howrah"],
                entries: 3,
                upstreams: 10,
                slots: 8,
                rack_upstreams: 3,
                worker_bytes: 30 * GIB,
                organisations: 2,
            },
        }
    }

    /// Slots of all upstreams.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        u32::from(self.upstreams) * u32::from(self.slots)
    }

    /// Data centre of the nth process of a role.
    #[must_use]
    pub fn data_centre(&self, index: u16) -> &'static str {
        self.data_centres[usize::from(index) % self.data_centres.len()]
    }

    /// Rack of the nth upstream.
    #[must_use]
    pub fn rack(&self, index: u16) -> String {
        let in_data_centre = index / self.data_centres.len() as u16;
        format!("{}-rack-{}", self.data_centre(index), in_data_centre / self.rack_upstreams + 1)
    }
}

/// A request kind of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Share of submissions.
    pub share: f64,
    /// What is given up first, by its name in templates.
    pub priority: &'static str,
    /// How tasks are spread, by its name in templates.
    pub spread: &'static str,
    /// Slower requests than this share are hedged, if repeatable.
    pub hedge_percentile: Option<u8>,
}

impl Kind {
    /// Kinds of a deployment.
    #[must_use]
    pub fn of(deployment: Deployment) -> Vec<Self> {
        let (priority, hedge_percentile) = match deployment {
            Deployment::Alpenfunk => ("time", Some(95)),
            Deployment::Rangmancha => ("waste", None),
        };
        let kind = |name, repeatable, share| Self {
            name,
            repeatable,
            share,
            priority,
            spread: "even",
            hedge_percentile,
        };
        match deployment {
            Deployment::Alpenfunk => vec![
                kind("reach-check", true, 0.5),
                kind("brief-render", false, 0.3),
                kind("post-confirmation", false, 0.2),
            ],
            Deployment::Rangmancha => vec![
                kind("publish-call", false, 0.2),
                kind("match-headshots", true, 0.5),
                kind("confirm-slot", false, 0.3),
            ],
        }
    }
}

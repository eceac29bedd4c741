//! Placement policies, which choose the upstream for a task. Each has its own file.
//!
//! All policies follow the same rules: they never choose an upstream that is
//! leaving, evacuated, ejected, already tried, too small, does not serve the kind, or
//! has [`PlacementQuery::max_queued`] tasks waiting; and they apply the rule of
//! [`spread`]. They differ in the choice among the remaining upstreams.

mod candidate;
mod late_binding;
mod least_wait;
mod random;
pub mod spread;
mod two_choices;
mod walk;

use {
    crate::view::{DataCentreKey, KindKey, RackKey, UpstreamKey, View},
    rand::RngCore,
    std::fmt,
};

pub use {
    late_binding::late_binding, least_wait::least_wait, random::random, two_choices::two_choices,
};

/// How the tasks of a kind are spread across data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Spread {
    /// Evenly over all data centres and racks.
    Even,
    /// In the entry's own data centre while that has room.
    Local,
    /// Never in the data centres of [`PlacementQuery::avoid`].
    Avoid,
}

/// Requirements of the task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Kind of the task.
    pub kind: KindKey,
    /// Declared size in bytes, corrected by observation.
    pub size_bytes: u64,
    /// Expected run time in milliseconds, corrected by observation.
    pub run_ms: u32,
    /// Placement across data centres.
    pub spread: Spread,
    /// The entry's own data centre.
    pub local: DataCentreKey,
    /// Data centres that must not be used, for [`Spread::Avoid`].
    pub avoid: &'a [DataCentreKey],
    /// Upstreams that already refused or failed this task.
    pub tried: &'a [UpstreamKey],
    /// Tasks of the same job already placed, by rack.
    pub siblings: &'a [(RackKey, u16)],
    /// Maximum number of tasks that may wait at an upstream beyond its slots; 0 to
    /// wait at the entry until a slot is free (late binding).
    pub max_queued: u16,
}

/// Decision of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the task to this upstream.
    Place(UpstreamKey),
    /// No upstream has room now. Query again when a slot becomes free, or after
    /// this time at the latest.
    Wait {
        /// Longest delay, in milliseconds.
        retry_after_ms: u32,
    },
    /// Upstreams are known, but none of them could ever run the task.
    Never,
}

/// Function of a policy. The last argument is `now_ms`.
pub type ChooseFn =
    dyn Fn(&View, &PlacementQuery<'_>, &mut dyn RngCore, u64) -> Choice + Send + Sync;

/// A named placement policy.
pub struct Policy {
    /// Name in settings, reports and counters.
    pub name: &'static str,
    /// Chooses the upstream for one task.
    pub choose: Box<ChooseFn>,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Policy({})", self.name)
    }
}

impl Policy {
    /// Names that [`Policy::by_name`] accepts.
    pub const NAMES: [&'static str; 4] = ["random", "two_choices", "least_wait", "late_binding"];

    /// Returns the policy with this name; `None` if the name is unknown.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "random" => Some(Self { name: "random", choose: Box::new(random) }),
            "two_choices" => Some(Self { name: "two_choices", choose: Box::new(two_choices) }),
            "least_wait" => Some(Self { name: "least_wait", choose: Box::new(least_wait) }),
            "late_binding" => Some(Self { name: "late_binding", choose: Box::new(late_binding) }),
            _ => None,
        }
    }
}

//! Choosing the upstream for a task. One file a policy.
//!
//! All policies keep the same rules: never an upstream that is leaving,
//! ejected, already tried, too small, of another kind or beyond
//! [`PlacementQuery::max_queued`]; and the spread of [`spread`]. They differ in the choice
//! among the rest.

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
    /// Over all data centres and racks alike.
    Even,
    /// In the entry's own data centre while it has room.
    Local,
    /// Not in these data centres' places; see [`PlacementQuery::avoid`].
    Avoid,
}

/// What a task needs.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Its kind.
    pub kind: KindKey,
    /// Declared size in bytes, corrected by observation.
    pub size_bytes: u64,
    /// Expected run time in milliseconds, corrected by observation.
    pub run_ms: u32,
    /// Placement across data centres.
    pub spread: Spread,
    /// The entry's own data centre.
    pub local: DataCentreKey,
    /// Data centres not to be used, for [`Spread::Avoid`].
    pub avoid: &'a [DataCentreKey],
    /// Upstreams that already refused or failed this task.
    pub tried: &'a [UpstreamKey],
    /// Tasks of the same job already placed, by rack.
    pub siblings: &'a [(RackKey, u16)],
    /// Most that may wait at an upstream beyond its slots, 0 to wait at the
    /// entry until a slot is free (late binding).
    pub max_queued: u16,
}

/// What a policy decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it there.
    Place(UpstreamKey),
    /// None has room now; ask again when one frees, at the latest in this time.
    Wait {
        /// In milliseconds.
        retry_after_ms: u32,
    },
    /// Upstreams are known, and none of them could ever hold it.
    Never,
}

/// The function of a policy.
pub type ChooseFn =
    dyn Fn(&View, &PlacementQuery<'_>, &mut dyn RngCore, u64) -> Choice + Send + Sync;

/// A way of choosing, by name.
pub struct Policy {
    /// The name in settings, reports and counters.
    pub name: &'static str,
    /// Chooses for one task; the last argument is `now_ms`.
    pub choose: Box<ChooseFn>,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Policy({})", self.name)
    }
}

impl Policy {
    /// The names that [`Policy::by_name`] knows.
    pub const NAMES: [&'static str; 4] = ["random", "two_choices", "least_wait", "late_binding"];

    /// Finds a policy by its name in templates.
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

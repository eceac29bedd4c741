//! From an accepted task to its placement at an upstream.

mod admit;
mod choose;
mod kinds;
mod observe;
mod pace;
mod place;
mod probe;
mod queue;
mod quota;

pub(crate) use observe::{declare, judged, ran};

pub use {
    admit::{admit, would_admit},
    kinds::{KindNumbers, numbers as kind_numbers},
    observe::{EjectionState, Observed, answered, observe_until, upstreams_changed},
    pace::pace,
    queue::{Dispatch, enqueue, enqueue_after, evacuations_changed, pump, pump_until},
    quota::{Quotas, close_usage_window, hear_usage, usage_since},
};

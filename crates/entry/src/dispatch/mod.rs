//! From an accepted task to its placement at an upstream.

mod admit;
mod choose;
mod lanes;
mod observe;
mod place;
mod queue;

pub use {
    admit::{admit, allow_retry},
    observe::{answered, ended, hedge_after_ms},
    queue::{Dispatch, enqueue, pump, pump_until},
};

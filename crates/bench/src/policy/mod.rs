//! Discrete-event model of the decisions of entries and agents: the real `decide::dispatch`
//! and `decide::ledger` between generated jobs and modelled upstreams.
//!
//! It shows how a load is served under a fault, by kind and by second, if only the
//! decisions differ. Messages, orders and renewals have delays; sockets, processes and
//! the store are not modelled. The same settings and seed give the same result.

mod agent;
mod bound;
pub mod clairvoyant;
mod clock;
mod entry;
mod jobs;
pub mod report;
mod settings;
mod tally;
mod upstream;
mod world;

pub use {
    bound::most_in_time,
    jobs::{ModelJob, draw_jobs},
    settings::{
        Burst, Fault, FaultKind, KindSettings, LinkSettings, ModelSettings, Spread, UpstreamGroup,
    },
    tally::{Counts, End, Outcome},
    world::play,
};

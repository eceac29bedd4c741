//! The decisions of entries and agents in virtual time: the real `decide::dispatch`
//! and `decide::ledger` between generated jobs and modelled upstreams.
//!
//! It answers one question: what becomes of a load under a fault, by kind and by
//! second, when only the decisions differ. Messages, orders and renewals take their
//! time and reports age; nothing of sockets, processes or the store is modelled. The
//! same settings and seed give the same result.

mod agent;
mod bound;
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

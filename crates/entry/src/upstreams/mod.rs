//! Upstreams and the agents beside them: sessions, load, placements.

mod accept;
mod agent;
mod link;
mod probe;
mod registry;
mod revoke;
mod send;
mod snapshot;

pub use {
    accept::accept_until,
    agent::Agent,
    link::Link,
    probe::{ask_load, probe_until},
    registry::Registry,
    revoke::revoke,
    send::send,
    snapshot::Snapshot,
};

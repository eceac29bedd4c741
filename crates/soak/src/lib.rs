//! Tests of failures and long randomised runs over the built processes.
//!
//! A [`cluster::Cluster`] starts the binaries of the workspace on loopback,
//! under generated keys, tokens and settings. Callers keep a record of all that
//! they are told, which is held against the starts counted by the upstreams'
//! stand-ins.

pub mod balancer;
pub mod binaries;
pub mod caller;
pub mod cluster;
pub mod faults;
pub mod http;
pub mod ledger;
pub mod links;
pub mod load;
pub mod operator;
pub mod options;
pub mod plan;
pub mod process;
pub mod publishing;
pub mod random_callers;
pub mod report;
pub mod soak;
pub mod standins;
pub mod tcp_relay;
pub mod testing;
pub mod wait;
pub mod watcher;

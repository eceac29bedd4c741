//! `sycamorerail-agent`: runs beside an upstream, holds the start gate, calls
//! the upstream, and keeps what became of each task for a while.

pub mod agent;
pub mod exit;
pub mod options;

mod announced;
mod announcement;
mod call;
mod core;
mod counters;
mod entries;
mod evacuation;
mod gauges;
mod http;
pub mod leased;
mod pause;
mod serve;
mod session;
mod status;
mod tasks;
mod upstream;

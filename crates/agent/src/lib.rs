//! `sycamorerail-agent` runs beside an upstream. It decides through the start gate which
//! tasks may start, calls the upstream, and keeps the result of each task for a while.

pub mod agent;
pub mod exit;
pub mod options;

mod announced_upstream;
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

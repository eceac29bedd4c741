//! An entry: serves callers and operators, and is the home of the jobs it
//! accepts.

pub mod admin;
pub mod callers;
pub mod cluster;
pub mod counters;
pub mod dispatch;
pub mod drain;
pub mod entry;
pub mod error;
pub mod evacuation;
pub mod health;
pub mod jobs;
pub mod names;
pub mod organisations;
pub mod peers;
pub mod runs;
pub mod seams;
pub mod shared;
pub mod upstreams;

//! Decision logic without side effects: it performs no input or output, and
//! receives time and randomness as arguments. Every function that depends on the
//! current time takes `now_ms`, the process's monotonic time in milliseconds.

pub mod ack_tracker;
pub mod admission;
pub mod claims;
pub mod contradiction;
pub mod copies;
pub mod decaying_sum;
pub mod dispatch;
pub mod ejection;
pub mod estimate;
pub mod fence;
pub mod gate;
pub mod hedge;
pub mod job;
pub mod ledger;
pub mod links;
pub mod placement;
pub mod planned_stop;
pub mod queue;
pub mod receipts;
pub mod rendezvous;
pub mod retry;
pub mod share;
pub mod view;
pub mod voters;

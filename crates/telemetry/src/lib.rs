//! Logs, metrics and invariants, the same in every binary.

pub mod invariant;
mod log_queue;
pub mod logs;
pub mod metrics_page;

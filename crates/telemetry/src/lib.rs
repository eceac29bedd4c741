//! Logs, metrics and invariants, the same in every binary.

pub mod invariant;
pub mod logs;
pub mod metrics_page;

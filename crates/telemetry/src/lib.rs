//! Logs, metrics, stalls and invariant checks, shared by all binaries.

pub mod build;
pub mod invariant;
mod log_queue;
pub mod logs;
pub mod metrics_page;
pub mod stalls;

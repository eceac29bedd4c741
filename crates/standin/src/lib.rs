//! Stand-ins for the platform and for upstreams, for tests and the bench.
//!
//! Both run as processes of their own, or inside a test on a free port.

pub mod exit;
pub mod faults;
pub mod options;
pub mod platform;
mod rate;
pub mod run;
mod server;
pub mod upstream;

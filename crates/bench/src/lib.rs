//! Load and experiments over the real processes: a scenario in YAML, a
//! directory of settings, open-loop load with a fault script, the ideal
//! baseline, and reports.
//!
//! The bench starts no processes; `scripts/cluster.sh` does.

pub mod arrivals;
pub mod fit;
pub mod ideal;
pub mod run_time;
pub mod scenario;

//! Load and experiments over the real processes: a scenario in YAML, a
//! directory of settings, open-loop load with a fault script, the ideal
//! baseline, and reports.
//!
//! The bench starts no processes; `scripts/cluster.sh` does.

pub mod arrivals;
pub mod balancer;
pub mod client;
pub mod cluster;
pub mod commands;
pub mod drive;
pub mod fault_script;
pub mod fit;
pub mod ideal;
pub mod layout;
pub mod options;
pub mod policy;
pub mod pool;
pub mod report;
pub mod results;
pub mod run;
pub mod run_time;
pub mod sample;
pub mod scenario;
pub mod scrape;
pub mod slopes;
pub mod starts;
pub mod usage;
pub mod verdict;
pub mod waste;

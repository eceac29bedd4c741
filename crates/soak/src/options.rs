//! The command line.

use {argh::FromArgs, std::path::PathBuf};

/// Runs entries, agents and stand-ins as processes under random load and
/// faults, and checks what callers were told against what upstreams started.
/// Exits with 1 when a promise was broken, with 2 when the run itself failed.
#[derive(Clone, Debug, FromArgs)]
pub struct Options {
    /// seed of load and faults; default 1
    #[argh(option, default = "1")]
    pub seed: u64,
    /// seconds of load and faults; default 60
    #[argh(option, default = "60")]
    pub seconds: u64,
    /// entries; default 3
    #[argh(option, default = "3")]
    pub entries: u16,
    /// upstreams, each with its agent; default 4
    #[argh(option, default = "4")]
    pub upstreams: u16,
    /// callers; default 24
    #[argh(option, default = "24")]
    pub callers: u16,
    /// faults at a time; default 2
    #[argh(option, default = "2")]
    pub faults: u16,
    /// directory of the binaries; default: beside this one
    #[argh(option)]
    pub bin_dir: Option<PathBuf>,
    /// file for the report as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// keep settings and logs of the processes
    #[argh(switch)]
    pub keep: bool,
}

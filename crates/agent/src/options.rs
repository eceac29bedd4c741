//! Command-line options of `sycamorerail-agent`.

use {argh::FromArgs, std::path::PathBuf};

/// Runs beside one upstream: takes tasks from the entries, starts each at most
/// once, and keeps its result for a while.
#[derive(FromArgs, Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// file with the agent's settings, in YAML
    #[argh(option, arg_name = "file")]
    pub settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Parses the command line. Exits the process if it is invalid or asks for help.
#[must_use]
pub fn from_command_line() -> Options {
    argh::from_env()
}

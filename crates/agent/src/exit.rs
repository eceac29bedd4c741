//! Exit codes of `sycamorerail-agent`.

use std::process::ExitCode;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// A planned stop that interrupted no work, or a successful check of the settings.
    Stopped = 0,
    /// The process could not start.
    Failed = 1,
    /// The settings are invalid.
    BadSettings = 2,
    /// A planned stop that exceeded `drain_ms`, so that work was interrupted.
    CutWork = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

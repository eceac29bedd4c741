//! Exit codes of `sycamorerail-agent`.

use std::process::ExitCode;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// A planned stop that cut off nothing, or settings without a fault.
    Stopped = 0,
    /// It could not start.
    Failed = 1,
    /// The settings are wrong.
    BadSettings = 2,
    /// A planned stop that outlasted `drain_ms`: work was cut off.
    CutWork = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

//! Exit codes of the stand-ins.

use std::process::ExitCode;

/// How a stand-in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Stopped as planned.
    Done,
    /// The settings were refused.
    Settings,
    /// The address could not be listened on, or the server failed.
    Serve,
}

impl Exit {
    /// Prints the error as one plain line and gives the exit code to end with.
    #[must_use]
    pub fn report(self, error: &dyn std::fmt::Display) -> Self {
        let line = error.to_string().replace('\n', " ");
        eprintln!("{line}");
        self
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::SUCCESS,
            Exit::Settings => Self::from(2),
            Exit::Serve => Self::from(3),
        }
    }
}

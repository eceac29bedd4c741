//! One child process, and the signals that tests send it.

use {
    eyre::WrapErr,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs::{File, OpenOptions},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
    },
};

/// What was done to a process that has to do with its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing: it should be running.
    Nothing,
    /// To stop as planned.
    Stop,
    /// Killed.
    Kill,
}

/// A child process.
#[derive(Debug)]
pub struct ChildProcess {
    /// Its name in the cluster.
    pub name: String,
    /// What it was told of its end.
    pub told: Told,
    /// Whether it is stopped by SIGSTOP.
    pub frozen: bool,
    child: Child,
}

impl ChildProcess {
    /// Starts a binary in a directory; its output goes to the end of `log`.
    ///
    /// # Errors
    ///
    /// When the binary cannot be run or the log cannot be written.
    pub fn spawn(
        name: &str,
        binary: &Path,
        directory: &Path,
        settings: &str,
        log: &Path,
    ) -> eyre::Result<Self> {
        let output = append(log)?;
        let errors = output.try_clone()?;
        let child = Command::new(binary)
            .args(["--settings", settings])
            .current_dir(directory)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| binary.display().to_string())?;
        Ok(Self { name: name.to_owned(), told: Told::Nothing, frozen: false, child })
    }

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal. The id is still the child's own: it is not reaped
    /// before [`Self::ended`] tells so.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).wrap_err_with(|| format!("{signal} to {}", self.name))
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn ended(&mut self) -> eyre::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn kill(&mut self) -> eyre::Result<ExitStatus> {
        self.child.kill()?;
        Ok(self.child.wait()?)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn append(log: &Path) -> eyre::Result<File> {
    let opened = OpenOptions::new().create(true).append(true).open(log);
    opened.wrap_err_with(|| log.display().to_string())
}

/// The last lines of a log.
#[must_use]
pub fn log_tail(log: &PathBuf, lines: usize) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let all: Vec<&str> = text.lines().collect();
    all[all.len().saturating_sub(lines)..].join("\n")
}

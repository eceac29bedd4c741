//! A laid out directory: its processes, tokens and recorded process ids.

use {
    crate::scenario::Scenario,
    eyre::{WrapErr, eyre},
    serde::{Deserialize, Serialize},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// File of [`Cluster`] in the directory.
pub const CLUSTER_FILE: &str = "cluster.json";
/// Lines of name, binary and settings file, in the order of starting.
pub const PROCESSES_FILE: &str = "processes.txt";
/// Directory of files `NAME.pid`, written by `scripts/cluster.sh`.
pub const PIDS_DIR: &str = "pids";
/// Directory of files named as processes that are to be started again.
pub const START_DIR: &str = "start";

/// What the layout wrote.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cluster {
    /// The scenario it was laid out for.
    pub scenario: Scenario,
    /// All processes.
    pub processes: Vec<Process>,
    /// Token of the operator.
    pub operator_token: String,
    /// Organisations in the order of arrivals' numbers.
    pub organisations: Vec<Organisation>,
}

/// One process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Its name, unique in the cluster.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Settings file, from the directory.
    pub settings: String,
    /// Where it answers HTTP.
    pub http_address: SocketAddr,
}

/// Roles of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Stand-in of the platform.
    Platform,
    /// Entry.
    Entry,
    /// Agent.
    Agent,
    /// Stand-in of an upstream.
    Upstream,
}

impl Role {
    /// All roles, in the order of starting.
    pub const ALL: [Self; 4] = [Self::Platform, Self::Entry, Self::Agent, Self::Upstream];

    /// The name in reports and at the start of processes' names.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Upstream => "upstream",
        }
    }

    /// Its binary.
    #[must_use]
    pub fn binary(self) -> &'static str {
        match self {
            Self::Platform => "sycamorerail-platform-standin",
            Self::Entry => "sycamorerail-entry",
            Self::Agent => "sycamorerail-agent",
            Self::Upstream => "sycamorerail-upstream-standin",
        }
    }
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Token of its callers.
    pub token: String,
    /// Template file, from the directory.
    pub template: String,
}

impl Cluster {
    /// Reads the directory's cluster file.
    ///
    /// # Errors
    ///
    /// When the file is missing or not as the layout wrote it.
    pub fn load(dir: &Path) -> eyre::Result<Self> {
        let path = dir.join(CLUSTER_FILE);
        let text = fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
        serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Processes of a role.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(move |process| process.role == role)
    }

    /// Processes meant by a fault's target: a name, or a prefix and `*`.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn targets(&self, target: &str) -> eyre::Result<Vec<&Process>> {
        let meant = |process: &&Process| match target.strip_suffix('*') {
            Some(prefix) => process.name.starts_with(prefix),
            None => process.name == target,
        };
        let found: Vec<_> = self.processes.iter().filter(meant).collect();
        if found.is_empty() { Err(eyre!("target {target}: no such process")) } else { Ok(found) }
    }
}

/// Reads the recorded id of a process; `None` when it was not started.
#[must_use]
pub fn pid(dir: &Path, name: &str) -> Option<i32> {
    fs::read_to_string(pid_path(dir, name)).ok()?.trim().parse().ok()
}

fn pid_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(PIDS_DIR).join(format!("{name}.pid"))
}

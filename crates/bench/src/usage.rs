//! What a process uses, from `/proc/<pid>`.

use {
    serde::{Deserialize, Serialize},
    std::fs,
};

/// The kernel's clock tick in `/proc/<pid>/stat`, the same on all Linux.
const TICKS_PER_S: f64 = 100.0;
const BYTES_PER_KIB: u64 = 1_024;
/// Fields of `stat` after the command's closing bracket, from zero.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;

/// A process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time since its start.
    pub cpu_s: f64,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Most resident memory since its start.
    pub peak_resident_bytes: u64,
    /// Threads.
    pub threads: u64,
}

/// Reads a process; `None` when it is gone.
#[must_use]
pub fn read(pid: i32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Usage {
        cpu_s: cpu_s(&stat)?,
        resident_bytes: kib_field(&status, "VmRSS:")? * BYTES_PER_KIB,
        peak_resident_bytes: kib_field(&status, "VmHWM:")? * BYTES_PER_KIB,
        threads: kib_field(&status, "Threads:")?,
    })
}

/// Processor time from the text of `stat`. The command may hold blanks and
/// brackets, so counting starts at the last closing one.
#[must_use]
pub fn cpu_s(stat: &str) -> Option<f64> {
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
    Some((ticks(UTIME_FIELD)? + ticks(STIME_FIELD)?) / TICKS_PER_S)
}

fn kib_field(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

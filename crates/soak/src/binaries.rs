//! Where the binaries of the workspace were built.

use {
    eyre::{OptionExt, bail},
    std::path::{Path, PathBuf},
    sycamorerail_bench::cluster::Role,
};

/// Finds the directory of the binaries: beside the current executable, or
/// above it, as for a test in `target/<profile>/deps`.
///
/// # Errors
///
/// When one of them is not built.
pub fn directory() -> eyre::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let beside = executable.parent().ok_or_eyre("the executable has no directory")?;
    let above = beside.parent().unwrap_or(beside);
    for directory in [beside, above] {
        if missing(directory).is_none() {
            return Ok(directory.to_owned());
        }
    }
    check(above)?;
    Ok(above.to_owned())
}

/// Checks that all binaries are in a directory.
///
/// # Errors
///
/// When one of them is not.
pub fn check(directory: &Path) -> eyre::Result<()> {
    if let Some(binary) = missing(directory) {
        bail!(
            "{binary} is not in {}: build the processes first, with `cargo build --workspace` \
             in the same profile",
            directory.display()
        );
    }
    Ok(())
}

fn missing(directory: &Path) -> Option<&'static str> {
    let binaries = Role::ALL.map(Role::binary);
    binaries.into_iter().find(|binary| !directory.join(binary).is_file())
}

//! Loads settings files.

use {
    crate::error::{LoadError, SettingsErrors},
    std::path::Path,
};

/// Reads the file at `path` and parses its content with `read`.
pub(crate) fn load<T>(
    path: &Path,
    read: impl FnOnce(&str) -> Result<T, SettingsErrors>,
) -> Result<T, LoadError> {
    let yaml =
        std::fs::read_to_string(path).map_err(|err| LoadError::Unreadable(path.to_owned(), err))?;
    read(&yaml).map_err(|errors| LoadError::Invalid(path.to_owned(), errors))
}

/// Returns a variable of the process's environment, or `None` if it is unset or not UTF-8.
#[must_use]
pub fn process_env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

//! Errors of settings: all of a text at once, each with the path of its field.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, io, path::PathBuf},
};

/// What is wrong with one field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, as `limits.retention_ms` or `kinds[0].name`.
    pub path: String,
    /// What was found; never the text of a secret.
    pub problem: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; allowed: {}", self.path, self.problem, self.allowed)
    }
}

/// All that is wrong with a text of settings; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsErrors {
    /// One error a field, in the order of reading.
    pub errors: Vec<FieldError>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let separator = if index == 0 { "" } else { " | " };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// A file of settings could not be taken.
#[derive(Debug)]
pub enum LoadError {
    /// The file could not be read.
    Unreadable(PathBuf, io::Error),
    /// The file was read, and its content is refused.
    Invalid(PathBuf, SettingsErrors),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, err) => write!(f, "cannot read {}: {err}", path.display()),
            Self::Invalid(path, errors) => write!(f, "{}: {errors}", path.display()),
        }
    }
}

impl std::error::Error for LoadError {}

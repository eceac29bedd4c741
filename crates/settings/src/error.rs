//! Errors in settings. All errors of a document are reported together, each with its field's path.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, io, path::PathBuf},
};

/// What is wrong with one field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, such as `limits.retention_ms` or `kinds[0].name`.
    pub path: String,
    /// What was found. Never contains a secret.
    pub problem: String,
    /// The allowed values.
    pub allowed: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; allowed: {}", self.path, self.problem, self.allowed)
    }
}

/// All errors of one document; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsErrors {
    /// Errors in the order in which the fields were read.
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

/// A settings file could not be loaded.
#[derive(Debug)]
pub enum LoadError {
    /// The file could not be read.
    Unreadable(PathBuf, io::Error),
    /// The file was read, but its content is invalid.
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

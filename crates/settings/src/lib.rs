//! Reads and validates the settings of each binary and the templates of organisations.
//!
//! Each reader takes YAML text and returns a struct whose field names carry their units, or all
//! errors of the text at once, each with the path of its field and the allowed values.

pub mod agent;
pub mod entry;
pub mod error;
pub mod keys;
pub mod load;
mod reader;
pub mod rules;
pub mod standin;
pub mod template;
pub mod token;

pub use {
    error::{FieldError, LoadError, SettingsErrors},
    reader::{DOCUMENT_PATH, Env},
};

//! Checked settings: of each binary, and the templates of organisations.
//!
//! YAML in; a struct with units in its field names out, or all errors at once,
//! each with the path of its field and what is allowed there.

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

//! Checked settings: of each binary, and the templates of organisations.
//!
//! YAML in; a struct with units in its field names out, or all errors at once,
//! each with the path of its field and what is allowed there.

pub mod agent;
pub mod entry;
pub mod keys;
pub mod standin;
pub mod template;

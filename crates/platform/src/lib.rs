//! Client of the platform's key-value service, and a local mirror of one prefix.
//!
//! What is asked of the service is the same everywhere; how it is said is a
//! [`form::Form`]. Unless told otherwise that is etcd's version 3 API.

pub mod backoff;
pub mod budget;
pub mod client;
pub mod error;
pub mod etcd;
pub mod form;
mod json;
pub mod mirror;
pub mod table;
pub mod value;
pub mod watch;

pub use {
    client::{Platform, PlatformConfig},
    error::{Effect, PlatformError, PlatformErrorKind, PlatformStep},
    mirror::Mirror,
    value::{Expected, KeyValue, LeaseId, Range, Swap},
};

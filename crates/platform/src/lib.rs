//! Client of the platform's key-value service, and a local mirror of one prefix.
//!
//! The service is spoken to in the JSON form of etcd's version 3 API, of which
//! only range, transaction, lease and watch are used.

pub mod budget;
pub mod client;
pub mod error;
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

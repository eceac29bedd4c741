//! How a key-value service is spoken to: calls to write, answers to read.
//!
//! The client decides what to call, when, and how often; a form only
//! translates. [`crate::etcd`] is one; programs bring others.

use {
    crate::{
        table::Change,
        value::{Expected, KeyValue, LeaseId, Swap},
    },
    bytes::Bytes,
    std::fmt,
};

/// Method of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Without a body.
    Get,
    /// With or without a body.
    Post,
}

/// One HTTP call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path, from the first slash on.
    pub path: String,
    /// Query, not yet escaped.
    pub query: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Option<Vec<u8>>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why an answer is none that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The status means that the call failed.
    Status,
    /// The body could not be understood.
    Malformed(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status => f.write_str("the call failed"),
            Self::Malformed(why) => f.write_str(why),
        }
    }
}

/// An answer that was read.
pub type Read<T> = Result<T, ReadError>;

/// One page of the keys of a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Platform revision of the answer.
    pub mark: u64,
    /// The keys, in their order, without those whose values cannot be read.
    pub items: Vec<KeyValue>,
    /// The page's last key, whether or not its value can be read; `None` if the page is empty.
    pub last_key: Option<String>,
    /// More keys come after the last one.
    pub has_more: bool,
}

/// What a watch told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Whole revisions, in the platform's order.
    Changes(Vec<Change>),
    /// Nothing changed in the prefix up to this platform revision.
    Progress(u64),
    /// The history asked for is gone; only a full copy helps.
    Compacted,
}

/// How the service tells of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// By one answer that does not end, a JSON object a line.
    Stream,
    /// By one answer a call, which waits at the service this long at most.
    LongPoll {
        /// Longest wait, in milliseconds.
        wait_ms: u32,
    },
}

/// Translates calls and answers. Pure: no I/O and no clock.
pub trait Form: fmt::Debug + Send + Sync {
    /// Asks for the keys of a prefix, those after `after` if it is given.
    fn range(&self, prefix: &str, after: Option<&str>, with_values: bool) -> Call;
    /// Reads the answer to [`Self::range`].
    ///
    /// # Errors
    ///
    /// When it is none.
    fn read_range(&self, reply: &Reply) -> Read<Page>;
    /// Asks for one key.
    fn get(&self, key: &str) -> Call;
    /// Reads the answer to [`Self::get`].
    ///
    /// # Errors
    ///
    /// When it is none.
    fn read_get(&self, reply: &Reply) -> Read<Option<KeyValue>>;
    /// Writes a key if it is as expected and no key of `absent` exists.
    fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: &str,
        lease: Option<LeaseId>,
        absent: &[&str],
    ) -> Call;
    /// Deletes a key if its last change was at `modified`.
    fn delete(&self, key: &str, modified: u64) -> Call;
    /// Reads the answer to [`Self::swap`] or [`Self::delete`] of `key`.
    ///
    /// # Errors
    ///
    /// When it is none.
    fn read_swap(&self, key: &str, reply: &Reply) -> Read<Swap>;
    /// Asks for a lease.
    fn grant(&self, ttl_ms: u32) -> Call;
    /// Reads the answer to [`Self::grant`].
    ///
    /// # Errors
    ///
    /// When it is none.
    fn read_grant(&self, reply: &Reply) -> Read<LeaseId>;
    /// Renews a lease.
    fn keep_alive(&self, lease: LeaseId) -> Call;
    /// Reads the answer to [`Self::keep_alive`]: whether the lease is alive.
    ///
    /// # Errors
    ///
    /// When it is none.
    fn read_keep_alive(&self, reply: &Reply) -> Read<bool>;
    /// How changes are told.
    fn watch_mode(&self) -> WatchMode;
    /// Asks for the changes of a prefix from this platform revision on.
    fn watch(&self, prefix: &str, start_revision: u64) -> Call;
    /// Reads a line of a streamed watch, or the body of a long poll. `None`
    /// tells nothing yet.
    ///
    /// # Errors
    ///
    /// When it is none, or the watch has ended.
    fn read_watch(&self, reply: &Reply) -> Read<Option<Told>>;
}

/// Whether the status is a success.
#[must_use]
pub fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Reads a JSON body.
///
/// # Errors
///
/// When it is not of the type.
pub fn read_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Read<T> {
    serde_json::from_slice(body).map_err(|err| ReadError::Malformed(err.to_string()))
}

/// Reads the JSON body of a success.
///
/// # Errors
///
/// When the status is none, or the body not of the type.
pub fn read_success<T: serde::de::DeserializeOwned>(reply: &Reply) -> Read<T> {
    if is_success(reply.status) { read_json(&reply.body) } else { Err(ReadError::Status) }
}

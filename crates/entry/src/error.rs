//! Why an entry did not start, or stopped.

use {
    std::{fmt, net::SocketAddr},
    sycamorerail_platform::PlatformError,
    sycamorerail_wire::{keys::KeyError, session::SessionError},
};

/// Why an entry did not start, or stopped.
#[derive(Debug)]
pub enum EntryError {
    /// The keys of the inner protocol were refused.
    Keys(KeyError),
    /// The inner protocol's socket could not be opened.
    Session(SessionError),
    /// The platform's client could not be set up.
    Platform(PlatformError),
    /// The HTTP server failed.
    Http {
        /// Its address.
        address: SocketAddr,
        /// What it said.
        cause: String,
    },
    /// Requests were still in flight when the bound of the drain passed.
    DrainCut {
        /// Jobs without an answer.
        jobs: u32,
        /// Callers without a response.
        requests: u32,
    },
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keys(err) => write!(f, "keys: {err}"),
            Self::Session(err) => write!(f, "inner protocol: {err}"),
            Self::Platform(err) => write!(f, "platform: {err}"),
            Self::Http { address, cause } => write!(f, "HTTP at {address}: {cause}"),
            Self::DrainCut { jobs, requests } => {
                write!(f, "drain: cut {jobs} jobs and {requests} requests at drain_ms")
            }
        }
    }
}

impl std::error::Error for EntryError {}

impl From<KeyError> for EntryError {
    fn from(err: KeyError) -> Self {
        Self::Keys(err)
    }
}

impl From<SessionError> for EntryError {
    fn from(err: SessionError) -> Self {
        Self::Session(err)
    }
}

impl From<PlatformError> for EntryError {
    fn from(err: PlatformError) -> Self {
        Self::Platform(err)
    }
}

//! Keys of a process: PEM text inline, from a file, or from the environment.

/// Keys of the inner protocol, as resolved PEM text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeySettings {
    /// Certificate of the cluster's authority.
    pub authority_pem: String,
    /// Certificate of this process.
    pub certificate_pem: String,
    /// Private key of this process.
    pub private_key_pem: String,
}

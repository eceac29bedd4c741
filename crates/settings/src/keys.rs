//! TLS keys of a process: PEM text inline, from a file or from the environment.
//!
//! Each key is given in exactly one of three forms: `authority_pem`,
//! `authority_path` or `authority_env`, and so on. Paths are relative to the
//! working directory.

use {
    crate::reader::Reader,
    std::fmt,
    sycamorerail_wire::keys::{PemPair, ProcessKeys},
};

/// PEM text of the keys for the inner protocol, which entries and agents speak to each other.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySettings {
    /// Certificate of the cluster's certificate authority.
    pub authority_pem: String,
    /// Certificate of this process.
    pub certificate_pem: String,
    /// Private key of this process.
    pub private_key_pem: String,
}

impl fmt::Debug for KeySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeySettings(..)")
    }
}

impl KeySettings {
    /// Returns the certificate and private key of this process.
    #[must_use]
    pub fn pem_pair(&self) -> PemPair {
        PemPair {
            certificate_pem: self.certificate_pem.clone(),
            key_pem: self.private_key_pem.clone(),
        }
    }

    pub(crate) fn read(reader: &Reader<'_>) -> Self {
        let keys = Self {
            authority_pem: reader.secret("authority_pem", "authority", true),
            certificate_pem: reader.secret("certificate_pem", "certificate", true),
            private_key_pem: reader.secret("private_key_pem", "private_key", true),
        };
        let resolved = [&keys.authority_pem, &keys.certificate_pem, &keys.private_key_pem];
        if resolved.iter().all(|pem| !pem.is_empty())
            && let Err(err) = ProcessKeys::read(&keys.authority_pem, &keys.pem_pair())
        {
            reader.add_error(
                "certificate_pem",
                format!("the keys cannot be used: {err}"),
                "PEM text as `sycamorerail keys issue` writes it",
            );
        }
        keys
    }
}

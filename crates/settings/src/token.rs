//! Hashes bearer tokens; only the SHA-256 of a token is stored.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 of a token as 64 hexadecimal digits in lower case.
#[must_use]
pub fn token_sha256(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

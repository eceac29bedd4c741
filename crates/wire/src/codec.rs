//! Message bytes: postcard, one message a stream direction.

use {
    serde::{Serialize, de::DeserializeOwned},
    std::fmt,
};

/// Largest message accepted, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// The bytes are not a message of the expected type.
#[derive(Debug)]
pub struct CodecError(postcard::Error);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed inner message: {}", self.0)
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message.
///
/// # Errors
///
/// When the type cannot be encoded, which no message of this crate is.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec(message).map_err(CodecError)
}

/// Decodes a message that must fill `bytes` exactly.
///
/// # Errors
///
/// When the bytes are malformed or longer than the message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, CodecError> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(CodecError)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(CodecError(postcard::Error::DeserializeBadEncoding))
    }
}

//! Postcard encoding of messages. A QUIC stream carries one message in each direction.

use {
    serde::{Serialize, de::DeserializeOwned},
    std::fmt,
};

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// A message could not be encoded, or bytes are not a message of the expected type.
#[derive(Debug)]
pub struct CodecError(postcard::Error);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed internal message: {}", self.0)
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message.
///
/// # Errors
///
/// When postcard cannot encode the type. It can encode all messages of this crate.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec(message).map_err(CodecError)
}

/// Decodes a message that takes up all of `bytes`.
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

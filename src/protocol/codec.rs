//! Bounded encoding and decoding of messages between nodes and of log records.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::result_code::Failure;
use crate::result_code::ResultCode;

/// Largest message that is decoded, bytes. Bounds the memory that a malicious peer can make a node
/// allocate.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Encodes a message with field names, so that later software versions can add fields.
///
/// # Errors
/// [`ResultCode::EncodeFailed`] if the value cannot be represented.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    rmp_serde::to_vec_named(value)
        .map_err(|e| Failure::new(ResultCode::EncodeFailed, e.to_string()))
}

/// Encodes a message without field names, for datagrams, whose size is limited.
///
/// # Errors
/// [`ResultCode::EncodeFailed`] if the value cannot be represented.
pub fn encode_compact<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    rmp_serde::to_vec(value).map_err(|e| Failure::new(ResultCode::EncodeFailed, e.to_string()))
}

/// Decodes a message of at most [`MAX_MESSAGE_BYTES`] in either encoding.
///
/// # Errors
/// [`ResultCode::MessageTooLarge`] or [`ResultCode::MessageMalformed`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        let text = format!(
            "message of {} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes",
            bytes.len()
        );
        return Err(Failure::new(ResultCode::MessageTooLarge, text));
    }
    rmp_serde::from_slice(bytes)
        .map_err(|e| Failure::new(ResultCode::MessageMalformed, e.to_string()))
}

//! Errors of decoding.

use thiserror::Error;

/// Why the messages of an envelope cannot be decoded.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The encoding is invalid, or a value is not in the schema.
    #[error("invalid encoding: {0}")]
    Encoding(#[from] capnp::Error),
    /// A text is not valid UTF-8.
    #[error("text is not valid UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
}

impl From<capnp::NotInSchema> for ReadError {
    fn from(err: capnp::NotInSchema) -> Self {
        Self::Encoding(err.into())
    }
}

//! Why an envelope cannot be read.

use thiserror::Error;

/// Why an envelope cannot be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The encoding is broken.
    #[error("broken encoding: {0}")]
    Encoding(#[from] capnp::Error),
    /// A text is not UTF-8.
    #[error("text is not utf-8: {0}")]
    Text(#[from] std::str::Utf8Error),
}

impl From<capnp::NotInSchema> for ReadError {
    fn from(err: capnp::NotInSchema) -> Self {
        Self::Encoding(err.into())
    }
}

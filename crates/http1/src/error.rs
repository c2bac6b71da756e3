//! Errors of reading heads.

use std::io;

use thiserror::Error;

use crate::{BodyError, raw::MAX_FIELDS};

/// Why a head could not be read.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The connection was closed before the first byte of the head.
    #[error("the connection was closed")]
    Closed,
    /// The connection broke, or was closed within the head.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The head exceeds the limit given here, in bytes.
    #[error("the head is larger than {0} bytes")]
    TooLarge(usize),
    /// The head has too many fields.
    #[error("the head has more than {MAX_FIELDS} fields")]
    TooManyFields,
    /// The head is not well formed or not supported, for the reason given here.
    #[error("{0}")]
    Malformed(&'static str),
}

impl From<httparse::Error> for HeadError {
    fn from(err: httparse::Error) -> Self {
        match err {
            httparse::Error::TooManyHeaders => Self::TooManyFields,
            httparse::Error::HeaderName => Self::Malformed("a header field's name is not valid"),
            httparse::Error::HeaderValue => Self::Malformed("a header field's value is not valid"),
            httparse::Error::Version => Self::Malformed("the HTTP version is not supported"),
            _ => Self::Malformed("the head is not well formed"),
        }
    }
}

/// An error after which nothing more can be read from the connection. A marker: code that handles
/// all of these errors alike can convert them generically.
pub trait ConnectionError {}

impl ConnectionError for io::Error {}
impl ConnectionError for HeadError {}
impl ConnectionError for BodyError {}

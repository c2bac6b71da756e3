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

/// An error after which nothing more can be read from the connection. Code that handles all of these
/// errors alike can convert them generically.
pub trait ConnectionError {
    /// Returns what happened, without the details of one case.
    fn summary(&self) -> &'static str;

    /// Returns whether the peer ended the connection: it closed or reset it.
    fn is_end(&self) -> bool;
}

impl ConnectionError for io::Error {
    fn summary(&self) -> &'static str {
        match self.kind() {
            io::ErrorKind::UnexpectedEof => "the connection ended within the response",
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => {
                "the connection was reset"
            }
            _ => "the connection broke",
        }
    }

    fn is_end(&self) -> bool {
        matches!(
            self.kind(),
            io::ErrorKind::UnexpectedEof
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::BrokenPipe
        )
    }
}

impl ConnectionError for HeadError {
    fn summary(&self) -> &'static str {
        match self {
            Self::Closed => "the connection ended without a response",
            Self::Broken(err) => err.summary(),
            Self::TooLarge(_) | Self::TooManyFields => "the head is too large",
            Self::Malformed(detail) => detail,
        }
    }

    fn is_end(&self) -> bool {
        match self {
            Self::Closed => true,
            Self::Broken(err) => err.is_end(),
            Self::TooLarge(_) | Self::TooManyFields | Self::Malformed(_) => false,
        }
    }
}

impl ConnectionError for BodyError {
    fn summary(&self) -> &'static str {
        match self {
            Self::Broken(err) => err.summary(),
            Self::Malformed => "a chunk is not well formed",
            Self::TooLarge(_) => "the body is too large",
        }
    }

    fn is_end(&self) -> bool {
        match self {
            Self::Broken(err) => err.is_end(),
            Self::Malformed | Self::TooLarge(_) => false,
        }
    }
}

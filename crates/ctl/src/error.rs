//! Errors of commands and of requests to instances.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

/// Why a command could not run to its end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or standard input cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file; `-` is standard input.
        path: PathBuf,
        /// The I/O error; text that is not valid UTF-8 is one too.
        source: io::Error,
    },
    /// Standard input is empty where an API key is expected.
    #[error("expected an API key on standard input, found none")]
    NoKey,
    /// A request to an instance failed.
    #[error("request to {address} failed: {source}")]
    Call {
        /// The admin address of the instance.
        address: SocketAddr,
        /// Why the request failed.
        source: CallError,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Write(#[from] io::Error),
}

impl Error {
    /// Returns whether the reader of the output closed its end of the pipe.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Write(err) if err.kind() == io::ErrorKind::BrokenPipe)
    }

    pub(crate) fn read(path: &Path, source: io::Error) -> Self {
        Self::Read { path: path.to_owned(), source }
    }

    pub(crate) fn call(address: SocketAddr, source: CallError) -> Self {
        Self::Call { address, source }
    }
}

/// A request to an instance failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection broke, or the response is not valid HTTP.
    #[error("no valid HTTP response: {0}")]
    Http(http_types::Error),
    /// The response was not complete when the timeout expired.
    #[error("no complete response within {0:?}")]
    Timeout(Duration),
    /// The response body is larger than this number of bytes.
    #[error("the response body is larger than {0} bytes")]
    TooLarge(u64),
    /// The response has a status other than success.
    #[error("expected a 2xx response, got status {0}")]
    Status(http_types::StatusCode),
    /// The response body is not valid JSON.
    #[error("the response body is not valid JSON: {0}")]
    Json(serde_json::Error),
}

//! Why a command could not be carried out.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The standard input holds no key.
    #[error("the standard input holds no key")]
    NoKey,
    /// An instance cannot be asked.
    #[error("cannot ask {address}: {source}")]
    Call {
        /// Its admin address.
        address: SocketAddr,
        /// Why.
        source: CallError,
    },
    /// The result cannot be written.
    #[error("cannot write the result: {0}")]
    Write(#[from] io::Error),
}

impl Error {
    /// Returns whether the reader of the result has gone away.
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

/// Why an instance gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The answer is not HTTP.
    #[error("no answer: {0}")]
    Http(http_types::Error),
    /// The answer did not come in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The answer is too long.
    #[error("the answer is longer than {0} bytes")]
    TooLong(u64),
    /// The answer is not one of this request.
    #[error("status {0}")]
    Status(http_types::StatusCode),
    /// The answer is not JSON.
    #[error("the answer is not JSON: {0}")]
    Json(serde_json::Error),
}

//! Errors of the harness.

use std::{io, path::PathBuf};

/// Why a fleet could not be started or did not do what a test waits for.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The daemon's program is missing.
    #[error("{0} does not exist; run `cargo build --workspace --bins` first")]
    NoProgram(PathBuf),
    /// A file or process operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A settings or configuration document could not be written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A declared configuration is refused by its check.
    #[error("the declared configuration is refused:\n{0}")]
    Config(String),
    /// A condition was not met in time.
    #[error("{what} did not happen within {millis} ms; last seen: {seen}\n{logs}")]
    Deadline {
        /// The condition.
        what: String,
        /// The time that it had.
        millis: u128,
        /// The last state seen.
        seen: String,
        /// The ends of the daemons' logs.
        logs: String,
    },
}

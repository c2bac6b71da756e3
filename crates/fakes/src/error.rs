//! Errors of the test harness.

use std::{io, path::PathBuf};

/// Why a fleet could not be started or did not reach the state that a test waits for.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The daemon's binary is missing at this path.
    #[error("{0} does not exist; run `cargo build --workspace --bins` first")]
    NoProgram(PathBuf),
    /// A file, socket or process operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A settings or configuration document could not be serialized or parsed.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A declared configuration failed its check; holds the findings.
    #[error("the declared configuration is invalid:\n{0}")]
    Config(String),
    /// A condition was not met in time.
    #[error("timed out after {timeout_ms} ms waiting for {condition}; last state: {state}\n{logs}")]
    Timeout {
        /// The state that was waited for, in words.
        condition: String,
        /// How long the condition was waited for, in milliseconds.
        timeout_ms: u128,
        /// The state at the last check.
        state: String,
        /// The last log lines of each daemon.
        logs: String,
    },
}

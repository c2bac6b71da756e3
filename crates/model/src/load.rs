//! What is known of a backend server's load.

use serde::{Deserialize, Serialize};

/// A backend server's report of its load.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Differs after each start of the server.
    pub incarnation: u64,
    /// Attempts that run.
    pub running: u32,
    /// Attempts that wait in the server.
    pub queued: u32,
    /// Whether the server is in its cold start.
    pub cold: bool,
}

/// Why a backend server's load is not known.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadError {
    /// The connection broke or could not be established: the server may have restarted.
    Disconnected,
    /// No report came in time.
    TimedOut,
    /// The report could not be read.
    Malformed,
}

//! The load that backend servers report.

use serde::{Deserialize, Serialize};

/// A backend server's report of its load.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// A number that differs after each start of the server.
    pub incarnation: u64,
    /// The number of attempts that it runs.
    pub running: u32,
    /// The number of attempts in the server's own queue.
    pub queued: u32,
    /// Whether the server is in its cold start.
    pub cold: bool,
}

/// Why a backend server's load is not known.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadError {
    /// The connection failed or could not be established: the server may have restarted.
    Disconnected,
    /// No report was received within the timeout.
    TimedOut,
    /// The report could not be parsed.
    Malformed,
}

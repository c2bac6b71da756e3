//! The state of a cell in a readable form.

use model::prelude::*;
use serde::Serialize;

/// The state of a cell.
#[derive(Clone, Debug, Serialize)]
pub struct CellDump {
    /// The cell.
    pub cell: CellId,
    /// Whether the owner still waits for instances to list the grants that they hold.
    pub reclaiming: bool,
    /// Its backend servers.
    pub servers: Vec<ServerDump>,
    /// The waiting requests of each tier.
    pub waiting: Vec<TierDump>,
    /// Grants that are not given back.
    pub grants: usize,
    /// Prompt prefixes whose place is known.
    pub prefixes: usize,
}

/// The state of a backend server.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServerDump {
    /// The backend server.
    pub server: ServerId,
    /// Whether it takes new work.
    pub open: bool,
    /// Whether it is ejected for failures or slowness.
    pub ejected: bool,
    /// Whether it cannot be reached, and gets nothing but probes.
    pub down: bool,
    /// Grants that are not given back.
    pub running: u32,
    /// Attempts that it may run at a time now.
    pub limit: u32,
    /// Attempts that its ramp has reached.
    pub ramp: u32,
}

/// The waiting requests of a tier.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TierDump {
    /// The tier.
    pub tier: Tier,
    /// Waiting requests.
    pub waiting: usize,
    /// Client accounts with waiting requests.
    pub accounts: usize,
}

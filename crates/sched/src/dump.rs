//! The state of a cell as operators see it.

use model::prelude::*;
use serde::Serialize;

/// The state of a cell.
#[derive(Clone, Debug, Serialize)]
pub struct CellDump {
    /// The pool and the availability zone of its servers.
    pub cell: CellId,
    /// Whether the owner still waits for instances to list the grants that they hold, and gives
    /// none meanwhile.
    pub reclaiming: bool,
    /// The configured backend servers, and removed ones until their grants are released and a new
    /// configuration arrives.
    pub servers: Vec<ServerDump>,
    /// The waiting requests of each tier that has any, highest tier first.
    pub waiting: Vec<TierDump>,
    /// Grants that have not been released.
    pub grants: usize,
    /// Prompt prefixes for which a server is remembered that may have them cached.
    pub prefixes: usize,
}

/// The state of a backend server.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServerDump {
    /// The hash of the server's name in the configuration.
    pub server: ServerId,
    /// Whether its configuration lets it receive new work.
    pub open: bool,
    /// Whether it is ejected for failures or slowness.
    pub ejected: bool,
    /// Whether it cannot be reached and gets nothing but probes.
    pub down: bool,
    /// Its grants that have not been released.
    pub running: u32,
    /// The most attempts that it may run at a time now.
    pub limit: u32,
    /// The limit that its warm-up has reached. `limit` is lower while it is ejected or down, while
    /// there is no recent evidence that it has not restarted, and by the attempts of others.
    pub ramp: u32,
}

/// The waiting requests of a tier.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TierDump {
    /// 0 is served first.
    pub tier: Tier,
    /// The number of waiting requests.
    pub waiting: usize,
    /// The number of client accounts with waiting requests.
    pub accounts: usize,
}

//! The state that a cell starts from, and the configuration of its servers.

use model::{msg::CellState, prelude::*};

/// What a new owner of a cell knows about it.
#[derive(Clone, Debug)]
pub enum CellStart {
    /// Nothing: all servers count as cold, and the instances must first list the grants of former
    /// owners that they still hold.
    Fresh,
    /// The state that the former owner handed over: the cell gives grants at once.
    HandedOver(CellState),
}

/// The configuration of a backend server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerConfig {
    /// The hash of the server's name in the configuration.
    pub id: ServerId,
    /// The most attempts at a time.
    pub limit: u32,
    /// The most attempts at a time in its cold start; at most [`Self::limit`] counts.
    pub cold_limit: u32,
    /// Whether it receives new work: it is not leaving, and its zone is not evacuated.
    pub open: bool,
}

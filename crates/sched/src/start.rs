//! What a cell starts from.

use model::{msg::CellState, prelude::*};

/// What a new owner of a cell knows.
#[derive(Clone, Debug)]
pub enum CellStart {
    /// Nothing: all servers are cold, and grants of former owners are to be reclaimed first.
    Fresh,
    /// What the former owner handed over: work goes on at once.
    HandedOver(CellState),
}

/// What the configuration says of a backend server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerConfig {
    /// The backend server.
    pub id: ServerId,
    /// Attempts at a time.
    pub limit: u32,
    /// Attempts at a time in its cold start.
    pub cold_limit: u32,
    /// Whether it receives new work: it is not leaving, and its zone is in.
    pub open: bool,
}

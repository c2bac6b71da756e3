//! What is told of a member.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// What is told of a member.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its run; a restart gets another one.
    pub incarnation: u32,
    /// Grows while it runs.
    pub heartbeat: u32,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

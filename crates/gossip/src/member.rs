//! The entry of a member in a packet.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// A member of the fleet, as it describes itself. The order of the fields is the packet format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Where it receives packets; identifies the member.
    pub address: SocketAddrV4,
    /// Identifies one run of its process. Another value means a restart; values are not ordered.
    pub incarnation: u32,
    /// A counter that grows with each of its rounds of packets and wraps around.
    pub heartbeat: u32,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

//! The messages with sums of loads, and their codec.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{AccountUse, LoadSum, MAX_PACKET_BYTES, PoolUse, ServerSum, ServerTag};

/// The version of the format, and the first byte of each message. Instances that do not know it
/// ignore these messages.
pub(crate) const FORMAT_VERSION: u8 = 3;
/// Bytes for all fields of a message but the servers.
const MAX_HEADER_BYTES: usize = 700;
/// Slices of a sum: more would need datagrams of the size of a few servers.
const MAX_SLICES: u8 = 64;

/// The direction of a message in the broadcast tree.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Direction {
    /// To the parent: the sum of a member and of all members below it.
    Up,
    /// To a child: the total of the fleet.
    Down,
}

/// A slice of a sum of loads: the servers whose tags have the same remainder. The order of the
/// fields, here and in the types of the fields, is the format; their names are not part of it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadMessage {
    pub(crate) format: u8,
    /// Where the sender receives messages.
    pub sender: SocketAddrV4,
    /// Where it goes.
    pub direction: Direction,
    /// Upwards the number of the sender's round. Downwards the latest round of the receiver that
    /// the total contains; `None` if it contains none.
    pub round: Option<u32>,
    /// How many members are counted.
    pub members: u32,
    /// The remainder of the servers' tags, divided by `slices`.
    pub slice: u8,
    /// The number of slices, at least 1.
    pub slices: u8,
    /// The servers with load in this slice.
    pub servers: Vec<ServerSum>,
    /// What accounts ask for; only in slice 0.
    pub accounts: Vec<AccountUse>,
    /// What is asked of pools; only in slice 0.
    pub pools: Vec<PoolUse>,
}

/// A message with loads to be sent.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OutgoingLoadMessage {
    /// The receiver's address.
    pub to: SocketAddrV4,
    /// What it gets.
    pub message: LoadMessage,
}

impl LoadMessage {
    /// Divides a sum into messages that fit into a datagram each.
    pub(crate) fn slices(
        sum: &LoadSum,
        sender: SocketAddrV4,
        direction: Direction,
        round: Option<u32>,
    ) -> Vec<Self> {
        let room = MAX_PACKET_BYTES - MAX_HEADER_BYTES;
        let mut slices = 1;
        while slices < MAX_SLICES && sizes(sum, slices).into_iter().any(|size| size > room) {
            slices += 1;
        }
        let message = |slice| {
            let servers = sum.servers.values();
            let servers = servers.filter(|it| is_in_slice(it.server, slice, slices));
            Self {
                format: FORMAT_VERSION,
                sender,
                direction,
                round,
                members: sum.members,
                slice,
                slices,
                servers: servers.cloned().collect(),
                accounts: if slice == 0 { sum.accounts.clone() } else { Vec::new() },
                pools: if slice == 0 { sum.pools.clone() } else { Vec::new() },
            }
        };
        (0..slices).map(message).collect()
    }

    /// Returns whether a server belongs to the slice of this message.
    pub(crate) fn covers(&self, server: ServerTag) -> bool {
        is_in_slice(server, self.slice, self.slices)
    }

    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }
}

fn is_in_slice(server: ServerTag, slice: u8, slices: u8) -> bool {
    server.0 % u32::from(slices.max(1)) == u32::from(slice)
}

/// Returns upper bounds on the bytes of the servers in each slice.
fn sizes(sum: &LoadSum, slices: u8) -> Vec<usize> {
    let mut sizes = vec![0; usize::from(slices)];
    for server in sum.servers.values() {
        let size = encoded_size(server);
        sizes[(server.server.0 % u32::from(slices)) as usize] += size;
    }
    sizes
}

/// Returns the bytes of a server in a message.
fn encoded_size(server: &ServerSum) -> usize {
    let size = postcard::serialize_with_flavor(server, postcard::ser_flavors::Size::default());
    size.unwrap_or(MAX_PACKET_BYTES)
}

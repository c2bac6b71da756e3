//! The message between instances.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Load, Member};

/// The version of the format; a packet of another one is ignored.
const FORMAT: u8 = 1;
/// Bytes of a packet, below the payload of a datagram that is not fragmented on usual links.
pub const MAX_PACKET_BYTES: usize = 1_400;
/// Loads in a packet. Each takes up to 13 bytes.
const MAX_LOADS: usize = 80;

/// A message from one instance to another.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Packet {
    format: u8,
    /// The sender.
    pub sender: Member,
    /// The packet's number at its sender.
    pub sequence: u32,
    /// The highest number that the sender has seen of the receiver's packets.
    pub echo: Option<u32>,
    /// What the sender knows of the platform.
    pub view_status: ViewStatus,
    /// The sender's own load at backend servers, all that is not zero.
    pub loads: Vec<Load>,
    /// Other members.
    pub others: Vec<Member>,
}

/// A view of the platform and how fresh it is.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct ViewStatus {
    /// What is known.
    pub view: ViewSummary,
    /// For how many milliseconds at most the view may have been out of date.
    pub staleness_ms: Option<u32>,
}

/// What an instance knows of the operators' documents.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct ViewSummary {
    /// The version of the configuration.
    pub version: u64,
    /// Equal only if everything that operators published and the servers that are listed are equal.
    pub digest: u64,
    /// The store's revision up to which changes were read.
    pub revision: u64,
}

/// Why bytes are not a packet.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The bytes are not what a packet looks like.
    #[error("malformed packet: {0}")]
    Malformed(#[from] postcard::Error),
    /// The sender runs another version of the format.
    #[error("packet format {0} is not supported")]
    UnsupportedFormat(u8),
}

impl Packet {
    /// Makes a packet that fits into a datagram; loads beyond that are left out.
    pub(crate) fn new(
        sender: Member,
        sequence: u32,
        view_status: ViewStatus,
        loads: &[Load],
    ) -> Self {
        let loads = loads[..loads.len().min(MAX_LOADS)].to_vec();
        Self {
            format: FORMAT,
            sender,
            sequence,
            echo: None,
            view_status,
            loads,
            others: Vec::new(),
        }
    }

    /// Encodes the packet.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a packet.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match bytes.first() {
            Some(&FORMAT) | None => Ok(postcard::from_bytes(bytes)?),
            Some(&other) => Err(DecodeError::UnsupportedFormat(other)),
        }
    }
}

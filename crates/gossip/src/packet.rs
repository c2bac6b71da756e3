//! The message between instances and its codec.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    IncarnationTag, LimitNotice, Load, Member, PartEvidence, RankedLoad, ZoneMembers,
    checked::{self, EMPTY_LIST_BYTES},
};

/// The version of the packet format. Packets of another version are rejected.
const FORMAT_VERSION: u8 = 1;
/// Upper bound on the bytes of an encoded packet: usual links carry such a datagram unfragmented.
pub const MAX_PACKET_BYTES: usize = 1_400;
/// Loads in a packet, up to 13 bytes each, which keeps it below [`MAX_PACKET_BYTES`].
const MAX_LOADS: usize = 80;

/// Upper bound on the bytes of the evidence and the notices in a packet.
const MAX_EVIDENCE_BYTES: usize = 400;
/// Upper bound on the bytes of the limits in a packet, with those of empty lists before them.
const MAX_LIMIT_BYTES: usize = 200;
/// Upper bound on the bytes of a [`RankedLoad`], and on those of their number.
const MAX_RANKED_LOAD_BYTES: usize = 10;

/// A message from one instance to another. The order of the fields, here and in the types of the
/// fields, is the packet format; their names are not part of it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Packet {
    format: u8,
    /// The entry of the sender.
    pub sender: Member,
    /// Numbers the sender's rounds of packets, from a random start; wraps around.
    pub sequence: u32,
    /// The highest sequence number that the sender has received from the receiver, if any.
    pub echo: Option<u32>,
    /// The sender's view of the platform.
    pub view_status: ViewStatus,
    /// The sender's own load at backend servers. Servers without load are left out.
    pub loads: Vec<Load>,
    /// Entries of other members: a random sample.
    pub others: Vec<Member>,
    /// The loads by rank, as far as they fit. They follow the packet, where instances that do not
    /// know them ignore them.
    #[serde(skip)]
    pub ranked_loads: Vec<RankedLoad>,
    /// Evidence against prompt parts that end servers, as far as it fits. It follows the loads by
    /// rank.
    #[serde(skip)]
    pub evidence: Vec<PartEvidence>,
    /// Servers that told the sender lately that they leave, as far as the evidence leaves room. They
    /// follow it.
    #[serde(skip)]
    pub leaving: Vec<IncarnationTag>,
    /// The zones of the sender and the other members, as far as the sender knows them. They follow the
    /// notices, in large fleets only.
    #[serde(skip)]
    pub zones: Vec<ZoneMembers>,
    /// What servers told the sender lately of their limits, as far as it fits. It follows the zones.
    #[serde(skip)]
    pub limits: Vec<LimitNotice>,
}

/// A packet to be sent.
#[derive(Debug)]
pub struct OutgoingPacket {
    /// The receiver's address.
    pub to: SocketAddrV4,
    /// Made for this receiver: it echoes the last packet received from there, if any.
    pub packet: Packet,
}

/// An instance's view of the platform and its staleness.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct ViewStatus {
    /// A summary of the view.
    pub view: ViewSummary,
    /// Upper bound on the time since the view was up to date, in milliseconds; `None` if the
    /// platform was not read yet.
    pub staleness_ms: Option<u32>,
}

/// A summary of a view of the platform, to compare the views of two instances.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct ViewSummary {
    /// The version of the configuration in use.
    pub version: u64,
    /// A hash of everything that operators published and of the listed servers: equal views have
    /// equal digests.
    pub digest: u64,
    /// The store's revision up to which changes were read.
    pub revision: u64,
}

/// Why bytes cannot be decoded as a packet.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The bytes are not an encoded packet.
    #[error("malformed packet: {0}")]
    Malformed(#[from] postcard::Error),
    /// The evidence, the notices, the zones or the limits in the packet do not match their checksum.
    #[error(
        "the evidence against prompt parts, the notices of servers, the zones or the limits are damaged"
    )]
    DamagedList,
    /// The origins of streams do not match their checksum.
    #[error("the origins of streams are damaged")]
    DamagedOrigins,
    /// The sum of loads does not match its checksum.
    #[error("the sum of loads is damaged")]
    DamagedLoads,
    /// The sender uses another version of the packet format.
    #[error("unsupported packet format {0}, expected {FORMAT_VERSION}")]
    UnsupportedFormat(u8),
}

impl Packet {
    /// Creates a packet that fits into a datagram. Loads beyond `MAX_LOADS` are left out.
    pub(crate) fn new(
        sender: Member,
        sequence: u32,
        view_status: ViewStatus,
        loads: &[Load],
    ) -> Self {
        let loads = loads[..loads.len().min(MAX_LOADS)].to_vec();
        Self {
            format: FORMAT_VERSION,
            sender,
            sequence,
            echo: None,
            view_status,
            loads,
            others: Vec::new(),
            ranked_loads: Vec::new(),
            evidence: Vec::new(),
            leaving: Vec::new(),
            zones: Vec::new(),
            limits: Vec::new(),
        }
    }

    /// Encodes the packet, with as much of the zones, the evidence and the ranked loads as fits into a
    /// datagram.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_stdvec(self)?;
        let room = MAX_PACKET_BYTES.saturating_sub(bytes.len());
        let lists = self.encode_lists(room.saturating_sub(1))?;
        let room = (room - lists.len()) / MAX_RANKED_LOAD_BYTES;
        let count = self.ranked_loads.len().min(room.saturating_sub(1));
        bytes.extend(postcard::to_stdvec(&self.ranked_loads[..count])?);
        bytes.extend(lists);
        Ok(bytes)
    }

    /// Encodes as much as fits of the zones, of the limits and of the evidence in the room that they
    /// leave, and of the notices in the rest.
    fn encode_lists(&self, room: usize) -> Result<Vec<u8>, postcard::Error> {
        let zones = checked::encode(&self.zones, room.saturating_sub(2 * EMPTY_LIST_BYTES))?;
        let reserved = if zones.is_empty() { 0 } else { zones.len() + EMPTY_LIST_BYTES };
        let room = room - reserved;
        // Empty lists before them take bytes too.
        let for_limits = room.min(MAX_LIMIT_BYTES).saturating_sub(3 * EMPTY_LIST_BYTES);
        let limits = checked::encode(&self.limits, for_limits)?;
        let reserved = if limits.is_empty() { 0 } else { limits.len() + 3 * EMPTY_LIST_BYTES };
        let room = (room - reserved).min(MAX_EVIDENCE_BYTES);
        let evidence = checked::encode(&self.evidence, room)?;
        let room = room.saturating_sub(evidence.len().max(EMPTY_LIST_BYTES));
        let notices = checked::encode(&self.leaving, room)?;
        checked::join([evidence, notices, zones, limits])
    }

    /// Decodes a packet. Bytes after it are ignored.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match bytes.first() {
            Some(&FORMAT_VERSION) | None => {
                let (mut packet, rest) = postcard::take_from_bytes::<Self>(bytes)?;
                // Packets of instances that do not tell ranks end here.
                if !rest.is_empty() {
                    let (ranked_loads, rest) = postcard::take_from_bytes(rest)?;
                    packet.ranked_loads = ranked_loads;
                    // Damaged evidence is rejected, as it could speak against another part.
                    let (evidence, rest) = checked::decode(rest)?;
                    packet.evidence = evidence;
                    let (leaving, rest) = checked::decode(rest)?;
                    packet.leaving = leaving;
                    // Packets of small fleets and of instances that do not tell zones end here.
                    let (zones, rest) = checked::decode(rest)?;
                    packet.zones = zones;
                    // Packets end here while no server names a limit.
                    packet.limits = checked::decode(rest)?.0;
                }
                Ok(packet)
            }
            Some(&other) => Err(DecodeError::UnsupportedFormat(other)),
        }
    }
}

//! Evidence against prompt parts that end backend servers, as packets carry it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::DecodeError;

/// Upper bound on the bytes of the evidence in a packet.
const MAX_EVIDENCE_BYTES: usize = 400;

/// Identifies the end of a server. Instances that saw the same end use the same tag.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct EndTag(pub u32);

/// The end of a server at which a request with a prompt part was unanswered. The order of the fields
/// is the packet format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServerEnd {
    /// Identifies the end.
    pub tag: EndTag,
    /// Time since the end, in milliseconds.
    pub age_ms: u32,
    /// Time from the sending of the request to the end, in milliseconds.
    pub took_ms: u32,
}

/// The ends of servers at which requests with a prompt part were unanswered. The order of the fields
/// is the packet format.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PartEvidence {
    /// The id of the part.
    pub part: u64,
    /// Whether the sender holds the part back.
    pub is_held: bool,
    /// Time since the sending of the latest request with the part that was answered, in
    /// milliseconds; `None` if none is known. It refutes all ends before.
    pub answered_age_ms: Option<u32>,
    /// Time since a request with the part was last sent although it is held back, in milliseconds;
    /// `None` if none was.
    pub tried_age_ms: Option<u32>,
    /// Ends, in any order.
    pub ends: Vec<ServerEnd>,
}

/// Encodes evidence with a checksum: as much as fits, in the order given.
pub(crate) fn encode(evidence: &[PartEvidence], room: usize) -> Result<Vec<u8>, postcard::Error> {
    let room = room.min(MAX_EVIDENCE_BYTES);
    for count in (1..=evidence.len()).rev() {
        let mut bytes = postcard::to_stdvec(&evidence[..count])?;
        let checksum = checksum(&bytes).to_le_bytes();
        if bytes.len() + checksum.len() <= room {
            bytes.extend(checksum);
            return Ok(bytes);
        }
    }
    Ok(Vec::new())
}

/// Decodes evidence. Bytes after it are ignored. Damaged evidence is rejected, as it could speak
/// against another part.
pub(crate) fn decode(bytes: &[u8]) -> Result<Vec<PartEvidence>, DecodeError> {
    if bytes.is_empty() {
        return Ok(Vec::new());
    }
    let (evidence, rest) = postcard::take_from_bytes(bytes)?;
    let encoded = &bytes[..bytes.len() - rest.len()];
    match rest.first_chunk() {
        Some(sum) if u32::from_le_bytes(*sum) == checksum(encoded) => Ok(evidence),
        _ => Err(DecodeError::DamagedEvidence),
    }
}

/// Returns the low half of the hash of the encoded evidence.
fn checksum(bytes: &[u8]) -> u32 {
    xxh3_64(bytes) as u32
}

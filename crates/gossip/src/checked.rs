//! Values with a checksum: messages of loads, and lists that follow the fixed part of a packet.

use serde::{Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::xxh3_64;

use crate::DecodeError;

const CHECKSUM_BYTES: usize = 4;
/// Bytes of an empty list that others follow.
pub(crate) const EMPTY_LIST_BYTES: usize = 1 + CHECKSUM_BYTES;

/// Encodes a list with a checksum: as many items as fit into `room`, in the order given. Returns no
/// bytes if none fits.
pub(crate) fn encode<T: Serialize>(items: &[T], room: usize) -> Result<Vec<u8>, postcard::Error> {
    for count in (1..=items.len()).rev() {
        let bytes = encode_value(&items[..count])?;
        if bytes.len() <= room {
            return Ok(bytes);
        }
    }
    Ok(Vec::new())
}

/// Joins encoded lists. Empty ones have bytes only if others follow.
pub(crate) fn join<const N: usize>(lists: [Vec<u8>; N]) -> Result<Vec<u8>, postcard::Error> {
    let empty = encode_value::<[()]>(&[])?;
    let used = lists.iter().rposition(|it| !it.is_empty()).map_or(0, |last| last + 1);
    let lists = lists.into_iter().take(used);
    Ok(lists.flat_map(|it| if it.is_empty() { empty.clone() } else { it }).collect())
}

/// Decodes a list and returns it with the bytes after it. Without bytes, it is empty. A damaged list is
/// rejected.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(Vec<T>, &[u8]), DecodeError> {
    if bytes.is_empty() {
        return Ok((Vec::new(), bytes));
    }
    take(bytes)?.ok_or(DecodeError::DamagedList)
}

/// Encodes a value with a checksum.
pub(crate) fn encode_value<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_stdvec(value)?;
    bytes.extend(checksum(&bytes).to_le_bytes());
    Ok(bytes)
}

/// Decodes a value and returns it with the bytes after its checksum; `None` if it is damaged.
pub(crate) fn take<T: DeserializeOwned>(
    bytes: &[u8],
) -> Result<Option<(T, &[u8])>, postcard::Error> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    let encoded = &bytes[..bytes.len() - rest.len()];
    let sum = rest.split_first_chunk::<CHECKSUM_BYTES>();
    let intact = sum.filter(|it| u32::from_le_bytes(*it.0) == checksum(encoded));
    Ok(intact.map(|(_, rest)| (value, rest)))
}

/// Returns the low half of the hash of encoded bytes.
fn checksum(bytes: &[u8]) -> u32 {
    xxh3_64(bytes) as u32
}

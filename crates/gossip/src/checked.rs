//! Lists with a checksum, which follow the fixed part of a packet.

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
        let bytes = encode_all(&items[..count])?;
        if bytes.len() <= room {
            return Ok(bytes);
        }
    }
    Ok(Vec::new())
}

/// Joins encoded lists. Empty ones have bytes only if others follow.
pub(crate) fn join<const N: usize>(lists: [Vec<u8>; N]) -> Result<Vec<u8>, postcard::Error> {
    let empty = encode_all::<()>(&[])?;
    let used = lists.iter().rposition(|it| !it.is_empty()).map_or(0, |last| last + 1);
    let lists = lists.into_iter().take(used);
    Ok(lists.flat_map(|it| if it.is_empty() { empty.clone() } else { it }).collect())
}

/// Encodes a list, which may be empty, with a checksum.
fn encode_all<T: Serialize>(items: &[T]) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_stdvec(items)?;
    bytes.extend(checksum(&bytes).to_le_bytes());
    Ok(bytes)
}

/// Decodes a list and returns it with the bytes after it. Without bytes, it is empty. A damaged list is
/// rejected.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(Vec<T>, &[u8]), DecodeError> {
    if bytes.is_empty() {
        return Ok((Vec::new(), bytes));
    }
    let (items, rest) = postcard::take_from_bytes(bytes)?;
    let encoded = &bytes[..bytes.len() - rest.len()];
    match rest.split_first_chunk::<CHECKSUM_BYTES>() {
        Some((sum, rest)) if u32::from_le_bytes(*sum) == checksum(encoded) => Ok((items, rest)),
        _ => Err(DecodeError::DamagedList),
    }
}

/// Returns the low half of the hash of an encoded list.
fn checksum(bytes: &[u8]) -> u32 {
    xxh3_64(bytes) as u32
}

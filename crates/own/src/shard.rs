//! The unit of ownership.

use std::fmt;

use model::prelude::*;
use serde::{Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// Something that one instance at a time decides for the whole fleet.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum Shard {
    /// A client account's tokens in an availability zone.
    Share(ShareId),
    /// The backend servers of a pool in an availability zone.
    Cell(CellId),
}

impl Shard {
    /// Returns the availability zone whose instances may own this.
    pub fn zone(self) -> ZoneId {
        match self {
            Self::Share(it) => it.zone,
            Self::Cell(it) => it.zone,
        }
    }

    /// Returns how strongly an instance is drawn to own this; the strongest owns it (highest
    /// random weight, after Thaler and Ravishankar, 1998).
    pub fn weight(self, instance: InstanceId) -> u64 {
        let [kind, name, zone] = match self {
            Self::Share(it) => [1, it.account.0, it.zone.0],
            Self::Cell(it) => [2, it.pool.0, it.zone.0],
        };
        rendezvous([kind, name, zone, instance.0])
    }
}

/// Hashes four numbers to one that is spread evenly.
pub(crate) fn rendezvous(parts: [u64; 4]) -> u64 {
    let mut buf = [0; 32];
    for (place, part) in buf.chunks_exact_mut(8).zip(parts) {
        place.copy_from_slice(&part.to_le_bytes());
    }
    xxh3_64(&buf)
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Share(it) => write!(f, "share {}/{}", it.account, it.zone),
            Self::Cell(it) => write!(f, "cell {}/{}", it.pool, it.zone),
        }
    }
}

impl Serialize for Shard {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

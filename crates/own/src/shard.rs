//! The unit of ownership.

use std::fmt;

use model::prelude::*;
use serde::{Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// State that one instance at a time keeps and decides on for the whole fleet.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum Shard {
    /// The tokens that a client account has in an availability zone.
    Share(ShareId),
    /// The backend servers of a pool in an availability zone.
    Cell(CellId),
}

impl Shard {
    /// Returns the availability zone whose instances may own the shard.
    pub fn zone(self) -> ZoneId {
        match self {
            Self::Share(it) => it.zone,
            Self::Cell(it) => it.zone,
        }
    }

    /// Returns the weight of an instance for this shard; the one with the highest weight owns it
    /// (rendezvous hashing by highest random weight, Thaler and Ravishankar, 1998).
    pub fn weight(self, instance: InstanceId) -> u64 {
        let [kind, name, zone] = match self {
            Self::Share(it) => [1, it.account.0, it.zone.0],
            Self::Cell(it) => [2, it.pool.0, it.zone.0],
        };
        rendezvous([kind, name, zone, instance.0])
    }
}

/// Hashes four numbers to one that is evenly distributed.
pub(crate) fn rendezvous(parts: [u64; 4]) -> u64 {
    let mut buf = [0; 32];
    for (slot, part) in buf.chunks_exact_mut(8).zip(parts) {
        slot.copy_from_slice(&part.to_le_bytes());
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

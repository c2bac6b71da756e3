//! Generates ids that differ between instances and between their incarnations.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Peer;

/// Consecutive numbers from a start that is a hash of the instance and its incarnation.
///
/// Ids from the sequences of two incarnations, or of two owners of the same shard, practically
/// never collide: a message that refers to an id of an earlier one matches nothing in this one.
#[derive(Clone, Debug)]
pub struct IdSequence {
    next: u64,
}

impl IdSequence {
    /// Starts the sequence of this incarnation of this instance.
    pub fn new(me: Peer) -> Self {
        Self { next: xxh3_64_with_seed(&me.instance.0.to_be_bytes(), me.incarnation.0) }
    }

    /// Returns a number that this sequence has not returned before.
    pub fn next_id(&mut self) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.next
    }
}

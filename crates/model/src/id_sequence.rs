//! Numbers for ids that differ between instances and between runs of an instance.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Peer;

/// Hands out numbers from a start that depends on the instance and its run.
///
/// A message that is meant for an earlier run, or for another owner of the same shard, can so not
/// be taken for one of this run.
#[derive(Clone, Debug)]
pub struct IdSequence {
    next: u64,
}

impl IdSequence {
    /// Numbers for this run of this instance.
    pub fn new(me: Peer) -> Self {
        Self { next: xxh3_64_with_seed(&me.instance.0.to_be_bytes(), me.incarnation.0) }
    }

    /// Returns a number that was not returned before.
    pub fn next_id(&mut self) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.next
    }
}

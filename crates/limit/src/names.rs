//! Numbers for ids that differ between instances and between runs of an instance.

use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hands out the numbers that follow a start which depends on the instance and its run.
///
/// A message for an earlier run, or about a share's earlier owner, can so not be taken for one of
/// this run.
#[derive(Clone, Debug)]
pub(crate) struct Names {
    next: u64,
}

impl Names {
    pub(crate) fn new(me: Peer) -> Self {
        Self { next: xxh3_64_with_seed(&me.instance.0.to_be_bytes(), me.incarnation.0) }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.next
    }
}

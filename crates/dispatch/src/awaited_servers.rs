//! Servers for which more urgent requests wait.

use slotmap::SecondaryMap;

use crate::{Rank, ServerKey};

/// The servers for which requests wait that were considered before, in the order of rank.
#[derive(Debug, Default)]
pub(crate) struct AwaitedServers {
    /// The most urgent rank that waits for each.
    ranks: SecondaryMap<ServerKey, Rank>,
}

impl AwaitedServers {
    /// Adds the servers for which a request of this rank waits.
    pub(crate) fn add(&mut self, rank: Rank, servers: Vec<ServerKey>) {
        for key in servers {
            if self.ranks.get(key).is_none_or(|it| rank < *it) {
                self.ranks.insert(key, rank);
            }
        }
    }

    /// Returns whether a more urgent request than one of this rank waits for a server.
    pub(crate) fn is_awaited_above(&self, server: ServerKey, rank: Rank) -> bool {
        self.ranks.get(server).is_some_and(|it| *it < rank)
    }
}

//! Which backend server may have a prompt prefix in its cache.

use std::collections::{BTreeMap, HashMap};

use model::prelude::*;

/// The most prefixes that are remembered for one cell.
const MAX_PREFIXES: usize = 8_192;

/// The hash of a request without a prefix.
const NO_PREFIX: PrefixHash = PrefixHash(0);

/// The server that ran each prefix last; the least recently used prefix is dropped first.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    locations: HashMap<PrefixHash, Location>,
    by_use: BTreeMap<u64, PrefixHash>,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct Location {
    server: ServerId,
    used: u64,
}

impl Prefixes {
    /// Returns the server that ran this prefix last.
    pub(crate) fn server(&self, prefix: PrefixHash) -> Option<ServerId> {
        self.locations.get(&prefix).map(|location| location.server)
    }

    /// Records that a request with this prefix goes to a server.
    pub(crate) fn record(&mut self, prefix: PrefixHash, server: ServerId) {
        if prefix == NO_PREFIX {
            return;
        }
        self.uses += 1;
        let location = Location { server, used: self.uses };
        if let Some(old) = self.locations.insert(prefix, location) {
            self.by_use.remove(&old.used);
        }
        self.by_use.insert(self.uses, prefix);
        if self.locations.len() > MAX_PREFIXES
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.locations.remove(&oldest);
        }
    }

    /// Removes the prefixes of a server, whose cache is lost in a restart.
    pub(crate) fn remove_server(&mut self, server: ServerId) {
        let by_use = &mut self.by_use;
        self.locations.retain(|_, location| {
            let keep = location.server != server;
            if !keep {
                by_use.remove(&location.used);
            }
            keep
        });
    }

    pub(crate) fn len(&self) -> usize {
        self.locations.len()
    }
}

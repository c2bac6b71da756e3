//! Which backend server may have a prompt prefix in its cache.

use std::collections::{BTreeMap, HashMap};

use model::prelude::*;

/// Prefixes remembered for one cell.
const PREFIXES: usize = 8_192;

/// A prefix that stands for none.
const NO_PREFIX: PrefixHash = PrefixHash(0);

/// Remembers where each prefix ran last; the least recently used prefix is forgotten first.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    places: HashMap<PrefixHash, Place>,
    by_use: BTreeMap<u64, PrefixHash>,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    server: ServerId,
    used: u64,
}

impl Prefixes {
    /// Returns the server that ran this prefix last.
    pub(crate) fn server(&self, prefix: PrefixHash) -> Option<ServerId> {
        self.places.get(&prefix).map(|it| it.server)
    }

    /// Notes that a server is about to run this prefix.
    pub(crate) fn note(&mut self, prefix: PrefixHash, server: ServerId) {
        if prefix == NO_PREFIX {
            return;
        }
        self.uses += 1;
        let place = Place { server, used: self.uses };
        if let Some(old) = self.places.insert(prefix, place) {
            self.by_use.remove(&old.used);
        }
        self.by_use.insert(self.uses, prefix);
        if self.places.len() > PREFIXES
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.places.remove(&oldest);
        }
    }

    /// Forgets what a server that restarted had in its cache.
    pub(crate) fn forget(&mut self, server: ServerId) {
        let by_use = &mut self.by_use;
        self.places.retain(|_, place| {
            let keep = place.server != server;
            if !keep {
                by_use.remove(&place.used);
            }
            keep
        });
    }

    /// Returns the number of remembered prefixes.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }
}

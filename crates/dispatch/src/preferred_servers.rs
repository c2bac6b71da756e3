//! The servers that are preferred for a shared prefix.

use crate::{Affinity, ServerKey};

/// The servers that rendezvous hashing prefers for a shared prefix, and the one that has most of it
/// cached.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct PreferredServers {
    /// The server with the most cached tokens of the prefix, as far as this instance has sent them,
    /// with their number and its hash rank. Of servers with equally many, the one with the highest
    /// hash rank is chosen: it has had the prefix for longest.
    holder: Option<(u32, u64, ServerKey)>,
    /// The server with the highest hash rank, and the rank.
    first: Option<(u64, ServerKey)>,
    /// The server with the second highest hash rank, and the rank.
    second: Option<(u64, ServerKey)>,
}

impl PreferredServers {
    pub(crate) fn add(&mut self, hash_rank: u64, key: ServerKey) {
        let new = Some((hash_rank, key));
        if new > self.first {
            self.second = std::mem::replace(&mut self.first, new);
        } else if new > self.second {
            self.second = new;
        }
    }

    pub(crate) fn add_holder(&mut self, tokens: u32, hash_rank: u64, key: ServerKey) {
        if tokens > 0 {
            self.holder = self.holder.max(Some((tokens, hash_rank, key)));
        }
    }

    /// Returns the server from which one with this many cached tokens of the shared prefix can
    /// fetch the rest.
    pub(crate) fn fetch_source(&self, server: ServerKey, cached_tokens: u32) -> Option<ServerKey> {
        if let Some((tokens, _, holder)) = self.holder
            && tokens > cached_tokens
        {
            return Some(holder);
        }
        if cached_tokens > 0 {
            return None;
        }
        // This instance has sent the prefix to no server that is available, but others have
        // probably sent it to a preferred one.
        let preferred = [self.first, self.second].into_iter().flatten();
        preferred.map(|choice| choice.1).find(|key| *key != server)
    }

    pub(crate) fn affinity(&self, key: ServerKey) -> Affinity {
        let is = |choice: Option<(u64, ServerKey)>| choice.is_some_and(|it| it.1 == key);
        if is(self.first) {
            Affinity::First
        } else if is(self.second) {
            Affinity::Second
        } else {
            Affinity::Other
        }
    }
}

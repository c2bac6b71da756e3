//! The outstanding tokens of a share.

use std::collections::HashMap;

use model::{prelude::*, timers::Timers};

/// Identifies a request for a token among those of all instances.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(crate) struct AskKey {
    /// The instance that asks.
    pub(crate) from: Peer,
    pub(crate) ask: AskId,
}

/// The tokens of a share that were handed out and neither reported nor expired.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leases {
    by_id: HashMap<LeaseId, Lease>,
    by_ask: HashMap<AskKey, LeaseId>,
    expiry: Timers<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) key: AskKey,
    pub(crate) expires: Time,
}

impl Leases {
    pub(crate) fn insert(&mut self, id: LeaseId, lease: Lease) {
        self.by_id.insert(id, lease);
        self.by_ask.insert(lease.key, id);
        self.expiry.set(id, Some(lease.expires));
    }

    /// Returns the outstanding token that was handed out for a request, if any.
    pub(crate) fn of(&self, key: AskKey) -> Option<LeaseId> {
        self.by_ask.get(&key).copied()
    }

    /// Extends a token's validity; an earlier `expires` changes nothing.
    pub(crate) fn renew(&mut self, id: LeaseId, expires: Time) {
        let Some(lease) = self.by_id.get_mut(&id) else { return };
        lease.expires = lease.expires.max(expires);
        self.expiry.set(id, Some(lease.expires));
    }

    /// Removes a token if `holder` holds it. Returns whether it did.
    pub(crate) fn remove(&mut self, holder: Peer, id: LeaseId) -> bool {
        if self.by_id.get(&id).is_none_or(|lease| lease.key.from != holder) {
            return false;
        }
        self.remove_lease(id);
        true
    }

    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.expiry.next()
    }

    /// Removes the tokens that have expired by `now`.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(id) = self.expiry.pop_due(now) {
            self.remove_lease(id);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (LeaseId, Lease)> {
        self.by_id.iter().map(|(id, lease)| (*id, *lease))
    }

    fn remove_lease(&mut self, id: LeaseId) {
        let Some(lease) = self.by_id.remove(&id) else { return };
        self.by_ask.remove(&lease.key);
        self.expiry.clear(id);
    }
}

//! All backend servers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::prelude::*;
use slotmap::SlotMap;

use crate::{Server, ServerEntry, ServerKey};

/// Servers that said that they leave, of which that is remembered; beyond that, those that are not
/// listed any more are forgotten.
const MAX_LEAVING: usize = 1_024;

/// All backend servers that the platform lists, by pool.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    all: SlotMap<ServerKey, Server>,
    by_id: HashMap<ServerId, ServerKey>,
    pools: HashMap<PoolId, Vec<ServerKey>>,
    /// The servers that said that they leave. Kept by id, as the platform may list such a server again,
    /// also after it had removed it.
    leaving: BTreeMap<ServerId, Leaving>,
    /// The evacuated zones, whose servers get no requests.
    pub(crate) evacuated_zones: BTreeSet<ZoneId>,
}

/// A start of a server that said that it leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    incarnation: u64,
    /// When it said so first.
    since: Time,
}

impl Servers {
    pub(crate) fn get(&self, key: ServerKey) -> Option<&Server> {
        self.all.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.all.get_mut(key)
    }

    pub(crate) fn by_id(&self, id: ServerId) -> Option<ServerKey> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.all.iter()
    }

    /// Returns the servers of a pool.
    pub(crate) fn in_pool(&self, pool: PoolId) -> &[ServerKey] {
        self.pools.get(&pool).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn insert(&mut self, now: Time, entry: ServerEntry) -> ServerKey {
        let server = Server::new(now, entry);
        let (id, pool) = (server.id, server.entry.pool);
        let key = self.all.insert(server);
        self.by_id.insert(id, key);
        self.pools.entry(pool).or_default().push(key);
        key
    }

    pub(crate) fn remove(&mut self, key: ServerKey) -> Option<Server> {
        let server = self.all.remove(key)?;
        self.by_id.remove(&server.id);
        if let Some(pool) = self.pools.get_mut(&server.entry.pool) {
            pool.retain(|other| *other != key);
        }
        Some(server)
    }

    /// Records that an incarnation of a server leaves, whatever the platform lists. Returns whether
    /// that is new.
    pub(crate) fn set_leaving(&mut self, now: Time, id: ServerId, incarnation: u64) -> bool {
        if self.leaving.get(&id).is_some_and(|it| it.incarnation == incarnation) {
            return false;
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.retain(|id, _| self.by_id.contains_key(id));
        }
        self.leaving.insert(id, Leaving { incarnation, since: now });
        true
    }

    /// Returns the servers that have said since this time that they leave, with their incarnations.
    pub(crate) fn leaving_since(&self, since: Time) -> impl Iterator<Item = (ServerId, u64)> {
        let recent = self.leaving.iter().filter(move |it| it.1.since >= since);
        recent.map(|(id, leaving)| (*id, leaving.incarnation))
    }

    /// Returns whether a server said that it leaves.
    fn is_leaving(&self, server: &Server) -> bool {
        let leaving = self.leaving.get(&server.id);
        leaving.is_some_and(|it| it.incarnation == server.entry.incarnation)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.all.values_mut()
    }

    /// Returns whether a server may get requests: it is neither draining nor says that it leaves, and
    /// its zone is not evacuated.
    pub(crate) fn is_eligible(&self, server: &Server) -> bool {
        !server.entry.is_draining
            && !self.is_leaving(server)
            && !self.evacuated_zones.contains(&server.entry.zone)
    }
}

//! Requests that wait for a server.

use std::collections::{BTreeSet, HashMap};

use model::prelude::*;

use crate::{Rank, RequestKey};

/// A request's place: by rank, then by the time at which it would be refused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Place {
    pub(crate) rank: Rank,
    pub(crate) refuse_at: Time,
    pub(crate) key: RequestKey,
}

/// Requests that wait for a server, by pool.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pools: HashMap<PoolId, BTreeSet<Place>>,
    /// All of them by when they are refused.
    due: BTreeSet<(Time, RequestKey)>,
}

impl Queue {
    pub(crate) fn insert(&mut self, pool: PoolId, place: Place) {
        self.pools.entry(pool).or_default().insert(place);
        self.due.insert((place.refuse_at, place.key));
    }

    pub(crate) fn remove(&mut self, pool: PoolId, place: Place) {
        if let Some(places) = self.pools.get_mut(&pool) {
            places.remove(&place);
            if places.is_empty() {
                self.pools.remove(&pool);
            }
        }
        self.due.remove(&(place.refuse_at, place.key));
    }

    /// Returns the first requests of a pool.
    pub(crate) fn first(&self, pool: PoolId, count: usize) -> Vec<RequestKey> {
        let places = self.pools.get(&pool).into_iter().flatten();
        places.take(count).map(|it| it.key).collect()
    }

    /// Returns the pools in which requests wait.
    pub(crate) fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().copied().collect()
    }

    /// Returns all requests that wait.
    pub(crate) fn keys(&self) -> Vec<RequestKey> {
        self.due.iter().map(|it| it.1).collect()
    }

    /// Returns a request whose time to wait is over.
    pub(crate) fn due(&self, now: Time) -> Option<RequestKey> {
        self.due.first().filter(|it| it.0 <= now).map(|it| it.1)
    }

    /// Returns when the next request's time to wait is over.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.due.first().map(|it| it.0)
    }
}

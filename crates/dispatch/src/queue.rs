//! Requests that wait for a server.

use std::collections::{BTreeSet, HashMap};

use fair::Excess;
use model::prelude::*;

use crate::{Rank, RequestKey};

/// A request in the queue. Requests are ordered by rank, then those that can still meet their target
/// before the others, then by the excess of their accounts when they came into the queue, then by the
/// time at which they are refused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) rank: Rank,
    /// Whether it cannot meet its target any more.
    pub(crate) is_late: bool,
    pub(crate) excess: Excess,
    pub(crate) refuse_at: Time,
    pub(crate) late_at: Time,
    pub(crate) key: RequestKey,
}

/// The requests that wait for a server, in one queue for each pool.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pools: HashMap<PoolId, BTreeSet<QueueEntry>>,
    /// The requests of all pools, by the time at which they are refused.
    by_refusal: BTreeSet<(Time, RequestKey)>,
}

impl Queue {
    pub(crate) fn insert(&mut self, pool: PoolId, entry: QueueEntry) {
        self.pools.entry(pool).or_default().insert(entry);
        self.by_refusal.insert((entry.refuse_at, entry.key));
    }

    pub(crate) fn remove(&mut self, pool: PoolId, entry: QueueEntry) {
        if let Some(entries) = self.pools.get_mut(&pool) {
            entries.remove(&entry);
            if entries.is_empty() {
                self.pools.remove(&pool);
            }
        }
        self.by_refusal.remove(&(entry.refuse_at, entry.key));
    }

    /// Moves the requests that cannot meet their target any more behind the others of their rank, and
    /// returns them with their new entries.
    pub(crate) fn update_late(&mut self, now: Time) -> Vec<QueueEntry> {
        let mut moved = Vec::new();
        for entries in self.pools.values_mut() {
            let late = entries.iter().filter(|it| !it.is_late && it.late_at <= now);
            for entry in late.copied().collect::<Vec<_>>() {
                entries.remove(&entry);
                let entry = QueueEntry { is_late: true, ..entry };
                entries.insert(entry);
                moved.push(entry);
            }
        }
        moved
    }

    /// Returns how many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.by_refusal.len()
    }

    /// Returns up to `count` requests at the head of a pool's queue.
    pub(crate) fn first(&self, pool: PoolId, count: usize) -> Vec<RequestKey> {
        let entries = self.pools.get(&pool).into_iter().flatten();
        entries.take(count).map(|entry| entry.key).collect()
    }

    /// Returns the pools for which requests wait.
    pub(crate) fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().copied().collect()
    }

    /// Returns whether requests wait for a pool.
    pub(crate) fn has_waiting(&self, pool: PoolId) -> bool {
        self.pools.contains_key(&pool)
    }

    /// Returns the waiting requests of all pools.
    pub(crate) fn keys(&self) -> Vec<RequestKey> {
        self.by_refusal.iter().map(|entry| entry.1).collect()
    }

    /// Returns a request whose time in the queue is over.
    pub(crate) fn expired(&self, now: Time) -> Option<RequestKey> {
        self.by_refusal.first().filter(|entry| entry.0 <= now).map(|entry| entry.1)
    }

    /// Returns when the next request is refused; `None` if no request waits.
    pub(crate) fn next_refusal(&self) -> Option<Time> {
        self.by_refusal.first().map(|entry| entry.0)
    }
}

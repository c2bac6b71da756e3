//! A memory of what happened recently.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use model::prelude::*;

/// Entries that are forgotten after a while, or sooner when there are too many.
#[derive(Debug)]
pub(crate) struct Recent<K, V> {
    keep: Duration,
    capacity: usize,
    entries: HashMap<K, V>,
    order: VecDeque<(Time, K)>,
}

impl<K: Copy + Eq + Hash, V> Recent<K, V> {
    /// Makes a memory that keeps at most `capacity` entries for the time `keep`.
    pub(crate) fn new(keep: Duration, capacity: usize) -> Self {
        Self { keep, capacity, entries: HashMap::new(), order: VecDeque::new() }
    }

    /// Remembers a value; the first value of a key stays.
    pub(crate) fn insert(&mut self, now: Time, key: K, value: V) {
        self.forget(now);
        if self.entries.contains_key(&key) {
            return;
        }
        self.entries.insert(key, value);
        self.order.push_back((now, key));
    }

    /// Returns the value of a key.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key)
    }

    fn forget(&mut self, now: Time) {
        while let Some(&(at, key)) = self.order.front() {
            if now.since(at) < self.keep && self.order.len() < self.capacity {
                return;
            }
            self.order.pop_front();
            self.entries.remove(&key);
        }
    }
}

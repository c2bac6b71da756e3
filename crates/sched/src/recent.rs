//! A bounded map whose entries expire.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use model::prelude::*;

/// A map that drops entries after a time, and the oldest ones earlier when it is full.
#[derive(Debug)]
pub(crate) struct Recent<K, V> {
    retention: Duration,
    capacity: usize,
    entries: HashMap<K, V>,
    order: VecDeque<(Time, K)>,
}

impl<K: Copy + Eq + Hash, V> Recent<K, V> {
    /// Creates a map that keeps at most `capacity` entries, each for at least `retention` unless
    /// the map is full. Expired entries are removed when the next one is inserted.
    pub(crate) fn new(retention: Duration, capacity: usize) -> Self {
        Self { retention, capacity, entries: HashMap::new(), order: VecDeque::new() }
    }

    /// Adds an entry; a key that is present keeps its value and its age.
    pub(crate) fn insert(&mut self, now: Time, key: K, value: V) {
        self.remove_expired(now);
        if self.entries.contains_key(&key) {
            return;
        }
        self.entries.insert(key, value);
        self.order.push_back((now, key));
    }

    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key)
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some(&(at, key)) = self.order.front() {
            if now.since(at) < self.retention && self.order.len() < self.capacity {
                return;
            }
            self.order.pop_front();
            self.entries.remove(&key);
        }
    }
}

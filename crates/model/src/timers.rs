//! An index of when things need attention.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

use crate::units::Time;

/// At most one wake-up time for each key, in the order of time.
///
/// Each operation takes time logarithmic in the number of keys that have a time set, and no key
/// is looked at before its time has come.
#[derive(Clone, Debug)]
pub struct Timers<K> {
    by_time: BTreeSet<(Time, K)>,
    by_key: HashMap<K, Time>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self { by_time: BTreeSet::new(), by_key: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash + Ord> Timers<K> {
    /// Sets or clears the time of a key.
    pub fn set(&mut self, key: K, at: Option<Time>) {
        let Some(at) = at else {
            self.clear(key);
            return;
        };
        let old = self.by_key.insert(key, at);
        if old == Some(at) {
            return;
        }
        if let Some(old) = old {
            self.by_time.remove(&(old, key));
        }
        self.by_time.insert((at, key));
    }

    /// Clears the time of a key.
    pub fn clear(&mut self, key: K) {
        if let Some(old) = self.by_key.remove(&key) {
            self.by_time.remove(&(old, key));
        }
    }

    /// Returns whether a key has a time set.
    pub fn contains(&self, key: K) -> bool {
        self.by_key.contains_key(&key)
    }

    /// Returns the earliest time.
    pub fn next(&self) -> Option<Time> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Takes the key with the earliest time out, if that time has come.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let (at, key) = *self.by_time.first()?;
        if at > now {
            return None;
        }
        self.clear(key);
        Some(key)
    }

    /// Returns how many keys have a time set.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no key has a time set.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}

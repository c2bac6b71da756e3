//! The time at which each of many keys is due.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

use crate::units::Time;

/// A queue of keys, ordered by the time at which each is due. A key has at most one time.
///
/// Each operation takes logarithmic time in the number of keys, and finding the due ones does not
/// visit the others.
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
    /// Sets the time of a key, in place of an earlier one; `None` removes the key.
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

    /// Removes a key; does nothing if it has no time set.
    pub fn clear(&mut self, key: K) {
        if let Some(old) = self.by_key.remove(&key) {
            self.by_time.remove(&(old, key));
        }
    }

    /// Returns whether a key has a time set.
    pub fn contains(&self, key: K) -> bool {
        self.by_key.contains_key(&key)
    }

    /// Returns the earliest time, or `None` if no key has one.
    pub fn next(&self) -> Option<Time> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Removes and returns the key with the earliest time if that is at or before `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let (at, key) = *self.by_time.first()?;
        if at > now {
            return None;
        }
        self.clear(key);
        Some(key)
    }

    /// Returns the number of keys that have a time set.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no key has a time set.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}

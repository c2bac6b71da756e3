//! Requests for tokens that wait.

use std::collections::{BTreeMap, HashMap};

use model::{prelude::*, wakes::Wakes};

use crate::leases::AskKey;

/// Requests for tokens that wait, first come, first served.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    by_place: BTreeMap<u64, Waiting>,
    by_ask: HashMap<AskKey, u64>,
    deadlines: Wakes<u64>,
    next_place: u64,
}

/// A request for tokens that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) key: AskKey,
    /// When a token comes too late.
    pub(crate) deadline: Time,
    /// When the request's wait ends.
    pub(crate) wait_by: Time,
    /// When a token is expected for it.
    pub(crate) expected: Time,
}

impl Queue {
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let place = self.next_place;
        self.next_place += 1;
        self.by_place.insert(place, waiting);
        self.by_ask.insert(waiting.key, place);
        self.deadlines.set(place, Some(waiting.deadline));
    }

    pub(crate) fn get(&self, key: AskKey) -> Option<&Waiting> {
        self.by_place.get(self.by_ask.get(&key)?)
    }

    pub(crate) fn remove(&mut self, key: AskKey) {
        if let Some(place) = self.by_ask.get(&key) {
            self.forget(*place);
        }
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let place = *self.by_place.first_key_value()?.0;
        self.forget(place)
    }

    /// Removes the requests whose wait is over. Their senders know it by their own clocks.
    pub(crate) fn drop_late(&mut self, now: Time) {
        while let Some(place) = self.deadlines.pop_due(now) {
            self.forget(place);
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.next()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_place.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_place.is_empty()
    }

    fn forget(&mut self, place: u64) -> Option<Waiting> {
        let waiting = self.by_place.remove(&place)?;
        self.by_ask.remove(&waiting.key);
        self.deadlines.clear(place);
        Some(waiting)
    }
}

//! The requests that wait for a token of a share.

use std::collections::{BTreeMap, HashMap};

use model::{prelude::*, timers::Timers};

use crate::leases::AskKey;

/// The requests that wait for a token of a share, first come, first served.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    by_place: BTreeMap<u64, Waiting>,
    by_ask: HashMap<AskKey, u64>,
    drop_times: Timers<u64>,
    next_place: u64,
}

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) key: AskKey,
    /// When the request is dropped, since a token would come too late to be used.
    pub(crate) drop_at: Time,
    /// When the sender stops waiting.
    pub(crate) wait_until: Time,
    /// When the request is expected to get a token.
    pub(crate) expected: Time,
}

impl Queue {
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let place = self.next_place;
        self.next_place += 1;
        self.by_place.insert(place, waiting);
        self.by_ask.insert(waiting.key, place);
        self.drop_times.set(place, Some(waiting.drop_at));
    }

    pub(crate) fn get(&self, key: AskKey) -> Option<&Waiting> {
        self.by_place.get(self.by_ask.get(&key)?)
    }

    pub(crate) fn remove(&mut self, key: AskKey) {
        if let Some(place) = self.by_ask.get(&key) {
            self.remove_at(*place);
        }
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let place = *self.by_place.first_key_value()?.0;
        self.remove_at(place)
    }

    /// Removes the requests for which a token would come too late. They get no reply: their senders
    /// end the wait by their own clocks.
    pub(crate) fn drop_late(&mut self, now: Time) {
        while let Some(place) = self.drop_times.pop_due(now) {
            self.remove_at(place);
        }
    }

    pub(crate) fn next_drop(&self) -> Option<Time> {
        self.drop_times.next()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_place.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_place.is_empty()
    }

    fn remove_at(&mut self, place: u64) -> Option<Waiting> {
        let waiting = self.by_place.remove(&place)?;
        self.by_ask.remove(&waiting.key);
        self.drop_times.clear(place);
        Some(waiting)
    }
}

//! The limits that servers named.

use std::collections::BTreeMap;

use model::prelude::*;

use crate::server_limit::ServerLimit;

/// Limits that are kept at most, the same for those that have ended; beyond that, those of the servers
/// that were heard of first are forgotten.
const MAX_LIMITS: usize = 1_024;

/// The limits that servers named, and those that have ended lately. They are kept by server id, as the
/// platform may remove the entry of a server and list it again.
#[derive(Debug, Default)]
pub(crate) struct ServerLimits {
    limits: BTreeMap<ServerId, ServerLimit>,
    ended: BTreeMap<ServerId, EndedLimit>,
}

/// A limit that a start of a server names no more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedLimit {
    pub(crate) incarnation: u64,
    /// When the server responded without a limit.
    pub(crate) at: Time,
}

impl ServerLimits {
    /// Returns the limit that an incarnation of a server named; `None` if there is none.
    pub(crate) fn get(&self, id: ServerId, incarnation: u64) -> Option<&ServerLimit> {
        self.limits.get(&id).filter(|limit| limit.incarnation == incarnation)
    }

    pub(crate) fn get_mut(&mut self, id: ServerId, incarnation: u64) -> Option<&mut ServerLimit> {
        self.limits.get_mut(&id).filter(|limit| limit.incarnation == incarnation)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ServerId, &ServerLimit)> {
        self.limits.iter().map(|(id, limit)| (*id, limit))
    }

    /// Returns when an incarnation of a server responded without the limit that it had named before;
    /// `None` if it has not.
    pub(crate) fn ended_at(&self, id: ServerId, incarnation: u64) -> Option<Time> {
        self.ended.get(&id).filter(|ended| ended.incarnation == incarnation).map(|ended| ended.at)
    }

    /// Returns the limits that have ended since a time.
    pub(crate) fn ended_since(&self, since: Time) -> impl Iterator<Item = (ServerId, EndedLimit)> {
        self.ended.iter().map(|(id, ended)| (*id, *ended)).filter(move |it| it.1.at >= since)
    }

    /// Adds a limit, in place of that of another incarnation.
    pub(crate) fn insert(&mut self, id: ServerId, limit: ServerLimit) {
        if self.limits.len() >= MAX_LIMITS {
            let oldest = self.limits.iter().min_by_key(|it| it.1.told_at).map(|it| *it.0);
            self.limits.remove(&oldest.unwrap_or(id));
        }
        self.ended.remove(&id);
        self.limits.insert(id, limit);
    }

    /// Removes a limit that has ended, as the server told this instance.
    pub(crate) fn end(&mut self, now: Time, id: ServerId, incarnation: u64) {
        if self.ended.len() >= MAX_LIMITS {
            let oldest = self.ended.iter().min_by_key(|it| it.1.at).map(|it| *it.0);
            self.ended.remove(&oldest.unwrap_or(id));
        }
        self.limits.remove(&id);
        self.ended.insert(id, EndedLimit { incarnation, at: now });
    }

    /// Removes a limit of which nothing is known any more.
    pub(crate) fn remove(&mut self, id: ServerId) {
        self.limits.remove(&id);
    }

    /// Forgets the limits that ended before a time.
    pub(crate) fn forget_ended(&mut self, before: Time) {
        self.ended.retain(|_, ended| ended.at >= before);
    }
}

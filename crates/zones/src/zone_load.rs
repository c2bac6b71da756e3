//! What the engines of a zone carry and could carry.

use model::prelude::*;

/// The share of slots up to which a request hardly waits for one.
const FREE_SLOTS_USE: f64 = 0.75;
/// The share of slots from which instances send no more requests: the wait for a slot then counts as
/// twice the margin.
const FULL_SLOTS_USE: f64 = 0.9;

/// What the engines for one kind of requests of one pool in one zone carry and could carry, as the
/// whole fleet sees it. Only engines that may get requests count; without any, all is zero.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ZoneLoad {
    /// The zone.
    pub zone: ZoneId,
    /// Prompt tokens that the engines read in a millisecond, all together.
    pub tokens_per_ms: f64,
    /// Prompt tokens that they still have to read.
    pub unread_tokens: f64,
    /// Requests that run or wait there.
    pub attempts: u32,
    /// Requests that they can run at the same time.
    pub slots: u32,
}

impl ZoneLoad {
    /// Returns the load of a zone without engines that may get requests.
    pub fn without_engines(zone: ZoneId) -> Self {
        Self { zone, tokens_per_ms: 0.0, unread_tokens: 0.0, attempts: 0, slots: 0 }
    }

    /// Returns whether the zone has engines that may get requests.
    pub(crate) fn is_usable(&self) -> bool {
        self.slots > 0 && self.tokens_per_ms > 0.0
    }

    /// Returns how long a request waits there, in milliseconds: for unread prompts, and for a slot if
    /// few are free.
    pub(crate) fn pressure_ms(&self, margin_ms: f64) -> f64 {
        if !self.is_usable() {
            return f64::INFINITY;
        }
        let slots_use = f64::from(self.attempts) / f64::from(self.slots);
        let crowding = (slots_use - FREE_SLOTS_USE) / (FULL_SLOTS_USE - FREE_SLOTS_USE);
        self.unread_tokens / self.tokens_per_ms + crowding.max(0.0) * 2.0 * margin_ms
    }
}

//! The minimum rate of dispatches to each class, regardless of the demand of higher tiers.

use std::collections::BTreeMap;

use model::prelude::*;

/// A class starves when it has had demand for this time without a dispatch. Starving classes are
/// served ahead of higher tiers, as far as [`STARVING_DISPATCH_INTERVAL`] allows.
pub const STARVATION_WINDOW: Duration = Duration::from_secs(5);

/// Of this many consecutive dispatches, at most one goes to a starving class ahead of a higher
/// tier.
pub const STARVING_DISPATCH_INTERVAL: u32 = 10;

/// A class in its tier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct TierClass {
    pub(crate) tier: Tier,
    pub(crate) class: ClassId,
}

/// Since when each class has had demand without a dispatch.
#[derive(Debug, Default)]
pub(crate) struct Starvation {
    unserved: BTreeMap<TierClass, Unserved>,
    /// Dispatches since the last one to a starving class ahead of a higher tier.
    dispatches_since_starving: u32,
}

#[derive(Clone, Copy, Debug)]
struct Unserved {
    since: Time,
    last_demand: Time,
}

impl Starvation {
    /// Records the arrival of a request; `waiting` says whether others of its class wait. Requests
    /// that are shed or expire later count as demand, so that a class whose requests may wait for
    /// less than [`STARVATION_WINDOW`] is served too.
    pub(crate) fn record_demand(&mut self, now: Time, class: TierClass, waiting: bool) {
        let entry = self.unserved.entry(class).or_insert(Unserved { since: now, last_demand: now });
        if !waiting && now.since(entry.last_demand) > STARVATION_WINDOW {
            entry.since = now;
        }
        entry.last_demand = now;
    }

    /// Records a dispatch to a class; `waiting` says whether more of its requests wait.
    pub(crate) fn record_dispatch(&mut self, now: Time, class: TierClass, waiting: bool) {
        self.unserved.remove(&class);
        if waiting {
            self.unserved.insert(class, Unserved { since: now, last_demand: now });
        }
        self.dispatches_since_starving = self.dispatches_since_starving.saturating_add(1);
    }

    /// Records that the last dispatch went to a starving class ahead of a higher tier.
    pub(crate) fn record_starving_dispatch(&mut self) {
        self.dispatches_since_starving = 0;
    }

    /// Removes the demand of a class whose last waiting request was cancelled.
    pub(crate) fn clear_demand(&mut self, class: TierClass) {
        self.unserved.remove(&class);
    }

    /// Returns the class of `waiting` that has starved longest; none if no class starves or the
    /// next dispatch may not go to a starving class.
    pub(crate) fn starving_class(
        &self,
        now: Time,
        waiting: impl Iterator<Item = TierClass>,
    ) -> Option<TierClass> {
        if self.dispatches_since_starving + 1 < STARVING_DISPATCH_INTERVAL {
            return None;
        }
        waiting
            .filter_map(|class| Some((self.unserved.get(&class)?.since, class)))
            .filter(|(since, _)| now.since(*since) >= STARVATION_WINDOW)
            .min()
            .map(|(_, class)| class)
    }
}

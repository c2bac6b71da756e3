//! The share of dispatches that no class falls below.

use std::collections::BTreeMap;

use model::prelude::*;

/// A class with waiting work gets a server at least this often, within its [`MIN_SHARE`].
pub const STARVATION_WINDOW: Duration = Duration::from_secs(5);

/// At most one of this many dispatches goes to a starving class ahead of a higher tier.
pub const MIN_SHARE: u32 = 10;

/// A class in its tier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct TierClass {
    pub(crate) tier: Tier,
    pub(crate) class: ClassId,
}

/// Since when each class has had demand and no dispatch.
#[derive(Debug, Default)]
pub(crate) struct Starvation {
    unserved: BTreeMap<TierClass, Unserved>,
    dispatches: u32,
}

#[derive(Clone, Copy, Debug)]
struct Unserved {
    since: Time,
    seen: Time,
}

impl Starvation {
    /// Notes a request of a class. Requests that were shed or expired count as demand, so that a
    /// class whose requests wait for less than the window is served too.
    pub(crate) fn demand(&mut self, now: Time, class: TierClass, waiting: bool) {
        let entry = self.unserved.entry(class).or_insert(Unserved { since: now, seen: now });
        if !waiting && now.since(entry.seen) > STARVATION_WINDOW {
            entry.since = now;
        }
        entry.seen = now;
    }

    /// Notes that a class was served, and whether more of it waits.
    pub(crate) fn served(&mut self, now: Time, class: TierClass, waiting: bool) {
        self.unserved.remove(&class);
        if waiting {
            self.unserved.insert(class, Unserved { since: now, seen: now });
        }
        self.dispatches = self.dispatches.saturating_add(1);
    }

    /// Notes that a starving class was served ahead of a higher tier.
    pub(crate) fn spend(&mut self) {
        self.dispatches = 0;
    }

    /// Notes that the callers of a class withdrew all its requests.
    pub(crate) fn withdrawn(&mut self, class: TierClass) {
        self.unserved.remove(&class);
    }

    /// Returns the class that has starved longest, if a dispatch may go to it now.
    pub(crate) fn due(
        &self,
        now: Time,
        waiting: impl Iterator<Item = TierClass>,
    ) -> Option<TierClass> {
        if self.dispatches + 1 < MIN_SHARE {
            return None;
        }
        waiting
            .filter_map(|class| Some((self.unserved.get(&class)?.since, class)))
            .filter(|(since, _)| now.since(*since) >= STARVATION_WINDOW)
            .min()
            .map(|(_, class)| class)
    }
}

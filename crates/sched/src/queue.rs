//! The waiting requests of a cell.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::{msg::Acquire, prelude::*};
use slotmap::{SlotMap, new_key_type};

use crate::{fair::Fair, starvation::TierClass};

new_key_type! {
    /// A waiting request.
    pub(crate) struct WaiterKey;
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub(crate) from: Peer,
    pub(crate) req: Acquire,
    pub(crate) place: Place,
    pub(crate) deadline: Time,
    /// The grant that was asked back for this request, and when.
    pub(crate) preempted: Option<(GrantId, Time)>,
}

/// Where a request stands in the queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Place {
    pub(crate) tier: Tier,
    pub(crate) account: AccountId,
    pub(crate) class: ClassId,
    /// Orders the requests of a class: earliest first.
    pub(crate) order: Time,
}

impl Place {
    pub(crate) fn tier_class(&self) -> TierClass {
        TierClass { tier: self.tier, class: self.class }
    }
}

/// A line of requests, in the order in which they are served.
type Line = BTreeSet<(Time, u64, WaiterKey)>;

/// The waiting requests: tiers in order, client accounts in turn, classes in turn, then the
/// earliest deadline.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiters: SlotMap<WaiterKey, (u64, Waiter)>,
    tiers: BTreeMap<Tier, TierQueue>,
    classes: BTreeMap<TierClass, ClassQueue>,
    deadlines: BTreeSet<(Time, WaiterKey)>,
    arrivals: u64,
}

#[derive(Debug, Default)]
struct TierQueue {
    accounts: Fair<AccountId>,
    lines: HashMap<AccountId, AccountQueue>,
    by_len: BTreeSet<(usize, AccountId)>,
    len: usize,
}

#[derive(Debug, Default)]
struct AccountQueue {
    classes: Fair<ClassId>,
    lines: HashMap<ClassId, Line>,
    arrivals: BTreeSet<(u64, WaiterKey)>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    accounts: Fair<AccountId>,
    len: usize,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of waiting requests beyond the first of each class, which may always
    /// wait: else a class could starve by being shed.
    pub(crate) fn surplus(&self) -> usize {
        self.waiters.len() - self.waiting_classes().count()
    }

    /// Returns a waiting request.
    pub(crate) fn get(&self, key: WaiterKey) -> Option<&Waiter> {
        self.waiters.get(key).map(|(_, waiter)| waiter)
    }

    /// Returns a waiting request, to note a preemption for it.
    pub(crate) fn get_mut(&mut self, key: WaiterKey) -> Option<&mut Waiter> {
        self.waiters.get_mut(key).map(|(_, waiter)| waiter)
    }

    /// Returns all waiting requests.
    pub(crate) fn keys(&self) -> impl Iterator<Item = WaiterKey> {
        self.waiters.keys()
    }

    /// Returns the classes that have waiting requests.
    pub(crate) fn waiting_classes(&self) -> impl Iterator<Item = TierClass> {
        self.classes.iter().filter(|(_, it)| it.len > 0).map(|(class, _)| *class)
    }

    /// Returns how many requests of a class wait.
    pub(crate) fn class_len(&self, class: TierClass) -> usize {
        self.classes.get(&class).map_or(0, |it| it.len)
    }

    /// Returns each tier that has waiting requests, highest first, with their number.
    pub(crate) fn tier_lens(&self) -> impl Iterator<Item = (Tier, usize)> {
        self.tiers.iter().filter(|(_, it)| it.len > 0).map(|(tier, it)| (*tier, it.len))
    }

    /// Returns how many requests of an account wait in a tier.
    pub(crate) fn account_len(&self, tier: Tier, account: AccountId) -> usize {
        let Some(queue) = self.tiers.get(&tier) else { return 0 };
        queue.lines.get(&account).map_or(0, |it| it.arrivals.len())
    }

    /// Returns how many accounts have requests that wait in a tier.
    pub(crate) fn accounts(&self, tier: Tier) -> usize {
        self.tiers.get(&tier).map_or(0, |it| it.accounts.len())
    }

    /// Returns the lowest tier that has waiting requests.
    pub(crate) fn lowest_tier(&self) -> Option<Tier> {
        self.tier_lens().last().map(|(tier, _)| tier)
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, waiter: Waiter) -> WaiterKey {
        let (place, deadline) = (waiter.place, waiter.deadline);
        self.arrivals += 1;
        let seq = self.arrivals;
        let key = self.waiters.insert((seq, waiter));
        self.deadlines.insert((deadline, key));
        self.tiers.entry(place.tier).or_default().push(place, seq, key);
        let class = self.classes.entry(place.tier_class()).or_default();
        class.accounts.activate(place.account);
        class.len += 1;
        key
    }

    /// Returns the request that is next by tier, account, class and deadline.
    pub(crate) fn next(&self) -> Option<WaiterKey> {
        let queue = self.tiers.values().find(|it| it.len > 0)?;
        queue.next()
    }

    /// Returns the request of a class that is next.
    pub(crate) fn next_of_class(&self, class: TierClass) -> Option<WaiterKey> {
        let account = self.classes.get(&class)?.accounts.next()?;
        let queue = self.tiers.get(&class.tier)?.lines.get(&account)?;
        queue.lines.get(&class.class)?.first().map(|it| it.2)
    }

    /// Removes a request that is served, and charges its account and class for it.
    pub(crate) fn serve(&mut self, key: WaiterKey, cost: u64, weight: u32) -> Option<Waiter> {
        let place = self.get(key)?.place;
        if let Some(queue) = self.tiers.get_mut(&place.tier) {
            queue.charge(place, cost, weight);
        }
        if let Some(class) = self.classes.get_mut(&place.tier_class()) {
            class.accounts.charge(place.account, cost, weight);
        }
        self.remove(key)
    }

    /// Removes a request that is not served.
    pub(crate) fn remove(&mut self, key: WaiterKey) -> Option<Waiter> {
        let (seq, waiter) = self.waiters.remove(key)?;
        let place = waiter.place;
        self.deadlines.remove(&(waiter.deadline, key));
        let class_gone = match self.tiers.get_mut(&place.tier) {
            Some(queue) => queue.remove(place, seq, key),
            None => true,
        };
        if let Some(class) = self.classes.get_mut(&place.tier_class()) {
            class.len -= 1;
            if class_gone {
                class.accounts.deactivate(place.account);
            }
        }
        Some(waiter)
    }

    /// Returns the request to shed: of the lowest tier, the newest of the account with the most
    /// waiting. The last request of a class is spared.
    pub(crate) fn victim(&self) -> Option<WaiterKey> {
        let spared = |key: &WaiterKey| {
            self.get(*key).is_none_or(|it| self.class_len(it.place.tier_class()) <= 1)
        };
        self.tiers.values().rev().find_map(|queue| queue.newest_first().find(|it| !spared(it)))
    }

    /// Returns the earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|it| it.0)
    }

    /// Returns a request whose deadline has passed.
    pub(crate) fn expired(&self, now: Time) -> Option<WaiterKey> {
        self.deadlines.first().filter(|it| it.0 <= now).map(|it| it.1)
    }
}

impl TierQueue {
    fn push(&mut self, place: Place, seq: u64, key: WaiterKey) {
        self.len += 1;
        self.accounts.activate(place.account);
        let queue = self.lines.entry(place.account).or_default();
        self.by_len.remove(&(queue.arrivals.len(), place.account));
        queue.arrivals.insert((seq, key));
        self.by_len.insert((queue.arrivals.len(), place.account));
        queue.classes.activate(place.class);
        queue.lines.entry(place.class).or_default().insert((place.order, seq, key));
    }

    fn next(&self) -> Option<WaiterKey> {
        let queue = self.lines.get(&self.accounts.next()?)?;
        queue.lines.get(&queue.classes.next()?)?.first().map(|it| it.2)
    }

    fn charge(&mut self, place: Place, cost: u64, weight: u32) {
        self.accounts.charge(place.account, cost, weight);
        if let Some(queue) = self.lines.get_mut(&place.account) {
            queue.classes.charge(place.class, cost, 1);
        }
    }

    /// Removes a request; returns whether it was the account's last of its class.
    fn remove(&mut self, place: Place, seq: u64, key: WaiterKey) -> bool {
        let Some(queue) = self.lines.get_mut(&place.account) else { return true };
        self.len -= 1;
        self.by_len.remove(&(queue.arrivals.len(), place.account));
        let class_gone = queue.remove(place, seq, key);
        let len = queue.arrivals.len();
        if len > 0 {
            self.by_len.insert((len, place.account));
        } else {
            self.lines.remove(&place.account);
            self.accounts.deactivate(place.account);
        }
        class_gone
    }

    fn newest_first(&self) -> impl Iterator<Item = WaiterKey> {
        self.by_len
            .iter()
            .rev()
            .filter_map(|(_, account)| self.lines.get(account))
            .flat_map(|queue| queue.arrivals.iter().rev().map(|it| it.1))
    }
}

impl AccountQueue {
    fn remove(&mut self, place: Place, seq: u64, key: WaiterKey) -> bool {
        self.arrivals.remove(&(seq, key));
        let Some(line) = self.lines.get_mut(&place.class) else { return true };
        line.remove(&(place.order, seq, key));
        if !line.is_empty() {
            return false;
        }
        self.lines.remove(&place.class);
        self.classes.deactivate(place.class);
        true
    }
}

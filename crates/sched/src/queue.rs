//! The waiting requests of a cell.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::{msg::Acquire, prelude::*};
use slotmap::{SlotMap, new_key_type};

use crate::{fair::FairOrder, starvation::TierClass};

new_key_type! {
    /// The key of a waiting request.
    pub(crate) struct WaiterKey;
}

#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub(crate) from: Peer,
    pub(crate) req: Acquire,
    pub(crate) position: Position,
    pub(crate) deadline: Time,
    /// The grant that was last preempted for this request, and when.
    pub(crate) preempted: Option<(GrantId, Time)>,
}

/// What orders a request in the queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Position {
    pub(crate) tier: Tier,
    pub(crate) account: AccountId,
    pub(crate) class: ClassId,
    /// Orders the requests of an account in a class, earliest first: the deadline, or the arrival
    /// under a policy without tiers.
    pub(crate) order: Time,
}

impl Position {
    pub(crate) fn tier_class(&self) -> TierClass {
        TierClass { tier: self.tier, class: self.class }
    }
}

/// The requests of an account in a class, in the order in which they are served: by
/// [`Position::order`], then by arrival.
type RequestQueue = BTreeSet<(Time, u64, WaiterKey)>;

/// The waiting requests: by tier, within a tier by fair order of the client accounts, within an
/// account by fair order of the classes, and within a class by deadline.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// The requests with their sequence numbers.
    waiters: SlotMap<WaiterKey, (u64, Waiter)>,
    tiers: BTreeMap<Tier, TierQueue>,
    classes: BTreeMap<TierClass, ClassQueue>,
    deadlines: BTreeSet<(Time, WaiterKey)>,
    /// The number of requests so far, which is the sequence number of the newest one.
    arrivals: u64,
}

/// The waiting requests of a tier.
#[derive(Debug, Default)]
struct TierQueue {
    accounts: FairOrder<AccountId>,
    queues: HashMap<AccountId, AccountQueue>,
    /// The accounts by their number of waiting requests.
    by_len: BTreeSet<(usize, AccountId)>,
    len: usize,
}

/// The waiting requests of an account in a tier.
#[derive(Debug, Default)]
struct AccountQueue {
    classes: FairOrder<ClassId>,
    queues: HashMap<ClassId, RequestQueue>,
    arrivals: BTreeSet<(u64, WaiterKey)>,
}

/// The accounts that have waiting requests in a class, to serve the class out of tier order.
#[derive(Debug, Default)]
struct ClassQueue {
    accounts: FairOrder<AccountId>,
    len: usize,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of waiting requests beyond the first of each class. The first one may
    /// always wait: otherwise shedding could starve a class.
    pub(crate) fn surplus(&self) -> usize {
        self.waiters.len() - self.waiting_classes().count()
    }

    pub(crate) fn get(&self, key: WaiterKey) -> Option<&Waiter> {
        self.waiters.get(key).map(|(_, waiter)| waiter)
    }

    /// Returns a waiting request, to record a preemption for it.
    pub(crate) fn get_mut(&mut self, key: WaiterKey) -> Option<&mut Waiter> {
        self.waiters.get_mut(key).map(|(_, waiter)| waiter)
    }

    /// Returns the keys of all waiting requests.
    pub(crate) fn keys(&self) -> impl Iterator<Item = WaiterKey> {
        self.waiters.keys()
    }

    /// Returns the classes that have waiting requests.
    pub(crate) fn waiting_classes(&self) -> impl Iterator<Item = TierClass> {
        self.classes.iter().filter(|(_, queue)| queue.len > 0).map(|(class, _)| *class)
    }

    /// Returns how many requests of a class wait.
    pub(crate) fn class_len(&self, class: TierClass) -> usize {
        self.classes.get(&class).map_or(0, |queue| queue.len)
    }

    /// Returns each tier that has waiting requests, highest first, with their number.
    pub(crate) fn tier_lens(&self) -> impl Iterator<Item = (Tier, usize)> {
        self.tiers.iter().filter(|(_, queue)| queue.len > 0).map(|(tier, queue)| (*tier, queue.len))
    }

    /// Returns how many requests of an account wait in a tier.
    pub(crate) fn account_len(&self, tier: Tier, account: AccountId) -> usize {
        let Some(queue) = self.tiers.get(&tier) else { return 0 };
        queue.queues.get(&account).map_or(0, |queue| queue.arrivals.len())
    }

    /// Returns how many accounts have requests that wait in a tier.
    pub(crate) fn accounts(&self, tier: Tier) -> usize {
        self.tiers.get(&tier).map_or(0, |queue| queue.accounts.len())
    }

    /// Returns the lowest tier that has waiting requests; none while no request waits.
    pub(crate) fn lowest_tier(&self) -> Option<Tier> {
        self.tier_lens().last().map(|(tier, _)| tier)
    }

    /// Adds a request as the newest one.
    pub(crate) fn push(&mut self, waiter: Waiter) -> WaiterKey {
        let (position, deadline) = (waiter.position, waiter.deadline);
        self.arrivals += 1;
        let seq = self.arrivals;
        let key = self.waiters.insert((seq, waiter));
        self.deadlines.insert((deadline, key));
        self.tiers.entry(position.tier).or_default().push(position, seq, key);
        let class = self.classes.entry(position.tier_class()).or_default();
        class.accounts.activate(position.account);
        class.len += 1;
        key
    }

    /// Returns the next request by tier, account, class and deadline; none while no request waits.
    pub(crate) fn next(&self) -> Option<WaiterKey> {
        let queue = self.tiers.values().find(|queue| queue.len > 0)?;
        queue.next()
    }

    /// Returns the next request of a class by account and deadline; none while none of it waits.
    pub(crate) fn next_of_class(&self, class: TierClass) -> Option<WaiterKey> {
        let account = self.classes.get(&class)?.accounts.next()?;
        let queue = self.tiers.get(&class.tier)?.queues.get(&account)?;
        queue.queues.get(&class.class)?.first().map(|entry| entry.2)
    }

    /// Removes a request that is dispatched, and charges its account and its class for it.
    pub(crate) fn serve(&mut self, key: WaiterKey, cost: u64, weight: u32) -> Option<Waiter> {
        let position = self.get(key)?.position;
        if let Some(queue) = self.tiers.get_mut(&position.tier) {
            queue.charge(position, cost, weight);
        }
        if let Some(class) = self.classes.get_mut(&position.tier_class()) {
            class.accounts.charge(position.account, cost, weight);
        }
        self.remove(key)
    }

    /// Removes a request without charging for it.
    pub(crate) fn remove(&mut self, key: WaiterKey) -> Option<Waiter> {
        let (seq, waiter) = self.waiters.remove(key)?;
        let position = waiter.position;
        self.deadlines.remove(&(waiter.deadline, key));
        let is_class_empty = match self.tiers.get_mut(&position.tier) {
            Some(queue) => queue.remove(position, seq, key),
            None => true,
        };
        if let Some(class) = self.classes.get_mut(&position.tier_class()) {
            class.len -= 1;
            if is_class_empty {
                class.accounts.deactivate(position.account);
            }
        }
        Some(waiter)
    }

    /// Returns the request to shed: of the lowest tier that has one, the newest request of the
    /// account with the most waiting. The only waiting request of a class is never shed. None if
    /// there is none to shed.
    pub(crate) fn victim(&self) -> Option<WaiterKey> {
        let is_last_of_class = |key: &WaiterKey| {
            self.get(*key).is_none_or(|waiter| self.class_len(waiter.position.tier_class()) <= 1)
        };
        self.tiers
            .values()
            .rev()
            .find_map(|queue| queue.shed_order().find(|key| !is_last_of_class(key)))
    }

    /// Returns the earliest deadline; none while no request waits.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|entry| entry.0)
    }

    /// Returns the request with the earliest deadline, if that has passed.
    pub(crate) fn expired(&self, now: Time) -> Option<WaiterKey> {
        self.deadlines.first().filter(|entry| entry.0 <= now).map(|entry| entry.1)
    }
}

impl TierQueue {
    fn push(&mut self, position: Position, seq: u64, key: WaiterKey) {
        self.len += 1;
        self.accounts.activate(position.account);
        let queue = self.queues.entry(position.account).or_default();
        self.by_len.remove(&(queue.arrivals.len(), position.account));
        queue.arrivals.insert((seq, key));
        self.by_len.insert((queue.arrivals.len(), position.account));
        queue.classes.activate(position.class);
        queue.queues.entry(position.class).or_default().insert((position.order, seq, key));
    }

    fn next(&self) -> Option<WaiterKey> {
        let queue = self.queues.get(&self.accounts.next()?)?;
        queue.queues.get(&queue.classes.next()?)?.first().map(|entry| entry.2)
    }

    fn charge(&mut self, position: Position, cost: u64, weight: u32) {
        self.accounts.charge(position.account, cost, weight);
        if let Some(queue) = self.queues.get_mut(&position.account) {
            queue.classes.charge(position.class, cost, 1);
        }
    }

    /// Removes a request; returns whether none of the account is left in its class.
    fn remove(&mut self, position: Position, seq: u64, key: WaiterKey) -> bool {
        let Some(queue) = self.queues.get_mut(&position.account) else { return true };
        self.len -= 1;
        self.by_len.remove(&(queue.arrivals.len(), position.account));
        let is_class_empty = queue.remove(position, seq, key);
        let len = queue.arrivals.len();
        if len > 0 {
            self.by_len.insert((len, position.account));
        } else {
            self.queues.remove(&position.account);
            self.accounts.deactivate(position.account);
        }
        is_class_empty
    }

    /// Returns the requests to shed in turn: those of the account with the most waiting first, and
    /// of each account the newest first.
    fn shed_order(&self) -> impl Iterator<Item = WaiterKey> {
        self.by_len
            .iter()
            .rev()
            .filter_map(|(_, account)| self.queues.get(account))
            .flat_map(|queue| queue.arrivals.iter().rev().map(|entry| entry.1))
    }
}

impl AccountQueue {
    /// Removes a request; returns whether none is left in its class.
    fn remove(&mut self, position: Position, seq: u64, key: WaiterKey) -> bool {
        self.arrivals.remove(&(seq, key));
        let Some(queue) = self.queues.get_mut(&position.class) else { return true };
        queue.remove(&(position.order, seq, key));
        if !queue.is_empty() {
            return false;
        }
        self.queues.remove(&position.class);
        self.classes.deactivate(position.class);
        true
    }
}

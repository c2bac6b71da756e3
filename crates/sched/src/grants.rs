//! Which instance holds the right to which attempt.

use std::collections::{BTreeMap, HashMap, HashSet};

use model::{msg::HeldGrant, prelude::*};

/// A grant that has not been released.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) held: HeldGrant,
    pub(crate) holder: Peer,
    /// The holder's ticket; none for a grant of a former owner.
    pub(crate) ticket: Option<TicketId>,
    /// When this owner gave the grant or learned of it.
    pub(crate) since: Time,
    /// The number of cold starts of the server before the grant; none for a grant of a former
    /// owner.
    pub(crate) cold_starts: Option<u64>,
    /// Whether it was preempted and has not been released yet.
    pub(crate) preempted: bool,
    /// Whether it went to a starving class, which exempts it from preemption.
    pub(crate) guaranteed: bool,
}

impl Grant {
    /// Returns whether a request of a higher tier may preempt it.
    pub(crate) fn is_preemptible(&self) -> bool {
        self.held.idempotent && !self.preempted && !self.guaranteed
    }
}

/// The grants of a cell.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    grants: HashMap<GrantId, Grant>,
    holders: HashMap<Peer, Holder>,
    /// The number of grants of each tier.
    tiers: BTreeMap<Tier, usize>,
}

#[derive(Debug)]
struct Holder {
    grants: HashSet<GrantId>,
    /// When its last message arrived.
    last_message: Time,
}

impl Grants {
    pub(crate) fn len(&self) -> usize {
        self.grants.len()
    }

    pub(crate) fn get(&self, id: GrantId) -> Option<&Grant> {
        self.grants.get(&id)
    }

    /// Returns a grant, to mark it as preempted.
    pub(crate) fn get_mut(&mut self, id: GrantId) -> Option<&mut Grant> {
        self.grants.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Grant> {
        self.grants.values()
    }

    /// Returns the instances that hold grants.
    pub(crate) fn holders(&self) -> impl Iterator<Item = Peer> {
        self.holders.keys().copied()
    }

    pub(crate) fn insert(&mut self, grant: Grant) {
        let id = grant.held.grant;
        let holder = Holder { grants: HashSet::new(), last_message: grant.since };
        self.holders.entry(grant.holder).or_insert(holder).grants.insert(id);
        *self.tiers.entry(grant.held.tier).or_default() += 1;
        self.grants.insert(id, grant);
    }

    pub(crate) fn remove(&mut self, id: GrantId) -> Option<Grant> {
        let grant = self.grants.remove(&id)?;
        if let Some(holder) = self.holders.get_mut(&grant.holder) {
            holder.grants.remove(&id);
            if holder.grants.is_empty() {
                self.holders.remove(&grant.holder);
            }
        }
        if let Some(count) = self.tiers.get_mut(&grant.held.tier) {
            *count -= 1;
        }
        Some(grant)
    }

    pub(crate) fn held_by(&self, holder: Peer) -> Vec<GrantId> {
        self.holders.get(&holder).into_iter().flat_map(|holder| &holder.grants).copied().collect()
    }

    /// Records that a message of an instance arrived.
    pub(crate) fn message_received(&mut self, now: Time, holder: Peer) {
        if let Some(holder) = self.holders.get_mut(&holder) {
            holder.last_message = now;
        }
    }

    /// Returns the holders whose last message is at least as old as `span`.
    pub(crate) fn silent_holders(&self, now: Time, span: Duration) -> Vec<Peer> {
        let silent =
            self.holders.iter().filter(|(_, holder)| now.since(holder.last_message) >= span);
        silent.map(|(peer, _)| *peer).collect()
    }

    /// Returns the lowest tier that has grants; none without any grant.
    pub(crate) fn lowest_tier(&self) -> Option<Tier> {
        self.tiers.iter().rev().find(|(_, count)| **count > 0).map(|(tier, _)| *tier)
    }
}

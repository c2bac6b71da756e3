//! Which instance holds the right to which attempt.

use std::collections::{BTreeMap, HashMap, HashSet};

use model::{msg::HeldGrant, prelude::*};

/// A grant that is not given back yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) held: HeldGrant,
    pub(crate) holder: Peer,
    /// The holder's ticket; none for a grant of a former owner.
    pub(crate) ticket: Option<TicketId>,
    pub(crate) since: Time,
    /// The server's cold starts before the grant; none for a grant of a former owner.
    pub(crate) epoch: Option<u64>,
    /// Whether it was asked back.
    pub(crate) preempted: bool,
    /// Whether it went to a starving class, and is not asked back.
    pub(crate) guaranteed: bool,
}

impl Grant {
    /// Returns whether it may be asked back for a request of a higher tier.
    pub(crate) fn is_preemptible(&self) -> bool {
        self.held.idempotent && !self.preempted && !self.guaranteed
    }
}

/// The grants of a cell.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    grants: HashMap<GrantId, Grant>,
    holders: HashMap<Peer, Holder>,
    tiers: BTreeMap<Tier, usize>,
}

#[derive(Debug)]
struct Holder {
    grants: HashSet<GrantId>,
    /// When it was heard last.
    heard: Time,
}

impl Grants {
    /// Returns the number of grants.
    pub(crate) fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns a grant.
    pub(crate) fn get(&self, id: GrantId) -> Option<&Grant> {
        self.grants.get(&id)
    }

    /// Returns a grant, to note that it is asked back.
    pub(crate) fn get_mut(&mut self, id: GrantId) -> Option<&mut Grant> {
        self.grants.get_mut(&id)
    }

    /// Returns all grants.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Grant> {
        self.grants.values()
    }

    /// Returns the holders of grants.
    pub(crate) fn holders(&self) -> impl Iterator<Item = Peer> {
        self.holders.keys().copied()
    }

    /// Adds a grant.
    pub(crate) fn insert(&mut self, grant: Grant) {
        let id = grant.held.grant;
        let holder = Holder { grants: HashSet::new(), heard: grant.since };
        self.holders.entry(grant.holder).or_insert(holder).grants.insert(id);
        *self.tiers.entry(grant.held.tier).or_default() += 1;
        self.grants.insert(id, grant);
    }

    /// Removes a grant.
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

    /// Returns the grants of a holder.
    pub(crate) fn held_by(&self, holder: Peer) -> Vec<GrantId> {
        self.holders.get(&holder).into_iter().flat_map(|it| &it.grants).copied().collect()
    }

    /// Notes a message of an instance.
    pub(crate) fn heard(&mut self, now: Time, holder: Peer) {
        if let Some(holder) = self.holders.get_mut(&holder) {
            holder.heard = now;
        }
    }

    /// Returns the holders that were not heard for as long as `span`.
    pub(crate) fn silent(&self, now: Time, span: Duration) -> Vec<Peer> {
        let silent = self.holders.iter().filter(|(_, it)| now.since(it.heard) >= span);
        silent.map(|(peer, _)| *peer).collect()
    }

    /// Returns the lowest tier that has grants.
    pub(crate) fn lowest_tier(&self) -> Option<Tier> {
        self.tiers.iter().rev().find(|(_, count)| **count > 0).map(|(tier, _)| *tier)
    }
}

//! The shards that this instance owns, and how ownership moves between instances.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;
use serde::Serialize;

use crate::{Members, Shard};

/// The shards that this instance owns or waits to take over.
#[derive(Clone, Debug, Default)]
pub struct OwnedShards {
    shards: BTreeMap<Shard, ShardState>,
    /// Shards that are waiting or being handed over: only these can change in [`Self::tick`].
    in_transition: BTreeSet<Shard>,
    /// The version of the instance list when the permit was lost; none while there is a permit.
    permit_lost_under: Option<Version>,
}

/// The state of a shard that this instance owns, or has owned and still uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum ShardState {
    /// The former owner may still use the shard.
    Waiting {
        /// When every permit that relies on an earlier list has ended.
        until: Time,
        /// The version of the list that made this instance the owner.
        list: Version,
    },
    /// This instance uses the shard.
    Active,
    /// Another instance owns the shard now. This one uses it until that one is known to be alive,
    /// or hands it over at once if it is shutting down itself.
    #[serde(rename = "ceding")]
    HandingOver {
        /// The owner by the instance list, which gets the state.
        to: InstanceId,
    },
}

/// A change in the set of shards that this instance uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// Use the shard from now on, without any state from its former owner.
    TakeOver(Shard),
    /// Stop using the shard and send its state to its new owner.
    HandOver {
        /// The shard, which is no longer in [`OwnedShards::active`].
        shard: Shard,
        /// The owner by the instance list, which gets the state.
        to: InstanceId,
    },
    /// Stop using the shard and discard its state.
    Discard(Shard),
}

impl OwnedShards {
    /// Returns whether this instance uses a shard. It may act on the shard only while
    /// [`Members::has_permit`] is true as well.
    pub fn is_active(&self, shard: Shard) -> bool {
        matches!(self.shards.get(&shard), Some(ShardState::Active | ShardState::HandingOver { .. }))
    }

    /// Returns the shards that this instance uses, whether or not it has a permit.
    pub fn active(&self) -> impl Iterator<Item = Shard> {
        let active =
            self.shards.iter().filter(|(_, state)| !matches!(state, ShardState::Waiting { .. }));
        active.map(|(shard, _)| *shard)
    }

    /// Returns the number of shards that wait to be taken over.
    pub fn waiting(&self) -> usize {
        self.shards.values().filter(|state| matches!(state, ShardState::Waiting { .. })).count()
    }

    /// Applies a change of the instance list or of `shards`, which holds all shards that this
    /// instance may own.
    pub fn refresh(
        &mut self,
        members: &Members,
        shards: impl IntoIterator<Item = Shard>,
    ) -> Vec<OwnershipChange> {
        let me = members.me().instance;
        let mut former = std::mem::take(&mut self.shards);
        let mut changes = Vec::new();
        for shard in shards {
            let owner = members.owner(shard);
            match (former.remove(&shard), owner) {
                (None, Some(owner)) if owner == me => {
                    self.shards.insert(shard, new_waiting(members));
                }
                (Some(ShardState::HandingOver { .. }), Some(owner)) if owner == me => {
                    self.shards.insert(shard, ShardState::Active);
                }
                (Some(state), Some(owner)) if owner == me => {
                    self.shards.insert(shard, state);
                }
                (Some(ShardState::Active | ShardState::HandingOver { .. }), Some(to)) => {
                    self.shards.insert(shard, ShardState::HandingOver { to });
                }
                (Some(ShardState::Active | ShardState::HandingOver { .. }), None) => {
                    changes.push(OwnershipChange::Discard(shard));
                }
                (Some(ShardState::Waiting { .. }), _) | (None, _) => {}
            }
        }
        let gone =
            former.into_iter().filter(|(_, state)| !matches!(state, ShardState::Waiting { .. }));
        changes.extend(gone.map(|(shard, _)| OwnershipChange::Discard(shard)));
        self.update_in_transition();
        changes
    }

    /// Completes takeovers and handovers that are due, and handles the loss and return of the
    /// permit. None is completed here while there is no permit.
    pub fn tick(&mut self, now: Time, members: &Members) -> Vec<OwnershipChange> {
        let mut changes = self.handle_permit_change(now, members);
        if self.permit_lost_under.is_some() {
            return changes;
        }
        let in_transition = std::mem::take(&mut self.in_transition);
        for shard in in_transition {
            match self.shards.get(&shard).copied() {
                Some(ShardState::Waiting { until, list })
                    if now >= until && members.is_confirmed(list) =>
                {
                    self.shards.insert(shard, ShardState::Active);
                    changes.push(OwnershipChange::TakeOver(shard));
                }
                Some(ShardState::HandingOver { to })
                    if members.is_leaving() || members.is_alive(now, to) =>
                {
                    self.shards.remove(&shard);
                    changes.push(OwnershipChange::HandOver { shard, to });
                }
                Some(ShardState::Waiting { .. } | ShardState::HandingOver { .. }) => {
                    self.in_transition.insert(shard);
                }
                Some(ShardState::Active) | None => {}
            }
        }
        changes
    }

    /// Starts to use a shard whose state arrived from its former owner. Returns false if this
    /// instance does not own the shard or uses it already: the state must be ignored then.
    pub fn accept_handover(&mut self, shard: Shard) -> bool {
        match self.shards.get_mut(&shard) {
            Some(state @ ShardState::Waiting { .. }) => {
                *state = ShardState::Active;
                self.in_transition.remove(&shard);
                true
            }
            _ => false,
        }
    }

    fn update_in_transition(&mut self) {
        let in_transition = self.shards.iter().filter(|(_, state)| **state != ShardState::Active);
        self.in_transition = in_transition.map(|(shard, _)| *shard).collect();
    }

    /// Handles the loss and return of the permit. If the list is the same on return, no other
    /// instance can have taken over the shards, and they stay in use. Otherwise their state is
    /// discarded and they have to be taken over again.
    fn handle_permit_change(&mut self, now: Time, members: &Members) -> Vec<OwnershipChange> {
        let has_permit = members.has_permit(now);
        let Some(list) = self.permit_lost_under else {
            if !has_permit {
                self.permit_lost_under = Some(members.list_version());
            }
            return Vec::new();
        };
        if !has_permit {
            return Vec::new();
        }
        self.permit_lost_under = None;
        if list == members.list_version() {
            return Vec::new();
        }
        let active: Vec<_> = self.active().collect();
        self.shards.values_mut().for_each(|state| *state = new_waiting(members));
        self.update_in_transition();
        active.into_iter().map(OwnershipChange::Discard).collect()
    }
}

/// Returns the state of a newly owned shard. A shard that is new under a list that has been in use
/// for long, such as that of a new client account, need not wait: no other instance can own it by
/// an earlier list.
fn new_waiting(members: &Members) -> ShardState {
    ShardState::Waiting { until: members.earlier_permits_end(), list: members.list_version() }
}

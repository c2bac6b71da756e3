//! The shards that this instance owns.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;
use serde::Serialize;

use crate::{Members, Shard};

/// The shards that this instance owns or waits to take over.
#[derive(Clone, Debug, Default)]
pub struct OwnedShards {
    holds: BTreeMap<Shard, Hold>,
    /// Shards whose takeover or cession is under way; only they need attention at each event.
    moving: BTreeSet<Shard>,
    /// The list's version when the permit was lost; none while it is held.
    lapsed: Option<Version>,
}

/// How far an ownership has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Hold {
    /// The former owner may still use the shard.
    Waiting {
        /// When every former permit has ended.
        until: Time,
        /// The list that made this instance the owner.
        list: Version,
    },
    /// This instance uses the shard.
    Active,
    /// Another instance owns the shard now; this one uses it until that one is heard.
    Ceding {
        /// The new owner.
        to: InstanceId,
    },
}

/// A change of what this instance uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The shard is used from now on; nothing is known of its past.
    TakeOver(Shard),
    /// The shard is not used any more, and its state goes to another instance.
    HandOver {
        /// The shard.
        shard: Shard,
        /// The new owner.
        to: InstanceId,
    },
    /// The shard is not used any more, and its state is worthless.
    Discard(Shard),
}

impl OwnedShards {
    /// Returns whether a shard is in use here. The caller must hold [`Members::has_permit`] as well.
    pub fn is_active(&self, shard: Shard) -> bool {
        matches!(self.holds.get(&shard), Some(Hold::Active | Hold::Ceding { .. }))
    }

    /// Returns the shards in use.
    pub fn active(&self) -> impl Iterator<Item = Shard> {
        let active = self.holds.iter().filter(|(_, it)| !matches!(it, Hold::Waiting { .. }));
        active.map(|(shard, _)| *shard)
    }

    /// Returns the number of shards that wait to be taken over.
    pub fn waiting(&self) -> usize {
        self.holds.values().filter(|it| matches!(it, Hold::Waiting { .. })).count()
    }

    /// Compares with what the list says, after the list or the set of shards changed.
    pub fn refresh(
        &mut self,
        members: &Members,
        shards: impl IntoIterator<Item = Shard>,
    ) -> Vec<OwnershipChange> {
        let me = members.me().instance;
        let mut former = std::mem::take(&mut self.holds);
        let mut shifts = Vec::new();
        for shard in shards {
            let owner = members.owner(shard);
            match (former.remove(&shard), owner) {
                (None, Some(owner)) if owner == me => {
                    self.holds.insert(shard, waiting(members));
                }
                (Some(Hold::Ceding { .. }), Some(owner)) if owner == me => {
                    self.holds.insert(shard, Hold::Active);
                }
                (Some(hold), Some(owner)) if owner == me => {
                    self.holds.insert(shard, hold);
                }
                (Some(Hold::Active | Hold::Ceding { .. }), Some(to)) => {
                    self.holds.insert(shard, Hold::Ceding { to });
                }
                (Some(Hold::Active | Hold::Ceding { .. }), None) => {
                    shifts.push(OwnershipChange::Discard(shard))
                }
                (Some(Hold::Waiting { .. }), _) | (None, _) => {}
            }
        }
        let gone = former.into_iter().filter(|(_, hold)| !matches!(hold, Hold::Waiting { .. }));
        shifts.extend(gone.map(|(shard, _)| OwnershipChange::Discard(shard)));
        self.note_moving();
        shifts
    }

    /// Advances takeovers and cessions, and follows the permit.
    pub fn tick(&mut self, now: Time, members: &Members) -> Vec<OwnershipChange> {
        let mut shifts = self.follow_permit(now, members);
        if self.lapsed.is_some() {
            return shifts;
        }
        let moving = std::mem::take(&mut self.moving);
        for shard in moving {
            match self.holds.get(&shard).copied() {
                Some(Hold::Waiting { until, list }) if now >= until && members.confirmed(list) => {
                    self.holds.insert(shard, Hold::Active);
                    shifts.push(OwnershipChange::TakeOver(shard));
                }
                Some(Hold::Ceding { to }) if members.is_leaving() || members.is_heard(now, to) => {
                    self.holds.remove(&shard);
                    shifts.push(OwnershipChange::HandOver { shard, to });
                }
                Some(Hold::Waiting { .. } | Hold::Ceding { .. }) => {
                    self.moving.insert(shard);
                }
                Some(Hold::Active) | None => {}
            }
        }
        shifts
    }

    /// Takes a shard that its former owner handed over. Returns whether it is in use now; if not,
    /// this instance does not own it, or used it already.
    pub fn accept_handover(&mut self, shard: Shard) -> bool {
        match self.holds.get_mut(&shard) {
            Some(hold @ Hold::Waiting { .. }) => {
                *hold = Hold::Active;
                self.moving.remove(&shard);
                true
            }
            _ => false,
        }
    }

    fn note_moving(&mut self) {
        let moving = self.holds.iter().filter(|(_, it)| **it != Hold::Active);
        self.moving = moving.map(|(shard, _)| *shard).collect();
    }

    /// While the permit is lost the shards rest. If the list did not change meanwhile, no other
    /// instance can have taken them over, and they go on; else they start anew.
    fn follow_permit(&mut self, now: Time, members: &Members) -> Vec<OwnershipChange> {
        let permit = members.has_permit(now);
        let Some(list) = self.lapsed else {
            if !permit {
                self.lapsed = Some(members.list_version());
            }
            return Vec::new();
        };
        if !permit {
            return Vec::new();
        }
        self.lapsed = None;
        if list == members.list_version() {
            return Vec::new();
        }
        let active: Vec<_> = self.active().collect();
        self.holds.values_mut().for_each(|hold| *hold = waiting(members));
        self.note_moving();
        active.into_iter().map(OwnershipChange::Discard).collect()
    }
}

/// A shard that comes up under a list that has been in use for long, such as that of a new client
/// account, need not wait: nobody else can own it by an earlier list.
fn waiting(members: &Members) -> Hold {
    Hold::Waiting { until: members.sole_from(), list: members.list_version() }
}

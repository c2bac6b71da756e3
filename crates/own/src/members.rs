//! The known instances of the fleet, heartbeats, and the permit to use shards.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{msg::Heartbeat, prelude::*};
use serde::Serialize;

use crate::{Shard, shard::rendezvous};

/// The most instances whose address is kept after they left the list: one for each instance of the
/// largest supported fleet.
const MAX_UNLISTED: usize = 340;

/// Instances that get a heartbeat in each round while the instance list can be read, so that the
/// cost does not grow with the fleet.
const GOSSIP_FANOUT: usize = 3;

/// The times that ownership depends on; they must be the same in the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTimes {
    /// How long a read of the list or an acknowledgement permits the use of shards, counted from
    /// when the read began or the heartbeat was sent.
    pub lease: Duration,
    /// How far replicas of the instance list may lag behind each other.
    pub list_lag: Duration,
    /// Added where durations on the clocks of two processes are compared.
    pub margin: Duration,
    /// The time between rounds of heartbeats.
    pub heartbeat: Duration,
}

impl OwnershipTimes {
    /// How long an instance waits before it takes over a shard that was not handed over to it. By
    /// then every replica of the list shows the change, and every permit from before it has ended.
    pub fn takeover(&self) -> Duration {
        self.list_lag + self.lease + self.margin
    }
}

/// An instance in the list.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// The availability zone, whose shards the instance may own.
    pub zone: ZoneId,
    /// The address at which other instances reach it.
    pub address: SocketAddr,
    /// Whether the list or the instance itself says that it is shutting down.
    pub leaving: bool,
    /// The incarnation that sent the last message; none before the first message.
    pub incarnation: Option<Incarnation>,
    /// When its last message arrived; none before the first one.
    pub heard_at: Option<Time>,
    /// The incarnation that announced its shutdown.
    #[serde(skip)]
    leaving_incarnation: Option<Incarnation>,
    /// Its last acknowledgement of a heartbeat.
    #[serde(skip)]
    last_ack: Option<Ack>,
    /// The heartbeats that were sent to it and not acknowledged, oldest first.
    #[serde(skip)]
    unacked: Vec<Sent>,
}

#[derive(Clone, Copy, Debug)]
struct Ack {
    /// When the acknowledged heartbeat was sent.
    sent_at: Time,
    /// The version of the instance list that the acknowledging instance had.
    list: Version,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    nonce: Nonce,
    at: Time,
}

/// A heartbeat to send now.
#[derive(Clone, Copy, Debug)]
pub struct DueHeartbeat {
    /// The instance whose acknowledgement is expected.
    pub to: InstanceId,
    /// The address of `to` in the instance list.
    pub address: SocketAddr,
    /// The nonce that its acknowledgement repeats.
    pub nonce: Nonce,
}

/// What changed with a message or a heartbeat from another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerUpdate {
    /// The sender restarted: the grants and requests of its former incarnation are void.
    pub restarted: bool,
    /// The set of instances that may own shards changed.
    pub owners_changed: bool,
}

/// The instances of the fleet as this one knows them, and the evidence for its permit.
#[derive(Clone, Debug)]
pub struct Members {
    me: Peer,
    zone: ZoneId,
    times: OwnershipTimes,
    /// The version of the list in use.
    list: Version,
    /// When this version of the list was first received.
    list_since: Time,
    /// The highest version of the list that any instance has reported.
    newest_list: Version,
    /// When the last read of the current list that showed this instance began.
    read_at: Option<Time>,
    leaving: bool,
    members: BTreeMap<InstanceId, Member>,
    /// The addresses of instances that are no longer listed. They may still serve requests and ask
    /// for tokens and grants.
    unlisted: BTreeMap<InstanceId, SocketAddr>,
    next_nonce: u64,
    next_round: Time,
    owners_epoch: u64,
}

impl Members {
    /// Starts with an empty list, version 0, and without a permit.
    pub fn new(me: Peer, zone: ZoneId, times: OwnershipTimes) -> Self {
        Self {
            me,
            zone,
            times,
            list: Version(0),
            list_since: Time::default(),
            newest_list: Version(0),
            read_at: None,
            leaving: false,
            members: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            next_nonce: 1,
            next_round: Time::default(),
            owners_epoch: 0,
        }
    }

    /// The id and the incarnation of this instance.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// The availability zone whose shards this instance may own.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// The times that were passed to [`Members::new`].
    pub fn times(&self) -> &OwnershipTimes {
        &self.times
    }

    /// The version of the list in use.
    pub fn list_version(&self) -> Version {
        self.list
    }

    /// When every permit of another instance that relies on a read of an earlier list has ended.
    pub fn earlier_permits_end(&self) -> Time {
        self.list_since + self.times.takeover()
    }

    /// Whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// A counter that grows whenever the results of [`Members::owner`] may change.
    pub fn owners_epoch(&self) -> u64 {
        self.owners_epoch
    }

    /// Marks this instance as shutting down. It owns no shards from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.owners_epoch += 1;
        if let Some(me) = self.members.get_mut(&self.me.instance) {
            me.leaving = true;
        }
    }

    /// All listed instances, this one included if it is listed.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// The listed instances other than this one.
    pub fn others(&self) -> impl Iterator<Item = (InstanceId, &Member)> {
        self.iter().filter(|(id, _)| *id != self.me.instance)
    }

    /// The address of an instance that is listed or was before; none for any other instance.
    pub fn address(&self, instance: InstanceId) -> Option<SocketAddr> {
        let listed = self.members.get(&instance).map(|member| member.address);
        listed.or_else(|| self.unlisted.get(&instance).copied())
    }

    /// Records a list that was read from the platform; the read began at `asked_at`. Returns
    /// whether the list is newer than the one in use.
    pub fn list_read(
        &mut self,
        now: Time,
        asked_at: Time,
        version: Version,
        list: Vec<ListEntry>,
    ) -> bool {
        let is_new = self.list_received(now, version, list);
        let is_current = version >= self.newest_list && version == self.list;
        let is_listed = self.members.contains_key(&self.me.instance);
        if is_current && is_listed {
            self.read_at = self.read_at.max(Some(asked_at));
        }
        is_new
    }

    /// Uses a list from any source, unless it is not newer than the one in use. Returns whether it
    /// is newer. It does not contribute to the permit, unlike [`Members::list_read`].
    pub fn list_received(&mut self, now: Time, version: Version, list: Vec<ListEntry>) -> bool {
        if version <= self.list {
            return false;
        }
        self.list = version;
        self.list_since = now;
        self.owners_epoch += 1;
        self.newest_list = self.newest_list.max(version);
        let mut former = std::mem::take(&mut self.members);
        for listed in list {
            let id = listed.instance;
            let mut member = former.remove(&id).unwrap_or_else(|| listed.member());
            member.zone = listed.zone;
            member.address = listed.address;
            member.leaving = listed.leaving
                || member.leaving_incarnation.is_some()
                    && member.leaving_incarnation == member.incarnation
                || id == self.me.instance && self.leaving;
            self.members.insert(id, member);
        }
        self.unlisted.extend(former.into_iter().map(|(id, member)| (id, member.address)));
        self.unlisted.retain(|id, _| !self.members.contains_key(id));
        while self.unlisted.len() > MAX_UNLISTED {
            self.unlisted.pop_first();
        }
        true
    }

    /// Records that a message from another instance of any kind arrived: its sender is alive.
    pub fn message_received(&mut self, now: Time, from: Peer) -> PeerUpdate {
        let Some(member) = self.members.get_mut(&from.instance) else {
            return PeerUpdate::default();
        };
        member.heard_at = Some(now);
        if member.incarnation == Some(from.incarnation) {
            return PeerUpdate::default();
        }
        let restarted = member.incarnation.is_some();
        member.incarnation = Some(from.incarnation);
        if restarted {
            member.last_ack = None;
            member.unacked.clear();
        }
        let owners_changed =
            restarted && member.leaving_incarnation.take().is_some() && member.leaving;
        if owners_changed {
            member.leaving = false;
            self.owners_epoch += 1;
        }
        PeerUpdate { restarted, owners_changed }
    }

    /// Records a heartbeat or an acknowledgement. The caller must have called
    /// [`Members::message_received`] for it before.
    pub fn heartbeat_received(&mut self, from: Peer, heartbeat: &Heartbeat) -> PeerUpdate {
        self.newest_list = self.newest_list.max(heartbeat.list);
        let Some(member) = self.members.get_mut(&from.instance) else {
            return PeerUpdate::default();
        };
        if heartbeat.ack
            && let Some(at) = member.unacked.iter().position(|sent| sent.nonce == heartbeat.nonce)
        {
            let sent_at = member.unacked[at].at;
            member.unacked.drain(..=at);
            member.last_ack = Some(Ack { sent_at, list: heartbeat.list });
        }
        let owners_changed = heartbeat.leaving && !member.leaving;
        if heartbeat.leaving {
            member.leaving = true;
            member.leaving_incarnation = Some(from.incarnation);
        }
        self.owners_epoch += u64::from(owners_changed);
        PeerUpdate { restarted: false, owners_changed }
    }

    /// Returns the heartbeats that are due now. `random` returns a random number below its
    /// argument.
    ///
    /// While the list can be read, a few random instances get one, so that the cost does not grow
    /// with the fleet. All instances get one while the list cannot be read, because the permit then
    /// depends on their acknowledgements, and while this instance waits to take over shards
    /// (`all`).
    pub fn due_heartbeats(
        &mut self,
        now: Time,
        all: bool,
        mut random: impl FnMut(usize) -> usize,
    ) -> Vec<DueHeartbeat> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + self.times.heartbeat;
        let mut others: Vec<_> = self.others().map(|(id, _)| id).collect();
        if !all && self.has_recent_list(now + self.times.lease / 2) {
            for i in 0..others.len().min(GOSSIP_FANOUT) {
                let j = i + random(others.len() - i);
                others.swap(i, j);
            }
            others.truncate(GOSSIP_FANOUT);
        }
        others.into_iter().filter_map(|id| self.new_heartbeat(now, id)).collect()
    }

    /// Returns heartbeats to all other instances, which announce a change at once.
    pub fn heartbeats_to_all(&mut self, now: Time) -> Vec<DueHeartbeat> {
        let others: Vec<_> = self.others().map(|(id, _)| id).collect();
        others.into_iter().filter_map(|id| self.new_heartbeat(now, id)).collect()
    }

    /// When the next round of heartbeats is due.
    pub fn next_wake(&self) -> Time {
        self.next_round
    }

    fn new_heartbeat(&mut self, now: Time, to: InstanceId) -> Option<DueHeartbeat> {
        let nonce = Nonce(self.next_nonce);
        self.next_nonce += 1;
        let lease = self.times.lease;
        let member = self.members.get_mut(&to)?;
        member.unacked.retain(|sent| now < sent.at + lease);
        member.unacked.push(Sent { nonce, at: now });
        Some(DueHeartbeat { to, address: member.address, nonce })
    }

    /// Returns the owner of a shard by the list in use: an instance of the shard's availability
    /// zone that is not leaving. None if the zone has no such instance.
    pub fn owner(&self, shard: Shard) -> Option<InstanceId> {
        let zone = shard.zone();
        let candidates = self.iter().filter(|(_, member)| member.zone == zone && !member.leaving);
        candidates.map(|(id, _)| id).max_by_key(|id| (shard.weight(*id), *id))
    }

    /// Returns the instances with the highest rendezvous weights for a key, at most `count`,
    /// highest first. Leaving instances are left out.
    pub fn preferred_instances(&self, key: u128, count: usize) -> Vec<InstanceId> {
        let [high, low] = [(key >> 64) as u64, key as u64];
        let mut ids: Vec<_> =
            self.iter().filter(|(_, member)| !member.leaving).map(|(id, _)| id).collect();
        ids.sort_by_key(|id| std::cmp::Reverse((rendezvous([3, high, low, id.0]), *id)));
        ids.truncate(count);
        ids
    }

    /// Returns whether this instance may use the shards that it owns.
    ///
    /// One of these must be true, within the last [`OwnershipTimes::lease`]:
    ///
    /// * a read of the newest known list showed this instance;
    /// * every other instance of its availability zone acknowledged a heartbeat, and there is one;
    /// * a majority of all instances, itself included, acknowledged a heartbeat.
    ///
    /// An acknowledgement counts only if its sender has no newer list. A takeover requires
    /// [`Members::is_confirmed`], whose acknowledgements have at least one sender in common with
    /// those of the second condition, and with those of the third: that sender has the newer list,
    /// and no longer counts for the former owner.
    pub fn has_permit(&self, now: Time) -> bool {
        self.has_recent_list(now) || self.has_zone_acks(now) || self.has_majority_acks(now)
    }

    fn has_recent_list(&self, now: Time) -> bool {
        let is_listed = self.members.contains_key(&self.me.instance);
        let is_current = self.list >= self.newest_list;
        let is_fresh = self.read_at.is_some_and(|at| now < at + self.times.lease);
        is_listed && is_current && is_fresh
    }

    fn has_zone_acks(&self, now: Time) -> bool {
        let mut peers = self.zone_peers().peekable();
        let is_listed = self.members.contains_key(&self.me.instance);
        is_listed && peers.peek().is_some() && peers.all(|peer| self.ack_counts(now, peer))
    }

    fn has_majority_acks(&self, now: Time) -> bool {
        let is_listed = self.members.contains_key(&self.me.instance);
        let acks = self.others().filter(|(_, member)| self.ack_counts(now, member)).count();
        is_listed && 2 * (acks + 1) > self.members.len()
    }

    fn ack_counts(&self, now: Time, member: &Member) -> bool {
        let ack = member.last_ack.filter(|ack| ack.list <= self.list);
        ack.is_some_and(|ack| now < ack.sent_at + self.times.lease)
    }

    /// Returns whether no other instance can have a permit by acknowledgements under a list before
    /// `version`: a majority of all instances, and every other instance of this one's availability
    /// zone, acknowledged a heartbeat and had that version or a newer one.
    pub fn is_confirmed(&self, version: Version) -> bool {
        let has_acked = |member: &Member| member.last_ack.is_some_and(|ack| ack.list >= version);
        let count = self.others().filter(|(_, member)| has_acked(member)).count();
        2 * (count + 1) > self.members.len() && self.zone_peers().all(has_acked)
    }

    /// Returns whether a message of an instance arrived within the last [`OwnershipTimes::lease`].
    pub fn is_alive(&self, now: Time, instance: InstanceId) -> bool {
        let heard_at = self.members.get(&instance).and_then(|member| member.heard_at);
        heard_at.is_some_and(|at| now < at + self.times.lease)
    }

    /// Returns whether all other listed instances have acknowledged a heartbeat.
    pub fn all_acked(&self) -> bool {
        self.others().all(|(_, member)| member.last_ack.is_some())
    }

    fn zone_peers(&self) -> impl Iterator<Item = &Member> {
        let members = self.others().map(|(_, member)| member);
        members.filter(|member| member.zone == self.zone && !member.leaving)
    }
}

/// An entry of the instance list.
#[derive(Clone, Copy, Debug)]
pub struct ListEntry {
    /// The id that belongs to its name in the list.
    pub instance: InstanceId,
    /// The availability zone, whose shards it may own.
    pub zone: ZoneId,
    /// The address at which other instances reach it.
    pub address: SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
}

impl ListEntry {
    fn member(&self) -> Member {
        Member {
            zone: self.zone,
            address: self.address,
            leaving: self.leaving,
            incarnation: None,
            heard_at: None,
            leaving_incarnation: None,
            last_ack: None,
            unacked: Vec::new(),
        }
    }
}

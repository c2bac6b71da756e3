//! The instances of the fleet as this one knows them.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{msg::Heartbeat, prelude::*};
use serde::Serialize;

use crate::{Shard, shard::rendezvous};

/// Instances that are remembered after they left the list: the size that the project is designed
/// for.
const MAX_UNLISTED: usize = 340;

/// Instances that get a heartbeat in each round while the instance list can be read.
const GOSSIP_FANOUT: usize = 3;

/// The times that ownership depends on; the same in the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTimes {
    /// For how long a read of the list or a round of acknowledgements permits to own shards.
    pub lease: Duration,
    /// How far replicas of the instance list lag behind each other.
    pub list_lag: Duration,
    /// Added wherever two processes' clocks are compared.
    pub margin: Duration,
    /// Between rounds of heartbeats.
    pub heartbeat: Duration,
}

impl OwnershipTimes {
    /// How long an instance waits before it takes over a shard that nobody handed to it: by then
    /// every replica of the list shows the change, and every permit from before has ended.
    pub fn takeover(&self) -> Duration {
        self.list_lag + self.lease + self.margin
    }
}

/// An instance in the list.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// The availability zone.
    pub zone: ZoneId,
    /// The address for other instances.
    pub address: SocketAddr,
    /// Whether the list or the instance itself says that it is shutting down.
    pub leaving: bool,
    /// The run that was heard of last.
    pub incarnation: Option<Incarnation>,
    /// When it was heard last.
    pub heard_at: Option<Time>,
    /// The run that said it is shutting down.
    #[serde(skip)]
    left: Option<Incarnation>,
    /// The last heartbeat that it acknowledged.
    #[serde(skip)]
    acked: Option<Ack>,
    /// The heartbeats sent to it and not acknowledged, oldest first.
    #[serde(skip)]
    sent: Vec<Sent>,
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

/// A heartbeat that is due.
#[derive(Clone, Copy, Debug)]
pub struct DueHeartbeat {
    /// The receiver.
    pub to: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// The heartbeat's nonce.
    pub nonce: Nonce,
}

/// What a heartbeat told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// The sender runs anew: what its former run held is gone.
    pub restarted: bool,
    /// The set of instances that may own shards changed.
    pub owners_changed: bool,
}

/// The instances of the fleet as this one knows them.
#[derive(Clone, Debug)]
pub struct Members {
    me: Peer,
    zone: ZoneId,
    times: OwnershipTimes,
    list: Version,
    /// When this version of the list was seen first.
    list_since: Time,
    /// The highest version of the list that any instance said it has.
    newest_list: Version,
    /// When the last read that showed this instance began.
    read_at: Option<Time>,
    leaving: bool,
    members: BTreeMap<InstanceId, Member>,
    /// Where instances were that the list does not show any more. They may serve on and ask for
    /// tokens and grants.
    unlisted: BTreeMap<InstanceId, SocketAddr>,
    next_nonce: u64,
    next_round: Time,
    owners_epoch: u64,
}

impl Members {
    /// Starts with no instance but this one known.
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

    /// This instance.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// This instance's availability zone.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// The times that ownership depends on.
    pub fn times(&self) -> &OwnershipTimes {
        &self.times
    }

    /// The version of the list in use.
    pub fn list_version(&self) -> Version {
        self.list
    }

    /// When every permit that relied on a read of an earlier list has ended.
    pub fn sole_from(&self) -> Time {
        self.list_since + self.times.takeover()
    }

    /// Whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// A number that grows whenever [`Members::owner`] may answer differently than before.
    pub fn owners_epoch(&self) -> u64 {
        self.owners_epoch
    }

    /// Marks this instance as shutting down; it owns nothing from now on.
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

    /// The address of an instance that is listed, or was.
    pub fn address(&self, instance: InstanceId) -> Option<SocketAddr> {
        let listed = self.members.get(&instance).map(|it| it.address);
        listed.or_else(|| self.unlisted.get(&instance).copied())
    }

    /// Takes a list that was read from the platform; the read began at `asked_at`. Returns whether
    /// the list is new.
    pub fn list_read(
        &mut self,
        now: Time,
        asked_at: Time,
        version: Version,
        list: Vec<ListEntry>,
    ) -> bool {
        let is_new = self.list_received(now, version, list);
        let is_current = version >= self.newest_list && version == self.list;
        let shows_me = self.members.contains_key(&self.me.instance);
        if is_current && shows_me {
            self.read_at = self.read_at.max(Some(asked_at));
        }
        is_new
    }

    /// Takes a list from wherever it came. Returns whether it is newer than the one in use.
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
                || member.left.is_some() && member.left == member.incarnation
                || id == self.me.instance && self.leaving;
            self.members.insert(id, member);
        }
        self.unlisted.extend(former.into_iter().map(|(id, it)| (id, it.address)));
        self.unlisted.retain(|id, _| !self.members.contains_key(id));
        while self.unlisted.len() > MAX_UNLISTED {
            self.unlisted.pop_first();
        }
        true
    }

    /// Takes a message's sender: any message is a sign of life.
    pub fn message_received(&mut self, now: Time, from: Peer) -> Heard {
        let Some(member) = self.members.get_mut(&from.instance) else { return Heard::default() };
        member.heard_at = Some(now);
        if member.incarnation == Some(from.incarnation) {
            return Heard::default();
        }
        let restarted = member.incarnation.is_some();
        member.incarnation = Some(from.incarnation);
        if restarted {
            member.acked = None;
            member.sent.clear();
        }
        let owners_changed = restarted && member.left.take().is_some() && member.leaving;
        if owners_changed {
            member.leaving = false;
            self.owners_epoch += 1;
        }
        Heard { restarted, owners_changed }
    }

    /// Takes a heartbeat, after [`Members::message_received`].
    pub fn heartbeat_received(&mut self, from: Peer, beat: &Heartbeat) -> Heard {
        self.newest_list = self.newest_list.max(beat.list);
        let Some(member) = self.members.get_mut(&from.instance) else { return Heard::default() };
        if beat.ack
            && let Some(at) = member.sent.iter().position(|it| it.nonce == beat.nonce)
        {
            let sent_at = member.sent[at].at;
            member.sent.drain(..=at);
            member.acked = Some(Ack { sent_at, list: beat.list });
        }
        let owners_changed = beat.leaving && !member.leaving;
        if beat.leaving {
            member.leaving = true;
            member.left = Some(from.incarnation);
        }
        self.owners_epoch += u64::from(owners_changed);
        Heard { restarted: false, owners_changed }
    }

    /// Returns the heartbeats that are due. `random` draws numbers below its argument.
    ///
    /// While the list can be read, a few instances get one, so that the cost does not grow with
    /// the fleet. Otherwise, and while this instance waits to take shards over (`all`), the permit
    /// depends on the acknowledgements of all.
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
        if !all && self.reads_list(now + self.times.lease / 2) {
            for i in 0..others.len().min(GOSSIP_FANOUT) {
                let j = i + random(others.len() - i);
                others.swap(i, j);
            }
            others.truncate(GOSSIP_FANOUT);
        }
        others.into_iter().filter_map(|id| self.send_beat(now, id)).collect()
    }

    /// Makes heartbeats to all other instances at once, to tell them of a change.
    pub fn heartbeats_to_all(&mut self, now: Time) -> Vec<DueHeartbeat> {
        let others: Vec<_> = self.others().map(|(id, _)| id).collect();
        others.into_iter().filter_map(|id| self.send_beat(now, id)).collect()
    }

    /// When the next round of heartbeats is due.
    pub fn next_wake(&self) -> Time {
        self.next_round
    }

    fn send_beat(&mut self, now: Time, to: InstanceId) -> Option<DueHeartbeat> {
        let nonce = Nonce(self.next_nonce);
        self.next_nonce += 1;
        let lease = self.times.lease;
        let member = self.members.get_mut(&to)?;
        member.sent.retain(|it| now < it.at + lease);
        member.sent.push(Sent { nonce, at: now });
        Some(DueHeartbeat { to, address: member.address, nonce })
    }

    /// Returns the owner of a shard by the list in use: an instance of the shard's availability
    /// zone that does not leave.
    pub fn owner(&self, shard: Shard) -> Option<InstanceId> {
        let zone = shard.zone();
        let candidates = self.iter().filter(|(_, it)| it.zone == zone && !it.leaving);
        candidates.map(|(id, _)| id).max_by_key(|id| (shard.weight(*id), *id))
    }

    /// Returns the instances that come first for a key, at most `count`, the first one first.
    pub fn preferred_instances(&self, key: u128, count: usize) -> Vec<InstanceId> {
        let [high, low] = [(key >> 64) as u64, key as u64];
        let mut ids: Vec<_> = self.iter().filter(|(_, it)| !it.leaving).map(|(id, _)| id).collect();
        ids.sort_by_key(|id| std::cmp::Reverse((rendezvous([3, high, low, id.0]), *id)));
        ids.truncate(count);
        ids
    }

    /// Returns whether this instance may use the shards that it owns.
    ///
    /// One of three must hold, each within the lease:
    ///
    /// * a read of the newest known list showed this instance;
    /// * every other instance of its availability zone acknowledged it, and there is one;
    /// * a majority of all instances, itself included, acknowledged it.
    ///
    /// An acknowledgement counts only if its sender has no newer list. [`Members::confirmed`] is
    /// the other side: it shares at least one instance with each of the last two.
    pub fn has_permit(&self, now: Time) -> bool {
        self.reads_list(now) || self.zone_acks(now) || self.majority_acks(now)
    }

    fn reads_list(&self, now: Time) -> bool {
        let shows_me = self.members.contains_key(&self.me.instance);
        let is_current = self.list >= self.newest_list;
        let is_fresh = self.read_at.is_some_and(|at| now < at + self.times.lease);
        shows_me && is_current && is_fresh
    }

    fn zone_acks(&self, now: Time) -> bool {
        let mut peers = self.zone_peers().peekable();
        let shows_me = self.members.contains_key(&self.me.instance);
        shows_me && peers.peek().is_some() && peers.all(|it| self.permits(now, it))
    }

    fn majority_acks(&self, now: Time) -> bool {
        let shows_me = self.members.contains_key(&self.me.instance);
        let acks = self.others().filter(|(_, it)| self.permits(now, it)).count();
        shows_me && 2 * (acks + 1) > self.members.len()
    }

    fn permits(&self, now: Time, member: &Member) -> bool {
        let ack = member.acked.filter(|it| it.list <= self.list);
        ack.is_some_and(|it| now < it.sent_at + self.times.lease)
    }

    /// Returns whether it is known that no other instance relies on acknowledgements under a list
    /// before `version`: a majority of all instances, and every other instance of this one's
    /// availability zone, acknowledged a heartbeat and had that list or a newer one.
    pub fn confirmed(&self, version: Version) -> bool {
        let knows = |it: &Member| it.acked.is_some_and(|ack| ack.list >= version);
        let count = self.others().filter(|(_, it)| knows(it)).count();
        2 * (count + 1) > self.members.len() && self.zone_peers().all(knows)
    }

    /// Returns whether an instance was heard within the lease.
    pub fn is_heard(&self, now: Time, instance: InstanceId) -> bool {
        let heard_at = self.members.get(&instance).and_then(|it| it.heard_at);
        heard_at.is_some_and(|at| now < at + self.times.lease)
    }

    /// Returns whether all other listed instances acknowledged a heartbeat.
    pub fn all_acked(&self) -> bool {
        self.others().all(|(_, it)| it.acked.is_some())
    }

    fn zone_peers(&self) -> impl Iterator<Item = &Member> {
        let members = self.others().map(|(_, it)| it);
        members.filter(|it| it.zone == self.zone && !it.leaving)
    }
}

/// An entry of the instance list.
#[derive(Clone, Copy, Debug)]
pub struct ListEntry {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address for other instances.
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
            left: None,
            acked: None,
            sent: Vec::new(),
        }
    }
}

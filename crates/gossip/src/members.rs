//! The known members, and which packets are to be sent.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
};

use model::prelude::*;
use rand::{
    RngExt as _, SeedableRng as _,
    seq::{IndexedRandom as _, IteratorRandom as _},
};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Candidates, Load, Member, OutgoingPacket, Packet, PeerUpdate, StreamTag, ViewStatus,
    ZoneMembers, ZoneTag,
    peer::{Peer, available, order_hash},
    recipients::{self, FULL_MESH_PEERS},
};

/// Time between rounds of packets in a small fleet, short enough to report a load several times
/// while a request runs.
const SMALL_FLEET_INTERVAL: Duration = Duration::from_millis(150);
/// Time between rounds of packets in a larger fleet.
const LARGE_FLEET_INTERVAL: Duration = Duration::from_millis(400);
/// Other members in a packet, some 16 bytes each. In a fleet of 340 an instance receives an entry
/// of each member every 1.5 s on average.
const MAX_OTHERS: usize = 12;
/// A member whose heartbeat counter does not grow for this time is considered dead. It is the
/// `contactMs` of the deployments.
const DEAD_AFTER: Duration = Duration::from_millis(3_000);
/// Added to [`DEAD_AFTER`] for each known peer, since a packet holds only a sample of the members.
/// In a fleet of 340 the longest time within a minute without news of an alive member is 22 s.
const DEAD_AFTER_PER_PEER: Duration = Duration::from_millis(80);
/// How long a dead member is still counted by [`Members::possible_count`]: it may be cut off by a
/// network partition and still run.
const DEAD_RETENTION: Duration = Duration::from_secs(120);
/// Mean time between extra packets to a seed and to a dead member.
const SEED_INTERVAL: Duration = Duration::from_millis(600);
/// Rounds of packets whose send times are kept, to bound the staleness of peers' views.
const MAX_SEND_TIMES: usize = 64;
/// Upper bound on the peers that are kept: three times the size that fleets are designed for.
const MAX_PEERS: usize = 1_024;

/// All known members of the fleet.
#[derive(Debug)]
pub struct Members {
    /// The entry of this instance.
    own: Member,
    /// Where it runs; `None` if that is not known.
    zone: Option<ZoneTag>,
    seeds: Vec<SocketAddrV4>,
    /// Without this instance, by address.
    peers: BTreeMap<SocketAddrV4, Peer>,
    rng: ChaCha8Rng,
    /// The sequence number of the last round of packets.
    sequence: u32,
    /// The last rounds of packets: sequence number and time.
    send_times: VecDeque<(u32, Time)>,
    next_tick: Time,
    next_seed_packet: Time,
}

impl Members {
    /// Starts without any known peer; the first packets go to `seeds`. `seed` seeds the random
    /// choices.
    pub fn new(now: Time, own: Member, seeds: &[SocketAddrV4], seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The start is random: an echo of a previous run's packet must not match one of this run.
        let sequence = rng.random();
        let mut members = Self {
            own,
            zone: None,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            rng,
            sequence,
            send_times: VecDeque::new(),
            next_tick: now,
            next_seed_packet: now,
        };
        members.set_seeds(seeds);
        members
    }

    /// Sets the zone of this instance. In a large fleet most packets then stay within it.
    pub fn in_zone(mut self, zone: ZoneTag) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Replaces the addresses of the seeds. The own address may be among them.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.iter().copied().filter(|it| *it != self.own.address).collect();
    }

    /// Returns whether any seed is another instance.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Marks this instance as shutting down in all further packets.
    pub fn leave(&mut self) {
        self.own.is_leaving = true;
    }

    /// Returns how many instances are alive, this one included.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|it| !it.is_dead).count()
    }

    /// Returns how many instances may be running, this one included: alive members, and members
    /// that were considered dead recently but may only be cut off.
    pub fn possible_count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Returns the addresses of all instances that may be running, this one last.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.peers.keys().copied().chain([self.own.address])
    }

    /// Returns whether the fleet is so large that packets go only to a sample of the peers.
    pub fn is_large(&self) -> bool {
        self.peers.len() > FULL_MESH_PEERS
    }

    /// Returns how many alive members that are not leaving precede this one. The order is the same
    /// at all instances that know the same members.
    pub fn rank(&self) -> usize {
        let own = order_hash(&self.own.address);
        available(&self.peers).filter(|it| order_hash(it) < own).count()
    }

    /// Returns the members that this one may follow in the broadcast tree.
    pub fn candidates(&self) -> Candidates {
        Candidates::new(self.own.address, self.zone, &self.peers)
    }

    /// Returns whether a member runs in the zone of this instance; `None` if one of the two zones is
    /// not known.
    pub fn is_in_own_zone(&self, address: SocketAddrV4) -> Option<bool> {
        let zone = self.peers.get(&address)?.zone?;
        Some(zone == self.zone?)
    }

    /// Returns an alive member that is not leaving, chosen at random.
    pub fn any_available(&mut self) -> Option<SocketAddrV4> {
        let Self { peers, rng, .. } = self;
        available(peers).choose(rng)
    }

    /// Returns the other alive members that keep the origin of a stream. By rendezvous hashing, instances that
    /// know the same members choose the same `count` ones, of which this one may be one. The first choice
    /// is the first.
    pub fn holders(&self, stream: StreamTag, count: usize) -> Vec<SocketAddrV4> {
        let rank = |it: &SocketAddrV4| {
            let [a, b, c, d] = it.ip().octets();
            let [high, low] = it.port().to_be_bytes();
            xxh3_64_with_seed(&[a, b, c, d, high, low], stream.0)
        };
        let own = self.own.address;
        let members = available(&self.peers).chain([own]);
        let mut ranked: Vec<_> = members.map(|it| (rank(&it), it)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let first = ranked.into_iter().take(count).map(|it| it.1);
        first.filter(|it| *it != own).collect()
    }

    /// Returns the addresses of the seeds, without this instance's.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Returns when [`Members::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.next_tick
    }

    /// Processes a packet. Returns `None` if this instance sent it itself.
    pub fn receive(&mut self, now: Time, packet: Packet) -> Option<PeerUpdate> {
        let sender = packet.sender;
        if sender.address == self.own.address {
            return None;
        }
        let is_new = self.merge(now, sender, true);
        for member in &packet.others {
            self.merge(now, *member, false);
        }
        self.learn_zones(&packet);
        if let Some(peer) = self.peers.get_mut(&sender.address) {
            let is_newer =
                peer.last_sequence.is_none_or(|it| packet.sequence.wrapping_sub(it) as i32 > 0);
            if is_newer || is_new {
                peer.last_sequence = Some(packet.sequence);
            }
        }
        let as_of = self.view_as_of(packet.echo, packet.view_status.staleness_ms);
        Some(PeerUpdate {
            sender,
            is_new,
            view_status: packet.view_status,
            as_of,
            loads: packet.loads,
            ranked_loads: packet.ranked_loads,
            evidence: packet.evidence,
            leaving: packet.leaving,
            limits: packet.limits,
        })
    }

    /// Returns the packets that are due, and the members that have been considered dead since the
    /// last call.
    pub fn tick(
        &mut self,
        now: Time,
        view_status: ViewStatus,
        loads: &[Load],
    ) -> (Vec<OutgoingPacket>, Vec<Member>) {
        let died = self.expire(now);
        if now < self.next_tick {
            return (Vec::new(), died);
        }
        let is_large = self.is_large();
        self.next_tick = now + if is_large { LARGE_FLEET_INTERVAL } else { SMALL_FLEET_INTERVAL };
        self.own.heartbeat = self.own.heartbeat.wrapping_add(1);
        self.sequence = self.sequence.wrapping_add(1);
        self.send_times.push_back((self.sequence, now));
        if self.send_times.len() > MAX_SEND_TIMES {
            self.send_times.pop_front();
        }
        let packet = Packet::new(self.own, self.sequence, view_status, loads);
        let to = self.recipients(now);
        (to.into_iter().map(|to| self.address_packet(to, packet.clone())).collect(), died)
    }

    /// Merges an entry into the known members and returns whether its member was unknown or dead,
    /// or has restarted. `is_direct` says that the member itself sent the entry.
    fn merge(&mut self, now: Time, member: Member, is_direct: bool) -> bool {
        if member.address == self.own.address {
            return false;
        }
        let is_full = self.peers.len() >= MAX_PEERS;
        let Some(peer) = self.peers.get_mut(&member.address) else {
            if is_full || member.is_leaving {
                return false;
            }
            self.peers.insert(member.address, Peer::new(now, member));
            return true;
        };
        peer.update(now, member, is_direct)
    }

    /// Takes over the zones that a packet tells. Only the sender's own is trusted to be new.
    fn learn_zones(&mut self, packet: &Packet) {
        for (no, member) in [&packet.sender].into_iter().chain(&packet.others).enumerate() {
            let Some(zone) = ZoneMembers::zone_of(&packet.zones, no) else { continue };
            let Some(peer) = self.peers.get_mut(&member.address) else { continue };
            if no == 0 || peer.zone.is_none() {
                peer.zone = Some(zone);
            }
        }
    }

    /// Marks silent members as dead and returns them, and removes dead members that do not count
    /// any more.
    fn expire(&mut self, now: Time) -> Vec<Member> {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let timeout = DEAD_AFTER + DEAD_AFTER_PER_PEER * peers;
        let mut died = Vec::new();
        for peer in self.peers.values_mut() {
            if !peer.is_dead && now.since(peer.heartbeat_at) > timeout {
                peer.is_dead = true;
                died.push(peer.member);
            }
        }
        // A member that had announced its shutdown is no longer running.
        self.peers.retain(|_, it| {
            !it.is_dead || !it.member.is_leaving && now.since(it.heartbeat_at) < DEAD_RETENTION
        });
        died
    }

    /// Chooses the receivers of a round of packets: alive peers, and from time to time a seed and
    /// a dead member, which join or rejoin that way.
    fn recipients(&mut self, now: Time) -> Vec<SocketAddrV4> {
        let mut to = recipients::choose(self.zone, &self.peers, &mut self.rng);
        if now >= self.next_seed_packet {
            self.next_seed_packet = now + SEED_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
            let other_seeds: Vec<_> =
                self.seeds.iter().copied().filter(|it| !to.contains(it)).collect();
            let dead = self.peers.iter().filter(|it| it.1.is_dead).map(|it| *it.0);
            to.extend(other_seeds.choose(&mut self.rng).copied());
            to.extend(dead.choose(&mut self.rng));
            to.sort_unstable();
            to.dedup();
        }
        to
    }

    /// Completes a packet with the fields that depend on its receiver.
    fn address_packet(&mut self, to: SocketAddrV4, mut packet: Packet) -> OutgoingPacket {
        packet.echo = self.peers.get(&to).and_then(|it| it.last_sequence);
        let others = self.peers.values().filter(|it| !it.is_dead && it.member.address != to);
        let others = others.sample(&mut self.rng, MAX_OTHERS);
        packet.others = others.iter().map(|it| it.member).collect();
        // In a small fleet everybody gets every packet, whatever the zones.
        if self.is_large() {
            let zones = [self.zone].into_iter().chain(others.iter().map(|it| it.zone));
            packet.zones = ZoneMembers::group(zones);
        }
        OutgoingPacket { to, packet }
    }

    /// Returns a time at which the sender's view was up to date. The sender made its packet after
    /// this instance sent the packet that it echoes, so the staleness is subtracted from the time
    /// of that sending: however long either packet was under way, the view is never taken for
    /// fresher than it is.
    fn view_as_of(&self, echo: Option<u32>, staleness_ms: Option<u32>) -> Option<Time> {
        let (echo, staleness_ms) = (echo?, staleness_ms?);
        let sent_at = self.send_times.iter().find(|it| it.0 == echo)?.1;
        Some(sent_at - Duration::from_millis(u64::from(staleness_ms)))
    }
}

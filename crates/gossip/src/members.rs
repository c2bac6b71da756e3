//! Who is there.

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
use xxhash_rust::xxh3::xxh3_64;

use crate::{Load, Member, Packet, ViewStatus};

/// Up to this many peers each gets every packet; beyond it a random part does.
const FULL_MESH: usize = 12;
/// Peers that get a packet in a larger fleet. With [`LARGE_INTERVAL`] and 300 bytes a packet this
/// keeps to 10 KB/s an instance.
const FANOUT: usize = 8;
/// Time between packets in a small fleet: a load is told several times while a request runs.
const INTERVAL: Duration = Duration::from_millis(150);
/// Time between packets in a larger fleet.
const LARGE_INTERVAL: Duration = Duration::from_millis(400);
/// Cards of others in a packet, of some 16 bytes each: in a fleet of 340 each member is heard of
/// every 1.5 s on average.
const CARDS: usize = 12;
/// A member whose beat stands still for this time is taken for dead: `contactMs` of the sites.
const DEAD_AFTER: Duration = Duration::from_millis(3_000);
/// Added to [`DEAD_AFTER`] for each member, since cards take turns in packets: the longest silence
/// of a living member among 340 is 22 s in a minute.
const DEAD_AFTER_PER_MEMBER: Duration = Duration::from_millis(80);
/// How long a dead member counts among those that may exist: it may be cut off and go on.
const REMEMBERED: Duration = Duration::from_secs(120);
/// Time between two packets to a seed that does not answer.
const SEED_INTERVAL: Duration = Duration::from_millis(600);
/// Packets whose time of sending is kept to bound the age of what peers tell.
const KEPT_SENDS: usize = 64;
/// Members that are kept, three times the size that the project is designed for.
const MAX_MEMBERS: usize = 1_024;

/// A packet to be sent.
#[derive(Debug)]
pub struct OutgoingPacket {
    /// Where to.
    pub to: SocketAddrV4,
    /// What.
    pub packet: Packet,
}

/// What a packet told.
#[derive(Debug)]
pub struct PeerUpdate {
    /// The sender.
    pub sender: Member,
    /// Whether the sender was not known, or was taken for dead.
    pub is_new: bool,
    /// What the sender knows of the platform.
    pub view_status: ViewStatus,
    /// A time at which the sender's view was up to date, on this process's clock.
    pub as_of: Option<Time>,
    /// The sender's load at backend servers.
    pub loads: Vec<Load>,
}

/// All members that were heard of.
#[derive(Debug)]
pub struct Members {
    me: Member,
    seeds: Vec<SocketAddrV4>,
    peers: BTreeMap<SocketAddrV4, Peer>,
    rng: ChaCha8Rng,
    number: u32,
    sends: VecDeque<(u32, Time)>,
    next_tick: Time,
    next_seed: Time,
}

#[derive(Debug)]
struct Peer {
    card: Member,
    /// When its beat grew last.
    beaten_at: Time,
    /// The highest number of its packets that came here.
    number: Option<u32>,
    is_dead: bool,
}

impl Members {
    /// Starts with nobody known but the seeds' addresses.
    pub fn new(now: Time, me: Member, seeds: &[SocketAddrV4], seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // An echo of a former run's packet must not match one of this run's.
        let number = rng.random();
        let mut members = Self {
            me,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            rng,
            number,
            sends: VecDeque::new(),
            next_tick: now,
            next_seed: now,
        };
        members.set_seeds(seeds);
        members
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.iter().copied().filter(|it| *it != self.me.address).collect();
    }

    /// Tells others from now on that this instance is shutting down.
    pub fn leave(&mut self) {
        self.me.is_leaving = true;
    }

    /// Returns how many instances live, this one included.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|it| !it.is_dead).count()
    }

    /// Returns how many instances may run, this one included: those that live, and those that
    /// were lost not long ago and may only be cut off.
    pub fn possible_count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Returns the addresses of all instances that may run, this one included, in order.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.peers.keys().copied().chain([self.me.address])
    }

    /// Returns how many living members go before this one in an order on which all agree that know
    /// the same members.
    pub fn rank(&self) -> usize {
        let place = |it: &SocketAddrV4| xxh3_64(&it.ip().octets());
        let mine = place(&self.me.address);
        let living = self.peers.iter().filter(|it| !it.1.is_dead && !it.1.card.is_leaving);
        living.filter(|it| place(it.0) < mine).count()
    }

    /// Returns when [`Members::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.next_tick
    }

    /// Takes a packet; nothing if it is this instance's own.
    pub fn receive(&mut self, now: Time, packet: Packet) -> Option<PeerUpdate> {
        let sender = packet.sender;
        if sender.address == self.me.address {
            return None;
        }
        let is_new = self.note(now, sender, true);
        for card in &packet.others {
            self.note(now, *card, false);
        }
        if let Some(peer) = self.peers.get_mut(&sender.address) {
            let is_newer = peer.number.is_none_or(|it| packet.sequence.wrapping_sub(it) as i32 > 0);
            if is_newer || is_new {
                peer.number = Some(packet.sequence);
            }
        }
        let as_of = self.bound(packet.echo, packet.view_status.staleness_ms);
        Some(PeerUpdate {
            sender,
            is_new,
            view_status: packet.view_status,
            as_of,
            loads: packet.loads,
        })
    }

    /// Returns the packets that are due, and the members that died since the last call.
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
        let is_small = self.peers.len() <= FULL_MESH;
        self.next_tick = now + if is_small { INTERVAL } else { LARGE_INTERVAL };
        self.me.heartbeat = self.me.heartbeat.wrapping_add(1);
        self.number = self.number.wrapping_add(1);
        self.sends.push_back((self.number, now));
        if self.sends.len() > KEPT_SENDS {
            self.sends.pop_front();
        }
        let packet = Packet::new(self.me, self.number, view_status, loads);
        let to = self.recipients(now);
        (to.into_iter().map(|to| self.address_to(to, packet.clone())).collect(), died)
    }

    /// Notes a card and returns whether its member was not known to live.
    fn note(&mut self, now: Time, card: Member, is_direct: bool) -> bool {
        if card.address == self.me.address {
            return false;
        }
        let is_full = self.peers.len() >= MAX_MEMBERS;
        let Some(peer) = self.peers.get_mut(&card.address) else {
            if is_full || card.is_leaving {
                return false;
            }
            let peer = Peer { card, beaten_at: now, number: None, is_dead: false };
            self.peers.insert(card.address, peer);
            return true;
        };
        let is_same = peer.card.incarnation == card.incarnation;
        let has_beaten = is_same && card.heartbeat.wrapping_sub(peer.card.heartbeat) as i32 > 0;
        // Cards of a former run may go round for a while.
        let has_restarted = !is_same && is_direct;
        if !has_beaten && !has_restarted {
            return false;
        }
        if has_restarted {
            peer.number = None;
        }
        let was_dead = peer.is_dead;
        peer.card = card;
        peer.beaten_at = now;
        peer.is_dead = false;
        was_dead || has_restarted
    }

    fn expire(&mut self, now: Time) -> Vec<Member> {
        let members = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let timeout = DEAD_AFTER + DEAD_AFTER_PER_MEMBER * members;
        let mut died = Vec::new();
        for peer in self.peers.values_mut() {
            if !peer.is_dead && now.since(peer.beaten_at) > timeout {
                peer.is_dead = true;
                died.push(peer.card);
            }
        }
        // A member that left in order does not run any more.
        self.peers.retain(|_, it| {
            !it.is_dead || !it.card.is_leaving && now.since(it.beaten_at) < REMEMBERED
        });
        died
    }

    fn recipients(&mut self, now: Time) -> Vec<SocketAddrV4> {
        let living = self.peers.iter().filter(|it| !it.1.is_dead).map(|it| *it.0);
        let mut to: Vec<_> = if self.peers.len() <= FULL_MESH {
            living.collect()
        } else {
            living.sample(&mut self.rng, FANOUT)
        };
        if now >= self.next_seed {
            self.next_seed = now + SEED_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
            let unheard: Vec<_> =
                self.seeds.iter().copied().filter(|it| !to.contains(it)).collect();
            let lost = self.peers.iter().filter(|it| it.1.is_dead).map(|it| *it.0);
            to.extend(unheard.choose(&mut self.rng).copied());
            to.extend(lost.choose(&mut self.rng));
            to.sort_unstable();
            to.dedup();
        }
        to
    }

    fn address_to(&mut self, to: SocketAddrV4, mut packet: Packet) -> OutgoingPacket {
        packet.echo = self.peers.get(&to).and_then(|it| it.number);
        let others = self.peers.values().filter(|it| !it.is_dead && it.card.address != to);
        packet.others = others.map(|it| it.card).sample(&mut self.rng, CARDS);
        OutgoingPacket { to, packet }
    }

    /// Bounds when the sender's view was up to date: the packet was made after the packet that it
    /// echoes was sent from here, however long it was under way.
    fn bound(&self, echo: Option<u32>, staleness_ms: Option<u32>) -> Option<Time> {
        let (echo, staleness_ms) = (echo?, staleness_ms?);
        let sent = self.sends.iter().find(|it| it.0 == echo)?.1;
        Some(sent - Duration::from_millis(u64::from(staleness_ms)))
    }
}

//! Simulated fleets.

use std::{collections::BTreeMap, net::SocketAddrV4};

use gossip::{
    Load, MAX_PACKET_BYTES, Member, Members, Packet, RankedLoad, ServerTag, ViewStatus, ViewSummary,
};
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub(crate) fn address(no: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, (no >> 8) as u8, no as u8].into(), 7_000)
}

pub(crate) fn member(no: u16, incarnation: u32) -> Member {
    Member { address: address(no), incarnation, heartbeat: 0, is_leaving: false }
}

/// A simulated fleet on a network with delays and loss.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) members: BTreeMap<SocketAddrV4, Members>,
    /// Encoded packets with their receiver, by arrival time and a number that makes the key unique.
    pub(crate) in_flight: BTreeMap<(Time, u64), (SocketAddrV4, Vec<u8>)>,
    /// Bytes that each member sent.
    pub(crate) sent: BTreeMap<SocketAddrV4, usize>,
    /// The same by sender and receiver.
    pub(crate) links: BTreeMap<(SocketAddrV4, SocketAddrV4), usize>,
    /// How often any member considered another one dead.
    pub(crate) died: usize,
    pub(crate) last_number: u64,
    /// Probability that a packet is lost.
    pub(crate) loss: f64,
    /// What every member tells of the ranks of its loads.
    pub(crate) ranked_loads: Vec<RankedLoad>,
    /// For each received packet that bounds the staleness of its sender's view: the derived time at
    /// which the view was up to date, and the latest possible one.
    pub(crate) bounds: Vec<(Time, Time)>,
    pub(crate) max_delay: Duration,
    /// Whether no packet passes from one member to another.
    pub(crate) is_cut: fn(SocketAddrV4, SocketAddrV4) -> bool,
    /// Changes the packets of a member before they are sent.
    pub(crate) edit: fn(SocketAddrV4, &mut Packet),
}

impl Fleet {
    pub(crate) fn new(size: u16, seed: u64) -> Self {
        let now = Time::from_millis(3_600_000);
        let seeds = [address(0), address(1), address(2)];
        let new = |no| (address(no), Members::new(now, member(no, 1), &seeds, u64::from(no)));
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: (0..size).map(new).collect(),
            in_flight: BTreeMap::new(),
            sent: BTreeMap::new(),
            links: BTreeMap::new(),
            died: 0,
            last_number: 0,
            loss: 0.02,
            ranked_loads: Vec::new(),
            bounds: Vec::new(),
            max_delay: Duration::from_millis(3),
            is_cut: |_, _| false,
            edit: |_, _| {},
        }
    }

    /// Advances time in steps of 10 ms, delivers packets and ticks members. The view of every
    /// member is exactly 100 ms old.
    pub(crate) fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(10);
            self.deliver();
            let due = self.members.iter().filter(|it| it.1.next_wake() <= self.now);
            for address in due.map(|it| *it.0).collect::<Vec<_>>() {
                self.tick(address);
            }
        }
    }

    fn tick(&mut self, from: SocketAddrV4) {
        let loads: Vec<_> = (0..20).map(load).collect();
        let view_status = ViewStatus { view: ViewSummary::default(), staleness_ms: Some(100) };
        let Some(members) = self.members.get_mut(&from) else { return };
        let (packets, died) = members.tick(self.now, view_status, &loads);
        self.died += died.len();
        for mut outgoing in packets {
            outgoing.packet.ranked_loads.clone_from(&self.ranked_loads);
            (self.edit)(from, &mut outgoing.packet);
            let bytes = outgoing.packet.encode().unwrap();
            assert!(bytes.len() <= MAX_PACKET_BYTES, "a packet takes {} bytes", bytes.len());
            *self.sent.entry(from).or_default() += bytes.len();
            *self.links.entry((from, outgoing.to)).or_default() += bytes.len();
            if self.rng.random_bool(self.loss) || (self.is_cut)(from, outgoing.to) {
                continue;
            }
            let delay = self.max_delay.mul_f64(self.rng.random_range(0.1..1.0));
            self.last_number += 1;
            self.in_flight.insert((self.now + delay, self.last_number), (outgoing.to, bytes));
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now, u64::MAX));
        for (_, (to, bytes)) in std::mem::replace(&mut self.in_flight, later) {
            let Some(members) = self.members.get_mut(&to) else { continue };
            let packet = Packet::decode(&bytes).unwrap();
            if let Some(as_of) = members.receive(self.now, packet).and_then(|it| it.as_of) {
                // A view that was sent with a staleness of 100 ms has at least that on arrival.
                self.bounds.push((as_of, self.now - Duration::from_millis(100)));
            }
        }
    }
}

/// A load with large numbers, so that their encoding takes many bytes.
pub(crate) fn load(no: u32) -> Load {
    Load { server: ServerTag(0x8000_0000 + no), attempts: 3, prefill_tokens: 20_000 }
}

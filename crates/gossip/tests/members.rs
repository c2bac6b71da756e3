//! Fleets whose packets are delayed, lost and delivered in any order.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, net::SocketAddrV4};

use gossip::{
    Load, MAX_PACKET_BYTES, Member, Members, Packet, PeerLoads, ServerTag, ViewStatus, ViewSummary,
};
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// What an instance may send in a second for control: the users' size to design for.
const MAX_BYTES_PER_S: usize = 10_000;
/// The users' size to design for.
const LARGE: u16 = 340;

fn address(no: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, (no >> 8) as u8, no as u8].into(), 7_000)
}

fn card(no: u16, incarnation: u32) -> Member {
    Member { address: address(no), incarnation, heartbeat: 0, is_leaving: false }
}

/// Packets on their way, by the time of their arrival.
struct Fleet {
    now: Time,
    rng: ChaCha8Rng,
    members: BTreeMap<SocketAddrV4, Members>,
    on_the_way: BTreeMap<(Time, u64), (SocketAddrV4, Vec<u8>)>,
    sent: BTreeMap<SocketAddrV4, usize>,
    /// Members that were taken for dead, by each of the others.
    died: usize,
    next: u64,
    loss: f64,
    /// Times at which views were up to date that were derived from packets, with their truth.
    bounds: Vec<(Time, Time)>,
    longest_delay: Duration,
}

impl Fleet {
    fn new(size: u16, seed: u64) -> Self {
        let now = Time::from_millis(3_600_000);
        let seeds = [address(0), address(1), address(2)];
        let member = |no| (address(no), Members::new(now, card(no, 1), &seeds, u64::from(no)));
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: (0..size).map(member).collect(),
            on_the_way: BTreeMap::new(),
            sent: BTreeMap::new(),
            died: 0,
            next: 0,
            loss: 0.02,
            bounds: Vec::new(),
            longest_delay: Duration::from_millis(3),
        }
    }

    /// Lets time pass. Every instance has a view that is exactly 100 ms old.
    fn pass(&mut self, span: Duration) {
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
        let Some(member) = self.members.get_mut(&from) else { return };
        let (packets, died) = member.tick(self.now, view_status, &loads);
        self.died += died.len();
        for outgoing in packets {
            let bytes = outgoing.packet.encode().unwrap();
            assert!(bytes.len() <= MAX_PACKET_BYTES, "{} bytes", bytes.len());
            *self.sent.entry(from).or_default() += bytes.len();
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.longest_delay.mul_f64(self.rng.random_range(0.1..1.0));
            self.next += 1;
            self.on_the_way.insert((self.now + delay, self.next), (outgoing.to, bytes));
        }
    }

    fn deliver(&mut self) {
        let later = self.on_the_way.split_off(&(self.now, u64::MAX));
        for (_, (to, bytes)) in std::mem::replace(&mut self.on_the_way, later) {
            let Some(member) = self.members.get_mut(&to) else { continue };
            let packet = Packet::decode(&bytes).unwrap();
            if let Some(as_of) = member.receive(self.now, packet).and_then(|it| it.as_of) {
                // The packet is at most as old as the longest delay, and the view 100 ms older.
                self.bounds.push((as_of, self.now - Duration::from_millis(100)));
            }
        }
    }
}

fn load(no: u32) -> Load {
    Load { server: ServerTag(0x8000_0000 + no), attempts: 3, prefill_tokens: 20_000 }
}

#[test]
fn instances_find_each_other_through_seeds() {
    let mut fleet = Fleet::new(8, 1);

    fleet.pass(Duration::from_secs(2));

    assert!(fleet.members.values().all(|it| it.alive_count() == 8));
}

#[test]
fn instances_find_each_other_if_only_one_seed_lives() {
    let mut fleet = Fleet::new(8, 2);
    fleet.members.remove(&address(0));
    fleet.members.remove(&address(2));

    fleet.pass(Duration::from_secs(5));

    assert!(fleet.members.values().all(|it| it.alive_count() == 6));
}

#[test]
fn a_dead_member_is_noticed_and_may_still_run() {
    let mut fleet = Fleet::new(8, 3);
    fleet.pass(Duration::from_secs(3));
    fleet.members.remove(&address(5));

    fleet.pass(Duration::from_secs(5));

    assert!(fleet.members.values().all(|it| it.alive_count() == 7 && it.possible_count() == 8));
}

#[test]
fn a_member_that_leaves_in_order_is_forgotten() {
    let mut fleet = Fleet::new(8, 4);
    fleet.pass(Duration::from_secs(3));
    fleet.members.get_mut(&address(5)).unwrap().leave();
    fleet.pass(Duration::from_secs(1));
    fleet.members.remove(&address(5));

    fleet.pass(Duration::from_secs(5));

    assert!(fleet.members.values().all(|it| it.possible_count() == 7));
}

#[test]
fn a_member_that_leaves_is_not_found_again_with_each_of_its_packets() {
    let now = Time::from_millis(10_000);
    let mut leaving = Members::new(now, card(2, 1), &[address(1)], 2);
    leaving.leave();
    let mut stranger = Members::new(now, card(1, 1), &[], 1);
    let mut found = 0;

    for millis in (0..2_000).step_by(200) {
        let now = now + Duration::from_millis(millis);
        for outgoing in leaving.tick(now, ViewStatus::default(), &[]).0 {
            let heard = stranger.receive(now, outgoing.packet);
            found += usize::from(heard.is_some_and(|it| it.is_new));
        }
    }

    assert_eq!(found, 0);
    assert_eq!(stranger.possible_count(), 1);
}

#[test]
fn a_restarted_member_is_heard_at_once() {
    let mut fleet = Fleet::new(8, 5);
    fleet.pass(Duration::from_secs(3));
    let seeds = [address(0)];
    fleet.members.insert(address(5), Members::new(fleet.now, card(5, 2), &seeds, 5));

    fleet.pass(Duration::from_secs(2));

    assert_eq!(fleet.members[&address(5)].alive_count(), 8);
    assert!(fleet.members.values().all(|it| it.alive_count() == 8));
}

#[test]
fn what_peers_know_is_never_taken_for_fresher_than_it_is() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(6, seed);
        // Packets may wait for seconds, as in the buffers of a suspended machine.
        fleet.longest_delay = Duration::from_secs(4);
        fleet.loss = 0.2;

        fleet.pass(Duration::from_secs(20));

        assert!(!fleet.bounds.is_empty());
        for (as_of, newest_truth) in &fleet.bounds {
            assert!(as_of <= newest_truth, "seed {seed}: {as_of:?} after {newest_truth:?}");
        }
    }
}

#[test]
fn an_echo_of_a_former_run_says_nothing_about_age() {
    let start = Time::from_millis(10_000);
    let view_status = ViewStatus { view: ViewSummary::default(), staleness_ms: Some(0) };
    let mut former = Members::new(start, card(2, 1), &[address(1)], 2);
    let mut peer = Members::new(start, card(1, 1), &[], 1);
    let packet = former.tick(start, view_status, &[]).0.remove(0).packet;
    peer.receive(start, packet);
    let late = peer.tick(start, view_status, &[]).0.remove(0).packet;

    // The next run sends its first packets before the peer's packet arrives.
    let restart = start + Duration::from_secs(1);
    let mut next = Members::new(restart, card(2, 2), &[address(1)], 3);
    for millis in (0..3_000).step_by(200) {
        next.tick(restart + Duration::from_millis(millis), view_status, &[]);
    }
    let heard = next.receive(restart + Duration::from_secs(3), late).unwrap();

    assert_eq!(heard.as_of, None);
}

#[test]
fn a_large_fleet_converges_within_its_bytes() {
    let mut fleet = Fleet::new(LARGE, 6);
    fleet.loss = 0.01;
    fleet.pass(Duration::from_secs(30));
    let known = fleet.members.values().map(Members::alive_count).min();
    fleet.sent.clear();

    fleet.pass(Duration::from_secs(2));

    assert_eq!(known, Some(usize::from(LARGE)));
    assert_eq!(fleet.died, 0);
    let most = fleet.sent.values().max().unwrap() / 2;
    assert!(most <= MAX_BYTES_PER_S, "{most} bytes a second");
}

#[test]
fn loads_of_peers_add_up_and_expire() {
    let mut loads = PeerLoads::default();
    let now = Time::from_millis(10_000);
    loads.update(now, address(1), vec![load(1), load(2)]);
    loads.update(now, address(2), vec![load(1)]);
    loads.update(now + Duration::from_millis(900), address(2), vec![load(1)]);

    let both = loads.total(load(1).server);
    loads.expire(now + Duration::from_millis(1_100));
    let one = loads.total(load(1).server);

    assert_eq!((both.attempts, both.prefill_tokens), (6, 40_000));
    assert_eq!((one.attempts, one.prefill_tokens), (3, 20_000));
    assert_eq!(loads.total(load(2).server).attempts, 0);
}

#[test]
fn arbitrary_bytes_are_no_packet_and_harm_nothing() {
    seeded::check_type::<Vec<u8>>(2_000, |bytes| {
        if let Ok(packet) = Packet::decode(bytes) {
            let now = Time::from_millis(10_000);
            let mut members = Members::new(now, card(1, 1), &[], 1);
            members.receive(now, packet);
        }
    });
}

#[test]
fn a_changed_packet_harms_nothing() {
    let now = Time::from_millis(10_000);
    let mut sender = Members::new(now, card(2, 1), &[address(1)], 2);
    let (packets, _) = sender.tick(now, ViewStatus::default(), &[load(1)]);
    let bytes = packets[0].packet.encode().unwrap();

    seeded::check_type::<(u8, u8)>(2_000, |(place, value)| {
        let mut bytes = bytes.clone();
        let place = usize::from(*place) % bytes.len();
        bytes[place] = *value;
        if let Ok(packet) = Packet::decode(&bytes) {
            let mut members = Members::new(now, card(1, 1), &[], 1);
            members.receive(now, packet);
            assert!(members.possible_count() <= 2);
        }
    });
}

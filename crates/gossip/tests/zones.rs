//! Membership in large fleets that run in several availability zones.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::net::SocketAddrV4;

use gossip::{Members, Packet, ViewStatus, ZoneTag};
use model::prelude::*;

use crate::fleet::{Fleet, address, member};

/// Sizes of large fleets, the largest that must work among them: a requirement of the users.
const SIZES: [u16; 2] = [77, 342];
/// Bytes that an instance may send to its peers in a second, averaged: a requirement of the users.
const MAX_BYTES_PER_S: usize = 10_000;
/// The number of zones of the deployments.
const ZONES: u8 = 3;
/// Time until all members know each other.
const JOIN_TIME: Duration = Duration::from_secs(30);

fn zone(address: SocketAddrV4) -> ZoneTag {
    ZoneTag(0x8000_0000 + u32::from(address.ip().octets()[3] % ZONES))
}

fn is_between_zones(from: SocketAddrV4, to: SocketAddrV4) -> bool {
    zone(from) != zone(to)
}

/// Returns a fleet in which the members that `tells` selects know their zones.
fn fleet(size: u16, seed: u64, tells: fn(SocketAddrV4) -> bool) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    let place = |(address, members): (SocketAddrV4, Members)| {
        let is_placed = tells(address);
        (address, if is_placed { members.in_zone(zone(address)) } else { members })
    };
    fleet.members = std::mem::take(&mut fleet.members).into_iter().map(place).collect();
    fleet
}

/// Returns the time in which all members notice a death: in a large fleet 80 ms for each member are
/// granted for news of a silent one, and the last news of it may take that long to reach everybody.
fn death_time(size: u16) -> Duration {
    Duration::from_secs(3) + 2 * Duration::from_millis(80) * size.into()
}

fn min_alive(fleet: &Fleet) -> usize {
    fleet.members.values().map(Members::alive_count).min().unwrap_or_default()
}

/// Returns the bytes that an instance sends to other zones in a second, and those that it sends.
fn bytes_per_s(fleet: &mut Fleet) -> (usize, usize) {
    fleet.links.clear();
    fleet.advance(Duration::from_secs(10));
    let per_s = |bytes: usize| bytes / fleet.members.len() / 10;
    let far = fleet.links.iter().filter(|it| is_between_zones(it.0.0, it.0.1));
    (per_s(far.map(|it| it.1).sum()), per_s(fleet.links.values().sum()))
}

/// Guards against packets whose receivers are chosen without regard to zones: two thirds of the bytes
/// pass between zones, where they are billed.
#[test]
fn instances_in_three_zones_send_less_than_half_as_much_to_other_zones_as_without_them() {
    for size in SIZES {
        let mut ignoring = fleet(size, 1, |_| false);
        let mut zoned = fleet(size, 1, |_| true);
        ignoring.advance(JOIN_TIME / 2);
        zoned.advance(JOIN_TIME / 2);

        let (before, all_before) = bytes_per_s(&mut ignoring);
        let (after, all) = bytes_per_s(&mut zoned);
        println!(
            "{size}: {before} of {all_before}, then {after} of {all} bytes a second to other zones"
        );

        assert!(after * 2 < before, "{after} of {before} bytes a second to other zones");
        assert!(all <= MAX_BYTES_PER_S, "an instance sent {all} bytes a second");
    }
}

#[test]
fn a_fleet_in_three_zones_converges_and_notices_a_death_although_packets_are_lost() {
    for size in SIZES {
        let mut fleet = fleet(size, 2, |_| true);
        fleet.loss = 0.05;
        fleet.advance(JOIN_TIME);
        let (alive, died) = (min_alive(&fleet), fleet.died);
        fleet.members.remove(&address(5));

        fleet.advance(death_time(size));

        let left = fleet.members.len();
        assert_eq!((alive, died), (left + 1, 0));
        // Each of them has noticed this death and no other one.
        assert!(fleet.members.values().all(|it| it.alive_count() == left));
        assert_eq!(fleet.died, left);
    }
}

/// The few packets between zones may all be lost at once, so news must come with later ones.
#[test]
fn members_join_and_nobody_is_taken_for_dead_although_all_bridges_fail_for_seconds() {
    let mut fleet = fleet(77, 3, |_| true);
    fleet.advance(JOIN_TIME);
    fleet.is_cut = is_between_zones;
    let joining = Members::new(fleet.now, member(200, 1), &[address(2)], 200);
    fleet.members.insert(address(200), joining.in_zone(zone(address(200))));
    fleet.advance(Duration::from_secs(4));
    let known_elsewhere = fleet.members[&address(0)].alive_count();
    fleet.is_cut = |_, _| false;

    fleet.advance(Duration::from_secs(4));

    assert_eq!(known_elsewhere, 77, "a packet between zones was not lost");
    assert_eq!((min_alive(&fleet), fleet.died), (78, 0));
}

/// Instances of the former build neither tell zones nor read them.
#[test]
fn instances_of_the_former_build_and_new_ones_find_each_other() {
    let is_new = |address: SocketAddrV4| address.ip().octets()[3].is_multiple_of(2);
    let mut fleet = fleet(77, 4, is_new);
    fleet.edit = |from, packet| {
        if !from.ip().octets()[3].is_multiple_of(2) {
            packet.zones.clear();
        }
    };

    fleet.advance(JOIN_TIME);

    assert_eq!((min_alive(&fleet), fleet.died), (77, 0));
}

/// Returns a packet of a large fleet, which tells zones.
fn packet_with_zones() -> Packet {
    let mut fleet = fleet(20, 5, |_| true);
    fleet.advance(Duration::from_secs(4));
    let members = fleet.members.get_mut(&address(0)).unwrap();
    let now = fleet.now + Duration::from_secs(1);
    members.tick(now, ViewStatus::default(), &[]).0.remove(0).packet
}

#[test]
fn packets_with_zones_differ_from_those_of_the_former_build_at_their_end_only() {
    let packet = packet_with_zones();
    let mut former = packet.clone();
    former.zones.clear();
    let (bytes, former_bytes) = (packet.encode().unwrap(), former.encode().unwrap());

    assert!(!packet.zones.is_empty() && bytes.starts_with(&former_bytes));
    assert_eq!(Packet::decode(&bytes).unwrap(), packet);
    assert_eq!(Packet::decode(&former_bytes).unwrap(), former);
}

/// A damaged zone would count a member in a zone where it is not.
#[test]
fn damaged_zones_are_rejected() {
    let bytes = packet_with_zones().encode().unwrap();

    for index in bytes.len() - 20..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[index] ^= 1;
        assert!(Packet::decode(&damaged).is_err(), "byte {index}");
    }
}

/// Small fleets send each other everything, as the former build does.
#[test]
fn packets_of_small_fleets_tell_no_zones() {
    let mut fleet = fleet(12, 6, |_| true);
    fleet.edit = |_, packet| assert!(packet.zones.is_empty());

    fleet.advance(Duration::from_secs(4));

    assert_eq!(min_alive(&fleet), 12);
}

//! Who owns what, and who may use what it owns.

#![allow(clippy::unwrap_used, reason = "a fixture that fails ends the test")]

use std::{collections::BTreeMap, net::SocketAddr};

use model::{msg::Heartbeat, prelude::*};
use own::{ListEntry, Members, OwnedShards, OwnershipChange, OwnershipTimes, Shard};

const LEASE: Duration = Duration::from_millis(600);

fn times() -> OwnershipTimes {
    let millis = Duration::from_millis;
    OwnershipTimes {
        lease: LEASE,
        list_lag: millis(400),
        margin: millis(50),
        heartbeat: millis(100),
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn peer(i: u64) -> Peer {
    Peer { instance: InstanceId(i), incarnation: Incarnation(1) }
}

fn zone(i: u64) -> ZoneId {
    ZoneId(i % 3)
}

/// Instances 1 to `count` over three availability zones, without the missing ones.
fn list(count: u64, missing: &[u64]) -> Vec<ListEntry> {
    let listed = (1..=count).filter(|it| !missing.contains(it)).map(|i| ListEntry {
        instance: InstanceId(i),
        zone: zone(i),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        leaving: false,
    });
    listed.collect()
}

/// Instance 1 of a fleet of `count`, which has read list 1.
fn member(count: u64) -> Members {
    let mut members = Members::new(peer(1), zone(1), times());
    members.list_read(at(0), at(0), Version(1), list(count, &[]));
    members
}

/// Lets instances acknowledge a heartbeat that is sent at `now`, with this list.
fn acks(members: &mut Members, now: Time, from: impl IntoIterator<Item = u64>, list: u64) {
    let beats = members.heartbeats_to_all(now);
    for i in from {
        let beat = beats.iter().find(|it| it.to == InstanceId(i)).unwrap();
        let heartbeat = Heartbeat {
            nonce: beat.nonce,
            ack: true,
            leaving: false,
            config: Version(1),
            list: Version(list),
            cells: Vec::new(),
        };
        members.message_received(now, peer(i));
        members.heartbeat_received(peer(i), &heartbeat);
    }
}

fn shares(count: u64) -> Vec<Shard> {
    (0..count).map(|i| Shard::Share(ShareId { account: AccountId(i), zone: zone(1) })).collect()
}

#[test]
fn an_instance_that_is_not_listed_any_more_still_gets_answers() {
    let mut members = member(3);

    members.list_read(at(100), at(100), Version(2), list(3, &[2]));

    assert!(members.iter().all(|it| it.0 != InstanceId(2)));
    assert_eq!(members.address(InstanceId(2)), Some(SocketAddr::from(([127, 0, 0, 1], 1))));
    assert_eq!(members.address(InstanceId(9)), None);
}

#[test]
fn shards_are_spread_evenly_over_the_instances_of_their_zone() {
    let members = member(9);
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();

    for shard in shares(3_000) {
        *counts.entry(members.owner(shard).unwrap()).or_default() += 1;
    }

    assert_eq!(counts.keys().map(|it| it.0).collect::<Vec<_>>(), [1, 4, 7]);
    assert!(counts.values().all(|it| (850..1_150).contains(it)), "{counts:?}");
}

#[test]
fn only_the_shards_of_a_lost_instance_move() {
    let before = member(9);
    let mut after = member(9);
    after.list_received(at(0), Version(2), list(9, &[4]));

    for shard in shares(1_000) {
        let [old, new] = [&before, &after].map(|it| it.owner(shard).unwrap());
        assert!(old == new || old == InstanceId(4));
    }
}

#[test]
fn read_of_the_list_permits_for_a_lease_from_its_start() {
    let mut members = member(8);
    members.list_read(at(500), at(200), Version(1), list(8, &[]));

    assert!(members.has_permit(at(200) + LEASE - Duration::from_millis(1)));
    assert!(!members.has_permit(at(200) + LEASE));
}

#[test]
fn list_that_is_known_to_be_old_permits_nothing() {
    let mut members = member(8);
    acks(&mut members, at(100), [2], 2);

    members.list_read(at(200), at(200), Version(1), list(8, &[]));

    assert!(!members.has_permit(at(200)));
}

#[test]
fn acknowledgements_of_the_zone_or_of_a_majority_permit() {
    let late = at(0) + LEASE;
    let permits = |from: &[u64], list| {
        let mut members = member(8);
        acks(&mut members, late, from.iter().copied(), list);
        members.has_permit(late)
    };

    assert!(permits(&[4, 7], 1), "all others of the zone");
    assert!(permits(&[2, 3, 5, 6], 1), "a majority of all");
    assert!(!permits(&[4, 2, 3], 1), "neither");
    assert!(!permits(&[4, 7, 2, 3, 5, 6], 2), "acknowledgements by instances with a newer list");
}

#[test]
fn takeover_waits_for_the_lease_and_for_confirmation() {
    let mut members = member(8);
    let mut holdings = OwnedShards::default();
    holdings.refresh(&members, shares(50));
    let due = members.sole_from();

    members.list_read(due, due, Version(1), list(8, &[]));
    let unconfirmed = holdings.tick(due, &members);
    acks(&mut members, due, [4, 7, 2], 1);
    let minority = holdings.tick(due, &members);
    acks(&mut members, due, [4, 7, 2, 3], 1);
    let early = holdings.clone().tick(due - Duration::from_millis(1), &members);
    let confirmed = holdings.tick(due, &members);

    assert_eq!([unconfirmed, minority, early], [const { Vec::new() }; 3]);
    assert!(!confirmed.is_empty());
}

#[test]
fn new_account_under_a_settled_list_is_owned_at_once() {
    let (members, now) = settled(8);
    let mut holdings = OwnedShards::default();

    holdings.refresh(&members, shares(50));

    assert!(!holdings.tick(now, &members).is_empty());
}

/// Instance 1 of a fleet of `count` whose list 1 has been in use for long and is confirmed, and the
/// present time.
fn settled(count: u64) -> (Members, Time) {
    let mut members = member(count);
    let now = members.sole_from();
    members.list_read(now, now, Version(1), list(count, &[]));
    acks(&mut members, now, 2..=count, 1);
    (members, now)
}

/// Instance 1 of a fleet of `count`, with shards in use.
fn owner(count: u64) -> (Members, OwnedShards, Time) {
    let (members, now) = settled(count);
    let mut holdings = OwnedShards::default();
    holdings.refresh(&members, shares(50));
    holdings.tick(now, &members);
    (members, holdings, now)
}

#[test]
fn shards_go_on_after_a_lapse_only_under_the_same_list() {
    let (mut members, mut holdings, now) = owner(8);
    let lapsed = now + LEASE;
    let active = holdings.active().count();
    assert_eq!(holdings.tick(lapsed, &members), []);
    let mut other = holdings.clone();

    members.list_read(lapsed, lapsed, Version(1), list(8, &[]));
    assert_eq!(holdings.tick(lapsed, &members), []);
    assert_eq!(holdings.active().count(), active);

    members.list_read(lapsed, lapsed, Version(2), list(8, &[]));
    let shifts = other.tick(lapsed, &members);
    assert_eq!(shifts.len(), active);
    assert!(shifts.iter().all(|it| matches!(it, OwnershipChange::Discard(_))));
    assert_eq!(other.active().count(), 0);
}

#[test]
fn owner_cedes_only_to_an_instance_that_is_heard() {
    let (mut members, mut holdings, now) = owner(6);

    members.list_read(now, now, Version(2), list(9, &[]));
    holdings.refresh(&members, shares(50));
    let silent = holdings.tick(now, &members);
    members.message_received(now, peer(7));
    let heard = holdings.tick(now, &members);

    assert_eq!(silent, []);
    assert!(!heard.is_empty());
    assert!(
        heard.iter().all(|it| matches!(it, OwnershipChange::HandOver { to: InstanceId(7), .. }))
    );
}

#[test]
fn leaving_instance_owns_nothing() {
    let (mut members, mut holdings, now) = owner(8);
    let active = holdings.active().count();

    members.leave();
    holdings.refresh(&members, shares(50));
    let shifts = holdings.tick(now, &members);

    assert_eq!(shifts.len(), active);
    assert!(shifts.iter().all(|it| matches!(it, OwnershipChange::HandOver { .. })));
    assert!(shares(50).into_iter().all(|it| members.owner(it) != Some(InstanceId(1))));
}

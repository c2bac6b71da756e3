//! Which instance owns a shard, and when it may use it.

#![allow(clippy::unwrap_used, reason = "a failing helper fails the test")]

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

/// Instances 1 to `count` in three availability zones, without those in `missing`.
fn list(count: u64, missing: &[u64]) -> Vec<ListEntry> {
    let listed = (1..=count).filter(|i| !missing.contains(i)).map(|i| ListEntry {
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

/// Has instances acknowledge a heartbeat that is sent at `now`, with version `list`.
fn acks(members: &mut Members, now: Time, from: impl IntoIterator<Item = u64>, list: u64) {
    let heartbeats = members.heartbeats_to_all(now);
    for i in from {
        let sent = heartbeats.iter().find(|sent| sent.to == InstanceId(i)).unwrap();
        let heartbeat = Heartbeat {
            nonce: sent.nonce,
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

/// An instance that was removed from the list may still serve requests and ask for grants. Without
/// its address, the replies to it would be lost.
#[test]
fn unlisted_instance_keeps_its_address() {
    let mut members = member(3);

    members.list_read(at(100), at(100), Version(2), list(3, &[2]));

    assert!(members.iter().all(|entry| entry.0 != InstanceId(2)));
    assert_eq!(members.address(InstanceId(2)), Some(SocketAddr::from(([127, 0, 0, 1], 1))));
    assert_eq!(members.address(InstanceId(9)), None);
}

/// A biased hash would concentrate the load on few instances, and instances of other zones must own
/// nothing here.
#[test]
fn shards_are_spread_evenly_over_the_instances_of_their_zone() {
    let members = member(9);
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();

    for shard in shares(3_000) {
        *counts.entry(members.owner(shard).unwrap()).or_default() += 1;
    }

    assert_eq!(counts.keys().map(|id| id.0).collect::<Vec<_>>(), [1, 4, 7]);
    assert!(counts.values().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

/// Any further shard that changes its owner would cost a needless handover.
#[test]
fn removing_an_instance_moves_only_its_shards() {
    let before = member(9);
    let mut after = member(9);
    after.list_received(at(0), Version(2), list(9, &[4]));

    for shard in shares(1_000) {
        let [old, new] = [&before, &after].map(|members| members.owner(shard).unwrap());
        assert!(old == new || old == InstanceId(4));
    }
}

/// The list may change while the read is under way: a lease counted from its end would outlast the
/// time after which another instance takes over.
#[test]
fn list_read_gives_a_permit_for_a_lease_from_the_start_of_the_read() {
    let mut members = member(8);
    members.list_read(at(500), at(200), Version(1), list(8, &[]));

    assert!(members.has_permit(at(200) + LEASE - Duration::from_millis(1)));
    assert!(!members.has_permit(at(200) + LEASE));
}

/// A lagging replica of the list service may still show the list under which this instance owned
/// shards that another one owns now.
#[test]
fn read_of_an_outdated_list_gives_no_permit() {
    let mut members = member(8);
    acks(&mut members, at(100), [2], 2);

    members.list_read(at(200), at(200), Version(1), list(8, &[]));

    assert!(!members.has_permit(at(200)));
}

/// With fewer acknowledgements, or with those of instances that have a newer list, two instances
/// could use a shard at the same time.
#[test]
fn acknowledgements_of_the_zone_or_of_a_majority_give_a_permit() {
    let late = at(0) + LEASE;
    let has_permit = |from: &[u64], list| {
        let mut members = member(8);
        acks(&mut members, late, from.iter().copied(), list);
        members.has_permit(late)
    };

    assert!(has_permit(&[4, 7], 1), "no permit from all others of the zone");
    assert!(has_permit(&[2, 3, 5, 6], 1), "no permit from a majority of all");
    assert!(!has_permit(&[4, 2, 3], 1), "a permit from neither the zone nor a majority");
    assert!(!has_permit(&[4, 7, 2, 3, 5, 6], 2), "a permit from instances with a newer list");
}

/// A takeover before that could overlap with the former owner, which may still rely on its read of
/// the list or on acknowledgements under the earlier list.
#[test]
fn takeover_requires_the_end_of_earlier_permits_and_confirmation() {
    let mut members = member(8);
    let mut owned = OwnedShards::default();
    owned.refresh(&members, shares(50));
    let due = members.earlier_permits_end();

    members.list_read(due, due, Version(1), list(8, &[]));
    let unconfirmed = owned.tick(due, &members);
    acks(&mut members, due, [4, 7, 2], 1);
    let minority = owned.tick(due, &members);
    acks(&mut members, due, [4, 7, 2, 3], 1);
    let early = owned.clone().tick(due - Duration::from_millis(1), &members);
    let confirmed = owned.tick(due, &members);

    assert_eq!([unconfirmed, minority, early], [const { Vec::new() }; 3]);
    assert!(!confirmed.is_empty());
}

/// No other instance can own a new shard by an earlier list: waiting would only delay the first
/// requests of the account.
#[test]
fn shard_of_a_new_account_under_an_old_list_is_taken_over_at_once() {
    let (members, now) = settled(8);
    let mut owned = OwnedShards::default();

    owned.refresh(&members, shares(50));

    assert!(!owned.tick(now, &members).is_empty());
}

/// Instance 1 of a fleet of `count` whose list 1 is confirmed and older than any earlier permit,
/// and the current time.
fn settled(count: u64) -> (Members, Time) {
    let mut members = member(count);
    let now = members.earlier_permits_end();
    members.list_read(now, now, Version(1), list(count, &[]));
    acks(&mut members, now, 2..=count, 1);
    (members, now)
}

/// Instance 1 of a fleet of `count`, with shards in use, and the current time.
fn owner(count: u64) -> (Members, OwnedShards, Time) {
    let (members, now) = settled(count);
    let mut owned = OwnedShards::default();
    owned.refresh(&members, shares(50));
    owned.tick(now, &members);
    (members, owned, now)
}

/// Under a newer list another instance may have taken over the shards meanwhile, and their state
/// here is outdated.
#[test]
fn shards_stay_in_use_after_a_lost_permit_only_if_the_list_is_unchanged() {
    let (mut members, mut owned, now) = owner(8);
    let lost_at = now + LEASE;
    let active = owned.active().count();
    assert_eq!(owned.tick(lost_at, &members), []);
    let mut other = owned.clone();

    members.list_read(lost_at, lost_at, Version(1), list(8, &[]));
    assert_eq!(owned.tick(lost_at, &members), []);
    assert_eq!(owned.active().count(), active);

    members.list_read(lost_at, lost_at, Version(2), list(8, &[]));
    let changes = other.tick(lost_at, &members);
    assert_eq!(changes.len(), active);
    assert!(changes.iter().all(|change| matches!(change, OwnershipChange::Discard(_))));
    assert_eq!(other.active().count(), 0);
}

/// A listed instance that has not started yet cannot take over: the shards would have no user.
#[test]
fn shards_are_handed_over_only_to_an_instance_known_to_be_alive() {
    let (mut members, mut owned, now) = owner(6);

    members.list_read(now, now, Version(2), list(9, &[]));
    owned.refresh(&members, shares(50));
    let before_message = owned.tick(now, &members);
    members.message_received(now, peer(7));
    let after_message = owned.tick(now, &members);

    assert_eq!(before_message, []);
    assert!(!after_message.is_empty());
    assert!(
        after_message
            .iter()
            .all(|change| matches!(change, OwnershipChange::HandOver { to: InstanceId(7), .. }))
    );
}

/// Shards that stay with an instance that shuts down would have no user until the takeover time has
/// passed.
#[test]
fn leaving_instance_hands_over_all_shards() {
    let (mut members, mut owned, now) = owner(8);
    let active = owned.active().count();

    members.leave();
    owned.refresh(&members, shares(50));
    let changes = owned.tick(now, &members);

    assert_eq!(changes.len(), active);
    assert!(changes.iter().all(|change| matches!(change, OwnershipChange::HandOver { .. })));
    assert!(shares(50).into_iter().all(|shard| members.owner(shard) != Some(InstanceId(1))));
}

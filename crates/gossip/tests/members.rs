//! Membership and loads in simulated fleets whose packets are delayed, lost and reordered.

#![allow(clippy::unwrap_used)]

mod fleet;

use gossip::{
    Load, MAX_PACKET_BYTES, Members, Packet, PeerLoads, RankTag, RankedLoad, ViewStatus,
    ViewSummary,
};
use model::prelude::*;

use crate::fleet::{Fleet, address, load, member};

/// Bytes that an instance may send to its peers in a second, averaged: a requirement of the users.
const MAX_BYTES_PER_S: usize = 10_000;
/// Instances of the largest fleet that must work: a requirement of the users.
const LARGE_FLEET: u16 = 340;

/// Members that know only three seeds must find all others through them.
#[test]
fn instances_find_each_other_through_seeds() {
    let mut fleet = Fleet::new(8, 1);

    fleet.advance(Duration::from_secs(2));

    assert!(fleet.members.values().all(|it| it.alive_count() == 8));
}

/// Seeds are chosen at random: members must not depend on one that is down.
#[test]
fn instances_find_each_other_if_only_one_of_three_seeds_is_alive() {
    let mut fleet = Fleet::new(8, 2);
    fleet.members.remove(&address(0));
    fleet.members.remove(&address(2));

    fleet.advance(Duration::from_secs(5));

    assert!(fleet.members.values().all(|it| it.alive_count() == 6));
}

/// A member that is only cut off keeps using its share of the fleet's limits, so one that falls
/// silent without announcing its shutdown must not be removed at once.
#[test]
fn a_silent_member_is_dead_but_still_counts_as_possible() {
    let mut fleet = Fleet::new(8, 3);
    fleet.advance(Duration::from_secs(3));
    fleet.members.remove(&address(5));

    fleet.advance(Duration::from_secs(5));

    assert!(fleet.members.values().all(|it| it.alive_count() == 7 && it.possible_count() == 8));
}

/// A member that has certainly ended must not keep a share of the fleet's limits.
#[test]
fn a_member_that_announced_its_shutdown_is_removed() {
    let mut fleet = Fleet::new(8, 4);
    fleet.advance(Duration::from_secs(3));
    fleet.members.get_mut(&address(5)).unwrap().leave();
    fleet.advance(Duration::from_secs(1));
    fleet.members.remove(&address(5));

    fleet.advance(Duration::from_secs(5));

    assert!(fleet.members.values().all(|it| it.possible_count() == 7));
}

/// A member that is shutting down keeps sending packets. An instance that has not known it
/// before, or has removed it, must not report it as found with each of them.
#[test]
fn packets_of_an_unknown_leaving_member_do_not_add_it() {
    let now = Time::from_millis(10_000);
    let mut leaving = Members::new(now, member(2, 1), &[address(1)], 2);
    leaving.leave();
    let mut other = Members::new(now, member(1, 1), &[], 1);
    let mut found = 0;

    for millis in (0..2_000).step_by(200) {
        let now = now + Duration::from_millis(millis);
        for outgoing in leaving.tick(now, ViewStatus::default(), &[]).0 {
            let update = other.receive(now, outgoing.packet);
            found += usize::from(update.is_some_and(|it| it.is_new));
        }
    }

    assert_eq!(found, 0);
    assert_eq!(other.possible_count(), 1);
}

/// A restarted member begins with a heartbeat counter of 0 under the same address: it must not look
/// silent until it has caught up with its previous run.
#[test]
fn a_restarted_member_is_alive_within_two_seconds() {
    let mut fleet = Fleet::new(8, 5);
    fleet.advance(Duration::from_secs(3));
    let seeds = [address(0)];
    fleet.members.insert(address(5), Members::new(fleet.now, member(5, 2), &seeds, 5));

    fleet.advance(Duration::from_secs(2));

    assert_eq!(fleet.members[&address(5)].alive_count(), 8);
    assert!(fleet.members.values().all(|it| it.alive_count() == 8));
}

/// Instances accept keys while their view is fresh. A staleness that leaves out the time for which
/// a packet was under way would extend that beyond the bound on revoked keys.
#[test]
fn delayed_packets_never_make_a_view_look_fresher_than_it_is() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(6, seed);
        // Packets may be delayed for seconds, as in the buffers of a suspended machine.
        fleet.max_delay = Duration::from_secs(4);
        fleet.loss = 0.2;

        fleet.advance(Duration::from_secs(20));

        assert!(!fleet.bounds.is_empty());
        for (as_of, latest) in &fleet.bounds {
            assert!(
                as_of <= latest,
                "seed {seed}: view taken as of {as_of:?}, it is from {latest:?} at the latest"
            );
        }
    }
}

/// A delayed packet may echo a sequence number of the receiver's previous run. Matched with a later
/// send time of the new run, it would make the view look fresher than it is.
#[test]
fn an_echo_of_a_previous_run_gives_no_bound_on_staleness() {
    let start = Time::from_millis(10_000);
    let view_status = ViewStatus { view: ViewSummary::default(), staleness_ms: Some(0) };
    let mut previous = Members::new(start, member(2, 1), &[address(1)], 2);
    let mut peer = Members::new(start, member(1, 1), &[], 1);
    let packet = previous.tick(start, view_status, &[]).0.remove(0).packet;
    peer.receive(start, packet);
    let delayed = peer.tick(start, view_status, &[]).0.remove(0).packet;

    // The next run sends its first packets before the peer's packet arrives, which echoes the
    // previous run.
    let restart = start + Duration::from_secs(1);
    let mut next = Members::new(restart, member(2, 2), &[address(1)], 3);
    for millis in (0..3_000).step_by(200) {
        next.tick(restart + Duration::from_millis(millis), view_status, &[]);
    }
    let update = next.receive(restart + Duration::from_secs(3), delayed).unwrap();

    assert_eq!(update.as_of, None);
}

/// Packets hold only a sample of the members: in a large fleet news of a member may come so seldom
/// that alive members are considered dead, or sending more takes too many bytes.
#[test]
fn a_fleet_of_340_converges_without_false_deaths_below_10_kb_per_s() {
    let mut fleet = Fleet::new(LARGE_FLEET, 6);
    fleet.loss = 0.01;
    fleet.advance(Duration::from_secs(30));
    let min_alive = fleet.members.values().map(Members::alive_count).min();
    fleet.sent.clear();

    fleet.advance(Duration::from_secs(2));

    assert_eq!(min_alive, Some(usize::from(LARGE_FLEET)));
    assert_eq!(fleet.died, 0);
    let bytes_per_s = fleet.sent.values().max().unwrap() / 2;
    assert!(bytes_per_s <= MAX_BYTES_PER_S, "an instance sent {bytes_per_s} bytes a second");
}

fn ranked_load(load: u8, rank: u8, attempts: u16, prefill_tokens: u32) -> RankedLoad {
    RankedLoad { load, rank: RankTag(rank), attempts, prefill_tokens }
}

/// Returns an encoded packet with a load and what is told of its ranks.
fn packet_with(loads: &[Load], ranked_loads: Vec<RankedLoad>) -> Vec<u8> {
    let now = Time::from_millis(10_000);
    let mut sender = Members::new(now, member(2, 1), &[address(1)], 2);
    let (mut packets, _) = sender.tick(now, ViewStatus::default(), loads);
    packets[0].packet.ranked_loads = ranked_loads;
    packets[0].packet.encode().unwrap()
}

/// An instance of a large fleet runs a few requests at a time, of two or three ranks.
#[test]
fn the_ranks_of_loads_fit_into_the_bytes_of_a_large_fleet() {
    let mut fleet = Fleet::new(LARGE_FLEET, 4);
    fleet.advance(Duration::from_secs(30));
    fleet.sent.clear();
    fleet.ranked_loads = (0..12).map(|no| ranked_load(no, 17, 2, 9_000)).collect();

    fleet.advance(Duration::from_secs(2));

    let bytes_per_s = fleet.sent.values().max().unwrap() / 2;
    assert!(bytes_per_s <= MAX_BYTES_PER_S, "an instance sent {bytes_per_s} bytes a second");
}

#[test]
fn ranks_that_do_not_fit_into_a_packet_are_left_out() {
    let loads: Vec<_> = (0..80).map(load).collect();
    let ranked: Vec<_> = (0..240_u8).map(|no| ranked_load(no / 3, no % 3, 1, 20_000)).collect();

    let bytes = packet_with(&loads, ranked.clone());

    let decoded = Packet::decode(&bytes).unwrap();
    assert!(bytes.len() <= MAX_PACKET_BYTES, "a packet takes {} bytes", bytes.len());
    assert!(ranked.starts_with(&decoded.ranked_loads));
    assert_eq!(decoded.loads, loads);
}

/// Instances of the former build send packets without ranks, and ignore what follows a packet.
#[test]
fn packets_without_ranks_are_accepted_and_count_as_most_urgent() {
    let bytes = packet_with(&[load(1)], Vec::new());
    let former = &bytes[..bytes.len() - 1];
    let now = Time::from_millis(10_000);
    let mut loads = PeerLoads::default();

    let packet = Packet::decode(former).unwrap();
    loads.update(now, address(2), &packet.loads, &packet.ranked_loads);

    let by_rank = loads.by_rank(load(1).server).unwrap();
    assert_eq!(by_rank.above(RankTag(1)).attempts, 3);
    assert_eq!(by_rank.up_to(RankTag(0)).prefill_tokens, 20_000);
}

#[test]
fn loads_of_peers_add_up_by_rank() {
    let now = Time::from_millis(10_000);
    let mut loads = PeerLoads::default();

    loads.update(now, address(1), &[load(1)], &[ranked_load(0, 2, 1, 15_000)]);
    loads.update(now, address(2), &[load(2), load(1)], &[ranked_load(1, 1, 3, 20_000)]);

    let by_rank = loads.by_rank(load(1).server).unwrap();
    assert_eq!((by_rank.up_to(RankTag(1)).attempts, by_rank.total().attempts), (5, 6));
    assert_eq!(by_rank.up_to(RankTag(1)).prefill_tokens, 25_000);
    assert_eq!(by_rank.above(RankTag(1)).prefill_tokens, 5_000);
}

/// A damaged packet may claim any ranks.
#[test]
fn ranks_beyond_the_loads_are_ignored() {
    let now = Time::from_millis(10_000);
    let mut loads = PeerLoads::default();

    let ranked = [ranked_load(0, 1, u16::MAX, u32::MAX), ranked_load(200, 1, 5, 5)];
    loads.update(now, address(1), &[load(1)], &ranked);
    loads.update(now, address(1), &[], &[]);

    assert!(loads.by_rank(load(1).server).is_none());
}

/// Loads of a peer that fell silent must not count forever, and newer ones must replace older ones.
#[test]
fn loads_of_peers_add_up_and_expire() {
    let mut loads = PeerLoads::default();
    let now = Time::from_millis(10_000);
    loads.update(now, address(1), &[load(1), load(2)], &[]);
    loads.update(now, address(2), &[load(1)], &[]);
    loads.update(now + Duration::from_millis(900), address(2), &[load(1)], &[]);

    let both = loads.total(load(1).server);
    loads.expire(now + Duration::from_millis(1_100));
    let one = loads.total(load(1).server);

    assert_eq!((both.attempts, both.prefill_tokens), (6, 40_000));
    assert_eq!((one.attempts, one.prefill_tokens), (3, 20_000));
    assert_eq!(loads.total(load(2).server).attempts, 0);
}

/// Anyone who reaches the port can send bytes that are no packet, or a packet with odd values.
#[test]
fn arbitrary_bytes_do_not_panic() {
    seeded::check_type::<Vec<u8>>(2_000, |bytes| {
        if let Ok(packet) = Packet::decode(bytes) {
            let now = Time::from_millis(10_000);
            let mut members = Members::new(now, member(1, 1), &[], 1);
            members.receive(now, packet);
        }
    });
}

/// A packet that was damaged on its way may decode with other values.
#[test]
fn a_packet_with_a_changed_byte_does_not_panic_and_adds_at_most_its_sender() {
    let now = Time::from_millis(10_000);
    let mut sender = Members::new(now, member(2, 1), &[address(1)], 2);
    let (packets, _) = sender.tick(now, ViewStatus::default(), &[load(1)]);
    let bytes = packets[0].packet.encode().unwrap();

    seeded::check_type::<(u8, u8)>(2_000, |(index, value)| {
        let mut bytes = bytes.clone();
        let index = usize::from(*index) % bytes.len();
        bytes[index] = *value;
        if let Ok(packet) = Packet::decode(&bytes) {
            let mut members = Members::new(now, member(1, 1), &[], 1);
            members.receive(now, packet);
            assert!(members.possible_count() <= 2);
        }
    });
}

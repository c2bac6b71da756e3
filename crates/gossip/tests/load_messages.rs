//! Messages of loads that are wrong, damaged, or not known to the receiver.

#![allow(clippy::unwrap_used)]

mod load_tree;

use gossip::{
    Datagram, DecodeError, Direction, FleetLoads, LoadMessage, LoadSum, Packet, ServerSum,
    TotalLoad,
};
use model::prelude::*;

use crate::load_tree::{RANK, Tree, address, server};

/// Time until the loads of all members are in the total of each.
const JOIN_TIME: Duration = Duration::from_secs(8);

/// Returns a message with this many attempts at one server.
fn message(sender: usize, direction: Direction, round: u32, attempts: u32) -> LoadMessage {
    let now = Time::from_millis(3_600_000);
    let load = TotalLoad { attempts, prefill_tokens: 0, held_tokens: 0 };
    let servers = [ServerSum::new(server(3), [(RANK, load)].into_iter())];
    let sum = LoadSum::of_member(servers.into_iter(), [].into_iter(), [].into_iter());
    let mut loads = FleetLoads::new(now, address(sender), 0);
    let mut message = loads.tick(now, Some(address(0)), 2, sum).remove(0).message;
    message.direction = direction;
    message.round = Some(round);
    message.members = 20;
    message
}

/// The round of a former run of a process, or one that is too old, tells nothing of the own load.
#[test]
fn a_total_that_names_an_unknown_round_or_comes_from_another_member_is_ignored() {
    let mut tree = Tree::new(20, 10, 6);
    tree.pass(JOIN_TIME);

    // Numbers of rounds begin at random.
    for round in [0, 12_345, u32::MAX] {
        tree.receive(9, message(1, Direction::Down, round, 5_000));
        tree.receive(9, message(2, Direction::Down, round, 5_000));
    }

    assert_eq!(tree.told(9, 3).attempts, tree.others(9, 3));
    tree.pass_with(Duration::from_secs(1), |tree| assert_eq!(tree.error(), 0.0));
}

#[test]
fn slices_that_cannot_exist_are_ignored() {
    for (slice, slices) in [(255, 255), (255, 0), (0, 0), (1, 1), (7, 3)] {
        let mut tree = Tree::new(20, 10, 7);
        tree.pass(JOIN_TIME);
        let mut message = message(15, Direction::Up, 1, 500);
        (message.slice, message.slices) = (slice, slices);

        tree.receive(1, message);

        tree.pass_with(Duration::from_millis(400), |tree| {
            assert_eq!(tree.error(), 0.0, "slice {slice} of {slices}");
        });
    }
}

#[test]
fn damaged_and_truncated_messages_are_rejected() {
    let message = message(15, Direction::Up, 1, 500);
    let bytes = message.encode().unwrap();
    assert_eq!(Datagram::decode(&bytes).unwrap(), Datagram::Loads(message));

    for no in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[no] ^= 1 << bit;
            let is_loads = matches!(Datagram::decode(&damaged), Ok(Datagram::Loads(_)));
            assert!(!is_loads, "bit {bit} of byte {no} is damaged");
        }
        assert!(Datagram::decode(&bytes[..no]).is_err(), "{no} bytes");
    }
}

/// Instances of a build that knows only packets must not take a sum of loads for one.
#[test]
fn messages_of_loads_are_of_an_unsupported_format_for_builds_that_know_only_packets() {
    let bytes = message(15, Direction::Up, 1, 500).encode().unwrap();

    let decoded = Packet::decode(&bytes);

    assert!(matches!(decoded, Err(DecodeError::UnsupportedFormat(3))), "{decoded:?}");
}

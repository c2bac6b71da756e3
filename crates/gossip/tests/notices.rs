//! Packets that tell of servers that leave.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddrV4;

use gossip::{
    DecodeError, EndTag, IncarnationTag, LimitNotice, Load, MAX_PACKET_BYTES, Member, Members,
    Packet, PartEvidence, ServerEnd, ServerTag, ViewStatus,
};
use model::prelude::*;

/// What the evidence in a packet may take.
const MAX_EVIDENCE_BYTES: usize = 400;

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, host].into(), 7000)
}

fn packet(loads: u32, evidence: usize, leaving: u32) -> Packet {
    let now = Time::from_millis(10_000);
    let member = Member { address: address(2), incarnation: 1, heartbeat: 0, is_leaving: false };
    let mut sender = Members::new(now, member, &[address(1)], 2);
    let load = |no| Load { server: ServerTag(no), attempts: 3, prefill_tokens: 20_000 };
    let loads: Vec<_> = (0..loads).map(|no| load(u32::MAX - no)).collect();
    let (mut packets, _) = sender.tick(now, ViewStatus::default(), &loads);
    let end = ServerEnd { tag: EndTag(u32::MAX), age_ms: 90_000, took_ms: 9_000 };
    let part = |no| PartEvidence {
        part: u64::MAX - no,
        is_held: true,
        answered_age_ms: Some(90_000),
        tried_age_ms: Some(90_000),
        ends: vec![end; 4],
    };
    let mut packet = packets.remove(0).packet;
    packet.evidence = (0..evidence as u64).map(part).collect();
    packet.leaving = (0..leaving).map(|no| IncarnationTag(u32::MAX - no)).collect();
    packet
}

#[test]
fn notices_are_decoded_as_they_were_encoded() {
    for evidence in [0, 2] {
        let packet = packet(3, evidence, 16);

        let decoded = Packet::decode(&packet.encode().unwrap()).unwrap();

        assert_eq!((decoded.evidence, decoded.leaving), (packet.evidence, packet.leaving));
    }
}

/// Guards against packets that grow while no server leaves, and notices beyond the bytes of evidence.
#[test]
fn notices_take_no_more_bytes_than_evidence() {
    let without = |evidence| packet(3, evidence, 0).encode().unwrap().len();

    for evidence in 0..20 {
        let bytes = packet(3, evidence, 16).encode().unwrap();

        assert!(bytes.len() <= without(0) + MAX_EVIDENCE_BYTES, "{} bytes", bytes.len());
    }
    let sixteen = packet(3, 0, 16).encode().unwrap().len() - without(0);
    assert!(sixteen <= 16 * 5 + 10, "16 notices take {sixteen} bytes");
    let decoded = Packet::decode(&packet(3, 0, 0).encode().unwrap()).unwrap();
    assert!(decoded.leaving.is_empty() && decoded.evidence.is_empty());
}

#[test]
fn notices_that_do_not_fit_into_a_packet_are_left_out() {
    let packet = packet(80, 20, 200);

    let bytes = packet.encode().unwrap();

    let decoded = Packet::decode(&bytes).unwrap();
    assert!(bytes.len() <= MAX_PACKET_BYTES, "a packet takes {} bytes", bytes.len());
    assert!(packet.leaving.starts_with(&decoded.leaving));
}

/// A damaged notice could speak of another server.
#[test]
fn damaged_notices_are_rejected() {
    let bytes = packet(3, 0, 4).encode().unwrap();

    for index in bytes.len() - 4 * 5..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[index] ^= 1;
        let decoded = Packet::decode(&damaged);
        assert!(
            matches!(decoded, Err(DecodeError::DamagedList | DecodeError::Malformed(_))),
            "byte {index}: {decoded:?}"
        );
    }
}

/// Returns a packet that tells of this many limits too.
fn with_limits(mut packet: Packet, count: u32) -> Packet {
    packet.limits = limits(count);
    packet
}

fn limits(count: u32) -> Vec<LimitNotice> {
    let limit = |no| LimitNotice {
        server: IncarnationTag(u32::MAX - no),
        millis_per_second: (no % 2 == 0).then_some(2_300 + no),
        age_ms: 9_000,
    };
    (0..count).map(limit).collect()
}

#[test]
fn limits_are_decoded_as_they_were_encoded_behind_all_other_lists() {
    for (evidence, leaving) in [(0, 0), (2, 0), (0, 3), (20, 16)] {
        let packet = with_limits(packet(3, evidence, leaving), 12);

        let decoded = Packet::decode(&packet.encode().unwrap()).unwrap();

        assert_eq!(decoded.limits, packet.limits);
        assert_eq!(decoded.leaving.is_empty(), leaving == 0);
        assert_eq!(decoded.evidence.is_empty(), evidence == 0);
    }
}

/// Guards against packets that grow while no server names a limit, or beyond a datagram.
#[test]
fn limits_take_bytes_only_while_there_are_some_and_a_bounded_number() {
    let without = packet(3, 0, 0).encode().unwrap().len();
    let with = |count| with_limits(packet(3, 0, 0), count).encode().unwrap().len();
    let full = with_limits(packet(80, 20, 200), 400).encode().unwrap().len();

    assert_eq!(with(0), without);
    assert!(with(400) <= without + 200, "{} bytes", with(400) - without);
    assert!(full <= MAX_PACKET_BYTES, "{full} bytes");
}

/// Guards against a limit of another server that is read from a damaged packet.
#[test]
fn a_packet_with_damaged_limits_is_rejected() {
    let bytes = with_limits(packet(3, 0, 0), 2).encode().unwrap();

    for no in 1..=8 {
        let mut damaged = bytes.clone();
        let index = damaged.len() - no;
        damaged[index] ^= 0x10;

        assert!(Packet::decode(&damaged).is_err(), "byte {no} from the end");
    }
}

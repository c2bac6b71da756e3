//! What is known of another member, and the order of the members.

use std::{collections::BTreeMap, net::SocketAddrV4};

use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, ZoneTag};

/// What this instance knows of another member.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// When its heartbeat counter was last seen to grow.
    pub(crate) heartbeat_at: Time,
    /// The highest sequence number that was received from it.
    pub(crate) last_sequence: Option<u32>,
    pub(crate) is_dead: bool,
    /// Where it runs; `None` if no packet has told that.
    pub(crate) zone: Option<ZoneTag>,
}

impl Peer {
    pub(crate) fn new(now: Time, member: Member) -> Self {
        Self { member, heartbeat_at: now, last_sequence: None, is_dead: false, zone: None }
    }

    /// Merges an entry of the member and returns whether it was dead or has restarted. `is_direct`
    /// says that the member itself sent the entry.
    pub(crate) fn update(&mut self, now: Time, member: Member, is_direct: bool) -> bool {
        let is_same_run = self.member.incarnation == member.incarnation;
        let has_heartbeat =
            is_same_run && member.heartbeat.wrapping_sub(self.member.heartbeat) as i32 > 0;
        // Others may still pass on entries of a previous run, so only the member itself is trusted
        // with a restart.
        let has_restarted = !is_same_run && is_direct;
        if !has_heartbeat && !has_restarted {
            return false;
        }
        if has_restarted {
            self.last_sequence = None;
        }
        let was_dead = self.is_dead;
        self.member = member;
        self.heartbeat_at = now;
        self.is_dead = false;
        was_dead || has_restarted
    }
}

/// Orders the members the same way at all instances. Seeds and neighbours in a rack get unrelated
/// places.
pub(crate) fn order_hash(address: &SocketAddrV4) -> u64 {
    xxh3_64(&address.ip().octets())
}

/// Returns the alive peers that are not leaving.
pub(crate) fn available(
    peers: &BTreeMap<SocketAddrV4, Peer>,
) -> impl Iterator<Item = SocketAddrV4> {
    peers.iter().filter(|it| !it.1.is_dead && !it.1.member.is_leaving).map(|it| *it.0)
}

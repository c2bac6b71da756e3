//! An instance's part of what the whole fleet may do.

use std::net::SocketAddrV4;

use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Instances that may run beyond those in sight, for each availability zone: spares are started
/// without notice.
const SPARES_PER_ZONE: u32 = 1;
/// The fleet is taken to be this large until gossip had time to name the members: three times the
/// size that the project is designed for.
const UNSETTLED_SIZE: u32 = 1_024;

/// An instance's part of what the whole fleet may do. Parts add up to no more than the whole as
/// long as every instance counts all that may run.
#[derive(Clone, Debug)]
pub struct Share {
    me: SocketAddrV4,
    /// Instances that may run, this one included, in order.
    members: Vec<SocketAddrV4>,
    spares: u32,
    is_settled: bool,
}

impl Share {
    /// Starts with this instance alone in sight.
    pub fn new(me: SocketAddrV4, zones: u32) -> Self {
        Self { me, members: vec![me], spares: zones * SPARES_PER_ZONE, is_settled: false }
    }

    /// Takes the instances that may run. Before `is_settled`, the fleet may be of any size.
    pub fn update(&mut self, members: impl Iterator<Item = SocketAddrV4>, is_settled: bool) {
        self.members.clear();
        self.members.extend(members);
        self.is_settled = is_settled;
    }

    /// Returns how many instances the whole is divided by.
    pub fn size(&self) -> u32 {
        let size = self.size_in_sight();
        if self.is_settled { size } else { size.max(UNSETTLED_SIZE) }
    }

    /// Returns how many instances are in sight or may be started any moment.
    pub fn size_in_sight(&self) -> u32 {
        let seen = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        seen.saturating_add(self.spares)
    }

    /// Returns this instance's part of a divisible quantity.
    pub fn of(&self, whole: f64) -> f64 {
        whole / f64::from(self.size())
    }

    /// Returns this instance's part of whole units about a server: an equal part where it is at
    /// least one unit, else one unit for as many instances as there are units, which rendezvous
    /// hashing names.
    pub fn units(&self, whole: u32, server: ServerId) -> u32 {
        let size = self.size();
        if whole >= size {
            return whole / size;
        }
        let rank = |it: SocketAddrV4| {
            let mut buf = [0; 6];
            buf[..4].copy_from_slice(&it.ip().octets());
            buf[4..].copy_from_slice(&it.port().to_be_bytes());
            xxh3_64_with_seed(&buf, server.0)
        };
        let mine = rank(self.me);
        let ahead = self.members.iter().filter(|it| rank(**it) > mine).count();
        // Instances that are not in sight may rank ahead as well.
        let unseen = size.saturating_sub(u32::try_from(self.members.len()).unwrap_or(u32::MAX));
        u32::from(ahead as u64 + u64::from(unseen) < u64::from(whole))
    }
}

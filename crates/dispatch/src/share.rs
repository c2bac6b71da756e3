//! An instance's share of limits that hold for the whole fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::FleetKnowledge;

/// Instances that are assumed to run unseen in each availability zone, beyond the known members:
/// spare instances are started without notice.
const SPARES_PER_ZONE: u32 = 1;
/// The least size that is assumed for the fleet until gossip has had time to find all members, so
/// that a new instance does not take too large a share. It is three times the size that fleets are
/// designed for.
const UNSETTLED_FLEET_SIZE: u32 = 1_024;
/// How long instances that are not known any more are remembered, at least the window of each limit.
const DEPARTED_RETENTION: Duration = Duration::from_secs(300);

/// An instance's share of limits that hold for the whole fleet. The shares of all instances add up
/// to no more than the limit if each instance counts all the instances that may run.
#[derive(Clone, Debug)]
pub struct Share {
    /// The address of this instance.
    own: SocketAddrV4,
    /// The addresses of the known instances that may run, including this one.
    members: Vec<SocketAddrV4>,
    /// The instances that are not known any more, with the time since which they are not.
    departed: BTreeMap<SocketAddrV4, Time>,
    spares: u32,
    knowledge: FleetKnowledge,
    started_at: Time,
}

impl Share {
    /// Creates the share of an instance that starts now and knows only itself, in a fleet with this
    /// number of availability zones.
    pub fn new(now: Time, own: SocketAddrV4, zones: u32) -> Self {
        Self {
            own,
            members: vec![own],
            departed: BTreeMap::new(),
            spares: zones * SPARES_PER_ZONE,
            knowledge: FleetKnowledge::Unsettled,
            started_at: now,
        }
    }

    /// Replaces the known instances that may run.
    pub fn update(
        &mut self,
        now: Time,
        members: impl Iterator<Item = SocketAddrV4>,
        knowledge: FleetKnowledge,
    ) {
        let former = std::mem::take(&mut self.members);
        self.members.extend(members);
        self.knowledge = knowledge;
        self.departed.retain(|_, since| now.since(*since) < DEPARTED_RETENTION);
        if self.members == former {
            return;
        }
        let known: BTreeSet<_> = self.members.iter().copied().collect();
        self.departed.extend(former.into_iter().map(|it| (it, now)));
        self.departed.retain(|address, _| !known.contains(address));
    }

    /// Returns the number of instances by which limits are divided.
    pub fn size(&self) -> u32 {
        let size = self.known_size();
        match self.knowledge {
            FleetKnowledge::Unsettled => size.max(UNSETTLED_FLEET_SIZE),
            FleetKnowledge::Alone | FleetKnowledge::Settled => size,
        }
    }

    /// Returns the number of known instances that may run.
    pub fn known_members(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of known instances and of spares that may be started at any time.
    pub fn known_size(&self) -> u32 {
        let known = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        known.saturating_add(self.spares)
    }

    /// Returns this instance's share of a limit on what is used in each `window`, if the limit can be
    /// divided into fractions. An instance has none before it has run for that long: a former process
    /// at its address may have used the share within the window. Instances that have gone within the
    /// window have their part in it as well. An instance that may be cut off from a fleet of unknown
    /// size has none.
    pub fn fraction(&self, now: Time, limit: f64, window: Duration) -> f64 {
        let is_alone = self.knowledge == FleetKnowledge::Alone;
        if is_alone || now.since(self.started_at) < window {
            return 0.0;
        }
        let departed = self.departed_within(now, window).count();
        limit / (f64::from(self.size()) + departed as f64)
    }

    /// Returns this instance's share of a limit on whole units at a server, such as requests. All
    /// instances get the same number if there is at least one unit for each. Otherwise as many
    /// instances as there are units get one, and rendezvous hashing chooses them for each server.
    pub fn whole_units(&self, limit: u32, server: ServerId) -> u32 {
        self.units_beside(&[], limit, server)
    }

    /// Does the same for a limit on what is used in each `window`, as [`Share::fraction`] does: with no
    /// units before a window has passed since the start, and counting the instances that have gone
    /// within it.
    pub fn whole_units_over(
        &self,
        now: Time,
        window: Duration,
        limit: u32,
        server: ServerId,
    ) -> u32 {
        if now.since(self.started_at) < window {
            return 0;
        }
        let departed: Vec<_> = self.departed_within(now, window).collect();
        self.units_beside(&departed, limit, server)
    }

    fn departed_within(&self, now: Time, window: Duration) -> impl Iterator<Item = SocketAddrV4> {
        let departed = self.departed.iter().filter(move |it| now.since(*it.1) < window);
        departed.map(|it| *it.0)
    }

    /// Returns the units that are left beside the known members and those that have departed.
    fn units_beside(&self, departed: &[SocketAddrV4], limit: u32, server: ServerId) -> u32 {
        let count = |len| u32::try_from(len).unwrap_or(u32::MAX);
        let size = self.size().saturating_add(count(departed.len()));
        if limit >= size {
            return limit / size;
        }
        let rank = |address: SocketAddrV4| {
            let mut buf = [0; 6];
            buf[..4].copy_from_slice(&address.ip().octets());
            buf[4..].copy_from_slice(&address.port().to_be_bytes());
            xxh3_64_with_seed(&buf, server.0)
        };
        let own_rank = rank(self.own);
        let known = self.members.iter().chain(departed);
        let ahead = known.filter(|member| rank(**member) > own_rank).count();
        // Unknown instances may rank higher as well.
        let unknown = size.saturating_sub(count(self.members.len() + departed.len()));
        u32::from(ahead as u64 + u64::from(unknown) < u64::from(limit))
    }
}

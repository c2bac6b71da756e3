//! The load that peers put on backend servers.

use std::{collections::HashMap, net::SocketAddrV4};

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{LoadByRank, RankTag, RankedLoad};

/// The loads of a peer are dropped if it sends no packet for this time. In a small fleet five
/// packets in a row may be lost.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Identifies a backend server in packets: the low half of its id. The loads of two servers with
/// the same tag are added up for both, which makes balancing slightly worse and has no other
/// effect.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub struct ServerTag(pub u32);

impl From<ServerId> for ServerTag {
    fn from(id: ServerId) -> Self {
        Self(id.0 as u32)
    }
}

/// The load that one instance puts on one backend server. The order of the fields is the packet
/// format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Load {
    /// The tag of the server, which another server may share.
    pub server: ServerTag,
    /// Attempts that run or wait there.
    pub attempts: u16,
    /// Uncached prompt tokens of attempts whose response has not begun.
    pub prefill_tokens: u32,
}

/// The loads of all peers, added up by server.
#[derive(Debug, Default)]
pub struct PeerLoads {
    peers: HashMap<SocketAddrV4, Report>,
    totals: HashMap<ServerTag, LoadByRank>,
}

/// The loads that a peer reported last.
#[derive(Debug)]
struct Report {
    received_at: Time,
    loads: Vec<(ServerTag, RankTag, TotalLoad)>,
}

/// The load of one backend server.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct TotalLoad {
    /// Attempts that run or wait there.
    pub attempts: u32,
    /// Uncached prompt tokens of attempts whose response has not begun.
    pub prefill_tokens: u64,
    /// Tokens that the attempts hold in the server's memory when they end, and copies of the KV
    /// caches of others. Known only for own attempts and from [`FleetLoads`](crate::FleetLoads).
    pub held_tokens: u64,
}

impl TotalLoad {
    /// Returns the load multiplied by a factor.
    pub fn scaled(self, factor: f64) -> Self {
        let scaled = |it: u64| (it as f64 * factor).round() as u64;
        Self {
            attempts: (f64::from(self.attempts) * factor).round() as u32,
            prefill_tokens: scaled(self.prefill_tokens),
            held_tokens: scaled(self.held_tokens),
        }
    }
}

impl From<Load> for TotalLoad {
    fn from(load: Load) -> Self {
        Self {
            attempts: load.attempts.into(),
            prefill_tokens: load.prefill_tokens.into(),
            held_tokens: 0,
        }
    }
}

impl std::ops::Add for TotalLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            attempts: self.attempts.saturating_add(other.attempts),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            held_tokens: self.held_tokens.saturating_add(other.held_tokens),
        }
    }
}

impl PeerLoads {
    /// Replaces the loads of a peer. What `ranked` leaves of them is of unknown rank and counts as
    /// most urgent: no request is admitted before it.
    pub fn update(&mut self, now: Time, peer: SocketAddrV4, loads: &[Load], ranked: &[RankedLoad]) {
        self.remove(peer);
        let mut split = Vec::with_capacity(loads.len() + ranked.len());
        let mut rest: Vec<_> = loads.iter().map(|it| TotalLoad::from(*it)).collect();
        for part in ranked {
            let index = usize::from(part.load);
            let (Some(load), Some(rest)) = (loads.get(index), rest.get_mut(index)) else {
                continue;
            };
            // A damaged packet may claim more than the load.
            let attempts = u32::from(part.attempts).min(rest.attempts);
            let prefill_tokens = u64::from(part.prefill_tokens).min(rest.prefill_tokens);
            rest.attempts -= attempts;
            rest.prefill_tokens -= prefill_tokens;
            split.push((
                load.server,
                part.rank,
                TotalLoad { attempts, prefill_tokens, held_tokens: 0 },
            ));
        }
        for (load, rest) in loads.iter().zip(rest) {
            split.push((load.server, RankTag::default(), rest));
        }
        split.retain(|it| it.2 != TotalLoad::default());
        for (server, rank, load) in &split {
            self.totals.entry(*server).or_default().add(*rank, *load);
        }
        self.peers.insert(peer, Report { received_at: now, loads: split });
    }

    /// Removes the loads of peers that have sent no packet for `LOAD_TIMEOUT`.
    pub fn expire(&mut self, now: Time) {
        let is_expired = |report: &Report| now.since(report.received_at) > LOAD_TIMEOUT;
        let expired: Vec<_> =
            self.peers.iter().filter(|it| is_expired(it.1)).map(|it| *it.0).collect();
        for peer in expired {
            self.remove(peer);
        }
    }

    /// Returns the load of all peers at a server.
    pub fn total(&self, server: ServerTag) -> TotalLoad {
        self.totals.get(&server).map(LoadByRank::total).unwrap_or_default()
    }

    /// Returns the load of all peers at a server by rank; `None` if there is none.
    pub fn by_rank(&self, server: ServerTag) -> Option<&LoadByRank> {
        self.totals.get(&server)
    }

    fn remove(&mut self, peer: SocketAddrV4) {
        let Some(report) = self.peers.remove(&peer) else { return };
        for (server, rank, load) in &report.loads {
            let Some(total) = self.totals.get_mut(server) else { continue };
            total.remove(*rank, *load);
            if total.total() == TotalLoad::default() {
                self.totals.remove(server);
            }
        }
    }
}

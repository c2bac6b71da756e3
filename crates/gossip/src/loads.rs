//! The load that peers put on backend servers.

use std::{collections::HashMap, net::SocketAddrV4};

use model::prelude::*;
use serde::{Deserialize, Serialize};

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
    totals: HashMap<ServerTag, TotalLoad>,
}

/// The loads that a peer reported last.
#[derive(Debug)]
struct Report {
    received_at: Time,
    loads: Vec<Load>,
}

/// The load that all peers together put on one backend server.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct TotalLoad {
    /// Attempts that run or wait there.
    pub attempts: u32,
    /// Uncached prompt tokens of attempts whose response has not begun.
    pub prefill_tokens: u64,
}

impl PeerLoads {
    /// Replaces the loads of a peer.
    pub fn update(&mut self, now: Time, peer: SocketAddrV4, loads: Vec<Load>) {
        self.remove(peer);
        for load in &loads {
            let total = self.totals.entry(load.server).or_default();
            total.attempts += u32::from(load.attempts);
            total.prefill_tokens += u64::from(load.prefill_tokens);
        }
        self.peers.insert(peer, Report { received_at: now, loads });
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
        self.totals.get(&server).copied().unwrap_or_default()
    }

    fn remove(&mut self, peer: SocketAddrV4) {
        let Some(report) = self.peers.remove(&peer) else { return };
        for load in &report.loads {
            let Some(total) = self.totals.get_mut(&load.server) else { continue };
            total.attempts = total.attempts.saturating_sub(u32::from(load.attempts));
            total.prefill_tokens =
                total.prefill_tokens.saturating_sub(u64::from(load.prefill_tokens));
            if *total == TotalLoad::default() {
                self.totals.remove(&load.server);
            }
        }
    }
}

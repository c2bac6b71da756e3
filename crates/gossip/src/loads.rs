//! What peers have at backend servers.

use std::{collections::HashMap, net::SocketAddrV4};

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// A load that was not told again for this time counts no more: five packets of a small fleet.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Names a backend server in packets: the low half of its id. Two servers with the same tag have
/// their loads mixed up, which costs a little balance and nothing else.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub struct ServerTag(pub u32);

impl From<ServerId> for ServerTag {
    fn from(id: ServerId) -> Self {
        Self(id.0 as u32)
    }
}

/// What one instance has at one backend server.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: ServerTag,
    /// Attempts that run or wait there.
    pub attempts: u16,
    /// Prompt tokens of attempts that have not begun to answer.
    pub prefill_tokens: u32,
}

/// The loads of all peers, summed by server.
#[derive(Debug, Default)]
pub struct PeerLoads {
    peers: HashMap<SocketAddrV4, Told>,
    sums: HashMap<ServerTag, TotalLoad>,
}

#[derive(Debug)]
struct Told {
    at: Time,
    loads: Vec<Load>,
}

/// What all peers have at one backend server.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct TotalLoad {
    /// Attempts that run or wait there.
    pub attempts: u32,
    /// Prompt tokens of attempts that have not begun to answer.
    pub prefill_tokens: u64,
}

impl PeerLoads {
    /// Takes what a peer told of itself, in place of what it told before.
    pub fn update(&mut self, now: Time, peer: SocketAddrV4, loads: Vec<Load>) {
        self.forget(peer);
        for load in &loads {
            let sum = self.sums.entry(load.server).or_default();
            sum.attempts += u32::from(load.attempts);
            sum.prefill_tokens += u64::from(load.prefill_tokens);
        }
        self.peers.insert(peer, Told { at: now, loads });
    }

    /// Forgets the loads of peers that fell silent.
    pub fn expire(&mut self, now: Time) {
        let is_old = |it: &Told| now.since(it.at) > LOAD_TIMEOUT;
        let old: Vec<_> = self.peers.iter().filter(|it| is_old(it.1)).map(|it| *it.0).collect();
        for peer in old {
            self.forget(peer);
        }
    }

    /// Returns what all peers together have at a server.
    pub fn total(&self, server: ServerTag) -> TotalLoad {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    fn forget(&mut self, peer: SocketAddrV4) {
        let Some(told) = self.peers.remove(&peer) else { return };
        for load in &told.loads {
            let Some(sum) = self.sums.get_mut(&load.server) else { continue };
            sum.attempts = sum.attempts.saturating_sub(u32::from(load.attempts));
            sum.prefill_tokens = sum.prefill_tokens.saturating_sub(u64::from(load.prefill_tokens));
            if *sum == TotalLoad::default() {
                self.sums.remove(&load.server);
            }
        }
    }
}

//! Simulated fleets that add up loads along a tree.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
};

use gossip::{
    AccountTag, AccountUse, Datagram, FleetLoads, LoadByRank, LoadMessage, LoadSum,
    MAX_PACKET_BYTES, OutgoingLoadMessage, PoolUse, RankTag, ServerSum, ServerTag, TotalLoad,
};
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Children of each member, as in the broadcast tree.
const FANOUT: usize = 8;
/// Unread tokens of an attempt, which sums tell exactly.
pub(crate) const UNREAD: u64 = 640;
/// Tokens that an attempt holds, which sums tell exactly.
pub(crate) const HELD: u64 = 1_024;
/// The rank of all attempts.
pub(crate) const RANK: RankTag = RankTag(1);
/// What the account that all members serve asks of each of them.
pub(crate) const USE_PER_MEMBER: u32 = 1_000;
pub(crate) const ACCOUNT: AccountTag = AccountTag(7);

pub(crate) fn address(no: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 2, (no >> 8) as u8, no as u8].into(), 7_000)
}

/// Returns the tag of a server. Tags are hashes, so they have no pattern.
pub(crate) fn server(no: usize) -> ServerTag {
    ServerTag((no as u32).wrapping_mul(2_654_435_761) | 0x0100_0000)
}

/// A member of the fleet.
pub(crate) struct Node {
    pub(crate) loads: FleetLoads,
    pub(crate) parent: Option<usize>,
    /// Its attempts at each server, by number.
    pub(crate) attempts: HashMap<usize, u32>,
}

/// A simulated fleet on a network with delays and loss. Each member follows the one at the place
/// `(n - 1) / 8`.
pub(crate) struct Tree {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    /// Members that run, by place.
    pub(crate) nodes: BTreeMap<usize, Node>,
    pub(crate) servers: usize,
    /// How many members gossip takes to be alive.
    pub(crate) alive: usize,
    /// The probability that a message is lost.
    pub(crate) loss: f64,
    /// Bytes that each member sent.
    pub(crate) sent: BTreeMap<usize, usize>,
    /// The longest datagram.
    pub(crate) longest: usize,
    /// Changes the messages of a member before they are sent; those without one are lost.
    pub(crate) edit: fn(usize, LoadMessage) -> Option<LoadMessage>,
    in_flight: BTreeMap<(Time, u64), (usize, Vec<u8>)>,
    last_number: u64,
}

impl Tree {
    /// Returns a fleet of this many members that all send to each of the servers.
    pub(crate) fn new(size: usize, servers: usize, seed: u64) -> Self {
        let now = Time::from_millis(3_600_000);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut node = |no: usize| Node {
            loads: FleetLoads::new(now, address(no), rng.random()),
            parent: no.checked_sub(1).map(|it| it / FANOUT),
            attempts: (0..servers).map(|it| (it, 1 + (no + it) as u32 % 3)).collect(),
        };
        let nodes = (0..size).map(|no| (no, node(no))).collect();
        Self {
            now,
            rng,
            nodes,
            servers,
            alive: size,
            loss: 0.0,
            sent: BTreeMap::new(),
            longest: 0,
            edit: |_, message| Some(message),
            in_flight: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Lets time pass and calls `check` at each of its steps.
    pub(crate) fn pass_with(&mut self, span: Duration, mut check: impl FnMut(&mut Self)) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(10);
            let numbers: Vec<_> = self.nodes.keys().copied().collect();
            for no in numbers {
                self.tick(no);
            }
            self.deliver();
            check(self);
        }
    }

    pub(crate) fn pass(&mut self, span: Duration) {
        self.pass_with(span, |_| ());
    }

    fn tick(&mut self, no: usize) {
        let Some(node) = self.nodes.get_mut(&no) else { return };
        if self.now < node.loads.next_wake() {
            return;
        }
        let own = sum(&node.attempts);
        let outgoing = node.loads.tick(self.now, node.parent.map(address), self.alive, own);
        self.send(no, outgoing);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, bytes) = entry.remove();
            let Ok(Datagram::Loads(message)) = Datagram::decode(&bytes) else {
                panic!("a message of loads cannot be decoded");
            };
            self.receive(to, message);
        }
    }

    /// Hands a message to a member.
    pub(crate) fn receive(&mut self, to: usize, message: LoadMessage) {
        let Some(node) = self.nodes.get_mut(&to) else { return };
        let parent = node.parent.map(address);
        let outgoing = node.loads.receive(self.now, message, parent, self.alive);
        self.send(to, outgoing);
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingLoadMessage>) {
        for OutgoingLoadMessage { to, message } in outgoing {
            let Some(message) = (self.edit)(from, message) else { continue };
            let bytes = message.encode().unwrap();
            *self.sent.entry(from).or_default() += bytes.len();
            self.longest = self.longest.max(bytes.len());
            assert!(bytes.len() <= MAX_PACKET_BYTES, "a datagram of {} bytes", bytes.len());
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let [_, _, high, low] = to.ip().octets();
            let at = self.now + Duration::from_millis(self.rng.random_range(1..10));
            self.last_number += 1;
            let to = usize::from(high) << 8 | usize::from(low);
            self.in_flight.insert((at, self.last_number), (to, bytes));
        }
    }

    /// Returns the attempts that members other than `no` have at a server.
    pub(crate) fn others(&self, no: usize, server: usize) -> u32 {
        let others = self.nodes.iter().filter(|it| *it.0 != no);
        others.filter_map(|it| it.1.attempts.get(&server)).sum()
    }

    /// Returns what a member takes the other members' load at a server to be.
    pub(crate) fn told(&self, no: usize, at: usize) -> TotalLoad {
        let loads = &self.nodes[&no].loads;
        loads.others(server(at)).map(LoadByRank::total).unwrap_or_default()
    }

    /// Returns the greatest error of attempts that members take the others to have at a server, as
    /// a share of the truth.
    pub(crate) fn error(&self) -> f64 {
        let mut most = 0.0_f64;
        for at in 0..self.servers {
            let all: u32 = self.nodes.values().filter_map(|it| it.attempts.get(&at)).sum();
            for (no, node) in &self.nodes {
                let truth = f64::from(all - node.attempts.get(&at).copied().unwrap_or_default());
                most = most.max((f64::from(self.told(*no, at).attempts) - truth).abs() / truth);
            }
        }
        most
    }
}

/// Returns the load of a member with these attempts.
fn sum(attempts: &HashMap<usize, u32>) -> LoadSum {
    let servers = attempts.iter().map(|(at, attempts)| {
        let load = TotalLoad {
            attempts: *attempts,
            prefill_tokens: u64::from(*attempts) * UNREAD,
            held_tokens: u64::from(*attempts) * HELD,
        };
        ServerSum::new(server(*at), [(RANK, load)].into_iter())
    });
    let uses = [AccountUse { account: ACCOUNT, tokens_per_s: USE_PER_MEMBER }];
    LoadSum::of_member(servers, uses.into_iter(), std::iter::empty::<PoolUse>())
}

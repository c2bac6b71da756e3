//! The load of each backend server, added up over the whole fleet along the broadcast tree.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddrV4,
};

use model::prelude::*;

use crate::{
    AccountUse, LoadByRank, LoadMessage, LoadSum, OutgoingLoadMessage, PoolTag, PoolUse, ServerSum,
    ServerTag,
    fleet_total::{FleetTotal, MAX_SERVERS},
    load_message::Direction,
    load_sum::RankSum,
};

/// Time between rounds if the loads fit into a few datagrams: a fraction of the time for which the
/// shortest requests of engines run.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// The longest time between rounds.
const MAX_INTERVAL: Duration = Duration::from_millis(800);
/// Bytes of totals that a member receives in a second: half of what it may use for control.
const TOTAL_BYTES_PER_S: f64 = 5_000.0;
/// Typical bytes of a server in a message.
const SERVER_BYTES: f64 = 18.0;
/// The share of the time between rounds after which a member without children begins a round when it
/// has got a total. All of them do so at about the same time, so no member waits long for the last of
/// its children.
const LEAF_SHARE: f64 = 0.8;
/// How long a member waits for its other children once one has told its load, for each level of
/// members below it: several times the time that a message is under way.
const GATHER_TIME: Duration = Duration::from_millis(40);
/// A child that has told nothing for this time has another parent, or ended.
const CHILD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A total that was received longer ago is not used.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Rounds that are kept, to take this instance's load off the totals. They cover the time that a
/// sum takes to the root and back.
const MAX_ROUNDS: usize = 16;
/// Upper bound on children, as in the tree.
const MAX_CHILDREN: usize = 64;

/// The load of each backend server, added up over the whole fleet.
///
/// In each round a member sends its parent in the broadcast tree the sum of its own load and of
/// what its children sent. The root's sum is the total, which every member passes on to its
/// children. A total names the latest round of its receiver that it contains, so the receiver can
/// take its own load off exactly, and knows how old the total is without common clocks.
#[derive(Debug)]
pub struct FleetLoads {
    own: SocketAddrV4,
    next_round: Time,
    /// The longest time between rounds at present.
    interval: Duration,
    /// Before this time no round begins, even if all children have told their loads.
    earliest_round: Time,
    /// The latest rounds, the oldest first.
    rounds: VecDeque<Round>,
    last_number: u32,
    children: BTreeMap<SocketAddrV4, Child>,
    total: FleetTotal,
}

/// What this instance told its parent in a round.
#[derive(Debug)]
pub(crate) struct Round {
    number: u32,
    pub(crate) at: Time,
    pub(crate) own: HashMap<ServerTag, Vec<RankSum>>,
    /// The rounds of the children that are in it.
    children: Vec<(SocketAddrV4, u32)>,
}

/// What a child told last.
#[derive(Debug, Default)]
struct Child {
    heard_at: Time,
    round: u32,
    /// Whether it has told something since the last round of this instance.
    is_new: bool,
    members: u32,
    servers: BTreeMap<ServerTag, ServerSum>,
    accounts: Vec<AccountUse>,
    pools: Vec<PoolUse>,
}

impl FleetLoads {
    /// Starts without a total. `first_number` is random: a total with a round of a former run of
    /// this process must not match a round of this one.
    pub fn new(now: Time, own: SocketAddrV4, first_number: u32) -> Self {
        Self {
            own,
            next_round: now,
            interval: MIN_INTERVAL,
            earliest_round: now,
            rounds: VecDeque::new(),
            last_number: first_number,
            children: BTreeMap::new(),
            total: FleetTotal::default(),
        }
    }

    /// Returns when [`FleetLoads::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.next_round
    }

    /// Returns whether a total is known that counts most of the fleet, which has `alive` members.
    pub fn is_known(&self, now: Time, alive: usize) -> bool {
        let is_recent = self.total.received_at.is_some_and(|it| now.since(it) <= TOTAL_TIMEOUT);
        is_recent && u64::from(self.total.members) * 2 > alive as u64
    }

    /// Returns an upper bound on the age of the total; `None` if none is known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.total.as_of.map(|it| now.since(it))
    }

    /// Returns how many members the total counts.
    pub fn members(&self) -> u32 {
        self.total.members
    }

    /// Returns the load that the other members put on a server; `None` if there is none.
    pub fn others(&self, server: ServerTag) -> Option<&LoadByRank> {
        self.total.servers.get(&server).map(|it| &it.others)
    }

    /// Returns what accounts ask for in the whole fleet, the one with the most first. Like loads, it
    /// is scaled to the members that are alive.
    pub fn accounts(&self) -> &[AccountUse] {
        &self.total.accounts
    }

    /// Returns what the whole fleet asks of a pool; `None` if nothing is asked.
    pub fn pool_use(&self, pool: PoolTag) -> Option<&PoolUse> {
        self.total.pools.iter().find(|it| it.pool == pool)
    }

    /// Begins a round if one is due: tells the parent the sum of `own` and of what the children
    /// told, or the children the total if there is no parent. `alive` is the size of the fleet.
    pub fn tick(
        &mut self,
        now: Time,
        parent: Option<SocketAddrV4>,
        alive: usize,
        own: LoadSum,
    ) -> Vec<OutgoingLoadMessage> {
        if now < self.next_round {
            return Vec::new();
        }
        let bytes = self.total.servers.len().max(own.servers.len()) as f64 * SERVER_BYTES;
        let interval = Duration::from_secs_f64(bytes / TOTAL_BYTES_PER_S);
        let interval = interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
        self.interval = interval;
        self.next_round = now + interval;
        self.earliest_round = now + interval / 2;
        self.children.retain(|_, it| now.since(it.heard_at) <= CHILD_TIMEOUT);
        self.last_number = self.last_number.wrapping_add(1);
        self.record_round(now, &own);
        let sum = self.sum(own);
        let number = Some(self.last_number);
        if let Some(to) = parent {
            let slices = LoadMessage::slices(&sum, self.own, Direction::Up, number);
            return slices.into_iter().map(|message| OutgoingLoadMessage { to, message }).collect();
        }
        let mut outgoing = Vec::new();
        for slice in LoadMessage::slices(&sum, self.own, Direction::Down, number) {
            outgoing.extend(self.total_received(now, &slice, alive));
        }
        outgoing
    }

    /// Processes a message and returns those that follow from it.
    pub fn receive(
        &mut self,
        now: Time,
        message: LoadMessage,
        parent: Option<SocketAddrV4>,
        alive: usize,
    ) -> Vec<OutgoingLoadMessage> {
        if !message.is_sound() {
            return Vec::new();
        }
        match message.direction {
            Direction::Up => {
                self.child_told(now, message, alive);
                let next = if self.children.values().all(|it| it.is_new) {
                    now
                } else {
                    // A child whose message is lost must not delay the others by a round.
                    now + GATHER_TIME * self.levels_below()
                };
                self.next_round = self.next_round.min(self.earliest_round.max(next));
                Vec::new()
            }
            Direction::Down if Some(message.sender) == parent => {
                if self.children.is_empty() {
                    let next = now + self.interval.mul_f64(LEAF_SHARE);
                    self.next_round = self.next_round.min(next);
                }
                self.total_received(now, &message, alive)
            }
            Direction::Down => Vec::new(),
        }
    }

    /// Returns an upper bound on the levels of members below this one, if members have four children
    /// or more.
    fn levels_below(&self) -> u32 {
        let most = self.children.values().map(|it| it.members.max(1).ilog2() / 2).max();
        1 + most.unwrap_or_default()
    }

    fn record_round(&mut self, now: Time, own: &LoadSum) {
        let loads = own.servers.values().map(|it| (it.server, it.ranks.clone()));
        for child in self.children.values_mut() {
            child.is_new = false;
        }
        let children = self.children.iter().map(|it| (*it.0, it.1.round));
        self.rounds.push_back(Round {
            number: self.last_number,
            at: now,
            own: loads.collect(),
            children: children.collect(),
        });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }

    /// Returns the sum of the own load and of what the children told.
    fn sum(&self, own: LoadSum) -> LoadSum {
        let mut sum = own;
        for child in self.children.values() {
            sum.members = sum.members.saturating_add(child.members);
            for server in child.servers.values() {
                sum.add_server(server);
            }
            sum.add_accounts(child.accounts.iter().copied());
            sum.add_pools(child.pools.iter().copied());
        }
        sum
    }

    fn child_told(&mut self, now: Time, message: LoadMessage, alive: usize) {
        let Some(round) = message.round else { return };
        let is_full = self.children.len() >= MAX_CHILDREN;
        if is_full && !self.children.contains_key(&message.sender) {
            return;
        }
        let child = self.children.entry(message.sender).or_default();
        child.heard_at = now;
        child.round = round;
        child.is_new |= message.slice + 1 == message.slices;
        child.members = message.members.min(u32::try_from(alive).unwrap_or(u32::MAX));
        child.servers.retain(|server, _| !message.covers(*server));
        if message.slice == 0 {
            let accounts = message.accounts.into_iter();
            child.accounts = accounts.map(|it| it.limited(child.members)).collect();
            child.pools = message.pools;
        }
        let room = MAX_SERVERS.saturating_sub(child.servers.len());
        let limited = message.servers.into_iter().take(room);
        child.servers.extend(limited.map(|it| (it.server, it.limited(child.members))));
    }

    /// Takes over a slice of the total and returns it for the children. It is ignored if it
    /// contains a round of this instance that is too old to be known.
    fn total_received(
        &mut self,
        now: Time,
        message: &LoadMessage,
        alive: usize,
    ) -> Vec<OutgoingLoadMessage> {
        let round = self.rounds.iter().find(|it| Some(it.number) == message.round);
        if message.round.is_some() && round.is_none() {
            return Vec::new();
        }
        self.total.take_over(now, message, alive, round);
        let children = round.map(|it| it.children.as_slice()).unwrap_or_default();
        let own = self.own;
        let to_child = |child: &SocketAddrV4| {
            let round = children.iter().find(|it| it.0 == *child).map(|it| it.1);
            let message = LoadMessage { sender: own, round, ..message.clone() };
            OutgoingLoadMessage { to: *child, message }
        };
        self.children.keys().map(to_child).collect()
    }
}

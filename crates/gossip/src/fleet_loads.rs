//! The load of each backend server, added up over the whole fleet along the broadcast tree.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddrV4,
};

use model::prelude::*;

use crate::{
    AccountUse, LoadByRank, LoadMessage, LoadSum, OutgoingLoadMessage, PoolTag, PoolUse, ServerSum,
    ServerTag, SpeedEvidence, load_message::Direction, load_sum::RankSum,
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
/// A child that has told nothing for this time has another parent, or ended.
const CHILD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A total that was received longer ago is not used.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Rounds that are kept, to take this instance's load off the totals. They cover the time that a
/// sum takes to the root and back.
const MAX_ROUNDS: usize = 16;
/// Upper bound on children, as in the tree.
const MAX_CHILDREN: usize = 64;
/// Upper bound on the members in a sum: three times the size that fleets are designed for.
const MAX_MEMBERS: u32 = 1_024;
/// Upper bound on the servers of which a child tells: three times as many as fleets are designed for.
const MAX_SERVERS: usize = 2_500;
/// The range of the factor by which totals are scaled to the members that are alive. Members that
/// have just changed their parent may be counted twice, and those of a parent that died not at all.
const SCALE_RANGE: (f64, f64) = (0.5, 2.0);

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
    /// Before this time no round begins, even if all children have told their loads.
    earliest_round: Time,
    /// The latest rounds, the oldest first.
    rounds: VecDeque<Round>,
    last_number: u32,
    children: BTreeMap<SocketAddrV4, Child>,
    total: Total,
}

/// What this instance told its parent in a round.
#[derive(Debug)]
struct Round {
    number: u32,
    at: Time,
    own: HashMap<ServerTag, Vec<RankSum>>,
    /// The rounds of the children that are in it.
    children: Vec<(SocketAddrV4, u32)>,
}

/// What a child told last.
#[derive(Debug)]
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

/// The total of the fleet.
#[derive(Debug, Default)]
struct Total {
    /// When it was received last.
    received_at: Option<Time>,
    /// When this instance began the latest of its rounds that is in the total.
    as_of: Option<Time>,
    members: u32,
    servers: HashMap<ServerTag, Seen>,
    accounts: Vec<AccountUse>,
    pools: Vec<PoolUse>,
}

/// What is known of a server.
#[derive(Debug)]
struct Seen {
    /// The load of all other members.
    others: LoadByRank,
    speed: SpeedEvidence,
}

impl FleetLoads {
    /// Starts without a total. `first_number` is random: a total with a round of a former run of
    /// this process must not match a round of this one.
    pub fn new(now: Time, own: SocketAddrV4, first_number: u32) -> Self {
        Self {
            own,
            next_round: now,
            earliest_round: now,
            rounds: VecDeque::new(),
            last_number: first_number,
            children: BTreeMap::new(),
            total: Total::default(),
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

    /// Returns what the fleet knows of the speed of a server.
    pub fn speed(&self, server: ServerTag) -> SpeedEvidence {
        self.total.servers.get(&server).map(|it| it.speed).unwrap_or_default()
    }

    /// Returns what accounts ask for in the whole fleet, the one with the most first.
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
        match message.direction {
            Direction::Up => {
                self.child_told(now, message);
                if self.children.values().all(|it| it.is_new) {
                    // All that this round waits for is here.
                    self.next_round = self.next_round.min(self.earliest_round.max(now));
                }
                Vec::new()
            }
            Direction::Down if Some(message.sender) == parent => {
                self.total_received(now, &message, alive)
            }
            Direction::Down => Vec::new(),
        }
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
            sum.members = sum.members.saturating_add(child.members).min(MAX_MEMBERS);
            for server in child.servers.values() {
                sum.add_server(server);
            }
            sum.add_accounts(child.accounts.iter().copied());
            sum.add_pools(child.pools.iter().copied());
        }
        sum
    }

    fn child_told(&mut self, now: Time, message: LoadMessage) {
        let Some(round) = message.round else { return };
        let is_full = self.children.len() >= MAX_CHILDREN;
        if is_full && !self.children.contains_key(&message.sender) {
            return;
        }
        let child = self.children.entry(message.sender).or_insert_with(|| Child {
            heard_at: now,
            round,
            is_new: false,
            members: 0,
            servers: BTreeMap::new(),
            accounts: Vec::new(),
            pools: Vec::new(),
        });
        child.heard_at = now;
        child.round = round;
        child.is_new |= message.slice + 1 == message.slices;
        child.members = message.members.min(MAX_MEMBERS);
        child.servers.retain(|server, _| !message.covers(*server));
        if message.slice == 0 {
            child.accounts = message.accounts;
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
        let total = &mut self.total;
        total.received_at = Some(now);
        total.as_of = round.map(|it| it.at).or(total.as_of);
        total.members = message.members;
        total.servers.retain(|server, _| !message.covers(*server));
        let scale = scale(message.members, alive);
        for server in &message.servers {
            let own = round.and_then(|it| it.own.get(&server.server));
            let others = without_own(server, own.map(Vec::as_slice).unwrap_or_default(), scale);
            total.servers.insert(server.server, Seen { others, speed: server.speed });
        }
        if message.slice == 0 {
            total.accounts.clone_from(&message.accounts);
            total.pools.clone_from(&message.pools);
        }
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

/// Returns the factor by which the load of the other members has to be multiplied if `members` of
/// the `alive` ones are counted.
fn scale(members: u32, alive: usize) -> f64 {
    let others = f64::from(members.saturating_sub(1)).max(1.0);
    let factor = alive.saturating_sub(1) as f64 / others;
    factor.clamp(SCALE_RANGE.0, SCALE_RANGE.1)
}

/// Returns the load at a server without the part that this instance told.
fn without_own(server: &ServerSum, own: &[RankSum], scale: f64) -> LoadByRank {
    let mut others = LoadByRank::default();
    for sum in &server.ranks {
        let own = own.iter().find(|it| it.rank() == sum.rank());
        let rest = own.map_or(*sum, |own| sum.without(*own));
        others.add(sum.rank(), rest.load().scaled(scale));
    }
    others
}

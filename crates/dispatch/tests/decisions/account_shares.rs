//! One account sends several times its usual while engines are short: within a rank its requests
//! wait behind those of accounts that ask for no more than their share.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use dispatch::{
    Account, AttemptEnd, Catalog, Effect, Engine, Event, LogEntry, Pool, RequestKey, ServerEntry,
    Setup, State,
};
use model::prelude::*;

use crate::support::{Bench, address, attempts, catalog, prompt, server, setup};

/// Instances of a fleet in which loads are added up.
const FLEET: u8 = 14;
const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_millis(10);
/// Time until all members know each other.
const JOIN_TIME: Duration = Duration::from_secs(10);
/// Time in which the burst of an account shows in the totals of all members.
const BURST: Duration = Duration::from_secs(3);
const LARGE: &[u8] = b"a key of the account that sends most";
const SMALL: &[u8] = b"a key of another account";

/// Returns a configuration with two accounts and engines of few slots.
fn two_accounts() -> Catalog {
    let mut catalog = catalog(2);
    let accounts = catalog.accounts.get_or_insert_default();
    for (name, key) in [("large", LARGE), ("small", SMALL)] {
        accounts.add(Account { name: name.into(), tier: None }, [KeyHash::of(key)]);
    }
    let small = |pool: Pool| Pool {
        engine: pool.engine.map(|engine| Engine { slots: SLOTS, ..engine }),
        ..pool
    };
    catalog.pools = catalog.pools.into_iter().map(|it| (it.0, small(it.1))).collect();
    catalog
}

/// Instances that reach each other at once, without servers.
struct Fleet {
    now: Time,
    members: Vec<Bench>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    /// The accounts that the first member logged, and whether they are above their share.
    logged: Vec<(Box<str>, bool)>,
}

impl Fleet {
    /// Returns a fleet of this many members that has run long enough for all to know each other.
    fn new(size: u8) -> Self {
        let now = Time::from_millis(10_000_000);
        let member = |no: u8| {
            let seeds = vec![address(1, 7000)];
            let address = address(no + 1, 7000);
            let setup = Setup { address, seeds, incarnation: no.into(), ..setup() };
            let mut bench = Bench::running(State::new(now, setup), now);
            bench.step(Event::Config(Arc::new(two_accounts())));
            bench.step(Event::Listed(Vec::new()));
            bench
        };
        let by_address = (0..size).map(|no| (address(no + 1, 7000), usize::from(no)));
        let mut fleet = Self {
            now,
            members: (0..size).map(member).collect(),
            by_address: by_address.collect(),
            logged: Vec::new(),
        };
        fleet.pass(JOIN_TIME);
        fleet
    }

    /// Lets time pass, in steps in which all instances read the platform and send what is due.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            let mut pending = Vec::new();
            for no in 0..self.members.len() {
                let bench = &mut self.members[no];
                bench.now = self.now;
                bench.read();
                let effects = bench.step(Event::Tick);
                pending.extend(self.sent(no, effects));
            }
            while let Some((to, event)) = pending.pop() {
                let effects = self.members[to].step(event);
                pending.extend(self.sent(to, effects));
            }
        }
    }

    /// Returns the messages among the effects of a member, with the receivers.
    fn sent(&mut self, no: usize, effects: Vec<Effect>) -> Vec<(usize, Event)> {
        let mut sent = Vec::new();
        for effect in effects {
            let (to, event) = match effect {
                Effect::Send(outgoing) => (outgoing.to, Event::Packet(outgoing.packet)),
                Effect::SendTree(outgoing) => (outgoing.to, Event::Tree(outgoing.message)),
                Effect::SendLoads(outgoing) => (outgoing.to, Event::Loads(outgoing.message)),
                Effect::Log(LogEntry::AccountExcess { account, is_above, .. }) if no == 0 => {
                    self.logged.push((account, is_above));
                    continue;
                }
                _ => continue,
            };
            sent.extend(self.by_address.get(&to).map(|to| (*to, event)));
        }
        sent
    }

    /// Returns a fleet of this many members whose first one knows an engine, and whose others have
    /// just got a burst of one account and a little of another one.
    fn with_burst(size: u8) -> Self {
        let mut fleet = Self::new(size);
        let engine = ServerEntry { slots: SLOTS, ..server("e1", "engines", 11) };
        fleet.members[0].list(engine);
        let started = fleet.now;
        for no in 0.. {
            if fleet.now.since(started) >= BURST {
                break;
            }
            let member = 1 + no % (fleet.members.len() - 1);
            fleet.members[member].request_of(LARGE, "batch", prompt(6_000, 3_000, no as u64));
            if no.is_multiple_of(10) {
                fleet.members[member].request_of(SMALL, "batch", prompt(300, 200, no as u64));
            }
            fleet.pass(STEP);
        }
        fleet
    }
}

/// Runs requests of a higher tier at the engine until it takes no more, and returns them.
fn fill(bench: &mut Bench) -> Vec<RequestKey> {
    let mut running = Vec::new();
    for topic in 0..u64::from(4 * SLOTS) {
        let (key, effects) = bench.request_of(SMALL, "short", prompt(300, 200, topic));
        if attempts(&effects).is_empty() {
            bench.step(Event::CallerLeft { key });
            return running;
        }
        running.push(key);
    }
    panic!("the engine has more slots than expected");
}

/// Ends requests one after the other, and returns those that start instead.
fn started_in_their_place(bench: &mut Bench, running: &[RequestKey]) -> Vec<RequestKey> {
    let ended = AttemptEnd::Completed { is_success: true };
    let started = running.iter().flat_map(|key| attempts(&bench.ended(*key, ended)));
    started.map(|it| it.0).collect()
}

/// Guards against one account that takes the room of all others of its rank.
#[test]
fn with_engines_full_requests_of_a_rank_start_in_the_order_of_excess() {
    let mut fleet = Fleet::with_burst(FLEET);
    let bench = &mut fleet.members[0];
    let running = fill(bench);
    let mut wait = |key: &[u8], route: &str, topic: u64| {
        let (key, effects) = bench.request_of(key, route, prompt(300, 200, topic));
        assert!(attempts(&effects).is_empty(), "the engine has room");
        key
    };
    let large = [wait(LARGE, "batch", 1), wait(LARGE, "batch", 2)];
    let small = [wait(SMALL, "batch", 3), wait(SMALL, "batch", 4)];
    // Its rank is higher, so it goes first although its account is above its share.
    let urgent = wait(LARGE, "short", 5);

    let started = started_in_their_place(bench, &running);

    assert_eq!(started, [urgent, small[0], small[1], large[0], large[1]]);
}

#[test]
fn without_totals_of_the_fleet_requests_of_a_rank_start_in_the_order_of_time() {
    let mut fleet = Fleet::with_burst(2);
    let bench = &mut fleet.members[0];
    let running = fill(bench);
    let keys = [LARGE, SMALL, LARGE];
    let waiting = keys.map(|key| bench.request_of(key, "batch", prompt(300, 200, 1)).0);

    let started = started_in_their_place(bench, &running);

    assert_eq!(started, waiting);
    assert!(fleet.logged.is_empty(), "{:?}", fleet.logged);
}

/// Shares must not hold anything back while there is room.
#[test]
fn a_request_of_an_account_above_its_share_starts_at_once_if_an_engine_has_room() {
    let mut fleet = Fleet::with_burst(FLEET);

    let (_, effects) = fleet.members[0].request_of(LARGE, "batch", prompt(300, 200, 1));

    assert_eq!(attempts(&effects).len(), 1);
}

#[test]
fn an_excess_is_logged_when_it_begins_and_when_it_ends() {
    let mut fleet = Fleet::with_burst(FLEET);
    let during = fleet.logged.clone();

    fleet.pass(Duration::from_secs(12));

    assert_eq!(during, [("large".into(), true)]);
    assert_eq!(fleet.logged, [("large".into(), true), ("large".into(), false)]);
}

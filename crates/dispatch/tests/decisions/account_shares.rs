//! One account sends several times its usual while engines are short: within a rank its requests
//! wait behind those of accounts that ask for no more than their share.

use dispatch::{
    Account, AttemptEnd, Catalog, Engine, Event, LogEntry, Pool, RequestKey, ServerEntry,
};
use model::prelude::*;

use crate::{
    fleet::{Fleet, STEP},
    support::{self, Bench, attempts, catalog, prompt, server},
};

/// Instances of a fleet in which loads are added up.
const FLEET: u8 = 14;
const SLOTS: u32 = 8;
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

/// Returns a fleet of this many members whose first one knows an engine, and whose others have
/// just got a burst of one account and a little of another one.
fn fleet_with_burst(size: u8) -> Fleet {
    let mut fleet = Fleet::new(size, &[support::ZONE], &two_accounts());
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

/// Returns the accounts that the first member logged, and whether they are above their share.
fn logged(fleet: &Fleet) -> Vec<(&str, bool)> {
    let excesses = fleet.logged.iter().filter_map(|entry| match entry {
        LogEntry::AccountExcess { account, is_above, .. } => Some((&**account, *is_above)),
        _ => None,
    });
    excesses.collect()
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
    let mut fleet = fleet_with_burst(FLEET);
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
    let mut fleet = fleet_with_burst(2);
    let bench = &mut fleet.members[0];
    let running = fill(bench);
    let keys = [LARGE, SMALL, LARGE];
    let waiting = keys.map(|key| bench.request_of(key, "batch", prompt(300, 200, 1)).0);

    let started = started_in_their_place(bench, &running);

    assert_eq!(started, waiting);
    assert!(logged(&fleet).is_empty(), "{:?}", logged(&fleet));
}

/// Shares must not hold anything back while there is room.
#[test]
fn a_request_of_an_account_above_its_share_starts_at_once_if_an_engine_has_room() {
    let mut fleet = fleet_with_burst(FLEET);

    let (_, effects) = fleet.members[0].request_of(LARGE, "batch", prompt(300, 200, 1));

    assert_eq!(attempts(&effects).len(), 1);
}

#[test]
fn an_excess_is_logged_when_it_begins_and_when_it_ends() {
    let mut fleet = fleet_with_burst(FLEET);
    let during = logged(&fleet).len();

    fleet.pass(Duration::from_secs(12));

    assert_eq!(during, 1);
    assert_eq!(logged(&fleet), [("large", true), ("large", false)]);
}

//! Entries of servers that expire because the store was unreachable, and entries of servers that
//! have really left.

use dispatch::{AttemptEnd, Event, ServerChange, ServerEntry};
use model::prelude::*;

use crate::support::{Bench, attempts, prompt, server};

/// A server that has left must get no requests after this time, which includes the time between
/// two reads.
const DRAINED_WITHIN: Duration = Duration::from_millis(2_000);
/// Servers that still run are listed again within this time of the store's return.
const RELISTED_WITHIN: Duration = Duration::from_millis(2_000);

fn servers() -> Vec<ServerEntry> {
    vec![server("e1", "ledger", 11), server("e2", "ledger", 12)]
}

fn unlisted(name: &str) -> Event {
    Event::Server(ServerChange::Unlisted(ServerId::of(name)))
}

/// Returns whether a server gets at least one of four requests.
fn is_used(bench: &mut Bench, name: &str) -> bool {
    for _ in 0..4 {
        let (key, effects) = bench.request("order", prompt(0, 0, 0));
        let sent = attempts(&effects);
        if sent.first().is_some_and(|sent| &*sent.1.name == name) {
            bench.ended(key, AttemptEnd::Completed { is_success: true });
            return true;
        }
        // The request stays at the other server, so that the next one goes to this one.
    }
    false
}

#[test]
fn a_server_whose_entry_expired_in_a_store_outage_is_used_until_it_should_be_listed_again() {
    let mut bench = Bench::new(servers());
    bench.step(Event::PlatformReadFailed);
    bench.pass(3_000);
    bench.step(unlisted("e1"));
    bench.read();

    bench.pass(1_500);
    let early = is_used(&mut bench, "e1");
    bench.pass(RELISTED_WITHIN.as_millis() as u64 - 1_500 + 200);

    assert!(early, "a server that may still run gets no requests");
    assert!(!is_used(&mut bench, "e1"), "a server that is gone gets requests");
}

#[test]
fn a_server_that_is_listed_again_after_a_store_outage_stays_in_use() {
    let mut bench = Bench::new(servers());
    bench.step(Event::PlatformReadFailed);
    bench.step(unlisted("e1"));
    bench.read();
    bench.pass(1_000);
    bench.list(server("e1", "ledger", 11));

    bench.pass(3_000);
    bench.read();

    assert!(is_used(&mut bench, "e1"));
}

#[test]
fn a_server_that_leaves_soon_after_a_store_outage_gets_no_more_requests() {
    let mut bench = Bench::new(servers());
    bench.step(Event::PlatformReadFailed);
    bench.pass(1_000);
    bench.read();
    bench.pass(600);

    bench.step(unlisted("e1"));
    bench.read();
    bench.pass(DRAINED_WITHIN.as_millis() as u64 - 600);

    assert!(!is_used(&mut bench, "e1"));
}

#[test]
fn a_server_that_left_while_only_this_instance_could_not_read_gets_no_more_requests() {
    let mut bench = Bench::new(servers());
    bench.step(Event::PlatformReadFailed);
    bench.pass(1_000);
    bench.receive_peer_read();

    bench.step(unlisted("e1"));
    bench.read();

    assert!(!is_used(&mut bench, "e1"));
}

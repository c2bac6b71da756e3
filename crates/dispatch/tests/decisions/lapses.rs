//! Pattern: the store is away; servers lapse, leave and come back.

use dispatch::{AttemptEnd, Event, ServerChange, ServerEntry};
use model::prelude::*;

use crate::support::{Bench, attempts, prompt, server};

/// A server that has left gets nothing later than this, less the time between two reads.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Entries that lapsed are back within this time of the store's return.
const BACK: Duration = Duration::from_millis(2_000);

fn servers() -> Vec<ServerEntry> {
    vec![server("e1", "ledger", 11), server("e2", "ledger", 12)]
}

fn unlisted(name: &str) -> Event {
    Event::Server(ServerChange::Unlisted(ServerId::of(name)))
}

/// Returns whether a server still gets requests.
fn is_used(bench: &mut Bench, name: &str) -> bool {
    for _ in 0..4 {
        let (key, effects) = bench.request("order", prompt(0, 0, 0));
        let sent = attempts(&effects);
        if sent.first().is_some_and(|it| &*it.1.name == name) {
            bench.ended(key, AttemptEnd::Completed { is_success: true });
            return true;
        }
        // The request stays where it is, so that the next one goes elsewhere.
    }
    false
}

#[test]
fn a_server_that_lapsed_while_the_store_was_away_is_used_until_it_had_time_to_come_back() {
    let mut bench = Bench::new(servers());
    bench.step(Event::PlatformReadFailed);
    bench.pass(3_000);
    bench.step(unlisted("e1"));
    bench.read();

    bench.pass(1_500);
    let early = is_used(&mut bench, "e1");
    bench.pass(BACK.as_millis() as u64 - 1_500 + 200);

    assert!(early, "a server that lives is given up");
    assert!(!is_used(&mut bench, "e1"), "a server that is gone is used");
}

#[test]
fn a_server_that_comes_back_is_kept() {
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
fn a_server_that_leaves_soon_after_the_store_came_back_gets_nothing_more() {
    let mut bench = Bench::new(servers());
    bench.step(Event::PlatformReadFailed);
    bench.pass(1_000);
    bench.read();
    bench.pass(600);

    bench.step(unlisted("e1"));
    bench.read();
    bench.pass(DRAIN.as_millis() as u64 - 600);

    assert!(!is_used(&mut bench, "e1"));
}

#[test]
fn a_server_that_left_while_only_this_instance_was_cut_off_gets_nothing_more() {
    let mut bench = Bench::new(servers());
    bench.step(Event::PlatformReadFailed);
    bench.pass(1_000);
    bench.hear_of_read();

    bench.step(unlisted("e1"));
    bench.read();

    assert!(!is_used(&mut bench, "e1"));
}

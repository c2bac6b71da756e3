//! Servers that begin to leave between the choice of a server and the sending of a request, while a
//! connection is being established.

use std::collections::BTreeSet;

use dispatch::{AttemptEnd, Effect, Event, RequestKey, ServerChange, ServerEntry};
use model::prelude::*;

use crate::support::{Bench, attempts, prompt, server, zone};

/// Returns an instance with one server, and a request that was decided for it and not sent yet.
fn decided_request() -> (Bench, RequestKey) {
    let mut bench = Bench::new(vec![entry()]);
    let (key, effects) = bench.request("order", prompt(0, 0, 0));
    assert_eq!(attempts(&effects).len(), 1, "the request has no server");
    (bench, key)
}

fn entry() -> ServerEntry {
    server("e1", "ledger", 11)
}

fn may_be_sent(bench: &Bench, key: RequestKey) -> bool {
    bench.state.may_send_attempt(bench.now, key)
}

/// Guards against requests that reach a server after it said that it leaves.
#[test]
fn a_request_is_not_sent_to_a_server_that_drains_since_it_was_chosen() {
    let (mut bench, key) = decided_request();
    assert!(may_be_sent(&bench, key));

    bench.list(ServerEntry { is_draining: true, ..entry() });

    assert!(!may_be_sent(&bench, key));
}

/// Guards against requests that reach a server whose entry is gone.
#[test]
fn a_request_is_not_sent_to_a_server_that_is_unlisted_since_it_was_chosen() {
    let (mut bench, key) = decided_request();

    bench.step(Event::Server(ServerChange::Unlisted(ServerId::of("e1"))));

    assert!(!may_be_sent(&bench, key));
}

/// Guards against requests that reach a zone after operators have evacuated it.
#[test]
fn a_request_is_not_sent_to_a_zone_that_is_evacuated_since_its_server_was_chosen() {
    let (mut bench, key) = decided_request();

    bench.step(Event::EvacuatedZones(BTreeSet::from([zone()])));

    assert!(!may_be_sent(&bench, key));
}

/// Guards against requests that reach the former address of a server.
#[test]
fn a_request_is_not_sent_to_a_server_that_restarted_since_it_was_chosen() {
    let (mut bench, key) = decided_request();

    bench.list(ServerEntry { incarnation: 2, ..entry() });

    assert!(!may_be_sent(&bench, key));
}

/// Guards against more requests in a second to a cold server than it bears: those that waited for a
/// connection arrive together with those that were decided later.
#[test]
fn requests_to_a_cold_server_count_when_they_are_sent() {
    const CONNECTING: Duration = Duration::from_millis(400);
    /// The share of this instance: 20 requests a second, times 1.5, and 5, for one instance and
    /// three that may be started.
    const SHARE: usize = 35 / 4;
    let cold = ServerEntry { cold: Duration::from_secs(30), ..server("c1", "engines", 12) };
    let mut bench = Bench::new(vec![cold]);
    let started = bench.now;
    let (mut unsent, mut sent) = (Vec::new(), Vec::new());

    for no in 0..300 {
        let (_, mut effects) = bench.request("live", prompt(172, 500 + no, 1));
        effects.extend(bench.pass(10));
        bench.read();
        unsent.extend(attempts(&effects).into_iter().map(|it| it.0));
        // The first connections take long, later ones no time.
        if bench.now.since(started) >= CONNECTING {
            for key in std::mem::take(&mut unsent) {
                bench.step(Event::Sent { key });
                sent.push(bench.now);
            }
        }
    }

    let second = Duration::from_secs(1);
    let count_from =
        |start: Time| sent.iter().filter(|it| **it >= start && it.since(start) < second).count();
    let most = sent.iter().map(|start| count_from(*start)).max().unwrap_or_default();
    assert!((1..=SHARE).contains(&most), "{most} requests were sent within a second");
}

/// Guards against waiting requests that stay without a server when theirs leaves.
#[test]
fn a_server_that_leaves_is_logged_with_the_requests_that_were_not_sent() {
    let (mut bench, _) = decided_request();

    let effects = bench.list(ServerEntry { is_draining: true, ..entry() });

    let logged = effects
        .iter()
        .any(|it| matches!(it, Effect::Log(dispatch::LogEntry::ServerLost { unsent: 1, .. })));
    assert!(logged, "{effects:?}");
}

/// Guards against requests that fail because their server began to leave: nothing was sent, so
/// another server can take them, also where a route allows one run only.
#[test]
fn a_request_whose_server_left_before_it_was_sent_goes_to_another_one() {
    let mut bench = Bench::new(vec![entry(), server("e2", "ledger", 12)]);
    let (key, effects) = bench.request("order", prompt(0, 0, 0));
    let first = attempts(&effects)[0].1.name.to_string();
    let draining = ServerEntry { is_draining: true, ..server(&first, "ledger", 13) };
    bench.list(draining);

    let effects = bench.ended(key, AttemptEnd::Withdrawn);

    let sent = attempts(&effects);
    assert_eq!(sent.len(), 1, "the request has no server");
    assert_ne!(&*sent[0].1.name, first);
}

//! Pattern: keys are withdrawn while the platform cannot be read, and the machine sleeps.

use std::sync::Arc;

use dispatch::{Accounts, AttemptEnd, Event};
use model::prelude::*;

use crate::support::{Bench, KEY, attempts, catalog, prompt, refusals, server};

/// A key that was withdrawn this long ago must not be accepted.
const REVOKE: Duration = Duration::from_millis(5_000);

fn bench() -> Bench {
    Bench::new(vec![server("e1", "ledger", 11)])
}

fn accepts(bench: &Bench) -> Result<(), Reason> {
    let routed = bench.state.route(bench.now, "host.example", "/order/x", Some(KEY));
    routed.map(|_| ()).map_err(|it| it.reason)
}

#[test]
fn a_key_is_accepted_no_longer_than_the_bound_after_the_last_read() {
    let mut bench = bench();
    let mut accepted = Duration::ZERO;
    for _ in 0..100 {
        bench.pass(100);
        if accepts(&bench).is_ok() {
            accepted = bench.state.view_age(bench.now).unwrap();
        }
    }

    assert!(accepted < REVOKE - Duration::from_secs(1), "accepted on a view {accepted:?} old");
    // Three fifths of the bound are served even without the platform.
    assert!(accepted >= REVOKE * 3 / 5, "given up on a view {accepted:?} old");
}

#[test]
fn a_machine_that_slept_past_the_bound_sends_nothing_with_a_key() {
    let mut bench = bench();
    let mut running = Vec::new();
    // Fill the server, so that the next request waits here.
    for _ in 0..20 {
        let (key, effects) = bench.request("order", prompt(0, 0, 0));
        if !attempts(&effects).is_empty() {
            running.push(key);
        }
    }
    bench.now = bench.now + Duration::from_secs(6);

    let mut effects = Vec::new();
    for key in running {
        effects.extend(bench.ended(key, AttemptEnd::Completed { is_success: true }));
    }
    effects.extend(bench.pass(200));

    let late = attempts(&effects).iter().any(|it| it.1.start_by > bench.now);
    assert!(!late, "a request with a key may leave after the bound");
    assert_eq!(accepts(&bench), Err(Reason::NotReady));
}

#[test]
fn a_request_that_waits_with_a_withdrawn_key_is_refused() {
    let mut bench = bench();
    let mut waiting = Vec::new();
    for _ in 0..20 {
        let (key, effects) = bench.request("order", prompt(0, 0, 0));
        if attempts(&effects).is_empty() {
            waiting.push(key);
        }
    }
    let mut next = catalog(2);
    next.accounts = Some(Accounts::default());

    let refused = refusals(&bench.step(Event::Config(Arc::new(next))));

    assert!(!waiting.is_empty());
    assert_eq!(refused.len(), waiting.len());
    assert!(refused.iter().all(|it| it.1.reason == Reason::NoKey));
    assert!(refused.iter().all(|it| it.1.execution == Execution::NotRun));
}

#[test]
fn a_refusal_for_lack_of_servers_tells_when_to_come_back() {
    let mut bench = Bench::new(Vec::new());
    let (key, _) = bench.request("order", prompt(0, 0, 0));

    let refused = refusals(&bench.pass(1_000));

    assert_eq!(refused.len(), 1);
    let (refused_key, refusal) = refused[0];
    assert_eq!((refused_key, refusal.execution), (key, Execution::NotRun));
    // Callers honour up to a third of the four seconds that they wait.
    assert!(refusal.retry_after.unwrap() <= Duration::from_millis(1_334));
}

//! Revoked keys: they stop working within the bound, even while the platform cannot be read or the
//! machine is suspended.

use std::sync::Arc;

use dispatch::{Account, Accounts, AttemptEnd, Event};
use gossip::ViewSummary;
use model::prelude::*;

use crate::support::{ACCOUNT, Bench, KEY, attempts, catalog, prompt, refusals, server};

/// A key that was revoked this long ago must not be accepted.
const REVOKE: Duration = Duration::from_millis(5_000);

fn bench() -> Bench {
    Bench::new(vec![server("e1", "ledger", 11)])
}

fn accepts(bench: &Bench) -> Result<(), Reason> {
    let routed = bench.state.route(bench.now, "host.example", "/order/x", Some(KEY));
    routed.map(|_| ()).map_err(|refusal| refusal.reason)
}

#[test]
fn keys_are_accepted_only_for_the_bound_after_the_last_read() {
    let mut bench = bench();
    let mut accepted = Duration::ZERO;
    for _ in 0..100 {
        bench.pass(100);
        if accepts(&bench).is_ok() {
            accepted = bench.state.view_age(bench.now).unwrap();
        }
    }

    assert!(
        accepted < REVOKE - Duration::from_secs(1),
        "a key was accepted with a view {accepted:?} old"
    );
    // Requests are served for three fifths of the bound even if the platform cannot be read.
    assert!(accepted >= REVOKE * 3 / 5, "keys were refused with a view older than {accepted:?}");
}

/// Guards against a route that was added and gets 404 from an instance whose view is so old that it serves no
/// request with a key.
#[test]
fn an_unknown_route_is_rejected_only_while_keys_are_accepted() {
    let mut bench = bench();
    let reason = |bench: &Bench| {
        let routed = bench.state.route(bench.now, "host.example", "/added/x", Some(KEY));
        routed.map(|_| ()).unwrap_err().reason
    };

    let fresh = reason(&bench);
    bench.pass(4_000);

    assert_eq!((fresh, reason(&bench)), (Reason::NoRoute, Reason::NotReady));
}

#[test]
fn after_a_suspension_longer_than_the_bound_no_request_with_a_key_is_sent() {
    let mut bench = bench();
    let mut running = Vec::new();
    // Fill the server, so that the last requests wait.
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

    let late = attempts(&effects).iter().any(|sent| sent.1.start_by > bench.now);
    assert!(!late, "a request with a key may be sent after the bound");
    assert_eq!(accepts(&bench), Err(Reason::NotReady));
}

#[test]
fn a_waiting_request_is_refused_when_its_key_is_revoked() {
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
    assert!(refused.iter().all(|refused| refused.1.reason == Reason::NoKey));
    assert!(refused.iter().all(|refused| refused.1.execution == Execution::NotRun));
}

/// Guards against waiting requests that end with 401 as the rank of their account changes.
#[test]
fn a_waiting_request_is_kept_when_the_tier_of_its_account_changes() {
    let mut bench = bench();
    let waiting = (0..20).map(|_| bench.request("order", prompt(0, 0, 0)).1);
    assert!(waiting.filter(|effects| attempts(effects).is_empty()).count() > 0);
    let mut next = catalog(2);
    let mut accounts = Accounts::default();
    accounts.add(Account { name: ACCOUNT.into(), tier: Some(Tier(0)) }, [KeyHash::of(KEY)]);
    next.accounts = Some(accounts);

    let refused = refusals(&bench.step(Event::Config(Arc::new(next))));

    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against a key that works on for waiting requests after another account got it.
#[test]
fn a_waiting_request_is_refused_when_its_key_goes_to_another_account() {
    let mut bench = bench();
    let waiting: Vec<_> = (0..20).map(|_| bench.request("order", prompt(0, 0, 0)).1).collect();
    let waiting = waiting.iter().filter(|effects| attempts(effects).is_empty()).count();
    let mut next = catalog(2);
    let mut accounts = Accounts::default();
    accounts.add(Account { name: "another".into(), tier: None }, [KeyHash::of(KEY)]);
    next.accounts = Some(accounts);

    let refused = refusals(&bench.step(Event::Config(Arc::new(next))));

    assert!(waiting > 0);
    assert_eq!(refused.len(), waiting);
}

#[test]
fn a_refusal_for_lack_of_servers_has_a_retry_after_time_that_callers_honour() {
    let mut bench = Bench::new(Vec::new());
    let (key, _) = bench.request("order", prompt(0, 0, 0));

    let refused = refusals(&bench.pass(1_000));

    assert_eq!(refused.len(), 1);
    let (refused_key, refusal) = refused[0];
    assert_eq!((refused_key, refusal.execution), (key, Execution::NotRun));
    // Callers honour up to a third of their timeout of four seconds.
    assert!(refusal.retry_after.unwrap() <= Duration::from_millis(1_334));
}

/// Guards against a part of the changes that is taken for all of them.
#[test]
fn a_part_of_the_changes_confirms_no_key() {
    let mut bench = bench();
    bench.pass(4_500);
    assert_eq!(accepts(&bench), Err(Reason::NotReady));

    let view = ViewSummary { revision: 7, digest: 7, ..ViewSummary::default() };
    bench.step(Event::PlatformPartRead { seen_at: bench.now, view });
    let after_part = accepts(&bench);
    bench.step(Event::PlatformRead { as_of: bench.now, view });

    assert_eq!(after_part, Err(Reason::NotReady));
    assert_eq!(accepts(&bench), Ok(()));
}

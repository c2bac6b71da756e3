//! A graceful shutdown cuts off and refuses no request, and the daemon hands over its shards
//! without a time in which nobody owns them.

use std::{sync::Arc, time::Duration};

use config::{Limits, Ownership};
use fakes::{Call, EngineBehavior, FleetBuilder, key_of};

use crate::support::{
    BackgroundLoad, Cell, TIMEOUT, completion, failures, start, unlimited_rates, wait_serving,
};

const CELLS: [Cell; 6] = [
    Cell { pool: "m", zone: "a" },
    Cell { pool: "m", zone: "b" },
    Cell { pool: "m", zone: "c" },
    Cell { pool: "s", zone: "a" },
    Cell { pool: "s", zone: "b" },
    Cell { pool: "s", zone: "c" },
];

/// Without a handover, a takeover takes 4.1 s (lease, list lag and margin), which is longer than
/// the target of any class here.
const OWNERSHIP: Ownership = Ownership {
    lease_ms: 2_000,
    list_lag_ms: 2_000,
    margin_ms: 100,
    heartbeat_ms: 100,
    spread_ms: 1_000,
};

/// Output tokens of the longest response, which takes 1.2 s.
const LONG_TOKENS: u32 = 60;

/// Returns the call of the caller with this number: a long stream, a short completion, or a write
/// that is not idempotent.
fn call(no: usize) -> Call {
    match no % 3 {
        0 => completion("one", LONG_TOKENS).class("high").stream(),
        1 => completion("two", 5).class("low"),
        _ => Call::post("/s/write").key(&key_of("one")).timeout(TIMEOUT),
    }
}

/// Shuts down and restarts every daemon in turn under load, and checks that all requests complete
/// within their target.
fn shut_down_in_turn(builder: FleetBuilder, cells: &[Cell]) {
    let limits = Limits { drain_grace_ms: 1_000, drain_ms: 10_000, ..Limits::default() };
    let builder = builder.configure(unlimited_rates).limits(limits).ownership(OWNERSHIP).proxied();
    let mut fleet = start(builder, cells);
    wait_serving(&fleet, &call(0));
    wait_serving(&fleet, &call(1));
    let balancer = Arc::new(fleet.balancer());
    let load = BackgroundLoad::start(18, move |no| balancer.pick(no), call);

    let mut exits = Vec::new();
    for daemon in fleet.daemon_names() {
        fleet.terminate(&daemon).unwrap();
        exits.push(fleet.wait_exit(&daemon, TIMEOUT).unwrap().and_then(|it| it.code()));
        fleet.restart(&daemon).unwrap();
        fleet.wait_ready(&daemon, TIMEOUT).unwrap();
    }
    let samples = load.stop();

    assert!(exits.iter().all(|it| *it == Some(0)), "exit statuses of the daemons: {exits:?}");
    let failures = failures(&samples);
    let count = samples.len();
    assert!(failures.is_empty(), "{} of {count} requests failed: {failures:?}", failures.len());
    let slowest = samples.iter().map(|it| it.reply.first_byte.unwrap_or_default()).max();
    // The target of the classes of the highest tier.
    assert!(slowest < Some(Duration::from_secs(2)), "slowest first byte after {slowest:?}");
}

/// Long streams and non-idempotent writes are in progress at each daemon that shuts down; all of
/// them must complete.
#[test]
fn shutting_down_every_daemon_in_turn_cuts_and_refuses_no_request() {
    shut_down_in_turn(FleetBuilder::small(2), &CELLS);
}

/// With only one availability zone, no cell or share of another zone can serve requests while a
/// shard has no owner.
#[test]
fn a_daemon_that_shuts_down_hands_over_without_a_gap() {
    let behavior = EngineBehavior::default().tokens_per_s(50.0);
    let builder = FleetBuilder::new()
        .zone("a", 3)
        .class("high", 0, 2_000)
        .class("low", 1, 2_000)
        .class("plain", 0, 2_000)
        .completion_route("/v1/completions", &["high", "low"])
        .route("POST", "/s/write", Some("s"), &["plain"], false)
        .account("one", 1.0, 1)
        .account("two", 1.0, 1)
        .engine("m", "a", 8, behavior.clone())
        .engine("m", "a", 8, behavior)
        .service("s", "a", 32, EngineBehavior::service(Duration::from_millis(5)));
    shut_down_in_turn(builder, &[CELLS[0], CELLS[3]]);
}

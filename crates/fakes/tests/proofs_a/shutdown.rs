//! A graceful shutdown cuts and refuses no request, and hands over what it owns without a gap.

use std::{sync::Arc, time::Duration};

use config::{Limits, Ownership};
use fakes::{Call, FleetBuilder, Knobs, key_of};

use crate::support::{Cell, LIMIT, Load, completion, failures, start, unlimited, wait_serving};

const CELLS: [Cell; 6] = [
    Cell { pool: "m", zone: "a" },
    Cell { pool: "m", zone: "b" },
    Cell { pool: "m", zone: "c" },
    Cell { pool: "s", zone: "a" },
    Cell { pool: "s", zone: "b" },
    Cell { pool: "s", zone: "c" },
];

/// Without a handover, a takeover takes 4.1 s, which is longer than any class's target here.
const OWNERSHIP: Ownership = Ownership {
    lease_ms: 2_000,
    list_lag_ms: 2_000,
    margin_ms: 100,
    heartbeat_ms: 100,
    spread_ms: 1_000,
};

/// The longest answer takes 1.2 s.
const LONG_TOKENS: u32 = 60;

/// What the caller with this number sends: long streams, short completions, and writes that must
/// not run twice.
fn call(no: usize) -> Call {
    match no % 3 {
        0 => completion("one", LONG_TOKENS).class("high").stream(),
        1 => completion("two", 5).class("low"),
        _ => Call::post("/s/write").key(&key_of("one")).timeout(LIMIT),
    }
}

/// Shuts down every daemon in turn under load, starts it again, and checks that no caller noticed.
fn shut_down_in_turn(builder: FleetBuilder, cells: &[Cell]) {
    let limits = Limits { drain_grace_ms: 1_000, drain_ms: 10_000, ..Limits::default() };
    let builder = builder.configure(unlimited).limits(limits).ownership(OWNERSHIP).proxied();
    let mut fleet = start(builder, cells);
    wait_serving(&fleet, &call(0));
    wait_serving(&fleet, &call(1));
    let balancer = Arc::new(fleet.balancer());
    let load = Load::start(18, move |no| balancer.pick(no), call);

    let mut ends = Vec::new();
    for daemon in fleet.names() {
        fleet.terminate(&daemon).unwrap();
        ends.push(fleet.wait_exit(&daemon, LIMIT).unwrap().and_then(|it| it.code()));
        fleet.restart(&daemon).unwrap();
        fleet.wait_ready(&daemon, LIMIT).unwrap();
    }
    let samples = load.stop();

    assert!(ends.iter().all(|it| *it == Some(0)), "the daemons ended with {ends:?}");
    let failures = failures(&samples);
    let count = samples.len();
    assert!(failures.is_empty(), "{} of {count} failed: {failures:?}", failures.len());
    let slow = samples.iter().map(|it| it.reply.first_byte.unwrap_or_default()).max();
    // The target of the classes with the highest tier.
    assert!(slow < Some(Duration::from_secs(2)), "the slowest answer began after {slow:?}");
}

#[test]
fn every_daemon_in_turn_shuts_down_without_a_cut_or_refused_request() {
    shut_down_in_turn(FleetBuilder::small(2), &CELLS);
}

/// With one availability zone only, no other cell or share can fill a gap.
#[test]
fn a_daemon_that_shuts_down_hands_over_without_a_gap() {
    let knobs = Knobs::default().tokens_per_s(50.0);
    let builder = FleetBuilder::new()
        .zone("a", 3)
        .class("high", 0, 2_000)
        .class("low", 1, 2_000)
        .class("plain", 0, 2_000)
        .completions("/v1/completions", &["high", "low"])
        .route("POST", "/s/write", Some("s"), &["plain"], false)
        .account("one", 1.0, 1)
        .account("two", 1.0, 1)
        .engine("m", "a", 8, knobs.clone())
        .engine("m", "a", 8, knobs)
        .service("s", "a", 32, Knobs::service(Duration::from_millis(5)));
    shut_down_in_turn(builder, &[CELLS[0], CELLS[3]]);
}

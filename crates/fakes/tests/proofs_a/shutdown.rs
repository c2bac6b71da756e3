//! A graceful shutdown cuts and refuses no request, and hands over what it owns without a gap.

use std::{sync::Arc, time::Duration};

use config::{Limits, Ownership};
use fakes::{Call, FleetBuilder, key_of};

use crate::support::{Cell, LIMIT, Load, completion, failures, start, unlimited};

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

#[test]
fn every_daemon_in_turn_shuts_down_without_a_cut_or_refused_request() {
    let limits = Limits { drain_grace_ms: 1_000, drain_ms: 10_000, ..Limits::default() };
    let builder =
        FleetBuilder::small(2).configure(unlimited).limits(limits).ownership(OWNERSHIP).proxied();
    let mut fleet = start(builder, &CELLS);
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

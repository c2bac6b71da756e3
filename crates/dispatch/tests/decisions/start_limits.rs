//! The limits of the fleet at an instance that starts: others may have used all of them.

use std::{net::SocketAddrV4, sync::Arc};

use dispatch::{AttemptEnd, Bounds, Delivered, Event, ServerEntry, Setup, State};
use model::prelude::*;

use crate::support::{Bench, address, attempts, catalog, prompt, server, setup};

const BROKEN: AttemptEnd = AttemptEnd::Broken { delivered: Delivered::Nothing };

/// Returns an instance that has just started, whose retries are paid by the slack alone.
fn started(seeds: &[SocketAddrV4]) -> Bench {
    let now = Time::from_millis(10_000_000);
    let bounds = Bounds { retry_ratio: 0.0, retry_slack: 54.0, ..Bounds::default() };
    let setup = Setup { bounds, seeds: seeds.to_vec(), ..setup() };
    let mut bench = Bench::running(State::new(now, setup), now);
    bench.step(Event::Config(Arc::new(catalog(1))));
    let servers = [("e1", 11), ("e2", 12), ("e3", 13)];
    bench.step(Event::Listed(servers.map(|(id, host)| server(id, "ledger", host)).into()));
    bench.read();
    bench
}

/// Sends requests for some time, each of which fails at its first server, and returns the number of
/// retries.
fn count_retries(bench: &mut Bench, millis: u64) -> usize {
    let mut retries = 0;
    for _ in 0..millis / 50 {
        bench.pass(50);
        bench.read();
        let (key, first) = bench.request("look", prompt(0, 0, 0));
        assert_eq!(attempts(&first).len(), 1);
        bench.step(Event::Sent { key });
        let second = bench.ended(key, BROKEN);
        if !attempts(&second).is_empty() {
            retries += 1;
            bench.step(Event::Sent { key });
            bench.ended(key, AttemptEnd::Completed { is_success: true });
        }
    }
    retries
}

/// Guards against a restarted instance that spends again what its predecessor spent in the same window.
#[test]
fn an_instance_does_not_use_the_slack_before_a_window_has_passed_since_its_start() {
    let mut bench = started(&[]);

    let first = count_retries(&mut bench, 9_900);
    bench.pass(200);
    let second = count_retries(&mut bench, 9_900);

    assert_eq!(first, 0);
    // A quarter of the slack, as one instance may start unseen in each of three zones.
    assert_eq!(second, 13);
}

/// Guards against instances that are cut off from their start on and each take the slack of a lone one.
#[test]
fn an_instance_that_has_heard_from_none_of_its_seeds_does_not_use_the_slack() {
    let mut bench = started(&[address(1, 7000), address(2, 7000), address(3, 7000)]);

    let retries = count_retries(&mut bench, 30_000);

    assert_eq!(retries, 0);
}

/// Guards against restarted instances that each take a lone instance's part of the limit of a cold server,
/// as the seeds that they ask first are down.
#[test]
fn an_instance_that_waits_for_its_seeds_sends_nothing_to_a_cold_server() {
    let mut bench = started(&[address(2, 7000)]);
    let cold = Duration::from_secs(60);
    bench.list(ServerEntry { cold, ..server("cold", "engines", 21) });

    let mut sent = 0;
    for topic in 0..9 {
        sent += attempts(&bench.request("live", prompt(172, 543, topic)).1).len();
        bench.pass(1_000);
        bench.read();
    }
    bench.pass(2_000);
    bench.read();
    let later = attempts(&bench.request("live", prompt(172, 543, 9)).1).len();

    assert_eq!((sent, later), (0, 1));
}

//! The times at which an instance that shuts down stops listening and ends.

use dispatch::{Effect, Event};
use model::prelude::*;

use crate::support::{Bench, server};

/// A request that arrives later than this after the request to stop must not be cut off, however
/// long it takes.
const LAST_REQUEST: Duration = Duration::from_secs(3);
/// The load balancer may send callers until then: it checks readiness once a second and acts on the
/// second response.
const BALANCER_NOTICES: Duration = Duration::from_secs(2);

#[test]
fn listening_stops_between_two_and_three_seconds_after_the_request_to_stop() {
    let mut bench = Bench::new(vec![server("e1", "engines", 11)]);
    let effects = bench.step(Event::Shutdown);

    let listened = bench.pass_until(|effect| matches!(effect, Effect::StopListening));

    assert!(effects.iter().any(|effect| matches!(effect, Effect::Ready(false))));
    assert!(listened < LAST_REQUEST, "listened for {listened:?}, too long");
    assert!(listened > BALANCER_NOTICES, "listened for {listened:?} only");
}

#[test]
fn the_process_ends_shortly_before_the_end_of_its_grace_period() {
    let mut bench = Bench::new(vec![server("e1", "engines", 11)]);
    bench.step(Event::Shutdown);

    let ended = bench.pass_until(|effect| matches!(effect, Effect::Exit));

    assert!(ended < Duration::from_secs(8), "the process ended after {ended:?}, too late");
    assert!(ended > Duration::from_secs(7), "the process ended after {ended:?} already");
}

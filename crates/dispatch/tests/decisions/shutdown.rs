//! Pattern: instances are stopped in turn while live conversations go on.

use dispatch::{Effect, Event};
use model::prelude::*;

use crate::support::{Bench, server};

/// A request that comes later than this after the request to stop may not be cut, however long it
/// takes: from the users' rule on planned work.
const LAST_REQUEST: Duration = Duration::from_secs(3);
/// Until then the balancer, which asks once a second and believes the second answer, may send
/// callers.
const BALANCER_NOTICES: Duration = Duration::from_secs(2);

#[test]
fn no_request_is_taken_later_than_the_grace_allows_it_to_be_cut() {
    let mut bench = Bench::new(vec![server("e1", "engines", 11)]);
    let effects = bench.step(Event::Shutdown);

    let listened = bench.pass_until(|it| matches!(it, Effect::StopListening));

    assert!(effects.iter().any(|it| matches!(it, Effect::Ready(false))));
    assert!(listened < LAST_REQUEST, "listened for {listened:?}");
    assert!(listened > BALANCER_NOTICES, "listened for {listened:?} only");
}

#[test]
fn the_process_ends_before_it_is_killed() {
    let mut bench = Bench::new(vec![server("e1", "engines", 11)]);
    bench.step(Event::Shutdown);

    let ended = bench.pass_until(|it| matches!(it, Effect::Exit));

    assert!(ended < Duration::from_secs(8), "ended after {ended:?}");
    assert!(ended > Duration::from_secs(7), "requests had {ended:?} only");
}

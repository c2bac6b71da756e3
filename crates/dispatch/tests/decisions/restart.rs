//! Pattern: all instances are killed and restarted while traffic goes on.

use dispatch::{Effect, Event, State};
use gossip::ViewSummary;
use model::prelude::*;
use std::sync::Arc;

use crate::support::{Bench, attempts, catalog, prompt, refusals, server, setup};

#[test]
fn an_instance_that_has_just_started_serves_many_requests_at_once() {
    let now = Time::from_millis(10_000_000);
    let mut state = State::new(now, setup());
    state.step(now, Event::Config(Arc::new(catalog(1))));
    let servers = [("e1", 11), ("e2", 12)];
    state.step(now, Event::Listed(servers.map(|(it, host)| server(it, "engines", host)).into()));
    let effects = state.step(now, Event::PlatformRead { as_of: now, view: ViewSummary::default() });
    let mut bench = Bench::running(state, now);

    let mut sent = 0;
    for topic in 0..10 {
        let (_, effects) = bench.request("live", prompt(172, 543, topic));
        sent += attempts(&effects).len();
    }
    let later = bench.pass(500);

    assert!(effects.iter().any(|it| matches!(it, Effect::Ready(true))));
    assert_eq!(sent, 10);
    assert!(refusals(&later).is_empty());
}

//! All instances are killed and restarted under traffic: each must serve many requests at once,
//! although it does not know the others yet.

use dispatch::{Effect, Event, State};
use gossip::ViewSummary;
use model::prelude::*;
use std::sync::Arc;

use crate::support::{Bench, attempts, catalog, prompt, refusals, server, setup};

#[test]
fn an_instance_that_has_just_started_sends_many_requests_at_once() {
    let now = Time::from_millis(10_000_000);
    let mut state = State::new(now, setup());
    state.step(now, Event::Config(Arc::new(catalog(1))));
    let servers = [("e1", 11), ("e2", 12)];
    state.step(now, Event::Listed(servers.map(|(id, host)| server(id, "engines", host)).into()));
    let effects = state.step(now, Event::PlatformRead { as_of: now, view: ViewSummary::default() });
    let mut bench = Bench::running(state, now);

    let mut sent = 0;
    for topic in 0..10 {
        let (_, effects) = bench.request("live", prompt(172, 543, topic));
        sent += attempts(&effects).len();
    }
    let later = bench.pass(500);

    assert!(effects.iter().any(|effect| matches!(effect, Effect::Ready(true))));
    assert_eq!(sent, 10);
    assert!(refusals(&later).is_empty());
}

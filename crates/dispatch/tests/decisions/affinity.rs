//! Patterns: many topics with long shared prompts; one topic that gets much of the traffic.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use dispatch::{AttemptEnd, Engine, Event, ServerEntry};
use model::prelude::*;

use crate::support::{Bench, attempts, catalog, prompt, server};

const TOPICS: u64 = 60;

/// Twelve engines, four in each of three zones.
fn engines() -> Vec<ServerEntry> {
    let entry = |it: u8| {
        let zone = ZoneId::of(["zone-a", "zone-b", "zone-c"][usize::from(it % 3)]);
        ServerEntry { zone, ..server(&format!("e{it}"), "engines", 10 + it) }
    };
    (0..12).map(entry).collect()
}

/// Returns the server of a request that ends at once.
fn served_by(bench: &mut Bench, topic: u64) -> String {
    let (key, effects) = bench.request("batch", prompt(6_000, 2_890, topic));
    let sent = attempts(&effects);
    bench.step(Event::Sent { key });
    bench.step(Event::FirstByte { key });
    bench.ended(key, AttemptEnd::Completed { is_success: true });
    sent[0].1.name.to_string()
}

#[test]
fn instances_in_different_zones_send_a_topic_to_the_same_engine() {
    let mut here = Bench::new(engines());
    let mut there = Bench::in_zone("zone-b", engines());

    for topic in 0..TOPICS {
        let first = served_by(&mut here, topic);
        let second = served_by(&mut there, topic);
        assert_eq!(first, second, "topic {topic} is read by two engines");
    }
}

#[test]
fn topics_are_spread_over_the_engines() {
    let mut bench = Bench::new(engines());
    let mut topics = BTreeMap::<String, u64>::new();

    for topic in 0..10 * TOPICS {
        *topics.entry(served_by(&mut bench, topic)).or_default() += 1;
    }

    let mean = 10 * TOPICS / 12;
    assert_eq!(topics.len(), 12);
    assert!(topics.values().all(|it| *it < 2 * mean), "{topics:?}");
}

#[test]
fn a_hot_topic_goes_to_further_engines_before_its_requests_are_late() {
    let mut bench = Bench::new(engines());
    let mut used = BTreeSet::new();

    for own in 0..60 {
        let (_, effects) = bench.request("batch", prompt(6_000, 2_000 + own, 7));
        used.extend(attempts(&effects).into_iter().map(|it| it.1.name.to_string()));
    }

    // An engine reads some 120,000 tokens within the target; these are 126,000 without the shared
    // part.
    assert!(used.len() >= 2, "all went to {used:?}");
    assert!(used.len() < 12, "the shared part is read everywhere");
}

#[test]
fn a_prompt_that_goes_elsewhere_is_fetched_from_where_it_was_read() {
    let mut bench = Bench::new(engines());
    let home = served_by(&mut bench, 7);

    let mut moved = Vec::new();
    for own in 0..60 {
        let (_, effects) = bench.request("batch", prompt(6_000, 2_000 + own, 7));
        let sent = attempts(&effects).into_iter().map(|it| it.1);
        moved.extend(
            sent.filter(|it| *it.name != home).map(|it| (it.name.clone(), it.fetch_source)),
        );
    }

    assert!(!moved.is_empty(), "all went to the home");
    let home = engines().into_iter().find(|it| *it.name == home).unwrap();
    let mut seen = BTreeSet::new();
    for (engine, source) in moved {
        // What the engine fetched once it has.
        let expected = seen.insert(engine).then_some(home.address);
        assert_eq!(source, expected);
    }
}

#[test]
fn nothing_is_fetched_from_an_engine_that_fails() {
    let mut bench = Bench::new(engines());
    let home = served_by(&mut bench, 7);
    let home = engines().into_iter().find(|it| *it.name == home).unwrap();
    for _ in 0..5 {
        let (key, effects) = bench.request("batch", prompt(6_000, 2_890, 7));
        if attempts(&effects)[0].1.name == home.name {
            bench.step(Event::Sent { key });
            bench.ended(key, AttemptEnd::Broken { is_partial: false });
        }
    }

    let (_, effects) = bench.request("batch", prompt(6_000, 2_890, 7));

    let next = &attempts(&effects)[0].1;
    assert_ne!(next.name, home.name);
    assert_ne!(next.fetch_source, Some(home.address));
}

#[test]
fn engines_that_cannot_fetch_are_not_told_to() {
    let mut bench = Bench::new(engines());
    let mut plain = catalog(2);
    for pool in plain.pools.values_mut() {
        pool.engine = pool.engine.map(|it| Engine { fetch_per_token: None, ..it });
    }
    bench.step(Event::Config(Arc::new(plain)));

    for own in 0..60 {
        let (_, effects) = bench.request("batch", prompt(6_000, 2_000 + own, 7));
        for (_, attempt) in attempts(&effects) {
            assert_eq!(attempt.fetch_source, None);
        }
    }
}

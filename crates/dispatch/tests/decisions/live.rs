//! Live streams and short requests beside a burst of long prompts.

use std::{collections::BTreeSet, sync::Arc};

use dispatch::{Engine, Event, ServerEntry};

use crate::support::{Bench, attempts, catalog, prompt, refusals, server};

/// The number of long prompts in a burst, far more than two engines read within the target.
const BURST: u64 = 400;

const ENGINES: u8 = 40;

fn small_engine(no: u8) -> ServerEntry {
    ServerEntry { slots: 8, ..server(&format!("e{no}"), "engines", 10 + no) }
}

/// Returns an instance with forty engines of eight slots each.
fn many_small_engines() -> Bench {
    let mut bench = Bench::new((0..ENGINES).map(small_engine).collect());
    let mut small = catalog(2);
    for pool in small.pools.values_mut() {
        pool.engine = pool.engine.map(|engine| Engine { slots: 8, ..engine });
    }
    bench.step(Event::Config(Arc::new(small)));
    bench
}

fn two_engines() -> Bench {
    Bench::new(vec![server("e1", "engines", 11), server("e2", "engines", 12)])
}

#[test]
fn a_live_stream_starts_at_a_busy_engine_while_long_prompts_wait() {
    let mut bench = two_engines();
    for topic in 0..BURST {
        bench.request("batch", prompt(6_000, 3_000, topic));
    }

    let (_, effects) = bench.request("live", prompt(172, 543, 1));
    let sent = attempts(&effects);
    let later = bench.pass(1_000);

    assert_eq!(sent.len(), 1, "a live stream waits behind long prompts");
    assert!(!refusals(&later).is_empty(), "no request of the burst was refused");
}

#[test]
fn a_short_request_behind_long_prompts_is_sent_late_rather_than_refused() {
    let mut bench = two_engines();
    // Prefill of some 450 ms at each engine.
    for topic in 0..10 {
        bench.request("batch", prompt(6_000, 3_000, topic));
    }

    let (key, first) = bench.request("short", prompt(568, 1_800, 1));
    let later = bench.pass(400);

    let sent = attempts(&first).into_iter().chain(attempts(&later)).any(|sent| sent.0 == key);
    assert!(sent, "the request was not sent though an engine became free before its timeout");
}

#[test]
fn long_prompts_wait_in_the_queue_once_the_engines_have_enough_to_read() {
    let mut bench = two_engines();
    let mut sent = 0;

    for topic in 0..BURST {
        let (_, effects) = bench.request("batch", prompt(6_000, 3_000, topic));
        sent += attempts(&effects).len();
    }

    // At 100 tokens a millisecond an engine reads 120,000 tokens within the target of 1,200 ms.
    assert!((4..40).contains(&sent), "{sent} long prompts of 9,000 tokens were sent at once");
}

#[test]
fn long_prompts_avoid_the_engines_that_live_streams_prefer() {
    let mut bench = many_small_engines();
    let mut streams = Vec::new();
    for own in 0..24 {
        let mut talk = prompt(172, 500 + own, 1);
        talk.max_output = 280;
        let (key, effects) = bench.request("live", talk);
        streams.push(attempts(&effects)[0].1.clone());
        bench.step(Event::Sent { key });
        bench.step(Event::FirstByte { key });
        for _ in 0..4 {
            bench.pass(100);
            for stream in &streams {
                bench.step(Event::BytesReceived { server: stream.server });
            }
        }
        bench.read();
    }
    let live: BTreeSet<_> = streams.iter().map(|stream| stream.name.to_string()).collect();

    let mut long = BTreeSet::new();
    for topic in 0..30 {
        let (_, effects) = bench.request("batch", prompt(6_000, 2_890, topic));
        long.extend(attempts(&effects).into_iter().map(|sent| sent.1.name.to_string()));
    }

    assert!(live.len() < usize::from(ENGINES) / 4, "live streams are spread over {live:?}");
    let shared = live.intersection(&long).count();
    assert!(shared <= 1, "{shared} of {} engines with live streams got long prompts", live.len());
}

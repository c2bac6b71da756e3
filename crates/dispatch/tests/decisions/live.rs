//! Live streams and short requests beside a burst of long prompts.

use std::{collections::BTreeSet, sync::Arc};

use dispatch::{Effect, Engine, Event, LogEntry, ServerEntry};

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

/// Starts live streams one after the other and returns the engines that they run at.
fn start_streams(bench: &mut Bench, count: u32) -> Vec<String> {
    let mut names = Vec::new();
    for own in 0..count {
        let mut talk = prompt(172, 500 + own, 1);
        talk.max_output = 280;
        let (key, effects) = bench.request("live", talk);
        names.push(attempts(&effects)[0].1.name.to_string());
        bench.step(Event::Sent { key });
        bench.step(Event::FirstByte { key });
        bench.pass(400);
        bench.read();
    }
    names
}

/// Hundreds of instances start streams at the same time, and none knows of the others'. If all took
/// the same engine, it would be full while others are idle.
#[test]
fn instances_that_know_nothing_of_each_other_spread_a_burst_of_live_streams() {
    let mut used = BTreeSet::new();
    for instance in 0..20 {
        let mut bench = many_small_engines();
        let names = start_streams(&mut bench, 8);
        // Each request has another id, as it has at different instances.
        used.insert(names[instance % 8].clone());
    }
    let mut bench = many_small_engines();
    let names = start_streams(&mut bench, 24);
    let engines: BTreeSet<_> = names.iter().collect();
    let most = engines.iter().map(|it| names.iter().filter(|name| name == it).count()).max();

    assert!(used.len() > 1, "all instances begin at {used:?}");
    assert!(most.is_some_and(|most| most <= 8), "an engine of 8 slots got {most:?} of 24 streams");
}

/// Keeping live streams apart must not leave a long prompt without an engine.
#[test]
fn an_overdue_long_prompt_goes_to_an_engine_of_live_streams() {
    let mut bench = many_small_engines();
    // The first stream begins before engines are set apart.
    let live: BTreeSet<_> = start_streams(&mut bench, 4).into_iter().skip(1).collect();
    let mut last = None;
    for topic in 0..600 {
        let (key, effects) = bench.request("batch", prompt(6_000, 2_890, topic));
        if attempts(&effects).is_empty() {
            last = Some(key);
            break;
        }
        let name = attempts(&effects)[0].1.name.to_string();
        assert!(!live.contains(&name), "a long prompt went to {name} at once");
    }
    let waiting = last.expect("the engines take more prompts than they have slots for");

    let sent = attempts(&bench.pass(600));

    assert!(sent.iter().any(|it| it.0 == waiting), "the prompt was not sent");
}

/// Callers state the length of their prompts. One that states an absurd length must not take engines
/// from live streams.
#[test]
fn an_absurd_prompt_length_takes_no_engine_from_live_streams() {
    let mut bench = many_small_engines();
    start_streams(&mut bench, 24);

    for own in 0..3 {
        bench.request("batch", prompt(6_000, u32::MAX / 2 - own, 1));
    }
    let effects = bench.pass(500);

    let changes = effects.iter().filter_map(|effect| match effect {
        Effect::Log(LogEntry::LiveEngines { count, demand, .. }) => Some((*count, *demand)),
        _ => None,
    });
    // The streams that run go on to raise the average, which may add an engine.
    for (count, demand) in changes {
        assert!(demand.prompt_tokens_per_s < 1e6, "{count} engines are left for {demand:?}");
    }
}

//! More long prompts of a low tier than the engines read, beside short requests of a higher one.
//! Engines admit requests by the rank that is sent with them, so work of lower tiers that was sent
//! earlier does not delay a request of a higher tier by much.

use std::sync::Arc;

use dispatch::{Effect, Engine, Event, RequestKey, ServerEntry};

use crate::support::{Bench, address, attempts, catalog, prompt, refusals, server};

/// Long prompts that arrive, far more than two engines read within the target.
const BURST: u64 = 400;
/// Slots of an engine in the tests that fill them.
const SLOTS: u32 = 8;

fn engines() -> Vec<ServerEntry> {
    vec![server("e1", "engines", 11), server("e2", "engines", 12)]
}

/// Returns an instance with two engines at which long prompts of the lowest tier wait for as long
/// as their route tolerates.
fn engines_behind_long_prompts() -> Bench {
    let mut bench = Bench::new(engines());
    for topic in 0..BURST {
        bench.request("batch", prompt(6_000, 3_000, topic));
    }
    // Overdue prompts accept the longest time.
    bench.pass(500);
    bench
}

/// Sends a short request and returns whether it is sent to an engine before it is refused.
fn is_short_request_sent(bench: &mut Bench, own: u32) -> bool {
    bench.read();
    let (key, first) = bench.request("short", prompt(568, own, 1));
    let later = bench.pass(320);
    let mut sent = attempts(&first);
    sent.extend(attempts(&later));
    sent.iter().any(|it| it.0 == key)
}

/// Guards against urgent requests that get nothing while less urgent, larger ones begin: their own
/// work ahead keeps the expected time above what the urgent ones tolerate.
#[test]
fn a_short_request_is_sent_while_long_prompts_of_a_lower_tier_fill_the_engines() {
    let mut bench = engines_behind_long_prompts();

    let sent = (0..20).filter(|own| is_short_request_sent(&mut bench, 1_800 + own)).count();

    assert_eq!(sent, 20, "short requests were refused behind long prompts of a lower tier");
}

/// Guards against urgent requests that get nothing behind long prompts that other instances sent.
#[test]
fn a_short_request_is_sent_while_long_prompts_of_other_instances_fill_the_engines() {
    let mut other = engines_behind_long_prompts();
    // It sends packets once it knows of a peer.
    other.receive_peer_read();
    for topic in 0..BURST {
        other.request("batch", prompt(6_000, 3_000, topic));
    }
    let mut bench = Bench::new(engines());
    for effect in other.pass(500) {
        let Effect::Send(mut outgoing) = effect else { continue };
        outgoing.packet.sender.address = address(2, 7000);
        bench.step(Event::Packet(outgoing.packet));
    }
    let (_, effects) = bench.request("batch", prompt(6_000, 3_000, 1));
    assert!(attempts(&effects).is_empty(), "the loads of the other instance are not known");

    assert!(is_short_request_sent(&mut bench, 1_800));
}

/// Guards against urgent requests that get nothing while every slot runs less urgent ones.
#[test]
fn a_short_request_is_sent_while_lower_tiers_take_all_slots() {
    let mut bench =
        Bench::new(engines().into_iter().map(|it| ServerEntry { slots: SLOTS, ..it }).collect());
    let mut small = catalog(2);
    for pool in small.pools.values_mut() {
        pool.engine = pool.engine.map(|engine| Engine { slots: SLOTS, ..engine });
    }
    bench.step(Event::Config(Arc::new(small)));
    for topic in 0..u64::from(4 * SLOTS) {
        let (key, effects) = bench.request("batch", prompt(0, 100, topic));
        if !attempts(&effects).is_empty() {
            // The prompt is read, and the response goes on.
            bench.step(Event::Sent { key });
            bench.step(Event::FirstByte { key });
        }
    }

    assert!(is_short_request_sent(&mut bench, 1_800), "a request waits for slots of lower tiers");
}

/// Guards against less urgent requests that begin while urgent ones wait for the same engines and
/// are refused.
#[test]
fn long_prompts_do_not_begin_while_short_requests_of_a_higher_tier_wait() {
    let mut bench = Bench::new(engines());
    let mut waiting: Vec<RequestKey> = Vec::new();
    let mut refused = 0;
    let mut begun = Vec::new();

    for no in 0..600_u32 {
        let (key, effects) = bench.request("short", prompt(568, 1_800 + no, 1));
        if attempts(&effects).is_empty() {
            waiting.push(key);
        }
        let (long, effects) = bench.request("batch", prompt(6_000, 3_000, u64::from(no)));
        let mut effects = effects;
        effects.extend(bench.pass(2));
        for (key, _) in attempts(&effects) {
            waiting.retain(|it| *it != key);
            if key == long && !waiting.is_empty() {
                begun.push(no);
            }
        }
        for (key, _) in refusals(&effects) {
            refused += usize::from(waiting.contains(&key));
            waiting.retain(|it| *it != key);
        }
    }

    assert!(refused > 0, "the short requests alone are no overload");
    assert!(begun.is_empty(), "{} long prompts began while short requests waited", begun.len());
}

/// Guards against the reverse: a low tier must not get nothing while the engines have time.
#[test]
fn long_prompts_begin_beside_a_steady_stream_of_short_requests() {
    let mut bench = Bench::new(engines());
    let mut begun = 0;

    for no in 0..50_u32 {
        let (short, _) = bench.request("short", prompt(568, 1_800 + no, 1));
        let (_, effects) = bench.request("batch", prompt(6_000, 2_890, u64::from(no % 4)));
        for (key, _) in attempts(&effects) {
            begun += 1;
            bench.step(Event::Sent { key });
            bench.step(Event::FirstByte { key });
        }
        bench.step(Event::Sent { key: short });
        bench.step(Event::FirstByte { key: short });
        bench.pass(100);
        bench.read();
    }

    assert!(begun >= 45, "only {begun} of 50 long prompts began");
}

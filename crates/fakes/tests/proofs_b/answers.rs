//! Answers are whole and belong to their requests, or the caller can tell that they do not.

use std::time::Duration;

use fakes::{
    Call, Client, End, Fault, Fleet, FleetBuilder, Knobs, exchange_raw, key_of,
    rt::{block_on, spawn},
};
use serde_json::Value;

use crate::support::{self, Bench, READY_LIMIT};

const ACCOUNT: &str = "one";
const TOKENS: u32 = 60;
const TOKENS_PER_S: f64 = 200.0;
const CALL_LIMIT: Duration = Duration::from_secs(8);
/// The end of a body in chunked coding.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// One daemon and one engine in each of three zones.
fn fleet(resumes: bool) -> Bench {
    let mut builder = FleetBuilder::new()
        .class("high", 0, 2_000)
        .completions("/v1/completions", &["high"])
        .account(ACCOUNT, 200.0, 200);
    for zone in ["a", "b", "c"] {
        let knobs = Knobs::default().tokens_per_s(TOKENS_PER_S);
        let knobs = if resumes { knobs.resumes() } else { knobs };
        builder = builder.zone(zone, 1).engine("m", zone, 8, knobs);
    }
    let fleet = support::start_beside(builder);
    // The shares start empty: their tokens come with time.
    support::pass(Duration::from_millis(1_500));
    fleet
}

fn completion(nonce: &str, stream: bool) -> Call {
    let call = Call::completion("/v1/completions", "m", TOKENS).key(&key_of(ACCOUNT));
    let call = call.nonce(nonce).timeout(CALL_LIMIT);
    if stream { call.stream() } else { call }
}

/// Returns whether a reply holds all of the answer, not only what HTTP calls whole.
fn has_all(reply: &fakes::Reply, stream: bool) -> bool {
    if stream {
        return reply.events == TOKENS;
    }
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    body["tokens"] == TOKENS
}

/// Spoils the first attempt of a request, wherever it goes.
fn spoil(fleet: &Fleet, fault: Fault, nonce: &str, stream: bool) -> fakes::Reply {
    fleet.engines().values().for_each(|it| it.tune(|knobs| knobs.slow = 1.0));
    let engine = fleet.engine("m-a-1");
    engine.fault(fault, 1);
    let mut client = Client::new(fleet.address("a-1"));
    block_on(client.send(&completion(nonce, stream)))
}

const FAULTS: [Fault; 6] = [
    Fault::Cut,
    Fault::NoDone,
    Fault::Foreign,
    Fault::Late(Duration::from_millis(300)),
    Fault::ResetAfterRun,
    Fault::NotRun,
];

#[test]
fn streams_that_break_are_resumed_or_repeated() {
    let fleet = fleet(true);

    for (no, fault) in FAULTS.into_iter().enumerate() {
        for stream in [false, true] {
            let reply = spoil(&fleet, fault, &format!("r{no}-{stream}"), stream);

            println!("{fault:?}, stream {stream}: {:?}, {} events", reply.end, reply.events);
            assert_eq!(reply.end, End::Whole, "{fault:?}, stream {stream}: {}", reply.reason);
            assert!(has_all(&reply, stream), "{fault:?}, stream {stream}");
        }
    }
    let record = fleet.record();
    let resumed = |it: &&fakes::Entry| it.request.header("x-resume-from").is_some();
    assert!(record.iter().filter(resumed).count() >= 2, "no stream was resumed");
}

#[test]
fn nothing_partial_or_foreign_passes_as_whole_without_resuming() {
    let fleet = fleet(false);

    for (no, fault) in FAULTS.into_iter().enumerate() {
        for stream in [false, true] {
            let reply = spoil(&fleet, fault, &format!("p{no}-{stream}"), stream);

            println!("{fault:?}, stream {stream}: {:?}, {} events", reply.end, reply.events);
            assert_ne!(reply.end, End::Foreign, "{fault:?}, stream {stream}");
            assert!(
                reply.end != End::Whole || has_all(&reply, stream),
                "{fault:?}, stream {stream}: a part passes as whole"
            );
            let begun =
                stream && matches!(fault, Fault::Cut | Fault::NoDone | Fault::ResetAfterRun);
            assert_eq!(reply.is_whole(), !begun, "{fault:?}, stream {stream}: {:?}", reply.end);
        }
    }
}

#[test]
fn a_stream_without_its_last_event_does_not_end_properly() {
    let fleet = fleet(false);
    let body = format!(r#"{{"model":"m","max_tokens":{TOKENS},"stream":true,"nonce":"raw"}}"#);
    let (key, length) = (key_of(ACCOUNT), body.len());
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let address = fleet.address("a-1");
    let ask = || block_on(exchange_raw(address, request.as_bytes(), CALL_LIMIT)).unwrap();

    let sound = ask();
    fleet.engine("m-a-1").fault(Fault::NoDone, 1);
    let spoiled = ask();

    assert!(sound.ends_with(LAST_CHUNK), "{}", String::from_utf8_lossy(&sound));
    assert!(!spoiled.ends_with(LAST_CHUNK), "{}", String::from_utf8_lossy(&spoiled));
}

#[test]
fn answers_are_whole_when_their_engine_crashes() {
    let fleet = fleet(true);

    for stream in [false, true] {
        let (address, call) = (fleet.address("a-1"), completion(&format!("c-{stream}"), stream));
        let reply = spawn(async move { Client::new(address).send(&call).await });
        let engine = fleet.engine("m-a-1");
        let runs = || if engine.running() > 0 { Ok(()) } else { Err("idle".to_owned()) };
        fleet.wait("a request at the engine", READY_LIMIT, runs).unwrap();
        support::pass(Duration::from_millis(100));
        engine.stop();
        let reply = block_on(reply);
        engine.restart().unwrap();
        engine.warm();

        assert_eq!(reply.end, End::Whole, "stream {stream}: {}", reply.reason);
        assert!(has_all(&reply, stream), "stream {stream}");
        // The engine is used again before it crashes once more.
        let used = || {
            block_on(Client::new(address).send(&completion("again", false)));
            let count = engine.record().iter().filter(|it| it.nonce() == "again").count();
            if count > 0 { Ok(()) } else { Err("not used".to_owned()) }
        };
        fleet.wait("the engine in use", READY_LIMIT, used).unwrap();
    }
}

#[test]
fn a_caller_can_tell_that_its_daemon_died_in_the_middle_of_an_answer() {
    for stream in [false, true] {
        let mut fleet = fleet(true);
        let (address, call) = (fleet.address("a-1"), completion("dead", stream));
        let reply = spawn(async move { Client::new(address).send(&call).await });
        let runs = || {
            let running: usize = fleet.engines().values().map(fakes::Engine::running).sum();
            if running > 0 { Ok(()) } else { Err("idle".to_owned()) }
        };
        fleet.wait("a request at an engine", READY_LIMIT, runs).unwrap();
        support::pass(Duration::from_millis(100));

        fleet.kill("a-1").unwrap();

        let reply = block_on(reply);
        let seen = matches!(reply.end, End::Truncated | End::NoAnswer(_));
        assert!(seen, "stream {stream}: {:?}", reply.end);
    }
}

#[test]
fn many_answers_at_once_reach_their_own_callers() {
    const CALLS: usize = 60;
    let fleet = fleet(true);
    // Each server spoils answers in its own way, so that no request meets more spoiled answers
    // than it has attempts.
    let late = Fault::Late(Duration::from_millis(150));
    for (name, fault) in [("m-a-1", Fault::Foreign), ("m-b-1", Fault::Cut), ("m-c-1", late)] {
        fleet.engine(name).fault(fault, 3);
    }
    let names = fleet.names();
    let planned = |i: usize| {
        let nonce = format!("many-{i}");
        let call = completion(&nonce, i.is_multiple_of(2)).timeout(Duration::from_secs(12));
        let targets = vec![fleet.address(&names[i % names.len()])];
        support::Planned { at: Duration::from_millis(20 * i as u64), targets, call, nonce }
    };

    let samples = support::all_at_once((0..CALLS).map(planned).collect());

    println!("many at once: {}", support::ends(&samples));
    for (i, sample) in samples.iter().enumerate() {
        assert_eq!(sample.reply.end, End::Whole, "{}: {}", sample.nonce, sample.reply.reason);
        assert!(has_all(&sample.reply, i.is_multiple_of(2)), "{}", sample.nonce);
    }
}

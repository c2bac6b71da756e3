//! Responses are complete and belong to their requests, or the caller can detect that they are not.

use std::time::Duration;

use fakes::{
    Call, Client, End, EngineBehavior, Fault, Fleet, FleetBuilder, exchange_raw, key_of,
    rt::{block_on, spawn},
};
use serde_json::Value;

use crate::support::{self, GuardedFleet, READY_TIMEOUT};

const ACCOUNT: &str = "one";
const TOKENS: u32 = 60;
const TOKENS_PER_S: f64 = 200.0;
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// The last chunk of a body in chunked transfer coding.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// One daemon and one engine in each of three zones.
fn fleet(resumes: bool) -> GuardedFleet {
    let mut builder = FleetBuilder::new()
        .class("high", 0, 2_000)
        .completion_route("/v1/completions", &["high"])
        .account(ACCOUNT, 200.0, 200);
    for zone in ["a", "b", "c"] {
        let behavior = EngineBehavior::default().tokens_per_s(TOKENS_PER_S);
        let behavior = if resumes { behavior.resumes() } else { behavior };
        builder = builder.zone(zone, 1).engine("m", zone, 8, behavior);
    }
    let fleet = support::start_shared(builder);
    // The shares start empty and fill at the accounts' rates.
    support::sleep_for(Duration::from_millis(1_500));
    fleet
}

fn completion(nonce: &str, stream: bool) -> Call {
    let call = Call::completion("/v1/completions", "m", TOKENS).key(&key_of(ACCOUNT));
    let call = call.nonce(nonce).timeout(CALL_TIMEOUT);
    if stream { call.stream() } else { call }
}

/// Returns whether a reply holds all tokens, which HTTP's framing alone does not show.
fn has_all(reply: &fakes::Reply, stream: bool) -> bool {
    if stream {
        return reply.events == TOKENS;
    }
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    body["tokens"] == TOKENS
}

/// Sends a request through daemon `a-1` with one fault at the engine of the same zone, so that the
/// first attempt there is faulty.
fn send_with_fault(fleet: &Fleet, fault: Fault, nonce: &str, stream: bool) -> fakes::Reply {
    fleet.engines().values().for_each(|it| it.tune(|behavior| behavior.slow = 1.0));
    let engine = fleet.engine("m-a-1");
    engine.inject_fault(fault, 1);
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

/// Whatever is wrong with the first attempt, the caller must get all tokens, from a resumed stream
/// or from another attempt.
#[test]
fn broken_responses_are_resumed_or_retried() {
    let fleet = fleet(true);

    for (no, fault) in FAULTS.into_iter().enumerate() {
        for stream in [false, true] {
            let reply = send_with_fault(&fleet, fault, &format!("r{no}-{stream}"), stream);

            println!("{fault:?}, stream {stream}: {:?}, {} events", reply.end, reply.events);
            assert_eq!(reply.end, End::Complete, "{fault:?}, stream {stream}: {}", reply.reason);
            assert!(has_all(&reply, stream), "{fault:?}, stream {stream}");
        }
    }
    let record = fleet.record();
    let resumed = |it: &&fakes::RecordedRequest| it.request.header("x-resume-from").is_some();
    assert!(record.iter().filter(resumed).count() >= 2, "no stream was resumed");
}

/// The engines can't resume streams, so a stream that breaks after its first tokens can't be
/// completed. Its caller must be able to detect that.
#[test]
fn no_partial_or_foreign_response_passes_as_complete_without_resuming() {
    let fleet = fleet(false);

    for (no, fault) in FAULTS.into_iter().enumerate() {
        for stream in [false, true] {
            let reply = send_with_fault(&fleet, fault, &format!("p{no}-{stream}"), stream);

            println!("{fault:?}, stream {stream}: {:?}, {} events", reply.end, reply.events);
            assert_ne!(reply.end, End::Foreign, "{fault:?}, stream {stream}");
            assert!(
                reply.end != End::Complete || has_all(&reply, stream),
                "{fault:?}, stream {stream}: a partial response passes as complete"
            );
            let is_partial =
                stream && matches!(fault, Fault::Cut | Fault::NoDone | Fault::ResetAfterRun);
            assert_eq!(
                reply.is_complete(),
                !is_partial,
                "{fault:?}, stream {stream}: {:?}",
                reply.end
            );
        }
    }
}

/// The engine's stream is correct as HTTP. If the daemon sent the last chunk, callers would take
/// the response for complete.
#[test]
fn a_stream_without_its_closing_event_lacks_its_last_chunk() {
    let fleet = fleet(false);
    let body = format!(r#"{{"model":"m","max_tokens":{TOKENS},"stream":true,"nonce":"raw"}}"#);
    let (key, length) = (key_of(ACCOUNT), body.len());
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let address = fleet.address("a-1");
    let send = || block_on(exchange_raw(address, request.as_bytes(), CALL_TIMEOUT)).unwrap();

    let intact = send();
    fleet.engine("m-a-1").inject_fault(Fault::NoDone, 1);
    let truncated = send();

    assert!(intact.ends_with(LAST_CHUNK), "{}", String::from_utf8_lossy(&intact));
    assert!(!truncated.ends_with(LAST_CHUNK), "{}", String::from_utf8_lossy(&truncated));
}

/// The engine crashes while it generates the response and restarts only after the reply, so another
/// engine must complete the response.
#[test]
fn responses_are_complete_when_their_engine_crashes() {
    let fleet = fleet(true);

    for stream in [false, true] {
        let (address, call) = (fleet.address("a-1"), completion(&format!("c-{stream}"), stream));
        let reply = spawn(async move { Client::new(address).send(&call).await });
        let engine = fleet.engine("m-a-1");
        let is_running = || if engine.running() > 0 { Ok(()) } else { Err("idle".to_owned()) };
        fleet.wait("a running request at the engine", READY_TIMEOUT, is_running).unwrap();
        support::sleep_for(Duration::from_millis(100));
        engine.crash();
        let reply = block_on(reply);
        engine.restart().unwrap();
        engine.end_cold_start();

        assert_eq!(reply.end, End::Complete, "stream {stream}: {}", reply.reason);
        assert!(has_all(&reply, stream), "stream {stream}");
        // The engine must get requests again before it crashes a second time.
        let is_used = || {
            block_on(Client::new(address).send(&completion("again", false)));
            let count = engine.record().iter().filter(|it| it.nonce() == "again").count();
            if count > 0 { Ok(()) } else { Err("no request received".to_owned()) }
        };
        fleet.wait("a request at the restarted engine", READY_TIMEOUT, is_used).unwrap();
    }
}

/// Nobody can complete the response, so the caller must see that it is truncated or that the
/// connection failed.
#[test]
fn a_caller_detects_that_its_daemon_died_in_the_middle_of_a_response() {
    for stream in [false, true] {
        let mut fleet = fleet(true);
        let (address, call) = (fleet.address("a-1"), completion("dead", stream));
        let reply = spawn(async move { Client::new(address).send(&call).await });
        let is_running = || {
            let running: usize = fleet.engines().values().map(fakes::Engine::running).sum();
            if running > 0 { Ok(()) } else { Err("idle".to_owned()) }
        };
        fleet.wait("a running request at an engine", READY_TIMEOUT, is_running).unwrap();
        support::sleep_for(Duration::from_millis(100));

        fleet.kill("a-1").unwrap();

        let reply = block_on(reply);
        let is_detected = matches!(reply.end, End::Truncated | End::NoAnswer(_));
        assert!(is_detected, "stream {stream}: {:?}", reply.end);
    }
}

/// Requests that are retried or resumed after foreign, truncated and late responses must not get
/// the responses of others that run at the same time.
#[test]
fn many_concurrent_responses_reach_their_own_callers() {
    const CALLS: usize = 60;
    let fleet = fleet(true);
    // Each server has a different fault, so that no request gets more faulty responses than it has
    // attempts.
    let late = Fault::Late(Duration::from_millis(150));
    for (name, fault) in [("m-a-1", Fault::Foreign), ("m-b-1", Fault::Cut), ("m-c-1", late)] {
        fleet.engine(name).inject_fault(fault, 3);
    }
    let names = fleet.daemon_names();
    let planned = |i: usize| {
        let nonce = format!("many-{i}");
        let call = completion(&nonce, i.is_multiple_of(2)).timeout(Duration::from_secs(12));
        let targets = vec![fleet.address(&names[i % names.len()])];
        support::PlannedCall { at: Duration::from_millis(20 * i as u64), targets, call, nonce }
    };

    let samples = support::run_calls((0..CALLS).map(planned).collect());

    println!("concurrent responses: {}", support::summary(&samples));
    for (i, sample) in samples.iter().enumerate() {
        assert_eq!(sample.reply.end, End::Complete, "{}: {}", sample.nonce, sample.reply.reason);
        assert!(has_all(&sample.reply, i.is_multiple_of(2)), "{}", sample.nonce);
    }
}

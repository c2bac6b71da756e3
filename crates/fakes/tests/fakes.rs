//! The fakes against themselves, without daemons.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use config::InstanceList;
use fakes::{
    Call, Client, Direction, End, Engine, Entry, Fault, Finish, Knobs, Platform, Proxy, Reply,
    excess, peak,
    rt::{block_on, sleep, spawn},
};

fn completion(nonce: &str) -> Call {
    Call::completion("/v1/completions", "m", 20).nonce(nonce).timeout(Duration::from_secs(5))
}

fn send(engine: &Engine, call: &Call) -> Reply {
    block_on(Client::new(engine.address()).send(call))
}

fn warm_engine() -> Engine {
    Engine::start_warm(Knobs::default().tokens_per_s(1_000.0).resumes()).unwrap()
}

#[test]
fn whole_and_streamed_answers_are_whole() {
    let engine = warm_engine();
    let mut client = Client::new(engine.address());

    let whole = block_on(client.send(&completion("1")));
    let streamed = block_on(client.send(&completion("2").stream()));

    assert_eq!(whole.end, End::Whole);
    assert_eq!(streamed.end, End::Whole);
    assert_eq!(streamed.events, 20);
    let record = engine.record();
    assert!(record.iter().all(|it| it.finish == Finish::Whole && it.tokens == 20));
    assert_eq!(record[1].nonce(), "2");
}

#[test]
fn every_fault_is_seen_by_the_client() {
    let cases = [
        (Fault::Cut, End::Truncated, End::Truncated),
        (Fault::NoDone, End::Whole, End::Truncated),
        (Fault::Foreign, End::Foreign, End::Foreign),
        (Fault::Late(Duration::from_millis(20)), End::Whole, End::Whole),
        (Fault::NotRun, End::Refused, End::Refused),
        (Fault::Silent, End::TimedOut, End::TimedOut),
    ];
    for (fault, whole, streamed) in cases {
        let engine = warm_engine();
        engine.fault(fault, 2);
        let call = completion("x").timeout(Duration::from_millis(500));

        assert_eq!(send(&engine, &call).end, whole, "{fault:?}");
        assert_eq!(send(&engine, &call.clone().stream()).end, streamed, "{fault:?}");
    }
}

#[test]
fn a_stream_resumes_where_it_broke() {
    let engine = warm_engine();

    let reply = send(&engine, &completion("r").stream().header("x-resume-from", "15"));

    let body = String::from_utf8(reply.body).unwrap();
    assert!(body.starts_with("data: {\"id\":\"\",\"index\":15,"), "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"));
}

#[test]
fn a_cold_engine_falls_over_under_more_than_its_limit() {
    let knobs = Knobs::default().tokens_per_s(50.0).cold(2, Duration::from_secs(60));
    let engine = Engine::start(knobs).unwrap();
    let address = engine.address();

    let tasks: Vec<_> = (0..3)
        .map(|i| spawn(async move { Client::new(address).send(&completion(&i.to_string())).await }))
        .collect();
    let ends: Vec<End> = tasks.into_iter().map(|it| block_on(it).end).collect();

    assert!(ends.iter().all(|it| matches!(it, End::NoAnswer(_))), "{ends:?}");
    assert_eq!(engine.falls(), 1);
    assert_eq!(engine.running(), 0);
    assert_eq!(send(&engine, &completion("after")).end, End::Whole);
}

#[test]
fn a_closed_connection_cancels_the_request() {
    let engine = warm_engine();
    let call =
        Call::completion("/v1/completions", "m", 100_000).timeout(Duration::from_millis(100));

    let reply = send(&engine, &call);

    assert_eq!(reply.end, End::TimedOut);
    for _ in 0..200 {
        if engine.running() > 0 {
            block_on(sleep(Duration::from_millis(10)));
        }
    }
    assert_eq!(engine.record()[0].finish, Finish::Cancelled);
}

#[test]
fn an_engine_stops_and_restarts_at_its_address() {
    let engine = warm_engine();

    engine.stop();
    let while_stopped = send(&engine, &completion("1")).end;
    engine.restart().unwrap();
    let after = send(&engine, &completion("2")).end;

    assert!(matches!(while_stopped, End::NoAnswer(_)));
    assert_eq!(after, End::Whole);
}

#[test]
fn the_worst_window_of_every_length_is_found() {
    let engine = warm_engine();
    send(&engine, &completion("1"));
    let first = engine.record().remove(0);
    let at = |millis: u64| Entry { at: first.at + Duration::from_millis(millis), ..first.clone() };
    // A pause, then three at once and one a second later.
    let entries = [at(0), at(10_000), at(10_000), at(10_000), at(11_000)];

    let even = excess(&entries, 1.0, 3);
    let tight = excess(&entries, 1.0, 2);
    let slow = excess(&entries, 0.5, 3);

    assert!(even.abs() < 1e-6, "{even}");
    assert!((tight - 1.0).abs() < 1e-6, "{tight}");
    assert!((slow - 0.5).abs() < 1e-6, "{slow}");
    assert_eq!(peak(&entries, Duration::from_millis(500)), 3);
}

#[test]
fn a_fenced_engine_refuses_old_orders() {
    let engine = Engine::start_warm(Knobs::default().fenced()).unwrap();
    let order = |fence: u64| Call::post("/orders").field("fence", fence);

    let statuses = [5, 4, 5].map(|fence| send(&engine, &order(fence)).status);

    assert_eq!(statuses, [200, 409, 200]);
}

#[test]
fn the_platform_serves_watches_and_faults() {
    let platform = Platform::start().unwrap();
    platform.publish(1, "{\"version\":1}");
    platform.publish(2, "{\"version\":2}");
    platform.set_instances(InstanceList { version: 7, instances: vec![] });
    let read = |path: &str| block_on(Client::new(platform.address()).send(&Call::get(path)));

    assert_eq!(read("/config?after=1&wait_ms=0").body, b"{\"version\":2}");
    assert_eq!(read("/config?after=2&wait_ms=30").status, 304);
    assert_eq!(read("/instances/d1?after=0&wait_ms=0").status, 200);
    platform.stale(1);
    assert_eq!(read("/config?after=2&wait_ms=0").body, b"{\"version\":1}");
    platform.down();
    assert!(matches!(read("/config").end, End::NoAnswer(_)));
    platform.up().unwrap();
    assert_eq!(read("/config").body, b"{\"version\":2}");
    assert_eq!(platform.reads().config, 4);
}

#[test]
fn a_proxy_cuts_delays_and_heals() {
    let engine = warm_engine();
    let proxy = Proxy::start(engine.address()).unwrap();
    let call = completion("p").timeout(Duration::from_millis(400));
    let send = || block_on(Client::new(proxy.address()).send(&call));

    assert_eq!(send().end, End::Whole);
    proxy.cut();
    assert_eq!(send().end, End::TimedOut);
    proxy.heal().unwrap();
    proxy.cut_one_way(Direction::Back);
    assert_eq!(send().end, End::TimedOut);
    proxy.heal().unwrap();
    proxy.refuse();
    assert!(matches!(send().end, End::NoAnswer(_)));
    proxy.heal().unwrap();
    proxy.cut_after(Direction::Back, 150);
    assert!(!send().is_whole());
    proxy.heal().unwrap();
    proxy.delay(Duration::from_millis(50));
    let delayed = send();
    assert_eq!(delayed.end, End::Whole);
    assert!(delayed.total >= Duration::from_millis(100));
}

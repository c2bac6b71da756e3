//! Tests of the fakes, client and proxy without daemons.
#![allow(clippy::unwrap_used)]

use std::{
    collections::HashSet,
    env, fs,
    net::{Ipv4Addr, TcpListener, UdpSocket},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use config::InstanceList;
use fakes::{
    Call, Client, Direction, End, Engine, EngineBehavior, Fault, Finish, Platform, Proxy,
    RecordedRequest, Reply, excess, free_port, peak,
    rt::{block_on, sleep, spawn},
};

/// The number of ports that each of two processes asks for.
const PORT_COUNT: usize = 5_000;

fn completion(nonce: &str) -> Call {
    Call::completion("/v1/completions", "m", 20).nonce(nonce).timeout(Duration::from_secs(5))
}

fn send(engine: &Engine, call: &Call) -> Reply {
    block_on(Client::new(engine.address()).send(call))
}

fn warm_engine() -> Engine {
    Engine::start_warm(EngineBehavior::default().tokens_per_s(1_000.0).resumes()).unwrap()
}

/// Waits until no request runs, and returns the record. A client has its response before the server
/// records how it ended.
fn ended_record(engine: &Engine) -> Vec<RecordedRequest> {
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        let record = engine.record();
        if record.iter().all(|it| it.finish != Finish::Running) {
            return record;
        }
        assert!(Instant::now() < until, "requests still run: {record:?}");
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn complete_and_streamed_responses_are_reported_as_complete() {
    let engine = warm_engine();
    let mut client = Client::new(engine.address());

    let complete = block_on(client.send(&completion("1")));
    let streamed = block_on(client.send(&completion("2").stream()));

    assert_eq!(complete.end, End::Complete);
    assert_eq!(streamed.end, End::Complete);
    assert_eq!(streamed.events, 20);
    let record = ended_record(&engine);
    assert!(record.iter().all(|it| it.finish == Finish::Complete && it.tokens == 20));
    assert_eq!(record[1].nonce(), "2");
}

/// Each case has the expected end of an unstreamed and of a streamed response. A fault that the
/// client took for a complete response would go unnoticed in the tests of fleets.
#[test]
fn the_client_detects_every_injected_fault() {
    let cases = [
        (Fault::Cut, End::Truncated, End::Truncated),
        (Fault::NoDone, End::Complete, End::Truncated),
        (Fault::Foreign, End::Foreign, End::Foreign),
        (Fault::Late(Duration::from_millis(20)), End::Complete, End::Complete),
        (Fault::NotRun, End::Refused, End::Refused),
        (Fault::Silent, End::TimedOut, End::TimedOut),
    ];
    for (fault, complete, streamed) in cases {
        let engine = warm_engine();
        engine.inject_fault(fault, 2);
        let call = completion("x").timeout(Duration::from_millis(500));

        assert_eq!(send(&engine, &call).end, complete, "{fault:?}");
        assert_eq!(send(&engine, &call.clone().stream()).end, streamed, "{fault:?}");
    }
}

#[test]
fn a_stream_resumes_at_the_requested_token() {
    let engine = warm_engine();

    let reply = send(&engine, &completion("r").stream().header("x-resume-from", "15"));

    let body = String::from_utf8(reply.body).unwrap();
    assert!(body.starts_with("data: {\"id\":\"\",\"index\":15,"), "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"));
}

/// The request above the limit crashes the engine, which ends all its requests; it serves again
/// afterwards.
#[test]
fn a_cold_engine_crashes_above_its_cold_limit() {
    let behavior = EngineBehavior::default().tokens_per_s(50.0).cold(2, Duration::from_secs(60));
    let engine = Engine::start(behavior).unwrap();
    let address = engine.address();

    let tasks: Vec<_> = (0..3)
        .map(|i| spawn(async move { Client::new(address).send(&completion(&i.to_string())).await }))
        .collect();
    let ends: Vec<End> = tasks.into_iter().map(|it| block_on(it).end).collect();

    assert!(ends.iter().all(|it| matches!(it, End::NoAnswer(_))), "{ends:?}");
    assert_eq!(engine.cold_crashes(), 1);
    assert_eq!(engine.running(), 0);
    assert_eq!(send(&engine, &completion("after")).end, End::Complete);
}

/// The engine must not go on generating a response whose client has closed the connection.
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
fn a_crashed_engine_restarts_at_its_address() {
    let engine = warm_engine();

    engine.crash();
    let while_down = send(&engine, &completion("1")).end;
    engine.restart().unwrap();
    let after = send(&engine, &completion("2")).end;

    assert!(matches!(while_down, End::NoAnswer(_)));
    assert_eq!(after, End::Complete);
}

#[test]
fn excess_finds_the_worst_window_of_any_length() {
    let engine = warm_engine();
    send(&engine, &completion("1"));
    let first = engine.record().remove(0);
    let at = |millis: u64| RecordedRequest {
        at: first.at + Duration::from_millis(millis),
        ..first.clone()
    };
    // One request, a pause, then three at the same time and one a second later.
    let entries = [at(0), at(10_000), at(10_000), at(10_000), at(11_000)];

    let at_limit = excess(&entries, 1.0, 3);
    let over_burst = excess(&entries, 1.0, 2);
    let over_rate = excess(&entries, 0.5, 3);

    assert!(at_limit.abs() < 1e-6, "{at_limit}");
    assert!((over_burst - 1.0).abs() < 1e-6, "{over_burst}");
    assert!((over_rate - 0.5).abs() < 1e-6, "{over_rate}");
    assert_eq!(peak(&entries, Duration::from_millis(500)), 3);
}

#[test]
fn a_fenced_engine_rejects_orders_with_an_old_fence() {
    let engine = Engine::start_warm(EngineBehavior::default().fenced()).unwrap();
    let order = |fence: u64| Call::post("/orders").field("fence", fence);

    let statuses = [5, 4, 5].map(|fence| send(&engine, &order(fence)).status);

    assert_eq!(statuses, [200, 409, 200]);
}

#[test]
fn the_platform_serves_documents_watches_and_faults() {
    let platform = Platform::start().unwrap();
    platform.publish(1, "{\"version\":1}");
    platform.publish(2, "{\"version\":2}");
    platform.set_instances(InstanceList { version: 7, instances: vec![] });
    let read = |path: &str| block_on(Client::new(platform.address()).send(&Call::get(path)));

    assert_eq!(read("/config?after=1&wait_ms=0").body, b"{\"version\":2}");
    assert_eq!(read("/config?after=2&wait_ms=30").status, 304);
    assert_eq!(read("/instances/d1?after=0&wait_ms=0").status, 200);
    platform.serve_stale(1);
    assert_eq!(read("/config?after=2&wait_ms=0").body, b"{\"version\":1}");
    platform.down();
    assert!(matches!(read("/config").end, End::NoAnswer(_)));
    platform.heal().unwrap();
    assert_eq!(read("/config").body, b"{\"version\":2}");
    assert_eq!(platform.reads().config, 4);
}

#[test]
fn a_proxy_cuts_delays_and_heals() {
    let engine = warm_engine();
    let proxy = Proxy::start(engine.address()).unwrap();
    let call = completion("p").timeout(Duration::from_millis(400));
    let send = || block_on(Client::new(proxy.address()).send(&call));

    assert_eq!(send().end, End::Complete);
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
    assert!(!send().is_complete());
    proxy.heal().unwrap();
    proxy.delay(Duration::from_millis(50));
    let delayed = send();
    assert_eq!(delayed.end, End::Complete);
    assert!(delayed.total >= Duration::from_millis(100));
}

/// Guards against a process that cannot listen because another one was given its port, or because an
/// outgoing connection took it.
#[test]
fn free_ports_are_distinct_and_not_ephemeral() {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let first_ephemeral = range.split_whitespace().next().unwrap().parse().unwrap();

    let addresses: Vec<_> = (0..100).map(|_| free_port()).collect();

    assert!(addresses.iter().all(|it| it.port() < first_ephemeral), "{addresses:?}");
    assert_eq!(addresses.iter().collect::<HashSet<_>>().len(), addresses.len());
}

/// Guards against ports that datagram sockets or listeners of other programs have.
#[test]
fn free_ports_have_no_sockets() {
    let taken = (10_000..32_000).step_by(350).map(|port| (Ipv4Addr::LOCALHOST, port));
    let _datagrams: Vec<_> = taken.clone().filter_map(|it| UdpSocket::bind(it).ok()).collect();
    let listeners = taken.map(|(ip, port)| (ip, port + 1));
    let _listeners: Vec<_> = listeners.filter_map(|it| TcpListener::bind(it).ok()).collect();

    let addresses = (0..5_000).map(|_| free_port());

    let unusable: Vec<_> = addresses
        .filter(|it| UdpSocket::bind(it).is_err() || TcpListener::bind(it).is_err())
        .collect();
    assert!(unusable.is_empty(), "{unusable:?}");
}

/// Guards against two test programs at the same time that are given the same ports.
#[test]
fn processes_are_given_different_ports() {
    let ports: HashSet<_> = (0..PORT_COUNT).map(|_| free_port().port()).collect();
    let other = Command::new(env::current_exe().unwrap())
        .args(["free_ports_of_another_process", "--ignored", "--nocapture"])
        .output()
        .unwrap();
    let other = String::from_utf8(other.stdout).unwrap();
    let others: HashSet<u16> =
        other.lines().filter_map(|it| it.strip_prefix("port ")?.parse().ok()).collect();

    assert_eq!(others.len(), PORT_COUNT, "{other}");
    assert!(ports.is_disjoint(&others));
}

#[test]
#[ignore = "run by another test as a process of its own"]
fn free_ports_of_another_process() {
    println!();
    for _ in 0..PORT_COUNT {
        println!("port {}", free_port().port());
    }
}

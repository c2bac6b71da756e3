//! The path of a request through a fleet of real daemons, whose processes are killed and restarted.
#![allow(clippy::unwrap_used)]

use std::{thread, time::Duration};

use fakes::{
    Call, Client, End, Fault, Fleet, FleetBuilder, Reply, key_of,
    rt::{block_on, spawn},
};

const READY: Duration = Duration::from_secs(20);
/// Takeover of a dead daemon's shards and rebuilding of what it knew.
const TAKEOVER: Duration = Duration::from_secs(10);

fn fleet() -> Fleet {
    let fleet = FleetBuilder::small(1).start().unwrap();
    fleet.wait_all_ready(READY).unwrap();
    fleet
}

fn completion(tokens: u32) -> Call {
    Call::completion("/v1/completions", "m", tokens).key(&key_of("one")).nonce("n")
}

fn write() -> Call {
    Call::post("/s/write").key(&key_of("one")).nonce("n")
}

fn send(fleet: &Fleet, daemon: &str, call: &Call) -> Reply {
    block_on(Client::new(fleet.address(daemon)).send(call))
}

/// Sends a call to each daemon until each has answered it whole.
fn serve_everywhere(fleet: &Fleet, daemons: &[&str]) {
    for daemon in daemons {
        for call in [completion(5), completion(5).stream(), write()] {
            fleet
                .wait(&format!("an answer from {daemon}"), TAKEOVER, || {
                    let reply = send(fleet, daemon, &call);
                    if reply.is_whole() { Ok(()) } else { Err(format!("{reply:?}")) }
                })
                .unwrap();
        }
    }
}

#[test]
fn whole_and_streamed_answers_reach_their_callers() {
    let fleet = fleet();

    for daemon in fleet.names() {
        let whole = send(&fleet, &daemon, &completion(7));
        let streamed = send(&fleet, &daemon, &completion(7).stream());
        let service = send(&fleet, &daemon, &write());

        assert_eq!(whole.end, End::Whole, "{whole:?}");
        assert_eq!(streamed.end, End::Whole, "{streamed:?}");
        assert_eq!(streamed.events, 7);
        assert_eq!(service.end, End::Whole, "{service:?}");
        assert!(!whole.request_id.is_empty());
    }

    let record = fleet.record();
    assert_eq!(record.len(), 9);
    assert!(record.iter().all(|it| !it.request.contains(&key_of("one"))));
    assert!(record.iter().all(|it| !it.request_id().is_empty()));
}

#[test]
fn refusals_say_that_the_request_did_not_run() {
    let fleet = fleet();
    let cases = [
        (Call::post("/v1/completions").field("model", "m"), 401),
        (Call::completion("/v1/completions", "m", 1).key("wrong"), 401),
        (Call::completion("/v1/completions", "other", 1).key(&key_of("one")), 404),
        (Call::post("/nowhere").key(&key_of("one")), 404),
    ];

    for (call, status) in cases {
        let reply = send(&fleet, "a-1", &call);

        assert_eq!(reply.status, status, "{reply:?}");
        assert!(reply.is_not_run(), "{reply:?}");
        assert!(!reply.reason.is_empty(), "{reply:?}");
    }
    assert!(fleet.record().is_empty());
}

#[test]
fn service_goes_on_when_a_daemon_is_killed_and_restarted() {
    let mut fleet = fleet();
    serve_everywhere(&fleet, &["a-1", "b-1", "c-1"]);

    fleet.kill("a-1").unwrap();
    serve_everywhere(&fleet, &["b-1", "c-1"]);
    fleet.restart("a-1").unwrap();
    fleet.wait_ready("a-1", READY).unwrap();

    serve_everywhere(&fleet, &["a-1", "b-1", "c-1"]);
}

#[test]
fn service_goes_on_when_backend_servers_are_killed_and_restarted() {
    let fleet = fleet();
    for name in ["m-a-1", "m-a-2", "s-a-1"] {
        fleet.engine(name).stop();
    }

    serve_everywhere(&fleet, &["a-1", "b-1"]);
    for name in ["m-a-1", "m-a-2", "s-a-1"] {
        fleet.engine(name).restart().unwrap();
    }

    serve_everywhere(&fleet, &["a-1", "b-1"]);
    let falls: u32 = fleet.engines().values().map(fakes::Engine::falls).sum();
    assert_eq!(falls, 0);
}

/// Two attempts that get no answer, at the least time that each is given, and one that does.
const SILENT_ATTEMPTS: Duration = Duration::from_secs(25);

#[test]
fn an_engine_that_never_answers_does_not_keep_an_idempotent_request() {
    let quick = |cfg: &mut config::Config| cfg.classes.iter_mut().for_each(|it| it.target_ms = 500);
    let fleet = FleetBuilder::small(1).configure(quick).start().unwrap();
    fleet.wait_all_ready(READY).unwrap();
    serve_everywhere(&fleet, &["a-1"]);
    for name in ["m-a-1", "m-a-2"] {
        fleet.engine(name).fault(Fault::Silent, 1);
    }

    let reply = send(&fleet, "a-1", &completion(5).timeout(SILENT_ATTEMPTS));

    assert!(reply.is_whole(), "{reply:?}");
}

#[test]
fn service_goes_on_while_the_platform_is_down() {
    let mut fleet = fleet();
    fleet.platform.down();

    serve_everywhere(&fleet, &["a-1", "b-1", "c-1"]);
    fleet.kill("b-1").unwrap();
    fleet.restart("b-1").unwrap();
    fleet.wait_ready("b-1", READY).unwrap();
    serve_everywhere(&fleet, &["a-1", "b-1", "c-1"]);
    fleet.platform.up().unwrap();

    serve_everywhere(&fleet, &["a-1", "b-1", "c-1"]);
}

#[test]
fn a_graceful_shutdown_lets_answers_end() {
    let mut fleet = fleet();
    serve_everywhere(&fleet, &["a-1"]);
    let address = fleet.address("a-1");
    let calls = [completion(200), completion(200).stream()];
    let tasks = calls.map(|call| spawn(async move { Client::new(address).send(&call).await }));
    fleet
        .wait("both requests to run", READY, || {
            let running: usize = fleet.engines().values().map(fakes::Engine::running).sum();
            if running == 2 { Ok(()) } else { Err(format!("{:?}", fleet.record())) }
        })
        .unwrap();

    fleet.terminate("a-1").unwrap();
    let replies = tasks.map(block_on);
    let status = fleet.wait_exit("a-1", READY).unwrap();

    for reply in replies {
        assert_eq!(reply.end, End::Whole, "{reply:?}");
    }
    assert!(status.is_some_and(|it| it.success()), "{status:?}");
}

#[test]
fn a_paused_daemon_serves_again() {
    let fleet = fleet();
    fleet.pause("b-1").unwrap();

    serve_everywhere(&fleet, &["a-1", "c-1"]);
    // Longer than every lease.
    thread::sleep(Duration::from_secs(2));
    fleet.resume("b-1").unwrap();

    serve_everywhere(&fleet, &["a-1", "b-1", "c-1"]);
}

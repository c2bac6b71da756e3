//! Requests through a fleet of real daemons while daemons, backend servers and the platform are
//! killed, stopped and restarted.
#![allow(clippy::unwrap_used)]

use std::{thread, time::Duration};

use fakes::{
    Call, Client, End, Fault, Fleet, FleetBuilder, Reply, key_of,
    rt::{block_on, spawn},
};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the other daemons may take to own a dead daemon's shards and rebuild their state.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);

fn fleet() -> Fleet {
    let fleet = FleetBuilder::small(1).start().unwrap();
    fleet.wait_all_ready(READY_TIMEOUT).unwrap();
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

/// Sends each kind of call to each daemon until it gets a complete response.
fn wait_served_by(fleet: &Fleet, daemons: &[&str]) {
    for daemon in daemons {
        for call in [completion(5), completion(5).stream(), write()] {
            fleet
                .wait(&format!("a complete response from {daemon}"), TAKEOVER_TIMEOUT, || {
                    let reply = send(fleet, daemon, &call);
                    if reply.is_complete() { Ok(()) } else { Err(format!("{reply:?}")) }
                })
                .unwrap();
        }
    }
}

/// Also checks that no backend server receives an API key and that each request carries a request
/// id.
#[test]
fn complete_and_streamed_responses_reach_their_callers() {
    let fleet = fleet();

    for daemon in fleet.daemon_names() {
        let complete = send(&fleet, &daemon, &completion(7));
        let streamed = send(&fleet, &daemon, &completion(7).stream());
        let service = send(&fleet, &daemon, &write());

        assert_eq!(complete.end, End::Complete, "{complete:?}");
        assert_eq!(streamed.end, End::Complete, "{streamed:?}");
        assert_eq!(streamed.events, 7);
        assert_eq!(service.end, End::Complete, "{service:?}");
        assert!(!complete.request_id.is_empty());
    }

    let record = fleet.record();
    assert_eq!(record.len(), 9);
    assert!(record.iter().all(|it| !it.request.contains(&key_of("one"))));
    assert!(record.iter().all(|it| !it.request_id().is_empty()));
}

/// A request without a valid key, for an unknown model or at an unknown path must not reach a
/// backend server, and its caller must learn that it did not run.
#[test]
fn refusals_state_that_the_request_did_not_run() {
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
fn requests_are_served_when_a_daemon_is_killed_and_restarted() {
    let mut fleet = fleet();
    wait_served_by(&fleet, &["a-1", "b-1", "c-1"]);

    fleet.kill("a-1").unwrap();
    wait_served_by(&fleet, &["b-1", "c-1"]);
    fleet.restart("a-1").unwrap();
    fleet.wait_ready("a-1", READY_TIMEOUT).unwrap();

    wait_served_by(&fleet, &["a-1", "b-1", "c-1"]);
}

/// All servers of zone `a` crash, so its requests need those of other zones. The restarted engines
/// are cold: more requests than their cold limit would crash them again.
#[test]
fn requests_are_served_when_backend_servers_crash_and_restart() {
    let fleet = fleet();
    for name in ["m-a-1", "m-a-2", "s-a-1"] {
        fleet.engine(name).crash();
    }

    wait_served_by(&fleet, &["a-1", "b-1"]);
    for name in ["m-a-1", "m-a-2", "s-a-1"] {
        fleet.engine(name).restart().unwrap();
    }

    wait_served_by(&fleet, &["a-1", "b-1"]);
    let crashes: u32 = fleet.engines().values().map(fakes::Engine::cold_crashes).sum();
    assert_eq!(crashes, 0);
}

/// Time for two attempts without a response, each ended by the shortest attempt timeout, and one
/// that succeeds.
const SILENT_ATTEMPTS_TIMEOUT: Duration = Duration::from_secs(25);

/// Each engine of the zone leaves one request without a response. Without a retry, the caller would
/// wait until its timeout.
#[test]
fn an_idempotent_request_is_retried_when_engines_never_respond() {
    let quick = |cfg: &mut config::Config| cfg.classes.iter_mut().for_each(|it| it.target_ms = 500);
    let fleet = FleetBuilder::small(1).configure(quick).start().unwrap();
    fleet.wait_all_ready(READY_TIMEOUT).unwrap();
    wait_served_by(&fleet, &["a-1"]);
    for name in ["m-a-1", "m-a-2"] {
        fleet.engine(name).inject_fault(Fault::Silent, 1);
    }

    let reply = send(&fleet, "a-1", &completion(5).timeout(SILENT_ATTEMPTS_TIMEOUT));

    assert!(reply.is_complete(), "{reply:?}");
}

/// A daemon that restarts during the outage must become ready although it can't read the platform.
#[test]
fn requests_are_served_while_the_platform_is_down() {
    let mut fleet = fleet();
    fleet.platform.down();

    wait_served_by(&fleet, &["a-1", "b-1", "c-1"]);
    fleet.kill("b-1").unwrap();
    fleet.restart("b-1").unwrap();
    fleet.wait_ready("b-1", READY_TIMEOUT).unwrap();
    wait_served_by(&fleet, &["a-1", "b-1", "c-1"]);
    fleet.platform.heal().unwrap();

    wait_served_by(&fleet, &["a-1", "b-1", "c-1"]);
}

/// The daemon is asked to shut down while a streamed and an unstreamed response are in progress;
/// neither may be cut off.
#[test]
fn a_graceful_shutdown_completes_running_responses() {
    let mut fleet = fleet();
    wait_served_by(&fleet, &["a-1"]);
    let address = fleet.address("a-1");
    let calls = [completion(200), completion(200).stream()];
    let tasks = calls.map(|call| spawn(async move { Client::new(address).send(&call).await }));
    fleet
        .wait("both requests running", READY_TIMEOUT, || {
            let running: usize = fleet.engines().values().map(fakes::Engine::running).sum();
            if running == 2 { Ok(()) } else { Err(format!("{:?}", fleet.record())) }
        })
        .unwrap();

    fleet.terminate("a-1").unwrap();
    let replies = tasks.map(block_on);
    let status = fleet.wait_exit("a-1", READY_TIMEOUT).unwrap();

    for reply in replies {
        assert_eq!(reply.end, End::Complete, "{reply:?}");
    }
    assert!(status.is_some_and(|it| it.success()), "{status:?}");
}

/// The suspension outlasts all leases: the other daemons must serve without the suspended one, and
/// it must get back into service when it resumes.
#[test]
fn a_suspended_daemon_serves_again_after_it_resumes() {
    let fleet = fleet();
    fleet.pause("b-1").unwrap();

    wait_served_by(&fleet, &["a-1", "c-1"]);
    // Longer than any lease.
    thread::sleep(Duration::from_secs(2));
    fleet.resume("b-1").unwrap();

    wait_served_by(&fleet, &["a-1", "b-1", "c-1"]);
}

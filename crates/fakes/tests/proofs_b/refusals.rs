//! Refusals that state that the request did not run, compared with what backend servers recorded.

use std::time::Duration;

use fakes::{Call, End, EngineBehavior, Fault, Fleet, FleetBuilder, key_of, rt::block_on};

use crate::support::{self, GuardedFleet, PlannedCall, READY_TIMEOUT, Sample};

const ACCOUNT: &str = "one";
const TARGET_MS: u64 = 600;
/// Longest duration of a request, so that requests at servers that never respond end in refusals.
const ROUTE_MAX_MS: u64 = 1_500;
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Calls per second, about twice the capacity, so that some are refused also without a fault.
const PER_S: f64 = 300.0;
const LOAD_DURATION: Duration = Duration::from_secs(4);
const FAULT_AT: Duration = Duration::from_millis(800);
const FAULT_FOR: Duration = Duration::from_millis(1_200);
const SERVER_LIMIT: u32 = 2;

fn fleet() -> GuardedFleet {
    let mut builder = FleetBuilder::new()
        .class("plain", 0, TARGET_MS)
        .route("POST", "/s/read", Some("s"), &["plain"], true)
        .route("POST", "/s/write", Some("s"), &["plain"], false)
        .account(ACCOUNT, 1_000.0, 1_000)
        .configure(|config| {
            config.routes.iter_mut().for_each(|it| it.max_duration_ms = ROUTE_MAX_MS);
        })
        .proxied();
    for zone in ["a", "b", "c"] {
        let behavior = EngineBehavior::service(SERVICE_TIME).slots(SERVER_LIMIT as usize);
        builder = builder.zone(zone, 1).service("s", zone, SERVER_LIMIT, behavior);
    }
    let fleet = support::start_shared(builder);
    // The shares start empty and fill at the accounts' rates.
    support::sleep_for(Duration::from_millis(1_500));
    fleet
}

/// Returns alternating reads and writes, to all daemons in turn.
fn plan(fleet: &Fleet) -> Vec<PlannedCall> {
    let all: Vec<_> = fleet.daemon_names().iter().map(|it| fleet.address(it)).collect();
    support::evenly_spread(8, PER_S, LOAD_DURATION, |i| {
        let path = if i % 2 == 0 { "/s/read" } else { "/s/write" };
        let nonce = format!("n{i}");
        let call = Call::post(path).key(&key_of(ACCOUNT)).nonce(&nonce);
        let call = call.timeout(Duration::from_secs(5));
        PlannedCall { at: Duration::ZERO, targets: vec![all[i % all.len()]], call, nonce }
    })
}

fn run(fleet: &mut Fleet, fault: impl FnOnce(&mut Fleet)) -> Vec<Sample> {
    let load = support::start_calls(plan(fleet));
    support::sleep_for(FAULT_AT);
    fault(fleet);
    block_on(load)
}

fn check(name: &str, fleet: &Fleet, samples: &[Sample]) {
    let record = fleet.record();
    println!("{name}: {}", support::summary(samples));
    let false_refusals = support::false_not_run(samples, &record);
    let not_run = samples.iter().filter(|it| it.reply.is_not_run()).count();
    println!("{name}: {not_run} refusals as not run, {} of them false", false_refusals.len());
    assert!(false_refusals.is_empty(), "{name}: refused as not run, but ran: {false_refusals:?}");
    let lacks_outcome = |it: &&Sample| {
        let known = ["not-run", "unknown"].contains(&it.reply.outcome.as_str());
        it.reply.end == End::Refused && !known
    };
    let unstated = samples.iter().filter(lacks_outcome).count();
    assert_eq!(unstated, 0, "{name}: refusals that do not state whether the request ran");
    assert!(not_run > 0, "{name}: no request was refused as not run");
}

/// A request may have run although its response is faulty or missing; then it must not be refused
/// as not run.
#[test]
fn refusals_as_not_run_are_true_while_backend_servers_are_faulty() {
    let mut fleet = fleet();

    let samples = run(&mut fleet, |fleet| {
        let faults =
            [Fault::ResetAfterRun, Fault::Cut, Fault::NotRun, Fault::Silent, Fault::Foreign];
        for fault in faults {
            fleet.engines().values().for_each(|it| it.inject_fault(fault, 4));
        }
    });

    check("faulty servers", &fleet, &samples);
}

/// A crash resets the connections of running requests, which must not be refused as not run.
#[test]
fn refusals_as_not_run_are_true_while_backend_servers_crash() {
    let mut fleet = fleet();

    let samples = run(&mut fleet, |fleet| {
        let names: Vec<String> = fleet.engines().keys().cloned().collect();
        for name in names {
            fleet.engine(&name).crash();
            support::sleep_for(FAULT_FOR / 3);
            fleet.engine(&name).restart().unwrap();
        }
    });

    check("crashed servers", &fleet, &samples);
}

/// A daemon may resume with requests that it sent to backend servers before; these must not be
/// refused as not run.
#[test]
fn refusals_as_not_run_are_true_while_daemons_are_killed_or_suspended() {
    let mut fleet = fleet();

    let samples = run(&mut fleet, |fleet| {
        fleet.restart("a-1").unwrap();
        fleet.pause("b-1").unwrap();
        support::sleep_for(FAULT_FOR);
        fleet.resume("b-1").unwrap();
        fleet.wait_ready("a-1", READY_TIMEOUT).unwrap();
    });

    check("daemons killed and suspended", &fleet, &samples);
}

/// Two faults at the same time: running requests lose their connections at the crash while the
/// zones can't reach each other.
#[test]
fn refusals_as_not_run_are_true_while_a_zone_is_cut_off_and_a_server_crashes() {
    let mut fleet = fleet();

    let samples = run(&mut fleet, |fleet| {
        fleet.net.as_ref().unwrap().cut_zone("a");
        fleet.engine("s-b-1").crash();
        support::sleep_for(FAULT_FOR);
        fleet.engine("s-b-1").restart().unwrap();
        fleet.net.as_ref().unwrap().heal().unwrap();
    });

    check("zone cut, server crashed", &fleet, &samples);
}

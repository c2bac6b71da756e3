//! Refusals that say "not run", compared with what the backend servers really received.

use std::time::Duration;

use fakes::{Call, End, Fault, Fleet, FleetBuilder, Knobs, key_of, rt::block_on};

use crate::support::{self, Bench, Planned, READY_LIMIT, Sample};

const ACCOUNT: &str = "one";
const TARGET_MS: u64 = 600;
/// The longest that an answer may take, so that silent servers end in refusals.
const ROUTE_MAX_MS: u64 = 1_500;
const SERVICE: Duration = Duration::from_millis(30);
/// Calls a second; the servers bear about half of them, so that some are refused without a fault.
const PER_S: f64 = 300.0;
const LOAD: Duration = Duration::from_secs(4);
const FAULT_AT: Duration = Duration::from_millis(800);
const FAULT_FOR: Duration = Duration::from_millis(1_200);
const SERVER_LIMIT: u32 = 2;

fn fleet() -> Bench {
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
        let knobs = Knobs::service(SERVICE).slots(SERVER_LIMIT as usize);
        builder = builder.zone(zone, 1).service("s", zone, SERVER_LIMIT, knobs);
    }
    let fleet = support::start_beside(builder);
    // The shares start empty: their tokens come with time.
    support::pass(Duration::from_millis(1_500));
    fleet
}

/// Reads and writes in turn, at all daemons in turn.
fn plan(fleet: &Fleet) -> Vec<Planned> {
    let all: Vec<_> = fleet.names().iter().map(|it| fleet.address(it)).collect();
    support::steady(8, PER_S, LOAD, |i| {
        let path = if i % 2 == 0 { "/s/read" } else { "/s/write" };
        let nonce = format!("n{i}");
        let call = Call::post(path).key(&key_of(ACCOUNT)).nonce(&nonce);
        let call = call.timeout(Duration::from_secs(5));
        Planned { at: Duration::ZERO, targets: vec![all[i % all.len()]], call, nonce }
    })
}

fn run(fleet: &mut Fleet, fault: impl FnOnce(&mut Fleet)) -> Vec<Sample> {
    let load = support::launch(plan(fleet));
    support::pass(FAULT_AT);
    fault(fleet);
    block_on(load)
}

fn judge(name: &str, fleet: &Fleet, samples: &[Sample]) {
    let record = fleet.record();
    println!("{name}: {}", support::ends(samples));
    let lies = support::false_not_run(samples, &record);
    let not_run = samples.iter().filter(|it| it.reply.is_not_run()).count();
    println!("{name}: {not_run} refusals as not run, {} of them false", lies.len());
    assert!(lies.is_empty(), "{name}: refused as not run, but ran: {lies:?}");
    let silent = |it: &&Sample| {
        let known = ["not-run", "unknown"].contains(&it.reply.outcome.as_str());
        it.reply.end == End::Refused && !known
    };
    let silent = samples.iter().filter(silent).count();
    assert_eq!(silent, 0, "{name}: refusals that do not say whether the request ran");
    assert!(not_run > 0, "{name}: nothing was refused as not run");
}

#[test]
fn not_run_is_true_while_backend_servers_misbehave() {
    let mut fleet = fleet();

    let samples = run(&mut fleet, |fleet| {
        let faults =
            [Fault::ResetAfterRun, Fault::Cut, Fault::NotRun, Fault::Silent, Fault::Foreign];
        for fault in faults {
            fleet.engines().values().for_each(|it| it.fault(fault, 4));
        }
    });

    judge("servers misbehave", &fleet, &samples);
}

#[test]
fn not_run_is_true_while_backend_servers_crash() {
    let mut fleet = fleet();

    let samples = run(&mut fleet, |fleet| {
        let names: Vec<String> = fleet.engines().keys().cloned().collect();
        for name in names {
            fleet.engine(&name).stop();
            support::pass(FAULT_FOR / 3);
            fleet.engine(&name).restart().unwrap();
        }
    });

    judge("servers crash", &fleet, &samples);
}

#[test]
fn not_run_is_true_while_a_daemon_is_killed_or_paused() {
    let mut fleet = fleet();

    let samples = run(&mut fleet, |fleet| {
        fleet.restart("a-1").unwrap();
        fleet.pause("b-1").unwrap();
        support::pass(FAULT_FOR);
        fleet.resume("b-1").unwrap();
        fleet.wait_ready("a-1", READY_LIMIT).unwrap();
    });

    judge("daemons killed and paused", &fleet, &samples);
}

#[test]
fn not_run_is_true_while_zones_are_cut_off_and_a_server_crashes() {
    let mut fleet = fleet();

    let samples = run(&mut fleet, |fleet| {
        fleet.net.as_ref().unwrap().cut_zone("a");
        fleet.engine("s-b-1").stop();
        support::pass(FAULT_FOR);
        fleet.engine("s-b-1").restart().unwrap();
        fleet.net.as_ref().unwrap().heal().unwrap();
    });

    judge("zone cut, server crashed", &fleet, &samples);
}

//! The requests of all daemons together at a cold backend server never exceed its cold limit.

use std::time::{Duration, Instant};

use fakes::{EngineBehavior, Fleet, FleetBuilder, RecordedRequest, peak_running};

use crate::support::{
    BackgroundLoad, Cell, TIMEOUT, completion, sleep_for, spread_evenly, start, unlimited_rates,
    wait_owner,
};

const CELL: Cell = Cell { pool: "m", zone: "a" };
const ENGINE: &str = "m-a-1";
const COLD_LIMIT: usize = 2;
/// Longer than a takeover with the ownership times of these tests.
const COLD_DURATION: Duration = Duration::from_secs(6);
const CALLERS: usize = 20;

/// A fleet of two availability zones with one engine, whose limit is 2 requests while cold and 8
/// afterwards.
fn fleet(cold_for: Duration) -> Fleet {
    let behavior = EngineBehavior::default().tokens_per_s(50.0).slots(8).cold(COLD_LIMIT, cold_for);
    let builder = FleetBuilder::new()
        .zone("a", 3)
        .zone("b", 2)
        .class("high", 0, 60_000)
        .completion_route("/v1/completions", &["high"])
        .account("one", 1.0, 1)
        .engine("m", "a", 8, behavior)
        .configure(unlimited_rates)
        .proxied();
    start(builder, &[CELL])
}

fn load(fleet: &Fleet) -> BackgroundLoad {
    BackgroundLoad::start(CALLERS, spread_evenly(fleet), |_| completion("one", 10))
}

/// Waits until the engine has ended a request that it received after `from`.
fn wait_served(fleet: &Fleet, from: Instant) {
    let check = || {
        let record = fleet.engine(ENGINE).record();
        let has_ended = record.iter().any(|it| it.at > from && it.ended.is_some());
        if has_ended { Ok(()) } else { Err(format!("{} requests received", record.len())) }
    };
    fleet.wait("an ended request at the engine", TIMEOUT, check).unwrap();
}

/// Fails if the engine had more requests than its cold limit while it was cold, or none at all.
/// `fault` names the test in the message, which lists the requests that ran at the first excess.
fn check(fleet: &Fleet, fault: &str) {
    let record = fleet.engine(ENGINE).record();
    let peak = peak_running(record.iter().filter(|it| it.cold));
    let crashes = fleet.engine(ENGINE).cold_crashes();
    let excess = record.iter().find(|it| it.cold && it.running > COLD_LIMIT).map(|first| {
        let running = record
            .iter()
            .filter(|it| it.at <= first.at && it.ended.is_none_or(|ended| ended >= first.at));
        let text = |it: &RecordedRequest| {
            let ended = it.ended.map(|ended| ended.saturating_duration_since(first.at));
            format!("{:?} before, ended {ended:?} after, {:?}", first.at - it.at, it.finish)
        };
        running.map(text).collect::<Vec<_>>()
    });
    assert!(
        peak <= COLD_LIMIT,
        "{fault}: {peak} requests ran at the cold server, whose limit is {COLD_LIMIT}; it crashed \
         {crashes} times; requests running at the first excess: {excess:?}",
    );
    assert!(record.iter().any(|it| it.cold), "{fault}: no request received while it was cold");
}

/// Five daemons send to the same server. If each of them counted only its own requests, the sum
/// would exceed the limit.
#[test]
fn all_daemons_together_keep_the_cold_limit_of_a_cold_server() {
    let fleet = fleet(Duration::from_secs(2));
    fleet.engine(ENGINE).restart_unannounced();

    let load = load(&fleet);
    let has_ramped = || {
        let peak = peak_running(&fleet.engine(ENGINE).record());
        if peak > COLD_LIMIT { Ok(()) } else { Err(format!("at most {peak} requests running")) }
    };
    fleet.wait("more requests than the cold limit", TIMEOUT, has_ramped).unwrap();
    load.stop();

    check(&fleet, "cold start");
}

/// Requests granted by the killed owner may still run at the cold server when the new owner grants
/// further ones.
#[test]
fn a_takeover_from_a_killed_owner_keeps_the_cold_limit() {
    let mut fleet = fleet(COLD_DURATION);
    let owner = wait_owner(&fleet, CELL, |_| true);
    fleet.engine(ENGINE).restart_unannounced();
    let load = load(&fleet);
    wait_served(&fleet, Instant::now());

    fleet.kill(&owner).unwrap();
    fleet.remove_from_list(&owner);
    wait_owner(&fleet, CELL, |it| it != owner);
    wait_served(&fleet, Instant::now());
    load.stop();

    check(&fleet, "owner killed");
}

/// The owner resumes after another daemon has taken over. If both granted requests, they would
/// exceed the limit together.
#[test]
fn a_suspended_owner_that_resumes_after_a_takeover_keeps_the_cold_limit() {
    let mut fleet = fleet(COLD_DURATION);
    let owner = wait_owner(&fleet, CELL, |_| true);
    fleet.engine(ENGINE).restart_unannounced();
    let load = load(&fleet);
    wait_served(&fleet, Instant::now());

    fleet.pause(&owner).unwrap();
    fleet.remove_from_list(&owner);
    let others: Vec<_> = fleet.daemon_names().into_iter().filter(|it| *it != owner).collect();
    let is_taken_over = || {
        let mut cells = others.iter().map(|it| fleet.dump(it)["cells"].clone());
        let has_cell = cells.any(|it| it.as_array().is_some_and(|it| !it.is_empty()));
        if has_cell { Ok(()) } else { Err("no cell at the other daemons".to_owned()) }
    };
    fleet.wait("a takeover", TIMEOUT, is_taken_over).unwrap();
    wait_served(&fleet, Instant::now());
    fleet.resume(&owner).unwrap();
    wait_served(&fleet, Instant::now());
    sleep_for(Duration::from_secs(1));
    load.stop();

    check(&fleet, "owner suspended");
}

/// The owner still runs but reaches neither its peers nor the platform, while another daemon takes
/// over. If both granted requests, they would exceed the limit together.
#[test]
fn an_owner_that_is_cut_off_keeps_the_cold_limit() {
    let mut fleet = fleet(COLD_DURATION);
    let owner = wait_owner(&fleet, CELL, |_| true);
    fleet.engine(ENGINE).restart_unannounced();
    let load = load(&fleet);
    wait_served(&fleet, Instant::now());

    let net = fleet.net.as_ref().unwrap();
    net.isolate(&owner);
    net.cut_platform(&owner);
    fleet.remove_from_list(&owner);
    wait_owner(&fleet, CELL, |it| it != owner);
    wait_served(&fleet, Instant::now());
    fleet.net.as_ref().unwrap().heal().unwrap();
    sleep_for(Duration::from_secs(1));
    load.stop();

    check(&fleet, "owner cut off");
}

/// The daemons of both sides still reach the server. If each side granted requests on its own, they
/// would exceed the limit together.
#[test]
fn a_partition_between_zones_keeps_the_cold_limit() {
    let fleet = fleet(COLD_DURATION);
    fleet.engine(ENGINE).restart_unannounced();
    let load = load(&fleet);
    wait_served(&fleet, Instant::now());

    fleet.net.as_ref().unwrap().cut_zone("a");
    sleep_for(Duration::from_secs(2));
    fleet.net.as_ref().unwrap().heal().unwrap();
    sleep_for(Duration::from_secs(1));
    load.stop();

    check(&fleet, "partition between zones");
}

/// The restart only resets connections. Daemons that took the server for warm would send it more
/// requests than its cold limit.
#[test]
fn a_server_that_turns_cold_without_a_word_under_load_gets_its_cold_limit() {
    let fleet = fleet(Duration::from_secs(1));
    let load = load(&fleet);
    for _ in 0..3 {
        let is_full = || {
            let running = fleet.engine(ENGINE).running();
            if running > COLD_LIMIT + 2 {
                Ok(())
            } else {
                Err(format!("{running} requests running"))
            }
        };
        fleet.wait("a warm server", TIMEOUT, is_full).unwrap();
        fleet.engine(ENGINE).restart_unannounced();
        wait_served(&fleet, Instant::now());
    }
    load.stop();

    check(&fleet, "unannounced restart under load");
}

/// No request is running that could fail at the restart. Daemons that took the server for warm
/// would send it a burst above its cold limit.
#[test]
fn an_idle_server_that_restarts_unannounced_gets_its_cold_limit() {
    let fleet = fleet(Duration::from_secs(1));
    let warming = load(&fleet);
    let is_full = || {
        let running = fleet.engine(ENGINE).running();
        if running == 8 { Ok(()) } else { Err(format!("{running} requests running")) }
    };
    fleet.wait("a warm server", TIMEOUT, is_full).unwrap();
    warming.stop();

    fleet.engine(ENGINE).restart_unannounced();
    let burst = load(&fleet);
    wait_served(&fleet, Instant::now());
    burst.stop();

    check(&fleet, "unannounced restart while idle");
}

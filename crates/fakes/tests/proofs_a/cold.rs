//! The sum from all daemons at a cold backend server never passes its cold limit.

use std::time::{Duration, Instant};

use fakes::{Entry, Fleet, FleetBuilder, Knobs, peak_running};

use crate::support::{
    Cell, LIMIT, Load, completion, everywhere, pass, start, unlimited, wait_owner,
};

const CELL: Cell = Cell { pool: "m", zone: "a" };
const ENGINE: &str = "m-a-1";
const COLD_LIMIT: usize = 2;
/// Longer than a takeover with the ownership times of the tests.
const COLD_FOR: Duration = Duration::from_secs(6);
const CALLERS: usize = 20;

/// A fleet of two availability zones with one engine, which bears 2 requests while cold and 8
/// later.
fn fleet(cold_for: Duration) -> Fleet {
    let knobs = Knobs::default().tokens_per_s(50.0).slots(8).cold(COLD_LIMIT, cold_for);
    let builder = FleetBuilder::new()
        .zone("a", 3)
        .zone("b", 2)
        .class("high", 0, 60_000)
        .completions("/v1/completions", &["high"])
        .account("one", 1.0, 1)
        .engine("m", "a", 8, knobs)
        .configure(unlimited)
        .proxied();
    start(builder, &[CELL])
}

fn load(fleet: &Fleet) -> Load {
    Load::start(CALLERS, everywhere(fleet), |_| completion("one", 10))
}

/// Waits until the engine answered a request that came after `from`.
fn wait_served(fleet: &Fleet, from: Instant) {
    let look = || {
        let record = fleet.engine(ENGINE).record();
        let served = record.iter().any(|it| it.at > from && it.ended.is_some());
        if served { Ok(()) } else { Err(format!("{} requests came", record.len())) }
    };
    fleet.wait("a served request", LIMIT, look).unwrap();
}

/// Fails if the engine ever had more than its cold limit while it was cold.
fn check(fleet: &Fleet, what: &str) {
    let record = fleet.engine(ENGINE).record();
    let peak = peak_running(record.iter().filter(|it| it.cold));
    let falls = fleet.engine(ENGINE).falls();
    let over = record.iter().find(|it| it.cold && it.running > COLD_LIMIT).map(|over| {
        let beside = record
            .iter()
            .filter(|it| it.at <= over.at && it.ended.is_none_or(|ended| ended >= over.at));
        let text = |it: &Entry| {
            let ended = it.ended.map(|ended| ended.saturating_duration_since(over.at));
            format!("{:?} before, ended {ended:?} after, {:?}", over.at - it.at, it.finish)
        };
        beside.map(text).collect::<Vec<_>>()
    });
    assert!(
        peak <= COLD_LIMIT,
        "{what}: {peak} requests ran at the cold server, which bears {COLD_LIMIT}; it fell over \
         {falls} times, first with {over:?}",
    );
    assert!(record.iter().any(|it| it.cold), "{what}: nothing came while it was cold");
}

#[test]
fn a_cold_server_gets_its_cold_limit_from_all_daemons_together() {
    let fleet = fleet(Duration::from_secs(2));
    fleet.engine(ENGINE).turn_cold();

    let load = load(&fleet);
    let warm = || {
        let peak = peak_running(&fleet.engine(ENGINE).record());
        if peak > COLD_LIMIT { Ok(()) } else { Err(format!("{peak} ran at most")) }
    };
    fleet.wait("a ramp above the cold limit", LIMIT, warm).unwrap();
    load.stop();

    check(&fleet, "cold start");
}

#[test]
fn a_takeover_from_a_killed_owner_keeps_the_cold_limit() {
    let mut fleet = fleet(COLD_FOR);
    let owner = wait_owner(&fleet, CELL, |_| true);
    fleet.engine(ENGINE).turn_cold();
    let load = load(&fleet);
    wait_served(&fleet, Instant::now());

    fleet.kill(&owner).unwrap();
    fleet.delist(&owner);
    wait_owner(&fleet, CELL, |it| it != owner);
    wait_served(&fleet, Instant::now());
    load.stop();

    check(&fleet, "owner killed");
}

#[test]
fn a_paused_owner_that_wakes_up_late_keeps_the_cold_limit() {
    let mut fleet = fleet(COLD_FOR);
    let owner = wait_owner(&fleet, CELL, |_| true);
    fleet.engine(ENGINE).turn_cold();
    let load = load(&fleet);
    wait_served(&fleet, Instant::now());

    fleet.pause(&owner).unwrap();
    fleet.delist(&owner);
    let others: Vec<_> = fleet.names().into_iter().filter(|it| *it != owner).collect();
    let taken = || {
        let mut cells = others.iter().map(|it| fleet.dump(it)["cells"].clone());
        let taken = cells.any(|it| it.as_array().is_some_and(|it| !it.is_empty()));
        if taken { Ok(()) } else { Err("no cell at the others".to_owned()) }
    };
    fleet.wait("a takeover", LIMIT, taken).unwrap();
    wait_served(&fleet, Instant::now());
    fleet.resume(&owner).unwrap();
    wait_served(&fleet, Instant::now());
    pass(Duration::from_secs(1));
    load.stop();

    check(&fleet, "owner paused");
}

#[test]
fn an_owner_that_is_cut_off_keeps_the_cold_limit() {
    let mut fleet = fleet(COLD_FOR);
    let owner = wait_owner(&fleet, CELL, |_| true);
    fleet.engine(ENGINE).turn_cold();
    let load = load(&fleet);
    wait_served(&fleet, Instant::now());

    let net = fleet.net.as_ref().unwrap();
    net.isolate(&owner);
    net.cut_platform(&owner);
    fleet.delist(&owner);
    wait_owner(&fleet, CELL, |it| it != owner);
    wait_served(&fleet, Instant::now());
    fleet.net.as_ref().unwrap().heal().unwrap();
    pass(Duration::from_secs(1));
    load.stop();

    check(&fleet, "owner cut off");
}

#[test]
fn a_split_between_zones_keeps_the_cold_limit() {
    let fleet = fleet(COLD_FOR);
    fleet.engine(ENGINE).turn_cold();
    let load = load(&fleet);
    wait_served(&fleet, Instant::now());

    fleet.net.as_ref().unwrap().cut_zone("a");
    pass(Duration::from_secs(2));
    fleet.net.as_ref().unwrap().heal().unwrap();
    pass(Duration::from_secs(1));
    load.stop();

    check(&fleet, "zones split");
}

#[test]
fn a_server_that_turns_cold_without_a_word_under_load_gets_its_cold_limit() {
    let fleet = fleet(Duration::from_secs(1));
    let load = load(&fleet);
    for _ in 0..3 {
        let full = || {
            let running = fleet.engine(ENGINE).running();
            if running > COLD_LIMIT + 2 { Ok(()) } else { Err(format!("{running} run")) }
        };
        fleet.wait("a warm server", LIMIT, full).unwrap();
        fleet.engine(ENGINE).turn_cold();
        wait_served(&fleet, Instant::now());
    }
    load.stop();

    check(&fleet, "cold without a word under load");
}

#[test]
fn an_idle_server_that_turns_cold_without_a_word_gets_its_cold_limit() {
    let fleet = fleet(Duration::from_secs(1));
    let warming = load(&fleet);
    let full = || {
        let running = fleet.engine(ENGINE).running();
        if running == 8 { Ok(()) } else { Err(format!("{running} run")) }
    };
    fleet.wait("a warm server", LIMIT, full).unwrap();
    warming.stop();

    fleet.engine(ENGINE).turn_cold();
    let burst = load(&fleet);
    wait_served(&fleet, Instant::now());
    burst.stop();

    check(&fleet, "cold without a word while idle");
}

//! An evacuated availability zone and a leaving backend server get no new work after 3 s, no
//! request fails meanwhile, and their engines ramp up from the cold limit when they return.

use std::time::Instant;

use config::{ServerState, ZoneState};
use fakes::{Fleet, FleetBuilder};

use crate::support::{
    BackgroundLoad, CONFIG_TIMEOUT, Cell, TIMEOUT, ahead_of_ramp, completion, failures,
    received_since, sleep_for, spread_evenly, start, unlimited_rates, wait_version,
};

const COLD_LIMIT: usize = 2;
const CALLERS: usize = 24;
const CELLS: [Cell; 3] =
    [Cell { pool: "m", zone: "a" }, Cell { pool: "m", zone: "b" }, Cell { pool: "m", zone: "c" }];

/// Three availability zones with two daemons and two engines each. The second daemon of each zone
/// is cut off from the platform.
fn fleet_with_half_cut_off() -> Fleet {
    let fleet = start(FleetBuilder::small(2).configure(unlimited_rates).proxied(), &CELLS);
    for daemon in ["a-2", "b-2", "c-2"] {
        fleet.net.as_ref().unwrap().cut_platform(daemon);
    }
    fleet
}

fn load(fleet: &Fleet) -> BackgroundLoad {
    BackgroundLoad::start(CALLERS, spread_evenly(fleet), |_| completion("one", 10))
}

/// Waits until each of these engines has ended a request that it received after `from`.
fn wait_served(fleet: &Fleet, engines: &[&str], from: Instant) {
    for engine in engines {
        let check = || {
            let entries = received_since(fleet, engine, from);
            let has_ended = entries.iter().any(|it| it.ended.is_some());
            if has_ended { Ok(()) } else { Err(format!("{} requests received", entries.len())) }
        };
        fleet.wait(&format!("an ended request at {engine}"), TIMEOUT, check).unwrap();
    }
}

/// Takes engines out of service and back by changes of the configuration under load, and checks
/// what they get in both phases. `change` gets true to put them back.
fn out_and_back(
    mut fleet: Fleet,
    engines: &[&str],
    mut change: impl FnMut(&mut config::Config, bool),
) {
    let load = load(&fleet);
    wait_served(&fleet, engines, Instant::now());

    let out_at = Instant::now();
    fleet.publish(|cfg| change(cfg, false)).unwrap();
    sleep_for(CONFIG_TIMEOUT);
    let out_since = Instant::now();
    sleep_for(CONFIG_TIMEOUT / 2);
    let back_at = Instant::now();
    let late: Vec<_> =
        engines.iter().flat_map(|it| received_since(&fleet, it, out_since)).collect();
    let version = fleet.publish(|cfg| change(cfg, true)).unwrap();
    wait_version(&fleet, &fleet.daemon_names(), version, CONFIG_TIMEOUT);
    wait_served(&fleet, engines, back_at);
    sleep_for(CONFIG_TIMEOUT / 2);
    let samples = load.stop();

    assert!(late.is_empty(), "{} requests received later than 3 s after the change", late.len());
    for engine in engines {
        let ahead = ahead_of_ramp(&received_since(&fleet, engine, back_at), COLD_LIMIT);
        assert_eq!(ahead, 0, "{engine} got more than its ramp allows after its return");
    }
    let during = samples.iter().filter(|it| it.sent > out_at).count();
    let failures = failures(&samples);
    assert!(failures.is_empty(), "{} of {during} requests failed: {failures:?}", failures.len());
}

/// One daemon of each zone learns of both changes only from its peers.
#[test]
fn an_evacuated_zone_gets_no_new_work_and_ramps_up_on_return() {
    out_and_back(fleet_with_half_cut_off(), &["m-a-1", "m-a-2"], |cfg, is_in| {
        cfg.zones[0].state = if is_in { ZoneState::In } else { ZoneState::Out };
    });
}

/// One daemon of each zone learns of both changes only from its peers.
#[test]
fn a_leaving_server_gets_no_new_work_and_ramps_up_on_return() {
    out_and_back(fleet_with_half_cut_off(), &["m-b-1"], |cfg, is_in| {
        let server = cfg.servers.iter_mut().find(|it| it.name == "m-b-1").unwrap();
        server.state = if is_in { ServerState::In } else { ServerState::Leaving };
    });
}

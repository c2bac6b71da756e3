//! An availability zone that is out, and a backend server that leaves, get no new work after 3 s;
//! service goes on, and what returns ramps.

use std::time::Instant;

use config::{ServerState, ZoneState};
use fakes::{Fleet, FleetBuilder};

use crate::support::{
    Cell, IN_FORCE, LIMIT, Load, ahead_of_ramp, completion, everywhere, failures, pass, since,
    start, unlimited, wait_version,
};

const COLD_LIMIT: usize = 2;
const CALLERS: usize = 24;
const CELLS: [Cell; 3] =
    [Cell { pool: "m", zone: "a" }, Cell { pool: "m", zone: "b" }, Cell { pool: "m", zone: "c" }];

/// Three availability zones with two daemons and two engines each. The second daemon of each zone
/// can't reach the platform.
fn half_cut_off() -> Fleet {
    let fleet = start(FleetBuilder::small(2).configure(unlimited).proxied(), &CELLS);
    for daemon in ["a-2", "b-2", "c-2"] {
        fleet.net.as_ref().unwrap().cut_platform(daemon);
    }
    fleet
}

fn load(fleet: &Fleet) -> Load {
    Load::start(CALLERS, everywhere(fleet), |_| completion("one", 10))
}

/// Waits until each of these engines answered a request that came after `from`.
fn wait_served(fleet: &Fleet, engines: &[&str], from: Instant) {
    for engine in engines {
        let look = || {
            let entries = since(fleet, engine, from);
            let served = entries.iter().any(|it| it.ended.is_some());
            if served { Ok(()) } else { Err(format!("{} requests came", entries.len())) }
        };
        fleet.wait(&format!("a served request at {engine}"), LIMIT, look).unwrap();
    }
}

/// Takes engines out by one change and back by another while callers go on, and checks both.
fn out_and_back(
    mut fleet: Fleet,
    engines: &[&str],
    mut change: impl FnMut(&mut config::Config, bool),
) {
    let load = load(&fleet);
    wait_served(&fleet, engines, Instant::now());

    let out_at = Instant::now();
    fleet.publish(|cfg| change(cfg, false)).unwrap();
    pass(IN_FORCE);
    let out = Instant::now();
    pass(IN_FORCE / 2);
    let back_at = Instant::now();
    let late: Vec<_> = engines.iter().flat_map(|it| since(&fleet, it, out)).collect();
    let version = fleet.publish(|cfg| change(cfg, true)).unwrap();
    wait_version(&fleet, &fleet.names(), version, IN_FORCE);
    wait_served(&fleet, engines, back_at);
    pass(IN_FORCE / 2);
    let samples = load.stop();

    assert!(late.is_empty(), "{} requests came later than 3 s after the change", late.len());
    for engine in engines {
        let ahead = ahead_of_ramp(&since(&fleet, engine, back_at), COLD_LIMIT);
        assert_eq!(ahead, 0, "{engine} returned and got more than its ramp allows");
    }
    let during = samples.iter().filter(|it| it.sent > out_at).count();
    let failures = failures(&samples);
    assert!(failures.is_empty(), "{} of {during} failed: {failures:?}", failures.len());
}

#[test]
fn a_zone_that_is_out_gets_no_new_work_and_returns_in_a_ramp() {
    out_and_back(half_cut_off(), &["m-a-1", "m-a-2"], |cfg, is_in| {
        cfg.zones[0].state = if is_in { ZoneState::In } else { ZoneState::Out };
    });
}

#[test]
fn a_server_that_leaves_gets_no_new_work_and_returns_in_a_ramp() {
    out_and_back(half_cut_off(), &["m-b-1"], |cfg, is_in| {
        let server = cfg.servers.iter_mut().find(|it| it.name == "m-b-1").unwrap();
        server.state = if is_in { ServerState::In } else { ServerState::Leaving };
    });
}

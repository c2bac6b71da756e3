//! An accepted configuration is in force at all daemons within 3 s and never reverts; a rejected
//! one changes nothing.

use std::time::{Duration, Instant};

use config::Config;
use fakes::{Call, Client, Fleet, FleetBuilder, key_of, rt::block_on};

use crate::support::{
    BackgroundLoad, CONFIG_TIMEOUT, Cell, TIMEOUT, config_version, failures, sleep_for,
    spread_evenly, start, unlimited_rates, wait_serving, wait_version,
};

const SERVICE: Cell = Cell { pool: "s", zone: "a" };

fn fleet() -> Fleet {
    start(FleetBuilder::small(2).configure(unlimited_rates).proxied(), &[SERVICE])
}

fn read(account: &str) -> Call {
    Call::post("/s/read").key(&key_of(account)).mark("account", account).timeout(TIMEOUT)
}

fn revoke_key_of_two(cfg: &mut Config) {
    cfg.accounts.iter_mut().find(|it| it.name == "two").unwrap().key_hashes.clear();
}

fn runs_of_two(fleet: &Fleet) -> usize {
    fleet.record().iter().filter(|it| it.account() == "two").count()
}

/// One daemon of each zone can get the configuration only from its peers.
#[test]
fn a_configuration_reaches_all_daemons_with_half_of_them_cut_off_from_the_platform() {
    let mut fleet = fleet();
    for daemon in ["a-2", "b-2", "c-2"] {
        fleet.net.as_ref().unwrap().cut_platform(daemon);
    }

    for _ in 0..3 {
        let version = fleet.publish(|_| {}).unwrap();
        wait_version(&fleet, &fleet.daemon_names(), version, CONFIG_TIMEOUT);
    }
}

/// Publishes a configuration without the key of account `two`, restarts every daemon during a
/// `fault` of the platform, and checks that no daemon falls back to the previous version, in which
/// the key is valid. `fault` gets the previous version.
fn check_no_revert(fault: impl Fn(&Fleet, u64)) {
    let mut fleet = fleet();
    let old = fleet.config().version;
    let new = fleet.publish(revoke_key_of_two).unwrap();
    wait_version(&fleet, &fleet.daemon_names(), new, CONFIG_TIMEOUT);
    let load = BackgroundLoad::start(12, spread_evenly(&fleet), |_| read("two"));

    fault(&fleet, old);
    for daemon in fleet.daemon_names() {
        fleet.restart(&daemon).unwrap();
        fleet.wait_ready(&daemon, TIMEOUT).unwrap();
        assert_eq!(config_version(&fleet, &daemon), new, "{daemon} reverted after its restart");
    }
    let samples = load.stop();
    let versions: Vec<_> =
        fleet.daemon_names().iter().map(|it| config_version(&fleet, it)).collect();

    assert_eq!(runs_of_two(&fleet), 0, "requests ran with the revoked key");
    assert!(samples.iter().all(|it| !it.reply.is_complete()));
    assert!(versions.iter().all(|it| *it == new), "versions {versions:?}, expected {new}");
    for daemon in fleet.daemon_names() {
        let reply = block_on(Client::new(fleet.address(&daemon)).send(&read("one")));
        assert!(reply.is_complete(), "{daemon} does not serve account `one`: {reply:?}");
    }
}

/// Every read returns the previous version.
#[test]
fn restarts_with_a_stale_configuration_service_do_not_revert() {
    check_no_revert(|fleet, old| fleet.platform.serve_stale(old));
}

/// Every second read returns the previous version.
#[test]
fn restarts_with_a_flapping_configuration_service_do_not_revert() {
    check_no_revert(|fleet, old| fleet.platform.flap(old));
}

/// The platform refuses connections.
#[test]
fn restarts_during_a_platform_outage_do_not_revert() {
    check_no_revert(|fleet, _| fleet.platform.down());
}

/// The platform accepts connections and never responds.
#[test]
fn restarts_with_a_hanging_configuration_service_do_not_revert() {
    check_no_revert(|fleet, _| fleet.platform.hang());
}

/// The invalid configuration also revokes a key: if a part of it came into force, requests with
/// that key would be refused.
#[test]
fn a_rejected_configuration_changes_nothing_and_is_reported_in_the_dump() {
    let mut fleet = fleet();
    wait_serving(&fleet, &read("one"));
    let load = BackgroundLoad::start(6, spread_evenly(&fleet), |_| read("one"));
    let good = fleet.config().version;
    let mut bad = fleet.config().clone();
    bad.version = good + 1;
    bad.servers[0].zone = "nowhere".to_owned();
    revoke_key_of_two(&mut bad);

    fleet.platform.publish(bad.version, serde_json::to_string(&bad).unwrap());
    let published = Instant::now();
    for daemon in fleet.daemon_names() {
        let left = CONFIG_TIMEOUT.saturating_sub(published.elapsed());
        let is_reported = |dump: &serde_json::Value| {
            dump["config_rejected"].as_str().is_some_and(|it| it.contains("nowhere"))
        };
        fleet.wait_dump(&daemon, "the findings", left, is_reported).unwrap();
    }
    sleep_for(Duration::from_secs(1));
    let versions: Vec<_> =
        fleet.daemon_names().iter().map(|it| config_version(&fleet, it)).collect();
    let reply = block_on(Client::new(fleet.address("a-1")).send(&read("two")));
    // The next valid configuration has a higher version than the rejected one.
    fleet.publish(|cfg| cfg.version = bad.version).unwrap();
    let next = fleet.config().version;
    wait_version(&fleet, &fleet.daemon_names(), next, CONFIG_TIMEOUT);
    let samples = load.stop();

    assert!(versions.iter().all(|it| *it == good), "versions {versions:?}, expected {good}");
    assert!(
        reply.is_complete(),
        "the rejected configuration revoked the key of account `two`: {reply:?}"
    );
    let failures = failures(&samples);
    assert!(failures.is_empty(), "{failures:?}");
    for daemon in fleet.daemon_names() {
        assert!(fleet.dump(&daemon)["config_rejected"].is_null());
    }
}

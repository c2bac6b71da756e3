//! An accepted configuration is in force everywhere within 3 s and never reverts; a rejected one
//! changes nothing.

use std::time::{Duration, Instant};

use config::Config;
use fakes::{Call, Client, Fleet, FleetBuilder, key_of, rt::block_on};

use crate::support::{
    Cell, IN_FORCE, LIMIT, Load, everywhere, failures, pass, start, unlimited, version,
    wait_serving, wait_version,
};

const SERVICE: Cell = Cell { pool: "s", zone: "a" };

fn fleet() -> Fleet {
    start(FleetBuilder::small(2).configure(unlimited).proxied(), &[SERVICE])
}

fn read(account: &str) -> Call {
    Call::post("/s/read").key(&key_of(account)).mark("account", account).timeout(LIMIT)
}

fn withdraw_two(cfg: &mut Config) {
    cfg.accounts.iter_mut().find(|it| it.name == "two").unwrap().key_hashes.clear();
}

fn runs_of_two(fleet: &Fleet) -> usize {
    fleet.record().iter().filter(|it| it.account() == "two").count()
}

#[test]
fn a_configuration_is_in_force_everywhere_with_half_of_the_daemons_cut_off() {
    let mut fleet = fleet();
    for daemon in ["a-2", "b-2", "c-2"] {
        fleet.net.as_ref().unwrap().cut_platform(daemon);
    }

    for _ in 0..3 {
        let version = fleet.publish(|_| {}).unwrap();
        wait_version(&fleet, &fleet.names(), version, IN_FORCE);
    }
}

/// Publishes a configuration without the key of account two, lets every daemon restart while the
/// platform misbehaves as `fault` tells, and checks that the key stays withdrawn everywhere.
fn never_reverts(fault: impl Fn(&Fleet, u64)) {
    let mut fleet = fleet();
    let old = fleet.config().version;
    let new = fleet.publish(withdraw_two).unwrap();
    wait_version(&fleet, &fleet.names(), new, IN_FORCE);
    let load = Load::start(12, everywhere(&fleet), |_| read("two"));

    fault(&fleet, old);
    for daemon in fleet.names() {
        fleet.restart(&daemon).unwrap();
        fleet.wait_ready(&daemon, LIMIT).unwrap();
        assert_eq!(version(&fleet, &daemon), new, "{daemon} reverted after its restart");
    }
    let samples = load.stop();
    let versions: Vec<_> = fleet.names().iter().map(|it| version(&fleet, it)).collect();

    assert_eq!(runs_of_two(&fleet), 0, "requests ran with the withdrawn key");
    assert!(samples.iter().all(|it| !it.reply.is_whole()));
    assert!(versions.iter().all(|it| *it == new), "{versions:?} instead of {new}");
    for daemon in fleet.names() {
        let reply = block_on(Client::new(fleet.address(&daemon)).send(&read("one")));
        assert!(reply.is_whole(), "{daemon} does not serve account one: {reply:?}");
    }
}

#[test]
fn restarts_before_a_stale_service_do_not_revert() {
    never_reverts(|fleet, old| fleet.platform.stale(old));
}

#[test]
fn restarts_before_a_flapping_service_do_not_revert() {
    never_reverts(|fleet, old| fleet.platform.flap(old));
}

#[test]
fn restarts_during_an_outage_do_not_revert() {
    never_reverts(|fleet, _| fleet.platform.down());
}

#[test]
fn restarts_before_a_service_that_hangs_do_not_revert() {
    never_reverts(|fleet, _| fleet.platform.hang());
}

#[test]
fn a_rejected_document_changes_nothing_and_shows_in_the_dump() {
    let mut fleet = fleet();
    wait_serving(&fleet, &read("one"));
    let load = Load::start(6, everywhere(&fleet), |_| read("one"));
    let good = fleet.config().version;
    let mut bad = fleet.config().clone();
    bad.version = good + 1;
    bad.servers[0].zone = "nowhere".to_owned();
    withdraw_two(&mut bad);

    fleet.platform.publish(bad.version, serde_json::to_string(&bad).unwrap());
    let published = Instant::now();
    for daemon in fleet.names() {
        let left = IN_FORCE.saturating_sub(published.elapsed());
        let shows = |dump: &serde_json::Value| {
            dump["config_rejected"].as_str().is_some_and(|it| it.contains("nowhere"))
        };
        fleet.wait_dump(&daemon, "the findings", left, shows).unwrap();
    }
    pass(Duration::from_secs(1));
    let versions: Vec<_> = fleet.names().iter().map(|it| version(&fleet, it)).collect();
    let reply = block_on(Client::new(fleet.address("a-1")).send(&read("two")));
    // The next good document has a higher version than the rejected one.
    fleet.publish(|cfg| cfg.version = bad.version).unwrap();
    let next = fleet.config().version;
    wait_version(&fleet, &fleet.names(), next, IN_FORCE);
    let samples = load.stop();

    assert!(versions.iter().all(|it| *it == good), "{versions:?} instead of {good}");
    assert!(reply.is_whole(), "account two was refused by a rejected document: {reply:?}");
    let failures = failures(&samples);
    assert!(failures.is_empty(), "{failures:?}");
    for daemon in fleet.names() {
        assert!(fleet.dump(&daemon)["config_rejected"].is_null());
    }
}

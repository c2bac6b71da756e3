//! A declared fleet passes the check of the configuration, and one that does not is not published.

use std::{path::Path, time::Duration};

use config::{Catalog, Config, ServerState, Settings, ZoneState};
use declare::{
    Account, Class, Engine, Fleet, Pool, Route, Server, Zone,
    deployment::{Site, adwoa, alfombras},
};
use model::prelude::{AccountId, KeyHash};

fn fleet() -> Fleet {
    Fleet::new(4)
        .zone(Zone::new("north"))
        .class(Class::new("live").tier(0).target(Duration::from_millis(800)))
        .account(Account::new("acme").key("secret").rate(5.0).burst(10))
        .pool(Pool::engine("chat"))
        .server(runner("run-1", 1))
        .route(Route::post("/v1/chat/completions").class("live").idempotent())
}

fn runner(name: &str, port: u16) -> Server {
    Server::new(name, ([10, 0, 0, 1], port).into())
        .zone("north")
        .pool("chat")
        .limit(8)
        .cold_limit(2)
        .engine(Engine::new().resumes().model("chat"))
}

fn parsed(fleet: &Fleet) -> Config {
    Config::parse(&fleet.publish().unwrap_or_default()).unwrap_or_default()
}

/// Reads a file in `examples/` at the root of the repository; empty if it cannot be read.
fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    std::fs::read_to_string(path).unwrap_or_default()
}

#[test]
fn a_declared_fleet_passes_the_check_without_findings() {
    let fleet = fleet();

    assert!(fleet.findings().is_empty(), "{}", fleet.findings());
    assert_eq!(parsed(&fleet).version, 4);
}

#[test]
fn keys_are_published_as_hashes() {
    let text = fleet().publish().unwrap();

    let catalog = Catalog::new(&Config::parse(&text).unwrap());
    assert!(!text.contains("secret"));
    assert_eq!(catalog.account_of(KeyHash::of(b"secret")), Some(AccountId::of("acme")));
}

#[test]
fn publish_fails_with_the_findings_of_a_rejected_configuration() {
    let fleet = fleet()
        .account(Account::new("b").key_hash("12").rate(f64::NAN).burst(0))
        .server(runner("run-1", 2).zone("south"));

    let findings = fleet.publish().unwrap_err();

    let places: Vec<_> = findings.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(
        places,
        [
            "/accounts/1/burst",
            "/accounts/1/key_hashes/0",
            "/accounts/1/rate",
            "/servers/1/name",
            "/servers/1/zone",
        ]
    );
}

#[test]
fn states_and_keys_are_changed_by_name() {
    let fleet = fleet()
        .zone(Zone::new("south"))
        .zone_state("north", ZoneState::Out)
        .server_state("run-1", ServerState::Leaving)
        .without_keys("acme")
        .version(5);

    let cfg = parsed(&fleet);

    assert_eq!(cfg.version, 5);
    assert_eq!(cfg.zones[0].state, ZoneState::Out);
    assert_eq!(cfg.servers[0].state, ServerState::Leaving);
    assert!(cfg.accounts[0].key_hashes.is_empty());
}

#[test]
fn both_deployments_pass_the_check_without_findings() {
    let fleets = [alfombras(&Site::example(12, 3, 10)), adwoa(&Site::example(9, 3, 10))];

    for fleet in fleets {
        assert!(fleet.findings().is_empty(), "{}", fleet.findings());
        let cfg = parsed(&fleet);
        assert_eq!((cfg.zones.len(), cfg.accounts.len()), (3, 10));
    }
}

/// A retry on a route that is wrongly declared idempotent could run a payment promise, a reversal
/// or an order twice.
#[test]
fn only_routes_that_change_data_are_not_idempotent() {
    let fleets = [alfombras(&Site::example(12, 3, 10)), adwoa(&Site::example(9, 3, 10))];

    let routes = fleets.iter().flat_map(|fleet| parsed(fleet).routes);
    let once: Vec<_> = routes.filter(|route| !route.idempotent).map(|route| route.path).collect();

    assert_eq!(once, ["/ledger/promise", "/ledger/reversal", "/stock/order"]);
}

#[test]
fn the_example_file_is_the_published_alfombras_deployment() {
    let declared = alfombras(&Site::example(12, 3, 10)).publish().unwrap();

    assert_eq!(example("config.json").trim_end(), declared);
}

#[test]
fn the_example_settings_pass_the_check_without_findings() {
    let checked = Settings::check(&example("settings.json"));

    assert!(checked.findings.is_empty(), "{}", checked.findings);
}

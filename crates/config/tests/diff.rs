//! Differences refer to elements of lists by name and show no key hash in full.

#![allow(clippy::unwrap_used)]

use config::{Account, Config, Order, OrderKind, Server, ServerState, Zone, ZoneState, diff};

fn zone(name: &str) -> Zone {
    Zone { name: name.to_owned(), state: ZoneState::In }
}

fn account(name: &str, hashes: &[String]) -> Account {
    Account { name: name.to_owned(), key_hashes: hashes.to_vec(), rate: 5.0, burst: 9, weight: 1 }
}

fn server(name: &str) -> Server {
    Server {
        name: name.to_owned(),
        zone: "north".to_owned(),
        pool: "chat".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        limit: 8,
        cold_limit: 2,
        state: ServerState::In,
        engine: Some(config::Engine::default()),
    }
}

fn hash(digit: char) -> String {
    digit.to_string().repeat(64)
}

fn config() -> Config {
    Config {
        version: 1,
        zones: vec![zone("north"), zone("south")],
        accounts: vec![account("acme", &[hash('a'), hash('b')])],
        servers: vec![server("chat/1")],
        ..Config::default()
    }
}

fn lines(old: &Config, new: &Config) -> Vec<String> {
    diff(old, new).iter().map(ToString::to_string).collect()
}

#[test]
fn reordered_elements_of_lists_are_no_difference() {
    let mut reordered = config();
    reordered.zones.reverse();
    reordered.accounts[0].key_hashes.reverse();

    assert!(diff(&config(), &config()).is_empty());
    assert!(diff(&config(), &reordered).is_empty());
}

#[test]
fn changed_elements_of_lists_are_identified_by_name() {
    let mut new = config();
    new.version = 2;
    new.zones.remove(0);
    new.zones[0].state = ZoneState::Out;
    new.zones.push(zone("west"));
    new.accounts[0].rate = 7.5;
    new.servers[0].state = ServerState::Leaving;

    assert_eq!(
        lines(&config(), &new),
        [
            "/accounts/acme/rate: 5.0 -> 7.5",
            "/servers/chat~11/state: \"in\" -> \"leaving\"",
            "/version: 1 -> 2",
            "/zones/north: removed {\"name\":\"north\",\"state\":\"in\"}",
            "/zones/south/state: \"in\" -> \"out\"",
            "/zones/west: added {\"name\":\"west\",\"state\":\"in\"}",
        ]
    );
}

#[test]
fn key_hashes_are_shown_shortened() {
    let mut new = config();
    new.accounts[0].key_hashes = vec![hash('b'), hash('c')];
    new.accounts.push(account("new", &[hash('d')]));

    let lines = lines(&config(), &new);

    assert_eq!(
        lines[..2],
        [
            "/accounts/acme/key_hashes: removed \"aaaa..\"".to_owned(),
            "/accounts/acme/key_hashes: added \"cccc..\"".to_owned()
        ]
    );
    assert!(lines[2].contains("\"key_hashes\":[\"dddd..\"]"), "{}", lines[2]);
    assert_eq!(lines.len(), 3);
}

#[test]
fn lists_of_orders_with_the_same_name_are_compared_as_a_whole() {
    let order = |kind, name: &str| Order { kind, name: name.to_owned() };
    let orders = vec![order(OrderKind::Model, "a"), order(OrderKind::Adapter, "a")];
    let mut new = config();
    new.servers[0].engine.as_mut().unwrap().orders = orders;

    let lines = lines(&config(), &new);

    assert_eq!(lines.len(), 1);
    assert!(lines[0].starts_with("/servers/chat~11/engine/orders: [] -> [{"), "{}", lines[0]);
}

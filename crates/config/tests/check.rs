//! The checks report every error of a document at once, each with its place.

#![allow(clippy::unwrap_used)]

use config::{Config, Findings, InstanceList, MAX_DOCUMENT_BYTES, Settings, Severity};
use serde_json::{Value, json};

fn hash(digit: char) -> String {
    digit.to_string().repeat(64)
}

fn config() -> Value {
    json!({
        "version": 3,
        "zones": [{ "name": "north" }, { "name": "south", "state": "out" }],
        "classes": [{ "name": "live", "tier": 0, "target_ms": 800 }],
        "accounts": [{ "name": "acme", "key_hashes": [hash('a')], "rate": 5.5, "burst": 10 }],
        "pools": [
            { "name": "acme/chat:7b", "kind": "engine" },
            { "name": "ledger", "kind": "service" },
        ],
        "servers": [
            server("run-1", "acme/chat:7b", 1),
            server("ledger-1", "ledger", 2),
        ],
        "routes": [{
            "name": "chat", "method": "POST", "path": "/v1/chat/completions",
            "classes": ["live"], "idempotent": true,
        }],
    })
}

fn server(name: &str, pool: &str, port: u16) -> Value {
    json!({
        "name": name, "zone": "north", "pool": pool, "address": format!("10.0.0.1:{port}"),
        "limit": 8, "cold_limit": 2,
    })
}

fn settings() -> Value {
    json!({
        "instance": "north-1", "zone": "north", "listen": "0.0.0.0:8080",
        "peer_listen": "10.0.0.1:7000", "admin_listen": "127.0.0.1:9000",
        "platform": { "config": "10.0.0.9:80", "instances": "10.0.0.9:80" },
    })
}

/// Sets the value at a JSON pointer to a list's element or an object's field; the field may be new.
fn with(mut doc: Value, pointer: &str, value: Value) -> Value {
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    match doc.pointer_mut(parent).unwrap() {
        Value::Array(list) => list[field.parse::<usize>().unwrap()] = value,
        parent => parent[field] = value,
    }
    doc
}

fn push(mut doc: Value, pointer: &str, value: Value) -> Value {
    doc.pointer_mut(pointer).unwrap().as_array_mut().unwrap().push(value);
    doc
}

fn errors(findings: &Findings) -> Vec<String> {
    let errors = findings.iter().filter(|finding| finding.severity == Severity::Error);
    errors.map(ToString::to_string).collect()
}

fn error_places(findings: &Findings) -> Vec<&str> {
    let errors = findings.iter().filter(|finding| finding.severity == Severity::Error);
    errors.map(|finding| finding.place.as_str()).collect()
}

#[track_caller]
fn assert_rejected(doc: &Value, expected: &[&str]) {
    let findings = Config::parse(&doc.to_string()).unwrap_err();

    assert_eq!(errors(&findings), expected);
}

#[track_caller]
fn assert_warned(doc: &Value, expected: &[&str]) {
    let checked = Config::check(&doc.to_string());

    assert!(checked.document.is_some(), "{}", checked.findings);
    let found: Vec<_> = checked.findings.iter().map(ToString::to_string).collect();
    assert_eq!(found, expected);
}

#[track_caller]
fn assert_settings_rejected(doc: &Value, expected: &[&str]) {
    let findings = Settings::parse(&doc.to_string()).unwrap_err();

    assert_eq!(errors(&findings), expected);
}

/// The instance list may have unknown fields, the other documents may not.
#[test]
fn valid_documents_are_accepted_without_findings() {
    assert_warned(&config(), &[]);
    assert!(Settings::check(&settings().to_string()).findings.is_empty());
    let list = json!({
        "version": 1,
        "instances": [{ "name": "north-1", "zone": "north", "peer": "10.0.0.1:7000", "rack": 7 }],
    });
    assert!(InstanceList::check(&list.to_string()).findings.is_empty());
}

#[test]
fn a_json_syntax_error_is_reported_with_line_and_column() {
    let findings = Config::parse("{\n  \"version\": 1,\n  oops\n}").unwrap_err();

    assert_eq!(
        findings.to_string(),
        "document: is not JSON: key must be a string at line 3 column 3"
    );
}

/// `serde_json::Value` keeps the last of two fields with the same name, so that the mistake would go
/// unnoticed.
#[test]
fn a_duplicate_field_is_rejected() {
    let text = config().to_string().replacen("{", "{\"version\": 9,", 1);

    let findings = Config::parse(&text).unwrap_err();

    assert!(findings.to_string().contains("duplicate field `version` at line 1"), "{findings}");
}

#[test]
fn schema_errors_and_inconsistencies_are_reported_together() {
    let doc = with(config(), "/version", json!(0));
    let doc = with(doc, "/accounts/0/rate", json!(-1));
    let doc = with(doc, "/servers/0/zone", json!("east"));
    let doc = with(doc, "/servers/1/adress", json!("10.0.0.1:5"));
    let doc = with(doc, "/zones/1/state", json!("gone"));

    assert_rejected(
        &doc,
        &[
            "/accounts/0/rate: -1 is less than the minimum of 0.00001",
            "/servers/1/adress: unknown field",
            "/version: 0 is less than the minimum of 1",
            "/zones/1/state: is not one of \"in\", \"out\", \"lost\"",
            "/servers/0/zone: no zone has the name \"east\"",
        ],
    );
}

#[test]
fn missing_fields_and_null_are_rejected() {
    let mut doc = with(config(), "/servers/0/engine", Value::Null);
    doc["routes"][0].as_object_mut().unwrap().remove("idempotent");

    assert_rejected(
        &doc,
        &[
            "/routes/0/idempotent: field is missing",
            "/servers/0/engine: the value is not of type \"object\"",
        ],
    );
}

#[test]
fn duplicate_names_are_rejected() {
    let doc = push(config(), "/zones", json!({ "name": "north" }));
    let doc = push(doc, "/pools", json!({ "name": "ledger", "kind": "service" }));

    assert_rejected(
        &doc,
        &[
            "/zones/2/name: the name \"north\" is already used by /zones/0",
            "/pools/2/name: the name \"ledger\" is already used by /pools/1",
        ],
    );
}

#[test]
fn dangling_references_and_duplicate_classes_of_a_route_are_rejected() {
    let doc = with(config(), "/servers/0/pool", json!("chat"));
    let doc = with(doc, "/routes/0/pool", json!("chat"));
    let doc = with(doc, "/routes/0/classes", json!(["live", "live", "slow"]));

    assert_rejected(
        &doc,
        &[
            "/servers/0/pool: no pool has the name \"chat\"",
            "/routes/0/pool: no pool has the name \"chat\"",
            "/routes/0/classes/1: the class \"live\" is listed twice",
            "/routes/0/classes/2: no class has the name \"slow\"",
        ],
    );
}

/// The account of a request is that of its key, so a key must not have two. Equal hashes may differ
/// in the case of their digits.
#[test]
fn a_key_that_is_listed_twice_or_in_two_accounts_is_rejected() {
    let other = json!({ "name": "b", "key_hashes": [hash('A')], "rate": 1, "burst": 9 });
    let doc = push(config(), "/accounts", other);
    let doc = push(doc, "/accounts/0/key_hashes", json!(hash('a')));

    assert_rejected(
        &doc,
        &[
            "/accounts/0/key_hashes/1: the key is listed twice",
            "/accounts/1/key_hashes/0: /accounts/0 has the same key",
        ],
    );
}

/// Findings are logged: a key that an operator puts in place of its hash, or into another field,
/// must not get into the logs.
#[test]
fn findings_do_not_contain_a_key_in_the_wrong_place() {
    let doc = push(config(), "/accounts/0/key_hashes", json!("sk-secret"));
    let doc = push(doc, "/accounts", json!("sk-secret"));
    let doc = with(doc, "/accounts/0/burst", json!({ "key": "sk-secret" }));

    let findings = Config::parse(&doc.to_string()).unwrap_err();

    assert_eq!(errors(&findings).len(), 3);
    assert!(!findings.to_string().contains("secret"), "{findings}");
}

#[test]
fn numbers_out_of_range_are_rejected() {
    let doc = with(config(), "/accounts/0/burst", json!(0));
    let doc = with(doc, "/accounts/0/weight", json!(0));
    let doc = with(doc, "/accounts/0/rate", json!(1e300));
    let doc = with(doc, "/classes/0/target_ms", json!(0));
    let doc = with(doc, "/classes/0/tier", json!(256));
    let doc = with(doc, "/servers/0/limit", json!(1u64 << 32));
    let doc = with(doc, "/servers/1/cold_limit", json!(9));

    let findings = Config::parse(&doc.to_string()).unwrap_err();

    assert_eq!(
        error_places(&findings),
        [
            "/accounts/0/burst",
            "/accounts/0/rate",
            "/accounts/0/weight",
            "/classes/0/target_ms",
            "/classes/0/tier",
            "/servers/0/limit",
            "/servers/1/cold_limit",
        ]
    );
}

#[test]
fn unusable_and_duplicate_server_addresses_are_rejected() {
    let doc = with(config(), "/servers/0/address", json!("ledger.example:80"));
    let doc = push(doc, "/servers", server("run-2", "ledger", 2));
    let doc = push(doc, "/servers", server("run-3", "ledger", 0));

    assert_rejected(
        &doc,
        &[
            "/servers/0/address: is not an IP address with a port",
            "/servers/2/address: /servers/1 has the same address",
            "/servers/3/address: is not a specific IP address with a port above 0",
        ],
    );
}

#[test]
fn routes_that_no_request_or_two_routes_match_are_rejected() {
    let route = |name: &str, method: &str, path: &str| {
        json!({
            "name": name, "method": method, "path": path, "pool": "ledger",
            "classes": ["live"], "idempotent": false,
        })
    };
    let doc = push(config(), "/routes", route("a", "post", "/v1/chat/completions"));
    let doc = push(doc, "/routes", route("b", "GET IT", "/b"));
    let doc = push(doc, "/routes", route("c", "GET", "c"));
    let doc = push(doc, "/routes", route("d", "GET", "/d?x=1"));
    let doc = push(doc, "/routes", route("e", "CONNECT", "/e"));
    let doc = push(doc, "/routes", route("f", "GET", "/e/../f"));
    let doc = with(doc, "/routes/0/classes", json!([]));

    let findings = Config::parse(&doc.to_string()).unwrap_err();

    assert_eq!(
        error_places(&findings),
        [
            "/routes/0/classes",
            "/routes/2/method",
            "/routes/3/path",
            "/routes/4/path",
            "/routes/1/path",
            "/routes/5/method",
            "/routes/6/path",
        ]
    );
}

#[test]
fn duplicate_and_conflicting_orders_and_engines_in_service_pools_are_rejected() {
    let orders = json!([
        { "kind": "role", "name": "prefill" },
        { "kind": "role", "name": "decode" },
        { "kind": "role", "name": "prefill" },
    ]);
    let doc = with(config(), "/servers/0/engine", json!({ "orders": orders }));
    let doc = with(doc, "/servers/1/engine", json!({}));

    assert_rejected(
        &doc,
        &[
            "/servers/0/engine/orders/1: /servers/0/engine/orders/0 orders another role",
            "/servers/0/engine/orders/2: the order is listed twice",
            "/servers/1/engine: belongs to engines, but the pool is a plain service",
        ],
    );
}

#[test]
fn a_configuration_with_warnings_is_accepted() {
    let doc = with(config(), "/accounts/0/burst", json!(1));
    let doc = with(doc, "/accounts/0/key_hashes", json!([]));
    let doc = with(doc, "/routes/0/open", json!(true));
    let doc = with(doc, "/routes/0/max_duration_ms", json!(100));
    let doc = with(doc, "/zones/0/state", json!("out"));
    let doc = push(doc, "/pools", json!({ "name": "stock", "kind": "service" }));
    let doc = push(doc, "/classes", json!({ "name": "slow", "tier": 3, "target_ms": 1 }));

    assert_warned(
        &doc,
        &[
            "/zones: warning: no zone is \"in\": no backend server receives requests",
            "/accounts/0/burst: warning: is less than 2, the number of zones that divide it",
            "/accounts/0/key_hashes: warning: the list is empty: the account has no valid key",
            "/pools/2: warning: no backend server belongs to this pool",
            "/routes/0/max_duration_ms: warning: is less than the target of class \"live\"",
            "/routes/0/open: warning: anyone may use the model engines without a key",
            "/classes/1: warning: no route lists this class",
        ],
    );
}

#[test]
fn a_configuration_with_lost_zones_only_is_rejected() {
    let doc = with(config(), "/zones", json!([{ "name": "north", "state": "lost" }]));

    assert_rejected(&doc, &[r#"/zones: every zone is "lost", expected one that is "in" or "out""#]);
}

#[test]
fn a_document_over_the_size_limit_is_rejected() {
    let text = format!("{}{}", config(), " ".repeat(MAX_DOCUMENT_BYTES));

    let findings = Config::parse(&text).unwrap_err();

    assert!(findings.to_string().ends_with("bytes, more than the limit of 1000000"), "{findings}");
}

#[test]
fn findings_over_the_limit_are_only_counted() {
    let doc = with(config(), "/accounts", json!(vec![0; 100_000]));

    let findings = Config::parse(&doc.to_string()).unwrap_err();

    assert!(findings.to_string().ends_with("\n99500 more findings"));
}

#[test]
fn settings_that_contradict_each_other_are_rejected() {
    let doc = with(settings(), "/admin_listen", json!("0.0.0.0:7000"));
    let doc = with(doc, "/seeds", json!(["10.0.0.2:7000", "10.0.0.2:7000", "10.0.0.3:0"]));
    let doc = with(doc, "/platform/instances_path", json!("/config"));
    let doc =
        with(doc, "/ownership", json!({ "lease_ms": 400, "margin_ms": 400, "spread_ms": 10 }));
    let doc = with(doc, "/limits", json!({ "traffic_threads": 0 }));

    assert_settings_rejected(
        &doc,
        &[
            "/limits/traffic_threads: 0 is less than the minimum of 1",
            "/admin_listen: /peer_listen has the same address",
            "/seeds/1: /seeds/0 has the same address",
            "/seeds/2: has port 0, to which nothing can connect",
            "/platform/instances_path: /platform/config_path has the same address and path",
            "/ownership/heartbeat_ms: is more than lease_ms / 2",
            "/ownership/margin_ms: is not less than lease_ms",
            "/ownership/spread_ms: is less than heartbeat_ms",
        ],
    );
}

/// Port 0 means any free port, so that two listeners with it do not conflict.
#[test]
fn settings_may_have_several_listeners_with_port_0() {
    let doc = with(settings(), "/listen", json!("127.0.0.1:0"));
    let doc = with(doc, "/peer_listen", json!("127.0.0.1:0"));

    assert!(Settings::parse(&doc.to_string()).is_ok());
}

/// The list lags, so it may show both an instance and its replacement at the same address.
#[test]
fn an_instance_list_with_a_duplicate_address_is_accepted_with_a_warning() {
    let list = json!({
        "version": 1,
        "instances": [
            { "name": "a", "zone": "north", "peer": "10.0.0.1:7000", "state": "leaving" },
            { "name": "b", "zone": "north", "peer": "10.0.0.1:7000" },
        ],
    });

    let checked = InstanceList::check(&list.to_string());

    assert_eq!(checked.document.unwrap().instances.len(), 2);
    assert_eq!(
        checked.findings.to_string(),
        "/instances/1/peer: warning: /instances/0 has the same address"
    );
}

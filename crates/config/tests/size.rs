//! The configuration of the largest expected fleet is below the size limit, and checking it takes
//! less than the time within which a configuration must apply everywhere.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use config::{Config, MAX_DOCUMENT_BYTES};
use model::prelude::KeyHash;
use serde_json::{Value, json};

const ZONES: usize = 5;
const ACCOUNTS: usize = 1_100;
const SERVERS: usize = 820;
/// The time within which a published configuration must apply in the whole fleet.
const MAX_ROLLOUT: Duration = Duration::from_secs(3);

fn account(i: usize) -> Value {
    json!({
        "name": format!("account-{i}"),
        "key_hashes": [KeyHash::of(i.to_string().as_bytes()).to_hex()],
        "rate": 5.0,
        "burst": 10,
        "weight": 1,
    })
}

fn server(i: usize) -> Value {
    json!({
        "name": format!("runner-{i}"),
        "zone": format!("zone-{}", i % ZONES),
        "pool": format!("model-{}", i % 4),
        "address": format!("10.1.{}.{}:8000", i / 250, i % 250 + 1),
        "limit": 8,
        "cold_limit": 2,
        "state": "in",
        "engine": { "resumes": true, "fenced": true, "orders": [{ "kind": "model", "name": "m" }] },
    })
}

fn document() -> String {
    let all = |count, make: fn(usize) -> Value| (0..count).map(make).collect::<Vec<_>>();
    let doc = json!({
        "version": 1,
        "zones": all(ZONES, |i| json!({ "name": format!("zone-{i}") })),
        "classes": [{ "name": "live", "tier": 0, "target_ms": 800 }],
        "accounts": all(ACCOUNTS, account),
        "pools": all(4, |i| json!({ "name": format!("model-{i}"), "kind": "engine" })),
        "servers": all(SERVERS, server),
        "routes": [{
            "name": "chat", "method": "POST", "path": "/v1/chat/completions",
            "classes": ["live"], "idempotent": true,
        }],
    });
    doc.to_string()
}

#[test]
fn the_largest_expected_configuration_is_checked_within_the_rollout_time() {
    let text = document();

    let start = Instant::now();
    let cfg = Config::parse(&text).unwrap();
    let first = start.elapsed();
    let again = Instant::now();
    Config::parse(&text).unwrap();

    println!("{} bytes: {first:?}, then {:?}", text.len(), again.elapsed());
    assert_eq!((cfg.accounts.len(), cfg.servers.len()), (ACCOUNTS, SERVERS));
    assert!(text.len() < MAX_DOCUMENT_BYTES);
    assert!(first < MAX_ROLLOUT, "{first:?}");
}

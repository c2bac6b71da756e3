//! A request counts only for the account of its API key, no backend server receives the key, and a
//! revoked key is refused within 3 s.

use std::time::{Duration, Instant};

use fakes::{
    Call, Client, EngineBehavior, Fleet, FleetBuilder, RecordedRequest, excess, key_of,
    rt::{block_on, spawn},
};

use crate::support::{
    BackgroundLoad, CONFIG_TIMEOUT, Cell, TIMEOUT, completion, failures, sleep_for, spread_evenly,
    start, unlimited_rates, wait_serving, wait_version,
};

const CELL: Cell = Cell { pool: "m", zone: "a" };
const SERVICES: [Cell; 3] =
    [Cell { pool: "s", zone: "a" }, Cell { pool: "s", zone: "b" }, Cell { pool: "s", zone: "c" }];

/// The path of a route of the plain service; it requires an API key.
const READ: &str = "/s/read";

fn read() -> Call {
    Call::post(READ).timeout(TIMEOUT)
}

/// Returns the recorded requests of the account that the callers named in the body.
fn entries_of(fleet: &Fleet, account: &str) -> Vec<RecordedRequest> {
    fleet.record().into_iter().filter(|it| it.account() == account).collect()
}

fn revoke_key(fleet: &mut Fleet, account: &str) -> u64 {
    let change = |cfg: &mut config::Config| {
        let account = cfg.accounts.iter_mut().find(|it| it.name == account);
        account.unwrap().key_hashes.clear();
    };
    fleet.publish(change).unwrap()
}

/// A caller may repeat its key in any header, the query or the body. It must be removed from the
/// headers and the query; a request with the key in its body must be refused.
#[test]
fn no_backend_server_receives_an_api_key() {
    let fleet = start(FleetBuilder::small(1).configure(unlimited_rates), &SERVICES);
    let key = key_of("one");
    let encoded = key.replace('-', "%2D");
    let calls = [
        read().key(&key),
        read().header("x-api-key", &key),
        read().key(&key).header("x-api-key", &key),
        read().key(&key).header("x-note", &format!("made with {key}.")),
        read().key(&key).header("cookie", &format!("session={key}; theme=dark")),
        read().key(&key).header(&format!("x-{key}"), "1"),
        read().key(&key).header("proxy-authorization", &format!("Bearer {key}")),
        Call::post(&format!("{READ}?api_key={key}")).key(&key),
        Call::post(&format!("{READ}?a=1&note={key}&b=2")).key(&key),
        Call::post(&format!("{READ}?note={encoded}")).key(&key),
        read().key(&key).field("note", key.as_str()),
        Call::completion("/v1/completions", "m", 1).key(&key).field("prompt", format!("a {key} b")),
    ];

    let mut replies = Vec::new();
    for call in &calls {
        for daemon in fleet.daemon_names() {
            replies.push(block_on(Client::new(fleet.address(&daemon)).send(call)));
        }
    }

    let record = fleet.record();
    let seen: Vec<_> = record
        .iter()
        .filter(|it| it.request.contains(&key) || it.request.contains(&encoded))
        .collect();
    assert!(seen.is_empty(), "backend servers received the key in {seen:?}");
    let complete = replies.iter().filter(|it| it.is_complete()).count();
    assert_eq!(complete, record.len());
    // Only the two calls with the key in the body are refused.
    assert_eq!(complete, (calls.len() - 2) * fleet.daemon_names().len());
    assert!(replies.iter().all(|it| it.is_complete() || it.is_not_run()));
}

/// A caller that names another account in headers or cookies must not get around its own rate or
/// use up that of the other account.
#[test]
fn a_request_counts_only_for_the_account_of_its_key() {
    const RATE: f64 = 1.0;
    const BURST: u32 = 6;
    let limit_one = |cfg: &mut config::Config| {
        unlimited_rates(cfg);
        let one = cfg.accounts.iter_mut().find(|it| it.name == "one").unwrap();
        (one.rate, one.burst) = (RATE, BURST);
    };
    let fleet = start(FleetBuilder::small(2).configure(limit_one), &SERVICES);
    let (one, two) = (key_of("one"), key_of("two"));
    wait_serving(&fleet, &read().key(&two));
    // Callers with the key of account `one` claim in every other way to be account `two`.
    let claims = move |_| {
        read()
            .key(&one)
            .header("x-account", "two")
            .header("x-client-account", "two")
            .header("cookie", "account=two")
            .mark("account", "one")
    };
    let honest = move |_| read().key(&two).mark("account", "two");

    let claiming = BackgroundLoad::start(12, spread_evenly(&fleet), claims);
    let serving = BackgroundLoad::start(6, spread_evenly(&fleet), honest);
    sleep_for(Duration::from_secs(3));
    let (claimed, served) = (claiming.stop(), serving.stop());

    let over = excess(&entries_of(&fleet, "one"), RATE, BURST);
    assert!(over <= 0.0, "account `one` exceeded its rate and burst by {over} requests");
    assert!(claimed.iter().any(|it| it.reply.is_not_run() && it.reply.status == 429));
    let failures = failures(&served);
    assert!(failures.is_empty(), "requests of account `two` failed: {failures:?}");
}

/// An altered key, two different keys, or a key only in the query or a cookie must not count as a
/// valid key.
#[test]
fn a_request_without_a_valid_key_does_not_run() {
    let fleet = start(FleetBuilder::small(1).configure(unlimited_rates), &SERVICES);
    let (one, two) = (key_of("one"), key_of("two"));
    let calls = [
        read(),
        read().key("nobody's key"),
        read().key(""),
        read().key(&format!("{one}x")),
        read().key(&one.to_uppercase()),
        read().key(&one).header("x-api-key", &two),
        read().key(&one).key(&two),
        Call::post(&format!("{READ}?api_key={one}")),
        read().header("cookie", &format!("authorization={one}")),
    ];

    for call in &calls {
        for daemon in fleet.daemon_names() {
            let reply = block_on(Client::new(fleet.address(&daemon)).send(call));
            assert!(reply.is_not_run(), "{call:?} gave {reply:?}");
            assert!([400, 401].contains(&reply.status), "{call:?} gave {}", reply.status);
        }
    }

    assert!(fleet.record().is_empty());
}

/// The callers keep their connections open, and one daemon of each zone learns of the change only
/// from its peers.
#[test]
fn a_revoked_key_stops_working_on_open_connections() {
    let mut fleet = start(FleetBuilder::small(2).configure(unlimited_rates).proxied(), &SERVICES);
    for account in ["one", "two"] {
        wait_serving(&fleet, &read().key(&key_of(account)));
    }
    for daemon in ["a-2", "b-2", "c-2"] {
        fleet.net.as_ref().unwrap().cut_platform(daemon);
    }
    let call =
        |account: &'static str| move |_| read().key(&key_of(account)).mark("account", account);
    let revoked = BackgroundLoad::start(12, spread_evenly(&fleet), call("one"));
    let other = BackgroundLoad::start(6, spread_evenly(&fleet), call("two"));
    sleep_for(Duration::from_millis(500));

    revoke_key(&mut fleet, "one");
    sleep_for(CONFIG_TIMEOUT);
    let deadline = Instant::now();
    sleep_for(Duration::from_secs(1));
    let (revoked, other) = (revoked.stop(), other.stop());

    let late = entries_of(&fleet, "one").iter().filter(|it| it.at > deadline).count();
    assert_eq!(late, 0, "requests ran with a key revoked more than 3 s before");
    let mut late = revoked.iter().filter(|it| it.sent > deadline).peekable();
    assert!(late.peek().is_some());
    assert!(late.all(|it| it.reply.is_not_run() && it.reply.status == 401));
    assert!(revoked.iter().any(|it| it.reply.is_complete()), "no request ran before");
    let failures = failures(&other);
    assert!(failures.is_empty(), "requests of the other account failed: {failures:?}");
}

/// The requests were admitted with a valid key and are queued when it is revoked. They must be
/// refused before a server is free, and running requests of the other account must complete.
#[test]
fn queued_requests_with_a_revoked_key_are_refused() {
    let behavior = EngineBehavior::default().tokens_per_s(50.0).slots(2);
    let builder = FleetBuilder::new()
        .zone("a", 2)
        .zone("b", 2)
        .class("slow", 0, 30_000)
        .completion_route("/v1/completions", &["slow"])
        .account("one", 1.0, 1)
        .account("two", 1.0, 1)
        .engine("m", "a", 2, behavior)
        .configure(unlimited_rates)
        .proxied();
    let mut fleet = start(builder, &[CELL]);
    fleet.net.as_ref().unwrap().cut_platform("a-2");
    fleet.net.as_ref().unwrap().cut_platform("b-2");
    let address = spread_evenly(&fleet);
    let running: Vec<_> = (0..2)
        .map(|no| {
            let mut client = Client::new(address(no));
            spawn(async move { client.send(&completion("two", 300)).await })
        })
        .collect();
    let is_busy = || match fleet.engine("m-a-1").running() {
        2 => Ok(()),
        running => Err(format!("{running} requests running")),
    };
    fleet.wait("a server at its limit", TIMEOUT, is_busy).unwrap();
    let queued: Vec<_> = (0..8)
        .map(|no| {
            let mut client = Client::new(address(no));
            spawn(async move { client.send(&completion("one", 1)).await })
        })
        .collect();
    for daemon in fleet.daemon_names() {
        let has_queue = |dump: &serde_json::Value| dump["requests"]["queue"].as_u64() >= Some(2);
        fleet.wait_dump(&daemon, "queued requests", TIMEOUT, has_queue).unwrap();
    }

    let revoked_at = Instant::now();
    let version = revoke_key(&mut fleet, "one");
    wait_version(&fleet, &fleet.daemon_names(), version, CONFIG_TIMEOUT);
    let refused: Vec<_> = queued.into_iter().map(block_on).collect();
    let elapsed = revoked_at.elapsed();
    let finished: Vec<_> = running.into_iter().map(block_on).collect();

    assert!(refused.iter().all(|it| it.is_not_run() && it.status == 401), "{refused:?}");
    assert!(elapsed <= CONFIG_TIMEOUT, "refused after {elapsed:?}");
    assert!(finished.iter().all(fakes::Reply::is_complete), "{finished:?}");
    assert!(entries_of(&fleet, "one").is_empty(), "requests ran with a revoked key");
}

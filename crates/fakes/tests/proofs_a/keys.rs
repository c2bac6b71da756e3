//! A request runs only for the account of its key, no backend server sees the key, and a withdrawn
//! key stops within 3 s.

use std::time::{Duration, Instant};

use fakes::{
    Call, Client, Entry, Fleet, FleetBuilder, Knobs, excess, key_of,
    rt::{block_on, spawn},
};

use crate::support::{
    Cell, IN_FORCE, LIMIT, Load, completion, everywhere, failures, pass, start, unlimited,
    wait_serving, wait_version,
};

const CELL: Cell = Cell { pool: "m", zone: "a" };
const SERVICES: [Cell; 3] =
    [Cell { pool: "s", zone: "a" }, Cell { pool: "s", zone: "b" }, Cell { pool: "s", zone: "c" }];

/// The path of the plain service's route that needs a key.
const READ: &str = "/s/read";

fn read() -> Call {
    Call::post(READ).timeout(LIMIT)
}

/// Entries of the account that a caller marked its calls with.
fn entries_of(fleet: &Fleet, account: &str) -> Vec<Entry> {
    fleet.record().into_iter().filter(|it| it.account() == account).collect()
}

fn withdraw(fleet: &mut Fleet, account: &str) -> u64 {
    let change = |cfg: &mut config::Config| {
        let account = cfg.accounts.iter_mut().find(|it| it.name == account);
        account.unwrap().key_hashes.clear();
    };
    fleet.publish(change).unwrap()
}

#[test]
fn no_backend_server_sees_a_key() {
    let fleet = start(FleetBuilder::small(1).configure(unlimited), &SERVICES);
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
        for daemon in fleet.names() {
            replies.push(block_on(Client::new(fleet.address(&daemon)).send(call)));
        }
    }

    let record = fleet.record();
    let seen: Vec<_> = record
        .iter()
        .filter(|it| it.request.contains(&key) || it.request.contains(&encoded))
        .collect();
    assert!(seen.is_empty(), "backend servers saw the key in {seen:?}");
    let whole = replies.iter().filter(|it| it.is_whole()).count();
    assert_eq!(whole, record.len());
    // Only those with the key in the body are refused.
    assert_eq!(whole, (calls.len() - 2) * fleet.names().len());
    assert!(replies.iter().all(|it| it.is_whole() || it.is_not_run()));
}

#[test]
fn a_request_runs_for_the_account_of_its_key_and_for_no_other() {
    const RATE: f64 = 1.0;
    const BURST: u32 = 6;
    let limit_one = |cfg: &mut config::Config| {
        unlimited(cfg);
        let one = cfg.accounts.iter_mut().find(|it| it.name == "one").unwrap();
        (one.rate, one.burst) = (RATE, BURST);
    };
    let fleet = start(FleetBuilder::small(2).configure(limit_one), &SERVICES);
    let (one, two) = (key_of("one"), key_of("two"));
    wait_serving(&fleet, &read().key(&two));
    // Callers of account one claim in every way but the key to be account two.
    let claims = move |_| {
        read()
            .key(&one)
            .header("x-account", "two")
            .header("x-client-account", "two")
            .header("cookie", "account=two")
            .mark("account", "one")
    };
    let honest = move |_| read().key(&two).mark("account", "two");

    let claiming = Load::start(12, everywhere(&fleet), claims);
    let serving = Load::start(6, everywhere(&fleet), honest);
    pass(Duration::from_secs(3));
    let (claimed, served) = (claiming.stop(), serving.stop());

    let over = excess(&entries_of(&fleet, "one"), RATE, BURST);
    assert!(over <= 0.0, "account one got {over} requests more than its rate and burst");
    assert!(claimed.iter().any(|it| it.reply.is_not_run() && it.reply.status == 429));
    let failures = failures(&served);
    assert!(failures.is_empty(), "account two was held back: {failures:?}");
}

#[test]
fn a_request_without_a_valid_key_does_not_run() {
    let fleet = start(FleetBuilder::small(1).configure(unlimited), &SERVICES);
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
        for daemon in fleet.names() {
            let reply = block_on(Client::new(fleet.address(&daemon)).send(call));
            assert!(reply.is_not_run(), "{call:?} gave {reply:?}");
            assert!([400, 401].contains(&reply.status), "{call:?} gave {}", reply.status);
        }
    }

    assert!(fleet.record().is_empty());
}

#[test]
fn a_withdrawn_key_stops_on_connections_that_are_kept_open() {
    let mut fleet = start(FleetBuilder::small(2).configure(unlimited).proxied(), &SERVICES);
    for account in ["one", "two"] {
        wait_serving(&fleet, &read().key(&key_of(account)));
    }
    for daemon in ["a-2", "b-2", "c-2"] {
        fleet.net.as_ref().unwrap().cut_platform(daemon);
    }
    let call =
        |account: &'static str| move |_| read().key(&key_of(account)).mark("account", account);
    let withdrawn = Load::start(12, everywhere(&fleet), call("one"));
    let other = Load::start(6, everywhere(&fleet), call("two"));
    pass(Duration::from_millis(500));

    withdraw(&mut fleet, "one");
    pass(IN_FORCE);
    let stopped = Instant::now();
    pass(Duration::from_secs(1));
    let (withdrawn, other) = (withdrawn.stop(), other.stop());

    let late = entries_of(&fleet, "one").iter().filter(|it| it.at > stopped).count();
    assert_eq!(late, 0, "requests ran with a key withdrawn 3 s ago");
    let mut late = withdrawn.iter().filter(|it| it.sent > stopped).peekable();
    assert!(late.peek().is_some());
    assert!(late.all(|it| it.reply.is_not_run() && it.reply.status == 401));
    assert!(withdrawn.iter().any(|it| it.reply.is_whole()), "nothing ran before");
    let failures = failures(&other);
    assert!(failures.is_empty(), "another account was held back: {failures:?}");
}

#[test]
fn a_withdrawn_key_stops_requests_that_wait() {
    let knobs = Knobs::default().tokens_per_s(50.0).slots(2);
    let builder = FleetBuilder::new()
        .zone("a", 2)
        .zone("b", 2)
        .class("slow", 0, 30_000)
        .completions("/v1/completions", &["slow"])
        .account("one", 1.0, 1)
        .account("two", 1.0, 1)
        .engine("m", "a", 2, knobs)
        .configure(unlimited)
        .proxied();
    let mut fleet = start(builder, &[CELL]);
    fleet.net.as_ref().unwrap().cut_platform("a-2");
    fleet.net.as_ref().unwrap().cut_platform("b-2");
    let address = everywhere(&fleet);
    let running: Vec<_> = (0..2)
        .map(|no| {
            let mut client = Client::new(address(no));
            spawn(async move { client.send(&completion("two", 300)).await })
        })
        .collect();
    let busy = || match fleet.engine("m-a-1").running() {
        2 => Ok(()),
        running => Err(format!("{running} run")),
    };
    fleet.wait("a busy server", LIMIT, busy).unwrap();
    let waiting: Vec<_> = (0..8)
        .map(|no| {
            let mut client = Client::new(address(no));
            spawn(async move { client.send(&completion("one", 1)).await })
        })
        .collect();
    for daemon in fleet.names() {
        let all = |dump: &serde_json::Value| dump["requests"]["queue"].as_u64() >= Some(2);
        fleet.wait_dump(&daemon, "waiting requests", LIMIT, all).unwrap();
    }

    let withdrawn_at = Instant::now();
    let version = withdraw(&mut fleet, "one");
    wait_version(&fleet, &fleet.names(), version, IN_FORCE);
    let refused: Vec<_> = waiting.into_iter().map(block_on).collect();
    let within = withdrawn_at.elapsed();
    let finished: Vec<_> = running.into_iter().map(block_on).collect();

    assert!(refused.iter().all(|it| it.is_not_run() && it.status == 401), "{refused:?}");
    assert!(within <= IN_FORCE, "refused after {within:?}");
    assert!(finished.iter().all(fakes::Reply::is_whole), "{finished:?}");
    assert!(entries_of(&fleet, "one").is_empty(), "requests ran with a withdrawn key");
}

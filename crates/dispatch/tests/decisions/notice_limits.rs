//! What holds while servers leave by their word or ask for a pause: limits, budgets, deadlines.

use std::collections::{BTreeMap, BTreeSet};

use dispatch::{
    AttemptEnd, Command, Delivered, Effect, Event, Prompt, RequestKey, RunEnd, ServerEntry,
};
use model::prelude::*;

use crate::support::{Bench, attempts, prompt, refusals, server};

const REJECTED: AttemptEnd = AttemptEnd::Rejected { is_misdirected: false };
const PAUSE: Duration = Duration::from_secs(10);
/// What a server says in a response.
const NOTICES: [fn(RequestKey) -> Event; 2] =
    [|key| Event::ServerLeaving { key }, |key| Event::ServerPaused { key, span: PAUSE }];

fn entry(no: u8) -> ServerEntry {
    server(&format!("e{no}"), "ledger", 10 + no)
}

/// Returns the last bytes of the addresses of the servers to which requests go.
fn hosts(effects: &[Effect]) -> Vec<u8> {
    attempts(effects).iter().map(|it| it.1.address.ip().octets()[3]).collect()
}

/// Sends requests until each of these servers has got one and given notice. The requests end.
fn give_notice(bench: &mut Bench, route: &str, servers: &[u8], notice: fn(RequestKey) -> Event) {
    let mut open: BTreeSet<_> = servers.iter().copied().collect();
    let mut keys = Vec::new();
    for no in 0..200 {
        let (key, effects) = bench.request(route, prompt(0, 100, no));
        bench.step(Event::Sent { key });
        if hosts(&effects).iter().any(|host| open.remove(host)) {
            bench.step(notice(key));
        }
        keys.push(key);
        if open.is_empty() {
            break;
        }
    }
    assert!(open.is_empty(), "{open:?} got no request");
    for key in keys {
        bench.ended(key, AttemptEnd::Completed { is_success: true });
    }
    bench.pass(1_000);
    bench.read();
}

/// Guards against more requests in a second to a cold server than it bears, as the others are out of use.
#[test]
fn a_cold_limit_holds_while_other_servers_give_notice() {
    /// The share of this instance: 20 requests a second, times 1.5, and 5, for one instance and
    /// three that may be started.
    const SHARE: usize = 35 / 4;
    for notice in NOTICES {
        let cold = ServerEntry { cold: Duration::from_secs(30), ..server("c1", "engines", 13) };
        let warm = [(1, 11), (2, 12)].map(|(no, host)| server(&format!("e{no}"), "engines", host));
        let mut bench = Bench::new([&warm[..], &[cold]].concat());
        give_notice(&mut bench, "batch", &[11, 12], notice);

        let mut sent = Vec::new();
        for no in 0..200 {
            let (key, mut effects) = bench.request("batch", prompt(0, 100, 1_000 + no));
            bench.step(Event::Sent { key });
            effects.extend(bench.pass(10));
            bench.read();
            for (key, _) in attempts(&effects) {
                bench.step(Event::Sent { key });
            }
            sent.extend(hosts(&effects).into_iter().map(|host| (bench.now, host)));
        }

        assert!(sent.iter().all(|it| it.1 == 13), "{sent:?}");
        assert!(sent.len() > SHARE, "the cold server got only {} requests", sent.len());
        for (from, _) in &sent {
            let second = *from..*from + Duration::from_secs(1);
            let count = sent.iter().filter(|it| second.contains(&it.0)).count();
            assert!(count <= SHARE, "the cold server got {count} requests in a second");
        }
    }
}

/// Guards against more connections to a server than this instance's share, as the others are out of use.
#[test]
fn a_share_of_connections_holds_while_other_servers_give_notice() {
    /// Of 100 connections, for one instance and three that may be started.
    const SHARE: usize = 25;
    for notice in NOTICES {
        let servers = [1, 2].map(|no| ServerEntry { slots: 60, ..entry(no) });
        let mut bench = Bench::new(servers.into());
        give_notice(&mut bench, "order", &[11], notice);

        let sent: Vec<_> =
            (0..100).flat_map(|no| hosts(&bench.request("order", prompt(0, 0, no)).1)).collect();

        assert_eq!(sent, [12; SHARE]);
    }
}

/// Guards against requests to an evacuated zone, as all other servers are out of use.
#[test]
fn an_evacuation_holds_while_other_servers_give_notice() {
    for notice in NOTICES {
        let away = ServerEntry { zone: ZoneId::of("zone-b"), ..entry(2) };
        let mut bench = Bench::new(vec![entry(1), away]);
        bench.step(Event::EvacuatedZones(BTreeSet::from([ZoneId::of("zone-b")])));
        give_notice(&mut bench, "order", &[11], notice);

        let mut effects = Vec::new();
        for no in 0..20 {
            effects.extend(bench.request("order", prompt(0, 0, no)).1);
            effects.extend(bench.pass(100));
            bench.read();
        }
        effects.extend(bench.pass(5_000));

        assert_eq!(hosts(&effects), []);
        assert_eq!(refusals(&effects).len(), 20);
    }
}

/// Guards against a rejection that spends the retry budget twice because it asks for a pause.
#[test]
fn a_retry_after_a_request_for_a_pause_spends_the_budget_once() {
    let retries = |has_notice: bool| {
        let mut bench = Bench::new((1..=30).map(entry).collect());
        let mut count = 0;
        for no in 0..100 {
            let (key, effects) = bench.request("look", prompt(0, 0, no));
            assert_eq!(attempts(&effects).len(), 1);
            bench.step(Event::Sent { key });
            if has_notice {
                bench.step(Event::ServerPaused { key, span: Duration::from_millis(1) });
            }
            let retry = attempts(&bench.ended(key, REJECTED)).len();
            count += retry;
            if retry > 0 {
                bench.step(Event::Sent { key });
                bench.ended(key, AttemptEnd::Completed { is_success: true });
            }
            bench.pass(5);
        }
        count
    };

    let (with, without) = (retries(true), retries(false));

    assert_eq!(with, without);
    assert!((10..100).contains(&without), "the budget allows {without} retries");
}

/// Guards against a herd of the requests of servers that are out of use on one of the others.
#[test]
fn the_load_of_servers_that_give_notice_spreads_over_the_others() {
    for notice in NOTICES {
        let mut bench = Bench::new((1..=6).map(entry).collect());
        give_notice(&mut bench, "order", &[11, 12], notice);

        let mut counts = BTreeMap::<u8, u32>::new();
        for no in 0..24 {
            for host in hosts(&bench.request("order", prompt(0, 0, no)).1) {
                *counts.entry(host).or_default() += 1;
            }
        }

        // Each bears six.
        assert_eq!(counts, (13..=16).map(|host| (host, 6)).collect());
    }
}

/// Guards against requests that wait for the end of a pause which is extended again and again.
#[test]
fn requests_do_not_wait_beyond_their_deadline_while_pauses_are_extended() {
    const TIMEOUT: Duration = Duration::from_secs(4);
    let mut bench = Bench::new(vec![entry(1)]);
    let (running, _) = bench.request("order", prompt(0, 0, 0));
    bench.step(Event::Sent { key: running });
    let extend = || Event::ServerPaused { key: running, span: Duration::from_millis(100) };
    bench.step(extend());
    let mut arrivals = BTreeMap::new();
    let mut refused = Vec::new();

    for no in 0..60 {
        let (key, effects) = bench.request("order", prompt(0, 0, no));
        arrivals.insert(key, bench.now);
        let extended = bench.step(extend());
        let passed = bench.pass(90);
        bench.read();
        for (key, refusal) in [effects, extended, passed].iter().flat_map(|it| refusals(it)) {
            refused.push((key, refusal.execution, bench.now));
        }
        assert!(arrivals.iter().all(|(key, arrived)| {
            bench.now.since(*arrived) <= TIMEOUT || refused.iter().any(|it| it.0 == *key)
        }));
    }

    assert!(refused.len() > 10, "only {} requests were refused", refused.len());
    assert!(refused.iter().all(|it| it.1 == Execution::NotRun));
}

/// Guards against a server that is asked for parts of prompts while it wants nothing.
#[test]
fn a_paused_engine_is_no_fetch_source() {
    let names = (1..=3).map(|no| server(&format!("e{no}"), "engines", 10 + no));
    let mut bench = Bench::new(names.collect());
    let (key, effects) = bench.request("batch", prompt(6_000, 2_890, 7));
    let holder = attempts(&effects)[0].1.address;
    bench.step(Event::Sent { key });
    bench.step(Event::FirstByte { key });
    bench.ended(key, AttemptEnd::Completed { is_success: true });
    let (key, effects) = bench.request("batch", prompt(6_000, 2_890, 7));
    assert_eq!(attempts(&effects)[0].1.address, holder);
    bench.step(Event::Sent { key });

    bench.step(Event::ServerPaused { key, span: PAUSE });
    let (_, effects) = bench.request("batch", prompt(6_000, 2_890, 7));

    let next = &attempts(&effects)[0].1;
    assert_ne!(next.address, holder);
    assert_eq!(next.fetch_source, None);
}

/// The same of a server that leaves.
#[test]
fn a_leaving_engine_is_no_fetch_source() {
    let names = (1..=3).map(|no| server(&format!("e{no}"), "engines", 10 + no));
    let mut bench = Bench::new(names.collect());
    let (key, effects) = bench.request("batch", prompt(6_000, 2_890, 7));
    let holder = attempts(&effects)[0].1.address;
    bench.step(Event::Sent { key });

    bench.step(Event::ServerLeaving { key });
    let (_, effects) = bench.request("batch", prompt(6_000, 2_890, 7));

    let next = &attempts(&effects)[0].1;
    assert_ne!(next.address, holder);
    assert_ne!(next.fetch_source, Some(holder));
}

/// Guards against streams that go on at a server that gave notice, also while their former run ends, and
/// copies that are sent there.
#[test]
fn an_engine_that_gives_notice_gets_neither_resumed_streams_nor_copies() {
    for (notice, is_late) in NOTICES.into_iter().flat_map(|it| [(it, false), (it, true)]) {
        let names = (1..=3).map(|no| server(&format!("e{no}"), "engines", 10 + no));
        let mut bench = Bench::new(names.collect());
        let start = |bench: &mut Bench| {
            let talk = Prompt { max_output: 280, ..prompt(172, 543, 1) };
            let (key, effects) = bench.request("live", talk);
            bench.step(Event::Sent { key });
            bench.step(Event::FirstByte { key });
            (key, attempts(&effects)[0].1.clone())
        };
        let (stream, attempt) = start(&mut bench);
        let told = attempt.backup.unwrap();
        let other = (0..60).find_map(|topic| {
            let (key, effects) = bench.request("batch", prompt(6_000, 100, topic));
            bench.step(Event::Sent { key });
            (attempts(&effects).first()?.1.address == told).then_some(key)
        });

        let give_notice = |bench: &mut Bench| {
            bench.step(notice(other.expect("a request at the engine with the copy")));
        };
        let break_off = |bench: &mut Bench| {
            bench.ended(stream, AttemptEnd::Broken { delivered: Delivered::Events })
        };
        let broken = if is_late {
            let broken = break_off(&mut bench);
            give_notice(&mut bench);
            broken
        } else {
            give_notice(&mut bench);
            break_off(&mut bench)
        };
        let resumed = bench.step(Event::RunEnded { key: stream, end: RunEnd::Ended });
        let later: Vec<_> = (0..20).map(|_| start(&mut bench).1).collect();

        let is_moved =
            |effect: &Effect| matches!(effect, Effect::Command { command: Command::EndRun(_), .. });
        assert_eq!(broken.iter().any(is_moved), is_late);
        assert!(attempts(&broken).is_empty());
        assert!(attempts(&resumed).iter().all(|it| it.1.address != told));
        assert!(later.iter().all(|it| it.address != told && it.backup != Some(told)));
    }
}

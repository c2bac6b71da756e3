//! Pattern: engines crash while live conversations go on.

use dispatch::{AttemptEnd, Event, RequestKey, ServerEntry};
use model::prelude::*;

use crate::support::{Bench, attempts, prompt, refusals, server};

/// Starts a live request and returns it with its engine and the engine that has a copy.
fn live(bench: &mut Bench) -> (RequestKey, String, Option<u8>) {
    let mut talk = prompt(172, 543, 1);
    talk.max_output = 280;
    let (key, effects) = bench.request("live", talk);
    let attempt = &attempts(&effects)[0].1;
    bench.step(Event::Sent { key });
    bench.step(Event::FirstByte { key });
    (key, attempt.name.to_string(), attempt.backup.map(|it| it.ip().octets()[3]))
}

fn three_engines() -> Bench {
    let servers = [("e1", 11), ("e2", 12), ("e3", 13)];
    Bench::new(servers.map(|(name, host)| server(name, "engines", host)).into())
}

#[test]
fn a_live_stream_that_breaks_off_goes_on_where_its_copy_is() {
    let mut bench = three_engines();
    let (key, engine, backup) = live(&mut bench);

    let effects = bench.ended(key, AttemptEnd::Broken { is_partial: true });

    let next = &attempts(&effects)[0].1;
    assert_ne!(*next.name, engine);
    assert_eq!(Some(next.address.ip().octets()[3]), backup);
    assert!(next.resumes_from_backup);
}

#[test]
fn a_stream_whose_copy_is_gone_too_is_broken_off() {
    let mut bench = three_engines();
    let (key, _, _) = live(&mut bench);
    bench.ended(key, AttemptEnd::Broken { is_partial: true });

    let effects = bench.ended(key, AttemptEnd::Rejected { is_misdirected: false });

    assert!(attempts(&effects).is_empty(), "a run must not start anew");
    assert_eq!(refusals(&effects).len(), 1);
}

#[test]
fn long_prompts_are_not_copied() {
    let mut bench = three_engines();

    let (_, effects) = bench.request("batch", prompt(6_000, 3_000, 1));

    assert_eq!(attempts(&effects)[0].1.backup, None);
}

#[test]
fn runs_that_go_on_keep_to_the_cold_limits() {
    let servers = [("e1", 11), ("e2", 12)].map(|(name, host)| server(name, "engines", host));
    let mut bench = Bench::new(servers.clone().into());
    let running: Vec<_> = (0..60).map(|_| live(&mut bench).0).collect();
    for server in servers {
        bench.list(ServerEntry { cold: Duration::from_secs(3), ..server });
    }
    bench.pass(1_200);

    let ends =
        running.into_iter().map(|key| bench.ended(key, AttemptEnd::Broken { is_partial: true }));
    let went_on = ends.flat_map(|it| attempts(&it)).count();

    // 20 a second times 1.5 and 5 more, for each of two engines, in a fleet of one and three spares.
    assert!(went_on <= 2 * 35 / 4, "{went_on} went on");
}

//! KV cache copies: a live stream resumes at another engine once the run at its engine has ended.

use dispatch::{
    AttemptEnd, Command, Delivered, Effect, Event, KvCopy, LeftRun, Prompt, RequestKey, RunEnd,
    ServerChange, ServerEntry, ServerKey,
};
use model::prelude::*;

use crate::support::{Bench, address, attempts, prompt, refusals, server};

const BROKEN: AttemptEnd = AttemptEnd::Broken { delivered: Delivered::Events };

/// Starts a live stream and returns its key, the name of its engine and the last byte of the
/// address of the engine that gets a copy.
fn start_live_stream(bench: &mut Bench) -> (RequestKey, String, Option<u8>) {
    let mut talk = prompt(172, 543, 1);
    talk.max_output = 280;
    let (key, effects) = bench.request("live", talk);
    let attempt = &attempts(&effects)[0].1;
    bench.step(Event::Sent { key });
    bench.step(Event::FirstByte { key });
    (key, attempt.name.to_string(), attempt.backup.map(|address| address.ip().octets()[3]))
}

fn three_engines() -> Bench {
    let servers = [("e1", 11), ("e2", 12), ("e3", 13)];
    Bench::new(servers.map(|(name, host)| server(name, "engines", host)).into())
}

/// Returns the runs that are to be ended, with their requests.
fn left_runs(effects: &[Effect]) -> Vec<(RequestKey, LeftRun)> {
    let left_run = |effect: &Effect| match effect {
        Effect::Command { key, command: Command::EndRun(left) } => Some((*key, *left)),
        _ => None,
    };
    effects.iter().filter_map(left_run).collect()
}

fn copy(host: u8, name: &str) -> KvCopy {
    KvCopy { named_by: address(host, 8080), name: name.into() }
}

/// Guards against a generation that goes on while its first server still works on it.
#[test]
fn a_live_stream_that_breaks_off_resumes_once_its_run_has_ended() {
    for end in [RunEnd::Ended, RunEnd::Replaced] {
        let mut bench = three_engines();
        let (key, engine, backup) = start_live_stream(&mut bench);
        let backup = backup.unwrap();

        let broken = bench.ended(key, BROKEN);
        let ended = bench.step(Event::RunEnded { key, end });

        let by = bench.now + Duration::from_secs(1);
        let left = LeftRun { move_to: Some(address(backup, 8080)), from: bench.now, by };
        assert_eq!(left_runs(&broken), [(key, left)]);
        assert!(attempts(&broken).is_empty(), "resumed before the run had ended");
        let next = &attempts(&ended)[0].1;
        assert_ne!(*next.name, engine);
        assert_eq!(next.address, address(backup, 8080));
        assert_eq!(next.kv_copy, Some(copy(backup, "request-1")));
    }
}

#[test]
fn a_live_stream_resumes_from_the_copy_that_was_moved_as_its_run_ended() {
    let mut bench = three_engines();
    let (key, _, backup) = start_live_stream(&mut bench);
    bench.ended(key, BROKEN);

    let end = RunEnd::Moved(copy(99, "h-7"));
    let effects = bench.step(Event::RunEnded { key, end });

    let next = &attempts(&effects)[0].1;
    assert_eq!(Some(next.address.ip().octets()[3]), backup);
    assert_eq!(next.kv_copy, Some(copy(99, "h-7")));
}

/// Guards against a second run of a generation whose first run may go on.
#[test]
fn a_live_stream_is_broken_off_if_its_run_may_go_on() {
    let ends = [RunEnd::Unknown("no response in time"), RunEnd::Unreachable, RunEnd::Refused];
    for end in ends {
        let mut bench = three_engines();
        let (key, _, _) = start_live_stream(&mut bench);
        bench.ended(key, BROKEN);

        let effects = bench.step(Event::RunEnded { key, end: end.clone() });

        assert!(attempts(&effects).is_empty(), "{end:?}");
        assert_eq!(refusals(&effects), [(key, Refusal::unknown(Reason::ServerFailed))], "{end:?}");
    }
}

/// Guards against generations that are lost with a server that has crashed.
#[test]
fn a_live_stream_resumes_if_its_server_ended_the_connection_and_refuses_new_ones() {
    let mut bench = three_engines();
    let (key, _, backup) = start_live_stream(&mut bench);
    bench.step(Event::ServerClosed { key });
    bench.ended(key, BROKEN);

    let effects = bench.step(Event::RunEnded { key, end: RunEnd::Refused });

    assert_eq!(attempts(&effects)[0].1.kv_copy, Some(copy(backup.unwrap(), "request-1")));
}

/// A live stream that broke off as its server ended the connection.
struct BrokenStream {
    key: RequestKey,
    server: ServerKey,
    /// Other live streams of the same server, which go on.
    others: Vec<RequestKey>,
}

/// Starts live streams and breaks one of them off.
fn break_one_of_many(bench: &mut Bench) -> BrokenStream {
    let mut start = || {
        let talk = Prompt { max_output: 280, ..prompt(172, 543, 1) };
        let (key, effects) = bench.request("live", talk);
        bench.step(Event::Sent { key });
        bench.step(Event::FirstByte { key });
        (key, attempts(&effects)[0].1.server)
    };
    let streams: Vec<_> = (0..8).map(|_| start()).collect();
    let (key, server) = streams[0];
    let others: Vec<_> = streams[1..].iter().filter(|it| it.1 == server).map(|it| it.0).collect();
    assert!(!others.is_empty(), "no other stream at the server");
    bench.step(Event::ServerClosed { key });
    bench.ended(key, BROKEN);
    BrokenStream { key, server, others }
}

fn two_engines() -> Bench {
    let servers = [("e1", 11), ("e2", 12)].map(|(name, host)| server(name, "engines", host));
    Bench::new(servers.into())
}

/// Guards against a server that is about to stop: it refuses connections and finishes its runs.
#[test]
fn a_live_stream_is_broken_off_if_its_server_refuses_connections_and_goes_on_with_another() {
    let mut bench = two_engines();
    let BrokenStream { key, server, .. } = break_one_of_many(&mut bench);

    let undecided = bench.step(Event::RunEnded { key, end: RunEnd::Refused });
    let again = left_runs(&undecided)[0].1;
    bench.now = again.from;
    bench.step(Event::BytesReceived { server });
    let effects = bench.step(Event::RunEnded { key, end: RunEnd::Refused });

    assert!(attempts(&undecided).is_empty() && refusals(&undecided).is_empty());
    assert!(attempts(&effects).is_empty());
    assert_eq!(refusals(&effects), [(key, Refusal::unknown(Reason::ServerFailed))]);
}

/// Guards against generations that break off as the connections of a server that has ended, or is cut off,
/// end one after the other.
#[test]
fn a_live_stream_resumes_once_the_other_responses_of_its_server_have_ended_too() {
    let mut bench = two_engines();
    let BrokenStream { key, others, .. } = break_one_of_many(&mut bench);

    let undecided = bench.step(Event::RunEnded { key, end: RunEnd::Refused });
    let again = left_runs(&undecided)[0].1;
    bench.now = again.from;
    for other in others {
        bench.step(Event::ServerClosed { key: other });
        bench.ended(other, BROKEN);
    }
    let effects = bench.step(Event::RunEnded { key, end: RunEnd::Refused });

    assert!(attempts(&undecided).is_empty());
    assert_eq!(attempts(&effects).len(), 1);
}

/// Guards against a request that waits for good for a silent server to show whether it runs.
#[test]
fn a_live_stream_is_broken_off_if_its_server_refuses_connections_and_other_responses_hang() {
    let mut bench = two_engines();
    let BrokenStream { key, .. } = break_one_of_many(&mut bench);
    let since = bench.now;

    let mut effects = bench.step(Event::RunEnded { key, end: RunEnd::Refused });
    while let Some((_, again)) = left_runs(&effects).first() {
        bench.now = again.from;
        effects = bench.step(Event::RunEnded { key, end: RunEnd::Refused });
    }

    assert_eq!(refusals(&effects), [(key, Refusal::unknown(Reason::ServerFailed))]);
    assert!(bench.now.since(since) <= Duration::from_secs(1));
}

/// Guards against a run that is not ended as its server has left the list, where it may work on.
#[test]
fn the_run_at_a_server_that_is_not_listed_any_more_is_ended_too() {
    let mut bench = three_engines();
    let (key, engine, backup) = start_live_stream(&mut bench);
    bench.step(Event::Server(ServerChange::Unlisted(ServerId::of(&engine))));

    let broken = bench.ended(key, BROKEN);
    let ended = bench.step(Event::RunEnded { key, end: RunEnd::Ended });

    assert_eq!(left_runs(&broken).len(), 1);
    assert_eq!(attempts(&ended)[0].1.kv_copy, Some(copy(backup.unwrap(), "request-1")));
}

#[test]
fn a_live_stream_whose_caller_leaves_while_its_run_ends_does_not_resume() {
    let mut bench = three_engines();
    let (key, _, _) = start_live_stream(&mut bench);
    bench.ended(key, BROKEN);
    bench.step(Event::CallerLeft { key });

    let effects = bench.step(Event::RunEnded { key, end: RunEnd::Ended });

    assert!(attempts(&effects).is_empty() && refusals(&effects).is_empty());
    assert_eq!(bench.state.request_count(), 0);
}

#[test]
fn a_live_stream_is_broken_off_if_the_engine_with_its_copy_leaves_while_its_run_ends() {
    let mut bench = three_engines();
    let (key, _, backup) = start_live_stream(&mut bench);
    bench.ended(key, BROKEN);
    let backup = backup.unwrap();
    let entry = server(&format!("e{}", backup - 10), "engines", backup);
    bench.list(ServerEntry { is_draining: true, ..entry });

    let effects = bench.step(Event::RunEnded { key, end: RunEnd::Ended });

    assert!(attempts(&effects).is_empty());
    assert_eq!(refusals(&effects), [(key, Refusal::unknown(Reason::ServerFailed))]);
}

/// Guards against a third run, and against a refusal that says that nothing ran, whatever becomes of the
/// resumption.
#[test]
fn a_live_stream_whose_resumption_fails_is_broken_off() {
    let ends = [
        BROKEN,
        AttemptEnd::TimedOut { delivered: Delivered::Events },
        AttemptEnd::NotConnected,
        AttemptEnd::Withdrawn,
        AttemptEnd::Unused,
        AttemptEnd::HeldBack,
        AttemptEnd::Rejected { is_misdirected: true },
    ];
    for end in ends {
        let mut bench = three_engines();
        let (key, _, _) = start_live_stream(&mut bench);
        bench.ended(key, BROKEN);
        bench.step(Event::RunEnded { key, end: RunEnd::Moved(copy(99, "h-7")) });

        let effects = bench.ended(key, end);

        assert!(attempts(&effects).is_empty() && left_runs(&effects).is_empty(), "{end:?}");
        let refusals = refusals(&effects);
        assert_eq!(refusals.len(), 1, "{end:?}");
        assert_eq!(refusals[0].1.execution, Execution::Unknown, "{end:?}");
    }
}

/// Guards against a run that is left as its server leaves: it is finished there.
#[test]
fn a_run_stays_at_a_server_that_leaves_or_is_withdrawn() {
    let events: [fn(ServerEntry) -> Event; 4] = [
        |entry| Event::Server(ServerChange::Listed(ServerEntry { is_draining: true, ..entry })),
        |entry| Event::Server(ServerChange::Unlisted(entry.id())),
        |entry| Event::Server(ServerChange::Listed(ServerEntry { incarnation: 2, ..entry })),
        |entry| Event::EvacuatedZones([entry.zone].into()),
    ];
    for event in events {
        for route in ["live", "short"] {
            let mut bench = three_engines();
            let talk = Prompt { max_output: 280, ..prompt(172, 543, 1) };
            let (key, effects) = bench.request(route, talk);
            let attempt = &attempts(&effects)[0].1;
            bench.step(Event::Sent { key });
            bench.step(Event::FirstByte { key });
            let host = attempt.address.ip().octets()[3];

            let mut effects = bench.step(event(server(&attempt.name, "engines", host)));
            effects.extend(bench.pass(1_000));

            assert!(attempts(&effects).is_empty() && left_runs(&effects).is_empty(), "{route}");
            assert!(refusals(&effects).is_empty(), "{route}");
        }
    }
}

/// Guards against a second run of a generation whose first event is late: only what may run more than
/// once is left for that.
#[test]
fn a_generation_that_must_not_be_repeated_is_not_left_for_being_late() {
    for (route, may_leave) in [("live", false), ("batch", false), ("short", true)] {
        let mut bench = three_engines();
        let (key, _) = bench.request(route, prompt(172, 543, 1));
        bench.step(Event::Sent { key });

        assert_eq!(bench.state.leave_by(key).is_some(), may_leave, "{route}");
    }
}

#[test]
fn a_live_stream_is_broken_off_if_the_engine_with_its_copy_rejects_it() {
    let mut bench = three_engines();
    let (key, _, _) = start_live_stream(&mut bench);
    bench.ended(key, BROKEN);
    bench.step(Event::RunEnded { key, end: RunEnd::Ended });

    let effects = bench.ended(key, AttemptEnd::Rejected { is_misdirected: false });

    assert!(attempts(&effects).is_empty(), "the generation was started again");
    assert_eq!(refusals(&effects).len(), 1);
}

#[test]
fn a_generation_with_a_long_prompt_gets_no_copy() {
    let mut bench = three_engines();

    let (_, effects) = bench.request("batch", prompt(6_000, 3_000, 1));

    assert_eq!(attempts(&effects)[0].1.backup, None);
}

#[test]
fn resumed_generations_stay_within_the_rate_limit_of_cold_servers() {
    let servers = [("e1", 11), ("e2", 12)].map(|(name, host)| server(name, "engines", host));
    let mut bench = Bench::new(servers.clone().into());
    let running: Vec<_> = (0..60).map(|_| start_live_stream(&mut bench).0).collect();
    for server in servers {
        bench.list(ServerEntry { cold: Duration::from_secs(3), ..server });
    }
    bench.pass(1_200);

    let ends = running.into_iter().map(|key| {
        bench.ended(key, BROKEN);
        bench.step(Event::RunEnded { key, end: RunEnd::Ended })
    });
    let resumed = ends.flat_map(|effects| attempts(&effects)).count();

    // Each of the two engines may get 20 a second times 1.5 and 5 more, divided by one instance and
    // three spares.
    assert!(resumed <= 2 * 35 / 4, "{resumed} generations were resumed");
}

//! Servers whose connections end while they answer: which of them speak against a prompt part.

use dispatch::{AttemptEnd, Delivered, Effect, Event, RequestKey, RunEnd, ServerEntry, ServerKey};

use crate::support::{Bench, attempts, prompt, server};

fn engines() -> Bench {
    let names = ["e1", "e2", "e3", "e4", "e5", "e6"];
    let servers = names.iter().zip(11..).map(|(name, host)| server(name, "engines", host));
    Bench::new(servers.collect())
}

/// Sends a live stream, whose answer begins at once. All have the same shared parts.
fn begin_stream(bench: &mut Bench, own: u32) -> (RequestKey, ServerEntry) {
    let mut talk = prompt(172, own, 1);
    talk.max_output = 280;
    let (key, effects) = bench.request("live", talk);
    let attempt = &attempts(&effects)[0].1;
    bench.step(Event::Sent { key });
    bench.pass(20);
    bench.step(Event::FirstByte { key });
    (key, server(&attempt.name, "engines", attempt.address.ip().octets()[3]))
}

fn checked(effects: &[Effect]) -> Option<ServerKey> {
    effects.iter().find_map(|effect| match effect {
        Effect::CheckServer { server, .. } => Some(*server),
        _ => None,
    })
}

/// Lets a server end 5 ms after it began to answer a stream, and start again. Returns the effects of
/// the attempt's end, and of the connection that it then refuses.
fn end_server_at_stream(bench: &mut Bench, own: u32) -> Vec<Effect> {
    let (key, entry) = begin_stream(bench, own);
    bench.pass(5);
    bench.step(Event::ServerClosed { key });
    let mut effects = bench.ended(key, AttemptEnd::Broken { delivered: Delivered::Events });
    let server = checked(&effects).unwrap();
    bench.step(Event::ServerChecked { server, is_down: true });
    effects.extend(bench.step(Event::RunEnded { key, end: RunEnd::Refused }));
    bench.list(ServerEntry { incarnation: u64::from(own), ..entry });
    bench.pass(200);
    effects
}

/// Guards against a part that ends each server inside the first event, and is never held back.
#[test]
fn a_part_is_held_back_after_three_servers_that_ended_once_their_answers_had_begun() {
    let mut bench = engines();

    for own in 0..3 {
        end_server_at_stream(&mut bench, 500 + own);
    }

    assert_eq!(bench.state.held_parts().len(), 2, "the shared parts are not held back");
}

/// Guards against evidence from servers that end for another reason in the middle of long answers.
#[test]
fn a_server_that_survived_the_beginning_of_an_answer_is_not_checked() {
    let mut bench = engines();
    let (key, _) = begin_stream(&mut bench, 500);
    bench.pass(300);

    let effects = bench.ended(key, AttemptEnd::Broken { delivered: Delivered::Events });

    assert_eq!(checked(&effects), None);
}

/// Guards against a stream that ends a second engine when it is resumed from its copy there.
#[test]
fn a_stream_is_not_resumed_after_two_servers_in_a_row_ended_at_its_parts() {
    let mut bench = engines();
    let first = end_server_at_stream(&mut bench, 500);
    end_server_at_stream(&mut bench, 501);

    let third = end_server_at_stream(&mut bench, 502);

    assert_eq!(attempts(&first).len(), 1, "a stream is resumed while nothing speaks against it");
    assert!(attempts(&third).is_empty(), "the stream was resumed");
}

/// Plays two ends, an answer that ends with its connection and another end. `is_down` says whether
/// the server of that answer has ended. Returns how many parts are held back.
fn held_with_answer_that_ends_with_its_connection(is_down: bool) -> usize {
    let mut bench = engines();
    end_server_at_stream(&mut bench, 500);
    end_server_at_stream(&mut bench, 501);
    let (key, _) = begin_stream(&mut bench, 502);
    bench.step(Event::ServerClosed { key });
    let effects = bench.ended(key, AttemptEnd::Completed { is_success: true });
    let server = checked(&effects).unwrap();
    bench.step(Event::ServerChecked { server, is_down });
    bench.pass(200);
    if !is_down {
        end_server_at_stream(&mut bench, 503);
    }
    bench.state.held_parts().len()
}

/// Guards against a server that ends between two events of an answer without length and chunks,
/// which passes for one that answered.
#[test]
fn an_answer_that_ended_with_its_server_speaks_against_its_parts() {
    assert_eq!(held_with_answer_that_ends_with_its_connection(true), 2);
}

/// Guards against a sound part that is held back although servers answer it and close.
#[test]
fn an_answer_that_ended_with_its_connection_refutes_ends_if_its_server_lives() {
    assert_eq!(held_with_answer_that_ends_with_its_connection(false), 0);
}

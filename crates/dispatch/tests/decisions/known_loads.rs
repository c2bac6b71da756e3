//! Decisions of instances that know the load of the whole fleet.

use dispatch::{AttemptEnd, Delivered, Effect, Event, Prompt, RequestKey, ServerEntry};
use model::prelude::*;

use crate::{
    fleet::Fleet,
    support::{Bench, attempts, catalog, prompt, server},
};

/// Instances of a fleet in which loads are added up.
const FLEET: u8 = 14;
/// The least number of engines of which some are set apart for live streams.
const DIVISIBLE: u8 = 3;
/// Time in which a change of the load reaches all members.
const TOLD: Duration = Duration::from_millis(800);

fn engines(count: u8) -> Vec<ServerEntry> {
    (0..count).map(|no| server(&format!("e{no}"), "engines", 10 + no)).collect()
}

/// Returns a prompt that an engine reads for 90 ms, most of which those with the same topic share.
fn long(topic: u64) -> Prompt {
    prompt(6_000, 3_000, topic)
}

fn fleet(engines: &[ServerEntry]) -> Fleet {
    let mut fleet = Fleet::new(FLEET, &["zone-a"], &catalog(2), None);
    for bench in &mut fleet.members {
        bench.step(Event::Listed(engines.to_vec()));
    }
    fleet.pass(TOLD);
    fleet
}

/// Sends requests that do not end, and returns those whose attempts were started.
fn send(bench: &mut Bench, route: &str, prompts: impl Iterator<Item = Prompt>) -> Vec<RequestKey> {
    let mut started = Vec::new();
    for prompt in prompts {
        let (_, effects) = bench.request(route, prompt);
        started.extend(attempts(&effects).into_iter().map(|it| it.0));
    }
    started
}

/// Answers long prompts at several times the usual rate: 14 instances send at once what none of them
/// would take for a burst by itself.
#[test]
fn long_prompts_wait_at_the_instance_when_others_have_filled_the_engines() {
    let mut fleet = fleet(&engines(DIVISIBLE - 1));
    for bench in fleet.members.iter_mut().skip(1) {
        send(bench, "batch", (0..8).map(long));
    }
    fleet.pass(TOLD);

    let started = send(&mut fleet.members[0], "batch", (0..8).map(long));

    assert!(started.is_empty(), "{} of 8 were sent to engines that are full", started.len());
}

/// Guards against requests that wait for servers which cannot get them while others could: each
/// considers only some of the servers at first.
#[test]
fn a_request_whose_sampled_engines_leave_goes_to_another_one() {
    let mut fleet = fleet(&engines(40));
    let bench = &mut fleet.members[0];
    for entry in engines(40).into_iter().skip(1) {
        bench.list(ServerEntry { is_draining: true, ..entry });
    }

    let started = send(bench, "batch", (0..10).map(long));

    assert!(!started.is_empty(), "none of 10 requests found the only engine");
}

/// Returns a repeatable request that has been sent to an engine, with when it leaves that at first.
fn sent(bench: &mut Bench) -> (RequestKey, Time) {
    let key = send(bench, "short", std::iter::once(prompt(0, 1_500, 1)))[0];
    bench.step(Event::Sent { key });
    (key, bench.state.leave_by(key).unwrap())
}

/// Guards against requests that give up their place in the queue of an engine, and end as unknown,
/// although no other engine would begin earlier.
#[test]
fn a_request_stays_at_a_slow_engine_while_all_others_are_busy() {
    let mut fleet = fleet(&engines(DIVISIBLE - 1));
    let (key, leave_by) = sent(&mut fleet.members[0]);
    for bench in fleet.members.iter_mut().skip(1) {
        send(bench, "short", (0..8).map(|topic| prompt(0, 3_000, topic)));
    }
    fleet.pass(TOLD);

    let bench = &mut fleet.members[0];
    bench.now = bench.now.max(leave_by);
    bench.step(Event::FirstByteDue { key });

    let leave_by = bench.state.leave_by(key);
    assert!(leave_by.is_none_or(|time| time > bench.now), "it leaves at {leave_by:?}");
}

/// A crashed engine that accepts connections shows itself only by its silence.
#[test]
fn a_request_leaves_a_silent_engine_for_an_idle_one() {
    let mut fleet = fleet(&engines(DIVISIBLE - 1));
    let (key, leave_by) = sent(&mut fleet.members[0]);

    let bench = &mut fleet.members[0];
    bench.now = bench.now.max(leave_by);
    bench.step(Event::FirstByteDue { key });
    let leaves = bench.state.leave_by(key).is_some_and(|time| time <= bench.now);
    let end = AttemptEnd::TimedOut { delivered: Delivered::Nothing };
    let effects = bench.ended(key, end);

    assert!(leaves);
    assert_eq!(attempts(&effects).len(), 1, "{effects:?}");
}

/// Answers callers that have waited too long beside those that have just come: the former have lost
/// most of the worth of their response already.
#[test]
fn a_request_that_can_meet_its_target_goes_before_one_that_cannot() {
    let mut fleet = fleet(&[]);
    let bench = &mut fleet.members[0];
    let target = Duration::from_millis(1_200);
    let (late, _) = bench.request("batch", long(1));
    fleet.pass(target.mul_f64(0.6));
    let (timely, _) = fleet.members[0].request("batch", long(2));
    fleet.pass(target.mul_f64(0.5));

    let bench = &mut fleet.members[0];
    let entry = ServerEntry { slots: 1, ..server("e0", "engines", 10) };
    let effects: Vec<Effect> = bench.list(entry);

    let started: Vec<_> = attempts(&effects).into_iter().map(|it| it.0).collect();
    assert_eq!(started.first(), Some(&timely), "the late one is {late:?}");
}

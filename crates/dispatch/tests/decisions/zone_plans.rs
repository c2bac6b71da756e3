//! Where operators say what leaving an availability zone costs, live streams stay in it while its
//! engines have room for them.

use dispatch::{Attempt, AttemptEnd, Event, LogEntry, Prompt, ServerEntry};
use model::prelude::*;
use zones::Crossing;

use crate::{
    fleet::Fleet,
    support::{Bench, attempts, catalog, prompt, server},
};

/// Instances of a fleet in which loads are added up.
const FLEET: u8 = 14;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINES: u8 = 24;
/// Requests for which a test looks where they go.
const REQUESTS: u64 = 60;
/// Time in which changes of the load reach all members, and plans follow.
const FOLLOWED: Duration = Duration::from_secs(2);

/// Returns engines by turns in three zones.
fn engines() -> Vec<ServerEntry> {
    let entry = |no: u8| {
        let zone = ZoneId::of(ZONES[usize::from(no % 3)]);
        ServerEntry { zone, ..server(&format!("e{no}"), "engines", 10 + no) }
    };
    (0..ENGINES).map(entry).collect()
}

/// Returns a long prompt, most of which those with the same topic share.
fn long(topic: u64) -> Prompt {
    prompt(6_000, 2_890, topic)
}

/// Returns the prompt of a live stream, which shares nothing.
fn stream() -> Prompt {
    Prompt { tokens: 172, max_output: 543, parts: Vec::new() }
}

/// Returns the longest prompt of a live stream.
fn long_stream() -> Prompt {
    Prompt { tokens: 3_000, ..stream() }
}

fn crossing() -> Crossing {
    Crossing { round_trip: Duration::from_millis(5), per_kib: Duration::from_micros(500) }
}

/// Returns a fleet whose members know the engines and have just had some streams, so that engines are
/// set apart for these. The first member is in the first zone.
fn fleet(size: u8, crossing: Option<Crossing>) -> Fleet {
    let mut fleet = Fleet::new(size, &ZONES, &catalog(2), crossing);
    for bench in &mut fleet.members {
        bench.step(Event::Listed(engines()));
        for _ in 0..20 {
            complete(bench, "live", stream());
        }
    }
    fleet.pass(FOLLOWED);
    fleet
}

/// Lets the members of the first zone other than the first send streams that its engines read for
/// some 300 ms.
fn fill_first_zone(fleet: &mut Fleet) {
    for bench in fleet.members.iter_mut().skip(3).step_by(ZONES.len()) {
        for _ in 0..10 {
            bench.request("live", long_stream());
        }
    }
}

/// Sends a request that completes at once, and returns its attempt, if it has not to wait.
fn complete(bench: &mut Bench, route: &str, prompt: Prompt) -> Option<Attempt> {
    let (key, effects) = bench.request(route, prompt);
    bench.step(Event::Sent { key });
    bench.step(Event::FirstByte { key });
    bench.ended(key, AttemptEnd::Completed { is_success: true });
    attempts(&effects).into_iter().map(|it| it.1).next()
}

fn zone_of(attempt: &Attempt) -> ZoneId {
    engines().into_iter().find(|it| it.name == attempt.name).unwrap().zone
}

/// Sends live streams that complete at once, and returns how many left the zone, and how many there
/// were.
fn streams_that_left(bench: &mut Bench) -> (usize, usize) {
    let send = |_| complete(bench, "live", stream());
    let sent: Vec<_> = (0..REQUESTS).filter_map(send).collect();
    let left = sent.iter().filter(|it| zone_of(it) != ZoneId::of(ZONES[0]));
    (left.count(), sent.len())
}

/// Returns the shares that the first member logged.
fn logged_shares(fleet: &Fleet) -> Vec<f64> {
    let share = |entry: &LogEntry| match entry {
        LogEntry::LeavingShare { share, .. } => Some(*share),
        _ => None,
    };
    fleet.logged.iter().filter_map(share).collect()
}

#[test]
fn live_streams_of_a_calm_zone_stay_there() {
    let mut fleet = fleet(FLEET, Some(crossing()));

    let (left, count) = streams_that_left(&mut fleet.members[0]);

    assert_eq!((left, count), (0, REQUESTS as usize));
    assert!(logged_shares(&fleet).is_empty(), "{:?}", logged_shares(&fleet));
}

/// Answers a zone with several times its usual demand while others are calm.
#[test]
fn live_streams_leave_a_short_zone() {
    let mut fleet = fleet(FLEET, Some(crossing()));
    fill_first_zone(&mut fleet);
    fleet.pass(Duration::from_millis(800));

    let (left, _) = streams_that_left(&mut fleet.members[0]);

    let shares = logged_shares(&fleet);
    assert!(shares.last().is_some_and(|share| *share > 0.2), "{shares:?}");
    assert!(left > 0, "none left by {shares:?}");
}

/// Guards against a stream that waits for its zone when no server there can get it.
#[test]
fn a_stream_without_a_usable_server_in_its_zone_goes_elsewhere_at_once() {
    let mut fleet = fleet(FLEET, Some(crossing()));
    let bench = &mut fleet.members[0];
    let own = |entry: &ServerEntry| entry.zone == ZoneId::of(ZONES[0]);
    for entry in engines().into_iter().filter(own) {
        bench.list(ServerEntry { is_draining: true, ..entry });
    }

    let (left, count) = streams_that_left(bench);

    assert_eq!((left, count), (REQUESTS as usize, REQUESTS as usize));
}

/// Guards against prompts that are read anew in each zone, which takes the engines twice the time.
#[test]
fn a_prefix_has_one_home_for_all_zones_with_and_without_a_price() {
    for (size, crossing) in [(FLEET, Some(crossing())), (FLEET, None), (3, Some(crossing()))] {
        let mut fleet = fleet(size, crossing);
        let home = |member| complete(&mut fleet.members[member], "batch", long(7));

        let homes: Vec<_> = (0..3).filter_map(home).map(|it| it.address).collect();

        assert_eq!(homes, [homes[0]; 3], "{size} instances, {crossing:?}");
        assert!(logged_shares(&fleet).is_empty());
    }
}

#[test]
fn no_share_is_planned_where_operators_state_no_price() {
    let mut fleet = fleet(FLEET, None);
    fill_first_zone(&mut fleet);

    fleet.pass(Duration::from_millis(800));

    assert!(logged_shares(&fleet).is_empty(), "{:?}", logged_shares(&fleet));
}

//! Requests stay in their availability zone while its engines have room for them.

use std::collections::BTreeSet;

use dispatch::{Attempt, AttemptEnd, Event, LogEntry, Prompt, ServerEntry};
use model::prelude::*;

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

/// Returns a fleet whose members know the engines and have just had some streams, so that engines are
/// set apart for these. The first member is in the first zone.
fn fleet(size: u8) -> Fleet {
    let mut fleet = Fleet::new(size, &ZONES, &catalog(2));
    for bench in &mut fleet.members {
        bench.step(Event::Listed(engines()));
        for _ in 0..20 {
            complete(bench, "live", stream());
        }
    }
    fleet.pass(FOLLOWED);
    fleet
}

/// Lets the members of the first zone other than the first send prompts that its engines read for
/// some 300 ms.
fn fill_first_zone(fleet: &mut Fleet) {
    for bench in fleet.members.iter_mut().skip(3).step_by(ZONES.len()) {
        for topic in 0..15 {
            bench.request("batch", long(topic));
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

/// Sends requests that complete at once, and returns those of their attempts that left the zone, and
/// the number of all.
fn sent(bench: &mut Bench, route: &str, prompt: impl Fn(u64) -> Prompt) -> (Vec<Attempt>, usize) {
    let send = |topic| complete(bench, route, prompt(topic));
    let mut sent: Vec<_> = (0..REQUESTS).filter_map(send).collect();
    let count = sent.len();
    sent.retain(|it| zone_of(it) != ZoneId::of(ZONES[0]));
    (sent, count)
}

/// Returns the shares of other requests than live streams that the first member logged.
fn logged_shares(fleet: &Fleet) -> Vec<f64> {
    let share = |entry: &LogEntry| match entry {
        LogEntry::LeavingShare { is_live: false, share, .. } => Some(*share),
        _ => None,
    };
    fleet.logged.iter().filter_map(share).collect()
}

/// Guards against prompts that leave their zone without load, as their shared prefix has its home
/// elsewhere.
#[test]
fn prompts_and_streams_of_a_calm_zone_stay_there() {
    let mut fleet = fleet(FLEET);
    let bench = &mut fleet.members[0];

    let (prompts_left, prompts) = sent(bench, "batch", long);
    let (streams_left, streams) = sent(bench, "live", |_| stream());

    assert_eq!((prompts_left.len(), prompts), (0, REQUESTS as usize));
    assert_eq!((streams_left.len(), streams), (0, REQUESTS as usize));
    assert!(logged_shares(&fleet).is_empty(), "{:?}", logged_shares(&fleet));
}

/// Answers a zone with several times its usual demand while others are calm.
#[test]
fn prompts_leave_a_short_zone_by_the_share_and_streams_stay() {
    let mut fleet = fleet(FLEET);
    fill_first_zone(&mut fleet);
    fleet.pass(Duration::from_millis(800));

    let (prompts_left, prompts) = sent(&mut fleet.members[0], "batch", long);
    let (streams_left, _) = sent(&mut fleet.members[0], "live", |_| stream());

    let shares = logged_shares(&fleet);
    let share = shares.last().copied().unwrap_or_default();
    let left = prompts_left.len() as f64 / prompts as f64;
    assert!(share > 0.2, "{shares:?}");
    // A change of the share by 0.2 is logged.
    assert!((left - share).abs() < 0.2, "{left} of {prompts} left by {shares:?}");
    assert!(streams_left.is_empty(), "{} left", streams_left.len());
}

/// Guards against a request that waits for its zone when no server there can get it.
#[test]
fn a_request_without_an_untried_usable_server_in_its_zone_goes_elsewhere_at_once() {
    let mut fleet = fleet(FLEET);
    let bench = &mut fleet.members[0];
    let own = |entry: &ServerEntry| entry.zone == ZoneId::of(ZONES[0]);
    for entry in engines().into_iter().filter(own) {
        bench.list(ServerEntry { is_draining: true, ..entry });
    }

    let (left, count) = sent(bench, "batch", long);

    assert_eq!((left.len(), count), (REQUESTS as usize, REQUESTS as usize));
}

/// Answers a prompt that all zones use: it is read once, and each zone fetches it once.
#[test]
fn a_zone_has_a_home_for_each_prefix_which_fetches_from_that_of_the_fleet() {
    let mut fleet = fleet(FLEET);
    let home = |member| complete(&mut fleet.members[member], "batch", long(7));

    let homes: Vec<_> = (0..6).filter_map(home).collect();

    let zones: Vec<_> = homes.iter().map(zone_of).collect();
    let addresses: BTreeSet<_> = homes.iter().map(|it| it.address).collect();
    assert_eq!(zones[..3], ZONES.map(ZoneId::of));
    assert_eq!(addresses.len(), 3, "members of a zone have different homes: {homes:?}");
    let sources: BTreeSet<_> = homes.iter().filter_map(|it| it.fetch_source).collect();
    let fetching = homes.iter().filter(|it| !sources.contains(&it.address));
    assert!(fetching.clone().count() >= 4, "{homes:?}");
    assert!(fetching.clone().all(|it| it.fetch_source.is_some_and(|it| addresses.contains(&it))));
}

#[test]
fn a_small_fleet_sends_a_prefix_to_one_home_for_all_zones() {
    let mut fleet = fleet(3);
    let home = |member| complete(&mut fleet.members[member], "batch", long(7));

    let homes: Vec<_> = (0..3).filter_map(home).map(|it| it.address).collect();

    assert_eq!(homes, [homes[0]; 3]);
    assert!(logged_shares(&fleet).is_empty());
}
